//! Which node batches which service. The leader assigns the services to the usable
//! nodes and lets a node keep what it has: an owner that comes back after a restart
//! does not take its services from the node that has them meanwhile, as two nodes that
//! batch one service do not know of each other's calls and results.

use silversail_model::NodeName;
use std::collections::hash_map::DefaultHasher;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

/// Owners by service.
pub type BatchOwners = BTreeMap<String, NodeName>;

/// The node of `nodes` that comes first for `service` by rendezvous hash: every node
/// that asks about the same nodes names the same, and the services are spread.
pub fn first_for_service<'a>(
    nodes: impl Iterator<Item = &'a NodeName>,
    service: &str,
) -> Option<&'a NodeName> {
    nodes.max_by_key(|node| {
        let mut hasher = DefaultHasher::new();
        (service, node.as_str()).hash(&mut hasher);
        hasher.finish()
    })
}

/// Assigns `services` to the `usable` nodes; owners that are usable keep what they have.
/// True when something changed.
pub fn assign(owners: &mut BatchOwners, services: &[String], usable: &[&NodeName]) -> bool {
    let mut next = BatchOwners::new();
    for service in services {
        let kept = owners.get(service).filter(|owner| usable.contains(owner));
        let owner = kept.or_else(|| first_for_service(usable.iter().copied(), service));
        if let Some(owner) = owner {
            next.insert(service.clone(), owner.clone());
        }
    }
    let changed = next != *owners;
    *owners = next;
    changed
}
