//! Tests of wait estimates and shard choice.

mod common;

use common::{in_regions, in_zone};
use rstest::rstest;
use silversail_model::{Shard, ShardScope};
use silversail_peer::{ShardWaitEstimates, PRIORITY_LEVELS};
use silversail_serving::waits::{PlacementRequest, ShardWaitTable};
use std::collections::BTreeSet;

const ZONES: [&str; 4] = ["a", "b", "c", "d"];

fn shards() -> Vec<Shard> {
    ZONES.iter().map(|zone| Shard::in_zone("s", zone)).collect()
}

fn estimate(zone: &str, backlog_ms: u32, age_ms: u64) -> ShardWaitEstimates {
    ShardWaitEstimates {
        shard: Shard::in_zone("s", zone),
        age_ms,
        backlog_ms: [backlog_ms; PRIORITY_LEVELS],
        call_ms: 300,
        queue_ms: backlog_ms,
    }
}

/// Estimates of a node in zone `a`.
fn wait_table(backlogs: &[(&str, u32)]) -> ShardWaitTable {
    let mut waits = ShardWaitTable::new(in_zone("a"), true);
    for (zone, backlog_ms) in backlogs {
        waits.update(estimate(zone, *backlog_ms, 0), 1_000);
    }
    waits
}

fn order(zone: &str, moved_bytes: u64, random_seed: u64) -> PlacementRequest<'_> {
    PlacementRequest {
        zone,
        moved_bytes,
        priority: 1,
        random_seed,
    }
}

/// Zones that orders are placed in, over many random values.
fn zones_chosen(waits: &ShardWaitTable, zone: &str, now: u64) -> BTreeSet<String> {
    let all = shards();
    let all: Vec<&Shard> = all.iter().collect();
    let choose = |random_seed| {
        let order = order(zone, 0, random_seed);
        let chosen = waits.choose(&all, &order, now).expect("there are shards");
        match &chosen.scope {
            ShardScope::Zone(zone) => zone.clone(),
            other => panic!("{other:?}"),
        }
    };
    (0..200).map(choose).collect()
}

