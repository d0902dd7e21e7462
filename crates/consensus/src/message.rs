//! Messages between the replicas of one group.

use crate::log::{Entry, Index, Snapshot, Term};
use crate::membership::ReplicaId;
use crate::Millis;
use serde::{Deserialize, Serialize};

/// A message from one replica to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Sender.
    pub from: ReplicaId,
    /// Receiver; a replica drops messages that are addressed to another identity.
    pub to: ReplicaId,
    /// Sender's term; for pre-votes the term that the sender would enter as a candidate.
    pub term: Term,
    /// Type of the message with its fields.
    pub body: MessageBody,
}

/// Type of a [`Message`] with its fields.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// Asks whether a vote would be granted.
    PreVote {
        /// Index of the sender's last entry.
        last_index: Index,
        /// Term of the sender's last entry.
        last_term: Term,
        /// Whether the sender has had no leader contact since it started.
        after_start: bool,
    },
    /// Answers a pre-vote.
    PreVoteReply {
        /// Whether the vote would be granted.
        granted: bool,
        /// Whether no leader's lease can depend on the sender: it has been running for an election
        /// timeout without leader contact.
        is_lease_free: bool,
    },
    /// Asks for a vote.
    Vote {
        /// Index of the sender's last entry.
        last_index: Index,
        /// Term of the sender's last entry.
        last_term: Term,
        /// Whether the leader requested the election as part of a leadership transfer.
        forced: bool,
    },
    /// Answers a vote request, after the vote is synced.
    VoteReply {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Replicates entries; without any it is a heartbeat.
    Append {
        /// Index of the entry before the first one sent.
        previous_index: Index,
        /// Term of that entry.
        previous_term: Term,
        /// The entries.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit_index: Index,
        /// Lets the follower bound the age of the state in this message.
        freshness: LeaderFreshness,
    },
    /// Answers an append or a snapshot, after its entries are synced.
    AppendReply {
        /// Whether the entries matched the follower's log.
        accepted: bool,
        /// If accepted, the last index known to match the leader's log; otherwise the index from
        /// which the leader should retry.
        match_index: Index,
        /// The heartbeat round that this reply acknowledges.
        round: u64,
        /// The follower's clock when it sent this reply.
        sent_at: ProcessTimestamp,
    },
    /// Replaces a follower's state if the leader has compacted the entries that it lacks.
    InstallSnapshot {
        /// The snapshot to install.
        snapshot: Snapshot,
        /// The leader's heartbeat round, returned in the reply.
        round: u64,
    },
    /// Asks the receiver to start an election at once, to complete a leadership transfer.
    TimeoutNow,
}

/// Lets a follower convert the age of a leader's message to its own clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderFreshness {
    /// The leader's heartbeat round, returned in the reply.
    pub round: u64,
    /// Time since the start of the last round that a quorum acknowledged, in milliseconds of the
    /// leader's clock.
    pub confirmed_age: Option<Millis>,
    /// The latest `sent_at` that the leader received from this follower.
    pub echo: Option<ProcessTimestamp>,
}

/// A reading of one process's monotonic clock. Readings from different processes of a replica
/// are not comparable, so the timestamp identifies its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessTimestamp {
    /// Incarnation of the process; increases with each start of the replica.
    pub incarnation: u64,
    /// Milliseconds of the clock of that process.
    pub at: Millis,
}
