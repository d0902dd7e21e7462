//! Requests from arrival to answer: sends, retries, phases and admission.

mod common;

use common::{call, call_of, dispatcher, dispatcher_with, in_zone, instances, LIMITS};
use rstest::rstest;
use silversail_decisions::DecisionLog;
use silversail_model::{AnswerEnd, ResultCode, Shard};
use silversail_peer::{
    PieceFailure, PieceSource, ResultHandle, ShardWaitEstimates, WorkId, PRIORITY_LEVELS,
};
use silversail_serving::dispatcher::{
    Action, Dispatcher, NotRunReason, Refusal, SendOutcome, SendPlan, UnknownReason,
};
use silversail_serving::policy::Policy;

fn sent(actions: &[Action]) -> &SendPlan {
    let plans: Vec<&SendPlan> = actions
        .iter()
        .filter_map(|action| match action {
            Action::Send { plan, .. } => Some(plan),
            _ => None,
        })
        .collect();
    assert_eq!(plans.len(), 1, "one send in {actions:?}");
    plans[0]
}

fn answered(actions: &[Action]) -> Refusal {
    let answers: Vec<Refusal> = actions
        .iter()
        .filter_map(|action| match action {
            Action::Answer { refusal, .. } => Some(*refusal),
            _ => None,
        })
        .collect();
    assert_eq!(answers.len(), 1, "one answer in {actions:?}");
    answers[0]
}

fn submitted(actions: &[Action]) -> Vec<(WorkId, u32, PieceSource)> {
    let works = actions.iter().filter_map(|action| match action {
        Action::Submit { work, phase, .. } => {
            let first = &phase.pieces[0];
            Some((*work, first.phase, first.source.clone()))
        }
        _ => None,
    });
    works.collect()
}

fn handle(name: &str) -> ResultHandle {
    ResultHandle(format!("s1:80/{name}"))
}

const BROKEN: SendOutcome = SendOutcome::Unknown(UnknownReason::Broken);
const FULL: SendOutcome = SendOutcome::NotRun(NotRunReason::Full);
const UNREACHABLE: SendOutcome = SendOutcome::NotRun(NotRunReason::Unreachable);

/// A policy that admits within this share of an objective, for every priority.
fn admitting(share: f64) -> Policy {
    Policy {
        admitted_shares: [share; PRIORITY_LEVELS],
        ..Policy::default()
    }
}

/// Wait estimates by which a chain of two phases ends after 1,650 of 2,000 ms.
fn waits_of_encode() -> ShardWaitEstimates {
    ShardWaitEstimates {
        shard: Shard::whole_service("encode"),
        age_ms: 0,
        backlog_ms: [100, 900, 900, 900],
        call_ms: 300,
        queue_ms: 0,
    }
}

#[test]
fn without_a_configuration_requests_are_rejected_with_retry_after() {
    let mut dispatcher = Dispatcher::new(
        in_zone("a"),
        LIMITS,
        Policy::default(),
        1,
        DecisionLog::disabled(),
    );
    let refusal = answered(&dispatcher.handle_request(1, call("r"), 0));
    assert_eq!(refusal.code, ResultCode::NoTrafficConfiguration);
    assert_eq!(refusal.code.http_status(), 503);
    assert!(refusal.retry_after_ms.is_some());
}

#[test]
fn a_route_without_backends_rejects_at_once() {
    let mut dispatcher = dispatcher();
    dispatcher.instances.replace_list(&[]);
    let refusal = answered(&dispatcher.handle_request(1, call("r"), 0));
    assert_eq!(refusal.code, ResultCode::NoBackend);
    assert_eq!(dispatcher.open_requests(), 0);
}

