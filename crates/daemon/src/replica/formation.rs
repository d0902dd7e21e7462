//! Decides when a group is formed, and how a replica with empty storage joins its group.
//!
//! A group is formed only when every voter of the settings, or every replicating node found by
//! discovery, replies that its storage is empty. The node with the lowest name forms it at once; the
//! others take its place, one after the other, if it does not: it may have started again, after which
//! it may form none. Each replica adopts only one first state, so two attempts can't both reach a
//! majority. A replica with empty storage joins a group that
//! exists as a learner: see [`silversail_consensus::next_membership`].

use rand::Rng;
use silversail_consensus::{Membership, Millis, ReplicaId, Snapshot, SnapshotMeta};
use silversail_model::NodeName;
use std::collections::BTreeMap;

/// Log index of a group's first state.
const FIRST_INDEX: u64 = 1;
/// Term of a group's first state.
const FIRST_TERM: u64 = 1;
/// Time for which all storages must have been empty before the node with the next name forms the
/// group, in milliseconds: several rounds of probes, in which the nodes before it would have done so.
const TAKEOVER_DELAY_MS: Millis = 2_000;

/// What to do after a reply to a probe.
#[derive(Debug, PartialEq)]
pub enum FormationStep {
    /// Probe again in the next round.
    Wait,
    /// All storages are empty and it is this node's turn: form the group from this state.
    Form(Snapshot),
    /// The group was formed with this replica as a voter: adopt its first state.
    Adopt(Snapshot),
    /// The group was formed without this replica: join the cluster with this identifier.
    Join(u64),
}

/// What a replica without state knows about the other replicas in this round of probes.
pub struct Formation {
    node: NodeName,
    replica: ReplicaId,
    voters: Vec<NodeName>,
    empty_replicas: BTreeMap<NodeName, ReplicaId>,
    /// Since when each round found all storages empty.
    all_empty_since: Option<Millis>,
}

impl Formation {
    /// Starts with only `node` known to have empty storage.
    pub fn new(node: NodeName, replica: ReplicaId, voters: Vec<NodeName>) -> Self {
        let empty_replicas = [(node.clone(), replica)].into();
        Self {
            node,
            replica,
            voters,
            empty_replicas,
            all_empty_since: None,
        }
    }

    /// Voters to probe: all but the own node.
    pub fn others(&self) -> impl Iterator<Item = &NodeName> {
        self.voters.iter().filter(|voter| **voter != self.node)
    }

    /// Discards earlier replies before a new round of probes: only replies of one round
    /// may form a group. `voters` are the nodes that are to form it.
    pub fn start_round(&mut self, voters: Vec<NodeName>) {
        if self.voters != voters || !self.are_all_empty() {
            self.all_empty_since = None;
        }
        self.voters = voters;
        self.empty_replicas = [(self.node.clone(), self.replica)].into();
    }

    /// Handles a reply to a probe. `initial_data` encodes the state machine's initial state.
    pub fn handle_reply(
        &mut self,
        from: NodeName,
        replica: ReplicaId,
        formed: Option<Snapshot>,
        initial_data: impl FnOnce() -> Vec<u8>,
        random_generator: &mut impl Rng,
        now: Millis,
    ) -> FormationStep {
        if let Some(snapshot) = formed {
            return self.step_for_existing_group(snapshot);
        }
        self.empty_replicas.insert(from, replica);
        if !self.are_all_empty() {
            return FormationStep::Wait;
        }
        let since = *self.all_empty_since.get_or_insert(now);
        if now.saturating_sub(since) < self.delay() {
            return FormationStep::Wait;
        }
        FormationStep::Form(self.first_snapshot(initial_data(), random_generator.gen()))
    }

    /// Whether all voters replied in this round that their storage is empty.
    fn are_all_empty(&self) -> bool {
        let mut voters = self.voters.iter();
        voters.all(|voter| self.empty_replicas.contains_key(voter))
    }

    /// Time for which the nodes with lower names may form the group first, in milliseconds.
    fn delay(&self) -> Millis {
        let before = self.voters.iter().filter(|voter| **voter < self.node);
        TAKEOVER_DELAY_MS * before.count() as Millis
    }

    /// Decides whether to adopt the first state of an existing group or to join the group.
    pub fn step_for_existing_group(&self, snapshot: Snapshot) -> FormationStep {
        let meta = &snapshot.meta;
        if meta.index == FIRST_INDEX && meta.membership.is_voter(self.replica) {
            FormationStep::Adopt(snapshot)
        } else {
            FormationStep::Join(meta.cluster_id)
        }
    }

    fn first_snapshot(&self, data: Vec<u8>, cluster_id: u64) -> Snapshot {
        let voters = self
            .empty_replicas
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
