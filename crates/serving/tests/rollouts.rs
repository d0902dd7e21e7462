//! Tests of version choice and evidence during rollouts.

mod common;

use common::versions::{completed, directive, in_progress, of_version, rolled_back, rollout};
use common::{call, call_of, dispatcher, list_of};
use rstest::rstest;
use silversail_model::traffic::ColdSpec;
use silversail_model::{AnswerEnd, ResultCode};
use silversail_rollout::{Directive, Evidence, ResponseCounts, RolloutState, RouteEvidence};
use silversail_serving::dispatcher::{
    Action, Dispatcher, NotRunReason, Refusal, SendOutcome, SendPlan, UnknownReason,
};
use silversail_serving::ports::{PrefixPart, RelativeProcessingTime, ReportedLoad};
use std::collections::BTreeSet;

const GOOD: SendOutcome = SendOutcome::Delivered {
    status: 200,
    end: AnswerEnd::Whole,
};
const FULL: SendOutcome = SendOutcome::NotRun(NotRunReason::Full);
const UNREACHABLE: SendOutcome = SendOutcome::NotRun(NotRunReason::Unreachable);
const FAILED: SendOutcome = SendOutcome::Failed { status: 500 };
const BROKEN: SendOutcome = SendOutcome::Unknown(UnknownReason::Broken);

/// Load report of an idle engine.
const IDLE: ReportedLoad = ReportedLoad {
    running: 0,
    waiting: 0,
    slots: 64,
    processing_time: RelativeProcessingTime::NORMAL,
};

/// A dispatcher that may send to candidates, with services `pool` and `gate` in versions `v1` and
/// `v2`.
fn dispatcher_of_two_versions() -> Dispatcher {
    let mut dispatcher = dispatcher();
    dispatcher.instances.replace_list(&[
        of_version("e1", "pool", "v1"),
        of_version("e2", "pool", "v1"),
        of_version("e3", "pool", "v1"),
        of_version("e4", "pool", "v2"),
        of_version("e5", "pool", "v2"),
        of_version("g1", "gate", "v1"),
        of_version("g2", "gate", "v1"),
        of_version("g3", "gate", "v2"),
    ]);
    dispatcher.rollouts.set_permitted(true);
    dispatcher
}

/// A dispatcher with a rollout of `service` under the given directive.
fn with_rollout(service: &str, directive: Directive) -> Dispatcher {
    let mut dispatcher = dispatcher_of_two_versions();
    dispatcher.apply_rollouts(&[in_progress(service, directive)]);
    dispatcher
}

fn send_of(actions: &[Action]) -> Option<&SendPlan> {
    actions.iter().find_map(|action| match action {
        Action::Send { plan, .. } => Some(plan),
        _ => None,
    })
}

fn sent(actions: &[Action]) -> &SendPlan {
    send_of(actions).unwrap_or_else(|| panic!("a send in {actions:?}"))
}

fn refused(actions: &[Action]) -> Refusal {
    let refusal = actions.iter().find_map(|action| match action {
        Action::Answer { refusal, .. } => Some(*refusal),
        _ => None,
    });
    refusal.unwrap_or_else(|| panic!("a refusal in {actions:?}"))
}

/// Versions that `requests` for `path` are sent to, including retries; each send ends at once with
/// `outcome`.
fn versions_sent(
    dispatcher: &mut Dispatcher,
    path: &str,
    requests: std::ops::Range<u64>,
    outcome: impl Fn(&SendPlan) -> SendOutcome,
) -> Vec<String> {
    let mut versions = Vec::new();
    for number in requests {
        let now = number * 10;
        let id = format!("{path}-{number}");
        let mut actions = dispatcher.handle_request(number, call_of(&id, path), now);
        while let Some(plan) = send_of(&actions).cloned() {
            versions.push(plan.version.clone());
            actions = dispatcher.send_ended(number, outcome(&plan), None, now + 1);
        }
    }
    versions
}

