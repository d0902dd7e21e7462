//! Tests of a node's permit pool: which limit applies and when permits are valid.

use rstest::rstest;
use silversail_limits::{
    Admission, KnownLimit, LimitState, Millis, PermitGrant, PermitPool, Serial, PERMIT_LIFETIME,
};
use silversail_model::RequestRate;

const ASKED_AT: Millis = 1_000;

fn rate(per_second: f64) -> RequestRate {
    RequestRate::per_second(per_second).expect("a rate")
}

fn grant(state: LimitState, first_serial: Serial, count: u32) -> PermitGrant {
    PermitGrant {
        backend: "e1".into(),
        state,
        first_serial,
        count,
        wait_ms: 0,
        request_sent_at: ASKED_AT,
    }
}

fn limited(per_second: f64, serial: Serial) -> LimitState {
    LimitState::Limited(KnownLimit {
        rate: rate(per_second),
        serial,
    })
}

/// A pool with a limit of 1 per second, learned with permit 100, that has requested one permit.
fn pool_with_pending_request() -> PermitPool {
    let mut pool = PermitPool::default();
    pool.record_answer(Some(rate(1.0)), Some(100), true);
    pool.set_waiting(1, ASKED_AT);
    pool.request_due("e1", ASKED_AT)
        .expect("a permit request is due");
    pool
}

fn reports_lifted_limit(pool: &mut PermitPool) -> bool {
    let request = pool.request_due("e1", ASKED_AT + 10);
    request.is_some_and(|request| request.limit_lifted_serial > request.limit.serial)
}

#[rstest]
#[case::later_permit(Some(101), true, true)]
#[case::same_permit(Some(100), true, false)]
#[case::earlier_permit(Some(99), true, false)]
#[case::sent_before_the_limit_was_known(None, true, false)]
#[case::failed_answer(Some(101), false, false)]
fn only_a_successful_answer_to_a_later_permit_lifts_a_limit(
    #[case] permit: Option<Serial>,
    #[case] is_success: bool,
    #[case] is_lifted: bool,
) {
    let mut pool = pool_with_pending_request();
    pool.record_answer(None, permit, is_success);
    assert_eq!(reports_lifted_limit(&mut pool), is_lifted);
    // Only the issuer lifts the limit, for all nodes.
    assert!(pool.limit().is_some());
}

#[rstest]
#[case::lower_though_earlier(0.5, Some(99), 0.5)]
#[case::lower_sent_without_permit(0.5, None, 0.5)]
#[case::higher_and_later(2.0, Some(101), 2.0)]
#[case::higher_and_earlier(2.0, Some(99), 1.0)]
#[case::higher_sent_without_permit(2.0, None, 1.0)]
fn a_lower_limit_applies_at_once_and_a_higher_one_only_if_it_is_newer(
    #[case] advertised: f64,
    #[case] permit: Option<Serial>,
    #[case] expected: f64,
) {
    let mut pool = pool_with_pending_request();
    pool.record_answer(Some(rate(advertised)), permit, true);
    assert_eq!(pool.limit(), Some(rate(expected)));
}

#[test]
fn an_older_limit_of_the_issuer_does_not_replace_a_lower_one() {
    let mut pool = pool_with_pending_request();
    pool.record_answer(Some(rate(0.5)), Some(100), true);
    pool.apply_grant(&grant(limited(1.0, 100), 200, 1), ASKED_AT + 5);
    assert_eq!(pool.limit(), Some(rate(0.5)));
}

#[test]
fn a_limit_advertised_after_the_last_was_lifted_is_a_new_limit() {
    let mut pool = pool_with_pending_request();
    pool.apply_grant(&grant(LimitState::Lifted(300), 0, 0), ASKED_AT + 5);
    assert_eq!(pool.limit(), None);
    // Without a limit, the request was sent without a permit.
    pool.record_answer(Some(rate(2.0)), None, true);
    // The issuer may only know that the former limit was lifted.
    pool.apply_grant(&grant(LimitState::Lifted(300), 0, 0), ASKED_AT + 20);
    assert_eq!(pool.limit(), Some(rate(2.0)));
}

#[test]
fn a_permit_is_consumed_once_and_can_be_returned_if_nothing_was_sent() {
    let mut pool = pool_with_pending_request();
    let now = ASKED_AT + 5;
    pool.apply_grant(&grant(limited(1.0, 100), 200, 1), now);
    let Admission::Permitted(permit) = pool.admit(now) else {
        panic!("a permit should be available");
    };
    assert_eq!(pool.admit(now), Admission::Denied);
    pool.return_permit(permit);
    pool.return_permit(permit);
    assert_eq!(pool.admit(now + 1), Admission::Permitted(permit));
    assert_eq!(pool.admit(now + 1), Admission::Denied);
}

#[test]
fn a_reserved_permit_is_not_available_for_another_request() {
    let mut pool = pool_with_pending_request();
    let now = ASKED_AT + 5;
    pool.apply_grant(&grant(limited(1.0, 100), 200, 1), now);
    assert_eq!((pool.available(now), pool.next_permit_at(now)), (1, None));
    pool.reserve(now);
    assert_eq!(pool.available(now), 0);
    assert_eq!(pool.next_permit_at(now), Some(now + 1_000));
}

#[test]
fn permits_expire_and_do_not_accumulate() {
    let mut pool = pool_with_pending_request();
    let now = ASKED_AT + 5;
    pool.apply_grant(&grant(limited(1.0, 100), 200, 3), now);
    let later = now + PERMIT_LIFETIME;
    assert_eq!(pool.available(later - 1), 3);
    assert_eq!(pool.admit(later), Admission::Denied);
}

#[rstest]
#[case::in_time(ASKED_AT + 2_900, 1)]
#[case::after_a_process_pause(ASKED_AT + 60_000, 0)]
fn a_grant_for_an_outdated_request_adds_no_permits(#[case] now: Millis, #[case] permits: usize) {
    let mut pool = pool_with_pending_request();
    pool.apply_grant(&grant(limited(1.0, 100), 200, 1), now);
    assert_eq!(pool.available(now), permits);
}

#[test]
fn a_grant_for_a_former_process_of_the_node_adds_no_permits() {
    let mut pool = PermitPool::default();
    pool.apply_grant(&grant(limited(1.0, 100), 200, 1), ASKED_AT + 5);
    // The limit in it applies nevertheless.
    assert_eq!(pool.limit(), Some(rate(1.0)));
    assert_eq!(pool.admit(ASKED_AT + 5), Admission::Denied);
}

#[test]
fn an_engine_with_a_limit_of_zero_is_probed_periodically() {
    let mut pool = PermitPool::default();
    pool.record_answer(Some(RequestRate::ZERO), None, true);
    assert_eq!(pool.next_permit_at(0), Some(10_000));
}

#[test]
fn permit_requests_follow_demand_and_are_repeated_without_an_answer() {
    let mut pool = pool_with_pending_request();
    let mut wanted_in_request = |waiting, now| {
        pool.set_waiting(waiting, now);
        let request = pool.request_due("e1", now);
        request.map(|request| request.wanted)
    };
    assert_eq!(wanted_in_request(1, ASKED_AT + 10), None);
    assert_eq!(wanted_in_request(2, ASKED_AT + 20), Some(2));
    assert_eq!(wanted_in_request(2, ASKED_AT + 500), None);
    assert_eq!(wanted_in_request(2, ASKED_AT + 1_020), Some(2));
    assert_eq!(wanted_in_request(0, ASKED_AT + 1_030), Some(0));
    assert_eq!(wanted_in_request(0, ASKED_AT + 9_000), None);
}
