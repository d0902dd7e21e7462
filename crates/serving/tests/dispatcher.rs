//! One request from its arrival to its answer.

mod common;

use common::{call, call_of, dispatcher, dispatcher_with, in_zone, instances, LIMITS};
use rstest::rstest;
use silversail_decisions::DecisionLog;
use silversail_model::{ResultCode, Shard};
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

/// A policy that admits on this share of an objective, whatever the rank.
fn admitting(share: f64) -> Policy {
    Policy {
        admitted_shares: [share; PRIORITY_LEVELS],
        ..Policy::default()
    }
}

/// Waits by which a chain of two phases ends after 1,650 of 2,000 ms.
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
fn without_a_configuration_a_request_is_told_to_come_back() {
    let mut dispatcher = Dispatcher::new(
        in_zone("a"),
        LIMITS,
        Policy::default(),
        1,
        DecisionLog::disabled(),
    );
    let refusal = answered(&dispatcher.arrive(1, call("r"), 0));
    assert_eq!(refusal.code, ResultCode::NoTrafficConfiguration);
    assert_eq!(refusal.code.http_status(), 503);
    assert!(refusal.retry_after_ms.is_some());
}

#[test]
fn a_route_without_back_ends_refuses_at_once() {
    let mut dispatcher = dispatcher();
    dispatcher.instances.replace(&[]);
    let refusal = answered(&dispatcher.arrive(1, call("r"), 0));
    assert_eq!(refusal.code, ResultCode::NoBackend);
    assert_eq!(dispatcher.open_requests(), 0);
}

/// A request that may not be repeated is sent again only when the engine is known
/// not to have run it; else the answer makes no promise.
#[rstest]
#[case(FULL, true, None)]
#[case(UNREACHABLE, true, None)]
#[case(SendOutcome::NotRun(NotRunReason::Misplaced), true, None)]
#[case(BROKEN, false, Some(502))]
#[case(SendOutcome::Unknown(UnknownReason::Garbled), false, Some(502))]
#[case(SendOutcome::Unknown(UnknownReason::Deadline), false, Some(504))]
fn a_request_that_may_not_be_repeated_runs_at_most_once(
    #[case] outcome: SendOutcome,
    #[case] is_sent_again: bool,
    #[case] status: Option<u16>,
) {
    let mut dispatcher = dispatcher();
    let first = sent(&dispatcher.arrive(1, call_of("r", "/gate/x"), 0)).clone();
    let actions = dispatcher.send_ended(1, outcome, None, 10);
    if is_sent_again {
        assert_ne!(sent(&actions).instance, first.instance);
    } else {
        let refusal = answered(&actions);
        assert_eq!(Some(refusal.code.http_status()), status);
        assert_eq!(refusal.retry_after_ms, None);
        assert_eq!(dispatcher.open_requests(), 0);
    }
}

#[test]
fn a_repeatable_request_is_sent_again_as_often_as_its_route_allows() {
    let mut dispatcher = dispatcher();
    let first = sent(&dispatcher.arrive(1, call_of("r", "/lookup/x"), 0)).clone();
    assert!(first.may_repeat);
    let again = dispatcher.send_ended(1, SendOutcome::Failed { status: 500 }, None, 10);
    let second = sent(&again).clone();
    assert_ne!(second.instance, first.instance);
    // The last attempt's failure goes to the caller as the engine gave it.
    assert!(!second.may_repeat);
    let refusal = answered(&dispatcher.send_ended(1, BROKEN, None, 20));
    assert_eq!(refusal.code, ResultCode::BackendFailed);
}

#[test]
fn when_all_engines_refuse_the_caller_hears_that_nothing_ran() {
    let mut dispatcher = dispatcher();
    dispatcher.arrive(1, call_of("r", "/gate/x"), 0);
    sent(&dispatcher.send_ended(1, FULL, None, 5));
    let refusal = answered(&dispatcher.send_ended(1, FULL, None, 10));
    assert_eq!(refusal.code.http_status(), 503);
    assert!(refusal.retry_after_ms.is_some());
}

#[test]
fn second_sends_stay_within_the_budget() {
    let mut dispatcher = dispatcher();
    let nodes = (0..10).map(|node| format!("n{node}"));
    dispatcher.set_nodes("n0", nodes.collect());
    let mut repeats = 0;
    for number in 0..200 {
        dispatcher.arrive(number, call_of(&format!("r{number}"), "/lookup/x"), 0);
        let failed = SendOutcome::Failed { status: 500 };
        let actions = dispatcher.send_ended(number, failed, None, 1);
        let is_sent = actions
            .iter()
            .any(|action| matches!(action, Action::Send { .. }));
        repeats += usize::from(is_sent);
    }
    // Of 200 requests a fifth, and a tenth of the allowance of 60.
    assert!((20..=46).contains(&repeats), "{repeats} repeats");
}