/// A request that is not idempotent is sent again only if the engine certainly has not run it;
/// otherwise the answer leaves open whether it ran.
#[rstest]
#[case(FULL, true, None)]
#[case(UNREACHABLE, true, None)]
#[case(SendOutcome::NotRun(NotRunReason::Misplaced), true, None)]
#[case(BROKEN, false, Some(502))]
#[case(SendOutcome::Unknown(UnknownReason::Garbled), false, Some(502))]
#[case(SendOutcome::Unknown(UnknownReason::Deadline), false, Some(504))]
fn a_request_that_is_not_idempotent_runs_at_most_once(
    #[case] outcome: SendOutcome,
    #[case] is_retried: bool,
    #[case] status: Option<u16>,
) {
    let mut dispatcher = dispatcher();
    let first = sent(&dispatcher.handle_request(1, call_of("r", "/gate/x"), 0)).clone();
    let actions = dispatcher.send_ended(1, outcome, None, 10);
    if is_retried {
        assert_ne!(sent(&actions).instance, first.instance);
    } else {
        let refusal = answered(&actions);
        assert_eq!(Some(refusal.code.http_status()), status);
        assert_eq!(refusal.retry_after_ms, None);
        assert_eq!(dispatcher.open_requests(), 0);
    }
}

#[test]
fn an_idempotent_request_is_retried_up_to_the_attempts_of_its_route() {
    let mut dispatcher = dispatcher();
    let first = sent(&dispatcher.handle_request(1, call_of("r", "/lookup/x"), 0)).clone();
    assert!(first.may_repeat);
    let again = dispatcher.send_ended(1, SendOutcome::Failed { status: 500 }, None, 10);
    let second = sent(&again).clone();
    assert_ne!(second.instance, first.instance);
    // The failure of the last attempt is passed on to the caller.
    assert!(!second.may_repeat);
    let refusal = answered(&dispatcher.send_ended(1, BROKEN, None, 20));
    assert_eq!(refusal.code, ResultCode::BackendFailed);
}

#[test]
fn if_all_engines_reject_the_answer_says_that_the_request_did_not_run() {
    let mut dispatcher = dispatcher();
    dispatcher.handle_request(1, call_of("r", "/gate/x"), 0);
    sent(&dispatcher.send_ended(1, FULL, None, 5));
    let refusal = answered(&dispatcher.send_ended(1, FULL, None, 10));
    assert_eq!(refusal.code.http_status(), 503);
    assert!(refusal.retry_after_ms.is_some());
}

#[test]
fn retries_stay_within_the_budget() {
    let mut dispatcher = dispatcher();
    let nodes = (0..10).map(|node| format!("n{node}"));
    dispatcher.set_nodes("n0", nodes.collect());
    let mut retries = 0;
    for number in 0..200 {
        dispatcher.handle_request(number, call_of(&format!("r{number}"), "/lookup/x"), 0);
        let failed = SendOutcome::Failed { status: 500 };
        let actions = dispatcher.send_ended(number, failed, None, 1);
        let is_sent = actions
            .iter()
            .any(|action| matches!(action, Action::Send { .. }));
        retries += usize::from(is_sent);
    }
    // A fifth of 200 requests, and a tenth of the allowance of 60.
    assert!((20..=46).contains(&retries), "{retries} retries");
}

#[test]
fn a_draining_backend_gets_no_requests() {
    let mut dispatcher = dispatcher();
    let mut listed = instances();
    listed
        .iter_mut()
        .for_each(|entry| entry.draining = entry.id == "g1");
    dispatcher.instances.replace_list(&listed);
    for number in 0..20 {
        let actions =
            dispatcher.handle_request(number, call_of(&format!("r{number}"), "/gate/x"), 0);
        assert_eq!(sent(&actions).instance, "g2");
    }
}

