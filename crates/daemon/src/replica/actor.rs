//! The actor that drives one replica: it feeds messages and time into the
//! consensus state machine and carries out what comes out.

use crate::clock::Clock;
use crate::directory::SharedDirectory;
use crate::outbox::SharedOutbox;
use crate::replica::formation::{Formation, FormationStep};
use crate::replica::log_writer::LogWriter;
use crate::replica::status::SharedStatus;
use silversail_consensus::{
    next_membership, without_silent, ConsensusConfig, Entry, HardState, Index, JoinRequest,
    Membership, Message, Millis, Payload, Replica, ReplicaId, Role, Snapshot, SnapshotMeta,
    StateMachine, StoredState, Term, WriteBatch,
};
use silversail_model::NodeName;
use silversail_peer::{FormationMessage, GroupId, GroupMessage, PeerMessage, ProposeResult};
use stakker::{after, fwd, Fwd, CX};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

/// Interval of the state machine's clock.
const TICK: Duration = Duration::from_millis(30);
/// Ticks between probes and join requests.
const TICKS_PER_PROBE: u64 = 8;
/// A join request that is not repeated is forgotten after this time, in
/// milliseconds.
const JOIN_VALID_FOR: Millis = 2_000;
/// A new leader waits so many rounds for join requests before it takes a learner
/// for gone: about five seconds.
const ROUNDS_BEFORE_DROP: u64 = 20;
/// A new leader waits so many rounds, about as long as a silence, before it takes a
/// voter that it has not heard for gone.
const ROUNDS_BEFORE_REMOVAL: u64 = 12;
/// Silence after which a voter gives its place to a new node that is ready, in
/// milliseconds.
const VOTER_SILENCE: Millis = 2_500;
/// Least applied entries after which a snapshot replaces the log.
const COMPACT_AFTER_ENTRIES: usize = 2_000;
/// A snapshot of so many bytes is worth one more entry of the log, so that a
/// large state is not written again and again.
const SNAPSHOT_BYTES_PER_ENTRY: usize = 512;
/// Entries kept behind a snapshot for followers that are a little late.
const KEEP_ENTRIES: usize = 500;

/// What a replica actor is made of.
pub struct ReplicaSetup<M> {
    /// Its group.
    pub group: GroupId,
    /// Its node.
    pub node: NodeName,
    /// Identity of its stored state.
    pub replica: ReplicaId,
    /// Knows the nodes that form the group.
    pub directory: SharedDirectory,
    /// What was stored; none when the folder was empty.
    pub stored: Option<StoredState>,
    /// Timing.
    pub config: ConsensusConfig,
    /// Seed of election timeouts.
    pub seed: u64,
    /// The replicated state.
    pub machine: Rc<RefCell<M>>,
    /// Status for other actors.
    pub status: SharedStatus,
    /// Sending.
    pub outbox: SharedOutbox,
    /// Writing.
    pub writer: Box<dyn LogWriter>,
    /// Told after commands were applied.
    pub on_applied: Fwd<()>,
    /// Time.
    pub clock: Clock,
}

enum State {
    Forming(Formation),
    Member(Box<Replica>),
}

struct PendingProposal {
    term: Term,
    from: NodeName,
    proposal: u64,
}

/// Messages that wait for a write, and whether the write is the replica's.
struct PendingSync {
    messages: Vec<Message>,
    of_replica: bool,
}

/// A join request and when it was last heard; a replica repeats it until it
/// votes.
struct HeardJoin {
    request: JoinRequest,
    heard_at: Millis,
}

/// Drives one replica.
pub struct ReplicaActor<M> {
    setup: ReplicaSetup<M>,
    state: State,
    pending_sync: VecDeque<PendingSync>,
    proposals: BTreeMap<Index, PendingProposal>,
    joins: BTreeMap<String, HeardJoin>,
    /// Rounds of membership changes since this replica began to lead.
    rounds_as_leader: u64,
    ticks: u64,
    applied_since_compaction: usize,
    compact_after: usize,
    /// Node of each replica, as seen on messages and in memberships.
    nodes: BTreeMap<ReplicaId, NodeName>,
}

