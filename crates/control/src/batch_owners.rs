//! Which node batches which service, or which part of one. The leader assigns the
//! shards to the usable nodes and lets a node keep what it has: an owner that comes back
//! after a restart does not take its shards from the node that has them meanwhile, as two
//! nodes that batch one shard do not know of each other's calls and results.

use silversail_model::topology::Topology;
use silversail_model::{NodeName, Shard, ShardPlace};
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

/// Owners by shard.
pub type BatchOwners = BTreeMap<Shard, NodeName>;

/// Back ends of one service, counted by zone.
pub type BackendsByZone = BTreeMap<String, usize>;

/// More back ends than this are dealt to an owner a zone: all pieces pass their owner's link
/// and processor.
const MOST_MAKERS_OF_OWNER: usize = 12;
/// A service whose back ends are dealt by zone stays so down to this number, so that a
/// few that come and go do not change all owners.
const DEALT_DOWN_TO: usize = 8;

/// With several regions, a service whose zones have fewer back ends than this in the mean is
/// dealt by region: an owner of three of them fills few calls, and an order that its zone
/// can't take goes 20 ms away and back.
const FEWEST_MAKERS_OF_ZONE: usize = 6;
/// A service that is dealt by region is dealt by zone from this mean on, so that a few back
/// ends that come and go do not change all owners.
const BACK_TO_ZONES_AT: usize = 9;

/// How the back ends of a service are dealt to owners.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShardingMode {
    /// All to one.
    Whole,
    /// Those of each zone to one.
    ByZone,
    /// Those of each region to one.
    ByRegion,
}

impl ShardingMode {
    /// How the shards of a service are dealt now.
    fn of<'a>(shards: impl Iterator<Item = &'a Shard>) -> Self {
        let dealings = shards.map(|shard| match shard.place {
            ShardPlace::All => Self::Whole,
            ShardPlace::Zone(_) => Self::ByZone,
            ShardPlace::Region { .. } => Self::ByRegion,
        });
        // Back ends in zones of no known region have shards of their own beside those of
        // regions.
        dealings.max().unwrap_or(Self::Whole)
    }

    /// How a service with `makers` that is dealt as `present` is to be dealt.
    fn next(present: Self, makers: &BackendsByZone, topology: &Topology) -> Self {
        let count: usize = makers.values().sum();
        let most_of_owner = match present {
            Self::Whole => MOST_MAKERS_OF_OWNER,
            Self::ByRegion | Self::ByZone => DEALT_DOWN_TO,
        };
        if count <= most_of_owner || makers.len() < 2 {
            return Self::Whole;
        }
        let fewest_of_zone = match present {
            Self::ByRegion => BACK_TO_ZONES_AT,
            Self::Whole | Self::ByZone => FEWEST_MAKERS_OF_ZONE,
        };
        let regions = makers.keys().map(|zone| topology.region_of(zone));
        let has_regions = regions.collect::<BTreeSet<_>>().len() > 1;
        match has_regions && count < fewest_of_zone * makers.len() {
            true => Self::ByRegion,
            false => Self::ByZone,
        }
    }
}

/// A node that may own shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnerCandidate<'a> {
    /// The node.
    pub node: &'a NodeName,
    /// Its zone.
    pub zone: &'a str,
    /// Whether it replicates the state and so has other work, and is watched for by all.
    pub replicates: bool,
    /// Whether it leads the control group.
    pub leads: bool,
    /// Share of a core that it may use, in hundredths.
    pub processor_percent: u16,
    /// Whether callers may be sent to it, so that it may get a shard. One that may not, as
    /// its configuration is not confirmed, keeps the parts of services that it has.
    pub usable: bool,
}

/// The node of `nodes` that comes first for `shard` by rendezvous hash: every node
/// that asks about the same nodes names the same, and the shards are spread.
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

/// The shards of a service with `makers`, where it has those of `owners` now.
fn shards_of(
    service: &str,
    makers: Option<&BackendsByZone>,
    owners: &BatchOwners,
    topology: &Topology,
) -> BTreeSet<Shard> {
    let present = owners.keys().filter(|shard| shard.service == service);
    let Some(makers) = makers.filter(|makers| !makers.is_empty()) else {
        // Nothing is known of its back ends: it stays as it is.
        let kept: BTreeSet<Shard> = present.cloned().collect();
        return match kept.is_empty() {
            true => [Shard::whole(service)].into(),
            false => kept,
        };
    };
    let dealing = ShardingMode::next(ShardingMode::of(present), makers, topology);
    let shard_of = |zone: &String| match dealing {
        ShardingMode::Whole => Shard::whole(service),
        ShardingMode::ByRegion => Shard::in_region_of(service, zone, topology),
        ShardingMode::ByZone => Shard::in_zone(service, zone),
    };
    makers.keys().map(shard_of).collect()
}

