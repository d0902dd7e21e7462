//! Result memory at back ends, and orders that end before they have run.

mod common;

use common::batches::{batcher, handles_of, key, large_work, table, whole, work};
use common::{batch_spec, made};
use silversail_peer::{PieceFailure, ResultHandle};
use silversail_serving::batcher::CallOutcome;

#[test]
fn result_memory_is_never_overcommitted_and_is_reused_once_freed() {
    let (table, mut batcher) = (table(&[("s1", "a")]), batcher());
    batcher
        .submit(key(1), large_work(1, 4, 300_000), &table, 0)
        .expect("accepted");
    let first = batcher.next_calls(&table, 0);
    // 1,000,000 bytes of result memory, of which 85 % are used.
    assert_eq!(first[0].pieces.len(), 2);
    batcher.call_ended(first[0].call, made(&first[0]), 300);
    assert!(batcher.next_calls(&table, 300).is_empty());
    batcher.release(&[ResultHandle("s1:80/r1-0".into())]);
    let releases = batcher.take_releases();
    assert_eq!(releases.len(), 1);
    // The back end has not confirmed yet that it freed the result.
    assert!(batcher.next_calls(&table, 301).is_empty());
    batcher.results_freed(&handles_of(&releases));
    assert_eq!(batcher.next_calls(&table, 305)[0].pieces.len(), 1);
}

