//! Decision log lines and metrics of rollouts.

use crate::metrics::Metrics;
use silversail_control::Rollouts;
use silversail_decisions::{DecisionLog, Event};
use silversail_rollout::{Directive, Evidence, Rollout, RolloutNumber, RolloutState, Verdict};
use std::collections::BTreeMap;

/// Name of a state in logs, metrics and answers to operators.
pub fn state_name(state: &RolloutState) -> &'static str {
    match state {
        RolloutState::InProgress(_) => "in_progress",
        RolloutState::Completed { .. } => "completed",
        RolloutState::RolledBack { .. } => "rolled_back",
    }
}

/// Response counts of both versions over all routes.
#[derive(Clone, Copy, Debug, Default)]
struct ResponseTotals {
    candidate_succeeded: u64,
    candidate_failed: u64,
    baseline_succeeded: u64,
    baseline_failed: u64,
}

impl ResponseTotals {
    fn from_evidence(evidence: &Evidence) -> Self {
        let mut totals = Self::default();
        for route_evidence in evidence.routes.values() {
            totals.candidate_succeeded += route_evidence.candidate.succeeded;
            totals.candidate_failed += route_evidence.candidate.failed;
            totals.baseline_succeeded += route_evidence.baseline.succeeded;
            totals.baseline_failed += route_evidence.baseline.failed;
        }
        totals
    }
}

/// Records committed changes of rollouts on the leader.
#[derive(Debug, Default)]
pub(super) struct RolloutRecorder {
    last_states: BTreeMap<RolloutNumber, RolloutState>,
}

impl RolloutRecorder {
    /// Compares the rollouts with those seen before, and records changes if `log` is given, which
    /// only the leader does.
    pub(super) fn record_changes(
        &mut self,
        rollouts: &Rollouts,
        log: Option<&DecisionLog>,
        evidence: impl Fn(RolloutNumber) -> Evidence,
        elapsed: impl Fn(RolloutNumber) -> u64,
    ) {
        self.last_states
            .retain(|number, _| rollouts.by_number(*number).is_some());
        for rollout in rollouts.all() {
            let previous = self
                .last_states
                .insert(rollout.number, rollout.state.clone());
            if previous.as_ref() == Some(&rollout.state) {
                continue;
            }
            let Some(log) = log else {
                continue;
            };
            let event = match &rollout.state {
                RolloutState::InProgress(directive) => {
                    let totals = ResponseTotals::from_evidence(&evidence(rollout.number));
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
    totals: ResponseTotals,
    elapsed_ms: u64,
) -> Event {
    Event::RolloutDirective {
        rollout: rollout.number,
        service: rollout.order.service.clone(),
        step: directive.step,
        share_permille: directive.canary_permille,
        moved_routes: directive.moved_routes.iter().cloned().collect(),
        candidate_answers: totals.candidate_succeeded + totals.candidate_failed,
        candidate_bad: totals.candidate_failed,
        baseline_answers: totals.baseline_succeeded + totals.baseline_failed,
        baseline_bad: totals.baseline_failed,
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

/// Updates the gauge of rollouts by service, version and state.
pub(super) fn set_rollout_gauges(metrics: &Metrics, rollouts: &Rollouts) {
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

/// Updates the gauges of a rollout's responses by version and outcome.
pub(super) fn set_response_gauges(metrics: &Metrics, service: &str, evidence: &Evidence) {
    let totals = ResponseTotals::from_evidence(evidence);
    for (version, outcome, count) in [
        ("candidate", "good", totals.candidate_succeeded),
        ("candidate", "bad", totals.candidate_failed),
        ("baseline", "good", totals.baseline_succeeded),
        ("baseline", "bad", totals.baseline_failed),
    ] {
        let gauge = &metrics.rollout_answers;
        gauge
            .with_label_values(&[service, version, outcome])
            .set(count as i64);
    }
}
