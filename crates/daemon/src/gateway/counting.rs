//! Counts sends and calls, and what came of them.

use crate::gateway::actor::GatewayActor;
use prometheus::IntCounter;
use silversail_serving::batcher::{BatchCall, CallId, CallOutcome};
use silversail_serving::dispatcher::{
    Action, NotRunReason, RequestNumber, SendOutcome, SendPlan, UnknownReason,
};

impl GatewayActor {
    /// Counts a send by the version that it goes to.
    pub(super) fn note_send(&mut self, number: RequestNumber, plan: &SendPlan) {
        let failures = self.count_version(&plan.service, &plan.version);
        if let Some(open) = self.open.get_mut(&number) {
            open.failures = Some(failures);
        }
    }

    /// Counts a send that failed, and whether it is followed by another.
    pub(super) fn count_send(
        &mut self,
        number: RequestNumber,
        outcome: SendOutcome,
        actions: &[Action],
    ) {
        let open = self.open.get_mut(&number);
        let failures = open.and_then(|open| open.failures.take());
        if let Some(failures) = failures.filter(|_| is_failure(outcome)) {
            failures.inc();
        }
        let is_retried = actions
            .iter()
            .any(|action| matches!(action, Action::Send { .. }));
        let label = outcome_label(outcome);
        let metrics = &self.setup.metrics;
        metrics.gateway_sends.with_label_values(&[label]).inc();
        if is_retried {
            metrics.retries.with_label_values(&[label]).inc();
        }
    }

    /// Counts a batch call by the version that it goes to.
    pub(super) fn note_call(&mut self, call: &BatchCall) {
        let pieces = call.pieces.len() as f64;
        self.setup.metrics.batch_pieces.observe(pieces);
        let failures = self.count_version(&call.service, &call.version);
        self.call_failures.insert(call.call, failures);
    }

    /// Counts a batch call that failed.
    pub(super) fn count_call(&mut self, call: CallId, outcome: &CallOutcome) {
        let failures = self.call_failures.remove(&call);
        let has_failed = matches!(outcome, CallOutcome::Unknown | CallOutcome::Unreachable);
        if let Some(failures) = failures.filter(|_| has_failed) {
            failures.inc();
        }
    }

    /// Counts what goes to a version of a service; the counter returned is for its failure.
    fn count_version(&self, service: &str, version: &str) -> IntCounter {
        let metrics = &self.setup.metrics;
        let labels = [service, version];
        metrics.version_sends.with_label_values(&labels).inc();
        metrics.version_failures.with_label_values(&labels)
    }
}

/// Whether a back end failed a request, or was not reached.
fn is_failure(outcome: SendOutcome) -> bool {
    match outcome {
        SendOutcome::Delivered { status, is_whole } => status >= 500 || !is_whole,
        SendOutcome::NotRun(reason) => reason == NotRunReason::Unreachable,
        SendOutcome::Unknown(_) | SendOutcome::Failed { .. } => true,
    }
}

/// Label of what came of a send.
pub(super) fn outcome_label(outcome: SendOutcome) -> &'static str {
    match outcome {
        SendOutcome::Delivered { is_whole: true, .. } => "whole",
        SendOutcome::Delivered { .. } => "broken_midway",
        SendOutcome::NotRun(NotRunReason::Unreachable) => "unreachable",
        SendOutcome::NotRun(NotRunReason::BackendUnavailable) => "withheld",
        SendOutcome::NotRun(NotRunReason::Full) => "full",
        SendOutcome::NotRun(NotRunReason::Misplaced) => "misplaced",
        SendOutcome::NotRun(NotRunReason::InputsGone) => "inputs_gone",
        SendOutcome::NotRun(NotRunReason::Refused) => "refused",
        SendOutcome::Unknown(UnknownReason::Broken) => "broken",
        SendOutcome::Unknown(UnknownReason::Garbled) => "garbled",
        SendOutcome::Unknown(UnknownReason::Deadline) => "deadline",
        SendOutcome::Failed { .. } => "failed",
    }
}
