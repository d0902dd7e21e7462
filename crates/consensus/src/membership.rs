//! Group membership. A replica's identity is bound to its storage: a node that lost its storage
//! returns with a new identity, so it cannot vote twice in a term.

use crate::log::Index;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Identity of a replica and its stored state; a random number that is never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaId(pub u64);

/// The members of a group with the names of the nodes that they run on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Replicas that vote and count towards the quorum.
    pub voters: BTreeMap<ReplicaId, String>,
    /// Replicas that receive the log without voting.
    pub learners: BTreeMap<ReplicaId, String>,
}

impl Membership {
    /// Whether `replica` is a voter.
    pub fn is_voter(&self, replica: ReplicaId) -> bool {
        self.voters.contains_key(&replica)
    }

    /// Whether `replica` is a voter or a learner.
    pub fn contains(&self, replica: ReplicaId) -> bool {
        self.is_voter(replica) || self.learners.contains_key(&replica)
    }

    /// All voters and learners.
    pub fn members(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.voters.keys().chain(self.learners.keys()).copied()
    }

    /// Number of voters in a quorum.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Name of the node that `replica` runs on; `None` if it is not a member.
    pub fn node_of(&self, replica: ReplicaId) -> Option<&str> {
        self.voters
            .get(&replica)
            .or_else(|| self.learners.get(&replica))
            .map(String::as_str)
    }

    /// The largest value that a quorum of voters has reached, where `value` returns the value of
    /// each voter.
    pub fn quorum_value<T: Ord + Default + Copy>(&self, value: impl Fn(ReplicaId) -> T) -> T {
        let mut values: Vec<T> = self.voters.keys().map(|replica| value(*replica)).collect();
        values.sort_unstable_by(|left, right| right.cmp(left));
        values.get(self.quorum() - 1).copied().unwrap_or_default()
    }
}

/// Request of a replica to become a voter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JoinRequest {
    /// Identity of the joining replica.
    pub replica: ReplicaId,
    /// Name of the node that it runs on.
    pub node: String,
}

/// Largest distance from the commit index, in entries, at which a learner may become a voter.
pub const MAX_PROMOTION_LAG: Index = 64;

/// Returns the next single-member change on the way to making the replica of `join` a voter in
/// place of its node's former replica, or `None` if there is nothing to do yet.
///
/// The replica is first added as a learner. Once it has the log, the former replica of its node
/// is removed or, if the node is new, a voter whose node `is_unreachable`, as the new node replaces a
/// lost one. Then the learner is promoted. A replica without the log never counts towards the
/// quorum, and consecutive quorums share a voter, as each step changes a single voter.
pub fn next_membership(
    current: &Membership,
    join: &JoinRequest,
    learner_lag: Option<Index>,
    is_unreachable: impl Fn(&str) -> bool,
) -> Option<Membership> {
    if current.is_voter(join.replica) {
        return None;
    }
    let mut next = current.clone();
    if !current.learners.contains_key(&join.replica) {
        next.learners.retain(|_, node| *node != join.node);
        next.learners.insert(join.replica, join.node.clone());
        return Some(next);
    }
    if learner_lag.is_none_or(|lag| lag > MAX_PROMOTION_LAG) {
        return None;
    }
    let voters = current.voters.iter();
    let former = voters
        .clone()
        .find(|(_, node)| **node == join.node)
        .or_else(|| voters.clone().find(|(_, node)| is_unreachable(node)))
        .map(|(replica, _)| *replica);
    if let Some(former) = former {
        next.voters.remove(&former);
        return Some(next);
    }
    next.learners.remove(&join.replica);
    next.voters.insert(join.replica, join.node.clone());
    Some(next)
}

/// Returns the membership without one voter whose node `is_unreachable`, if the number of voters is
/// even: an even group tolerates no more failures than the next smaller odd one. Groups of three
/// or fewer voters are not reduced, as they could not tolerate a further failure.
pub fn without_unreachable_voter(
    current: &Membership,
    own: ReplicaId,
    is_unreachable: impl Fn(&str) -> bool,
) -> Option<Membership> {
    let count = current.voters.len();
    if count <= MIN_FAULT_TOLERANT_VOTERS || !count.is_multiple_of(2) {
        return None;
    }
    let mut voters = current.voters.iter();
    let unreachable = voters.find(|(replica, node)| **replica != own && is_unreachable(node))?;
    let mut next = current.clone();
    next.voters.remove(unreachable.0);
    Some(next)
}

/// Smallest number of voters that tolerates the failure of one.
const MIN_FAULT_TOLERANT_VOTERS: usize = 3;
