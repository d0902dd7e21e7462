//! Selection of the nodes that read the backend list. The source limits the rate of calls from
//! the whole cluster, so that normally only the leader of the control group reads it. If no
//! recent read arrives, other nodes take over one by one, beginning with the replicating nodes,
//! which distribute what they read.

use crate::session::BackendListLease;
use silversail_consensus::Millis;
use silversail_model::NodeName;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

/// Takeover delay between successive replicating nodes, in milliseconds. Covers a read and the
/// distribution of its result.
const REPLICATING_NODE_STEP: Millis = 500;
/// Takeover delay of the first other node after the end of the lease, in milliseconds. Reachable
/// replicating nodes have read the list by then.
const OTHER_NODES_DELAY: Millis = 1_500;
/// Takeover delay between successive other nodes, as a multiple of the time that one read takes at
/// the allowed rate. Keeps hundreds of isolated nodes within that rate together. A node reads
/// again only when as much time has passed since its own read.
const READS_PER_STEP: f64 = 5.0;

/// Input to the decision whether a node reads the backend list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListReaderInput {
    /// Whether the node leads the control group.
    pub is_leader: bool,
    /// Milliseconds since any node read the list that this node holds, or since the start if it
    /// holds none.
    pub age: Millis,
    /// Position of the node in the takeover order.
    pub position: ReaderPosition,
    /// Number of calls per read of the list.
    pub calls_per_read: usize,
    /// Maximum rate of calls by the whole cluster, per second.
    pub calls_per_second: f64,
    /// Time for which a read stays valid.
    pub lease: BackendListLease,
}

/// Position in the order in which nodes take over from the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReaderPosition {
    /// Among the replicating nodes, which distribute what they read.
    Replicating(usize),
    /// Among the other nodes, which read only for themselves.
    Other(usize),
}

impl ReaderPosition {
    /// Position of `own` by rendezvous hash. `others` are the known nodes that do not replicate
    /// the state.
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

impl ListReaderInput {
    /// Whether the node should read the list now.
    pub fn should_read(&self) -> bool {
        self.is_leader || self.age > self.takeover_age()
    }

    /// Age of the list from which this node reads it, in milliseconds.
    fn takeover_age(&self) -> Millis {
        let BackendListLease(lease) = self.lease;
        match self.position {
            ReaderPosition::Replicating(index) => lease + REPLICATING_NODE_STEP * index as Millis,
            ReaderPosition::Other(index) => {
                let read_seconds = self.calls_per_read as f64 / self.calls_per_second.max(0.1);
                let step = read_seconds * 1_000.0 * READS_PER_STEP;
                lease + OTHER_NODES_DELAY + (step * index as f64) as Millis
            }
        }
    }
}
