//! Which shard an order goes to, by what batching nodes told.

mod common;

use common::{in_regions, in_zone};
use rstest::rstest;
use silversail_model::{Shard, ShardPlace};
use silversail_peer::{ShardWaits, RANKS};
use silversail_serving::waits::{PlacementRequest, ShardWaitTable};
use std::collections::BTreeSet;

const ZONES: [&str; 4] = ["a", "b", "c", "d"];

fn shards() -> Vec<Shard> {
    ZONES.iter().map(|zone| Shard::in_zone("s", zone)).collect()
}

fn told(zone: &str, backlog_ms: u32, age_ms: u64) -> ShardWaits {
    ShardWaits {
        shard: Shard::in_zone("s", zone),
        age_ms,
        backlog_ms: [backlog_ms; RANKS],
        call_ms: 300,
        queue_ms: backlog_ms,
    }
}

/// A book of a node in zone `a`.
fn book(backlogs: &[(&str, u32)]) -> ShardWaitTable {
    let mut book = ShardWaitTable::new(in_zone("a"), true);
    for (zone, backlog_ms) in backlogs {
        book.update(told(zone, *backlog_ms, 0), 1_000);
    }
    book
}

fn order(zone: &str, moved_bytes: u64, lot: u64) -> PlacementRequest<'_> {
    PlacementRequest {
        zone,
        moved_bytes,
        rank: 1,
        lot,
    }
}

