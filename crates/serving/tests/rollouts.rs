//! Requests while a service's traffic moves from one version to another.

mod common;

use common::versions::{completed, directive, in_progress, of_version, rolled_back, rollout};
use common::{call, call_of, dispatcher, list_of};
use rstest::rstest;
use silversail_model::traffic::ColdSpec;
use silversail_model::ResultCode;
use silversail_rollout::{Directive, Evidence, ResponseCounts, RolloutState, RouteEvidence};
use silversail_serving::dispatcher::{
    Action, Dispatcher, NotRunReason, Refusal, SendOutcome, SendPlan, UnknownReason,
};
use silversail_serving::ports::{Pace, PrefixPart, ReportedLoad};
use std::collections::BTreeSet;

const GOOD: SendOutcome = SendOutcome::Delivered {
    status: 200,
    is_whole: true,
};
const FULL: SendOutcome = SendOutcome::NotRun(NotRunReason::Full);
const UNREACHABLE: SendOutcome = SendOutcome::NotRun(NotRunReason::Unreachable);
const FAILED: SendOutcome = SendOutcome::Failed { status: 500 };
const BROKEN: SendOutcome = SendOutcome::Unknown(UnknownReason::Broken);

/// Load of an engine that has nothing to do.
const IDLE: ReportedLoad = ReportedLoad {
    running: 0,
    waiting: 0,
    slots: 64,
    pace: Pace::USUAL,
};

