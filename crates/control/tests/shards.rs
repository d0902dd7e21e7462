//! Assignment of service shards to batching nodes.

use rstest::rstest;
use silversail_control::batch_owners::{assign, BackendsByZone, BatchOwners, OwnerCandidate};
use silversail_model::topology::{RoundTrips, Topology};
use silversail_model::{NodeName, Shard, ShardScope};
use std::collections::{BTreeMap, BTreeSet};

const ZONES: [&str; 3] = ["a", "b", "c"];
const NODES_PER_ZONE: usize = 5;

/// Nodes of three zones; the first node of each zone is a replica.
fn nodes() -> Vec<(NodeName, &'static str, bool)> {
    let numbers = 0..NODES_PER_ZONE;
    let of_zone = |zone: &'static str| {
        numbers
            .clone()
            .map(move |number| (NodeName(format!("{zone}{number}")), zone, number == 0))
    };
    ZONES.into_iter().flat_map(of_zone).collect()
}

fn candidates(nodes: &[(NodeName, &'static str, bool)]) -> Vec<OwnerCandidate<'static>> {
    let leaked = nodes.iter().map(|(node, zone, replicates)| OwnerCandidate {
        node: Box::leak(Box::new(node.clone())),
        zone,
        replicates: *replicates,
        leads: false,
        processor_percent: 100,
        usable: true,
    });
    leaked.collect()
}

fn backends(counts: [usize; 3]) -> BTreeMap<String, BackendsByZone> {
    let zones = ZONES.into_iter().zip(counts);
    let of_service: BackendsByZone = zones
        .filter(|(_, count)| *count > 0)
        .map(|(zone, count)| (zone.to_owned(), count))
        .collect();
    ["s1", "s2"]
        .map(|service| (service.to_owned(), of_service.clone()))
        .into()
}

fn services() -> Vec<String> {
    vec!["s1".to_owned(), "s2".to_owned()]
}

fn zone_of(shard: &Shard) -> Option<String> {
    match &shard.scope {
        ShardScope::Zone(zone) => Some(zone.clone()),
        ShardScope::All | ShardScope::Region { .. } => None,
    }
}

fn shards(owners: &BatchOwners, service: &str) -> Vec<Option<String>> {
    let of_service = owners.keys().filter(|shard| shard.service == service);
    of_service.map(zone_of).collect()
}

#[rstest]
#[case::few([4, 4, 4], false)]
#[case::many([5, 4, 4], true)]
#[case::many_in_one_zone([40, 0, 0], false)]
fn only_a_service_with_many_backends_is_sharded_by_zone(
    #[case] counts: [usize; 3],
    #[case] sharded: bool,
) {
    let mut owners = BatchOwners::new();
    assign(
        &mut owners,
        &services(),
        &backends(counts),
        &candidates(&nodes()),
        &Topology::default(),
    );
    let expected: Vec<Option<String>> = match sharded {
        true => ZONES.iter().map(|zone| Some((*zone).to_owned())).collect(),
        false => vec![None],
    };
    assert_eq!(shards(&owners, "s1"), expected);
}

#[test]
fn each_zone_shard_has_a_distinct_local_owner_that_is_not_a_replica() {
    let nodes = nodes();
    let mut owners = BatchOwners::new();
    assign(
        &mut owners,
        &services(),
        &backends([20, 20, 20]),
        &candidates(&nodes),
        &Topology::default(),
    );
    assert_eq!(owners.len(), 6);
    let distinct: BTreeSet<&NodeName> = owners.values().collect();
    assert_eq!(distinct.len(), 6);
    for (shard, owner) in &owners {
        let (_, zone, replicates) = nodes
            .iter()
            .find(|(node, ..)| node == owner)
            .expect("known");
        assert_eq!(zone_of(shard).as_deref(), Some(*zone));
        assert!(!replicates, "{owner}");
    }
}

#[test]
fn only_the_shards_of_a_removed_node_move_and_they_do_not_return_to_it() {
    let nodes = nodes();
    let (backends, services) = (backends([20, 20, 20]), services());
    let mut owners = BatchOwners::new();
    assign(
        &mut owners,
        &services,
        &backends,
        &candidates(&nodes),
        &Topology::default(),
    );
    let before = owners.clone();
    let removed = before[&Shard::in_zone("s1", "b")].clone();
    let others: Vec<_> = nodes
        .iter()
        .filter(|(node, ..)| *node != removed)
        .cloned()
        .collect();
    assert!(assign(
        &mut owners,
        &services,
        &backends,
        &candidates(&others),
        &Topology::default()
    ));
    for (shard, owner) in &before {
        assert_eq!(owners[shard] == *owner, *owner != removed, "{shard}");
    }
    let moved = owners.clone();
    assert!(!assign(
        &mut owners,
        &services,
        &backends,
        &candidates(&nodes),
        &Topology::default()
    ));
    assert_eq!(owners, moved);
}

#[test]
fn a_zone_without_nodes_gets_an_owner_in_another_zone() {
    let others: Vec<_> = nodes()
        .into_iter()
        .filter(|(_, zone, _)| *zone != "c")
        .collect();
    let mut owners = BatchOwners::new();
    assign(
        &mut owners,
        &services(),
        &backends([20, 20, 20]),
        &candidates(&others),
        &Topology::default(),
    );
    assert_eq!(shards(&owners, "s1").len(), 3);
}

#[test]
fn a_service_stays_sharded_while_few_backends_are_removed_or_none_are_known() {
    let candidates = candidates(&nodes());
    let mut owners = BatchOwners::new();
    assign(
        &mut owners,
        &services(),
        &backends([5, 4, 4]),
        &candidates,
        &Topology::default(),
    );
    let sharded = owners.clone();
    assert!(!assign(
        &mut owners,
        &services(),
        &backends([3, 3, 3]),
        &candidates,
        &Topology::default()
    ));
    // A new leader does not know the back ends yet.
    assert!(!assign(
        &mut owners,
        &services(),
        &BTreeMap::new(),
        &candidates,
        &Topology::default()
    ));
    assert_eq!(owners, sharded);
    assert!(assign(
        &mut owners,
        &services(),
        &backends([3, 3, 2]),
        &candidates,
        &Topology::default()
    ));
    assert_eq!(shards(&owners, "s1"), [None]);
}

#[test]
fn a_zone_without_backends_has_no_shard() {
    let candidates = candidates(&nodes());
    let mut owners = BatchOwners::new();
    assign(
        &mut owners,
        &services(),
        &backends([20, 20, 20]),
        &candidates,
        &Topology::default(),
    );
    assign(
        &mut owners,
        &services(),
        &backends([20, 0, 20]),
        &candidates,
        &Topology::default(),
    );
    let zones: Vec<Option<String>> = vec![Some("a".to_owned()), Some("c".to_owned())];
    assert_eq!(shards(&owners, "s2"), zones);
}

#[test]
fn owners_without_confirmed_configuration_keep_their_shards_and_get_no_new_ones() {
    let nodes = nodes();
    let (backends, services) = (backends([20, 20, 20]), services());
    let mut owners = BatchOwners::new();
    assign(
        &mut owners,
        &services,
        &backends,
        &candidates(&nodes),
        &Topology::default(),
    );
    let before = owners.clone();
    let mut unconfirmed = candidates(&nodes);
    for candidate in &mut unconfirmed {
        candidate.usable = candidate.node.as_str() == "a1";
    }
    assert!(!assign(
        &mut owners,
        &services,
        &backends,
        &unconfirmed,
        &Topology::default()
    ));
    assert_eq!(owners, before);
    let mut fresh = BatchOwners::new();
    assign(
        &mut fresh,
        &services,
        &backends,
        &unconfirmed,
        &Topology::default(),
    );
    assert!(fresh.values().all(|owner| owner.as_str() == "a1"));
}

/// All calls of an unsharded service pass through its owner, which small nodes cannot sustain.
#[test]
fn unsharded_services_are_assigned_to_the_largest_nodes_except_the_leader() {
    let names: Vec<NodeName> = (0..20)
        .map(|number| NodeName(format!("n{number}")))
        .collect();
    let candidates: Vec<OwnerCandidate> = names
        .iter()
        .enumerate()
        .map(|(number, node)| OwnerCandidate {
            node,
            zone: "a",
            replicates: number < 4,
            leads: number == 0,
            processor_percent: if number < 4 { 32 } else { 12 },
            usable: true,
        })
        .collect();
    let services: Vec<String> = (0..3).map(|number| format!("s{number}")).collect();
    let mut owners = BatchOwners::new();
    assert!(assign(
        &mut owners,
        &services,
        &BTreeMap::new(),
        &candidates,
        &Topology::default()
    ));
    let chosen: BTreeSet<&NodeName> = owners.values().collect();
    assert_eq!(chosen, names[1..4].iter().collect());
    // Without a free large node a small one is selected, not the leader.
    let services: Vec<String> = (0..4).map(|number| format!("s{number}")).collect();
    assert!(assign(
        &mut owners,
        &services,
        &BTreeMap::new(),
        &candidates,
        &Topology::default()
    ));
    assert!(owners.values().all(|owner| *owner != names[0]));
    let chosen: BTreeSet<&NodeName> = owners.values().collect();
    assert_eq!(chosen.len(), 4);
}

/// Zones `a` and `b` in the region `near`, `c` in `far`.
fn regions() -> Topology {
    let regions = [("a", "near"), ("b", "near"), ("c", "far")];
    let regions = regions.map(|(zone, region)| (zone.to_owned(), region.to_owned()));
    Topology::new("a", regions.into(), RoundTrips::default()).expect("valid")
}

fn shard_names(owners: &BatchOwners, service: &str) -> Vec<String> {
    let of_service = owners.keys().filter(|shard| shard.service == service);
    of_service.map(ToString::to_string).collect()
}

#[rstest]
#[case::few([4, 4, 4], &["s1"])]
#[case::few_per_zone([5, 4, 4], &["s1@far", "s1@near"])]
#[case::many_per_zone([6, 6, 6], &["s1@a", "s1@b", "s1@c"])]
#[case::one_region([9, 8, 0], &["s1@a", "s1@b"])]
fn over_regions_a_service_with_few_backends_per_zone_is_sharded_by_region(
    #[case] counts: [usize; 3],
    #[case] expected: &[&str],
) {
    let mut owners = BatchOwners::new();
    let candidates = candidates(&nodes());
    assign(
        &mut owners,
        &services(),
        &backends(counts),
        &candidates,
        &regions(),
    );
    assert_eq!(shard_names(&owners, "s1"), expected);
}

#[test]
fn a_region_shard_has_a_local_owner_that_is_not_a_replica() {
    let mut nodes = nodes();
    let mut owners = BatchOwners::new();
    let (backends, services) = (backends([5, 5, 5]), services());
    assign(
        &mut owners,
        &services,
        &backends,
        &candidates(&nodes),
        &regions(),
    );
    let are_local_and_no_replicas = |owners: &BatchOwners, nodes: &[(NodeName, &str, bool)]| {
        owners.iter().all(|(shard, owner)| {
            let node = nodes.iter().find(|(node, ..)| node == owner);
            node.is_some_and(|(_, zone, replicates)| shard.contains_zone(zone) && !replicates)
        })
    };
    assert_eq!(owners.len(), 4);
    assert!(are_local_and_no_replicas(&owners, &nodes));
    // After the loss of a zone the shards of its region stay in the region; others do not move.
    let far = Shard::in_region_of("s1", "c", &regions());
    let before = owners[&far].clone();
    nodes.retain(|(_, zone, _)| *zone != "a");
    assign(
        &mut owners,
        &services,
        &backends,
        &candidates(&nodes),
        &regions(),
    );
    assert!(are_local_and_no_replicas(&owners, &nodes));
    assert_eq!(owners[&far], before);
}

#[test]
fn small_changes_in_backends_do_not_change_the_sharding_mode() {
    let candidates = candidates(&nodes());
    let (services, regions) = (services(), regions());
    let mut owners = BatchOwners::new();
    let sharded = |owners: &mut BatchOwners, counts| {
        assign(owners, &services, &backends(counts), &candidates, &regions);
        shard_names(owners, "s1").len()
    };
    assert_eq!(sharded(&mut owners, [5, 5, 5]), 2);
    assert_eq!(sharded(&mut owners, [8, 8, 8]), 2);
    assert_eq!(sharded(&mut owners, [9, 9, 9]), 3);
    assert_eq!(sharded(&mut owners, [6, 6, 6]), 3);
    assert_eq!(sharded(&mut owners, [5, 6, 6]), 2);
}
