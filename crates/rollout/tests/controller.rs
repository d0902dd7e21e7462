//! Rollout controller against a simple service model: directives, completion and rollback.

use rstest::rstest;
use silversail_rollout::{
    Directive, Evidence, ResponseCounts, Rollout, RolloutController, RolloutDecision,
    RolloutLimits, RolloutOrder, RolloutProgress, RolloutState, RouteEvidence, Verdict,
};

const DURATION_MS: u64 = 12_000;
const STEP_MS: u64 = 100;
/// Number of steps per request of an unmoved route that goes to the candidate.
const STEPS_PER_CANARY_REQUEST: u64 = 3;
/// Time after the grace period that follows the deadline, in milliseconds.
const AFTER_GRACE_MS: u64 = DURATION_MS + 10_500;

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

fn controller_from(directive: Directive, elapsed_ms: u64) -> RolloutController {
    RolloutController::new(&rollout(directive, elapsed_ms), RolloutLimits::default())
        .with_report_lag_ms(200)
}

fn ready_progress() -> RolloutProgress {
    RolloutProgress {
        ready_candidate_backends: 3,
        baseline_versions: ["last".to_owned()].into(),
        is_applied_everywhere: true,
    }
}

/// Service model that applies directives and responds without delay.
struct Service {
    evidence: Evidence,
    directive: Directive,
    routes: Vec<&'static str>,
    /// Number of requests per route and step.
    requests_per_step: u64,
    /// Number of failures in ten candidate responses.
    failures_per_ten: u64,
    /// Number of candidate requests so far.
    candidate_requests: u64,
    steps: u64,
}

impl Service {
    fn new() -> Self {
        Self {
            evidence: Evidence::default(),
            directive: Directive::default(),
            routes: vec!["one", "other"],
            requests_per_step: 10,
            failures_per_ten: 0,
            candidate_requests: 0,
            steps: 0,
        }
    }

    fn step(&mut self) {
        self.steps += 1;
        for route in self.routes.clone() {
            let is_moved = self.directive.moved_routes.contains(route);
            let to_candidate = match (is_moved, self.directive.canary_permille) {
                (true, _) => self.requests_per_step,
                (false, 0) => 0,
                (false, _) => u64::from(self.steps.is_multiple_of(STEPS_PER_CANARY_REQUEST)),
            };
            let baseline = if is_moved { 0 } else { self.requests_per_step };
            let failed = (0..to_candidate)
                .filter(|index| (self.candidate_requests + index) % 10 < self.failures_per_ten)
                .count() as u64;
            self.candidate_requests += to_candidate;
            let route_evidence = self.evidence.routes.entry(route.into()).or_default();
            record_responses(&mut route_evidence.baseline, baseline, 0);
            record_responses(&mut route_evidence.candidate, to_candidate, failed);
        }
        self.evidence.step = self.directive.step;
    }

    /// Runs until the rollout ends, and returns the time and the decision.
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
                Some(decision) => return Some((now, decision)),
                None => {}
            }
        }
        None
    }
}

