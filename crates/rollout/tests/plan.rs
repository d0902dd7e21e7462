//! Plans: when routes move, and that the exposure bound takes precedence.

use rstest::rstest;
use silversail_rollout::plan::{Plan, PlanInput, PlanShortfall, RouteLoad};
use silversail_rollout::RolloutLimits;

fn load(route: &str, requests_per_second: f64, median_ms: f64, p99_ms: f64) -> RouteLoad {
    RouteLoad {
        route: route.into(),
        per_ms: requests_per_second / 1_000.0,
        median_ms,
        p99_ms,
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

/// Input right after the order, with typical delays between nodes and leader.
fn input(duration_ms: u64, routes: Vec<RouteLoad>) -> PlanInput {
    PlanInput {
        elapsed_ms: 0,
        duration_ms,
        limits: RolloutLimits::default(),
        total_sent: 0,
        sent_to_candidate: 0,
        canary_share: 0.02,
        routes,
        spread_ms: 400.0,
        report_lag_ms: 200,
        proof_ms: 400.0,
    }
}

#[test]
fn routes_with_the_longest_responses_move_first_and_finish_by_the_deadline() {
    let plan = Plan::make(&input(300_000, streams()));
    let moves_at_ms = |route: &str| plan.moves_at_ms[route];
    assert!(moves_at_ms("subtitles") < moves_at_ms("summary"));
    assert!(moves_at_ms("summary") <= moves_at_ms("report"));
    assert!(moves_at_ms("subtitles") + 6_000 + 400 <= 300_000);
    assert_eq!(plan.shortfall, None);
}

#[rstest]
fn expected_exposure_stays_within_the_bound(
    #[values(1_000, 3_000, 6_000, 12_000, 30_000, 120_000)] duration_ms: u64,
    #[values(1.0, 0.1, 10.0)] rate_factor: f64,
    #[values(300.0, 1_500.0)] spread_ms: f64,
) {
    let mut routes = streams();
    routes
        .iter_mut()
        .for_each(|load| load.per_ms *= rate_factor);
    let mut input = input(duration_ms, routes);
    input.spread_ms = spread_ms;
    let plan = Plan::make(&input);
    let expected_requests = duration_ms as f64 * 0.1603 * rate_factor;
    assert!(
        (plan.bound - (0.1 * expected_requests + 50.0)).abs()
            < 0.1 * 0.1603 * rate_factor * 200.0 + 1.0
    );
    assert!(plan.expected_exposure <= plan.bound, "{plan:?}");
}

#[test]
fn a_plan_reports_streams_longer_than_the_bound_allows() {
    let plan = Plan::make(&input(12_000, streams()));
    assert_eq!(plan.shortfall, Some(PlanShortfall::LongResponses));
    assert!(plan.keeps_deadline());
}

#[test]
fn a_plan_misses_and_reports_a_deadline_that_would_exceed_the_bound() {
    let mut short_input = input(4_000, streams());
    short_input.spread_ms = 2_500.0;
    let plan = Plan::make(&short_input);
    assert_eq!(plan.shortfall, Some(PlanShortfall::Exposure));
    assert!(!plan.keeps_deadline());
    assert!(plan.expected_exposure <= plan.bound);
}

#[test]
fn earlier_exposure_delays_the_remaining_moves() {
    let mut without_exposure = input(12_000, streams());
    without_exposure.elapsed_ms = 6_000;
    without_exposure.total_sent = 960;
    let mut with_exposure = without_exposure.clone();
    with_exposure.sent_to_candidate = 80;
    let moves_at_ms = |input: &PlanInput| Plan::make(input).moves_at_ms["report"];
    assert!(moves_at_ms(&with_exposure) > moves_at_ms(&without_exposure));
}

#[test]
fn the_canary_share_decreases_with_the_request_rate() {
    let canary_permille_at = |requests_per_second: f64| {
        let routes = vec![load("route", requests_per_second, 30.0, 40.0)];
        Plan::make(&input(12_000, routes)).canary_permille
    };
    assert!(canary_permille_at(3.0) > canary_permille_at(30.0));
    assert!(canary_permille_at(30.0) > canary_permille_at(3_000.0));
    assert!(canary_permille_at(1.0) <= 500);
}

#[test]
fn a_moved_route_is_not_planned_again_and_counts_as_exposed_until_the_deadline() {
    let mut routes = streams();
    routes[2].moved_at_ms = Some(8_000);
    let mut input = input(12_000, routes);
    input.elapsed_ms = 9_000;
    input.total_sent = 1_440;
    input.sent_to_candidate = 60;
    let plan = Plan::make(&input);
    assert!(!plan.moves_at_ms.contains_key("subtitles"));
    assert!(plan.expected_exposure > 60.0 + 3.0 * 39.5);
}

#[test]
fn a_service_without_requests_has_a_plan_without_moves() {
    let plan = Plan::make(&input(12_000, Vec::new()));
    assert!(plan.moves_at_ms.is_empty());
    assert!(plan.keeps_deadline());
}
