//! Selection of the relay with which a node keeps its session.

use rstest::rstest;
use silversail_daemon::directory::{Directory, Relay};
use silversail_daemon::session::relay_selector::RelaySelector;
use silversail_model::topology::{RoundTrips, Topology};
use silversail_model::NodeName;
use silversail_peer::Contact;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Zones and their regions.
const ZONES: [(&str, &str); 6] = [
    ("east-1", "east"),
    ("east-2", "east"),
    ("north-1", "north"),
    ("north-2", "north"),
    ("west-1", "west"),
    ("west-2", "west"),
];

fn topology(own_zone: &str) -> Arc<Topology> {
    let regions = ZONES.map(|(zone, region)| (zone.to_owned(), region.to_owned()));
    let topology = Topology::new(own_zone, regions.into(), RoundTrips::default());
    Arc::new(topology.expect("valid"))
}

fn contact(node: &str, zone: &str, replicates: bool) -> Contact {
    Contact {
        node: NodeName(node.to_owned()),
        incarnation: 1,
        peer_address: "127.0.0.1:1".into(),
        zone: zone.to_owned(),
        replicates,
    }
}

/// The directory of node `own` in zone `east-1`, which has `nodes_of_zone` nodes; each of
/// `voting_zones` has one node that replicates the state.
fn directory(own: usize, nodes_of_zone: usize, voting_zones: &[&str]) -> Directory {
    let names = (0..nodes_of_zone).map(|number| format!("node-{number:02}"));
    let nodes = names.map(|name| contact(&name, "east-1", false));
    let voters = voting_zones
        .iter()
        .map(|zone| contact(&format!("voter-{zone}"), zone, true));
    let own = NodeName(format!("node-{own:02}"));
    Directory::with_fixed_nodes(own, nodes.chain(voters).collect())
        .with_topology(topology("east-1"))
}

fn names(relays: &[Relay]) -> Vec<&str> {
    relays.iter().map(|relay| relay.node.as_str()).collect()
}

#[rstest]
#[case::one_per_zone(&["east-1", "east-2", "north-1", "west-1"], "voter-east-1", "voter-east-2")]
#[case::none_in_the_zone(&["east-2", "north-1", "west-1"], "voter-east-2", "voter-")]
#[case::two_in_the_region_only(&["east-1", "east-2"], "voter-east-1", "voter-east-2")]
fn relays_are_tried_by_distance(
    #[case] voting_zones: &[&str],
    #[case] first: &str,
    #[case] second: &str,
) {
    for own in 0..12 {
        let relays = directory(own, 12, voting_zones).relays();
        assert_eq!(relays.len(), voting_zones.len());
        assert_eq!(names(&relays)[0], first);
        assert!(names(&relays)[1].starts_with(second), "{relays:?}");
        assert!(relays.is_sorted_by_key(|relay| relay.distance));
    }
}

#[test]
fn nodes_without_a_relay_in_their_region_are_spread_over_the_others() {
    let voting = ["north-1", "north-2", "west-1", "west-2"];
    let mut node_count_by_relay: BTreeMap<String, usize> = BTreeMap::new();
    for own in 0..12 {
        let relays = directory(own, 12, &voting).relays();
        *node_count_by_relay
            .entry(relays[0].node.0.clone())
            .or_default() += 1;
    }
    assert_eq!(
        node_count_by_relay.into_values().collect::<Vec<_>>(),
        [3, 3, 3, 3]
    );
}

#[test]
fn a_replicating_node_is_its_own_first_relay() {
    let voting = ["east-1", "east-2", "north-1"];
    let voters = voting.map(|zone| contact(&format!("voter-{zone}"), zone, true));
    let own = NodeName("voter-east-2".into());
    let directory =
        Directory::with_fixed_nodes(own, voters.into()).with_topology(topology("east-2"));
    assert_eq!(directory.relays()[0].node.as_str(), "voter-east-2");
}

#[test]
fn a_node_without_a_topology_prefers_its_zone_and_tries_all_relays() {
    let nodes = [
        contact("n0", "z0", true),
        contact("n1", "z1", true),
        contact("n2", "z2", true),
        contact("n3", "z1", false),
    ];
    let directory = Directory::with_fixed_nodes("n3".into(), nodes.into());
    let relays = directory.relays();
    assert_eq!(names(&relays)[0], "n1");
    let all: BTreeSet<&str> = names(&relays).into_iter().collect();
    assert_eq!(all, ["n0", "n1", "n2"].into());
}

/// A selector that has switched away from the relays of its zone and region at `now`.
fn selector_away_from_region(relays: &[Relay], now: u64) -> RelaySelector {
    let mut selector = RelaySelector::default();
    selector.current(relays);
    selector.switch_to_next(relays, now);
    selector.switch_to_next(relays, now);
    selector
}

fn relays() -> Vec<Relay> {
    directory(0, 1, &["east-1", "east-2", "north-1", "west-1"]).relays()
}

#[test]
fn an_unresponsive_relay_is_replaced_by_the_next_by_distance() {
    let relays = relays();
    let mut selector = RelaySelector::default();
    for relay in relays.iter().chain(&relays) {
        assert_eq!(selector.current(&relays).as_ref(), Some(&relay.node));
        selector.switch_to_next(&relays, 0);
    }
}

#[test]
fn a_nearer_relay_is_selected_again_once_it_answers() {
    let relays = relays();
    let mut selector = selector_away_from_region(&relays, 10_000);
    let far = selector.current(&relays).expect("a relay");
    assert_eq!(selector.nearer_to_probe(&relays, 11_000), None);
    let near = selector.nearer_to_probe(&relays, 12_000).expect("due");
    assert_eq!(near, relays[0].node);
    assert!(selector.is_current(&far));
    selector.record_current_reply(&far);
    assert!(selector.is_current(&far));
    selector.record_current_reply(&near);
    assert!(selector.is_current(&near));
    assert_eq!(selector.nearer_to_probe(&relays, 60_000), None);
}

#[test]
fn nearer_relays_are_probed_in_turn() {
    let relays = relays();
    let mut selector = selector_away_from_region(&relays, 0);
    let probed: Vec<NodeName> = (0..20)
        .filter_map(|second| selector.nearer_to_probe(&relays, second * 1_000))
        .collect();
    assert_eq!(probed[0], relays[0].node);
    assert_eq!(probed[1], relays[1].node);
}

/// Without a growing probe interval, a relay that fails every second would cause 120 switches.
#[test]
fn an_unstable_relay_is_probed_at_growing_intervals() {
    let relays = relays();
    let mut selector = selector_away_from_region(&relays, 0);
    let mut switches = 0;
    for now in (0..60_000).step_by(400) {
        if let Some(near) = selector.nearer_to_probe(&relays, now) {
            selector.record_current_reply(&near);
            selector.switch_to_next(&relays, now + 200);
            switches += 1;
        }
    }
    assert!((2..=8).contains(&switches), "{switches} switches");
}
