//! Tests of back ends that request a back-off or announce that they are draining: exclusion
//! from sends, return after the back-off, and waiting or rejected requests.

mod common;

use common::{call, call_of, dispatcher, dispatcher_with, in_zone, instances, list_of, traffic};
use rstest::rstest;
use silversail_decisions::DecisionLog;
use silversail_model::{AdvertisedRateLimit, AnswerEnd, ResultCode};
use silversail_peer::{BackendListEntry, PieceFailure, ResultHandle};
use silversail_serving::dispatcher::{
    Action, Dispatcher, NotRunReason, Refusal, SendOutcome, UnknownReason,
};
use silversail_serving::instances::{InstanceTable, ResumePolicy};
use silversail_serving::notices::ExchangeKind;
use silversail_serving::policy::Policy;
use silversail_serving::ports::SelfReport;
use silversail_serving::retry_budget::RetryLimits;
use silversail_serving::routes::RouteTable;
use std::time::Duration;

const FULL: SendOutcome = SendOutcome::NotRun(NotRunReason::Full);
const BACKEND_UNAVAILABLE: SendOutcome = SendOutcome::NotRun(NotRunReason::BackendUnavailable);
const WHOLE: SendOutcome = SendOutcome::Delivered {
    status: 200,
    end: AnswerEnd::Whole,
};

fn backoff(millis: u64) -> SelfReport {
    SelfReport {
        backoff: Some(Duration::from_millis(millis)),
        ..SelfReport::default()
    }
}

const DRAINING: SelfReport = SelfReport {
    load: None,
    backoff: None,
    has_unreadable_backoff: false,
    has_unreadable_processing_time: false,
    is_draining: true,
    limit: AdvertisedRateLimit {
        lowest: None,
        is_unreadable: false,
    },
    max_rejections_per_second: None,
    has_unreadable_max_rejections: false,
    is_full: false,
    unknown: Vec::new(),
};

fn report(table: &InstanceTable, ids: &[&str], advertised: &SelfReport, now: u64) {
    for id in ids {
        table
            .notices()
            .record_report(id, ExchangeKind::Request, advertised, now);
    }
}

/// Back end that the request is sent to; none if it is not sent.
fn sent_to(actions: &[Action]) -> Option<String> {
    actions.iter().find_map(|action| match action {
        Action::Send { plan, .. } => Some(plan.instance.clone()),
        _ => None,
    })
}

fn refusal(actions: &[Action]) -> Option<Refusal> {
    actions.iter().find_map(|action| match action {
        Action::Answer { refusal, .. } => Some(*refusal),
        _ => None,
    })
}

/// A dispatcher without a retry budget.
fn without_retries() -> Dispatcher {
    let limits = RetryLimits {
        ratio: 0.0,
        allowance: 0.0,
        window: 10_000,
    };
    let policy = Policy::default();
    let mut dispatcher = Dispatcher::new(in_zone("a"), limits, policy, 1, DecisionLog::disabled());
    dispatcher.set_routes(RouteTable::new(&traffic()), 0);
    dispatcher.instances.replace_list(&instances());
    dispatcher
}

#[test]
fn an_engine_in_backoff_gets_no_requests_until_the_backoff_ends() {
    let mut dispatcher = dispatcher();
    report(&dispatcher.instances, &["g1"], &backoff(3_000), 0);
    let mut returned = false;
    for number in 0..20 {
        let actions = dispatcher.handle_request(number, call_of("r", "/gate/x"), 400 * number);
        let to = sent_to(&actions).expect("sent");
        returned |= to == "g1";
        assert!(to == "g2" || 400 * number >= 3_000, "at {}", 400 * number);
    }
    assert!(returned);
}

#[rstest]
#[case::unchanged_list(|_: &mut Vec<BackendListEntry>| {})]
#[case::entry_missing_temporarily(|listed: &mut Vec<BackendListEntry>| listed.retain(|entry| entry.id != "g1"))]
fn a_list_update_does_not_clear_advertised_state(#[case] change: fn(&mut Vec<BackendListEntry>)) {
    for advertised in [backoff(5_000), DRAINING] {
        let mut dispatcher = dispatcher();
        report(&dispatcher.instances, &["g1"], &advertised, 0);
        let mut listed = instances();
        change(&mut listed);
        dispatcher.apply_backend_list(&list_of(&listed), 100);
        dispatcher.apply_backend_list(&list_of(&instances()), 1_100);
        let actions = dispatcher.handle_request(1, call_of("r", "/gate/x"), 1_200);
        assert_eq!(sent_to(&actions).as_deref(), Some("g2"), "{advertised:?}");
    }
}

