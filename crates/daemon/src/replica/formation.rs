//! How a group forms, and how a replica that holds nothing finds its group.
//!
//! A group forms only when every voter of the settings, or every replicating node
//! that discovery found, answers and holds nothing. Each replica accepts one first state only, so two attempts can't
//! both reach a majority. A replica that holds nothing while its group has
//! formed joins it as a learner: see [`silversail_consensus::next_membership`].

use rand::Rng;
use silversail_consensus::{Membership, ReplicaId, Snapshot, SnapshotMeta};
use silversail_model::NodeName;
use std::collections::BTreeMap;

/// Index and term of a group's first state.
const FIRST_INDEX: u64 = 1;
const FIRST_TERM: u64 = 1;

/// What to do after an answer to a probe.
#[derive(Debug, PartialEq)]
pub enum FormationStep {
    /// Ask again later.
    Wait,
    /// All hold nothing and this node is the one to form the group.
    Form(Snapshot),
    /// The group has formed with this replica as a voter: take its first state.
    Adopt(Snapshot),
    /// The group has formed without this replica: join the cluster of this id.
    Join(u64),
}

/// What a replica without state knows of the others.
pub struct Formation {
    node: NodeName,
    replica: ReplicaId,
    voters: Vec<NodeName>,
    empty: BTreeMap<NodeName, ReplicaId>,
}

impl Formation {
    /// The formation state of `node`.
    pub fn new(node: NodeName, replica: ReplicaId, voters: Vec<NodeName>) -> Self {
        let empty = [(node.clone(), replica)].into();
        Self {
            node,
            replica,
            voters,
            empty,
        }
    }

    /// Nodes to probe.
    pub fn others(&self) -> impl Iterator<Item = &NodeName> {
        self.voters.iter().filter(|voter| **voter != self.node)
    }

    /// Forgets what was answered, before a new round of probes: only answers
    /// of one round may form a group. `voters` are the nodes that form it now.
    pub fn start_round(&mut self, voters: Vec<NodeName>) {
        self.voters = voters;
        self.empty = [(self.node.clone(), self.replica)].into();
    }

    /// Takes an answer. `first_data` encodes the state machine's first state.
    pub fn on_reply(
        &mut self,
        from: NodeName,
        replica: ReplicaId,
        formed: Option<Snapshot>,
        first_data: impl FnOnce() -> Vec<u8>,
        random: &mut impl Rng,
    ) -> FormationStep {
        if let Some(snapshot) = formed {
            return self.step_towards(snapshot);
        }
        self.empty.insert(from, replica);
        let is_first = self.voters.iter().min() == Some(&self.node);
        let all_empty = self
            .voters
            .iter()
            .all(|voter| self.empty.contains_key(voter));
        if !is_first || !all_empty {
            return FormationStep::Wait;
        }
        FormationStep::Form(self.first_snapshot(first_data(), random.gen()))
    }

    /// What to do about a group that exists.
    pub fn step_towards(&self, snapshot: Snapshot) -> FormationStep {
        let meta = &snapshot.meta;
        if meta.index == FIRST_INDEX && meta.membership.is_voter(self.replica) {
            FormationStep::Adopt(snapshot)
        } else {
            FormationStep::Join(meta.cluster_id)
        }
    }

    fn first_snapshot(&self, data: Vec<u8>, cluster_id: u64) -> Snapshot {
        let voters = self
            .empty
            .iter()
            .map(|(node, replica)| (*replica, node.0.clone()))
            .collect();
        Snapshot {
            meta: SnapshotMeta {
                cluster_id,
                index: FIRST_INDEX,
                term: FIRST_TERM,
                membership: Membership {
                    voters,
                    learners: BTreeMap::new(),
                },
            },
            data,
        }
    }
}
