//! How a service's back ends are dealt to batching nodes.

use rstest::rstest;
use silversail_control::batch_owners::{assign, BackendsByZone, BatchOwners, OwnerCandidate};
use silversail_model::topology::{RoundTrips, Topology};
use silversail_model::{NodeName, Shard, ShardPlace};
use std::collections::{BTreeMap, BTreeSet};

const ZONES: [&str; 3] = ["a", "b", "c"];
const NODES_OF_ZONE: usize = 5;

/// Nodes of three zones; the first of each replicates the state.
fn nodes() -> Vec<(NodeName, &'static str, bool)> {
    let numbers = 0..NODES_OF_ZONE;
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

fn makers(counts: [usize; 3]) -> BTreeMap<String, BackendsByZone> {
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
    match &shard.place {
        ShardPlace::Zone(zone) => Some(zone.clone()),
        ShardPlace::All | ShardPlace::Region { .. } => None,
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
fn only_a_service_with_many_makers_is_dealt_by_zone(
    #[case] counts: [usize; 3],
    #[case] dealt: bool,
) {
    let mut owners = BatchOwners::new();
    assign(
        &mut owners,
        &services(),
        &makers(counts),
        &candidates(&nodes()),
        &Topology::default(),
    );
    let expected: Vec<Option<String>> = match dealt {
        true => ZONES.iter().map(|zone| Some((*zone).to_owned())).collect(),
        false => vec![None],
    };
    assert_eq!(shards(&owners, "s1"), expected);
}

#[test]
fn each_shard_has_an_owner_of_its_own_in_its_zone_that_does_not_replicate() {
    let nodes = nodes();
    let mut owners = BatchOwners::new();
    assign(
        &mut owners,
        &services(),
        &makers([20, 20, 20]),
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
fn only_the_shards_of_a_node_that_left_move_and_they_stay_where_they_went() {
    let nodes = nodes();
    let (makers, services) = (makers([20, 20, 20]), services());
    let mut owners = BatchOwners::new();
    assign(
        &mut owners,
        &services,
        &makers,
        &candidates(&nodes),
        &Topology::default(),
    );
    let before = owners.clone();
    let left = before[&Shard::in_zone("s1", "b")].clone();
    let others: Vec<_> = nodes
        .iter()
        .filter(|(node, ..)| *node != left)
        .cloned()
        .collect();
    assert!(assign(
        &mut owners,
        &services,
        &makers,
        &candidates(&others),
        &Topology::default()
    ));
    for (shard, owner) in &before {
        assert_eq!(owners[shard] == *owner, *owner != left, "{shard}");
    }
    let moved = owners.clone();
    assert!(!assign(
        &mut owners,
        &services,
        &makers,
        &candidates(&nodes),
        &Topology::default()
    ));
    assert_eq!(owners, moved);
}

#[test]
fn a_zone_without_nodes_is_batched_from_another_one() {
    let others: Vec<_> = nodes()
        .into_iter()
        .filter(|(_, zone, _)| *zone != "c")
        .collect();
    let mut owners = BatchOwners::new();
    assign(
        &mut owners,
        &services(),
        &makers([20, 20, 20]),
        &candidates(&others),
        &Topology::default(),
    );
    assert_eq!(shards(&owners, "s1").len(), 3);
}

#[test]
fn a_service_stays_dealt_while_a_few_makers_go_and_while_none_are_known() {
    let candidates = candidates(&nodes());
    let mut owners = BatchOwners::new();
    assign(
        &mut owners,
        &services(),
        &makers([5, 4, 4]),
        &candidates,
        &Topology::default(),
    );
    let dealt = owners.clone();
    assert!(!assign(
        &mut owners,
        &services(),
        &makers([3, 3, 3]),
        &candidates,
        &Topology::default()
    ));
    // A new leader has not read the list yet.
    assert!(!assign(
        &mut owners,
        &services(),
        &BTreeMap::new(),
        &candidates,
        &Topology::default()
    ));
    assert_eq!(owners, dealt);
    assert!(assign(
        &mut owners,
        &services(),
        &makers([3, 3, 2]),
        &candidates,
        &Topology::default()
    ));
    assert_eq!(shards(&owners, "s1"), [None]);
}

#[test]
fn a_zone_that_lost_all_makers_has_no_shard() {
    let candidates = candidates(&nodes());
    let mut owners = BatchOwners::new();
    assign(
        &mut owners,
        &services(),
        &makers([20, 20, 20]),
        &candidates,
        &Topology::default(),
    );
    assign(
        &mut owners,
        &services(),
        &makers([20, 0, 20]),
        &candidates,
        &Topology::default(),
    );
    let zones: Vec<Option<String>> = vec![Some("a".to_owned()), Some("c".to_owned())];
    assert_eq!(shards(&owners, "s2"), zones);
}

#[test]
fn owners_whose_configuration_is_not_confirmed_keep_their_shards_and_get_no_others() {
    let nodes = nodes();
    let (makers, services) = (makers([20, 20, 20]), services());
    let mut owners = BatchOwners::new();
    assign(
        &mut owners,
        &services,
        &makers,
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
        &makers,
        &unconfirmed,
        &Topology::default()
    ));
    assert_eq!(owners, before);
    let mut fresh = BatchOwners::new();
    assign(
        &mut fresh,
        &services,
        &makers,
        &unconfirmed,
        &Topology::default(),
    );
    assert!(fresh.values().all(|owner| owner.as_str() == "a1"));
}

/// All pieces of a service pass its owner: an eighth of a core was too little for it.
#[test]
fn whole_services_go_to_the_largest_nodes_that_do_not_lead() {
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
    // One more than there are large nodes goes to a small one, not to the leader.
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

fn places(owners: &BatchOwners, service: &str) -> Vec<String> {
    let of_service = owners.keys().filter(|shard| shard.service == service);
    of_service.map(ToString::to_string).collect()
}

#[rstest]
#[case::few([4, 4, 4], &["s1"])]
#[case::few_a_zone([5, 4, 4], &["s1@far", "s1@near"])]
#[case::many_a_zone([6, 6, 6], &["s1@a", "s1@b", "s1@c"])]
#[case::one_region([9, 8, 0], &["s1@a", "s1@b"])]
fn over_regions_a_service_with_few_makers_a_zone_is_dealt_by_region(
    #[case] counts: [usize; 3],
    #[case] expected: &[&str],
) {
    let mut owners = BatchOwners::new();
    let candidates = candidates(&nodes());
    assign(
        &mut owners,
        &services(),
        &makers(counts),
        &candidates,
        &regions(),
    );
    assert_eq!(places(&owners, "s1"), expected);
}

#[test]
fn the_owner_of_a_regions_shard_is_in_it_and_does_not_replicate() {
    let mut nodes = nodes();
    let mut owners = BatchOwners::new();
    let (makers, services) = (makers([5, 5, 5]), services());
    assign(
        &mut owners,
        &services,
        &makers,
        &candidates(&nodes),
        &regions(),
    );
    let in_place = |owners: &BatchOwners, nodes: &[(NodeName, &str, bool)]| {
        owners.iter().all(|(shard, owner)| {
            let node = nodes.iter().find(|(node, ..)| node == owner);
            node.is_some_and(|(_, zone, replicates)| shard.holds(zone) && !replicates)
        })
    };
    assert_eq!(owners.len(), 4);
    assert!(in_place(&owners, &nodes));
    // A zone is lost: its region's shards stay in the region, the others where they were.
    let far = Shard::in_region_of("s1", "c", &regions());
    let before = owners[&far].clone();
    nodes.retain(|(_, zone, _)| *zone != "a");
    assign(
        &mut owners,
        &services,
        &makers,
        &candidates(&nodes),
        &regions(),
    );
    assert!(in_place(&owners, &nodes));
    assert_eq!(owners[&far], before);
}

#[test]
fn a_few_makers_more_or_less_do_not_change_how_a_service_is_dealt() {
    let candidates = candidates(&nodes());
    let (services, regions) = (services(), regions());
    let mut owners = BatchOwners::new();
    let dealt = |owners: &mut BatchOwners, counts| {
        assign(owners, &services, &makers(counts), &candidates, &regions);
        places(owners, "s1").len()
    };
    assert_eq!(dealt(&mut owners, [5, 5, 5]), 2);
    assert_eq!(dealt(&mut owners, [8, 8, 8]), 2);
    assert_eq!(dealt(&mut owners, [9, 9, 9]), 3);
    assert_eq!(dealt(&mut owners, [6, 6, 6]), 3);
    assert_eq!(dealt(&mut owners, [5, 6, 6]), 2);
}