fn count(versions: &[String], version: &str) -> usize {
    versions.iter().filter(|sent| *sent == version).count()
}

fn evidence_of(dispatcher: &Dispatcher) -> Evidence {
    let table = &dispatcher.instances;
    let evidence = dispatcher
        .rollouts
        .evidence(|service| table.in_flight_at_baseline(service));
    assert_eq!(evidence.len(), 1);
    evidence[0].clone()
}

/// Counted answers of a route: baseline and candidate.
fn answers(dispatcher: &Dispatcher, route: &str) -> (ResponseCounts, ResponseCounts) {
    let evidence = evidence_of(dispatcher);
    let RouteEvidence {
        baseline,
        candidate,
    } = evidence.routes.get(route).cloned().unwrap_or_default();
    (baseline, candidate)
}

/// Retries count towards the share.
#[rstest]
#[case::answers_good(|_: &SendPlan| GOOD)]
#[case::candidate_fails(|plan: &SendPlan| if plan.version == "v2" { FAILED } else { GOOD })]
#[case::baseline_fails(|plan: &SendPlan| if plan.version == "v1" { BROKEN } else { GOOD })]
fn a_candidate_gets_at_most_its_share_of_all_sends(
    #[case] outcome: impl Fn(&SendPlan) -> SendOutcome,
) {
    let mut dispatcher = with_rollout("gate", directive(1, 100, &[]));
    let versions = versions_sent(&mut dispatcher, "/lookup/x", 0..2_000, outcome);
    let to_candidate = count(&versions, "v2");
    let share = versions.len() as f64 * 0.1;
    assert!(
        to_candidate as f64 <= share + 1.0,
        "{to_candidate} of {share}"
    );
    assert!(
        to_candidate as f64 >= share * 0.7,
        "{to_candidate} of {share}"
    );
    let (baseline, candidate) = answers(&dispatcher, "lookup");
    assert_eq!(candidate.sent as usize, to_candidate);
    assert_eq!((baseline.sent + candidate.sent) as usize, versions.len());
}

#[test]
fn many_processes_together_keep_the_share_from_the_first_request() {
    let mut to_candidate = 0;
    for node in 0..300 {
        let mut dispatcher = with_rollout("gate", directive(1, 50, &[]));
        let requests = node * 4..node * 4 + 4;
        let versions = versions_sent(&mut dispatcher, "/lookup/x", requests, |_| GOOD);
        to_candidate += count(&versions, "v2");
    }
    // The expected number is 60 of 1,200.
    assert!((35..=85).contains(&to_candidate), "{to_candidate}");
}

#[test]
fn without_permission_a_candidate_gets_no_requests() {
    let mut dispatcher = with_rollout("gate", directive(1, 1_000, &["lookup"]));
    dispatcher.rollouts.set_permitted(false);
    let versions = versions_sent(&mut dispatcher, "/lookup/x", 0..50, |_| GOOD);
    assert_eq!(count(&versions, "v2"), 0);
    dispatcher.rollouts.set_permitted(true);
    let versions = versions_sent(&mut dispatcher, "/lookup/x", 50..100, |_| GOOD);
    assert_eq!(count(&versions, "v2"), 50);
}

#[test]
fn only_moved_routes_go_to_the_candidate() {
    let mut dispatcher = with_rollout("gate", directive(3, 0, &["lookup"]));
    let moved = versions_sent(&mut dispatcher, "/lookup/x", 0..20, |_| GOOD);
    let others = versions_sent(&mut dispatcher, "/gate/x", 20..40, |_| GOOD);
    assert_eq!((count(&moved, "v2"), count(&others, "v2")), (20, 0));
    assert_eq!(evidence_of(&dispatcher).step, 3);
}

