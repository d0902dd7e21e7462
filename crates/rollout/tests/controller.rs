//! How rollouts go on and end, step by step.

use rstest::rstest;
use silversail_rollout::{
    Directive, Evidence, ResponseCounts, Rollout, RolloutController, RolloutDecision,
    RolloutLimits, RolloutOrder, RolloutProgress, RolloutState, RouteEvidence, Verdict,
};

const DURATION_MS: u64 = 12_000;
const STEP_MS: u64 = 100;
/// Steps in which one request of a route goes to the candidate before it moves: 3 in 100.
const STEPS_A_CANARY: u64 = 3;
/// What the leader still waits for a good candidate after the deadline, and a little more.
const GIVEN_UP_MS: u64 = DURATION_MS + 10_500;

fn rollout(directive: Directive, elapsed_ms: u64) -> Rollout {
    Rollout {
        number: 7,
        order: RolloutOrder {
            service: "service".into(),
            target_version: "next".into(),
            duration_ms: DURATION_MS,
        },
        state: RolloutState::InProgress(directive),
        elapsed_ms,
    }
}

fn leader(directive: Directive, elapsed_ms: u64) -> RolloutController {
    RolloutController::new(&rollout(directive, elapsed_ms), RolloutLimits::default())
        .with_report_lag_ms(200)
}

fn ready() -> RolloutProgress {
    RolloutProgress {
        ready_candidate_backends: 3,
        baseline_versions: ["last".to_owned()].into(),
        is_applied_everywhere: true,
    }
}

/// Answers at once, as directives say and are obeyed at once.
struct Service {
    evidence: Evidence,
    directive: Directive,
    routes: Vec<&'static str>,
    /// Requests of a route in a step.
    a_step: u64,
    /// Of ten answers of the candidate, so many fail.
    failing_of_ten: u64,
    /// Of the candidate so far.
    answered: u64,
    steps: u64,
}

impl Service {
    fn new() -> Self {
        Self {
            evidence: Evidence::default(),
            directive: Directive::default(),
            routes: vec!["one", "other"],
            a_step: 10,
            failing_of_ten: 0,
            answered: 0,
            steps: 0,
        }
    }

    fn step(&mut self) {
        self.steps += 1;
        for route in self.routes.clone() {
            let is_moved = self.directive.moved_routes.contains(route);
            let to_candidate = match (is_moved, self.directive.canary_permille) {
                (true, _) => self.a_step,
                (false, 0) => 0,
                (false, _) => u64::from(self.steps.is_multiple_of(STEPS_A_CANARY)),
            };
            let baseline = if is_moved { 0 } else { self.a_step };
            let bad = (0..to_candidate)
                .filter(|nth| (self.answered + nth) % 10 < self.failing_of_ten)
                .count() as u64;
            self.answered += to_candidate;
            let seen = self.evidence.routes.entry(route.into()).or_default();
            answer(&mut seen.baseline, baseline, 0);
            answer(&mut seen.candidate, to_candidate, bad);
        }
        self.evidence.step = self.directive.step;
    }

    /// Runs until the rollout ends.
    fn run(
        &mut self,
        controller: &mut RolloutController,
        progress: &RolloutProgress,
        from_ms: u64,
        to_ms: u64,
    ) -> Option<(u64, RolloutDecision)> {
        for now in (from_ms..to_ms).step_by(STEP_MS as usize) {
            self.step();
            match controller.decide(&self.evidence, progress, now) {
                Some(RolloutDecision::Issue(next)) => self.directive = next,
                Some(end) => return Some((now, end)),
                None => {}
            }
        }
        None
    }
}

fn answer(answers: &mut ResponseCounts, count: u64, bad: u64) {
    answers.sent += count;
    answers.failed += bad;
    answers.succeeded += count - bad;
    for _ in bad..count {
        answers.time_to_first_byte.record(30);
        answers.response_time.record(30);
    }
}

fn reason(decision: &RolloutDecision) -> &str {
    match decision {
        RolloutDecision::Issue(_) => "",
        RolloutDecision::Complete { verdict, .. } | RolloutDecision::RollBack(verdict) => {
            &verdict.reason
        }
    }
}

#[test]
fn a_good_candidate_has_all_traffic_by_the_deadline() {
    let mut service = Service::new();
    let (at, end) = service
        .run(
            &mut leader(Directive::default(), 0),
            &ready(),
            0,
            GIVEN_UP_MS,
        )
        .unwrap();
    assert!(at <= DURATION_MS, "{at}");
    let RolloutDecision::Complete {
        former_versions,
        verdict,
    } = end
    else {
        panic!("{end:?}");
    };
    assert_eq!(former_versions, ["last".to_owned()].into());
    assert_eq!(verdict.reason, "no_difference");
    assert_eq!(verdict.candidate.1, 0);
    assert!(verdict.candidate.0 > 20 && verdict.baseline.0 > 1_000);
}