#[test]
fn phases_run_in_order_and_one_off_the_critical_path_starts_late() {
    let mut dispatcher = dispatcher();
    let mut request = call_of("r", "/staged/x");
    request.pieces = vec![1, 2, 1];
    request.piece_key = "k".into();
    let first = submitted(&dispatcher.handle_request(1, request, 0));
    // Phase 2 has large results and is no longer than the last phase of the chain.
    assert_eq!(first.len(), 1);
    assert_eq!(first[0].1, 0);
    assert_eq!(first[0].2, PieceSource::Key("k".into()));
    let next = dispatcher.phase_done(first[0].0, Ok(vec![handle("p0")]), 300);
    let next = submitted(&next);
    let phases: Vec<u32> = next.iter().map(|(_, phase, _)| *phase).collect();
    assert_eq!(phases, [1, 2]);
    assert_eq!(next[0].2, PieceSource::Results(vec![handle("p0")]));
    let two = vec![handle("p1"), handle("p2")];
    let actions = dispatcher.phase_done(next[0].0, Ok(two.clone()), 600);
    // The result of the first phase is no longer needed.
    assert!(actions.contains(&Action::Release {
        service: "encode".into(),
        handles: vec![handle("p0")],
    }));
    let actions = dispatcher.phase_done(next[1].0, Ok(vec![handle("q")]), 700);
    // The engine gets the results of the phases without followers.
    let mut inputs = two;
    inputs.push(handle("q"));
    assert_eq!(sent(&actions).attributes.inputs, inputs);
    let freed = dispatcher.head_received(1, None, 900);
    assert_eq!(freed.len(), 2, "{freed:?}");
}

#[test]
fn a_phase_without_pieces_is_skipped() {
    let mut dispatcher = dispatcher();
    let mut request = call_of("r", "/staged/x");
    request.pieces = vec![0, 0, 0];
    sent(&dispatcher.handle_request(1, request, 0));
}

#[test]
fn inputs_are_freed_exactly_once_when_read() {
    let mut dispatcher = dispatcher();
    let mut request = call_of("r", "/staged/x");
    request.pieces = vec![1, 1, 0];
    let first = submitted(&dispatcher.handle_request(1, request, 0));
    let second = submitted(&dispatcher.phase_done(first[0].0, Ok(vec![handle("p0")]), 300));
    let freed = dispatcher.inputs_read(second[0].0);
    assert_eq!(freed.len(), 1, "{freed:?}");
    let actions = dispatcher.phase_done(second[0].0, Ok(vec![handle("p1")]), 600);
    let is_release = |action: &&Action| matches!(action, Action::Release { .. });
    assert_eq!(actions.iter().filter(is_release).count(), 0, "{actions:?}");
}

#[test]
fn a_lost_result_restarts_the_phases_at_most_once() {
    let mut dispatcher = dispatcher();
    let mut request = call_of("r", "/staged/x");
    request.pieces = vec![1, 0, 0];
    let first = submitted(&dispatcher.handle_request(1, request, 0));
    let again = submitted(&dispatcher.phase_done(first[0].0, Err(PieceFailure::InputGone), 50));
    assert_eq!(again.len(), 1);
    let refusal = answered(&dispatcher.phase_done(again[0].0, Err(PieceFailure::InputGone), 90));
    assert_eq!(refusal.code, ResultCode::PhaseFailed);
    assert!(refusal.retry_after_ms.is_some());
}

#[test]
fn a_request_that_would_miss_its_objective_is_rejected_on_arrival() {
    let mut dispatcher = dispatcher_with(admitting(0.8));
    dispatcher.set_waits([waits_of_encode()], 0);
    let mut request = call_of("r", "/staged/x");
    request.pieces = vec![1, 1, 0];
    let refusal = answered(&dispatcher.handle_request(1, request.clone(), 10));
    assert_eq!(refusal.code, ResultCode::PhaseOverloaded);
    assert!(refusal.retry_after_ms.is_some_and(|wait| wait >= 300));
    // Old wait estimates expire.
    assert_eq!(
        submitted(&dispatcher.handle_request(2, request, 5_000)).len(),
        1
    );
}