#[test]
fn cancelling_an_order_frees_its_present_and_future_results() {
    let (table, mut batcher) = (table(&[("s1", "a")]), batcher());
    batcher
        .submit(key(1), work(1, 9), &table, 0)
        .expect("accepted");
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
fn a_new_owner_leaves_result_memory_free_and_keeps_inputs() {
    let (table, mut batcher) = (table(&[("s1", "a")]), batcher());
    batcher.take_over_shard(&whole(), &table, 0);
    batcher
        .submit(key(1), large_work(1, 4, 150_000), &table, 0)
        .expect("accepted");
    let first = batcher.next_calls(&table, 0).remove(0);
    assert_eq!(first.pieces.len(), 2);
    batcher.call_ended(first.call, made(&first), 300);
    let second = batcher.next_calls(&table, 1_000).remove(0);
    assert_eq!(second.pieces.len(), 2);
    assert!(batcher.inputs_read(1_200).is_empty());
}

#[test]
fn orders_of_an_ended_process_are_cancelled_and_their_results_freed() {
    let (table, mut batcher) = (table(&[("s1", "a")]), batcher());
    batcher
        .submit(key(1), work(1, 2), &table, 0)
        .expect("accepted");
    let first = batcher.next_calls(&table, 0).remove(0);
    assert_eq!(batcher.call_ended(first.call, made(&first), 260).len(), 1);
    batcher
        .submit(key(2), work(2, 2), &table, 300)
        .expect("accepted");
    batcher
        .submit(key(9), work(9, 2), &table, 300)
        .expect("accepted");
    batcher.forget_process(&"n1".into(), 9);
    assert_eq!(batcher.take_releases().len(), 2);
    let next = batcher.next_calls(&table, 310).remove(0);
    assert!(next.pieces.iter().all(|(piece, _)| piece.request == "r9"));
}

#[test]
fn an_order_waits_briefly_instead_of_storing_results_of_its_first_pieces_only() {
    let (table, mut batcher) = (table(&[("s1", "a")]), batcher());
    let large = |request, pieces| large_work(request, pieces, 200_000);
    // Result memory for four of them.
    batcher
        .submit(key(1), large(1, 3), &table, 0)
        .expect("accepted");
    let first = batcher.next_calls(&table, 0).remove(0);
    batcher
        .submit(key(2), large(2, 4), &table, 100)
        .expect("accepted");
    batcher.call_ended(first.call, made(&first), 270);
    assert!(batcher.next_calls(&table, 270).is_empty());
    // A smaller order runs meanwhile.
    batcher
        .submit(key(3), large(3, 1), &table, 280)
        .expect("accepted");
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
fn backends_of_an_evacuated_zone_get_no_calls() {
    let (mut table, mut batcher) = (table(&[("s1", "a"), ("s2", "b")]), batcher());
    table.set_evacuated(["a".to_owned()].into(), 0);
    for request in 1..5 {
        batcher
            .submit(key(request), work(request, 8), &table, 0)
            .expect("accepted");
    }
    let calls = batcher.next_calls(&table, 0);
    let backends: Vec<&str> = calls.iter().map(|call| call.instance.as_str()).collect();
    assert_eq!(backends, ["s2"]);
}

/// Waiting orders fail at once when the zone of the last back end is evacuated; calls in flight
/// are delivered.
#[test]
fn orders_without_backends_fail_at_once_and_calls_in_flight_are_delivered() {
    let (mut table, mut batcher) = (table(&[("s1", "a")]), batcher());
    for request in 1..3 {
        batcher
            .submit(key(request), work(request, 8), &table, 0)
            .expect("accepted");
    }
    let calls = batcher.next_calls(&table, 0);
    assert_eq!(calls.len(), 1);
    assert!(batcher.reject_orders_without_backend(&table, 0).is_empty());
    table.set_evacuated(["a".to_owned()].into(), 10);
    let ended = batcher.reject_orders_without_backend(&table, 10);
    assert_eq!(ended.len(), 1);
    assert_eq!(ended[0].key, key(2));
    assert_eq!(ended[0].result, Err(PieceFailure::NoBackend));
    let finished = batcher.call_ended(calls[0].call, made(&calls[0]), 300);
    assert_eq!(finished.len(), 1);
    assert!(finished[0].result.is_ok());
    let refused = batcher.submit(key(3), work(3, 1), &table, 310);
    assert_eq!(refused, Err(PieceFailure::NoBackend));
}

/// Releasing a result twice frees it once.
#[test]
fn a_result_released_twice_is_freed_once() {
    let (table, mut batcher) = (table(&[("s1", "a")]), batcher());
    batcher
        .submit(key(1), work(1, 2), &table, 0)
        .expect("accepted");
    let call = batcher.next_calls(&table, 0).remove(0);
    let finished = batcher.call_ended(call.call, made(&call), 260);
    let handles = finished[0].result.clone().expect("made");
    batcher.release(&handles);
    batcher.release(&handles);
    assert_eq!(batcher.take_releases().len(), 2);
}

/// A result goes back to the back end that made it, whatever its handle says. One that this node
/// did not make, or that has expired, is left to its maker.
#[test]
fn a_result_is_freed_at_its_maker_alone() {
    let (table, mut batcher) = (table(&[("s1", "a")]), batcher());
    batcher
        .submit(key(1), work(1, 2), &table, 0)
        .expect("accepted");
    let call = batcher.next_calls(&table, 0).remove(0);
    let results = vec![
        Ok(ResultHandle("s7:80/moved".into())),
        Ok(ResultHandle("s1:80/kept".into())),
    ];
    let finished = batcher.call_ended(call.call, CallOutcome::Answered(results), 260);
    let mut handles = finished[0].result.clone().expect("made");
    handles.push(ResultHandle("s1:80/of-another-node".into()));
    batcher.release(&handles);
    let releases = batcher.take_releases();
    assert_eq!(handles_of(&releases), handles[..2]);
    assert!(releases.iter().all(|result| result.maker == "s1"));
}

/// An expired result is gone at its maker.
#[test]
fn an_expired_result_is_not_freed() {
    let (table, mut batcher) = (table(&[("s1", "a")]), batcher());
    batcher
        .submit(key(1), work(1, 2), &table, 0)
        .expect("accepted");
    let call = batcher.next_calls(&table, 0).remove(0);
    let finished = batcher.call_ended(call.call, made(&call), 260);
    let lifetime = batch_spec().result_lifetime_ms;
    assert!(batcher
        .next_calls(&table, 260 + lifetime + 1_000)
        .is_empty());
    batcher.release(finished[0].result.as_ref().expect("made"));
    assert_eq!(batcher.take_releases(), []);
}

/// Guards against memory that stays counted after a back end has used a handle again.
#[test]
fn a_result_under_the_handle_of_an_earlier_one_takes_its_place() {
    let (table, mut batcher) = (table(&[("s1", "a")]), batcher());
    let handle = ResultHandle("s1:80/again".into());
    for request in 1..20 {
        batcher
            .submit(key(request), large_work(request, 1, 300_000), &table, 0)
            .expect("accepted");
        let call = batcher.next_calls(&table, 1_000 * request).remove(0);
        let results = CallOutcome::Answered(vec![Ok(handle.clone())]);
        let finished = batcher.call_ended(call.call, results, 1_000 * request + 300);
        assert_eq!(finished.len(), 1);
    }
}