/// Neither as a last resort nor for a retry.
#[rstest]
#[case::rolled_back(rolled_back(), "v1")]
#[case::completed(completed(&["v1"]), "v2")]
fn a_retired_version_gets_no_requests(#[case] end: RolloutState, #[case] serving: &str) {
    let mut dispatcher = with_rollout("gate", directive(1, 500, &[]));
    dispatcher.apply_rollouts(&[rollout(1, "gate", "v2", end)]);
    let outcomes = [GOOD, FULL, UNREACHABLE, BROKEN];
    for (round, outcome) in (0..).zip(outcomes) {
        let requests = round * 20..round * 20 + 20;
        let versions = versions_sent(&mut dispatcher, "/lookup/x", requests, |_| outcome);
        assert!(!versions.is_empty());
        assert_eq!(count(&versions, serving), versions.len(), "{outcome:?}");
    }
}

#[test]
fn a_request_is_rejected_at_once_if_all_back_ends_are_retired() {
    let mut dispatcher = dispatcher_of_two_versions();
    dispatcher.apply_rollouts(&[rollout(1, "gate", "v2", rolled_back())]);
    dispatcher
        .instances
        .replace_list(&[of_version("g3", "gate", "v2")]);
    let refusal = refused(&dispatcher.handle_request(1, call_of("r", "/gate/x"), 0));
    assert_eq!(refusal.code, ResultCode::NoBackend);
}

#[test]
fn a_new_rollout_makes_a_retired_version_a_candidate_again() {
    let mut dispatcher = dispatcher_of_two_versions();
    dispatcher.apply_rollouts(&[rollout(1, "gate", "v2", rolled_back())]);
    let again = RolloutState::InProgress(directive(1, 0, &["lookup"]));
    dispatcher.apply_rollouts(&[rollout(2, "gate", "v2", again)]);
    let versions = versions_sent(&mut dispatcher, "/lookup/x", 0..10, |_| GOOD);
    assert_eq!(count(&versions, "v2"), 10);
}

/// Its back ends may still be draining when the next rollout starts.
#[test]
fn a_retired_version_stays_retired_during_the_next_rollout() {
    let mut dispatcher = dispatcher_of_two_versions();
    dispatcher.apply_rollouts(&[rollout(1, "gate", "v2", rolled_back())]);
    let next = RolloutState::InProgress(directive(1, 0, &[]));
    dispatcher.apply_rollouts(&[rollout(2, "gate", "v3", next)]);
    let versions = versions_sent(&mut dispatcher, "/lookup/x", 0..40, |_| GOOD);
    assert_eq!(count(&versions, "v1"), 40);
}

/// The list arrives after the rollout order.
#[test]
fn newly_listed_back_ends_have_the_role_of_their_version() {
    let mut dispatcher = dispatcher();
    dispatcher.apply_rollouts(&[
        in_progress("gate", directive(1, 0, &[])),
        rollout(2, "pool", "v2", rolled_back()),
    ]);
    let listed = [
        of_version("g1", "gate", "v1"),
        of_version("g9", "gate", "v2"),
        of_version("e1", "pool", "v1"),
        of_version("e9", "pool", "v2"),
    ];
    dispatcher.instances.replace_list(&listed);
    let gates = versions_sent(&mut dispatcher, "/lookup/x", 0..40, |_| GOOD);
    let engines = versions_sent(&mut dispatcher, "/chat/x", 40..80, |_| GOOD);
    assert_eq!((count(&gates, "v2"), count(&engines, "v2")), (0, 0));
}

#[rstest]
#[case::failed(SendOutcome::Failed { status: 500 })]
#[case::broken(BROKEN)]
#[case::full(FULL)]
#[case::unreachable(UNREACHABLE)]
fn a_request_is_retried_at_the_baseline_after_a_candidate_failed(#[case] outcome: SendOutcome) {
    let mut dispatcher = with_rollout("pool", directive(1, 0, &["deep"]));
    let first = sent(&dispatcher.handle_request(1, call_of("r", "/chat/deep/x"), 0)).clone();
    assert_eq!(first.version, "v2");
    let again = dispatcher.send_ended(1, outcome, None, 5);
    // The untried candidate `e5` is not used.
    let next = send_of(&again).map(|plan| plan.version.as_str());
    assert_eq!(next, Some("v1"));
}

