//! The actor that drives one replica: it passes messages and clock ticks to the
//! consensus algorithm and executes its output.

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

/// Interval of the clock ticks passed to the consensus algorithm.
const TICK_INTERVAL: Duration = Duration::from_millis(30);
/// Ticks between rounds of formation probes, join requests and membership changes.
const TICKS_PER_PROBE: u64 = 8;
/// Minimum number of applied entries before a snapshot replaces the log.
const MIN_ENTRIES_BEFORE_COMPACTION: usize = 2_000;
/// Bytes of applied commands after which a snapshot replaces the log, whatever their number. A
/// larger snapshot raises this bound to its own size.
const MIN_BYTES_BEFORE_COMPACTION: usize = 4 << 20;
/// Snapshot bytes that raise the compaction threshold by one entry, so that a
/// large state is not rewritten too often.
const SNAPSHOT_BYTES_PER_ENTRY: usize = 512;
/// Log entries retained behind a snapshot for followers that lag slightly.
const RETAINED_ENTRIES: usize = 500;

/// Dependencies and configuration of a [`ReplicaActor`].
pub struct ReplicaSetup<M> {
    /// Replication group of the replica.
    pub group: GroupId,
    /// Node that runs the replica.
    pub node: NodeName,
    /// Identity that is stored with the replica's state.
    pub replica: ReplicaId,
    /// Lists the nodes that form the group.
    pub directory: SharedDirectory,
    /// State read from the disk; none if the folder was empty.
    pub stored: Option<StoredState>,
    /// Timeouts and intervals of the consensus algorithm.
    pub config: ConsensusConfig,
    /// Seed of the election timeouts and of the cluster identifier of a group that this
    /// replica forms.
    pub seed: u64,
    /// State machine to which committed commands are applied.
    pub state_machine: Rc<RefCell<M>>,
    /// Status published to other actors.
    pub status: SharedGroupStatus,
    /// Sends messages to peers.
    pub outbox: SharedOutbox,
    /// Persists the log and snapshots.
    pub writer: Box<dyn LogWriter>,
    /// Called after commands were applied or a snapshot was restored.
    pub on_applied: Fwd<()>,
    /// Clock of the process.
    pub clock: Clock,
}

pub(super) enum ReplicaState {
    Forming(Formation),
    Member(Box<Replica>),
}

pub(super) struct PendingProposal {
    pub(super) term: Term,
    pub(super) from: NodeName,
    pub(super) proposal: u64,
}

/// Messages to send once a write is synced, and whether the replica requested the write.
pub(super) struct PendingSync {
    pub(super) messages: Vec<Message>,
    pub(super) is_replica_write: bool,
}

/// A join request and when it was last received; a replica repeats it until it
/// is a voter.
pub(super) struct ReceivedJoinRequest {
    pub(super) request: JoinRequest,
    pub(super) received_at: Millis,
}

/// Runs the consensus algorithm of one replica.
pub struct ReplicaActor<M> {
    pub(super) setup: ReplicaSetup<M>,
    pub(super) state: ReplicaState,
    pub(super) pending_sync: VecDeque<PendingSync>,
    pub(super) proposals: BTreeMap<Index, PendingProposal>,
    pub(super) join_requests: BTreeMap<String, ReceivedJoinRequest>,
    /// Membership rounds since this replica became the leader.
    pub(super) rounds_as_leader: u64,
    pub(super) ticks: u64,
    pub(super) applied_since_compaction: usize,
    pub(super) bytes_since_compaction: usize,
    pub(super) compaction_threshold: usize,
    pub(super) compaction_threshold_bytes: usize,
    /// Node of each replica, learned from messages.
    pub(super) node_by_replica: BTreeMap<ReplicaId, NodeName>,
}

