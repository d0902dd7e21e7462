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
    /// Receiver; a message for a former identity is dropped.
    pub to: ReplicaId,
    /// Sender's term; for pre-votes the term that it would stand in.
    pub term: Term,
    /// Content.
    pub body: MessageBody,
}

/// What a message says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// Asks whether a vote would be granted.
    PreVote {
        /// Index of the sender's last entry.
        last_index: Index,
        /// Term of the sender's last entry.
        last_term: Term,
        /// Whether the sender has heard no leader since it started.
        after_start: bool,
    },
    /// Answers a pre-vote.
    PreVoteReply {
        /// Whether the vote would be granted.
        granted: bool,
        /// Whether the sender can't have acknowledged a leader within an election
        /// timeout: it was up for that long and heard none.
        is_unbound: bool,
    },
    /// Asks for a vote.
    Vote {
        /// Index of the sender's last entry.
        last_index: Index,
        /// Term of the sender's last entry.
        last_term: Term,
        /// Whether the leader itself asked for the election.
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
        commit: Index,
        /// What the follower needs to know how old this message's state is.
        freshness: LeaderFreshness,
    },
    /// Answers an append or a snapshot, after its entries are synced.
    AppendReply {
        /// Whether the entries fit the follower's log.
        accepted: bool,
        /// Accepted: last index known equal to the leader's. Else: the index
        /// from which the leader should try again.
        match_index: Index,
        /// The round that this answers.
        round: u64,
        /// The follower's process and clock when it sent this.
        sent_at: Stamp,
    },
    /// Replaces a follower's state, when the entries it lacks are compacted.
    InstallSnapshot {
        /// The state.
        snapshot: Snapshot,
        /// The leader's round.
        round: u64,
    },
    /// Asks the receiver to stand for election at once: the leader is stopping.
    TimeoutNow,
}

/// Lets a follower date a leader's message on its own clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderFreshness {
    /// The leader's round; echoed in the reply.
    pub round: u64,
    /// How long before this message a quorum last confirmed the leader, in
    /// milliseconds of the leader's clock.
    pub confirmed_age: Option<Millis>,
    /// The latest `sent_at` that the leader has from this follower.
    pub echo: Option<Stamp>,
}

/// A reading of the clock of one process. Clocks of a replica's former and
/// present processes can't be compared, so a stamp names its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// The process; grows with each start of a replica.
    pub incarnation: u64,
    /// Its clock.
    pub at: Millis,
}
