//! Simulated rollouts over many seeds: exposure and result for good and bad versions.

mod simulated_service;

use rstest::rstest;
use silversail_rollout::RolloutDecision;
use simulated_service::{
    simulate, Disturbance, Fault, Outcome, Route, SimulationConfig, BATCHED, GOOD, PLAIN, STREAMS,
};

/// Half of the default limit on the time from the 50th bad response to the last request, in
/// milliseconds.
const MAX_LAST_REQUEST_AFTER_50TH_BAD_MS: u64 = 2_500;

fn failing(failure_probability: f64) -> Fault {
    Fault {
        failure_probability,
        ..GOOD
    }
}

fn slower_version(failure_probability: f64) -> Fault {
    Fault {
        failure_probability,
        slowdown_factor: 4.0,
        ..GOOD
    }
}

fn late_fault(failure_probability: f64) -> Fault {
    Fault {
        failure_probability,
        active_after_fraction: 0.5,
        ..GOOD
    }
}

fn fault_under_load(failure_probability: f64) -> Fault {
    Fault {
        failure_probability,
        min_candidate_share: 0.3,
        ..GOOD
    }
}

/// Configuration with delays of directives and reports of at most 200 ms.
fn fast_config(routes: &'static [Route], fault: Fault) -> SimulationConfig {
    SimulationConfig {
        routes,
        fault,
        has_background_failures: false,
        disturbance: Disturbance::None,
        duration_ms: 12_000,
        directive_delay_ms: (100, 200),
        report_delay_ms: 200,
    }
}

/// Configuration with a delay of up to 1 s for directives and 500 ms for reports.
fn slow_config(routes: &'static [Route], fault: Fault) -> SimulationConfig {
    SimulationConfig {
        directive_delay_ms: (500, 1_000),
        report_delay_ms: 500,
        ..fast_config(routes, fault)
    }
}

fn is_rolled_back(outcome: &Outcome) -> bool {
    matches!(outcome.decision, Some(RolloutDecision::RollBack(_)))
}

fn is_in_time(outcome: &Outcome, config: &SimulationConfig) -> bool {
    outcome.is_completed() && outcome.decided_at_ms <= config.duration_ms
}

#[rstest]
fn good_versions_are_completed_by_the_deadline(
    #[values(STREAMS, PLAIN, BATCHED)] routes: &'static [Route],
    #[values(12_000, 30_000)] duration_ms: u64,
    #[values(Disturbance::None, Disturbance::NewLeader(6_000))] disturbance: Disturbance,
) {
    let config = SimulationConfig {
        duration_ms,
        disturbance,
        ..fast_config(routes, GOOD)
    };
    let late_seeds: Vec<u64> = (0..100)
        .filter(|seed| !is_in_time(&simulate(config, *seed), &config))
        .collect();
    assert!(late_seeds.len() <= 1, "seeds {late_seeds:?}");
}

#[rstest]
fn background_failures_rarely_roll_back_or_delay_good_versions(
    #[values(STREAMS, PLAIN, BATCHED)] routes: &'static [Route],
) {
    let config = SimulationConfig {
        has_background_failures: true,
        ..fast_config(routes, GOOD)
    };
    let outcomes: Vec<Outcome> = (0..200).map(|seed| simulate(config, seed)).collect();
    let rolled_back = outcomes
        .iter()
        .filter(|outcome| is_rolled_back(outcome))
        .count();
    let in_time = outcomes
        .iter()
        .filter(|outcome| is_in_time(outcome, &config))
        .count();
    assert!(rolled_back <= 2, "{rolled_back} of 200 rolled back");
    assert!(in_time >= 150, "{in_time} of 200 in time");
}

#[rstest]
#[case::all_fail(failing(1.0))]
#[case::a_third_fails(failing(0.3))]
#[case::slower(slower_version(0.0))]
#[case::slower_and_failing(slower_version(0.3))]
fn versions_bad_from_the_start_are_rolled_back_within_the_bounds(
    #[case] fault: Fault,
    #[values(STREAMS, PLAIN, BATCHED)] routes: &'static [Route],
    #[values(false, true)] has_background_failures: bool,
) {
    for config in [fast_config(routes, fault), slow_config(routes, fault)] {
        let config = SimulationConfig {
            has_background_failures,
            disturbance: if has_background_failures {
                Disturbance::NewLeader(2_000)
            } else {
                Disturbance::None
            },
            ..config
        };
        for seed in 0..25 {
            let outcome = simulate(config, seed);
            assert!(
                is_rolled_back(&outcome),
                "seed {seed}: {:?}",
                outcome.decision
            );
            check_bounds(&outcome, seed);
        }
    }
}

#[rstest]
#[case::some_fail(failing(0.1))]
#[case::late(late_fault(0.3))]
#[case::under_load(fault_under_load(0.3))]
#[case::one_route(Fault { route: Some(0), ..failing(0.3) })]
fn versions_with_small_regressions_stay_within_the_bounds(
    #[case] fault: Fault,
    #[values(STREAMS, PLAIN, BATCHED)] routes: &'static [Route],
    #[values(false, true)] has_background_failures: bool,
    #[values(6_000, 12_000)] duration_ms: u64,
) {
    for config in [fast_config(routes, fault), slow_config(routes, fault)] {
        let config = SimulationConfig {
            has_background_failures,
            duration_ms,
            ..config
        };
        for seed in 0..25 {
            let outcome = simulate(config, seed);
            if is_rolled_back(&outcome) {
                check_bounds(&outcome, seed);
            }
        }
    }
}

#[rstest]
fn leader_changes_and_restarts_at_any_time_keep_the_bounds(
    #[values(STREAMS, PLAIN, BATCHED)] routes: &'static [Route],
    #[values(1_000, 4_000, 9_000, 10_500, 11_000, 11_500, 12_000)] at_ms: u64,
    #[values(false, true)] is_restart: bool,
) {
    let disturbance = if is_restart {
        Disturbance::RestartAll(at_ms)
    } else {
        Disturbance::NewLeader(at_ms)
    };
    for fault in [late_fault(0.3), fault_under_load(0.3)] {
        for config in [fast_config(routes, fault), slow_config(routes, fault)] {
            for seed in 0..10 {
                let outcome = simulate(
                    SimulationConfig {
                        disturbance,
                        ..config
                    },
                    seed,
                );
                assert!(outcome.decision.is_some(), "seed {seed} has no end");
                if is_rolled_back(&outcome) {
                    check_bounds(&outcome, seed);
                }
            }
        }
    }
}

#[rstest]
fn versions_with_late_regressions_are_rolled_back(
    #[values(STREAMS, PLAIN, BATCHED)] routes: &'static [Route],
) {
    let config = fast_config(routes, late_fault(0.3));
    let completed: Vec<u64> = (0..100)
        .filter(|seed| !is_rolled_back(&simulate(config, *seed)))
        .collect();
    assert!(completed.len() <= 2, "seeds {completed:?}");
}

/// Checks the exposure of a bad version until the deadline, and the time until it gets no requests.
fn check_bounds(outcome: &Outcome, seed: u64) {
    let exposed_requests = outcome.requests_until_deadline.1 as f64;
    assert!(
        exposed_requests <= outcome.bound(),
        "seed {seed}: {outcome:?}"
    );
    let last_request_ms = outcome.last_request_after_50th_bad_ms.unwrap_or(0);
    assert!(
        last_request_ms <= MAX_LAST_REQUEST_AFTER_50TH_BAD_MS,
        "seed {seed}: {last_request_ms} ms"
    );
}