#[test]
fn an_engine_whose_address_belongs_to_another_stays_excluded_while_listed_there() {
    let mut dispatcher = dispatcher();
    dispatcher.instances.record_address_mismatch("g1", 0);
    let mut listed = instances();
    listed[0].cold = true;
    dispatcher.apply_backend_list(&list_of(&listed), 1_000);
    let actions = dispatcher.handle_request(1, call_of("r", "/gate/x"), 1_100);
    assert_eq!(sent_to(&actions).as_deref(), Some("g2"));
    // A changed address makes it usable again.
    listed[3].address = "elsewhere:80".into();
    dispatcher.apply_backend_list(&list_of(&listed), 2_000);
    let actions = dispatcher.handle_request(2, call_of("r", "/gate/x"), 2_100);
    assert_eq!(sent_to(&actions).as_deref(), Some("g1"));
}

#[test]
fn a_restarted_engine_does_not_inherit_advertised_state() {
    let mut dispatcher = dispatcher();
    report(&dispatcher.instances, &["g1"], &DRAINING, 0);
    let mut listed = instances();
    listed[3].id = "g1#2".into();
    dispatcher.apply_backend_list(&list_of(&listed), 1_000);
    let actions = dispatcher.handle_request(1, call_of("r", "/gate/x"), 1_100);
    assert_eq!(sent_to(&actions).as_deref(), Some("g1#2"));
}

#[test]
fn a_draining_engine_is_not_a_last_resort() {
    let mut dispatcher = dispatcher();
    dispatcher.instances.record_failure("g1", 0, "test");
    dispatcher.instances.record_failure("g2", 0, "test");
    report(&dispatcher.instances, &["g1"], &DRAINING, 0);
    let actions = dispatcher.handle_request(1, call_of("r", "/gate/x"), 10);
    assert_eq!(sent_to(&actions).as_deref(), Some("g2"));
    report(&dispatcher.instances, &["g2"], &DRAINING, 20);
    let refused = refusal(&dispatcher.handle_request(2, call_of("r", "/gate/x"), 30));
    assert_eq!(
        refused.map(|refusal| refusal.code),
        Some(ResultCode::NoBackend)
    );
}

#[test]
fn an_engine_in_backoff_is_not_a_last_resort_when_the_others_failed() {
    let mut dispatcher = dispatcher();
    dispatcher.instances.record_failure("g1", 0, "test");
    dispatcher.instances.record_failure("g2", 0, "test");
    report(&dispatcher.instances, &["g1"], &backoff(3_000), 0);
    let actions = dispatcher.handle_request(1, call_of("r", "/gate/x"), 10);
    assert_eq!(sent_to(&actions).as_deref(), Some("g2"));
}

/// The engine advertised its back-off between the choice and the send, so nothing was sent.
#[test]
fn a_send_to_an_unavailable_engine_does_not_consume_the_retry_budget() {
    let mut dispatcher = without_retries();
    let first = sent_to(&dispatcher.handle_request(1, call_of("r", "/gate/x"), 0)).expect("sent");
    report(&dispatcher.instances, &[&first], &backoff(3_000), 5);
    let second =
        sent_to(&dispatcher.send_ended(1, BACKEND_UNAVAILABLE, None, 5)).expect("sent anew");
    assert_ne!(second, first);
    // A send that the engine rejected does count.
    let refused = refusal(&dispatcher.send_ended(1, FULL, None, 10));
    let code = refused.map(|refusal| refusal.code);
    assert_eq!(code, Some(ResultCode::RetryBudgetSpent));
}

#[test]
fn a_request_is_rejected_at_once_with_a_retry_delay_if_all_back_off_beyond_its_deadline() {
    let mut dispatcher = dispatcher();
    report(&dispatcher.instances, &["g1"], &backoff(9_000), 0);
    report(&dispatcher.instances, &["g2"], &backoff(7_000), 0);
    let refused =
        refusal(&dispatcher.handle_request(1, call_of("r", "/gate/x"), 1_000)).expect("refused");
    assert_eq!(refused.code, ResultCode::BackendsResting);
    assert_eq!(refused.retry_after_ms, Some(6_000));
    assert_eq!(dispatcher.open_requests(), 0);
}

