//! Number of back-end lookups of a shard owner per message. Services have thousands of back
//! ends, shards hundreds, and most messages schedule nothing.

mod common;

use common::batches::{batcher, key, table, work};
use common::made;
use rstest::rstest;
use silversail_model::Shard;
use silversail_peer::PhaseWork;
use silversail_serving::instances::InstanceTable;

/// Maximum lookups per back end of the shard from the submission of an order to its end,
/// including selection and wait estimates.
const LOOKUPS_PER_BACKEND: u64 = 8;
/// Additional lookups of the selected back end.
const LOOKUPS_OF_SELECTED_BACKEND: u64 = 10;

fn backends(zones: usize, in_zone: usize) -> InstanceTable {
    let named = (0..zones).flat_map(|zone| {
        (0..in_zone).map(move |one| (format!("m{zone}-{one}"), format!("z{zone}")))
    });
    let named: Vec<(String, String)> = named.collect();
    let backends: Vec<(&str, &str)> = named
        .iter()
        .map(|(id, zone)| (id.as_str(), zone.as_str()))
        .collect();
    table(&backends)
}

fn of_shard(shard: &Shard, request: u64) -> PhaseWork {
    PhaseWork {
        shard: shard.clone(),
        ..work(request, 2)
    }
}

#[rstest]
fn an_order_looks_up_backends_of_its_shard_only(
    #[values(1, 6, 30)] zones: usize,
    #[values(12, 192)] in_zone: usize,
) {
    let table = backends(zones, in_zone);
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
    let lookups = table.lookup_count() - before;
    let most = LOOKUPS_PER_BACKEND * in_zone as u64 + LOOKUPS_OF_SELECTED_BACKEND;
    assert!(lookups <= most, "{lookups}");
}

#[test]
fn a_message_that_leaves_nothing_waiting_looks_up_no_backend() {
    let table = backends(6, 192);
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