fn record_responses(counts: &mut ResponseCounts, count: u64, failed: u64) {
    counts.sent += count;
    counts.failed += failed;
    counts.succeeded += count - failed;
    for _ in failed..count {
        counts.time_to_first_byte.record(30);
        counts.response_time.record(30);
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
fn a_good_candidate_is_completed_by_the_deadline() {
    let mut service = Service::new();
    let (decided_at_ms, decision) = service
        .run(
            &mut controller_from(Directive::default(), 0),
            &ready_progress(),
            0,
            AFTER_GRACE_MS,
        )
        .unwrap();
    assert!(decided_at_ms <= DURATION_MS, "{decided_at_ms}");
    let RolloutDecision::Complete {
        former_versions,
        verdict,
    } = decision
    else {
        panic!("{decision:?}");
    };
    assert_eq!(former_versions, ["last".to_owned()].into());
    assert_eq!(verdict.reason, "no_difference");
    assert_eq!(verdict.candidate.1, 0);
    assert!(verdict.candidate.0 > 20 && verdict.baseline.0 > 1_000);
}

#[test]
fn directives_have_increasing_steps_and_keep_moved_routes() {
    let mut service = Service::new();
    let mut controller = controller_from(Directive::default(), 0);
    let mut last = Directive::default();
    for now in (0..DURATION_MS).step_by(STEP_MS as usize) {
        service.step();
        if let Some(RolloutDecision::Issue(next)) =
            controller.decide(&service.evidence, &ready_progress(), now)
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
fn a_bad_candidate_is_rolled_back_and_gets_no_further_directives() {
    let mut service = Service::new();
    service.failures_per_ten = 5;
    let mut controller = controller_from(Directive::default(), 0);
    let (decided_at_ms, decision) = service
        .run(&mut controller, &ready_progress(), 0, AFTER_GRACE_MS)
        .unwrap();
    assert!(decided_at_ms < DURATION_MS / 2, "{decided_at_ms}");
    assert_eq!(reason(&decision), "failures");
    assert!(
        matches!(
            decision,
            RolloutDecision::RollBack(Verdict {
                candidate: (_, 5..=15),
                ..
            })
        ),
        "{decision:?}"
    );
    assert_eq!(
        service.run(
            &mut controller,
            &ready_progress(),
            decided_at_ms,
            AFTER_GRACE_MS
        ),
        None
    );
}

#[test]
fn candidates_that_are_not_ready_get_no_requests_and_are_rolled_back() {
    let mut service = Service::new();
    let progress = RolloutProgress {
        ready_candidate_backends: 0,
        ..ready_progress()
    };
    let (decided_at_ms, decision) = service
        .run(
            &mut controller_from(Directive::default(), 0),
            &progress,
            0,
            AFTER_GRACE_MS,
        )
        .unwrap();
    assert!(decided_at_ms >= DURATION_MS);
    assert_eq!(service.directive, Directive::default());
    assert_eq!(reason(&decision), "no_evidence");
}

#[test]
fn a_candidate_with_too_few_responses_at_the_deadline_is_rolled_back() {
    let mut service = Service::new();
    service.routes.clear();
    let (decided_at_ms, decision) = service
        .run(
            &mut controller_from(Directive::default(), 0),
            &ready_progress(),
            0,
            AFTER_GRACE_MS,
        )
        .unwrap();
    assert_eq!(
        (decided_at_ms, reason(&decision)),
        (DURATION_MS, "no_evidence")
    );
    assert!(matches!(decision, RolloutDecision::RollBack(_)));
}

#[test]
fn a_rollout_is_not_completed_before_all_nodes_apply_the_directive() {
    let mut service = Service::new();
    let progress = RolloutProgress {
        is_applied_everywhere: false,
        ..ready_progress()
    };
    let (decided_at_ms, decision) = service
        .run(
            &mut controller_from(Directive::default(), 0),
            &progress,
            0,
            AFTER_GRACE_MS,
        )
        .unwrap();
    assert!(decided_at_ms >= DURATION_MS + 5_000);
    assert_eq!(reason(&decision), "overdue");
    assert!(matches!(decision, RolloutDecision::RollBack(_)));
}

#[rstest]
#[case::nothing_in_flight(0, true)]
#[case::few_streams_in_flight(20, true)]
#[case::many_requests_in_flight(5_000, false)]
fn requests_in_flight_at_the_baseline_may_delay_completion(
    #[case] in_flight: u64,
    #[case] is_completed_in_time: bool,
) {
    let mut service = Service::new();
    service.evidence.baseline_in_flight = in_flight;
    let (decided_at_ms, decision) = service
        .run(
            &mut controller_from(Directive::default(), 0),
            &ready_progress(),
            0,
            AFTER_GRACE_MS,
        )
        .unwrap();
    assert!(
        matches!(decision, RolloutDecision::Complete { .. }),
        "{decided_at_ms}: {decision:?}"
    );
    assert_eq!(
        decided_at_ms <= DURATION_MS,
        is_completed_in_time,
        "{decided_at_ms}"
    );
    assert_eq!(
        decided_at_ms < DURATION_MS - 200,
        in_flight == 0,
        "{decided_at_ms}"
    );
}

#[test]
fn a_new_leader_continues_from_the_committed_directive() {
    let mut service = Service::new();
    let mut first_controller = controller_from(Directive::default(), 0);
    assert_eq!(
        service.run(&mut first_controller, &ready_progress(), 0, 6_000),
        None
    );
    let committed = service.directive.clone();
    let mut second_controller = controller_from(committed.clone(), 5_000);
    let (decided_at_ms, decision) = service
        .run(
            &mut second_controller,
            &ready_progress(),
            6_500,
            AFTER_GRACE_MS,
        )
        .unwrap();
    assert!(decided_at_ms <= DURATION_MS, "{decided_at_ms}");
    assert!(
        matches!(decision, RolloutDecision::Complete { .. }),
        "{decided_at_ms}: {decision:?}"
    );
    assert!(service.directive.step > committed.step);
}

#[test]
fn a_new_leader_rolls_back_immediately_on_bad_totals() {
    let regressed_route = RouteEvidence {
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
        routes: [("one".to_owned(), regressed_route)].into(),
        ..Evidence::default()
    };
    let directive = Directive {
        step: 3,
        canary_permille: 20,
        ..Directive::default()
    };
    let decision = controller_from(directive, 7_000).decide(&evidence, &ready_progress(), 7_200);
    assert_eq!(reason(&decision.unwrap()), "failures");
}

#[test]
fn a_rollout_completes_after_time_goes_back_and_counts_restart() {
    let mut service = Service::new();
    let mut controller = controller_from(Directive::default(), 0);
    assert_eq!(
        service.run(&mut controller, &ready_progress(), 0, 6_000),
        None
    );
    service.evidence = Evidence::default();
    let (decided_at_ms, decision) = service
        .run(&mut controller, &ready_progress(), 5_200, AFTER_GRACE_MS)
        .unwrap();
    assert!(decided_at_ms <= DURATION_MS, "{decided_at_ms}");
    assert!(
        matches!(decision, RolloutDecision::Complete { .. }),
        "{decided_at_ms}: {decision:?}"
    );
}

#[test]
fn a_moved_candidate_without_baseline_responses_is_rolled_back() {
    let mut service = Service::new();
    let mut controller = controller_from(Directive::default(), 0);
    let mut now = 0;
    while service.directive.moved_routes.is_empty() {
        assert_eq!(
            service.run(&mut controller, &ready_progress(), now, now + STEP_MS),
            None
        );
        now += STEP_MS;
    }
    // All processes restart: counts are lost, and the committed directive remains.
    service.evidence = Evidence::default();
    let mut new_controller = controller_from(service.directive.clone(), now / 1_000 * 1_000);
    let (decided_at_ms, decision) = service
        .run(&mut new_controller, &ready_progress(), now, AFTER_GRACE_MS)
        .unwrap();
    assert!(decided_at_ms <= now + 1_000, "{decided_at_ms}");
    assert_eq!(reason(&decision), "no_evidence");
    assert!(matches!(decision, RolloutDecision::RollBack(_)));
}

#[test]
fn loss_of_all_candidates_after_the_move_ends_the_rollout_after_the_grace_period() {
    let mut service = Service::new();
    let mut controller = controller_from(Directive::default(), 0);
    assert_eq!(
        service.run(&mut controller, &ready_progress(), 0, 11_000),
        None
    );
    let no_backends = RolloutProgress {
        ready_candidate_backends: 0,
        ..ready_progress()
    };
    let (_, decision) = service
        .run(&mut controller, &no_backends, 11_000, AFTER_GRACE_MS)
        .unwrap();
    assert_eq!(reason(&decision), "overdue");
}

#[test]
fn a_suspicious_candidate_is_not_moved_and_is_rolled_back_at_the_deadline() {
    let mut service = Service::new();
    let mut controller = controller_from(Directive::default(), 0);
    assert_eq!(
        service.run(&mut controller, &ready_progress(), 0, 9_000),
        None
    );
    let route_evidence = service.evidence.routes.get_mut("one").unwrap();
    record_responses(&mut route_evidence.candidate, 7, 7);
    let (decided_at_ms, decision) = service
        .run(&mut controller, &ready_progress(), 9_000, AFTER_GRACE_MS)
        .unwrap();
    assert!(service.directive.moved_routes.is_empty());
    assert!(decided_at_ms <= DURATION_MS, "{decided_at_ms}");
    assert!(
        matches!(decision, RolloutDecision::RollBack(_)),
        "{decision:?}"
    );
}

#[rstest]
#[case(RolloutState::RolledBack { verdict: verdict() })]
#[case(RolloutState::Completed { former_versions: Default::default(), verdict: verdict() })]
fn a_controller_makes_no_decision_on_an_ended_rollout(#[case] state: RolloutState) {
    let ended_rollout = Rollout {
        state,
        ..rollout(Directive::default(), DURATION_MS)
    };
    let mut controller = RolloutController::new(&ended_rollout, RolloutLimits::default());
    let decision = controller.decide(&Evidence::default(), &ready_progress(), DURATION_MS);
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
