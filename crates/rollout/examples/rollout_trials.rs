//! Simulates rollouts of good and bad versions and prints the results:
//! `cargo run --release -p silversail-rollout --example rollout_trials -- [SECONDS [SEEDS
//! [LATEST [REPORT]]]]`. LATEST is the maximum delay of a directive (the minimum is half of it) and
//! REPORT the delay of the counts of a node, in milliseconds.

#[path = "../tests/simulated_service/mod.rs"]
mod simulated_service;

use silversail_rollout::RolloutDecision;
use simulated_service::{
    simulate, Disturbance, Fault, Outcome, SimulationConfig, BATCHED, GOOD, PLAIN, STREAMS,
};

const THREADS: u64 = 3;

fn faults() -> Vec<(&'static str, Fault)> {
    let failing = |failure_probability: f64| Fault {
        failure_probability,
        ..GOOD
    };
    vec![
        ("good", GOOD),
        ("all fail", failing(1.0)),
        ("30 in 100 fail", failing(0.3)),
        ("10 in 100 fail", failing(0.1)),
        (
            "4 times slower",
            Fault {
                slowdown_factor: 4.0,
                ..GOOD
            },
        ),
        (
            "30 in 100 fail, 4 times slower",
            Fault {
                slowdown_factor: 4.0,
                ..failing(0.3)
            },
        ),
        (
            "30 in 100 fail from half time",
            Fault {
                active_after_fraction: 0.5,
                ..failing(0.3)
            },
        ),
        (
            "30 in 100 fail above 30 in 100 of requests",
            Fault {
                min_candidate_share: 0.3,
                ..failing(0.3)
            },
        ),
        (
            "30 in 100 fail on one route",
            Fault {
                route: Some(0),
                ..failing(0.3)
            },
        ),
    ]
}

fn trials(config: SimulationConfig, seeds: u64) -> Vec<Outcome> {
    let workers: Vec<_> = (0..THREADS)
        .map(|worker| {
            std::thread::spawn(move || {
                (0..seeds)
                    .filter(|seed| seed % THREADS == worker)
                    .map(|seed| simulate(config, seed))
                    .collect::<Vec<_>>()
            })
        })
        .collect();
    workers
        .into_iter()
        .flat_map(|worker| worker.join().expect("a trial does not panic"))
        .collect()
}

fn is_rolled_back(outcome: &Outcome) -> bool {
    matches!(outcome.decision, Some(RolloutDecision::RollBack(_)))
}

/// Number of requests in percent of the exposure bound.
fn percent_of_bound(requests: u64, outcome: &Outcome) -> u64 {
    (requests as f64 / outcome.bound() * 100.0) as u64
}

/// Formats outcomes as `completed in time + late / rolled back in time + late; maximum number of
/// candidate requests until the deadline, and in all if it was rolled back, in percent of the
/// bound`.
fn summarize(outcomes: &[Outcome], duration_ms: u64) -> String {
    let count = |is_completed: bool, is_in_time: bool| {
        outcomes
            .iter()
            .filter(|outcome| outcome.is_completed() == is_completed)
            .filter(|outcome| (outcome.decided_at_ms <= duration_ms) == is_in_time)
            .count()
    };
    let requests_until_deadline = outcomes
        .iter()
        .map(|outcome| percent_of_bound(outcome.requests_until_deadline.1, outcome));
    let requests_until_rollback = outcomes
        .iter()
        .filter(|outcome| is_rolled_back(outcome))
        .map(|outcome| percent_of_bound(outcome.candidate_requests, outcome));
    format!(
        "{}+{} / {}+{}; {}, {}",
        count(true, true),
        count(true, false),
        count(false, true),
        count(false, false),
        requests_until_deadline.max().unwrap_or(0),
        requests_until_rollback.max().unwrap_or(0),
    )
}

fn quantile(values: &mut [u64], share: f64) -> u64 {
    values.sort_unstable();
    let last_index = values.len().saturating_sub(1) as f64;
    values
        .get((last_index * share).round() as usize)
        .copied()
        .unwrap_or(0)
}

/// Results over all versions of a service.
#[derive(Default)]
struct Summary {
    last_request_after_50th_bad_ms: Vec<u64>,
    bad_responses_at_rollback: Vec<u64>,
    baseline_in_flight_at_decision: Vec<u64>,
}

impl Summary {
    fn add(&mut self, outcomes: &[Outcome]) {
        for outcome in outcomes {
            self.last_request_after_50th_bad_ms
                .extend(outcome.last_request_after_50th_bad_ms);
            if is_rolled_back(outcome) {
                self.bad_responses_at_rollback
                    .push(outcome.bad_responses_at_decision);
            } else {
                self.baseline_in_flight_at_decision
                    .push(outcome.baseline_in_flight_at_decision);
            }
        }
    }

    fn print(&mut self, service: &str) {
        let print_quantiles = |name: &str, values: &mut Vec<u64>| {
            let (median, maximum) = (quantile(values, 0.5), quantile(values, 1.0));
            let p99 = quantile(values, 0.99);
            println!(
                "{service}: {name}: p50 {median}, p99 {p99}, maximum {maximum} ({})",
                values.len()
            );
        };
        print_quantiles(
            "ms from the 50th bad response to the last request",
            &mut self.last_request_after_50th_bad_ms,
        );
        print_quantiles(
            "bad responses at the rollback",
            &mut self.bad_responses_at_rollback,
        );
        print_quantiles(
            "requests in flight at the baseline at completion",
            &mut self.baseline_in_flight_at_decision,
        );
    }
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let mut next_argument = |default: u64| -> u64 {
        let argument = arguments.next();
        argument
            .and_then(|value| value.parse().ok())
            .unwrap_or(default)
    };
    let (duration_seconds, seeds, max_directive_delay_ms, report_delay_ms) = (
        next_argument(12),
        next_argument(200),
        next_argument(200),
        next_argument(200),
    );
    let services = [("streams", STREAMS), ("plain", PLAIN), ("batched", BATCHED)];
    let mut summaries = services.map(|_| Summary::default());
    println!("| version | streams | plain | batched |\n| --- | --- | --- | --- |");
    for (name, fault) in faults() {
        for (has_background_failures, has_new_leader) in
            [(false, false), (true, false), (false, true)]
        {
            let mut row = name.to_owned();
            row.push_str(if has_background_failures {
                ", background failures"
            } else {
                ""
            });
            row.push_str(if has_new_leader { ", new leader" } else { "" });
            for ((_, routes), summary) in services.iter().zip(&mut summaries) {
                let config = SimulationConfig {
                    routes,
                    fault,
                    has_background_failures,
                    disturbance: if has_new_leader {
                        Disturbance::NewLeader(duration_seconds * 500)
                    } else {
                        Disturbance::None
                    },
                    duration_ms: duration_seconds * 1_000,
                    directive_delay_ms: (max_directive_delay_ms / 2, max_directive_delay_ms),
                    report_delay_ms,
                };
                let outcomes = trials(config, seeds);
                summary.add(&outcomes);
                row.push_str(" | ");
                row.push_str(&summarize(&outcomes, config.duration_ms));
            }
            println!("| {row} |");
        }
    }
    println!();
    for ((service, _), summary) in services.iter().zip(&mut summaries) {
        summary.print(service);
    }
}
