//! Which node batches which service: dealt over the usable nodes by rendezvous
//! hash, so that every node with the same view names the same, and only the
//! services of a node that leaves move.

use silversail_control::ClusterView;
use silversail_model::NodeName;
use silversail_serving::selection::rank;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

/// The node that batches `service` by `view`; `own` where the view names none.
pub fn batch_owner(view: &ClusterView, service: &str, own: &NodeName) -> NodeName {
    let mut hasher = DefaultHasher::new();
    service.hash(&mut hasher);
    let key = hasher.finish();
    let nodes = view.usable_nodes().map(|status| &status.node);
    nodes
        .max_by_key(|node| rank(key, node.as_str()))
        .unwrap_or(own)
        .clone()
}
