//! Room for results at the makers, and orders that end before they are made.

mod common;

use common::batches::{batcher, key, large_work, table, whole, work};
use common::made;
use silversail_peer::{PieceFailure, ResultHandle};

#[test]
fn room_at_the_maker_is_never_overdrawn_and_comes_back() {
    let (table, mut batcher) = (table(&[("s1", "a")]), batcher());
    batcher
        .submit(key(1), large_work(1, 4, 300_000), &table, 0)
        .expect("taken");
    let first = batcher.next_calls(&table, 0);
    // A million bytes of room, of which 85 in 100 are used.
    assert_eq!(first[0].pieces.len(), 2);
    batcher.call_ended(first[0].call, made(&first[0]), 300);
    assert!(batcher.next_calls(&table, 300).is_empty());
    batcher.release(&[ResultHandle("s1:80/r1-0".into())]);
    let releases = batcher.take_releases();
    assert_eq!(releases.len(), 1);
    // The maker has not said yet that the room is free: a call that relied on it found none.
    assert!(batcher.next_calls(&table, 301).is_empty());
    batcher.results_freed(&releases);
    assert_eq!(batcher.next_calls(&table, 305)[0].pieces.len(), 1);
}

#[test]
fn a_cancelled_order_frees_what_was_made_and_what_is_still_to_come() {
    let (table, mut batcher) = (table(&[("s1", "a")]), batcher());
    batcher
        .submit(key(1), work(1, 9), &table, 0)
        .expect("taken");
    let first = batcher.next_calls(&table, 0);
    batcher.cancel(&key(1));
    assert!(batcher
        .call_ended(first[0].call, made(&first[0]), 300)
        .is_empty());
    assert_eq!(batcher.take_releases().len(), 8);
    assert!(batcher.next_calls(&table, 300).is_empty());
    assert_eq!(batcher.order_and_call_counts(), (0, 0));
}

#[test]
fn after_a_change_of_owner_room_is_left_and_inputs_last() {
    let (table, mut batcher) = (table(&[("s1", "a")]), batcher());
    batcher.take_over_shard(&whole(), &table, 0);
    batcher
        .submit(key(1), large_work(1, 4, 150_000), &table, 0)
        .expect("taken");
    let first = batcher.next_calls(&table, 0).remove(0);
    assert_eq!(first.pieces.len(), 2);
    batcher.call_ended(first.call, made(&first), 300);
    let second = batcher.next_calls(&table, 1_000).remove(0);
    assert_eq!(second.pieces.len(), 2);
    assert!(batcher.inputs_read(1_200).is_empty());
}

#[test]
fn orders_of_a_process_that_is_gone_end_and_free_their_room() {
    let (table, mut batcher) = (table(&[("s1", "a")]), batcher());
    batcher
        .submit(key(1), work(1, 2), &table, 0)
        .expect("taken");
    let first = batcher.next_calls(&table, 0).remove(0);
    assert_eq!(batcher.call_ended(first.call, made(&first), 260).len(), 1);
    batcher
        .submit(key(2), work(2, 2), &table, 300)
        .expect("taken");
    batcher
        .submit(key(9), work(9, 2), &table, 300)
        .expect("taken");
    batcher.forget_process(&"n1".into(), 9);
    assert_eq!(batcher.take_releases().len(), 2);
    let next = batcher.next_calls(&table, 310).remove(0);
    assert!(next.pieces.iter().all(|(piece, _)| piece.request == "r9"));
}

#[test]
fn an_order_waits_a_little_rather_than_hold_room_with_its_first_pieces() {
    let (table, mut batcher) = (table(&[("s1", "a")]), batcher());
    let large = |request, pieces| large_work(request, pieces, 200_000);
    // Room for four of them.
    batcher
        .submit(key(1), large(1, 3), &table, 0)
        .expect("taken");
    let first = batcher.next_calls(&table, 0).remove(0);
    batcher
        .submit(key(2), large(2, 4), &table, 100)
        .expect("taken");
    batcher.call_ended(first.call, made(&first), 270);
    assert!(batcher.next_calls(&table, 270).is_empty());
    // A smaller one goes meanwhile.
    batcher
        .submit(key(3), large(3, 1), &table, 280)
        .expect("taken");
    let second = batcher.next_calls(&table, 280).remove(0);
    assert_eq!(second.pieces[0].0.request, "r3");
    batcher.call_ended(second.call, made(&second), 490);
    let handles: Vec<ResultHandle> = (0..2)
        .map(|index| ResultHandle(format!("s1:80/r1-{index}")))
        .collect();
    batcher.release(&handles);
    batcher.results_freed(&handles);
    let third = batcher.next_calls(&table, 490).remove(0);
    assert_eq!(third.pieces.len(), 2);
}

#[test]
fn makers_of_an_evacuated_zone_get_no_calls() {
    let (mut table, mut batcher) = (table(&[("s1", "a"), ("s2", "b")]), batcher());
    table.set_evacuated(["a".to_owned()].into(), 0);
    for request in 1..5 {
        batcher
            .submit(key(request), work(request, 8), &table, 0)
            .expect("taken");
    }
    let calls = batcher.next_calls(&table, 0);
    let makers: Vec<&str> = calls.iter().map(|call| call.instance.as_str()).collect();
    assert_eq!(makers, ["s2"]);
}

/// Orders that wait when the last maker's zone is evacuated are answered at once; calls at
/// work end and are delivered.
#[test]
fn orders_without_makers_end_at_once_and_calls_at_work_are_delivered() {
    let (mut table, mut batcher) = (table(&[("s1", "a")]), batcher());
    for request in 1..3 {
        batcher
            .submit(key(request), work(request, 8), &table, 0)
            .expect("taken");
    }
    let calls = batcher.next_calls(&table, 0);
    assert_eq!(calls.len(), 1);
    assert!(batcher.reject_orders_without_backend(&table).is_empty());
    table.set_evacuated(["a".to_owned()].into(), 10);
    let ended = batcher.reject_orders_without_backend(&table);
    assert_eq!(ended.len(), 1);
    assert_eq!(ended[0].key, key(2));
    assert_eq!(ended[0].result, Err(PieceFailure::NoBackend));
    let finished = batcher.call_ended(calls[0].call, made(&calls[0]), 300);
    assert_eq!(finished.len(), 1);
    assert!(finished[0].result.is_ok());
    let refused = batcher.submit(key(3), work(3, 1), &table, 310);
    assert_eq!(refused, Err(PieceFailure::NoBackend));
}

/// A result that two messages release is freed once.
#[test]
fn a_result_is_freed_once() {
    let (table, mut batcher) = (table(&[("s1", "a")]), batcher());
    batcher
        .submit(key(1), work(1, 2), &table, 0)
        .expect("taken");
    let call = batcher.next_calls(&table, 0).remove(0);
    let finished = batcher.call_ended(call.call, made(&call), 260);
    let handles = finished[0].result.clone().expect("made");
    batcher.release(&handles);
    batcher.release(&handles);
    assert_eq!(batcher.take_releases().len(), 2);
}