impl<M: StateMachine + 'static> ReplicaActor<M> {
    /// Starts from what was stored.
    pub fn init(cx: CX![], setup: ReplicaSetup<M>) -> Option<Self> {
        let now = setup.clock.millis(cx.now());
        let state = match &setup.stored {
            Some(stored) => {
                setup.machine.borrow_mut().restore(&stored.snapshot.data);
                State::Member(Box::new(new_replica(&setup, stored.clone(), now)))
            }
            None => State::Forming(Formation::new(
                setup.node.clone(),
                setup.replica,
                setup.directory.borrow().replicating(),
            )),
        };
        after!(TICK, [cx], tick());
        let mut actor = Self {
            setup,
            state,
            pending_sync: VecDeque::new(),
            proposals: BTreeMap::new(),
            joins: BTreeMap::new(),
            rounds_as_leader: 0,
            ticks: 0,
            applied_since_compaction: 0,
            compact_after: COMPACT_AFTER_ENTRIES,
            nodes: BTreeMap::new(),
        };
        actor.carry_out();
        Some(actor)
    }

    fn tick(&mut self, cx: CX![]) {
        after!(TICK, [cx], tick());
        let now = self.now(cx);
        self.ticks += 1;
        if let State::Member(replica) = &mut self.state {
            replica.tick(now);
        }
        if self.ticks.is_multiple_of(TICKS_PER_PROBE) {
            self.probe_or_join(now);
            self.change_membership(now);
        }
        self.carry_out();
    }

    fn now(&self, cx: CX![]) -> Millis {
        self.setup.clock.millis(cx.now())
    }

    /// Handles a message of a peer.
    pub fn message(&mut self, cx: CX![], from: NodeName, message: GroupMessage) {
        let now = self.now(cx);
        match message {
            GroupMessage::Consensus {
                cluster_id,
                message,
            } => self.consensus_message(from, cluster_id, message, now),
            GroupMessage::Formation(message) => self.formation_message(from, message, now),
            GroupMessage::Propose { proposal, command } => {
                self.propose(from, proposal, command, now)
            }
            // Answers go to the proposer.
            GroupMessage::ProposeReply { .. } => {}
        }
        self.carry_out();
    }

    /// Tells that so many of the oldest writes are synced.
    pub fn synced(&mut self, cx: CX![], count: usize) {
        let now = self.now(cx);
        for _ in 0..count {
            let Some(pending) = self.pending_sync.pop_front() else {
                break;
            };
            self.send_consensus(pending.messages);
            if let (State::Member(replica), true) = (&mut self.state, pending.of_replica) {
                replica.on_synced(now);
            }
        }
        self.carry_out();
    }

    /// Hands leadership over before a planned stop.
    pub fn hand_over(&mut self, cx: CX![]) {
        let now = self.now(cx);
        if let State::Member(replica) = &mut self.state {
            replica.tick(now);
            replica.hand_over();
        }
        self.carry_out();
    }

    fn consensus_message(
        &mut self,
        from: NodeName,
        cluster_id: u64,
        message: Message,
        now: Millis,
    ) {
        let State::Member(replica) = &mut self.state else {
            return;
        };
        if replica.cluster_id() != cluster_id {
            log::warn!(event = "other_cluster", group = self.setup.group.to_string().as_str(), from = from.as_str(); "message of another cluster dropped");
            return;
        }
        self.nodes.insert(message.from, from);
        replica.step(message, now);
    }

    fn formation_message(&mut self, from: NodeName, message: FormationMessage, now: Millis) {
        match message {
            FormationMessage::Probe { replica } => self.answer_probe(from, replica),
            FormationMessage::ProbeReply { replica, formed } => {
                self.probe_answered(from, replica, formed, now)
            }
            FormationMessage::Form(snapshot) => {
                let State::Forming(formation) = &self.state else {
                    return;
                };
                let step = formation.step_towards(snapshot);
                self.formation_step(step, now);
            }
            FormationMessage::Join(join) => {
                let heard = HeardJoin {
                    request: join,
                    heard_at: now,
                };
                self.joins.insert(heard.request.node.clone(), heard);
            }
        }
    }

    fn answer_probe(&mut self, from: NodeName, prober: ReplicaId) {
        let formed = match &self.state {
            State::Forming(_) => None,
            State::Member(replica) => {
                let stored = replica.snapshot();
                // The first state is given out whole to its own voters only.
                let is_voter = stored.meta.membership.is_voter(prober);
                Some(Snapshot {
                    meta: stored.meta.clone(),
                    data: if is_voter {
                        stored.data.clone()
                    } else {
                        Vec::new()
                    },
                })
            }
        };
        let replica = self.setup.replica;
        let reply = FormationMessage::ProbeReply { replica, formed };
        self.send_group(&from, GroupMessage::Formation(reply));
    }

    fn probe_answered(
        &mut self,
        from: NodeName,
        replica: ReplicaId,
        formed: Option<Snapshot>,
        now: Millis,
    ) {
        let State::Forming(formation) = &mut self.state else {
            return;
        };
        let machine = self.setup.machine.clone();
        let first_data = || machine.borrow().snapshot();
        let step = formation.on_reply(from, replica, formed, first_data, &mut rand::thread_rng());
        self.formation_step(step, now);
    }

    fn formation_step(&mut self, step: FormationStep, now: Millis) {
        match step {
            FormationStep::Wait => {}
            FormationStep::Form(_) if !self.setup.directory.borrow().may_form(now) => {}
            FormationStep::Form(snapshot) => {
                self.become_member(snapshot.clone(), now);
                let form = GroupMessage::Formation(FormationMessage::Form(snapshot));
                for voter in self.replicating() {
                    if voter != self.setup.node {
                        self.send_group(&voter, form.clone());
                    }
                }
            }
            FormationStep::Adopt(snapshot) => self.become_member(snapshot, now),
            FormationStep::Join(cluster_id) => {
                let snapshot = Snapshot {
                    meta: SnapshotMeta {
                        cluster_id,
                        ..SnapshotMeta::default()
                    },
                    data: self.setup.machine.borrow().snapshot(),
                };
                self.become_member(snapshot, now);
            }
        }
    }

    /// Stores the state to start from; every message of the replica leaves
    /// after it is synced, as writes are synced in order.
    fn become_member(&mut self, snapshot: Snapshot, now: Millis) {
        let group = self.setup.group.to_string();
        log::info!(event = "member", group = group.as_str(), index = snapshot.meta.index; "replica starts");
        let hard_state = HardState {
            term: snapshot.meta.term,
            voted_for: None,
        };
        let stored = StoredState {
            hard_state,
            snapshot: snapshot.clone(),
            entries: Vec::new(),
        };
        self.setup.writer.write(WriteBatch {
            snapshot: Some(snapshot),
            entries: Vec::new(),
            hard_state: Some(hard_state),
        });
        self.pending_sync.push_back(PendingSync {
            messages: Vec::new(),
            of_replica: false,
        });
        self.setup
            .machine
            .borrow_mut()
            .restore(&stored.snapshot.data);
        self.state = State::Member(Box::new(new_replica(&self.setup, stored, now)));
    }

    fn replicating(&self) -> Vec<NodeName> {
        self.setup.directory.borrow().replicating()
    }

    fn probe_or_join(&mut self, now: Millis) {
        let replicating = self.replicating();
        match &mut self.state {
            State::Forming(formation) => {
                formation.start_round(replicating);
                let targets: Vec<NodeName> = formation.others().cloned().collect();
                let probe = FormationMessage::Probe {
                    replica: self.setup.replica,
                };
                for target in targets {
                    self.send_group(&target, GroupMessage::Formation(probe.clone()));
                }
                self.form_alone(now);
            }
            State::Member(replica) => {
                // One that was voted out while it was cut off does not know it.
                let is_followed = replica.leader().is_some();
                if replica.membership().is_voter(replica.id()) && is_followed {
                    return;
                }
                let join = FormationMessage::Join(JoinRequest {
                    replica: self.setup.replica,
                    node: self.setup.node.0.clone(),
                });
                for target in self.replicating() {
                    if target != self.setup.node {
                        self.send_group(&target, GroupMessage::Formation(join.clone()));
                    }
                }
            }
        }
    }

    /// A group of one has nobody to ask.
    fn form_alone(&mut self, now: Millis) {
        if self.replicating() == [self.setup.node.clone()] {
            let own = (self.setup.node.clone(), self.setup.replica);
            self.probe_answered(own.0, own.1, None, now);
        }
    }

    /// On the leader: takes the next single step for a replica that joins.
    fn change_membership(&mut self, now: Millis) {
        let State::Member(replica) = &mut self.state else {
            return;
        };
        if replica.role() != Role::Leader {
            self.joins.clear();
            self.rounds_as_leader = 0;
            return;
        }
        self.rounds_as_leader += 1;
        let membership = replica.membership().clone();
        self.joins.retain(|_, join| {
            let is_fresh = now.saturating_sub(join.heard_at) < JOIN_VALID_FOR;
            is_fresh && !membership.is_voter(join.request.replica)
        });
        let joining = self.joins.values().map(|join| &join.request);
        let directory = self.setup.directory.borrow();
        let is_silent = |node: &str| {
            let silence = directory.silence_of(node, now);
            let is_settled = self.rounds_as_leader > ROUNDS_BEFORE_REMOVAL;
            is_settled
                && directory.is_discovering()
                && silence.is_none_or(|silence| silence > VOTER_SILENCE)
        };
        let step = joining.clone().find_map(|join| {
            next_membership(
                &membership,
                join,
                replica.learner_lag(join.replica),
                is_silent,
            )
        });
        let step = step.or_else(|| without_silent(&membership, replica.id(), is_silent));
        drop(directory);
        // A learner that asks no more is a former identity, whose request came
        // late: it would stay for ever.
        let is_asking = |learner: &ReplicaId| joining.clone().any(|join| join.replica == *learner);
        let silent = membership.learners.keys().find(|one| !is_asking(one));
        let may_drop = self.rounds_as_leader > ROUNDS_BEFORE_DROP;
        let drop_silent = silent.copied().filter(|_| may_drop).map(|learner| {
            let mut next = membership.clone();
            next.learners.remove(&learner);
            next
        });
        if let Some(next) = step.or(drop_silent) {
            self.propose_membership(next, now);
        }
    }

    fn propose_membership(&mut self, next: Membership, now: Millis) {
        let State::Member(replica) = &mut self.state else {
            return;
        };
        if replica.propose_membership(next.clone(), now).is_ok() {
            let group = self.setup.group.to_string();
            log::info!(event = "membership_change", group = group.as_str(), voters = next.voters.len(), learners = next.learners.len(); "membership proposed");
        }
    }

    fn propose(&mut self, from: NodeName, proposal: u64, command: Vec<u8>, now: Millis) {
        let proposed = match &mut self.state {
            State::Forming(_) => Err(None),
            State::Member(replica) => match replica.propose(command, now) {
                Ok(position) => Ok(position),
                Err(_) => Err(replica.leader()),
            },
        };
        match proposed {
            Ok((index, term)) => {
                let pending = PendingProposal {
                    term,
                    from,
                    proposal,
                };
                self.proposals.insert(index, pending);
            }
            Err(leader) => {
                let leader = leader.and_then(|leader| self.node_of(leader));
                self.reply(&from, proposal, ProposeResult::NotLeader(leader));
            }
        }
    }

    fn node_of(&self, replica: ReplicaId) -> Option<NodeName> {
        if let State::Member(own) = &self.state {
            if let Some(node) = own.membership().node_of(replica) {
                return Some(NodeName::from(node));
            }
        }
        self.nodes.get(&replica).cloned()
    }

    fn reply(&mut self, to: &NodeName, proposal: u64, result: ProposeResult) {
        self.send_group(to, GroupMessage::ProposeReply { proposal, result });
    }

    fn send_group(&mut self, to: &NodeName, message: GroupMessage) {
        let group = self.setup.group;
        let message = PeerMessage::Group { group, message };
        self.setup.outbox.borrow_mut().send(to, message);
    }

    fn send_consensus(&mut self, messages: Vec<Message>) {
        let State::Member(replica) = &self.state else {
            return;
        };
        let cluster_id = replica.cluster_id();
        for message in messages {
            if let Some(node) = self.node_of(message.to) {
                let message = GroupMessage::Consensus {
                    cluster_id,
                    message,
                };
                self.send_group(&node, message);
            }
        }
    }

    /// Carries out the replica's output until there is none left.
    fn carry_out(&mut self) {
        while let State::Member(replica) = &mut self.state {
            if !replica.has_output() {
                break;
            }
            let output = replica.take_output();
            self.send_consensus(output.messages);
            if !output.writes.is_empty() || !output.messages_after_sync.is_empty() {
                self.setup.writer.write(output.writes);
                self.pending_sync.push_back(PendingSync {
                    messages: output.messages_after_sync,
                    of_replica: true,
                });
            }
            if let Some(snapshot) = output.restore {
                self.setup.machine.borrow_mut().restore(&snapshot.data);
                self.proposals = self.proposals.split_off(&(snapshot.meta.index + 1));
                fwd!([self.setup.on_applied], ());
            }
            self.apply(output.committed);
        }
        if let State::Member(replica) = &self.state {
            let mut status = self.setup.status.borrow_mut();
            let before = (status.leader.clone(), status.term);
            status.refresh(replica);
            let leader = status.leader.as_deref().unwrap_or_default();
            if before.0 != status.leader {
                let group = self.setup.group.to_string();
                log::info!(event = "leader", group = group.as_str(), leader = leader, term = status.term, term_before = before.1; "the leader changed, as this replica knows it");
            }
        }
    }

    fn apply(&mut self, entries: Vec<Entry>) {
        if entries.is_empty() {
            return;
        }
        for entry in entries {
            self.applied_since_compaction += 1;
            let reply = match &entry.payload {
                Payload::Command(command) => {
                    self.setup.machine.borrow_mut().apply(entry.index, command)
                }
                Payload::Noop | Payload::Membership(_) => Vec::new(),
            };
            if let Some(pending) = self.proposals.remove(&entry.index) {
                let result = if pending.term == entry.term {
                    ProposeResult::Applied(reply)
                } else {
                    ProposeResult::Replaced
                };
                self.reply(&pending.from, pending.proposal, result);
            }
        }
        fwd!([self.setup.on_applied], ());
        if self.applied_since_compaction >= self.compact_after {
            self.compact();
        }
    }

    fn compact(&mut self) {
        self.applied_since_compaction = 0;
        let data = self.setup.machine.borrow().snapshot();
        self.compact_after = COMPACT_AFTER_ENTRIES.max(data.len() / SNAPSHOT_BYTES_PER_ENTRY);
        let State::Member(replica) = &mut self.state else {
            return;
        };
        let snapshot = replica.compact(data, KEEP_ENTRIES);
        let entries = replica.entries_after_snapshot();
        // Entries that the replica has not handed out for writing yet must not
        // be stored before them in the order of writes; they come with the
        // next batch, which replaces the same indices by the same entries.
        self.setup
            .writer
            .compact(snapshot, replica.hard_state(), entries);
    }
}

fn new_replica<M>(setup: &ReplicaSetup<M>, stored: StoredState, now: Millis) -> Replica {
    let incarnation = setup.outbox.borrow().incarnation();
    let config = setup.config.clone();
    Replica::new(setup.replica, config, stored, setup.seed, incarnation, now)
}