/// The chain is expected to end after 1,650 of 2,000 ms.
#[rstest]
#[case::a_small_share([1.0, 0.8, 1.0, 1.0], true, false)]
#[case::a_large_share([0.1, 0.9, 0.1, 0.1], true, true)]
#[case::without_admission([0.1; PRIORITY_LEVELS], false, true)]
fn admission_uses_the_share_of_the_requests_priority(
    #[case] admitted_shares: [f64; PRIORITY_LEVELS],
    #[case] chain_admission: bool,
    #[case] is_admitted: bool,
) {
    let mut dispatcher = dispatcher_with(Policy {
        admitted_shares,
        chain_admission,
        ..Policy::default()
    });
    dispatcher.set_waits([waits_of_encode()], 0);
    let mut request = call_of("r", "/staged/x");
    request.pieces = vec![1, 1, 0];
    let actions = dispatcher.handle_request(1, request, 10);
    assert_eq!(!submitted(&actions).is_empty(), is_admitted);
}

/// Admits a request at 10 ms whose first phase ends at `made_at`, and returns whether a later
/// one is admitted with the same wait estimates.
fn is_admitted_after(made_at: u64, policy: Policy) -> bool {
    let mut dispatcher = dispatcher_with(policy);
    let mut request = call_of("r", "/staged/x");
    request.pieces = vec![1, 1, 0];
    dispatcher.set_waits([waits_of_encode()], 10);
    let works = submitted(&dispatcher.handle_request(1, request.clone(), 10));
    dispatcher.phase_done(works[0].0, Ok(vec![handle("1")]), made_at);
    dispatcher.set_waits([waits_of_encode()], made_at);
    let actions = dispatcher.handle_request(2, request, made_at);
    !submitted(&actions).is_empty()
}

#[rstest]
#[case::as_forecast(1_210, true)]
#[case::longer_than_forecast(2_900, false)]
fn phases_that_exceed_their_forecast_tighten_admission(
    #[case] made_at: u64,
    #[case] is_admitted: bool,
) {
    assert_eq!(is_admitted_after(made_at, admitting(0.95)), is_admitted);
    let uncorrected = Policy {
        corrected_forecasts: false,
        ..admitting(0.95)
    };
    assert!(is_admitted_after(made_at, uncorrected));
}

/// Without this, a service that rejects all requests would never be corrected.
#[test]
fn forecast_errors_decay() {
    let mut dispatcher = dispatcher_with(admitting(0.95));
    let mut request = call_of("r", "/staged/x");
    request.pieces = vec![1, 1, 0];
    dispatcher.set_waits([waits_of_encode()], 10);
    let works = submitted(&dispatcher.handle_request(1, request.clone(), 10));
    dispatcher.phase_done(works[0].0, Ok(vec![handle("1")]), 2_900);
    dispatcher.set_waits([waits_of_encode()], 12_900);
    let actions = dispatcher.handle_request(2, request, 12_900);
    assert_eq!(submitted(&actions).len(), 1);
}

#[test]
fn a_request_that_expires_before_its_send_is_rejected_and_its_orders_cancelled() {
    let mut dispatcher = dispatcher();
    let mut request = call_of("r", "/staged/x");
    request.pieces = vec![1, 1, 0];
    dispatcher.handle_request(1, request, 0);
    assert!(dispatcher.expire(3_999).is_empty());
    let actions = dispatcher.expire(4_000);
    assert_eq!(answered(&actions).code, ResultCode::TimeOverBeforeSend);
    let is_cancel = |action: &Action| matches!(action, Action::Cancel { .. });
    assert!(actions.iter().any(is_cancel), "{actions:?}");
}

#[test]
fn a_disconnected_caller_frees_its_engine_and_its_orders() {
    let mut dispatcher = dispatcher();
    let plan = sent(&dispatcher.handle_request(1, call_of("r", "/gate/x"), 0)).clone();
    assert_eq!(
        dispatcher
            .instances
            .get(&plan.instance)
            .map(|instance| instance.in_flight),
        Some(1)
    );
    dispatcher.caller_disconnected(1, 5);
    assert_eq!(
        dispatcher
            .instances
            .get(&plan.instance)
            .map(|instance| instance.in_flight),
        Some(0)
    );
    // A later outcome of the send is ignored.
    assert!(dispatcher.send_ended(1, BROKEN, None, 6).is_empty());
}

