//! Selection of the nodes whose addresses callers are given: the nodes of the caller's region,
//! and nodes of other regions if there are too few.

use silversail_control::NodeStatus;
use silversail_model::topology::{RegionFilter, Topology};
use std::collections::hash_map::DefaultHasher;
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

/// Minimum number of nodes in a region, as a share of the mean over all regions. A region that
/// lost one of two zones still meets it, so that its callers stay local. Its nodes then have twice
/// their load, but answers from another region would be later.
const MIN_SHARE_OF_MEAN: f64 = 0.5;
/// Minimum number of nodes, so that callers have alternatives when one fails.
const MIN_NODES: usize = 3;

/// Lookup of entry points by a caller.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EntryPointLookup {
    /// Host that the caller wants to reach.
    pub host: Option<String>,
    /// Region of the caller.
    pub region: Option<String>,
    /// Zone of the caller.
    pub zone: Option<String>,
}

impl EntryPointLookup {
    /// The named region if the topology has it, otherwise the region of the zone.
    fn region<'a>(&'a self, topology: &'a Topology) -> Option<&'a str> {
        let zone_region = self
            .zone
            .as_deref()
            .and_then(|zone| topology.region_of(zone));
        let named_region = self.region.as_deref();
        let known_region = named_region.filter(|region| topology.regions().contains(region));
        known_region.or(zone_region)
    }

    /// Sort key of a node. Callers of the same host and zone get the same nodes from every node
    /// that they ask, as they drop connections to nodes that a newer answer does not name. Other
    /// callers get a different selection, which spreads the load.
    fn sort_key(&self, node: &NodeStatus) -> u64 {
        let mut hasher = DefaultHasher::new();
        (&self.host, &self.zone, node.node.as_str()).hash(&mut hasher);
        hasher.finish()
    }
}

/// Selects at most `max_nodes` of the usable nodes for a lookup. Only nodes in the caller's
/// region and in `allowed` regions are eligible. Those of the caller's region come first; nodes
/// of other regions are added if there are too few. If the region is unknown or has no node, all
/// eligible nodes are used.
pub fn choose_entry_points<'a>(
    usable: impl Iterator<Item = &'a NodeStatus>,
    caller: &EntryPointLookup,
    allowed: &RegionFilter,
    topology: &Topology,
    max_nodes: usize,
) -> Vec<&'a NodeStatus> {
    let own_region = caller.region(topology);
    let region_of = |node: &NodeStatus| topology.region_of(&node.zone);
    let is_in_own_region =
        |node: &NodeStatus| own_region.is_some() && region_of(node) == own_region;
    let nodes = usable.filter(|node| is_in_own_region(node) || allowed.allows(region_of(node)));
    let mut nodes: Vec<&NodeStatus> = nodes.collect();
    nodes.sort_by_cached_key(|node| (!is_in_own_region(node), caller.sort_key(node)));
    let own_region_nodes = nodes.iter().filter(|node| is_in_own_region(node)).count();
    if own_region_nodes > 0 {
        let regions: BTreeSet<Option<&str>> = nodes.iter().map(|node| region_of(node)).collect();
        let mean = nodes.len() as f64 / regions.len().max(1) as f64;
        let min_by_mean = (mean * MIN_SHARE_OF_MEAN).ceil() as usize;
        nodes.truncate(own_region_nodes.max(min_by_mean).max(MIN_NODES));
    }
    nodes.truncate(max_nodes);
    nodes
}
