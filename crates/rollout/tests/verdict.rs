//! Verdicts: which differences count as a regression of the candidate.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use silversail_rollout::history::EvidenceHistory;
use silversail_rollout::statistics::{binomial_tail, upper_share};
use silversail_rollout::verdict::{assess, Assessment, Measure};
use silversail_rollout::{Evidence, ResponseCounts};

const STEP_MS: u64 = 100;

/// Behavior of one version on one route: requests per step, failure probability, and response time.
#[derive(Clone, Copy)]
struct VersionBehavior {
    requests_per_step: u64,
    failure_probability: f64,
    response_ms: u64,
}

fn record_responses(
    counts: &mut ResponseCounts,
    behavior: VersionBehavior,
    random: &mut ChaCha8Rng,
) {
    for _ in 0..behavior.requests_per_step {
        counts.sent += 1;
        if random.gen_bool(behavior.failure_probability) {
            counts.failed += 1;
            continue;
        }
        let response_ms = (behavior.response_ms as f64 * random.gen_range(0.7..1.4)) as u64;
        counts.succeeded += 1;
        counts.time_to_first_byte.record(response_ms);
        counts.response_time.record(response_ms);
    }
}

struct Trial {
    random: ChaCha8Rng,
    evidence: Evidence,
    history: EvidenceHistory,
    elapsed_ms: u64,
}

impl Trial {
    fn new(seed: u64) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            evidence: Evidence::default(),
            history: EvidenceHistory::default(),
            elapsed_ms: 0,
        }
    }

    /// Simulates one step of both versions on a route and assesses the evidence.
    fn step(
        &mut self,
        route: &str,
        baseline: VersionBehavior,
        candidate: VersionBehavior,
    ) -> Assessment {
        let route_evidence = self.evidence.routes.entry(route.into()).or_default();
        record_responses(&mut route_evidence.baseline, baseline, &mut self.random);
        record_responses(&mut route_evidence.candidate, candidate, &mut self.random);
        self.elapsed_ms += STEP_MS;
        self.history.record(&self.evidence, self.elapsed_ms);
        assess(&self.evidence, &self.history, self.elapsed_ms)
    }

    fn candidate_failures(&self) -> u64 {
        let routes = self.evidence.routes.values();
        routes
            .map(|route_evidence| route_evidence.candidate.failed)
            .sum()
    }
}

const HEALTHY: VersionBehavior = VersionBehavior {
    requests_per_step: 16,
    failure_probability: 0.0,
    response_ms: 100,
};

fn candidate(failure_probability: f64, response_ms: u64) -> VersionBehavior {
    VersionBehavior {
        requests_per_step: 1,
        failure_probability,
        response_ms,
    }
}

/// Runs steps until a regression is detected, at most `steps`.
fn run_until_regression(
    trial: &mut Trial,
    baseline: VersionBehavior,
    candidate: VersionBehavior,
    steps: u64,
) -> Option<Assessment> {
    (0..steps).find_map(|_| {
        let assessment = trial.step("route", baseline, candidate);
        matches!(assessment, Assessment::Regressed(_)).then_some(assessment)
    })
}

#[rstest]
#[case::all_requests(1.0, 10)]
#[case::thirty_percent(0.3, 25)]
#[case::ten_percent(0.1, 50)]
fn failures_are_detected_within_few_bad_responses(
    #[case] failure_probability: f64,
    #[case] max_failures: u64,
) {
    for seed in 0..100 {
        let mut trial = Trial::new(seed);
        let regression = run_until_regression(
            &mut trial,
            HEALTHY,
            candidate(failure_probability, 100),
            600,
        );
        let Some(Assessment::Regressed(comparison)) = regression else {
            panic!("seed {seed}: no regression detected");
        };
        assert_eq!(comparison.measure, Measure::Failures);
        assert!(
            trial.candidate_failures() <= max_failures,
            "seed {seed}: {}",
            trial.candidate_failures()
        );
    }
}

#[test]
fn a_version_several_times_slower_is_detected() {
    for seed in 0..100 {
        let mut trial = Trial::new(seed);
        let regression = run_until_regression(&mut trial, HEALTHY, candidate(0.0, 400), 100);
        let Some(Assessment::Regressed(comparison)) = regression else {
            panic!("seed {seed}: no regression detected");
        };
        assert_eq!(comparison.measure, Measure::ResponseTime);
        assert!(comparison.candidate.bad <= 15, "seed {seed}");
    }
}

#[test]
fn unfinished_responses_count_as_slow() {
    let mut trial = Trial::new(1);
    let regression = (0..100).find_map(|_| {
        let assessment = trial.step("route", HEALTHY, candidate(0.0, 100));
        let counts = &mut trial.evidence.routes.get_mut("route").unwrap().candidate;
        let sent = counts.sent;
        *counts = ResponseCounts::default();
        counts.sent = sent;
        matches!(assessment, Assessment::Regressed(_)).then_some(assessment)
    });
    let Some(Assessment::Regressed(comparison)) = regression else {
        panic!("no regression detected");
    };
    assert_eq!(comparison.measure, Measure::ResponseTime);
}

#[rstest]
#[case::no_failures(0.0)]
#[case::few_failures(0.05)]
#[case::many_failures(0.4)]
fn failures_of_both_versions_are_no_regression(#[case] failure_probability: f64) {
    let baseline = VersionBehavior {
        failure_probability,
        ..HEALTHY
    };
    let failed_seeds: Vec<u64> = (0..300)
        .filter(|seed| {
            let mut trial = Trial::new(*seed);
            run_until_regression(
                &mut trial,
                baseline,
                candidate(failure_probability, 100),
                120,
            )
            .is_some()
        })
        .collect();
    assert!(failed_seeds.is_empty(), "seeds {failed_seeds:?}");
}

