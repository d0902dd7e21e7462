//! What operators see of rollouts: decision lines and metrics.

use crate::metrics::Metrics;
use silversail_control::Rollouts;
use silversail_decisions::{DecisionLog, Event};
use silversail_rollout::{Directive, Evidence, Rollout, RolloutNumber, RolloutState, Verdict};
use std::collections::BTreeMap;

/// Name of a state, as operators are told.
pub fn state_name(state: &RolloutState) -> &'static str {
    match state {
        RolloutState::InProgress(_) => "in_progress",
        RolloutState::Completed { .. } => "completed",
        RolloutState::RolledBack { .. } => "rolled_back",
    }
}

/// Answers of both versions over all routes.
#[derive(Clone, Copy, Debug, Default)]
struct AnswerTotals {
    candidate_good: u64,
    candidate_bad: u64,
    baseline_good: u64,
    baseline_bad: u64,
}

impl AnswerTotals {
    fn of(evidence: &Evidence) -> Self {
        let mut totals = Self::default();
        for seen in evidence.routes.values() {
            totals.candidate_good += seen.candidate.succeeded;
            totals.candidate_bad += seen.candidate.failed;
            totals.baseline_good += seen.baseline.succeeded;
            totals.baseline_bad += seen.baseline.failed;
        }
        totals
    }
}

/// Tells on the leader how rollouts go on, by what is committed.
#[derive(Debug, Default)]
pub(super) struct Recorder {
    known: BTreeMap<RolloutNumber, RolloutState>,
}

impl Recorder {
    /// Looks at the rollouts; where this process leads, what is new is recorded.
    pub(super) fn follow(
        &mut self,
        rollouts: &Rollouts,
        log: Option<&DecisionLog>,
        evidence: impl Fn(RolloutNumber) -> Evidence,
        elapsed: impl Fn(RolloutNumber) -> u64,
    ) {
        self.known
            .retain(|number, _| rollouts.by_number(*number).is_some());
        for rollout in rollouts.all() {
            let former = self.known.insert(rollout.number, rollout.state.clone());
            if former.as_ref() == Some(&rollout.state) {
                continue;
            }
            let Some(log) = log else {
                continue;
            };
            let event = match &rollout.state {
                RolloutState::InProgress(directive) => {
                    let totals = AnswerTotals::of(&evidence(rollout.number));
                    directive_event(rollout, directive, totals, elapsed(rollout.number))
                }
                RolloutState::Completed { verdict, .. } | RolloutState::RolledBack { verdict } => {
                    ended_event(rollout, verdict)
                }
            };
            log.record(event);
        }
    }
}

fn directive_event(
    rollout: &Rollout,
    directive: &Directive,
    totals: AnswerTotals,
    elapsed_ms: u64,
) -> Event {
    Event::RolloutDirective {
        rollout: rollout.number,
        service: rollout.order.service.clone(),
        step: directive.step,
        share_permille: directive.canary_permille,
        moved_routes: directive.moved_routes.iter().cloned().collect(),
        candidate_answers: totals.candidate_good + totals.candidate_bad,
        candidate_bad: totals.candidate_bad,
        baseline_answers: totals.baseline_good + totals.baseline_bad,
        baseline_bad: totals.baseline_bad,
        elapsed_ms,
    }
}

fn ended_event(rollout: &Rollout, verdict: &Verdict) -> Event {
    Event::RolloutEnded {
        rollout: rollout.number,
        service: rollout.order.service.clone(),
        target_version: rollout.order.target_version.clone(),
        state: state_name(&rollout.state).to_owned(),
        reason: verdict.reason.clone(),
        route: verdict.route.clone(),
        candidate_answers: verdict.candidate.0,
        candidate_bad: verdict.candidate.1,
        baseline_answers: verdict.baseline.0,
        baseline_bad: verdict.baseline.1,
        elapsed_ms: verdict.elapsed_ms,
    }
}

/// Renews the gauges of rollouts by service, version and state.
pub(super) fn count_rollouts(metrics: &Metrics, rollouts: &Rollouts) {
    metrics.rollouts.reset();
    for rollout in rollouts.all() {
        let order = &rollout.order;
        let labels = [
            order.service.as_str(),
            order.target_version.as_str(),
            state_name(&rollout.state),
        ];
        metrics.rollouts.with_label_values(&labels).set(1);
    }
}

/// Renews the gauges of what answers of a rollout came to, on the leader.
pub(super) fn count_answers(metrics: &Metrics, service: &str, evidence: &Evidence) {
    let totals = AnswerTotals::of(evidence);
    for (version, outcome, count) in [
        ("candidate", "good", totals.candidate_good),
        ("candidate", "bad", totals.candidate_bad),
        ("baseline", "good", totals.baseline_good),
        ("baseline", "bad", totals.baseline_bad),
    ] {
        let gauge = &metrics.rollout_answers;
        gauge
            .with_label_values(&[service, version, outcome])
            .set(count as i64);
    }
}
