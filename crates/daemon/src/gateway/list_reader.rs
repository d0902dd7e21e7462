//! Which nodes read the list of back ends, and when. Its source takes few calls a
//! second from all nodes together, and a list of many back ends takes several calls,
//! so that reading is the work of few: the leader of the control group reads for all.
//! Where its reads do not arrive, the other nodes step in one after the other,
//! the replicating ones first, as they pass on what they read.

use crate::session::BackendListLease;
use silversail_consensus::Millis;
use silversail_model::NodeName;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

/// A replicating node waits for each one before it in the order so much longer, in
/// milliseconds: it takes as long to read the list and to spread what was read.
const STEP_OF_REPLICATING: Millis = 500;
/// Other nodes wait so much longer than the lease before the first of them reads, in
/// milliseconds: any replicating node that can be reached has read by then.
const OTHERS_AFTER: Millis = 1_500;
/// Each of the other nodes steps in later than the one before it by so many times the
/// share that one read takes of the allowed rate. A node reads again when as much time
/// has passed since its own read, so that hundreds of nodes that are all cut off from each
/// other keep within that rate (`daemon/tests/list_reader.rs`).
const READS_PER_STEP: f64 = 5.0;

/// What a node knows of the list when it decides whether to read it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListKnowledge {
    /// Whether it leads the control group.
    pub leads: bool,
    /// How long ago any node read what it holds, or since its start where it holds
    /// nothing, in milliseconds.
    pub age: Millis,
    /// Its place in the order in which nodes step in.
    pub place: ReaderPlace,
    /// Calls that one read of the list takes.
    pub calls_of_read: usize,
    /// Calls that all nodes together may make in a second.
    pub calls_per_second: f64,
    /// For how long nodes rely on a read.
    pub lease: BackendListLease,
}

/// A place in the order in which nodes step in for the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReaderPlace {
    /// Among the nodes that replicate the state, which pass on what they read.
    Replicating(usize),
    /// Among the others, which read for themselves.
    Other(usize),
}

impl ReaderPlace {
    /// The place of `own`, by rendezvous hash. `others` are the nodes that do not
    /// replicate the state, as far as they are known.
    pub fn of<'a>(
        own: &NodeName,
        replicating: &'a [NodeName],
        others: impl Iterator<Item = &'a NodeName>,
    ) -> Self {
        if replicating.contains(own) {
            Self::Replicating(nodes_before(own, replicating.iter()))
        } else {
            Self::Other(nodes_before(own, others))
        }
    }
}

fn nodes_before<'a>(own: &NodeName, nodes: impl Iterator<Item = &'a NodeName>) -> usize {
    let own_hash = hash_of(own);
    nodes.filter(|node| hash_of(node) < own_hash).count()
}

fn hash_of(node: &NodeName) -> u64 {
    let mut hasher = DefaultHasher::new();
    ("backend_list", node.as_str()).hash(&mut hasher);
    hasher.finish()
}

impl ListKnowledge {
    /// Whether the node reads the list now.
    pub fn reads(&self) -> bool {
        self.leads || self.age > self.steps_in_at()
    }

    /// Age of the list at which this node reads it, in milliseconds.
    fn steps_in_at(&self) -> Millis {
        let BackendListLease(lease) = self.lease;
        match self.place {
            ReaderPlace::Replicating(place) => lease + STEP_OF_REPLICATING * place as Millis,
            ReaderPlace::Other(place) => {
                let seconds_of_read = self.calls_of_read as f64 / self.calls_per_second.max(0.1);
                let step = seconds_of_read * 1_000.0 * READS_PER_STEP;
                lease + OTHERS_AFTER + (step * place as f64) as Millis
            }
        }
    }
}
