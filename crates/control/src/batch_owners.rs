//! Which node batches which service, or which part of one. The leader assigns the
//! shards to the usable nodes and lets a node keep what it has: an owner that comes back
//! after a restart does not take its shards from the node that has them meanwhile, as two
//! nodes that batch one shard do not know of each other's calls and results.

use silversail_model::{NodeName, Shard};
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

/// Owners by shard.
pub type BatchOwners = BTreeMap<Shard, NodeName>;

/// Back ends of one service, counted by zone.
pub type MakersByZone = BTreeMap<String, usize>;

/// More back ends than this are dealt to an owner a zone. One owner of 42, on an eighth
/// of a core and 10 Mbit/s, had 4.5 MB/s on its link and answered after up to 87 ms
/// (99th percentile of a calm burst). Services of 15 to 18 earn 0.637 with an owner a zone and
/// 0.578 with one owner on a third of a core (five days with trouble, 64 nodes, one
/// play side by side; the second gave up to 0.619 in other plays).
const MOST_MAKERS_OF_OWNER: usize = 12;
/// A service whose back ends are dealt by zone stays so down to this number, so that a
/// few that come and go do not change all owners.
const DEALT_DOWN_TO: usize = 8;

/// A node that may own shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<'a> {
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
    /// its configuration is not confirmed, keeps the shards of zones that it has.
    pub usable: bool,
}

/// The node of `nodes` that comes first for `shard` by rendezvous hash: every node
/// that asks about the same nodes names the same, and the shards are spread.
pub fn first_for_shard<'a>(
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
fn shards_of(service: &str, makers: Option<&MakersByZone>, owners: &BatchOwners) -> Vec<Shard> {
    let present = owners.keys().filter(|shard| shard.service == service);
    let is_dealt = present.clone().any(|shard| shard.zone.is_some());
    let Some(makers) = makers.filter(|makers| !makers.is_empty()) else {
        // Nothing is known of its back ends: it stays as it is.
        let kept: Vec<Shard> = present.cloned().collect();
        return match kept.is_empty() {
            true => vec![Shard::whole(service)],
            false => kept,
        };
    };
    let count: usize = makers.values().sum();
    let most = if is_dealt {
        DEALT_DOWN_TO
    } else {
        MOST_MAKERS_OF_OWNER
    };
    if count <= most || makers.len() < 2 {
        return vec![Shard::whole(service)];
    }
    let zones = makers.keys();
    zones.map(|zone| Shard::in_zone(service, zone)).collect()
}

/// The owner of a shard that has none. For a whole service, a node with the largest share of
/// a core among those that neither lead nor own another shard: all pieces of a service pass
/// its owner. For a zone's shard, a node in the zone that neither replicates the state nor
/// owns another shard, where there is one.
fn new_owner<'a>(
    shard: &Shard,
    candidates: &[Candidate<'a>],
    taken: &BTreeSet<NodeName>,
) -> Option<&'a NodeName> {
    let first = |is_fit: &dyn Fn(&Candidate) -> bool| {
        let fit = candidates.iter().filter(|one| one.usable && is_fit(one));
        first_for_shard(fit.map(|one| one.node), shard)
    };
    let Some(zone) = &shard.zone else {
        let is_free = |one: &Candidate| one.usable && !one.leads && !taken.contains(one.node);
        let free = candidates.iter().filter(|one| is_free(one));
        let largest = free.map(|one| one.processor_percent).max();
        let is_largest = |one: &Candidate| Some(one.processor_percent) == largest;
        return first(&|one| is_free(one) && is_largest(one)).or_else(|| first(&|_| true));
    };
    let is_near = |one: &Candidate| one.zone == zone;
    let is_free = |one: &Candidate| !one.replicates && !taken.contains(one.node);
    first(&|one| is_near(one) && is_free(one))
        .or_else(|| first(&is_near))
        .or_else(|| first(&is_free))
        .or_else(|| first(&|_| true))
}

/// Assigns the shards of `services` to usable nodes; owners that are usable keep what
/// they have. `makers` counts the back ends by service. True when something changed.
///
/// The owner of a zone's shard keeps it while it holds a lease and does not stop. After 6 s
/// without a leader no node's configuration is confirmed; if only confirmed nodes kept
/// shards, all went to the first few and then to others (7,500 changes over 300 nodes in
/// 2 s, one run), and the next leaders were lost in what that sends.
pub fn assign(
    owners: &mut BatchOwners,
    services: &[String],
    makers: &BTreeMap<String, MakersByZone>,
    candidates: &[Candidate],
) -> bool {
    let shards = services
        .iter()
        .flat_map(|service| shards_of(service, makers.get(service), owners));
    let shards: Vec<Shard> = shards.collect();
    let keeps = |shard: &Shard, owner: &NodeName| {
        let candidate = candidates.iter().find(|one| one.node == owner);
        candidate.is_some_and(|one| one.usable || shard.zone.is_some())
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
        if let Some(owner) = new_owner(&shard, candidates, &taken) {
            taken.insert(owner.clone());
            next.insert(shard, owner.clone());
        }
    }
    let changed = next != *owners;
    *owners = next;
    changed
}
