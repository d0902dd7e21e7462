//! Assignment of service shards to the nodes that batch their calls.
//!
//! The leader assigns shards to usable nodes. Assignments are sticky: an owner that returns after
//! a restart does not get its shards back, as two nodes that batch the same shard at the same time
//! do not know each other's calls and results.

use silversail_model::topology::Topology;
use silversail_model::{NodeName, Shard, ShardScope};
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

/// Owning node of each shard.
pub type BatchOwners = BTreeMap<Shard, NodeName>;

/// Number of back ends of one service in each zone.
pub type BackendsByZone = BTreeMap<String, usize>;

/// Maximum number of back ends of an unsharded service. All calls to them use the owner's link and
/// processor.
const MAX_BACKENDS_PER_OWNER: usize = 12;
/// Maximum number of back ends at which a sharded service becomes unsharded again; lower than
/// [`MAX_BACKENDS_PER_OWNER`], so that small changes do not reassign all shards.
const MAX_BACKENDS_TO_UNSHARD: usize = 8;

/// Minimum mean number of back ends per zone for sharding by zone when there are several regions.
/// With fewer, owners form small batches and send overflow to other regions. An order that its
/// zone cannot take goes to another region and back, which takes 20 ms.
const MIN_MEAN_BACKENDS_PER_ZONE: usize = 6;
/// Minimum mean number of back ends per zone at which a service sharded by region becomes sharded
/// by zone; higher than [`MIN_MEAN_BACKENDS_PER_ZONE`], so that small changes do not reassign all
/// shards.
const MIN_MEAN_BACKENDS_TO_LEAVE_REGIONS: usize = 9;

/// How the back ends of a service are divided into shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShardingMode {
    /// One shard with all back ends.
    Whole,
    /// One shard per zone.
    ByZone,
    /// One shard per region.
    ByRegion,
}

impl ShardingMode {
    /// Sharding mode of the existing shards of a service.
    fn of<'a>(shards: impl Iterator<Item = &'a Shard>) -> Self {
        let modes = shards.map(|shard| match shard.scope {
            ShardScope::All => Self::Whole,
            ShardScope::Zone(_) => Self::ByZone,
            ShardScope::Region { .. } => Self::ByRegion,
        });
        // With sharding by region, zones outside of any known region have shards of their own.
        modes.max().unwrap_or(Self::Whole)
    }

    /// Next sharding mode of a service with `backends` whose current mode is `current`.
    fn next(current: Self, backends: &BackendsByZone, topology: &Topology) -> Self {
        let count: usize = backends.values().sum();
        let max_unsharded = match current {
            Self::Whole => MAX_BACKENDS_PER_OWNER,
            Self::ByRegion | Self::ByZone => MAX_BACKENDS_TO_UNSHARD,
        };
        if count <= max_unsharded || backends.len() < 2 {
            return Self::Whole;
        }
        let min_mean_per_zone = match current {
            Self::ByRegion => MIN_MEAN_BACKENDS_TO_LEAVE_REGIONS,
            Self::Whole | Self::ByZone => MIN_MEAN_BACKENDS_PER_ZONE,
        };
        let regions = backends.keys().map(|zone| topology.region_of(zone));
        let has_regions = regions.collect::<BTreeSet<_>>().len() > 1;
        match has_regions && count < min_mean_per_zone * backends.len() {
            true => Self::ByRegion,
            false => Self::ByZone,
        }
    }
}

/// A node to which shards may be assigned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnerCandidate<'a> {
    /// Name of the node.
    pub node: &'a NodeName,
    /// Zone that the node is in.
    pub zone: &'a str,
    /// Whether the node is a replica of the control group, which adds load to it.
    pub replicates: bool,
    /// Whether the node is the leader of the control group.
    pub leads: bool,
    /// Share of a processor core that the node may use, in percent.
    pub processor_percent: u16,
    /// Whether the node may serve callers and get new shards. A node whose configuration is not
    /// confirmed is not usable but keeps its zone and region shards.
    pub usable: bool,
}

/// Selects an owner for `shard` from `nodes` by rendezvous hashing. The result is the same on every
/// node that passes the same `nodes`.
pub fn rendezvous_owner<'a>(
    nodes: impl Iterator<Item = &'a NodeName>,
    shard: &Shard,
) -> Option<&'a NodeName> {
    let name = shard.to_string();
    nodes.max_by_key(|node| {
        let mut hasher = DefaultHasher::new();
        (name.as_str(), node.as_str()).hash(&mut hasher);
        hasher.finish()
    })
}

