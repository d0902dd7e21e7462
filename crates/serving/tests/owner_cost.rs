//! What the owner of a shard looks at for each message: a service has thousands of makers, the
//! shard hundreds, and most messages leave nothing to be given to them.

mod common;

use common::batches::{batcher, key, table, work};
use common::made;
use rstest::rstest;
use silversail_model::Shard;
use silversail_peer::PhaseWork;
use silversail_serving::instances::InstanceTable;

/// Looks at makers for an order from its coming to its end, for each maker of the shard: when it
/// comes, when a maker is chosen, and when waits are told.
const LOOKS_FOR_EACH_MAKER: u64 = 8;
/// Looks at the maker that is chosen.
const LOOKS_AT_THE_CHOSEN: u64 = 10;

fn makers(zones: usize, in_zone: usize) -> InstanceTable {
    let named = (0..zones).flat_map(|zone| {
        (0..in_zone).map(move |one| (format!("m{zone}-{one}"), format!("z{zone}")))
    });
    let named: Vec<(String, String)> = named.collect();
    let makers: Vec<(&str, &str)> = named
        .iter()
        .map(|(id, zone)| (id.as_str(), zone.as_str()))
        .collect();
    table(&makers)
}

fn of_shard(shard: &Shard, request: u64) -> PhaseWork {
    PhaseWork {
        shard: shard.clone(),
        ..work(request, 2)
    }
}

#[rstest]
fn an_order_costs_what_its_shard_has_and_not_what_the_service_has(
    #[values(1, 6, 30)] zones: usize,
    #[values(12, 192)] in_zone: usize,
) {
    let table = makers(zones, in_zone);
    let mut batcher = batcher();
    let shard = Shard::in_zone("encode", "z0");
    let before = table.lookup_count();
    batcher
        .submit(key(1), of_shard(&shard, 1), &table, 0)
        .expect("taken");
    batcher.waits(&shard, &table, 0);
    let calls = batcher.next_calls(&table, 0);
    assert_eq!(calls.len(), 1);
    let finished = batcher.call_ended(calls[0].call, made(&calls[0]), 300);
    assert_eq!(finished.len(), 1);
    let looks = table.lookup_count() - before;
    let most = LOOKS_FOR_EACH_MAKER * in_zone as u64 + LOOKS_AT_THE_CHOSEN;
    assert!(looks <= most, "{looks}");
}

#[test]
fn a_message_that_leaves_nothing_waiting_looks_at_no_maker() {
    let table = makers(6, 192);
    let mut batcher = batcher();
    let shard = Shard::in_zone("encode", "z0");
    for request in 0..50 {
        batcher
            .submit(key(request), of_shard(&shard, request), &table, 0)
            .expect("taken");
        assert_eq!(batcher.next_calls(&table, 0).len(), 1);
    }
    let before = table.lookup_count();
    for _ in 0..100 {
        assert!(batcher.next_calls(&table, 1).is_empty());
    }
    assert_eq!(table.lookup_count() - before, 0);
}
