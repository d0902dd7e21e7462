//! Requests that arrive before the first traffic configuration.

use silversail_daemon::gateway::startup_queue::{QueuedRequest, StartupQueue};
use silversail_serving::ports::CallAttributes;

fn request(number: u64, arrived_at: u64) -> QueuedRequest {
    let call = CallAttributes::default();
    QueuedRequest {
        number,
        call,
        arrived_at,
    }
}

fn numbers(due: Vec<QueuedRequest>) -> Vec<u64> {
    due.into_iter().map(|request| request.number).collect()
}

#[test]
fn all_queued_requests_are_taken_once_there_is_a_configuration() {
    let mut queue = StartupQueue::default();
    queue.add(request(1, 100));
    queue.add(request(2, 150));
    assert!(queue.take_due(false, 200).is_empty());
    assert_eq!(numbers(queue.take_due(true, 210)), [1, 2]);
    assert!(queue.is_empty());
}

#[test]
fn no_request_is_queued_longer_than_the_maximum_wait() {
    let mut queue = StartupQueue::default();
    queue.add(request(1, 100));
    queue.add(request(2, 150));
    assert_eq!(numbers(queue.take_due(false, 300)), [1]);
    assert_eq!(numbers(queue.take_due(false, 350)), [2]);
}

#[test]
fn requests_are_queued_only_in_the_first_two_seconds() {
    let queue = StartupQueue::default();
    assert!(queue.may_wait(1_999));
    assert!(!queue.may_wait(2_000));
}

#[test]
fn the_queue_length_is_limited() {
    let mut queue = StartupQueue::default();
    for number in 0..256 {
        assert!(queue.may_wait(0));
        queue.add(request(number, 0));
    }
    assert!(!queue.may_wait(0));
    queue.remove(7);
    assert!(queue.may_wait(0));
}
