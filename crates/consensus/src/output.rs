//! Initial state and output of a replica.

use crate::log::{Entry, HardState, Snapshot};
use crate::message::Message;

/// Raft role of a replica in its current term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Accepts entries from a leader, or waits for one.
    Follower,
    /// Requests pre-votes to find out whether it could win an election.
    PreCandidate,
    /// Requests votes in a new term.
    Candidate,
    /// Accepts proposals and replicates them.
    Leader,
}

/// State that was read from disk at startup.
#[derive(Clone, Debug, Default)]
pub struct StoredState {
    /// Stored term and vote.
    pub hard_state: HardState,
    /// The latest stored snapshot.
    pub snapshot: Snapshot,
    /// Contiguous entries that start at or before the index after the snapshot.
    pub entries: Vec<Entry>,
}

/// State to write and sync, in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WriteBatch {
    /// A snapshot that replaces everything stored before.
    pub snapshot: Option<Snapshot>,
    /// Entries to append; each replaces the entry at its index and all later ones.
    pub entries: Vec<Entry>,
    /// New term and vote.
    pub hard_state: Option<HardState>,
}

impl WriteBatch {
    /// Whether the batch contains nothing to write.
    pub fn is_empty(&self) -> bool {
        self.snapshot.is_none() && self.entries.is_empty() && self.hard_state.is_none()
    }
}

/// Actions that the caller must take after passing input to a replica.
#[derive(Clone, Debug, Default)]
pub struct Output {
    /// Messages to send immediately.
    pub messages: Vec<Message>,
    /// State to write and sync; afterwards call [`crate::Replica::on_synced`].
    pub writes: WriteBatch,
    /// Messages to send only after `writes` and all earlier writes are synced, as they
    /// acknowledge that state.
    pub messages_after_sync: Vec<Message>,
    /// A snapshot to restore the state machine from before applying `committed`.
    pub restore: Option<Snapshot>,
    /// Committed entries to apply, in log order.
    pub committed: Vec<Entry>,
}

/// Reason why a proposal was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposeError {
    /// This replica is not the leader.
    NotLeader,
    /// This replica is transferring leadership to another voter.
    LeadershipTransferInProgress,
    /// An earlier membership change, or the first entry of the term, is not committed yet.
    MembershipPending,
}