#[test]
fn each_directive_counts_up_and_keeps_what_moved() {
    let mut service = Service::new();
    let mut controller = leader(Directive::default(), 0);
    let mut last = Directive::default();
    for now in (0..DURATION_MS).step_by(STEP_MS as usize) {
        service.step();
        if let Some(RolloutDecision::Issue(next)) =
            controller.decide(&service.evidence, &ready(), now)
        {
            assert_eq!(next.step, last.step + 1);
            assert!(last.moved_routes.is_subset(&next.moved_routes));
            service.directive = next.clone();
            last = next;
        }
    }
    assert!(last.step >= 2);
}

#[test]
fn a_bad_candidate_is_rolled_back_once_and_for_all() {
    let mut service = Service::new();
    service.failing_of_ten = 5;
    let mut controller = leader(Directive::default(), 0);
    let (at, end) = service
        .run(&mut controller, &ready(), 0, GIVEN_UP_MS)
        .unwrap();
    assert!(at < DURATION_MS / 2, "{at}");
    assert_eq!(reason(&end), "failures");
    assert!(
        matches!(
            end,
            RolloutDecision::RollBack(Verdict {
                candidate: (_, 5..=15),
                ..
            })
        ),
        "{end:?}"
    );
    assert_eq!(
        service.run(&mut controller, &ready(), at, GIVEN_UP_MS),
        None
    );
}

#[test]
fn nothing_goes_to_candidates_that_are_not_ready_and_it_ends_without_evidence() {
    let mut service = Service::new();
    let progress = RolloutProgress {
        ready_candidate_backends: 0,
        ..ready()
    };
    let (at, end) = service
        .run(
            &mut leader(Directive::default(), 0),
            &progress,
            0,
            GIVEN_UP_MS,
        )
        .unwrap();
    assert!(at >= DURATION_MS);
    assert_eq!(service.directive, Directive::default());
    assert_eq!(reason(&end), "no_evidence");
}

#[test]
fn a_candidate_with_too_few_answers_at_the_deadline_is_rolled_back() {
    let mut service = Service::new();
    service.routes.clear();
    let (at, end) = service
        .run(
            &mut leader(Directive::default(), 0),
            &ready(),
            0,
            GIVEN_UP_MS,
        )
        .unwrap();
    assert_eq!((at, reason(&end)), (DURATION_MS, "no_evidence"));
    assert!(matches!(end, RolloutDecision::RollBack(_)));
}

#[test]
fn it_is_not_complete_before_each_node_obeys() {
    let mut service = Service::new();
    let progress = RolloutProgress {
        is_applied_everywhere: false,
        ..ready()
    };
    let (at, end) = service
        .run(
            &mut leader(Directive::default(), 0),
            &progress,
            0,
            GIVEN_UP_MS,
        )
        .unwrap();
    assert!(at >= DURATION_MS + 5_000);
    assert_eq!(reason(&end), "overdue");
    assert!(matches!(end, RolloutDecision::RollBack(_)));
}

#[rstest]
#[case::nothing_is_under_way(0, true)]
#[case::a_few_streams(20, true)]
#[case::much(5_000, false)]
fn what_is_under_way_at_the_baseline_at_the_deadline(#[case] left: u64, #[case] is_cut: bool) {
    let mut service = Service::new();
    service.evidence.baseline_in_flight = left;
    let (at, end) = service
        .run(
            &mut leader(Directive::default(), 0),
            &ready(),
            0,
            GIVEN_UP_MS,
        )
        .unwrap();
    assert!(
        matches!(end, RolloutDecision::Complete { .. }),
        "{at}: {end:?}"
    );
    assert_eq!(at <= DURATION_MS, is_cut, "{at}");
    assert_eq!(at < DURATION_MS - 200, left == 0, "{at}");
}

#[test]
fn a_new_leader_goes_on_from_the_committed_directive() {
    let mut service = Service::new();
    let mut first = leader(Directive::default(), 0);
    assert_eq!(service.run(&mut first, &ready(), 0, 6_000), None);
    let committed = service.directive.clone();
    let mut second = leader(committed.clone(), 5_000);
    let (at, end) = service
        .run(&mut second, &ready(), 6_500, GIVEN_UP_MS)
        .unwrap();
    assert!(at <= DURATION_MS, "{at}");
    assert!(
        matches!(end, RolloutDecision::Complete { .. }),
        "{at}: {end:?}"
    );
    assert!(service.directive.step > committed.step);
}