#[test]
fn a_leaving_back_end_gets_nothing() {
    let mut dispatcher = dispatcher();
    let mut listed = instances();
    listed
        .iter_mut()
        .for_each(|one| one.draining = one.id == "g1");
    dispatcher.instances.replace(&listed);
    for number in 0..20 {
        let actions = dispatcher.arrive(number, call_of(&format!("r{number}"), "/gate/x"), 0);
        assert_eq!(sent(&actions).instance, "g2");
    }
}

#[test]
fn phases_run_in_order_and_one_off_the_chain_starts_when_it_is_due() {
    let mut dispatcher = dispatcher();
    let mut request = call_of("r", "/staged/x");
    request.pieces = vec![1, 2, 1];
    request.piece_key = "k".into();
    let first = submitted(&dispatcher.arrive(1, request, 0));
    // Phase 2 holds much room and is as long as the last of the chain.
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
    // The first phase's result is used up.
    assert!(actions.contains(&Action::Release {
        service: "encode".into(),
        handles: vec![handle("p0")],
    }));
    let actions = dispatcher.phase_done(next[1].0, Ok(vec![handle("q")]), 700);
    // The engine gets the results of the phases that no other follows.
    let mut inputs = two;
    inputs.push(handle("q"));
    assert_eq!(sent(&actions).attributes.inputs, inputs);
    let freed = dispatcher.head_received(1, None, 900);
    assert_eq!(freed.len(), 2, "{freed:?}");
}

#[test]
fn a_phase_left_out_is_not_waited_for() {
    let mut dispatcher = dispatcher();
    let mut request = call_of("r", "/staged/x");
    request.pieces = vec![0, 0, 0];
    sent(&dispatcher.arrive(1, request, 0));
}

#[test]
fn inputs_are_freed_once_read_and_not_twice() {
    let mut dispatcher = dispatcher();
    let mut request = call_of("r", "/staged/x");
    request.pieces = vec![1, 1, 0];
    let first = submitted(&dispatcher.arrive(1, request, 0));
    let second = submitted(&dispatcher.phase_done(first[0].0, Ok(vec![handle("p0")]), 300));
    let freed = dispatcher.inputs_read(second[0].0);
    assert_eq!(freed.len(), 1, "{freed:?}");
    let actions = dispatcher.phase_done(second[0].0, Ok(vec![handle("p1")]), 600);
    let is_release = |action: &&Action| matches!(action, Action::Release { .. });
    assert_eq!(actions.iter().filter(is_release).count(), 0, "{actions:?}");
}

#[test]
fn a_lost_result_lets_the_phases_run_once_more_and_no_more() {
    let mut dispatcher = dispatcher();
    let mut request = call_of("r", "/staged/x");
    request.pieces = vec![1, 0, 0];
    let first = submitted(&dispatcher.arrive(1, request, 0));
    let again = submitted(&dispatcher.phase_done(first[0].0, Err(PieceFailure::InputGone), 50));
    assert_eq!(again.len(), 1);
    let refusal = answered(&dispatcher.phase_done(again[0].0, Err(PieceFailure::InputGone), 90));
    assert_eq!(refusal.code, ResultCode::PhaseFailed);
    assert!(refusal.retry_after_ms.is_some());
}

#[test]
fn a_chain_that_cannot_keep_the_objective_is_refused_at_entry() {
    let mut dispatcher = dispatcher_with(admitting(0.8));
    dispatcher.set_waits([waits_of_encode()], 0);
    let mut request = call_of("r", "/staged/x");
    request.pieces = vec![1, 1, 0];
    let refusal = answered(&dispatcher.arrive(1, request.clone(), 10));
    assert_eq!(refusal.code, ResultCode::PhaseOverloaded);
    assert!(refusal.retry_after_ms.is_some_and(|wait| wait >= 300));
    // What was told lately is forgotten later.
    assert_eq!(submitted(&dispatcher.arrive(2, request, 5_000)).len(), 1);
}

/// The chain is expected to end after 1,650 of 2,000 ms.
#[rstest]
#[case::a_small_share([1.0, 0.8, 1.0, 1.0], true, false)]
#[case::a_large_share([0.1, 0.9, 0.1, 0.1], true, true)]
#[case::without_admission([0.1; PRIORITY_LEVELS], false, true)]
fn the_share_of_the_requests_rank_decides(
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
    let actions = dispatcher.arrive(1, request, 10);
    assert_eq!(!submitted(&actions).is_empty(), is_admitted);
}

/// Admits a request at 10 ms, whose first phase takes until `made_at`, and tells whether
/// the next one, a little later, is admitted by the same waits.
fn is_admitted_after(made_at: u64, policy: Policy) -> bool {
    let mut dispatcher = dispatcher_with(policy);
    let mut request = call_of("r", "/staged/x");
    request.pieces = vec![1, 1, 0];
    dispatcher.set_waits([waits_of_encode()], 10);
    let works = submitted(&dispatcher.arrive(1, request.clone(), 10));
    dispatcher.phase_done(works[0].0, Ok(vec![handle("1")]), made_at);
    dispatcher.set_waits([waits_of_encode()], made_at);
    let actions = dispatcher.arrive(2, request, made_at);
    !submitted(&actions).is_empty()
}

