//! What one node knows of a limit: which word holds, and when its permits hold.

use rstest::rstest;
use silversail_limits::{
    Admission, KnownLimit, LimitState, Millis, PermitGrant, PermitPool, Serial, PERMIT_LIFETIME,
};
use silversail_model::RequestRate;

const ASKED_AT: Millis = 1_000;

fn rate(per_second: f64) -> RequestRate {
    RequestRate::per_second(per_second).expect("a rate")
}

fn grant(state: LimitState, first: Serial, count: u32) -> PermitGrant {
    PermitGrant {
        backend: "e1".into(),
        state,
        first,
        count,
        wait_ms: 0,
        echo: ASKED_AT,
    }
}

fn limited(per_second: f64, serial: Serial) -> LimitState {
    LimitState::Limited(KnownLimit {
        rate: rate(per_second),
        serial,
    })
}

/// A pool that knows a limit of 1 a second by an answer to the permit 100, and asked for one.
fn asking() -> PermitPool {
    let mut pool = PermitPool::default();
    pool.record_answer(Some(rate(1.0)), Some(100), true);
    pool.set_waiting(1, ASKED_AT);
    pool.request_due("e1", ASKED_AT).expect("asks");
    pool
}

fn lifts(pool: &mut PermitPool) -> bool {
    let request = pool.request_due("e1", ASKED_AT + 10);
    request.is_some_and(|request| request.lifted_by > request.limit.serial)
}

#[rstest]
#[case::of_a_later_permit(Some(101), true, true)]
#[case::of_the_same_permit(Some(100), true, false)]
#[case::of_an_earlier_permit(Some(99), true, false)]
#[case::sent_before_the_limit_was_known(None, true, false)]
#[case::a_failure(Some(101), false, false)]
fn only_a_sound_answer_to_a_later_permit_takes_a_limit_back(
    #[case] permit: Option<Serial>,
    #[case] is_success: bool,
    #[case] is_lifted: bool,
) {
    let mut pool = asking();
    pool.record_answer(None, permit, is_success);
    assert_eq!(lifts(&mut pool), is_lifted);
    // The issuer lifts it, for all nodes.
    assert!(pool.limit().is_some());
}

#[rstest]
#[case::lower_though_earlier(0.5, Some(99), 0.5)]
#[case::lower_sent_without_permit(0.5, None, 0.5)]
#[case::higher_and_later(2.0, Some(101), 2.0)]
#[case::higher_and_earlier(2.0, Some(99), 1.0)]
#[case::higher_sent_without_permit(2.0, None, 1.0)]
fn a_lower_limit_holds_at_once_and_a_higher_one_where_it_is_later(
    #[case] named: f64,
    #[case] permit: Option<Serial>,
    #[case] holds: f64,
) {
    let mut pool = asking();
    pool.record_answer(Some(rate(named)), permit, true);
    assert_eq!(pool.limit(), Some(rate(holds)));
}

#[test]
fn a_limit_that_the_issuer_knows_by_an_earlier_answer_does_not_raise_a_lower_one() {
    let mut pool = asking();
    pool.record_answer(Some(rate(0.5)), Some(100), true);
    pool.apply_grant(&grant(limited(1.0, 100), 200, 1), ASKED_AT + 5);
    assert_eq!(pool.limit(), Some(rate(0.5)));
}

#[test]
fn a_limit_named_again_after_it_was_over_is_not_taken_for_the_former() {
    let mut pool = asking();
    pool.apply_grant(&grant(LimitState::Lifted(300), 0, 0), ASKED_AT + 5);
    assert_eq!(pool.limit(), None);
    // A request without a permit, as there was no limit.
    pool.record_answer(Some(rate(2.0)), None, true);
    // The issuer may still know the former end only.
    pool.apply_grant(&grant(LimitState::Lifted(300), 0, 0), ASKED_AT + 20);
    assert_eq!(pool.limit(), Some(rate(2.0)));
}

#[test]
fn a_permit_is_taken_once_and_given_back_where_nothing_was_sent() {
    let mut pool = asking();
    let now = ASKED_AT + 5;
    pool.apply_grant(&grant(limited(1.0, 100), 200, 1), now);
    let Admission::Permitted(permit) = pool.admit(now) else {
        panic!("a permit is there");
    };
    assert_eq!(pool.admit(now), Admission::Denied);
    pool.return_permit(permit);
    pool.return_permit(permit);
    assert_eq!(pool.admit(now + 1), Admission::Permitted(permit));
    assert_eq!(pool.admit(now + 1), Admission::Denied);
}

#[test]
fn a_permit_that_is_meant_for_a_decided_request_is_not_free_for_another() {
    let mut pool = asking();
    let now = ASKED_AT + 5;
    pool.apply_grant(&grant(limited(1.0, 100), 200, 1), now);
    assert_eq!((pool.available(now), pool.next_permit_at(now)), (1, None));
    pool.reserve(now);
    assert_eq!(pool.available(now), 0);
    assert_eq!(pool.next_permit_at(now), Some(now + 1_000));
}

#[test]
fn permits_lapse_and_do_not_pile_up() {
    let mut pool = asking();
    let now = ASKED_AT + 5;
    pool.apply_grant(&grant(limited(1.0, 100), 200, 3), now);
    let later = now + PERMIT_LIFETIME;
    assert_eq!(pool.available(later - 1), 3);
    assert_eq!(pool.admit(later), Admission::Denied);
}

#[rstest]
#[case::in_time(ASKED_AT + 2_900, 1)]
#[case::after_the_process_stood_still(ASKED_AT + 60_000, 0)]
fn what_was_given_long_ago_is_no_permission(#[case] now: Millis, #[case] permits: usize) {
    let mut pool = asking();
    pool.apply_grant(&grant(limited(1.0, 100), 200, 1), now);
    assert_eq!(pool.available(now), permits);
}

#[test]
fn what_a_former_process_of_the_node_asked_for_is_no_permission() {
    let mut pool = PermitPool::default();
    pool.apply_grant(&grant(limited(1.0, 100), 200, 1), ASKED_AT + 5);
    // But it tells of the limit.
    assert_eq!(pool.limit(), Some(rate(1.0)));
    assert_eq!(pool.admit(ASKED_AT + 5), Admission::Denied);
}

#[test]
fn an_engine_that_takes_nothing_is_asked_now_and_then() {
    let mut pool = PermitPool::default();
    pool.record_answer(Some(RequestRate::ZERO), None, true);
    assert_eq!(pool.next_permit_at(0), Some(10_000));
}

#[test]
fn the_issuer_is_asked_by_what_waits_and_again_where_it_is_silent() {
    let mut pool = asking();
    let mut asks = |waiting, now| {
        pool.set_waiting(waiting, now);
        let request = pool.request_due("e1", now);
        request.map(|request| request.wanted)
    };
    assert_eq!(asks(1, ASKED_AT + 10), None);
    assert_eq!(asks(2, ASKED_AT + 20), Some(2));
    assert_eq!(asks(2, ASKED_AT + 500), None);
    assert_eq!(asks(2, ASKED_AT + 1_020), Some(2));
    assert_eq!(asks(0, ASKED_AT + 1_030), Some(0));
    assert_eq!(asks(0, ASKED_AT + 9_000), None);
}
