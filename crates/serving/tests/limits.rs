//! Tests of rate-limited engines and batch back ends: permits, waiting requests and rejections.

mod common;

use common::{call_of, dispatcher, instances, list_of};
use rstest::rstest;
use silversail_limits::{KnownLimit, LimitState, PermitGrant, Serial};
use silversail_model::{AdvertisedRateLimit, RequestRate, ResultCode};
use silversail_serving::dispatcher::{Action, Dispatcher, NotRunReason, Refusal, SendOutcome};
use silversail_serving::instances::InstanceTable;
use silversail_serving::notices::{AnswerContext, ExchangeKind, UnavailableReason};
use silversail_serving::ports::SelfReport;
use std::collections::BTreeMap;

const BACKEND_UNAVAILABLE: SendOutcome = SendOutcome::NotRun(NotRunReason::BackendUnavailable);
const NONE_WAITING: BTreeMap<String, u32> = BTreeMap::new();

fn rate(per_second: f64) -> RequestRate {
    RequestRate::per_second(per_second).expect("a rate")
}

fn limit(per_second: f64) -> SelfReport {
    SelfReport {
        limit: AdvertisedRateLimit {
            lowest: Some(rate(per_second)),
            is_unreadable: false,
        },
        ..SelfReport::default()
    }
}

fn advertise_limit(table: &InstanceTable, ids: &[&str], per_second: f64) {
    for id in ids {
        let report = limit(per_second);
        table
            .notices()
            .record_report(id, ExchangeKind::Request, &report, 0);
    }
    table.notices().permit_requests(&NONE_WAITING, 0);
}

fn grant(backend: &str, first_serial: Serial, count: u32, wait_ms: u64) -> PermitGrant {
    PermitGrant {
        backend: backend.into(),
        state: LimitState::Limited(KnownLimit {
            rate: rate(1.0),
            serial: 1,
        }),
        first_serial,
        count,
        wait_ms,
        request_sent_at: 0,
    }
}

fn sent_to(actions: &[Action]) -> Option<String> {
    actions.iter().find_map(|action| match action {
        Action::Send { plan, .. } => Some(plan.instance.clone()),
        _ => None,
    })
}

fn refusals(actions: &[Action]) -> Vec<(u64, Refusal)> {
    let refused = actions.iter().filter_map(|action| match action {
        Action::Answer { number, refusal } => Some((*number, *refusal)),
        _ => None,
    });
    refused.collect()
}

fn send_request(dispatcher: &mut Dispatcher, number: u64, now: u64) -> Vec<Action> {
    dispatcher.handle_request(number, call_of(&format!("r{number}"), "/gate/x"), now)
}

#[test]
fn a_limited_engine_gets_one_request_per_permit_and_the_other_engine_the_rest() {
    let mut dispatcher = dispatcher();
    advertise_limit(&dispatcher.instances, &["g1"], 1.0);
    dispatcher
        .instances
        .notices()
        .apply_grant("n2", &grant("g1", 10, 1, 0), 5);
    let to = (0..6).map(|number| sent_to(&send_request(&mut dispatcher, number, 10)));
    let to: Vec<String> = to.flatten().collect();
    let limited = to.iter().filter(|engine| *engine == "g1").count();
    assert_eq!((limited, to.len()), (1, 6));
}

#[test]
fn a_list_update_does_not_clear_a_limit() {
    let mut dispatcher = dispatcher();
    advertise_limit(&dispatcher.instances, &["g1"], 1.0);
    let without: Vec<_> = instances()
        .into_iter()
        .filter(|listed| listed.id != "g1")
        .collect();
    dispatcher.apply_backend_list(&list_of(&without), 100);
    dispatcher.apply_backend_list(&list_of(&instances()), 1_100);
    assert_eq!(
        sent_to(&send_request(&mut dispatcher, 1, 1_200)).as_deref(),
        Some("g2")
    );
}

/// The limit may appear, or another request may consume the permit, after the engine is chosen.
#[test]
fn a_request_without_a_permit_at_its_send_is_reassigned() {
    let mut dispatcher = dispatcher();
    let first = sent_to(&send_request(&mut dispatcher, 1, 0)).expect("sent");
    advertise_limit(&dispatcher.instances, &[&first], 1.0);
    let admitted = dispatcher.instances.notices().admit(&first, 5);
    assert_eq!(admitted, Err(UnavailableReason::Limited));
    let second =
        sent_to(&dispatcher.send_ended(1, BACKEND_UNAVAILABLE, None, 5)).expect("sent anew");
    assert_ne!(second, first);
}

#[test]
fn a_permit_admits_one_request() {
    let dispatcher = dispatcher();
    let notices = dispatcher.instances.notices();
    advertise_limit(&dispatcher.instances, &["g1"], 1.0);
    notices.apply_grant("n2", &grant("g1", 10, 1, 0), 5);
    let permit = notices.admit("g1", 10).expect("admitted");
    assert_eq!(permit.map(|permit| permit.serial), Some(10));
    assert_eq!(notices.admit("g1", 10), Err(UnavailableReason::Limited));
    notices.return_permit("g1", permit.expect("a permit"));
    assert!(notices.admit("g1", 20).is_ok());
}

#[test]
fn only_a_successful_answer_to_a_permitted_request_lifts_a_limit() {
    let dispatcher = dispatcher();
    let notices = dispatcher.instances.notices();
    advertise_limit(&dispatcher.instances, &["g1"], 1.0);
    let limit_lifted_serial = |permit, is_success| {
        let answer = AnswerContext {
            path: ExchangeKind::Request,
            permit,
            is_success,
        };
        notices.record_report("g1", answer, &SelfReport::default(), 20);
        let requests = notices.permit_requests(&NONE_WAITING, 20);
        requests.first().map(|request| request.limit_lifted_serial)
    };
    assert_eq!(limit_lifted_serial(None, true), None);
    assert_eq!(limit_lifted_serial(Some(10), false), None);
    assert_eq!(limit_lifted_serial(Some(10), true), Some(10));
}