#[test]
fn an_unbounded_backoff_gives_no_retry_delay() {
    let mut dispatcher = dispatcher();
    report(&dispatcher.instances, &["g1", "g2"], &backoff(u64::MAX), 0);
    let refused =
        refusal(&dispatcher.handle_request(1, call_of("r", "/gate/x"), 10)).expect("refused");
    assert_eq!(refused.code, ResultCode::BackendsResting);
    assert_eq!(refused.retry_after_ms, None);
}

/// The results of its phases would be unused.
#[test]
fn a_request_is_rejected_before_its_phases_if_all_engines_back_off_too_long() {
    let mut dispatcher = dispatcher();
    report(
        &dispatcher.instances,
        &["e1", "e2", "e3"],
        &backoff(60_000),
        0,
    );
    let mut staged = call_of("r", "/staged/x");
    staged.pieces = vec![1, 1, 1];
    let actions = dispatcher.handle_request(1, staged, 10);
    let refused = refusal(&actions).expect("refused");
    assert_eq!(refused.code, ResultCode::BackendsResting);
    let is_submit = |action: &Action| matches!(action, Action::Submit { .. });
    assert!(!actions.iter().any(is_submit));
}

#[test]
fn a_request_waits_for_an_engine_whose_backoff_ends_in_time() {
    let mut dispatcher = dispatcher();
    report(&dispatcher.instances, &["g1"], &backoff(2_000), 0);
    report(&dispatcher.instances, &["g2"], &backoff(1_000), 0);
    assert!(dispatcher
        .handle_request(1, call_of("r", "/gate/x"), 100)
        .is_empty());
    assert!(dispatcher.send_waiting(999).is_empty());
    assert!(dispatcher.expire(999).is_empty());
    let actions = dispatcher.send_waiting(1_000);
    assert_eq!(sent_to(&actions).as_deref(), Some("g2"));
    assert!(dispatcher.send_waiting(1_100).is_empty(), "sent once");
}

#[test]
fn a_waiting_request_is_sent_to_a_newly_listed_engine() {
    let mut dispatcher = dispatcher();
    report(&dispatcher.instances, &["g1", "g2"], &backoff(2_000), 0);
    assert!(dispatcher
        .handle_request(1, call_of("r", "/gate/x"), 100)
        .is_empty());
    let mut listed = instances();
    listed.push(common::instance("g3", "gate", "a"));
    dispatcher.apply_backend_list(&list_of(&listed), 200);
    let actions = dispatcher.send_waiting(225);
    assert_eq!(sent_to(&actions).as_deref(), Some("g3"));
}

/// The first request serves as a probe; the others are sent once it is answered.
#[test]
fn after_a_backoff_a_single_request_probes_each_engine() {
    let mut dispatcher = dispatcher();
    report(&dispatcher.instances, &["g1", "g2"], &backoff(1_000), 0);
    for number in 1..=4 {
        let actions = dispatcher.handle_request(number, call_of("r", "/gate/x"), 100);
        assert!(actions.is_empty());
    }
    let first = dispatcher.send_waiting(1_000);
    let send_count = |actions: &[Action]| {
        let is_send = |action: &&Action| matches!(action, Action::Send { .. });
        actions.iter().filter(is_send).count()
    };
    assert_eq!(send_count(&first), 2, "one to each engine");
    assert_eq!(send_count(&dispatcher.send_waiting(1_050)), 0);
    // One engine answers without a back-off, the other requests another one.
    report(
        &dispatcher.instances,
        &["g1"],
        &SelfReport::default(),
        1_060,
    );
    report(&dispatcher.instances, &["g2"], &backoff(1_000), 1_060);
    let later = dispatcher.send_waiting(1_075);
    assert_eq!(send_count(&later), 2);
    assert!(later.iter().all(|action| match action {
        Action::Send { plan, .. } => plan.instance == "g1",
        _ => true,
    }));
}

#[test]
fn an_engine_that_does_not_answer_its_probe_gets_another_request_after_a_delay() {
    let mut dispatcher = dispatcher();
    report(&dispatcher.instances, &["g1", "g2"], &backoff(500), 0);
    for number in 1..=3 {
        dispatcher.handle_request(number, call_of("r", "/gate/x"), 100);
    }
    dispatcher.send_waiting(500);
    assert!(dispatcher.send_waiting(1_400).is_empty());
    assert!(sent_to(&dispatcher.send_waiting(1_500)).is_some());
}