/// Requests of a moved route do not wait for a candidate.
#[rstest]
#[case::none_listed(false)]
#[case::all_failed(true)]
fn without_a_usable_candidate_the_baseline_serves_and_is_counted(#[case] are_listed: bool) {
    let mut dispatcher = with_rollout("gate", directive(1, 0, &["lookup"]));
    if are_listed {
        dispatcher.instances.record_failure("g3", 0, "test");
    } else {
        let listed = ["g1", "g2"].map(|id| of_version(id, "gate", "v1"));
        dispatcher.instances.replace_list(&listed);
    }
    let plan = sent(&dispatcher.handle_request(1, call_of("r", "/lookup/x"), 1)).clone();
    assert_eq!(plan.version, "v1");
    let (baseline, candidate) = answers(&dispatcher, "lookup");
    assert_eq!((baseline.sent, candidate.sent), (1, 0));
}

#[test]
fn a_cold_candidate_gets_requests_up_to_its_limit_and_the_baseline_the_rest() {
    let mut dispatcher = with_rollout("gate", directive(1, 0, &["lookup"]));
    let spec = ColdSpec {
        requests_per_second: 10.0,
    };
    let specs = [("gate".to_owned(), spec)];
    dispatcher.instances.set_cold_specs(specs.into());
    dispatcher.set_nodes("n0", vec!["n0".to_owned()]);
    let mut listed = vec![
        of_version("g1", "gate", "v1"),
        of_version("g3", "gate", "v2"),
    ];
    listed[1].cold = true;
    dispatcher.instances.replace_list(&listed);
    // 100 requests in a second.
    let versions = versions_sent(&mut dispatcher, "/lookup/x", 0..100, |_| GOOD);
    let to_candidate = count(&versions, "v2");
    assert!((1..=10).contains(&to_candidate), "{to_candidate}");
    assert_eq!(versions.len(), 100);
}

/// The rollout may have completed on the other side of a partition.
#[test]
fn a_node_without_permission_uses_the_candidate_if_no_baseline_is_listed() {
    let mut dispatcher = with_rollout("gate", directive(1, 0, &[]));
    let mut listed = ["g1", "g2"].map(|id| of_version(id, "gate", "v1")).to_vec();
    listed.iter_mut().for_each(|listed| listed.draining = true);
    listed.push(of_version("g3", "gate", "v2"));
    dispatcher.instances.replace_list(&listed);
    let refusal = refused(&dispatcher.handle_request(1, call_of("r1", "/gate/x"), 0));
    assert_eq!(refusal.code, ResultCode::NoBackend, "with permission");
    dispatcher.rollouts.set_permitted(false);
    let plan = sent(&dispatcher.handle_request(2, call_of("r2", "/gate/x"), 0)).clone();
    assert_eq!(plan.version, "v2");
}

#[test]
fn a_node_without_permission_uses_the_candidate_if_the_baseline_is_unreachable() {
    let mut dispatcher = with_rollout("pool", directive(1, 0, &[]));
    dispatcher.rollouts.set_permitted(false);
    let mut actions = dispatcher.handle_request(1, call("r"), 0);
    let mut versions = Vec::new();
    while let Some(plan) = send_of(&actions).cloned() {
        versions.push(plan.version.clone());
        let outcome = if plan.version == "v2" {
            GOOD
        } else {
            UNREACHABLE
        };
        actions = dispatcher.send_ended(1, outcome, None, 1);
    }
    assert_eq!(versions, ["v1", "v1", "v2"]);
}