#[rstest]
#[case::as_forecast(1_210, true)]
#[case::longer_than_forecast(2_900, false)]
fn phases_that_take_longer_than_forecast_make_their_service_admit_less(
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

/// Where all are refused nothing would correct the error.
#[test]
fn what_is_known_of_a_forecasts_error_is_forgotten() {
    let mut dispatcher = dispatcher_with(admitting(0.95));
    let mut request = call_of("r", "/staged/x");
    request.pieces = vec![1, 1, 0];
    dispatcher.set_waits([waits_of_encode()], 10);
    let works = submitted(&dispatcher.arrive(1, request.clone(), 10));
    dispatcher.phase_done(works[0].0, Ok(vec![handle("1")]), 2_900);
    dispatcher.set_waits([waits_of_encode()], 12_900);
    let actions = dispatcher.arrive(2, request, 12_900);
    assert_eq!(submitted(&actions).len(), 1);
}

#[test]
fn a_request_that_was_not_sent_in_time_is_refused_and_its_work_dropped() {
    let mut dispatcher = dispatcher();
    let mut request = call_of("r", "/staged/x");
    request.pieces = vec![1, 1, 0];
    dispatcher.arrive(1, request, 0);
    assert!(dispatcher.expire(3_999).is_empty());
    let actions = dispatcher.expire(4_000);
    assert_eq!(answered(&actions).code, ResultCode::TimeOverBeforeSend);
    let is_cancel = |action: &Action| matches!(action, Action::Cancel { .. });
    assert!(actions.iter().any(is_cancel), "{actions:?}");
}

#[test]
fn a_caller_that_leaves_frees_its_engine_and_its_work() {
    let mut dispatcher = dispatcher();
    let plan = sent(&dispatcher.arrive(1, call_of("r", "/gate/x"), 0)).clone();
    assert_eq!(
        dispatcher
            .instances
            .get(&plan.instance)
            .map(|one| one.in_flight),
        Some(1)
    );
    dispatcher.caller_gone(1, 5);
    assert_eq!(
        dispatcher
            .instances
            .get(&plan.instance)
            .map(|one| one.in_flight),
        Some(0)
    );
    // What the task tells later changes nothing.
    assert!(dispatcher.send_ended(1, BROKEN, None, 6).is_empty());
}

#[test]
fn an_engine_that_breaks_off_is_passed_over_for_a_while() {
    let mut dispatcher = dispatcher();
    let broken = sent(&dispatcher.arrive(1, call_of("r", "/gate/x"), 0))
        .instance
        .clone();
    dispatcher.send_ended(1, BROKEN, None, 1);
    for number in 2..12 {
        let actions = dispatcher.arrive(number, call_of(&format!("r{number}"), "/gate/x"), 2);
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
    let actions = dispatcher.arrive(1, request.clone(), 0);
    let told = announced(&actions);
    assert_eq!(told.len(), 1, "{actions:?}");
    let first = submitted(&actions)[0].0;
    let second = submitted(&dispatcher.phase_done(first, Ok(vec![handle("p0")]), 300));
    assert_eq!(second[0].0, told[0]);
    // A caller that leaves takes back what was announced for it.
    let told = announced(&dispatcher.arrive(2, request, 400));
    let actions = dispatcher.caller_gone(2, 410);
    let taken_back = Action::Cancel { work: told[0] };
    assert!(actions.contains(&taken_back), "{actions:?}");
}

#[test]
fn a_request_that_is_refused_announces_nothing() {
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
    assert!(announced(&dispatcher.arrive(1, request, 10)).is_empty());
}

#[test]
fn answers_that_begin_late_make_their_route_admit_less() {
    let mut dispatcher = dispatcher_with(admitting(0.8));
    let mut request = call_of("r", "/staged/x");
    request.pieces = vec![0, 0, 0];
    for number in 0..40 {
        let now = number * 2_000;
        sent(&dispatcher.arrive(number, request.clone(), now));
        dispatcher.head_received(number, None, now + 900);
        let whole = SendOutcome::Delivered {
            status: 200,
            is_whole: true,
        };
        dispatcher.send_ended(number, whole, None, now + 950);
    }
    // Two calls of 400 ms fit into 80 in 100 of 2 s before an answer that begins after
    // 150 ms, and not before one that begins after 900.
    let waits = ShardWaitEstimates {
        shard: Shard::whole_service("encode"),
        age_ms: 0,
        backlog_ms: [0; 4],
        call_ms: 400,
        queue_ms: 0,
    };
    dispatcher.set_waits([waits.clone()], 90_000);
    request.pieces = vec![1, 1, 0];
    let refusal = answered(&dispatcher.arrive(50, request.clone(), 90_000));
    assert_eq!(refusal.code, ResultCode::PhaseOverloaded);
    let mut fresh = common::dispatcher();
    fresh.set_waits([waits], 90_000);
    assert_eq!(submitted(&fresh.arrive(50, request, 90_000)).len(), 1);
}
