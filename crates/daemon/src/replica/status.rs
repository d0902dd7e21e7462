//! Replica status that is shared with the other actors of the process.

use serde::Serialize;
use silversail_consensus::{Freshness, Replica, Role};
use std::cell::RefCell;
use std::rc::Rc;

/// State of one replica, updated after each input.
#[derive(Clone, Debug, Default)]
pub struct GroupStatus {
    /// Whether the replica is part of a formed group.
    pub formed: bool,
    /// Whether the replica is the leader of its group.
    pub is_leader: bool,
    /// Current consensus term.
    pub term: u64,
    /// Node of the leader, if known.
    pub leader: Option<String>,
    /// Index of the last committed entry.
    pub commit_index: u64,
    /// When a quorum last confirmed that the applied state is current.
    pub freshness: Freshness,
    /// Details for operators; none before the group is formed.
    pub report: Option<ReplicaReport>,
}

/// Details of a replica for operators.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ReplicaReport {
    /// Identity as 16 hexadecimal digits.
    pub replica: String,
    /// Consensus role in lower case.
    pub role: String,
    /// Whether this replica itself is a voter; a former replica of its node may remain
    /// among the voters until it is replaced.
    pub votes: bool,
    /// Nodes of the voters.
    pub voters: Vec<String>,
    /// Nodes of the learners, which do not vote.
    pub learners: Vec<String>,
    /// Number of log entries in memory.
    pub log_length: usize,
}

/// Status shared by the actors of a process.
pub type SharedGroupStatus = Rc<RefCell<GroupStatus>>;

impl GroupStatus {
    /// Updates the status from the replica's current state.
    pub fn refresh(&mut self, replica: &Replica) {
        let membership = replica.membership();
        self.formed = true;
        self.is_leader = replica.role() == Role::Leader;
        self.term = replica.term();
        self.leader = replica
            .leader()
            .and_then(|leader| membership.node_of(leader))
            .map(str::to_owned);
        self.commit_index = replica.commit_index();
        self.freshness = replica.freshness();
        self.report = Some(ReplicaReport {
            replica: format!("{:016x}", replica.id().0),
            role: format!("{:?}", replica.role()).to_lowercase(),
            votes: membership.is_voter(replica.id()),
            voters: membership.voters.values().cloned().collect(),
            learners: membership.learners.values().cloned().collect(),
            log_length: replica.log_length(),
        });
    }
}