#[test]
fn a_new_leader_condemns_by_the_totals_at_once() {
    let bad = RouteEvidence {
        baseline: ResponseCounts {
            sent: 1_000,
            succeeded: 1_000,
            ..ResponseCounts::default()
        },
        candidate: ResponseCounts {
            sent: 40,
            succeeded: 20,
            failed: 20,
            ..ResponseCounts::default()
        },
    };
    let evidence = Evidence {
        routes: [("one".to_owned(), bad)].into(),
        ..Evidence::default()
    };
    let directive = Directive {
        step: 3,
        canary_permille: 20,
        ..Directive::default()
    };
    let decision = leader(directive, 7_000).decide(&evidence, &ready(), 7_200);
    assert_eq!(reason(&decision.unwrap()), "failures");
}

#[test]
fn time_that_goes_back_and_counts_that_begin_anew_stop_nothing() {
    let mut service = Service::new();
    let mut controller = leader(Directive::default(), 0);
    assert_eq!(service.run(&mut controller, &ready(), 0, 6_000), None);
    service.evidence = Evidence::default();
    let (at, end) = service
        .run(&mut controller, &ready(), 5_200, GIVEN_UP_MS)
        .unwrap();
    assert!(at <= DURATION_MS, "{at}");
    assert!(
        matches!(end, RolloutDecision::Complete { .. }),
        "{at}: {end:?}"
    );
}

#[test]
fn a_moved_candidate_that_nothing_can_be_compared_with_any_more_is_rolled_back() {
    let mut service = Service::new();
    let mut controller = leader(Directive::default(), 0);
    let mut now = 0;
    while service.directive.moved_routes.is_empty() {
        assert_eq!(
            service.run(&mut controller, &ready(), now, now + STEP_MS),
            None
        );
        now += STEP_MS;
    }
    // All processes start again: counts are lost, the directive stands.
    service.evidence = Evidence::default();
    let mut next = leader(service.directive.clone(), now / 1_000 * 1_000);
    let (at, end) = service.run(&mut next, &ready(), now, GIVEN_UP_MS).unwrap();
    assert!(at <= now + 1_000, "{at}");
    assert_eq!(reason(&end), "no_evidence");
    assert!(matches!(end, RolloutDecision::RollBack(_)));
}

#[test]
fn candidates_that_are_gone_after_the_move_end_it_after_the_grace() {
    let mut service = Service::new();
    let mut controller = leader(Directive::default(), 0);
    assert_eq!(service.run(&mut controller, &ready(), 0, 11_000), None);
    let gone = RolloutProgress {
        ready_candidate_backends: 0,
        ..ready()
    };
    let (_, end) = service
        .run(&mut controller, &gone, 11_000, GIVEN_UP_MS)
        .unwrap();
    assert_eq!(reason(&end), "overdue");
}

#[test]
fn a_candidate_in_doubt_is_not_moved_and_rolled_back_at_the_deadline() {
    let mut service = Service::new();
    let mut controller = leader(Directive::default(), 0);
    assert_eq!(service.run(&mut controller, &ready(), 0, 9_000), None);
    let seen = service.evidence.routes.get_mut("one").unwrap();
    answer(&mut seen.candidate, 7, 7);
    let (at, end) = service
        .run(&mut controller, &ready(), 9_000, GIVEN_UP_MS)
        .unwrap();
    assert!(service.directive.moved_routes.is_empty());
    assert!(at <= DURATION_MS, "{at}");
    assert!(matches!(end, RolloutDecision::RollBack(_)), "{end:?}");
}

#[rstest]
#[case(RolloutState::RolledBack { verdict: verdict() })]
#[case(RolloutState::Completed { former_versions: Default::default(), verdict: verdict() })]
fn an_ended_rollout_stays_ended(#[case] state: RolloutState) {
    let ended = Rollout {
        state,
        ..rollout(Directive::default(), DURATION_MS)
    };
    let mut controller = RolloutController::new(&ended, RolloutLimits::default());
    let decision = controller.decide(&Evidence::default(), &ready(), DURATION_MS);
    assert_eq!(decision, None);
}

fn verdict() -> Verdict {
    Verdict {
        reason: "aborted".into(),
        route: String::new(),
        candidate: (0, 0),
        baseline: (0, 0),
        elapsed_ms: 1,
    }
}
