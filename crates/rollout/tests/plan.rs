//! When routes move, and that the bound on what a bad version gets comes first.

use rstest::rstest;
use silversail_rollout::plan::{Plan, RouteLoad, Shortfall, Situation};
use silversail_rollout::RolloutLimits;

fn load(route: &str, a_second: f64, usual_ms: f64, longest_ms: f64) -> RouteLoad {
    RouteLoad {
        route: route.into(),
        per_ms: a_second / 1_000.0,
        usual_ms,
        longest_ms,
        moved_at_ms: None,
    }
}

fn streams() -> Vec<RouteLoad> {
    vec![
        load("summary", 36.3, 500.0, 700.0),
        load("report", 84.5, 280.0, 400.0),
        load("subtitles", 39.5, 3_000.0, 6_000.0),
    ]
}

/// Just after the order, with what nodes and the leader need to hear of each other.
fn situation(duration_ms: u64, routes: Vec<RouteLoad>) -> Situation {
    Situation {
        elapsed_ms: 0,
        duration_ms,
        limits: RolloutLimits::default(),
        sent_in_all: 0,
        sent_to_candidate: 0,
        canary_share: 0.02,
        routes,
        spread_ms: 400.0,
        report_lag_ms: 200,
        proof_ms: 400.0,
    }
}

#[test]
fn routes_with_the_longest_answers_move_first_and_end_by_the_deadline() {
    let plan = Plan::make(&situation(300_000, streams()));
    let at = |route: &str| plan.moves_at_ms[route];
    assert!(at("subtitles") < at("summary"));
    assert!(at("summary") <= at("report"));
    assert!(at("subtitles") + 6_000 + 400 <= 300_000);
    assert_eq!(plan.shortfall, None);
}

#[rstest]
fn what_is_expected_to_reach_the_candidate_stays_under_the_bound(
    #[values(1_000, 3_000, 6_000, 12_000, 30_000, 120_000)] duration_ms: u64,
    #[values(1.0, 0.1, 10.0)] rate: f64,
    #[values(300.0, 1_500.0)] spread_ms: f64,
) {
    let mut routes = streams();
    routes.iter_mut().for_each(|load| load.per_ms *= rate);
    let mut situation = situation(duration_ms, routes);
    situation.spread_ms = spread_ms;
    let plan = Plan::make(&situation);
    let all = duration_ms as f64 * 0.1603 * rate;
    assert!((plan.bound - (0.1 * all + 50.0)).abs() < 0.1 * 0.1603 * rate * 200.0 + 1.0);
    assert!(plan.expected_exposure <= plan.bound, "{plan:?}");
}

#[test]
fn streams_longer_than_the_bound_allows_for_are_told() {
    let plan = Plan::make(&situation(12_000, streams()));
    assert_eq!(plan.shortfall, Some(Shortfall::LongAnswers));
    assert!(plan.keeps_deadline());
}

#[test]
fn a_deadline_that_would_break_the_bound_is_not_kept_and_told() {
    let mut hurried = situation(4_000, streams());
    hurried.spread_ms = 2_500.0;
    let plan = Plan::make(&hurried);
    assert_eq!(plan.shortfall, Some(Shortfall::Exposure));
    assert!(!plan.keeps_deadline());
    assert!(plan.expected_exposure <= plan.bound);
}

#[test]
fn what_was_exposed_already_moves_the_rest_later() {
    let mut fresh = situation(12_000, streams());
    fresh.elapsed_ms = 6_000;
    fresh.sent_in_all = 960;
    let mut exposed = fresh.clone();
    exposed.sent_to_candidate = 80;
    let at = |situation: &Situation| Plan::make(situation).moves_at_ms["report"];
    assert!(at(&exposed) > at(&fresh));
}

#[test]
fn the_more_requests_the_smaller_the_share_for_a_verdict() {
    let of = |rate: f64| {
        let routes = vec![load("route", rate, 30.0, 40.0)];
        Plan::make(&situation(12_000, routes)).canary_permille
    };
    assert!(of(3.0) > of(30.0));
    assert!(of(30.0) > of(3_000.0));
    assert!(of(1.0) <= 500);
}

#[test]
fn a_moved_route_is_not_planned_again_and_counts_to_the_deadline() {
    let mut routes = streams();
    routes[2].moved_at_ms = Some(8_000);
    let mut situation = situation(12_000, routes);
    situation.elapsed_ms = 9_000;
    situation.sent_in_all = 1_440;
    situation.sent_to_candidate = 60;
    let plan = Plan::make(&situation);
    assert!(!plan.moves_at_ms.contains_key("subtitles"));
    assert!(plan.expected_exposure > 60.0 + 3.0 * 39.5);
}

#[test]
fn a_service_without_requests_has_a_plan_without_moves() {
    let plan = Plan::make(&situation(12_000, Vec::new()));
    assert!(plan.moves_at_ms.is_empty());
    assert!(plan.keeps_deadline());
}