/// Which nodes may get a part of a service that has no owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerPlacement {
    /// Those in it that own no other shard, as long as there are nodes in it at all, which may
    /// not be usable yet. After a restart of all nodes the first view names one or two, which
    /// would keep all shards of all services else.
    Near,
    /// Those first, then any.
    Anywhere,
}

/// The owner of a shard that has none. For a whole service, a node with the largest share of
/// a core among those that neither lead nor own another shard: all pieces of a service pass
/// its owner. For a zone's or region's shard, a node in it that neither replicates the state
/// nor owns another shard, where there is one.
fn new_owner<'a>(
    shard: &Shard,
    candidates: &[OwnerCandidate<'a>],
    taken: &BTreeSet<NodeName>,
    reach: OwnerPlacement,
) -> Option<&'a NodeName> {
    let first = |is_fit: &dyn Fn(&OwnerCandidate) -> bool| {
        let fit = candidates.iter().filter(|one| one.usable && is_fit(one));
        rendezvous_owner(fit.map(|one| one.node), shard)
    };
    if shard.is_whole() {
        let is_free = |one: &OwnerCandidate| one.usable && !one.leads && !taken.contains(one.node);
        let free = candidates.iter().filter(|one| is_free(one));
        let largest = free.map(|one| one.processor_percent).max();
        let is_largest = |one: &OwnerCandidate| Some(one.processor_percent) == largest;
        return first(&|one| is_free(one) && is_largest(one)).or_else(|| first(&|_| true));
    }
    let is_near = |one: &OwnerCandidate| shard.holds(one.zone);
    let is_free = |one: &OwnerCandidate| !one.replicates && !taken.contains(one.node);
    let nearest = first(&|one| is_near(one) && is_free(one));
    if reach == OwnerPlacement::Near && candidates.iter().any(is_near) {
        return nearest;
    }
    nearest
        .or_else(|| first(&is_near))
        .or_else(|| first(&is_free))
        .or_else(|| first(&|_| true))
}

/// Assigns the shards of `services` to usable nodes; owners that are usable keep what
/// they have. `makers` counts the back ends by service. True when something changed.
///
/// The owner of a part of a service keeps it while it holds a lease and does not stop. After
/// seconds without a leader no node's configuration is confirmed; if only confirmed nodes kept
/// shards, all would go to the first few and then to others, and what that sends to all nodes
/// loses the next leaders.
pub fn assign(
    owners: &mut BatchOwners,
    services: &[String],
    makers: &BTreeMap<String, BackendsByZone>,
    candidates: &[OwnerCandidate],
    topology: &Topology,
) -> bool {
    let reach = OwnerPlacement::Anywhere;
    assign_with_placement(owners, services, makers, candidates, topology, reach)
}

/// The same, where parts of services may have to wait for a node within `reach`.
pub fn assign_with_placement(
    owners: &mut BatchOwners,
    services: &[String],
    makers: &BTreeMap<String, BackendsByZone>,
    candidates: &[OwnerCandidate],
    topology: &Topology,
    reach: OwnerPlacement,
) -> bool {
    let shards = services
        .iter()
        .flat_map(|service| shards_of(service, makers.get(service), owners, topology));
    let shards: Vec<Shard> = shards.collect();
    let keeps = |shard: &Shard, owner: &NodeName| {
        let candidate = candidates.iter().find(|one| one.node == owner);
        candidate.is_some_and(|one| one.usable || !shard.is_whole())
    };
    let mut next: BatchOwners = owners
        .iter()
        .filter(|(shard, owner)| shards.contains(shard) && keeps(shard, owner))
        .map(|(shard, owner)| (shard.clone(), owner.clone()))
        .collect();
    let mut taken: BTreeSet<NodeName> = next.values().cloned().collect();
    for shard in shards {
        if next.contains_key(&shard) {
            continue;
        }
        if let Some(owner) = new_owner(&shard, candidates, &taken, reach) {
            taken.insert(owner.clone());
            next.insert(shard, owner.clone());
        }
    }
    let changed = next != *owners;
    *owners = next;
    changed
}
