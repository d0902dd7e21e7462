//! The actor that drives one replica: it feeds messages and time into the
//! consensus state machine and carries out what comes out.

use crate::clock::Clock;
use crate::directory::SharedDirectory;
use crate::outbox::SharedOutbox;
use crate::replica::formation::Formation;
use crate::replica::log_writer::LogWriter;
use crate::replica::status::SharedGroupStatus;
use silversail_consensus::{
    ConsensusConfig, Entry, HardState, Index, JoinRequest, Message, Millis, Payload, Replica,
    ReplicaId, Snapshot, StateMachine, StoredState, Term, WriteBatch,
};
use silversail_model::NodeName;
use silversail_peer::{GroupId, GroupMessage, PeerMessage, ProposalResult};
use stakker::{after, fwd, Fwd, CX};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

/// Interval of the state machine's clock.
const TICK: Duration = Duration::from_millis(30);
/// Ticks between probes and join requests.
const TICKS_PER_PROBE: u64 = 8;
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
    /// Seed of election timeouts, and of the identity of a group that this replica forms.
    pub seed: u64,
    /// The replicated state.
    pub machine: Rc<RefCell<M>>,
    /// Status for other actors.
    pub status: SharedGroupStatus,
    /// Sending.
    pub outbox: SharedOutbox,
    /// Writing.
    pub writer: Box<dyn LogWriter>,
    /// Told after commands were applied.
    pub on_applied: Fwd<()>,
    /// Time.
    pub clock: Clock,
}

pub(super) enum State {
    Forming(Formation),
    Member(Box<Replica>),
}

pub(super) struct PendingProposal {
    pub(super) term: Term,
    pub(super) from: NodeName,
    pub(super) proposal: u64,
}

/// Messages that wait for a write, and whether the write is the replica's.
pub(super) struct PendingSync {
    pub(super) messages: Vec<Message>,
    pub(super) of_replica: bool,
}

/// A join request and when it was last heard; a replica repeats it until it
/// votes.
pub(super) struct HeardJoin {
    pub(super) request: JoinRequest,
    pub(super) heard_at: Millis,
}

/// Drives one replica.
pub struct ReplicaActor<M> {
    pub(super) setup: ReplicaSetup<M>,
    pub(super) state: State,
    pub(super) pending_sync: VecDeque<PendingSync>,
    pub(super) proposals: BTreeMap<Index, PendingProposal>,
    pub(super) joins: BTreeMap<String, HeardJoin>,
    /// Rounds of membership changes since this replica began to lead.
    pub(super) rounds_as_leader: u64,
    pub(super) ticks: u64,
    pub(super) applied_since_compaction: usize,
    pub(super) compact_after: usize,
    /// Node of each replica, as seen on messages and in memberships.
    pub(super) nodes: BTreeMap<ReplicaId, NodeName>,
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
                setup.directory.borrow().replicating_nodes(),
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

    pub(super) fn tick(&mut self, cx: CX![]) {
        after!(TICK, [cx], tick());
        let now = self.now(cx);
        self.ticks += 1;
        if let State::Member(replica) = &mut self.state {
            replica.tick(now);
        }
        self.tell_emptied();
        if self.ticks.is_multiple_of(TICKS_PER_PROBE) {
            self.probe_or_join(now);
            self.change_membership(now);
        }
        self.carry_out();
    }

    pub(super) fn now(&self, cx: CX![]) -> Millis {
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
    pub fn transfer_leadership(&mut self, cx: CX![]) {
        let now = self.now(cx);
        if let State::Member(replica) = &mut self.state {
            replica.tick(now);
            replica.transfer_leadership();
        }
        self.carry_out();
    }

    pub(super) fn consensus_message(
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

    /// Stores the state to start from; every message of the replica leaves
    /// after it is synced, as writes are synced in order.
    pub(super) fn become_member(&mut self, snapshot: Snapshot, now: Millis) {
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

    pub(super) fn replicating_nodes(&self) -> Vec<NodeName> {
        self.setup.directory.borrow().replicating_nodes()
    }

    pub(super) fn node_of(&self, replica: ReplicaId) -> Option<NodeName> {
        if let State::Member(own) = &self.state {
            if let Some(node) = own.membership().node_of(replica) {
                return Some(NodeName::from(node));
            }
        }
        self.nodes.get(&replica).cloned()
    }

    pub(super) fn reply(&mut self, to: &NodeName, proposal: u64, result: ProposalResult) {
        self.send_group(to, GroupMessage::ProposeReply { proposal, result });
    }

    pub(super) fn send_group(&mut self, to: &NodeName, message: GroupMessage) {
        let group = self.setup.group;
        let message = PeerMessage::Group { group, message };
        self.setup.outbox.borrow_mut().send(to, message);
    }

    pub(super) fn send_consensus(&mut self, messages: Vec<Message>) {
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
    pub(super) fn carry_out(&mut self) {
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

    pub(super) fn apply(&mut self, entries: Vec<Entry>) {
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
                    ProposalResult::Applied(reply)
                } else {
                    ProposalResult::Superseded
                };
                self.reply(&pending.from, pending.proposal, result);
            }
        }
        fwd!([self.setup.on_applied], ());
        if self.applied_since_compaction >= self.compact_after {
            self.compact();
        }
    }

    pub(super) fn compact(&mut self) {
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

pub(super) fn new_replica<M>(setup: &ReplicaSetup<M>, stored: StoredState, now: Millis) -> Replica {
    let incarnation = setup.outbox.borrow().incarnation();
    let config = setup.config.clone();
    Replica::new(setup.replica, config, stored, setup.seed, incarnation, now)
}
