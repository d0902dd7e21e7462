//! Sender nodes of a back end: the few nodes that may send to it, where all nodes together must not
//! send more than it bears. All nodes choose them alike, without messages.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

/// Why the number of sender nodes is limited. Each reason has its own ranking of the nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SenderLimit {
    /// The back end is cold.
    Cold,
    /// The back end is brittle.
    Brittle,
}

impl SenderLimit {
    /// Part of the hashes by which all nodes rank each other.
    fn label(self) -> &'static str {
        match self {
            SenderLimit::Cold => "cold_sender",
            SenderLimit::Brittle => "brittle_sender",
        }
    }
}

/// The nodes that send to back ends.
#[derive(Clone, Debug, Default)]
pub(crate) struct SenderNodes {
    local_node: String,
    nodes: Vec<String>,
}

impl SenderNodes {
    /// Sets the nodes that send requests, and the name of this node.
    pub(crate) fn set_nodes(&mut self, local_node: &str, nodes: Vec<String>) {
        self.local_node = local_node.to_owned();
        self.nodes = nodes;
    }

    /// Whether this node is among the first `senders` nodes in the back end's rendezvous ranking.
    pub(crate) fn is_sender(&self, limit: SenderLimit, backend: &str, senders: usize) -> bool {
        let local_hash = rendezvous_hash(limit, &self.local_node, backend);
        let others = self.nodes.iter().filter(|node| **node != self.local_node);
        let before = others.filter(|node| rendezvous_hash(limit, node, backend) < local_hash);
        before.take(senders).count() < senders
    }

    /// The first `senders` nodes in the back end's rendezvous ranking.
    pub(crate) fn senders(
        &self,
        limit: SenderLimit,
        backend: &str,
        senders: usize,
    ) -> impl Iterator<Item = &str> {
        let mut ranked: Vec<(u64, &String)> = self
            .nodes
            .iter()
            .map(|node| (rendezvous_hash(limit, node, backend), node))
            .collect();
        ranked.sort_unstable();
        let first = ranked.into_iter().take(senders);
        first.map(|(_, node)| node.as_str())
    }
}

fn rendezvous_hash(limit: SenderLimit, node: &str, backend: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (limit.label(), node, backend).hash(&mut hasher);
    hasher.finish()
}
