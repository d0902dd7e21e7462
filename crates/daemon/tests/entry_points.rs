//! Selection of entry points for callers.

use rstest::rstest;
use silversail_control::NodeStatus;
use silversail_daemon::gateway::entry_points::{choose_entry_points, EntryPointLookup};
use silversail_model::topology::{RegionFilter, RoundTrips};
use silversail_model::{NodeName, Topology};
use std::collections::BTreeSet;

const MAX_NODES: usize = 64;

/// Zones `east-1`, `east-2`, `north-1` and so on of three regions.
fn topology() -> Topology {
    let regions = ["east", "north", "west"];
    let zones = regions
        .into_iter()
        .flat_map(|region| [1, 2].map(|number| (format!("{region}-{number}"), region.to_owned())));
    Topology::new("east-1", zones.collect(), RoundTrips::default()).expect("valid")
}

fn nodes(counts: &[(&str, usize)]) -> Vec<NodeStatus> {
    let zone_nodes = |(zone, count): &(&str, usize)| {
        let zone = (*zone).to_owned();
        let status = move |number| NodeStatus {
            node: NodeName(format!("{zone}-{number:03}")),
            incarnation: 1,
            zone: zone.clone(),
            caller_address: String::new(),
            processor_percent: 100,
            usable: true,
        };
        (0..*count).map(status).collect::<Vec<_>>()
    };
    counts.iter().flat_map(zone_nodes).collect()
}

fn caller(host: &str, region: &str, zone: &str) -> EntryPointLookup {
    let some = |text: &str| (!text.is_empty()).then(|| text.to_owned());
    EntryPointLookup {
        host: some(host),
        region: some(region),
        zone: some(zone),
    }
}

fn selected_nodes(
    nodes: &[NodeStatus],
    caller: &EntryPointLookup,
    allowed: &RegionFilter,
    topology: &Topology,
) -> BTreeSet<String> {
    let selected = choose_entry_points(nodes.iter(), caller, allowed, topology, MAX_NODES);
    selected
        .into_iter()
        .map(|node| node.node.0.clone())
        .collect()
}

/// Number of selected nodes in the region `east` and in other regions, for a caller of `east`.
fn local_and_remote_counts(counts: &[(&str, usize)]) -> (usize, usize) {
    let caller = caller("h", "east", "east-1");
    let selected = selected_nodes(&nodes(counts), &caller, &RegionFilter::any(), &topology());
    let local = selected.iter().filter(|node| node.starts_with("east"));
    let local = local.count();
    (local, selected.len() - local)
}

#[rstest]
#[case::all_zones_up(&[("east-1", 12), ("east-2", 12), ("north-1", 12), ("north-2", 12)], (24, 0))]
#[case::zone_down(&[("east-2", 12), ("north-1", 12), ("north-2", 12)], (12, 0))]
#[case::few_local_nodes(&[("east-2", 2), ("north-1", 11), ("north-2", 11)], (2, 4))]
#[case::small_cluster(&[("east-1", 1), ("north-1", 1), ("west-1", 1)], (1, 2))]
#[case::region_down(&[("north-1", 10), ("north-2", 10), ("west-1", 20)], (0, 40))]
fn callers_get_nodes_of_their_region_and_others_if_it_has_too_few(
    #[case] counts: &[(&str, usize)],
    #[case] expected: (usize, usize),
) {
    assert_eq!(local_and_remote_counts(counts), expected);
}

#[rstest]
#[case::by_region(caller("h", "north", ""))]
#[case::by_zone(caller("h", "", "north-2"))]
#[case::by_zone_where_the_region_is_unknown(caller("h", "nowhere", "north-2"))]
fn the_region_is_the_named_one_or_that_of_the_zone(#[case] caller: EntryPointLookup) {
    let nodes = nodes(&[("east-1", 8), ("north-1", 8), ("west-1", 8)]);
    let selected = selected_nodes(&nodes, &caller, &RegionFilter::any(), &topology());
    assert_eq!(selected.len(), 8);
    assert!(selected.iter().all(|node| node.starts_with("north")));
}

#[test]
fn a_caller_of_an_unknown_region_gets_all_nodes() {
    let nodes = nodes(&[("east-1", 8), ("north-1", 8), ("west-1", 8)]);
    let selected = selected_nodes(
        &nodes,
        &caller("h", "", ""),
        &RegionFilter::any(),
        &topology(),
    );
    assert_eq!(selected.len(), 24);
}

#[rstest]
#[case::no_zones_known(Topology::default())]
#[case::one_region({
    let zones = ["east-1", "east-2"].map(|zone| (zone.to_owned(), "east".to_owned()));
    Topology::new("east-1", zones.into(), RoundTrips::default()).expect("valid")
})]
fn with_one_region_every_caller_gets_all_usable_nodes(#[case] topology: Topology) {
    let nodes = nodes(&[("east-1", 30), ("east-2", 3)]);
    for zone in ["east-1", "east-2", "elsewhere", ""] {
        let caller = caller("h", "east", zone);
        let selected = selected_nodes(&nodes, &caller, &RegionFilter::any(), &topology);
        assert_eq!(selected.len(), 33, "{zone}");
    }
}

#[test]
fn only_nodes_of_allowed_regions_and_the_callers_region_are_selected() {
    let nodes = nodes(&[("east-1", 2), ("north-1", 20), ("west-1", 20)]);
    let north: BTreeSet<String> = ["north".to_owned()].into();
    let allowed = RegionFilter::intersection(Some(&north), None);
    let from_east = selected_nodes(
        &nodes,
        &caller("h", "east", "east-1"),
        &allowed,
        &topology(),
    );
    assert!(from_east.iter().all(|node| !node.starts_with("west")));
    assert!(from_east.iter().any(|node| node.starts_with("north")));
    let from_west = selected_nodes(
        &nodes,
        &caller("h", "west", "west-1"),
        &allowed,
        &topology(),
    );
    assert!(from_west.iter().all(|node| node.starts_with("west")));
}

/// Callers drop connections to nodes that a newer answer does not name, so that all nodes must
/// answer alike. Callers of other hosts and zones get other nodes, so that all nodes get callers.
#[test]
fn the_selection_is_equal_for_callers_of_a_host_and_zone_and_covers_all_nodes() {
    let nodes = nodes(&[("east-1", 150), ("east-2", 150)]);
    let reversed: Vec<NodeStatus> = nodes.iter().rev().cloned().collect();
    let mut reached: BTreeSet<String> = BTreeSet::new();
    for host in 0..16 {
        for zone in ["east-1", "east-2"] {
            let caller = caller(&format!("h{host}"), "east", zone);
            let any = RegionFilter::any();
            let first = selected_nodes(&nodes, &caller, &any, &topology());
            assert_eq!(first.len(), MAX_NODES);
            assert_eq!(first, selected_nodes(&reversed, &caller, &any, &topology()));
            reached.extend(first);
        }
    }
    assert!(reached.len() >= 290, "{} nodes reached", reached.len());
}