/// Overload and unreachable back ends are no evidence on a version.
#[rstest]
#[case::good(GOOD, 1, 0)]
#[case::refused_by_the_application(SendOutcome::Delivered { status: 404, end: AnswerEnd::Whole }, 1, 0)]
#[case::error_passed_on(SendOutcome::Delivered { status: 500, end: AnswerEnd::Whole }, 0, 1)]
#[case::broken_midway(SendOutcome::Delivered { status: 200, end: AnswerEnd::ConnectionLost }, 0, 1)]
#[case::error(SendOutcome::Failed { status: 502 }, 0, 1)]
#[case::broken(BROKEN, 0, 1)]
#[case::garbled(SendOutcome::Unknown(UnknownReason::Garbled), 0, 1)]
#[case::none_in_time(SendOutcome::Unknown(UnknownReason::Deadline), 0, 1)]
#[case::full(FULL, 0, 0)]
#[case::refused(SendOutcome::NotRun(NotRunReason::Refused), 0, 0)]
#[case::unreachable(UNREACHABLE, 0, 0)]
fn an_answer_is_counted_by_its_outcome(
    #[case] outcome: SendOutcome,
    #[case] good: u64,
    #[case] bad: u64,
) {
    for (moved, is_candidate) in [(&["gate"][..], true), (&[][..], false)] {
        let mut dispatcher = with_rollout("gate", directive(1, 0, moved));
        sent(&dispatcher.handle_request(1, call_of("r", "/gate/x"), 100));
        dispatcher.send_ended(1, outcome, None, 130);
        let (baseline, candidate) = answers(&dispatcher, "gate");
        let counts = if is_candidate { candidate } else { baseline };
        assert_eq!((counts.succeeded, counts.failed), (good, bad));
        assert_eq!(
            (
                counts.time_to_first_byte.count(),
                counts.response_time.count()
            ),
            (good, good)
        );
    }
}

#[test]
fn latencies_are_measured_from_the_send_to_the_first_byte_and_to_the_end() {
    let mut dispatcher = with_rollout("pool", directive(1, 0, &["chat"]));
    sent(&dispatcher.handle_request(1, call("r"), 1_000));
    dispatcher.head_received(1, None, 1_100);
    dispatcher.send_ended(1, GOOD, None, 2_600);
    let (_, candidate) = answers(&dispatcher, "chat");
    let within_a_bucket = |measured: Option<f64>, ms: f64| {
        measured.is_some_and(|measured| (ms * 0.8..=ms * 1.25).contains(&measured))
    };
    assert!(within_a_bucket(
        candidate.time_to_first_byte.quantile_ms(0.5),
        100.0
    ));
    assert!(within_a_bucket(
        candidate.response_time.quantile_ms(0.5),
        1_600.0
    ));
}

#[test]
fn an_answer_counts_only_for_the_rollout_of_its_send() {
    let mut dispatcher = with_rollout("gate", directive(1, 0, &["gate"]));
    sent(&dispatcher.handle_request(1, call_of("r", "/gate/x"), 0));
    let next = RolloutState::InProgress(directive(1, 0, &[]));
    dispatcher.apply_rollouts(&[rollout(2, "gate", "v2", next)]);
    dispatcher.send_ended(1, SendOutcome::Failed { status: 500 }, None, 10);
    let evidence = evidence_of(&dispatcher);
    assert_eq!((evidence.rollout, evidence.candidate_completed()), (2, 0));
}

/// Includes requests that were sent before the rollout was known.
#[test]
fn all_requests_at_the_baseline_count_as_in_flight() {
    let mut dispatcher = dispatcher_of_two_versions();
    dispatcher.instances.replace_list(&[
        of_version("g1", "gate", "v1"),
        of_version("g2", "gate", "v1"),
    ]);
    sent(&dispatcher.handle_request(1, call_of("r1", "/gate/x"), 0));
    dispatcher.apply_rollouts(&[in_progress("gate", directive(1, 0, &[]))]);
    sent(&dispatcher.handle_request(2, call_of("r2", "/gate/x"), 0));
    assert_eq!(evidence_of(&dispatcher).baseline_in_flight, 2);
    dispatcher.send_ended(1, GOOD, None, 10);
    dispatcher.caller_disconnected(2, 10);
    assert_eq!(evidence_of(&dispatcher).baseline_in_flight, 0);
}