/// A simultaneous return of all nodes would overload the engine again.
#[test]
fn the_return_of_nodes_is_spread_over_a_fraction_of_the_backoff() {
    let returns_at = |node: &str| {
        let mut table = InstanceTable::new(DecisionLog::disabled());
        table.set_senders(node, vec![node.to_owned()]);
        table.set_resume_policy(ResumePolicy {
            first_alone: true,
            spread: 0.4,
        });
        table.replace_list(&instances());
        report(&table, &["g1"], &backoff(1_000), 0);
        let engine = table.get("g1").expect("listed");
        (0..3_000).find(|now| engine.is_usable(*now))
    };
    let nodes = (0..40).map(|node| format!("n{node}"));
    let times: Vec<u64> = nodes.filter_map(|node| returns_at(&node)).collect();
    assert_eq!(times.len(), 40);
    assert!(times.iter().all(|at| (1_000..=1_400).contains(at)));
    let early = times.iter().filter(|at| **at < 1_200).count();
    assert!(
        (10..=30).contains(&early),
        "{early} of 40 in the first half"
    );
}

/// A node without an alternative skips its spread delay.
#[test]
fn a_node_without_another_engine_returns_at_the_end_of_the_backoff() {
    let mut dispatcher = dispatcher();
    report(&dispatcher.instances, &["g1"], &backoff(1_000), 0);
    dispatcher.instances.record_failure("g2", 900, "test");
    let actions = dispatcher.handle_request(1, call_of("r", "/gate/x"), 1_000);
    assert_eq!(sent_to(&actions).as_deref(), Some("g1"));
}

/// Two engines with four slots each admit eight waiting requests.
#[test]
fn the_number_of_waiting_requests_is_limited_to_the_slots() {
    let mut dispatcher = dispatcher();
    report(&dispatcher.instances, &["g1", "g2"], &backoff(1_000), 0);
    for number in 1..=8 {
        let actions = dispatcher.handle_request(number, call_of("r", "/gate/x"), 10);
        assert!(actions.is_empty(), "{number}");
    }
    let refused =
        refusal(&dispatcher.handle_request(9, call_of("r", "/gate/x"), 10)).expect("refused");
    assert_eq!(refused.code, ResultCode::BackendsResting);
    assert_eq!(refused.retry_after_ms, Some(990));
}

#[test]
fn a_waiting_request_whose_caller_disconnects_is_not_sent() {
    let mut dispatcher = dispatcher();
    report(&dispatcher.instances, &["g1", "g2"], &backoff(1_000), 0);
    dispatcher.handle_request(1, call_of("r", "/gate/x"), 10);
    dispatcher.caller_disconnected(1, 20);
    assert!(dispatcher.send_waiting(1_000).is_empty());
}

#[test]
fn a_complete_answer_resets_the_failure_backoff() {
    let mut dispatcher = dispatcher();
    for id in ["g1", "g2"] {
        for _ in 0..3 {
            dispatcher.instances.record_failure(id, 0, "test");
        }
    }
    let first =
        sent_to(&dispatcher.handle_request(1, call_of("r", "/gate/x"), 5_000)).expect("sent");
    dispatcher.send_ended(1, WHOLE, None, 5_010);
    dispatcher.instances.record_failure(&first, 5_020, "test");
    let engine = dispatcher.instances.get(&first).expect("listed");
    assert!(
        engine.is_usable(5_520),
        "the backoff is that of a first failure"
    );
}

/// "Not run" would be wrong, as the first send may have run.
#[test]
fn a_request_that_may_have_run_is_not_reported_as_not_run() {
    let mut dispatcher = dispatcher();
    let first = sent_to(&dispatcher.handle_request(1, call_of("r", "/lookup/x"), 0)).expect("sent");
    let other = if first == "g1" { "g2" } else { "g1" };
    report(&dispatcher.instances, &[other], &backoff(1_000), 5);
    let broken = SendOutcome::Unknown(UnknownReason::Broken);
    let refused = refusal(&dispatcher.send_ended(1, broken, None, 10)).expect("given up");
    assert_eq!(refused.code, ResultCode::BackendFailed);
    assert_eq!(refused.retry_after_ms, None);
}

#[test]
fn a_request_rejected_after_a_send_that_may_have_run_is_not_reported_as_not_run() {
    let mut dispatcher = dispatcher();
    dispatcher.handle_request(1, call_of("r", "/lookup/x"), 0);
    let broken = SendOutcome::Unknown(UnknownReason::Broken);
    assert!(sent_to(&dispatcher.send_ended(1, broken, None, 10)).is_some());
    let refused = refusal(&dispatcher.send_ended(1, FULL, None, 20)).expect("given up");
    assert_eq!(refused.code.http_status(), 502);
}

