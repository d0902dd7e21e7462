//! What condemns a candidate and what does not.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use silversail_rollout::history::EvidenceHistory;
use silversail_rollout::statistics::{binomial_tail, upper_share};
use silversail_rollout::verdict::{assess, Assessment, Measure};
use silversail_rollout::{Evidence, ResponseCounts};

const STEP_MS: u64 = 100;

/// How one version answers on one route: requests a step, share that fails, and time.
#[derive(Clone, Copy)]
struct Manner {
    a_step: u64,
    failing: f64,
    ms: u64,
}

fn give(answers: &mut ResponseCounts, manner: Manner, random: &mut ChaCha8Rng) {
    for _ in 0..manner.a_step {
        answers.sent += 1;
        if random.gen_bool(manner.failing) {
            answers.failed += 1;
            continue;
        }
        let ms = (manner.ms as f64 * random.gen_range(0.7..1.4)) as u64;
        answers.succeeded += 1;
        answers.time_to_first_byte.record(ms);
        answers.response_time.record(ms);
    }
}

struct Play {
    random: ChaCha8Rng,
    evidence: Evidence,
    history: EvidenceHistory,
    elapsed_ms: u64,
}

impl Play {
    fn new(seed: u64) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            evidence: Evidence::default(),
            history: EvidenceHistory::default(),
            elapsed_ms: 0,
        }
    }

    /// One step with both versions on a route.
    fn step(&mut self, route: &str, baseline: Manner, candidate: Manner) -> Assessment {
        let seen = self.evidence.routes.entry(route.into()).or_default();
        give(&mut seen.baseline, baseline, &mut self.random);
        give(&mut seen.candidate, candidate, &mut self.random);
        self.elapsed_ms += STEP_MS;
        self.history.record(&self.evidence, self.elapsed_ms);
        assess(&self.evidence, &self.history, self.elapsed_ms)
    }

    fn bad_answers(&self) -> u64 {
        let routes = self.evidence.routes.values();
        routes.map(|seen| seen.candidate.failed).sum()
    }
}

const SOUND: Manner = Manner {
    a_step: 16,
    failing: 0.0,
    ms: 100,
};

fn candidate(failing: f64, ms: u64) -> Manner {
    Manner {
        a_step: 1,
        failing,
        ms,
    }
}

/// Steps until the candidate is condemned.
fn condemn(play: &mut Play, baseline: Manner, candidate: Manner, steps: u64) -> Option<Assessment> {
    (0..steps).find_map(|_| {
        let finding = play.step("route", baseline, candidate);
        matches!(finding, Assessment::Regressed(_)).then_some(finding)
    })
}

#[rstest]
#[case::all(1.0, 10)]
#[case::a_third(0.3, 25)]
#[case::a_tenth(0.1, 50)]
fn failures_condemn_within_few_bad_answers(#[case] failing: f64, #[case] most_bad: u64) {
    for seed in 0..100 {
        let mut play = Play::new(seed);
        let found = condemn(&mut play, SOUND, candidate(failing, 100), 600);
        let Some(Assessment::Regressed(comparison)) = found else {
            panic!("seed {seed}: not condemned");
        };
        assert_eq!(comparison.measure, Measure::Failures);
        assert!(
            play.bad_answers() <= most_bad,
            "seed {seed}: {}",
            play.bad_answers()
        );
    }
}

#[test]
fn a_version_several_times_slower_is_condemned() {
    for seed in 0..100 {
        let mut play = Play::new(seed);
        let found = condemn(&mut play, SOUND, candidate(0.0, 400), 100);
        let Some(Assessment::Regressed(comparison)) = found else {
            panic!("seed {seed}: not condemned");
        };
        assert_eq!(comparison.measure, Measure::ResponseTime);
        assert!(comparison.candidate.bad <= 15, "seed {seed}");
    }
}

#[test]
fn answers_without_an_end_are_slow() {
    let mut play = Play::new(1);
    let found = (0..100).find_map(|_| {
        let finding = play.step("route", SOUND, candidate(0.0, 100));
        let answers = &mut play.evidence.routes.get_mut("route").unwrap().candidate;
        let sent = answers.sent;
        *answers = ResponseCounts::default();
        answers.sent = sent;
        matches!(finding, Assessment::Regressed(_)).then_some(finding)
    });
    let Some(Assessment::Regressed(comparison)) = found else {
        panic!("not condemned");
    };
    assert_eq!(comparison.measure, Measure::ResponseTime);
}