#[test]
fn prompts_with_a_shared_prefix_stay_at_one_engine_of_the_version() {
    let mut dispatcher = with_rollout("pool", directive(1, 0, &["chat"]));
    let part = |id| PrefixPart { id, tokens: 100 };
    for session in 0..20 {
        let mut engines = BTreeSet::new();
        for turn in 0..5 {
            let number = session * 5 + turn;
            let mut request = call(&format!("r{number}"));
            request.prefix = vec![part(session), part(1_000 + number)];
            let plan = sent(&dispatcher.handle_request(number, request, 0)).clone();
            assert_eq!(plan.version, "v2");
            engines.insert(plan.instance.clone());
            dispatcher.send_ended(number, GOOD, Some(IDLE), 1);
        }
        assert_eq!(engines.len(), 1, "session {session}");
    }
}

/// Back ends of a new version may be listed before the rollout order arrives.
#[test]
fn a_new_version_without_a_rollout_order_is_temporarily_held_back() {
    let mut dispatcher = dispatcher();
    let both = [
        of_version("g1", "gate", "v1"),
        of_version("g3", "gate", "v2"),
    ];
    dispatcher.apply_backend_list(&list_of(&both[..1]), 0);
    dispatcher.apply_backend_list(&list_of(&both), 1_000);
    let to_new = |dispatcher: &mut Dispatcher, first: u64, now: u64| {
        let mut count = 0;
        for number in first..first + 40 {
            let id = format!("r{number}");
            let plan =
                sent(&dispatcher.handle_request(number, call_of(&id, "/lookup/x"), now)).clone();
            dispatcher.send_ended(number, GOOD, None, now);
            count += usize::from(plan.version == "v2");
        }
        count
    };
    assert_eq!(to_new(&mut dispatcher, 0, 1_000), 0);
    assert_eq!(to_new(&mut dispatcher, 100, 5_999), 0);
    assert!(to_new(&mut dispatcher, 200, 6_000) > 0);
}

#[test]
fn a_new_version_is_used_at_once_if_it_is_the_only_one_or_has_a_rollout_order() {
    let both = [
        of_version("g1", "gate", "v1"),
        of_version("g3", "gate", "v2"),
    ];
    let mut replaced = dispatcher();
    replaced.apply_backend_list(&list_of(&both[..1]), 0);
    replaced.apply_backend_list(&list_of(&both), 1_000);
    replaced.apply_backend_list(&list_of(&both[1..]), 1_500);
    let plan = sent(&replaced.handle_request(1, call_of("r", "/gate/x"), 1_500)).clone();
    assert_eq!(plan.version, "v2");

    let mut ordered = dispatcher();
    ordered.rollouts.set_permitted(true);
    ordered.apply_backend_list(&list_of(&both[..1]), 0);
    ordered.apply_backend_list(&list_of(&both), 1_000);
    ordered.apply_rollouts(&[in_progress("gate", directive(1, 0, &["gate"]))]);
    let plan = sent(&ordered.handle_request(1, call_of("r", "/gate/x"), 1_100)).clone();
    assert_eq!(plan.version, "v2");
}

/// A process that has just started cannot tell which version is new.
#[test]
fn all_versions_of_the_first_list_are_used() {
    let mut dispatcher = dispatcher_of_two_versions();
    let listed = [
        of_version("g1", "gate", "v1"),
        of_version("g3", "gate", "v2"),
    ];
    dispatcher.apply_backend_list(&list_of(&listed), 0);
    let versions = versions_sent(&mut dispatcher, "/lookup/x", 0..40, |_| GOOD);
    assert!(count(&versions, "v1") > 0 && count(&versions, "v2") > 0);
}