#[test]
fn an_engine_that_loses_a_connection_is_ejected_for_a_while() {
    let mut dispatcher = dispatcher();
    let broken = sent(&dispatcher.handle_request(1, call_of("r", "/gate/x"), 0))
        .instance
        .clone();
    dispatcher.send_ended(1, BROKEN, None, 1);
    for number in 2..12 {
        let actions =
            dispatcher.handle_request(number, call_of(&format!("r{number}"), "/gate/x"), 2);
        assert_ne!(sent(&actions).instance, broken);
    }
}

fn announced(actions: &[Action]) -> Vec<WorkId> {
    let works = actions.iter().filter_map(|action| match action {
        Action::Announce { work, .. } => Some(*work),
        _ => None,
    });
    works.collect()
}

#[test]
fn later_phases_are_announced_and_submitted_under_the_same_number() {
    let mut dispatcher = dispatcher();
    let mut request = call_of("r", "/staged/x");
    request.pieces = vec![1, 2, 0];
    let actions = dispatcher.handle_request(1, request.clone(), 0);
    let announced_works = announced(&actions);
    assert_eq!(announced_works.len(), 1, "{actions:?}");
    let first = submitted(&actions)[0].0;
    let second = submitted(&dispatcher.phase_done(first, Ok(vec![handle("p0")]), 300));
    assert_eq!(second[0].0, announced_works[0]);
    // Announced orders of a disconnected caller are cancelled.
    let announced_works = announced(&dispatcher.handle_request(2, request, 400));
    let actions = dispatcher.caller_disconnected(2, 410);
    let cancellation = Action::Cancel {
        work: announced_works[0],
    };
    assert!(actions.contains(&cancellation), "{actions:?}");
}

#[test]
fn a_rejected_request_announces_nothing() {
    let mut dispatcher = dispatcher();
    let waits = ShardWaitEstimates {
        shard: Shard::whole_service("encode"),
        age_ms: 0,
        backlog_ms: [5_000; 4],
        call_ms: 300,
        queue_ms: 0,
    };
    dispatcher.set_waits([waits], 0);
    let mut request = call_of("r", "/staged/x");
    request.pieces = vec![1, 2, 0];
    assert!(announced(&dispatcher.handle_request(1, request, 10)).is_empty());
}

#[test]
fn slow_first_bytes_of_answers_tighten_admission_of_their_route() {
    let mut dispatcher = dispatcher_with(admitting(0.8));
    let mut request = call_of("r", "/staged/x");
    request.pieces = vec![0, 0, 0];
    for number in 0..40 {
        let now = number * 2_000;
        sent(&dispatcher.handle_request(number, request.clone(), now));
        dispatcher.head_received(number, None, now + 900);
        let whole = SendOutcome::Delivered {
            status: 200,
            end: AnswerEnd::Whole,
        };
        dispatcher.send_ended(number, whole, None, now + 950);
    }
    // Two calls of 400 ms fit into 80 % of 2 s before an answer that starts after 150 ms, but
    // not before one that starts after 900 ms.
    let waits = ShardWaitEstimates {
        shard: Shard::whole_service("encode"),
        age_ms: 0,
        backlog_ms: [0; 4],
        call_ms: 400,
        queue_ms: 0,
    };
    dispatcher.set_waits([waits.clone()], 90_000);
    request.pieces = vec![1, 1, 0];
    let refusal = answered(&dispatcher.handle_request(50, request.clone(), 90_000));
    assert_eq!(refusal.code, ResultCode::PhaseOverloaded);
    let mut fresh = common::dispatcher();
    fresh.set_waits([waits], 90_000);
    assert_eq!(
        submitted(&fresh.handle_request(50, request, 90_000)).len(),
        1
    );
}