/// Zones that orders go to, over many lots.
fn zones_chosen(book: &ShardWaitTable, zone: &str, now: u64) -> BTreeSet<String> {
    let all = shards();
    let all: Vec<&Shard> = all.iter().collect();
    let choose = |lot| {
        let order = order(zone, 0, lot);
        let chosen = book.choose(&all, &order, now).expect("there are shards");
        match &chosen.place {
            ShardPlace::Zone(zone) => zone.clone(),
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
#[case::tied_to_a_zone(&[], "c", &["c"])]
#[case::all_alike(&[("a", 50), ("b", 50), ("c", 50), ("d", 50)], "", &["a", "b", "c", "d"])]
#[case::one_is_longest(&[("a", 400), ("b", 100), ("c", 0), ("d", 50)], "", &["b", "c", "d"])]
#[case::much_to_move(&[("a", 0), ("b", 150), ("c", 0), ("d", 0)], "b", &["b"])]
#[case::much_to_move_and_long(&[("a", 0), ("b", 250), ("c", 40), ("d", 100)], "b", &["a", "b", "c"])]
fn an_order_goes_to_the_shorter_of_two_queues_or_stays_where_much_would_be_moved(
    #[case] backlogs: &[(&str, u32)],
    #[case] zone: &str,
    #[case] expected: &[&str],
) {
    let chosen = zones_chosen(&book(backlogs), zone, 1_100);
    assert_eq!(chosen, zones(expected));
}

#[test]
fn what_was_told_long_ago_sends_no_order_away() {
    let book = book(&[("a", 400), ("b", 0), ("c", 0), ("d", 0)]);
    assert_eq!(zones_chosen(&book, "a", 2_500), zones(&["b", "c", "d"]));
    assert_eq!(zones_chosen(&book, "a", 2_501), zones(&["a"]));
}

#[test]
fn what_another_node_passes_on_late_does_not_displace_what_is_newer() {
    let mut book = ShardWaitTable::new(in_zone("a"), true);
    book.update(told("a", 500, 0), 1_000);
    book.update(told("a", 0, 300), 1_200);
    assert_eq!(
        book.expected("s", 1, 1_200).map(|one| one.backlog_ms),
        Some(500)
    );
    book.update(told("a", 100, 50), 1_200);
    assert_eq!(
        book.expected("s", 1, 1_200).map(|one| one.backlog_ms),
        Some(100)
    );
    assert_eq!(book.of_service("s", 1_250)[0].age_ms, 100);
}

#[test]
fn a_request_is_admitted_on_the_mean_of_the_shards() {
    let book = book(&[("a", 900), ("b", 0), ("c", 300), ("d", 400)]);
    let expected = book.expected("s", 1, 1_000).expect("told");
    assert_eq!((expected.backlog_ms, expected.call_ms), (400, 300));
    assert_eq!(book.expected("other", 1, 1_000), None);
}

/// A book of a node in zone `a` of region `north`, which holds `a` and `b`.
fn book_in_regions(backlogs: &[(&str, u32)]) -> ShardWaitTable {
    let regions = [
        ("a", "north"),
        ("b", "north"),
        ("c", "south"),
        ("d", "south"),
    ];
    let mut book = ShardWaitTable::new(in_regions("a", &regions), true);
    for (zone, backlog_ms) in backlogs {
        book.update(told(zone, *backlog_ms, 0), 1_000);
    }
    book
}

#[rstest]
#[case::nothing_known(&[], "", &["a"])]
#[case::all_alike(&[("a", 50), ("b", 50), ("c", 50), ("d", 50)], "", &["a", "b"])]
#[case::not_worth_the_way(&[("a", 100), ("b", 100), ("c", 0), ("d", 0)], "", &["a", "b"])]
#[case::worth_the_way(&[("a", 101), ("b", 101), ("c", 0), ("d", 0)], "", &["c", "d"])]
#[case::only_one_is_sooner(&[("a", 300), ("b", 300), ("c", 290), ("d", 0)], "", &["a", "b", "d"])]
#[case::the_other_zone_is_free(&[("a", 300), ("b", 0), ("c", 0), ("d", 0)], "", &["b"])]
#[case::tied_to_another_region(&[("a", 0), ("b", 0), ("c", 50), ("d", 0)], "c", &["c"])]
#[case::tied_and_not_worth_it(&[("a", 0), ("b", 0), ("c", 300), ("d", 290)], "c", &["c"])]
#[case::tied_and_long(&[("a", 0), ("b", 0), ("c", 301), ("d", 300)], "c", &["a", "b"])]
fn an_order_stays_in_its_region_unless_its_turn_elsewhere_is_sooner_by_more_than_the_way(
    #[case] backlogs: &[(&str, u32)],
    #[case] zone: &str,
    #[case] expected: &[&str],
) {
    let chosen = zones_chosen(&book_in_regions(backlogs), zone, 1_100);
    assert_eq!(chosen, zones(expected));
}

/// Ten megabytes take 100 ms more.
#[rstest]
#[case(200, false)]
#[case(201, true)]
fn what_has_to_follow_an_order_counts(#[case] backlog_ms: u32, #[case] leaves: bool) {
    let book = book_in_regions(&[("a", backlog_ms), ("b", backlog_ms), ("c", 0), ("d", 0)]);
    let all = shards();
    let all: Vec<&Shard> = all.iter().collect();
    let chosen = book.choose(&all, &order("", 10_000_000, 5), 1_000);
    let zone = chosen.and_then(|shard| shard.one_zone().map(str::to_owned));
    assert_eq!(zone.is_some_and(|zone| zone == "c" || zone == "d"), leaves);
}

/// The shards of a region that have no makers are not offered: orders leave.
#[test]
fn without_shards_in_its_region_an_order_goes_to_another() {
    let book = book_in_regions(&[("c", 500), ("d", 500)]);
    let all = shards();
    let far: Vec<&Shard> = all[2..].iter().collect();
    let chosen = book.choose(&far, &order("", 0, 1), 1_000);
    assert!(chosen.is_some());
}

/// Expected are the shards of the own region, as orders go there, or others where they would
/// leave.
#[rstest]
#[case::the_shorter_of_the_own_region(&[("a", 900), ("b", 100), ("c", 50), ("d", 900)], 100)]
#[case::left(&[("a", 900), ("b", 900), ("c", 100), ("d", 200)], 190)]
#[case::left_by_half(&[("a", 500), ("b", 500), ("c", 100), ("d", 900)], 320)]
#[case::only_others_known(&[("c", 100), ("d", 200)], 190)]
fn a_request_is_admitted_on_the_shards_that_its_orders_would_go_to(
    #[case] backlogs: &[(&str, u32)],
    #[case] backlog_ms: u64,
) {
    let expected = book_in_regions(backlogs).expected("s", 1, 1_000);
    assert_eq!(expected.map(|one| one.backlog_ms), Some(backlog_ms));
}

/// As all deployments did before regions were known.
#[test]
fn regions_can_be_left_out_of_account() {
    let regions = [
        ("a", "north"),
        ("b", "north"),
        ("c", "south"),
        ("d", "south"),
    ];
    let mut book = ShardWaitTable::new(in_regions("a", &regions), false);
    for zone in ZONES {
        book.update(told(zone, if zone == "a" { 400 } else { 0 }, 0), 1_000);
    }
    assert_eq!(zones_chosen(&book, "", 1_000), zones(&["b", "c", "d"]));
    let expected = book.expected("s", 1, 1_000);
    assert_eq!(expected.map(|one| one.backlog_ms), Some(100));
}