#[test]
fn temporary_failures_of_both_versions_are_no_regression() {
    for seed in 0..200 {
        let mut trial = Trial::new(seed);
        for step in 0..120 {
            let failure_probability = if (40..70).contains(&step) { 0.3 } else { 0.0 };
            let baseline = VersionBehavior {
                failure_probability,
                ..HEALTHY
            };
            let assessment = trial.step("route", baseline, candidate(failure_probability, 100));
            assert!(
                !matches!(assessment, Assessment::Regressed(_)),
                "seed {seed}, step {step}"
            );
        }
    }
}

#[test]
fn a_late_regression_is_detected_from_recent_responses() {
    for seed in 0..100 {
        let mut trial = Trial::new(seed);
        for _ in 0..600 {
            trial.step("route", HEALTHY, candidate(0.0, 100));
        }
        let regression = run_until_regression(&mut trial, HEALTHY, candidate(0.5, 100), 50);
        assert!(regression.is_some(), "seed {seed}");
        assert!(
            trial.candidate_failures() <= 15,
            "seed {seed}: {}",
            trial.candidate_failures()
        );
    }
}

#[test]
fn a_regression_on_one_route_is_reported_for_that_route() {
    for seed in 0..50 {
        let mut trial = Trial::new(seed);
        let regression = (0..200).find_map(|_| {
            trial.step("healthy", HEALTHY, candidate(0.0, 100));
            trial.step("other healthy", HEALTHY, candidate(0.0, 100));
            match trial.step("failing", HEALTHY, candidate(0.4, 100)) {
                Assessment::Regressed(comparison) => Some(comparison),
                _ => None,
            }
        });
        assert_eq!(
            regression.map(|comparison| comparison.route),
            Some("failing".to_owned()),
            "seed {seed}"
        );
    }
}

#[test]
fn a_larger_share_of_requests_on_a_failing_route_is_no_regression() {
    let failing_baseline = VersionBehavior {
        failure_probability: 0.3,
        ..HEALTHY
    };
    for seed in 0..100 {
        let mut trial = Trial::new(seed);
        for _ in 0..120 {
            let frequent_candidate = VersionBehavior {
                requests_per_step: 8,
                ..candidate(0.3, 100)
            };
            trial.step("failing", failing_baseline, frequent_candidate);
            let assessment = trial.step("healthy", HEALTHY, candidate(0.0, 100));
            assert!(
                !matches!(assessment, Assessment::Regressed(_)),
                "seed {seed}"
            );
        }
    }
}

#[test]
fn a_moved_route_is_compared_with_its_earlier_baseline() {
    let mut trial = Trial::new(3);
    for _ in 0..100 {
        trial.step("route", HEALTHY, candidate(0.0, 100));
    }
    let no_requests = VersionBehavior {
        requests_per_step: 0,
        ..HEALTHY
    };
    let all_requests = |failure_probability: f64| VersionBehavior {
        failure_probability,
        ..HEALTHY
    };
    for _ in 0..100 {
        let assessment = trial.step("route", no_requests, all_requests(0.0));
        assert_eq!(assessment, Assessment::Healthy);
    }
    assert!(run_until_regression(&mut trial, no_requests, all_requests(0.3), 10).is_some());
}

#[test]
fn few_bad_responses_are_suspicious_but_no_regression() {
    let mut trial = Trial::new(4);
    for _ in 0..50 {
        trial.step("route", HEALTHY, candidate(0.0, 100));
    }
    let mut assessment = Assessment::Healthy;
    for _ in 0..4 {
        assessment = trial.step("route", HEALTHY, candidate(1.0, 100));
    }
    assert!(
        matches!(assessment, Assessment::Suspicious(_)),
        "{assessment:?}"
    );
}

#[test]
fn a_candidate_without_a_baseline_is_not_compared() {
    let mut trial = Trial::new(5);
    let no_requests = VersionBehavior {
        requests_per_step: 0,
        ..HEALTHY
    };
    assert_eq!(
        run_until_regression(&mut trial, no_requests, candidate(1.0, 100), 50),
        None
    );
}

#[rstest]
#[case(10, 0, 0.5, 1.0)]
#[case(10, 10, 0.5, 0.000_976_562_5)]
#[case(2, 1, 0.5, 0.75)]
#[case(5, 6, 0.5, 0.0)]
#[case(1_000_000, 500_000, 0.4, 0.0)]
#[case::no_underflow_far_below_the_mean(100_000, 1, 0.5, 1.0)]
#[case::far_above_the_mean(100_000, 99_999, 0.5, 0.0)]
#[case::just_below_the_mean(4, 2, 0.5, 0.687_5)]
fn the_binomial_tail_is_exact(
    #[case] responses: u64,
    #[case] bad: u64,
    #[case] share: f64,
    #[case] expected: f64,
) {
    assert!((binomial_tail(responses, bad, share) - expected).abs() < 1e-9);
}

#[test]
fn the_upper_bound_approaches_the_share_with_more_responses() {
    assert_eq!(upper_share(0, 0), 1.0);
    assert!(upper_share(10, 0) > 0.2);
    assert!(upper_share(10_000, 500) < 0.055);
    assert!(upper_share(10_000, 500) > 0.05);
    assert_eq!(upper_share(10, 10), 1.0);
}