impl<M: StateMachine + 'static> ReplicaActor<M> {
    /// Starts from the stored state, or begins to form or join a group if there is none.
    pub fn init(cx: CX![], setup: ReplicaSetup<M>) -> Option<Self> {
        let now = setup.clock.millis(cx.now());
        let state = match &setup.stored {
            Some(stored) => {
                setup
                    .state_machine
                    .borrow_mut()
                    .restore(&stored.snapshot.data);
                ReplicaState::Member(Box::new(create_replica(&setup, stored.clone(), now)))
            }
            None => ReplicaState::Forming(Formation::new(
                setup.node.clone(),
                setup.replica,
                setup.directory.borrow().replicating_nodes(),
            )),
        };
        after!(TICK_INTERVAL, [cx], tick());
        let mut actor = Self {
            setup,
            state,
            pending_sync: VecDeque::new(),
            proposals: BTreeMap::new(),
            join_requests: BTreeMap::new(),
            rounds_as_leader: 0,
            ticks: 0,
            applied_since_compaction: 0,
            bytes_since_compaction: 0,
            compaction_threshold: MIN_ENTRIES_BEFORE_COMPACTION,
            compaction_threshold_bytes: MIN_BYTES_BEFORE_COMPACTION,
            node_by_replica: BTreeMap::new(),
        };
        actor.process_output();
        Some(actor)
    }

    pub(super) fn tick(&mut self, cx: CX![]) {
        after!(TICK_INTERVAL, [cx], tick());
        let now = self.now(cx);
        self.ticks += 1;
        if let ReplicaState::Member(replica) = &mut self.state {
            replica.tick(now);
        }
        self.announce_empty_storage();
        if self.ticks.is_multiple_of(TICKS_PER_PROBE) {
            self.send_probes_or_join_requests(now);
            self.advance_membership_change(now);
        }
        self.process_output();
    }

    pub(super) fn now(&self, cx: CX![]) -> Millis {
        self.setup.clock.millis(cx.now())
    }

    /// Handles a group message from a peer.
    pub fn handle_message(&mut self, cx: CX![], from: NodeName, message: GroupMessage) {
        let now = self.now(cx);
        match message {
            GroupMessage::Consensus {
                cluster_id,
                message,
            } => self.handle_consensus_message(from, cluster_id, message, now),
            GroupMessage::Formation(message) => self.handle_formation_message(from, message, now),
            GroupMessage::Propose { proposal, command } => {
                self.propose(from, proposal, command, now)
            }
            // Replies are handled by the proposer.
            GroupMessage::ProposeReply { .. } => {}
        }
        self.process_output();
    }

    /// Records that the `count` oldest writes are synced, and sends the messages that waited.
    pub fn synced(&mut self, cx: CX![], count: usize) {
        let now = self.now(cx);
        for _ in 0..count {
            let Some(pending) = self.pending_sync.pop_front() else {
                break;
            };
            self.send_consensus(pending.messages);
            if let (ReplicaState::Member(replica), true) =
                (&mut self.state, pending.is_replica_write)
            {
                replica.on_synced(now);
            }
        }
        self.process_output();
    }

    /// Transfers leadership to another replica before a graceful shutdown.
    pub fn transfer_leadership(&mut self, cx: CX![]) {
        let now = self.now(cx);
        if let ReplicaState::Member(replica) = &mut self.state {
            replica.tick(now);
            replica.transfer_leadership();
        }
        self.process_output();
    }

    pub(super) fn handle_consensus_message(
        &mut self,
        from: NodeName,
        cluster_id: u64,
        message: Message,
        now: Millis,
    ) {
        let ReplicaState::Member(replica) = &mut self.state else {
            return;
        };
        if replica.cluster_id() != cluster_id {
            log::warn!(event = "other_cluster", group = self.setup.group.to_string().as_str(), from = from.as_str(); "dropped a message from another cluster");
            return;
        }
        self.node_by_replica.insert(message.from, from);
        replica.step(message, now);
    }

    /// Stores the initial state. Writes are synced in order, so every message of the replica
    /// is sent after this state is synced.
    pub(super) fn start_as_member(&mut self, snapshot: Snapshot, now: Millis) {
        let group = self.setup.group.to_string();
        log::info!(event = "member", group = group.as_str(), index = snapshot.meta.index; "replica started from an initial state");
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
            is_replica_write: false,
        });
        self.setup
            .state_machine
            .borrow_mut()
            .restore(&stored.snapshot.data);
        self.state = ReplicaState::Member(Box::new(create_replica(&self.setup, stored, now)));
    }

    pub(super) fn replicating_nodes(&self) -> Vec<NodeName> {
        self.setup.directory.borrow().replicating_nodes()
    }

    pub(super) fn node_of(&self, replica: ReplicaId) -> Option<NodeName> {
        if let ReplicaState::Member(own) = &self.state {
            if let Some(node) = own.membership().node_of(replica) {
                return Some(NodeName::from(node));
            }
        }
        self.node_by_replica.get(&replica).cloned()
    }

    pub(super) fn send_proposal_reply(
        &mut self,
        to: &NodeName,
        proposal: u64,
        result: ProposalResult,
    ) {
        self.send_group(to, GroupMessage::ProposeReply { proposal, result });
    }

    pub(super) fn send_group(&mut self, to: &NodeName, message: GroupMessage) {
        let group = self.setup.group;
        let message = PeerMessage::Group { group, message };
        self.setup.outbox.borrow_mut().send(to, message);
    }

    pub(super) fn send_consensus(&mut self, messages: Vec<Message>) {
        let ReplicaState::Member(replica) = &self.state else {
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

    /// Executes the replica's output until there is none left.
    pub(super) fn process_output(&mut self) {
        while let ReplicaState::Member(replica) = &mut self.state {
            if !replica.has_output() {
                break;
            }
            let output = replica.take_output();
            self.send_consensus(output.messages);
            if !output.writes.is_empty() || !output.messages_after_sync.is_empty() {
                self.setup.writer.write(output.writes);
                self.pending_sync.push_back(PendingSync {
                    messages: output.messages_after_sync,
                    is_replica_write: true,
                });
            }
            if let Some(snapshot) = output.restore {
                self.setup
                    .state_machine
                    .borrow_mut()
                    .restore(&snapshot.data);
                self.proposals = self.proposals.split_off(&(snapshot.meta.index + 1));
                fwd!([self.setup.on_applied], ());
            }
            self.apply(output.committed);
        }
        if let ReplicaState::Member(replica) = &self.state {
            let mut status = self.setup.status.borrow_mut();
            let previous = (status.leader.clone(), status.term);
            status.refresh(replica);
            let leader = status.leader.as_deref().unwrap_or_default();
            if previous.0 != status.leader {
                let group = self.setup.group.to_string();
                log::info!(event = "leader", group = group.as_str(), leader = leader, term = status.term, term_before = previous.1; "leader changed");
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
                    self.bytes_since_compaction += command.len();
                    let mut state_machine = self.setup.state_machine.borrow_mut();
                    state_machine.apply(entry.index, command)
                }
                Payload::Noop | Payload::Membership(_) => Vec::new(),
            };
            if let Some(pending) = self.proposals.remove(&entry.index) {
                let result = if pending.term == entry.term {
                    ProposalResult::Applied(reply)
                } else {
                    ProposalResult::Superseded
                };
                self.send_proposal_reply(&pending.from, pending.proposal, result);
            }
        }
        fwd!([self.setup.on_applied], ());
        if self.needs_compaction() {
            self.compact();
        }
    }

    fn needs_compaction(&self) -> bool {
        self.applied_since_compaction >= self.compaction_threshold
            || self.bytes_since_compaction >= self.compaction_threshold_bytes
    }

    pub(super) fn compact(&mut self) {
        self.applied_since_compaction = 0;
        self.bytes_since_compaction = 0;
        let data = self.setup.state_machine.borrow().snapshot();
        self.compaction_threshold =
            MIN_ENTRIES_BEFORE_COMPACTION.max(data.len() / SNAPSHOT_BYTES_PER_ENTRY);
        self.compaction_threshold_bytes = MIN_BYTES_BEFORE_COMPACTION.max(data.len());
        let ReplicaState::Member(replica) = &mut self.state else {
            return;
        };
        let snapshot = replica.compact(data, RETAINED_ENTRIES);
        let entries = replica.entries_after_snapshot();
        // The entries may include some that are not in a write batch yet. The next
        // batch writes these again at the same indices with the same content.
        self.setup
            .writer
            .compact(snapshot, replica.hard_state(), entries);
    }
}

pub(super) fn create_replica<M>(
    setup: &ReplicaSetup<M>,
    stored: StoredState,
    now: Millis,
) -> Replica {
    let incarnation = setup.outbox.borrow().incarnation();
    let config = setup.config.clone();
    Replica::new(setup.replica, config, stored, setup.seed, incarnation, now)
}
