//! Who votes. A replica's identity is bound to its disk: an emptied disk comes
//! back under a new identity and so can't vote with what it has forgotten.

use crate::log::Index;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Identity of one replica's stored state; random, never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaId(pub u64);

/// The members of a group, each with the name of the node it runs on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Replicas that vote and count for the quorum.
    pub voters: BTreeMap<ReplicaId, String>,
    /// Replicas that receive the log and do not count.
    pub learners: BTreeMap<ReplicaId, String>,
}

impl Membership {
    /// Whether `replica` votes.
    pub fn is_voter(&self, replica: ReplicaId) -> bool {
        self.voters.contains_key(&replica)
    }

    /// Whether `replica` votes or learns.
    pub fn contains(&self, replica: ReplicaId) -> bool {
        self.is_voter(replica) || self.learners.contains_key(&replica)
    }

    /// Every member.
    pub fn members(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.voters.keys().chain(self.learners.keys()).copied()
    }

    /// How many voters make a quorum.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// The node that `replica` runs on.
    pub fn node_of(&self, replica: ReplicaId) -> Option<&str> {
        self.voters
            .get(&replica)
            .or_else(|| self.learners.get(&replica))
            .map(String::as_str)
    }

    /// The largest value that a quorum of voters has reached, where `value`
    /// gives what each has reached.
    pub fn quorum_value<T: Ord + Default + Copy>(&self, value: impl Fn(ReplicaId) -> T) -> T {
        let mut reached: Vec<T> = self.voters.keys().map(|replica| value(*replica)).collect();
        reached.sort_unstable_by(|left, right| right.cmp(left));
        reached.get(self.quorum() - 1).copied().unwrap_or_default()
    }
}

/// A replica that asks to become a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JoinRequest {
    /// Identity of the replica.
    pub replica: ReplicaId,
    /// Node that it runs on.
    pub node: String,
}

/// How far behind the commit index a learner may be to become a voter.
pub const PROMOTION_LAG: Index = 64;

/// The next single change of membership that brings the replica of `join` in
/// as a voter in place of its node's former replica, or none when there is
/// nothing to do yet.
///
/// Order: learner first; then, once it holds the log, the former replica goes,
/// or, where the node is new, a voter whose node `is_silent`: a machine that is
/// gone for good has a successor under another name, and must not go on counting.
/// Then the learner becomes a voter. A quorum is never counted on a replica
/// that lacks the log, and any two consecutive quorums share a voter, as each
/// step changes one voter only.
pub fn next_membership(
    current: &Membership,
    join: &JoinRequest,
    learner_lag: Option<Index>,
    is_silent: impl Fn(&str) -> bool,
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
    if learner_lag.is_none_or(|lag| lag > PROMOTION_LAG) {
        return None;
    }
    let voters = current.voters.iter();
    let former = voters
        .clone()
        .find(|(_, node)| **node == join.node)
        .or_else(|| voters.clone().find(|(_, node)| is_silent(node)))
        .map(|(replica, _)| *replica);
    if let Some(former) = former {
        next.voters.remove(&former);
        return Some(next);
    }
    next.learners.remove(&join.replica);
    next.voters.insert(join.replica, join.node.clone());
    Some(next)
}

/// The membership without a voter whose node `is_silent`, where that makes the
/// group bear more: an even number of voters bears no more losses than the odd
/// one below it, so a silent voter of an even group only costs. A group of three
/// or fewer is never made smaller, as a lost disk on top would end it.
pub fn without_unreachable_voter(
    current: &Membership,
    own: ReplicaId,
    is_silent: impl Fn(&str) -> bool,
) -> Option<Membership> {
    let count = current.voters.len();
    if count <= SMALLEST_SAFE || !count.is_multiple_of(2) {
        return None;
    }
    let mut voters = current.voters.iter();
    let silent = voters.find(|(replica, node)| **replica != own && is_silent(node))?;
    let mut next = current.clone();
    next.voters.remove(silent.0);
    Some(next)
}

/// Fewest voters that bear the loss of one.
const SMALLEST_SAFE: usize = 3;