#[test]
fn state_in_the_head_of_an_answer_applies_while_its_body_is_streamed() {
    let mut dispatcher = dispatcher();
    let first = sent_to(&dispatcher.handle_request(1, call("r"), 0)).expect("sent");
    report(&dispatcher.instances, &[&first], &DRAINING, 50);
    dispatcher.head_received(1, None, 50);
    for number in 2..10 {
        let to = sent_to(&dispatcher.handle_request(number, call("r"), 60));
        assert_ne!(to.as_deref(), Some(first.as_str()));
    }
    assert!(dispatcher.send_ended(1, WHOLE, None, 4_000).is_empty());
}

mod batch_back_ends {
    use super::*;
    use common::batches::{batcher, key, table, whole, work};
    use common::made;
    use silversail_serving::batcher::CallOutcome;

    #[test]
    fn a_back_end_in_backoff_gets_no_calls_and_does_not_count_as_capacity() {
        let (table, mut batcher) = (table(&[("s1", "a"), ("s2", "a")]), batcher());
        batcher
            .submit(key(1), work(1, 8), &table, 0)
            .expect("taken");
        let before = batcher.waits(&whole(), &table, 0);
        report(&table, &["s1"], &backoff(2_000), 0);
        let after = batcher.waits(&whole(), &table, 0);
        assert!(after.queue_ms > before.queue_ms, "{after:?}");
        let calls = batcher.next_calls(&table, 0);
        assert_eq!(calls.len(), 1);
        assert_eq!(calls[0].instance, "s2");
    }

    #[test]
    fn if_all_back_ends_back_off_wait_estimates_include_it_and_late_orders_are_rejected() {
        let (table, mut batcher) = (table(&[("s1", "a"), ("s2", "a")]), batcher());
        batcher
            .submit(key(1), work(1, 1), &table, 0)
            .expect("taken");
        report(&table, &["s1"], &backoff(3_000), 0);
        report(&table, &["s2"], &backoff(2_000), 0);
        assert!(batcher.next_calls(&table, 0).is_empty());
        let waits = batcher.waits(&whole(), &table, 0);
        assert!(waits.backlog_ms[1] >= 2_000, "{waits:?}");
        assert!(batcher
            .reject_orders_delayed_by_backoff(&table, 10)
            .is_empty());
        let mut short = work(2, 1);
        short.remaining_ms = 1_500;
        let refused = batcher.submit(key(2), short, &table, 10);
        assert_eq!(refused, Err(PieceFailure::Overloaded));
        // A longer back-off makes the waiting order too late.
        report(&table, &["s1", "s2"], &backoff(9_000), 100);
        let ended = batcher.reject_orders_delayed_by_backoff(&table, 110);
        assert_eq!(ended.len(), 1);
        assert_eq!(ended[0].result, Err(PieceFailure::Overloaded));
    }

    #[test]
    fn a_call_to_an_unavailable_back_end_counts_neither_as_an_attempt_nor_as_a_failure() {
        let (table, mut batcher) = (table(&[("s1", "a"), ("s2", "a")]), batcher());
        batcher
            .submit(key(1), work(1, 2), &table, 0)
            .expect("taken");
        for turn in 0..5 {
            let now = 10 * turn;
            let call = batcher.next_calls(&table, now).remove(0);
            let ended = batcher.call_ended(call.call, CallOutcome::BackendUnavailable, now);
            assert!(ended.is_empty(), "{turn}");
        }
        let call = batcher.next_calls(&table, 60).remove(0);
        let ended = batcher.call_ended(call.call, made(&call), 300);
        let handles: Option<Vec<ResultHandle>> =
            ended.into_iter().find_map(|order| order.result.ok());
        assert_eq!(handles.map(|handles| handles.len()), Some(2));
    }

    #[test]
    fn a_draining_back_end_does_not_serve_its_shard() {
        let (table, mut batcher) = (table(&[("s1", "a")]), batcher());
        batcher
            .submit(key(1), work(1, 1), &table, 0)
            .expect("taken");
        report(&table, &["s1"], &DRAINING, 0);
        let ended = batcher.reject_orders_without_backend(&table, 0);
        assert_eq!(ended.len(), 1);
        assert_eq!(ended[0].result, Err(PieceFailure::NoBackend));
    }
}

#[test]
fn engine_choice_is_unchanged_without_advertised_state() {
    let mut dispatcher = dispatcher_with(Policy::default());
    assert!(sent_to(&dispatcher.handle_request(1, call("r"), 0)).is_some());
}