/// A dispatcher with three engines of `v1` and two of `v2`, and gates alike, that may send to
/// candidates.
fn dispatcher_of_two_versions() -> Dispatcher {
    let mut dispatcher = dispatcher();
    dispatcher.instances.replace(&[
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

/// A dispatcher whose rollout of `service` has this directive.
fn obeying(service: &str, directive: Directive) -> Dispatcher {
    let mut dispatcher = dispatcher_of_two_versions();
    dispatcher.take_rollouts(&[in_progress(service, directive)]);
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

/// Versions that so many requests for `path` were sent to, each answered at once by `outcome`
/// until it ends.
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
        let mut actions = dispatcher.arrive(number, call_of(&id, path), now);
        while let Some(plan) = send_of(&actions).cloned() {
            versions.push(plan.version.clone());
            actions = dispatcher.send_ended(number, outcome(&plan), None, now + 1);
        }
    }
    versions
}

fn count(versions: &[String], version: &str) -> usize {
    versions.iter().filter(|one| *one == version).count()
}

fn evidence_of(dispatcher: &Dispatcher) -> Evidence {
    let table = &dispatcher.instances;
    let told = dispatcher
        .rollouts
        .evidence(|service| table.in_flight_at_baseline(service));
    assert_eq!(told.len(), 1);
    told[0].clone()
}

/// Answers by route, baseline and candidate.
fn answers(dispatcher: &Dispatcher, route: &str) -> (ResponseCounts, ResponseCounts) {
    let evidence = evidence_of(dispatcher);
    let RouteEvidence {
        baseline,
        candidate,
    } = evidence.routes.get(route).cloned().unwrap_or_default();
    (baseline, candidate)
}

/// Without the bound two of five engines would get two fifths. What is sent again counts too.
#[rstest]
#[case::answers_good(|_: &SendPlan| GOOD)]
#[case::candidate_fails(|plan: &SendPlan| if plan.version == "v2" { FAILED } else { GOOD })]
#[case::baseline_fails(|plan: &SendPlan| if plan.version == "v1" { BROKEN } else { GOOD })]
fn a_candidate_gets_its_share_of_all_sends_and_no_more(
    #[case] outcome: impl Fn(&SendPlan) -> SendOutcome,
) {
    let mut dispatcher = obeying("gate", directive(1, 100, &[]));
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
fn many_processes_together_keep_the_share_from_their_first_request_on() {
    let mut to_candidate = 0;
    for node in 0..300 {
        let mut dispatcher = obeying("gate", directive(1, 50, &[]));
        let requests = node * 4..node * 4 + 4;
        let versions = versions_sent(&mut dispatcher, "/lookup/x", requests, |_| GOOD);
        to_candidate += count(&versions, "v2");
    }
    // 60 of 1,200 are expected; half of the square root of 300 is 9.
    assert!((35..=85).contains(&to_candidate), "{to_candidate}");
}

#[test]
fn without_a_permit_nothing_goes_to_a_candidate() {
    let mut dispatcher = obeying("gate", directive(1, 1_000, &["lookup"]));
    dispatcher.rollouts.set_permitted(false);
    let versions = versions_sent(&mut dispatcher, "/lookup/x", 0..50, |_| GOOD);
    assert_eq!(count(&versions, "v2"), 0);
    dispatcher.rollouts.set_permitted(true);
    let versions = versions_sent(&mut dispatcher, "/lookup/x", 50..100, |_| GOOD);
    assert_eq!(count(&versions, "v2"), 50);
}

#[test]
fn only_the_routes_that_moved_go_to_the_candidate() {
    let mut dispatcher = obeying("gate", directive(3, 0, &["lookup"]));
    let moved = versions_sent(&mut dispatcher, "/lookup/x", 0..20, |_| GOOD);
    let others = versions_sent(&mut dispatcher, "/gate/x", 20..40, |_| GOOD);
    assert_eq!((count(&moved, "v2"), count(&others, "v2")), (20, 0));
    assert_eq!(evidence_of(&dispatcher).step, 3);
}

/// Also where all others failed or were tried: no last resort, no send again.
#[rstest]
#[case::rolled_back(rolled_back(), "v1")]
#[case::completed(completed(&["v1"]), "v2")]
fn a_retired_version_gets_nothing(#[case] end: RolloutState, #[case] serving: &str) {
    let mut dispatcher = obeying("gate", directive(1, 500, &[]));
    dispatcher.take_rollouts(&[rollout(1, "gate", "v2", end)]);
    let outcomes = [GOOD, FULL, UNREACHABLE, BROKEN];
    for (round, outcome) in (0..).zip(outcomes) {
        let requests = round * 20..round * 20 + 20;
        let versions = versions_sent(&mut dispatcher, "/lookup/x", requests, |_| outcome);
        assert!(!versions.is_empty());
        assert_eq!(count(&versions, serving), versions.len(), "{outcome:?}");
    }
}

#[test]
fn with_retired_back_ends_only_a_request_is_refused_at_once() {
    let mut dispatcher = dispatcher_of_two_versions();
    dispatcher.take_rollouts(&[rollout(1, "gate", "v2", rolled_back())]);
    dispatcher
        .instances
        .replace(&[of_version("g3", "gate", "v2")]);
    let refusal = refused(&dispatcher.arrive(1, call_of("r", "/gate/x"), 0));
    assert_eq!(refusal.code, ResultCode::NoBackend);
}

#[test]
fn a_retired_version_is_a_candidate_again_once_it_is_ordered() {
    let mut dispatcher = dispatcher_of_two_versions();
    dispatcher.take_rollouts(&[rollout(1, "gate", "v2", rolled_back())]);
    let again = RolloutState::InProgress(directive(1, 0, &["lookup"]));
    dispatcher.take_rollouts(&[rollout(2, "gate", "v2", again)]);
    let versions = versions_sent(&mut dispatcher, "/lookup/x", 0..10, |_| GOOD);
    assert_eq!(count(&versions, "v2"), 10);
}

/// Its back ends are still leaving while the next version comes.
#[test]
fn what_one_rollout_retired_stays_so_under_the_next() {
    let mut dispatcher = dispatcher_of_two_versions();
    dispatcher.take_rollouts(&[rollout(1, "gate", "v2", rolled_back())]);
    let next = RolloutState::InProgress(directive(1, 0, &[]));
    dispatcher.take_rollouts(&[rollout(2, "gate", "v3", next)]);
    let versions = versions_sent(&mut dispatcher, "/lookup/x", 0..40, |_| GOOD);
    assert_eq!(count(&versions, "v1"), 40);
}

/// A list that comes after the order names back ends that this node did not know.
#[test]
fn back_ends_that_appear_have_the_part_of_their_version() {
    let mut dispatcher = dispatcher();
    dispatcher.take_rollouts(&[
        in_progress("gate", directive(1, 0, &[])),
        rollout(2, "pool", "v2", rolled_back()),
    ]);
    let listed = [
        of_version("g1", "gate", "v1"),
        of_version("g9", "gate", "v2"),
        of_version("e1", "pool", "v1"),
        of_version("e9", "pool", "v2"),
    ];
    dispatcher.instances.replace(&listed);
    let gates = versions_sent(&mut dispatcher, "/lookup/x", 0..40, |_| GOOD);
    let engines = versions_sent(&mut dispatcher, "/chat/x", 40..80, |_| GOOD);
    assert_eq!((count(&gates, "v2"), count(&engines, "v2")), (0, 0));
}

#[rstest]
#[case::failed(SendOutcome::Failed { status: 500 })]
#[case::broken(BROKEN)]
#[case::full(FULL)]
#[case::unreachable(UNREACHABLE)]
fn after_a_candidate_failed_a_request_goes_to_the_baseline(#[case] outcome: SendOutcome) {
    let mut dispatcher = obeying("pool", directive(1, 0, &["deep"]));
    let first = sent(&dispatcher.arrive(1, call_of("r", "/chat/deep/x"), 0)).clone();
    assert_eq!(first.version, "v2");
    let again = dispatcher.send_ended(1, outcome, None, 5);
    // `e5` is a candidate that was not tried.
    let next = send_of(&again).map(|plan| plan.version.as_str());
    assert_eq!(next, Some("v1"));
}

/// A moved route's requests wait for no candidate: none is there yet, or all are passed over.
#[rstest]
#[case::none_listed(false)]
#[case::all_failed(true)]
fn where_no_candidate_can_be_used_the_baseline_serves_and_counts(#[case] are_listed: bool) {
    let mut dispatcher = obeying("gate", directive(1, 0, &["lookup"]));
    if are_listed {
        dispatcher.instances.failed("g3", 0, "test");
    } else {
        let listed = ["g1", "g2"].map(|id| of_version(id, "gate", "v1"));
        dispatcher.instances.replace(&listed);
    }
    let plan = sent(&dispatcher.arrive(1, call_of("r", "/lookup/x"), 1)).clone();
    assert_eq!(plan.version, "v1");
    let (baseline, candidate) = answers(&dispatcher, "lookup");
    assert_eq!((baseline.sent, candidate.sent), (1, 0));
}

#[test]
fn a_cold_candidate_gets_what_it_bears_and_the_baseline_the_rest() {
    let mut dispatcher = obeying("gate", directive(1, 0, &["lookup"]));
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
    dispatcher.instances.replace(&listed);
    // 100 requests in a second.
    let versions = versions_sent(&mut dispatcher, "/lookup/x", 0..100, |_| GOOD);
    let to_candidate = count(&versions, "v2");
    assert!((1..=10).contains(&to_candidate), "{to_candidate}");
    assert_eq!(versions.len(), 100);
}

/// The old back ends may have been stopped, as the rollout completed on the other side of a cut.
#[test]
fn a_node_without_a_permit_uses_the_candidate_where_no_baseline_is_listed() {
    let mut dispatcher = obeying("gate", directive(1, 0, &[]));
    let mut listed = ["g1", "g2"].map(|id| of_version(id, "gate", "v1")).to_vec();
    listed.iter_mut().for_each(|one| one.draining = true);
    listed.push(of_version("g3", "gate", "v2"));
    dispatcher.instances.replace(&listed);
    let refusal = refused(&dispatcher.arrive(1, call_of("r1", "/gate/x"), 0));
    assert_eq!(refusal.code, ResultCode::NoBackend, "with a permit");
    dispatcher.rollouts.set_permitted(false);
    let plan = sent(&dispatcher.arrive(2, call_of("r2", "/gate/x"), 0)).clone();
    assert_eq!(plan.version, "v2");
}

#[test]
fn a_node_without_a_permit_goes_on_with_the_candidate_where_the_baseline_is_not_reached() {
    let mut dispatcher = obeying("pool", directive(1, 0, &[]));
    dispatcher.rollouts.set_permitted(false);
    let mut actions = dispatcher.arrive(1, call("r"), 0);
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

/// Load and crashes say nothing of a version.
#[rstest]
#[case::good(GOOD, 1, 0)]
#[case::refused_by_the_application(SendOutcome::Delivered { status: 404, is_whole: true }, 1, 0)]
#[case::error_passed_on(SendOutcome::Delivered { status: 500, is_whole: true }, 0, 1)]
#[case::broken_midway(SendOutcome::Delivered { status: 200, is_whole: false }, 0, 1)]
#[case::error(SendOutcome::Failed { status: 502 }, 0, 1)]
#[case::broken(BROKEN, 0, 1)]
#[case::garbled(SendOutcome::Unknown(UnknownReason::Garbled), 0, 1)]
#[case::none_in_time(SendOutcome::Unknown(UnknownReason::Deadline), 0, 1)]
#[case::full(FULL, 0, 0)]
#[case::refused(SendOutcome::NotRun(NotRunReason::Refused), 0, 0)]
#[case::unreachable(UNREACHABLE, 0, 0)]
fn an_answer_counts_by_what_it_came_to(
    #[case] outcome: SendOutcome,
    #[case] good: u64,
    #[case] bad: u64,
) {
    for (moved, is_candidate) in [(&["gate"][..], true), (&[][..], false)] {
        let mut dispatcher = obeying("gate", directive(1, 0, moved));
        sent(&dispatcher.arrive(1, call_of("r", "/gate/x"), 100));
        dispatcher.send_ended(1, outcome, None, 130);
        let (baseline, candidate) = answers(&dispatcher, "gate");
        let seen = if is_candidate { candidate } else { baseline };
        assert_eq!((seen.succeeded, seen.failed), (good, bad));
        assert_eq!(
            (seen.time_to_first_byte.count(), seen.response_time.count()),
            (good, good)
        );
    }
}

#[test]
fn times_are_told_from_the_send_to_the_first_part_and_to_the_end() {
    let mut dispatcher = obeying("pool", directive(1, 0, &["chat"]));
    sent(&dispatcher.arrive(1, call("r"), 1_000));
    dispatcher.head_received(1, None, 1_100);
    dispatcher.send_ended(1, GOOD, None, 2_600);
    let (_, candidate) = answers(&dispatcher, "chat");
    let within_a_bucket = |seen: Option<f64>, ms: f64| {
        seen.is_some_and(|seen| (ms * 0.8..=ms * 1.25).contains(&seen))
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
fn an_answer_counts_for_the_rollout_of_its_send_only() {
    let mut dispatcher = obeying("gate", directive(1, 0, &["gate"]));
    sent(&dispatcher.arrive(1, call_of("r", "/gate/x"), 0));
    let next = RolloutState::InProgress(directive(1, 0, &[]));
    dispatcher.take_rollouts(&[rollout(2, "gate", "v2", next)]);
    dispatcher.send_ended(1, SendOutcome::Failed { status: 500 }, None, 10);
    let evidence = evidence_of(&dispatcher);
    assert_eq!((evidence.rollout, evidence.candidate_completed()), (2, 0));
}

/// They may have been sent before this node knew of the rollout: the old back ends stop at its
/// end.
#[test]
fn all_that_runs_at_the_baseline_is_under_way_there() {
    let mut dispatcher = dispatcher_of_two_versions();
    dispatcher.instances.replace(&[
        of_version("g1", "gate", "v1"),
        of_version("g2", "gate", "v1"),
    ]);
    sent(&dispatcher.arrive(1, call_of("r1", "/gate/x"), 0));
    dispatcher.take_rollouts(&[in_progress("gate", directive(1, 0, &[]))]);
    sent(&dispatcher.arrive(2, call_of("r2", "/gate/x"), 0));
    assert_eq!(evidence_of(&dispatcher).baseline_in_flight, 2);
    dispatcher.send_ended(1, GOOD, None, 10);
    dispatcher.caller_gone(2, 10);
    assert_eq!(evidence_of(&dispatcher).baseline_in_flight, 0);
}

#[test]
fn prompts_that_share_their_beginning_keep_one_engine_of_the_version() {
    let mut dispatcher = obeying("pool", directive(1, 0, &["chat"]));
    let part = |id| PrefixPart { id, tokens: 100 };
    for session in 0..20 {
        let mut engines = BTreeSet::new();
        for turn in 0..5 {
            let number = session * 5 + turn;
            let mut request = call(&format!("r{number}"));
            request.prefix = vec![part(session), part(1_000 + number)];
            let plan = sent(&dispatcher.arrive(number, request, 0)).clone();
            assert_eq!(plan.version, "v2");
            engines.insert(plan.instance.clone());
            dispatcher.send_ended(number, GOOD, Some(IDLE), 1);
        }
        assert_eq!(engines.len(), 1, "session {session}");
    }
}

/// The order may be on its way while back ends of its version start.
#[test]
fn a_version_beside_others_that_no_order_names_is_held_back_a_while() {
    let mut dispatcher = dispatcher();
    let both = [
        of_version("g1", "gate", "v1"),
        of_version("g3", "gate", "v2"),
    ];
    dispatcher.take_listing(&list_of(&both[..1]), 0);
    dispatcher.take_listing(&list_of(&both), 1_000);
    let to_new = |dispatcher: &mut Dispatcher, first: u64, now: u64| {
        let mut count = 0;
        for number in first..first + 40 {
            let id = format!("r{number}");
            let plan = sent(&dispatcher.arrive(number, call_of(&id, "/lookup/x"), now)).clone();
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
fn a_new_version_is_used_at_once_where_no_other_can_be_and_when_it_is_ordered() {
    let both = [
        of_version("g1", "gate", "v1"),
        of_version("g3", "gate", "v2"),
    ];
    let mut replaced = dispatcher();
    replaced.take_listing(&list_of(&both[..1]), 0);
    replaced.take_listing(&list_of(&both), 1_000);
    replaced.take_listing(&list_of(&both[1..]), 1_500);
    let plan = sent(&replaced.arrive(1, call_of("r", "/gate/x"), 1_500)).clone();
    assert_eq!(plan.version, "v2");

    let mut ordered = dispatcher();
    ordered.rollouts.set_permitted(true);
    ordered.take_listing(&list_of(&both[..1]), 0);
    ordered.take_listing(&list_of(&both), 1_000);
    ordered.take_rollouts(&[in_progress("gate", directive(1, 0, &["gate"]))]);
    let plan = sent(&ordered.arrive(1, call_of("r", "/gate/x"), 1_100)).clone();
    assert_eq!(plan.version, "v2");
}

/// A process that has just started can't tell which version is new.
#[test]
fn versions_of_the_first_list_are_all_used() {
    let mut dispatcher = dispatcher_of_two_versions();
    let listed = [
        of_version("g1", "gate", "v1"),
        of_version("g3", "gate", "v2"),
    ];
    dispatcher.take_listing(&list_of(&listed), 0);
    let versions = versions_sent(&mut dispatcher, "/lookup/x", 0..40, |_| GOOD);
    assert!(count(&versions, "v1") > 0 && count(&versions, "v2") > 0);
}