/// Returns the shards that a service with `backends` should have, given its existing ones in
/// `owners`.
fn shards_of(
    service: &str,
    backends: Option<&BackendsByZone>,
    owners: &BatchOwners,
    topology: &Topology,
) -> BTreeSet<Shard> {
    let existing = owners.keys().filter(|shard| shard.service == service);
    let Some(backends) = backends.filter(|backends| !backends.is_empty()) else {
        // The back ends of the service are not known; keep its existing shards.
        let retained: BTreeSet<Shard> = existing.cloned().collect();
        return match retained.is_empty() {
            true => [Shard::whole_service(service)].into(),
            false => retained,
        };
    };
    let mode = ShardingMode::next(ShardingMode::of(existing), backends, topology);
    let shard_of = |zone: &String| match mode {
        ShardingMode::Whole => Shard::whole_service(service),
        ShardingMode::ByRegion => Shard::in_region_of(service, zone, topology),
        ShardingMode::ByZone => Shard::in_zone(service, zone),
    };
    backends.keys().map(shard_of).collect()
}

/// Which nodes may get a zone or region shard without an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerPlacement {
    /// Only nodes in the shard's zone or region that own no other shard, if there are any nodes
    /// there, usable or not. After a restart of all nodes this prevents the first usable nodes from
    /// getting all shards.
    LocalOnly,
    /// Any node, with a preference for those of the shard's zone or region.
    Any,
}

/// Selects an owner for a shard without one. An unsharded service gets a node with the largest
/// processor share that neither is the leader nor owns another shard, as all its calls pass through
/// the owner. A zone or region shard gets, if possible, a node of that zone or region that neither
/// is a replica nor owns another shard.
fn new_owner<'a>(
    shard: &Shard,
    candidates: &[OwnerCandidate<'a>],
    owning_nodes: &BTreeSet<NodeName>,
    placement: OwnerPlacement,
) -> Option<&'a NodeName> {
    let select = |is_suitable: &dyn Fn(&OwnerCandidate) -> bool| {
        let suitable = candidates
            .iter()
            .filter(|candidate| candidate.usable && is_suitable(candidate));
        rendezvous_owner(suitable.map(|candidate| candidate.node), shard)
    };
    if shard.is_whole_service() {
        let is_available = |candidate: &OwnerCandidate| {
            candidate.usable && !candidate.leads && !owning_nodes.contains(candidate.node)
        };
        let available = candidates
            .iter()
            .filter(|candidate| is_available(candidate));
        let largest_share = available.map(|candidate| candidate.processor_percent).max();
        let has_largest_share =
            |candidate: &OwnerCandidate| Some(candidate.processor_percent) == largest_share;
        return select(&|candidate| is_available(candidate) && has_largest_share(candidate))
            .or_else(|| select(&|_| true));
    }
    let is_local = |candidate: &OwnerCandidate| shard.contains_zone(candidate.zone);
    let is_available = |candidate: &OwnerCandidate| {
        !candidate.replicates && !owning_nodes.contains(candidate.node)
    };
    let local_owner = select(&|candidate| is_local(candidate) && is_available(candidate));
    if placement == OwnerPlacement::LocalOnly && candidates.iter().any(is_local) {
        return local_owner;
    }
    local_owner
        .or_else(|| select(&is_local))
        .or_else(|| select(&is_available))
        .or_else(|| select(&|_| true))
}

/// Assigns the shards of `services` to usable nodes; usable owners keep their shards. `backends`
/// contains the number of back ends of each service. Returns whether any assignment changed.
///
/// The owner of a zone or region shard keeps it for as long as it is a candidate, even if it is not
/// usable. After an outage of the control group no node's configuration is confirmed; moving all
/// shards then would flood the network with view updates and destabilize the next leader.
pub fn assign(
    owners: &mut BatchOwners,
    services: &[String],
    backends: &BTreeMap<String, BackendsByZone>,
    candidates: &[OwnerCandidate],
    topology: &Topology,
) -> bool {
    let placement = OwnerPlacement::Any;
    assign_with_placement(owners, services, backends, candidates, topology, placement)
}

/// Like [`assign`], with `placement` restricting which nodes may get zone and region shards.
pub fn assign_with_placement(
    owners: &mut BatchOwners,
    services: &[String],
    backends: &BTreeMap<String, BackendsByZone>,
    candidates: &[OwnerCandidate],
    topology: &Topology,
    placement: OwnerPlacement,
) -> bool {
    let shards = services
        .iter()
        .flat_map(|service| shards_of(service, backends.get(service), owners, topology));
    let shards: Vec<Shard> = shards.collect();
    let keeps_shard = |shard: &Shard, owner: &NodeName| {
        let candidate = candidates.iter().find(|candidate| candidate.node == owner);
        candidate.is_some_and(|candidate| candidate.usable || !shard.is_whole_service())
    };
    let mut next: BatchOwners = owners
        .iter()
        .filter(|(shard, owner)| shards.contains(shard) && keeps_shard(shard, owner))
        .map(|(shard, owner)| (shard.clone(), owner.clone()))
        .collect();
    let mut owning_nodes: BTreeSet<NodeName> = next.values().cloned().collect();
    for shard in shards {
        if next.contains_key(&shard) {
            continue;
        }
        if let Some(owner) = new_owner(&shard, candidates, &owning_nodes, placement) {
            owning_nodes.insert(owner.clone());
            next.insert(shard, owner.clone());
        }
    }
    let has_changed = next != *owners;
    *owners = next;
    has_changed
}
