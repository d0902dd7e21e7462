//! What a replica lets the other actors of its process know.

use serde::Serialize;
use silversail_consensus::{Freshness, Replica, Role};
use std::cell::RefCell;
use std::rc::Rc;

/// State of one replica, renewed after each input.
#[derive(Clone, Debug, Default)]
pub struct GroupStatus {
    /// Whether the replica is part of a formed group.
    pub formed: bool,
    /// Whether it leads.
    pub is_leader: bool,
    /// Its term.
    pub term: u64,
    /// Node of the leader, where known.
    pub leader: Option<String>,
    /// Index of the last committed entry.
    pub commit_index: u64,
    /// How current its applied state is.
    pub freshness: Freshness,
    /// Details for operators.
    pub report: Option<ReplicaReport>,
}

/// Details of a replica for operators.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ReplicaReport {
    /// Identity, as hexadecimal digits.
    pub replica: String,
    /// Role.
    pub role: String,
    /// Whether this replica itself votes; a former one of its node may stand
    /// among the voters until it is replaced.
    pub votes: bool,
    /// Nodes that vote.
    pub voters: Vec<String>,
    /// Nodes that learn.
    pub learners: Vec<String>,
    /// Entries held in memory.
    pub log_length: usize,
}

/// Status shared inside a process.
pub type SharedGroupStatus = Rc<RefCell<GroupStatus>>;

impl GroupStatus {
    /// Renews the status from a replica.
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