fn zones(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

#[rstest]
#[case::nothing_known(&[], "", &["a"])]
#[case::preferred_zone(&[], "c", &["c"])]
#[case::equal_queues(&[("a", 50), ("b", 50), ("c", 50), ("d", 50)], "", &["a", "b", "c", "d"])]
#[case::one_longest_queue(&[("a", 400), ("b", 100), ("c", 0), ("d", 50)], "", &["b", "c", "d"])]
#[case::preferred_zone_with_short_queue(&[("a", 0), ("b", 150), ("c", 0), ("d", 0)], "b", &["b"])]
#[case::preferred_zone_with_long_queue(&[("a", 0), ("b", 250), ("c", 40), ("d", 100)], "b", &["a", "b", "c"])]
fn an_order_goes_to_the_shorter_of_two_queues_unless_its_preferred_zone_costs_less(
    #[case] backlogs: &[(&str, u32)],
    #[case] zone: &str,
    #[case] expected: &[&str],
) {
    let chosen = zones_chosen(&wait_table(backlogs), zone, 1_100);
    assert_eq!(chosen, zones(expected));
}

#[test]
fn expired_estimates_are_ignored() {
    let waits = wait_table(&[("a", 400), ("b", 0), ("c", 0), ("d", 0)]);
    assert_eq!(zones_chosen(&waits, "a", 2_500), zones(&["b", "c", "d"]));
    assert_eq!(zones_chosen(&waits, "a", 2_501), zones(&["a"]));
}

#[test]
fn an_older_forwarded_estimate_does_not_replace_a_newer_one() {
    let mut waits = ShardWaitTable::new(in_zone("a"), true);
    waits.update(estimate("a", 500, 0), 1_000);
    waits.update(estimate("a", 0, 300), 1_200);
    assert_eq!(
        waits.expected("s", 1, 1_200).map(|wait| wait.backlog_ms),
        Some(500)
    );
    waits.update(estimate("a", 100, 50), 1_200);
    assert_eq!(
        waits.expected("s", 1, 1_200).map(|wait| wait.backlog_ms),
        Some(100)
    );
    assert_eq!(waits.of_service("s", 1_250)[0].age_ms, 100);
}

#[test]
fn the_expected_wait_is_the_mean_over_the_shards() {
    let waits = wait_table(&[("a", 900), ("b", 0), ("c", 300), ("d", 400)]);
    let expected = waits.expected("s", 1, 1_000).expect("estimates are known");
    assert_eq!((expected.backlog_ms, expected.call_ms), (400, 300));
    assert_eq!(waits.expected("other", 1, 1_000), None);
}

/// Estimates of a node in zone `a` of region `north`, which consists of `a` and `b`.
fn wait_table_in_regions(backlogs: &[(&str, u32)]) -> ShardWaitTable {
    let regions = [
        ("a", "north"),
        ("b", "north"),
        ("c", "south"),
        ("d", "south"),
    ];
    let mut waits = ShardWaitTable::new(in_regions("a", &regions), true);
    for (zone, backlog_ms) in backlogs {
        waits.update(estimate(zone, *backlog_ms, 0), 1_000);
    }
    waits
}

#[rstest]
#[case::nothing_known(&[], "", &["a"])]
#[case::equal_queues(&[("a", 50), ("b", 50), ("c", 50), ("d", 50)], "", &["a", "b"])]
#[case::gain_below_network_cost(&[("a", 100), ("b", 100), ("c", 0), ("d", 0)], "", &["a", "b"])]
#[case::gain_above_network_cost(&[("a", 101), ("b", 101), ("c", 0), ("d", 0)], "", &["c", "d"])]
#[case::only_one_remote_shard_is_faster(&[("a", 300), ("b", 300), ("c", 290), ("d", 0)], "", &["a", "b", "d"])]
#[case::other_zone_of_region_is_idle(&[("a", 300), ("b", 0), ("c", 0), ("d", 0)], "", &["b"])]
#[case::preferred_zone_in_other_region(&[("a", 0), ("b", 0), ("c", 50), ("d", 0)], "c", &["c"])]
#[case::preferred_zone_and_gain_below_cost(&[("a", 0), ("b", 0), ("c", 300), ("d", 290)], "c", &["c"])]
#[case::preferred_zone_and_gain_above_cost(&[("a", 0), ("b", 0), ("c", 301), ("d", 300)], "c", &["a", "b"])]
fn an_order_leaves_its_region_only_if_the_gain_exceeds_the_network_cost(
    #[case] backlogs: &[(&str, u32)],
    #[case] zone: &str,
    #[case] expected: &[&str],
) {
    let chosen = zones_chosen(&wait_table_in_regions(backlogs), zone, 1_100);
    assert_eq!(chosen, zones(expected));
}

/// The transfer of ten megabytes adds 100 ms to the cost of leaving.
#[rstest]
#[case(200, false)]
#[case(201, true)]
fn transfer_time_counts_against_leaving_a_region(#[case] backlog_ms: u32, #[case] leaves: bool) {
    let waits = wait_table_in_regions(&[("a", backlog_ms), ("b", backlog_ms), ("c", 0), ("d", 0)]);
    let all = shards();
    let all: Vec<&Shard> = all.iter().collect();
    let chosen = waits.choose(&all, &order("", 10_000_000, 5), 1_000);
    let zone = chosen.and_then(|shard| shard.representative_zone().map(str::to_owned));
    assert_eq!(zone.is_some_and(|zone| zone == "c" || zone == "d"), leaves);
}

#[test]
fn without_shards_in_its_region_an_order_goes_to_another_region() {
    let waits = wait_table_in_regions(&[("c", 500), ("d", 500)]);
    let all = shards();
    let far: Vec<&Shard> = all[2..].iter().collect();
    let chosen = waits.choose(&far, &order("", 0, 1), 1_000);
    assert!(chosen.is_some());
}

/// Each random draw counts with the shard that it would choose.
#[rstest]
#[case::shorter_queue_of_local_region(&[("a", 900), ("b", 100), ("c", 50), ("d", 900)], 100)]
#[case::all_orders_leave(&[("a", 900), ("b", 900), ("c", 100), ("d", 200)], 190)]
#[case::half_of_the_orders_leave(&[("a", 500), ("b", 500), ("c", 100), ("d", 900)], 320)]
#[case::only_other_region_known(&[("c", 100), ("d", 200)], 190)]
fn the_expected_wait_covers_the_shards_that_orders_would_go_to(
    #[case] backlogs: &[(&str, u32)],
    #[case] backlog_ms: u64,
) {
    let expected = wait_table_in_regions(backlogs).expected("s", 1, 1_000);
    assert_eq!(expected.map(|wait| wait.backlog_ms), Some(backlog_ms));
}

#[test]
fn regions_can_be_ignored() {
    let regions = [
        ("a", "north"),
        ("b", "north"),
        ("c", "south"),
        ("d", "south"),
    ];
    let mut waits = ShardWaitTable::new(in_regions("a", &regions), false);
    for zone in ZONES {
        waits.update(estimate(zone, if zone == "a" { 400 } else { 0 }, 0), 1_000);
    }
    assert_eq!(zones_chosen(&waits, "", 1_000), zones(&["b", "c", "d"]));
    let expected = waits.expected("s", 1, 1_000);
    assert_eq!(expected.map(|wait| wait.backlog_ms), Some(100));
}
