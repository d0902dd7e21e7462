//! Requests that arrive before the first traffic configuration.

use silversail_daemon::gateway::early::{EarlyRequest, EarlyRequests};
use silversail_serving::ports::CallAttributes;

fn request(number: u64, since: u64) -> EarlyRequest {
    let call = CallAttributes::default();
    EarlyRequest {
        number,
        call,
        since,
    }
}

fn numbers(due: Vec<EarlyRequest>) -> Vec<u64> {
    due.into_iter().map(|one| one.number).collect()
}

#[test]
fn all_are_taken_in_when_the_configuration_comes() {
    let mut early = EarlyRequests::default();
    early.add(request(1, 100));
    early.add(request(2, 150));
    assert!(early.take_due(false, 200).is_empty());
    assert_eq!(numbers(early.take_due(true, 210)), [1, 2]);
    assert!(early.is_empty());
}

#[test]
fn none_waits_longer_than_a_fifth_of_a_second() {
    let mut early = EarlyRequests::default();
    early.add(request(1, 100));
    early.add(request(2, 150));
    assert_eq!(numbers(early.take_due(false, 300)), [1]);
    assert_eq!(numbers(early.take_due(false, 350)), [2]);
}

#[test]
fn a_process_that_does_not_expect_to_serve_soon_refuses_at_once() {
    let early = EarlyRequests::default();
    assert!(early.may_wait(1_999));
    assert!(!early.may_wait(2_000));
}

#[test]
fn the_number_that_waits_is_bounded() {
    let mut early = EarlyRequests::default();
    for number in 0..256 {
        assert!(early.may_wait(0));
        early.add(request(number, 0));
    }
    assert!(!early.may_wait(0));
    early.remove(7);
    assert!(early.may_wait(0));
}