#[rstest]
#[case::none(0.0)]
#[case::some(0.05)]
#[case::much(0.4)]
fn trouble_on_both_sides_condemns_nobody(#[case] failing: f64) {
    let baseline = Manner { failing, ..SOUND };
    let condemned: Vec<u64> = (0..300)
        .filter(|seed| {
            let mut play = Play::new(*seed);
            condemn(&mut play, baseline, candidate(failing, 100), 120).is_some()
        })
        .collect();
    assert!(condemned.is_empty(), "seeds {condemned:?}");
}

#[test]
fn trouble_that_comes_and_goes_on_both_sides_condemns_nobody() {
    for seed in 0..200 {
        let mut play = Play::new(seed);
        for step in 0..120 {
            let failing = if (40..70).contains(&step) { 0.3 } else { 0.0 };
            let baseline = Manner { failing, ..SOUND };
            let finding = play.step("route", baseline, candidate(failing, 100));
            assert!(
                !matches!(finding, Assessment::Regressed(_)),
                "seed {seed}, step {step}"
            );
        }
    }
}

#[test]
fn a_version_that_turns_bad_late_is_condemned_by_its_last_seconds() {
    for seed in 0..100 {
        let mut play = Play::new(seed);
        for _ in 0..600 {
            play.step("route", SOUND, candidate(0.0, 100));
        }
        let found = condemn(&mut play, SOUND, candidate(0.5, 100), 50);
        assert!(found.is_some(), "seed {seed}");
        assert!(
            play.bad_answers() <= 15,
            "seed {seed}: {}",
            play.bad_answers()
        );
    }
}

#[test]
fn a_version_bad_on_one_route_is_condemned_for_that_route() {
    for seed in 0..50 {
        let mut play = Play::new(seed);
        let found = (0..200).find_map(|_| {
            play.step("sound", SOUND, candidate(0.0, 100));
            play.step("sound too", SOUND, candidate(0.0, 100));
            match play.step("failing", SOUND, candidate(0.4, 100)) {
                Assessment::Regressed(comparison) => Some(comparison),
                _ => None,
            }
        });
        assert_eq!(
            found.map(|bad| bad.route),
            Some("failing".to_owned()),
            "seed {seed}"
        );
    }
}

#[test]
fn more_requests_of_a_route_that_fails_anyway_condemn_nobody() {
    let failing = Manner {
        failing: 0.3,
        ..SOUND
    };
    for seed in 0..100 {
        let mut play = Play::new(seed);
        for _ in 0..120 {
            let many = Manner {
                a_step: 8,
                ..candidate(0.3, 100)
            };
            play.step("failing", failing, many);
            let finding = play.step("sound", SOUND, candidate(0.0, 100));
            assert!(!matches!(finding, Assessment::Regressed(_)), "seed {seed}");
        }
    }
}

#[test]
fn a_moved_route_is_compared_with_what_its_baseline_was() {
    let mut play = Play::new(3);
    for _ in 0..100 {
        play.step("route", SOUND, candidate(0.0, 100));
    }
    let none = Manner { a_step: 0, ..SOUND };
    let all = |failing: f64| Manner { failing, ..SOUND };
    for _ in 0..100 {
        let finding = play.step("route", none, all(0.0));
        assert_eq!(finding, Assessment::Healthy);
    }
    assert!(condemn(&mut play, none, all(0.3), 10).is_some());
}

#[test]
fn a_few_bad_answers_are_suspicious_but_condemn_nobody() {
    let mut play = Play::new(4);
    for _ in 0..50 {
        play.step("route", SOUND, candidate(0.0, 100));
    }
    let mut finding = Assessment::Healthy;
    for _ in 0..4 {
        finding = play.step("route", SOUND, candidate(1.0, 100));
    }
    assert!(matches!(finding, Assessment::Suspicious(_)), "{finding:?}");
}

#[test]
fn without_a_baseline_nothing_is_compared() {
    let mut play = Play::new(5);
    let none = Manner { a_step: 0, ..SOUND };
    assert_eq!(condemn(&mut play, none, candidate(1.0, 100), 50), None);
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
    #[case] answers: u64,
    #[case] bad: u64,
    #[case] share: f64,
    #[case] wanted: f64,
) {
    assert!((binomial_tail(answers, bad, share) - wanted).abs() < 1e-9);
}

#[test]
fn the_upper_bound_falls_to_the_share_as_answers_come() {
    assert_eq!(upper_share(0, 0), 1.0);
    assert!(upper_share(10, 0) > 0.2);
    assert!(upper_share(10_000, 500) < 0.055);
    assert!(upper_share(10_000, 500) > 0.05);
    assert_eq!(upper_share(10, 10), 1.0);
}
