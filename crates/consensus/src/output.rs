//! What goes into a replica at its start, and what comes out of it.

use crate::log::{Entry, HardState, Snapshot};
use crate::message::Message;

/// What a replica does in its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether an election could be won.
    PreCandidate,
    /// Stands for election.
    Candidate,
    /// Leads.
    Leader,
}

/// What was read from the disk at start.
#[derive(Clone, Debug, Default)]
pub struct StoredState {
    /// Term and vote.
    pub hard_state: HardState,
    /// The newest snapshot.
    pub snapshot: Snapshot,
    /// Entries that follow a base at or before the snapshot's index.
    pub entries: Vec<Entry>,
}

/// What must be written and synced, in this order of fields.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WriteBatch {
    /// A snapshot that replaces all that was stored.
    pub snapshot: Option<Snapshot>,
    /// Entries to append; each replaces the entry at its index and all that
    /// follow.
    pub entries: Vec<Entry>,
    /// Term and vote.
    pub hard_state: Option<HardState>,
}

impl WriteBatch {
    /// Whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        self.snapshot.is_none() && self.entries.is_empty() && self.hard_state.is_none()
    }
}

/// What the caller must do after handing an input to a replica.
#[derive(Clone, Debug, Default)]
pub struct Output {
    /// Messages to send at once.
    pub messages: Vec<Message>,
    /// To be written and synced; when done, call [`crate::Replica::on_synced`].
    pub writes: WriteBatch,
    /// Messages to send only after `writes` and all earlier writes are synced:
    /// they promise what the writes hold.
    pub messages_after_sync: Vec<Message>,
    /// A snapshot that the state machine must take over before `committed`.
    pub restore: Option<Snapshot>,
    /// Entries to apply, in order.
    pub committed: Vec<Entry>,
}

/// Why a proposal was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposeError {
    /// This replica does not lead.
    NotLeader,
    /// This replica hands leadership over: another one leads in a moment.
    LeadershipTransferInProgress,
    /// A membership change is under way.
    MembershipPending,
}