mod all_engines_limited {
    use super::*;

    fn limited() -> Dispatcher {
        let dispatcher = dispatcher();
        advertise_limit(&dispatcher.instances, &["g1", "g2"], 1.0);
        dispatcher
    }

    #[test]
    fn a_request_waits_for_a_permit_and_is_sent_with_it() {
        let mut dispatcher = limited();
        assert!(send_request(&mut dispatcher, 1, 0).is_empty());
        let wanted = dispatcher.permits_wanted();
        let (engine, count) = wanted.iter().next().expect("wants one");
        assert_eq!((wanted.len(), *count), (1, 1));
        assert!(dispatcher.send_waiting(200).is_empty());
        dispatcher
            .instances
            .notices()
            .apply_grant("n2", &grant(engine, 10, 1, 0), 300);
        let sent = sent_to(&dispatcher.send_waiting(300));
        assert_eq!(sent.as_ref(), Some(engine));
        assert!(dispatcher.permits_wanted().is_empty());
    }

    #[test]
    fn the_most_urgent_waiting_request_gets_the_first_permit() {
        let mut dispatcher = limited();
        for number in 1..=3 {
            let mut call = call_of(&format!("r{number}"), "/gate/x");
            call.deadline_ms = Some(4_500 - 500 * number);
            assert!(dispatcher.handle_request(number, call, 0).is_empty());
        }
        dispatcher
            .instances
            .notices()
            .apply_grant("n2", &grant("g1", 10, 1, 0), 300);
        let sent = dispatcher.send_waiting(300);
        let number = sent.iter().find_map(|action| match action {
            Action::Send { number, .. } => Some(*number),
            _ => None,
        });
        assert_eq!(number, Some(3));
    }

    /// The issuer estimates eight seconds until the last permit; callers wait four.
    #[test]
    fn a_request_without_a_permit_in_time_is_rejected_at_once_with_a_retry_delay() {
        let mut dispatcher = limited();
        for number in 1..=4 {
            assert!(send_request(&mut dispatcher, number, 0).is_empty());
        }
        let mut refused = Vec::new();
        let notices = dispatcher.instances.notices().clone();
        for (engine, count) in dispatcher.permits_wanted() {
            let waiting = BTreeMap::from([(engine.clone(), count)]);
            notices.permit_requests(&waiting, 10);
            notices.apply_grant("n2", &grant(&engine, 10, 0, 8_000), 20);
            refused.extend(refusals(&dispatcher.reject_without_permit(&engine, 20)));
        }
        assert!(!refused.is_empty());
        for (number, refusal) in &refused {
            assert_eq!(refusal.code, ResultCode::BackendsLimited, "{number}");
            assert!(refusal.retry_after_ms.is_some_and(|wait| wait >= 3_900));
        }
        let open = dispatcher.open_requests();
        assert_eq!(open + refused.len(), 4);
    }

    #[rstest]
    #[case::one_per_second(1.0, true)]
    #[case::one_per_ten_seconds(0.1, false)]
    fn a_request_that_cannot_get_a_permit_in_time_is_rejected_before_its_phases(
        #[case] per_second: f64,
        #[case] is_accepted: bool,
    ) {
        let mut dispatcher = dispatcher();
        advertise_limit(&dispatcher.instances, &["e1", "e2", "e3"], per_second);
        let mut staged = call_of("r", "/staged/x");
        staged.pieces = vec![1, 1, 1];
        let actions = dispatcher.handle_request(1, staged, 10);
        let is_submitted = |action: &Action| matches!(action, Action::Submit { .. });
        assert_eq!(actions.iter().any(is_submitted), is_accepted);
        let code = refusals(&actions).first().map(|(_, refusal)| refusal.code);
        let expected = (!is_accepted).then_some(ResultCode::BackendsLimited);
        assert_eq!(code, expected);
    }
}

mod batch_back_ends {
    use super::*;
    use common::batches::{batcher, key, table, whole, work};

    #[test]
    fn a_limited_batch_back_end_gets_calls_only_with_permits_and_its_limit_raises_wait_estimates() {
        let (table, mut batcher) = (table(&[("s1", "a"), ("s2", "a")]), batcher());
        for request in 1..=3 {
            let taken = batcher.submit(key(request), work(request, 8), &table, 0);
            taken.expect("taken");
        }
        let before = batcher.waits(&whole(), &table, 0);
        advertise_limit(&table, &["s1"], 1.0);
        let after = batcher.waits(&whole(), &table, 0);
        assert!(after.queue_ms > before.queue_ms, "{before:?}, {after:?}");
        let calls = batcher.next_calls(&table, 0);
        let makers: Vec<&str> = calls.iter().map(|call| call.instance.as_str()).collect();
        assert_eq!(makers, ["s2"]);
        assert_eq!(batcher.permits_wanted(&table, 0), ["s1"]);
        table.notices().apply_grant("n2", &grant("s1", 10, 1, 0), 5);
        let calls = batcher.next_calls(&table, 10);
        assert_eq!(calls.len(), 1);
        assert_eq!(
            (calls[0].instance.as_str(), calls[0].pieces.len()),
            ("s1", 8)
        );
        assert!(batcher.next_calls(&table, 20).is_empty());
    }
}
