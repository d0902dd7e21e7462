//! Metrics of sends and batch calls.

use crate::gateway::actor::GatewayActor;
use prometheus::IntCounter;
use silversail_serving::batcher::{BatchCall, CallId, CallOutcome};
use silversail_serving::dispatcher::{
    Action, NotRunReason, RequestNumber, SendOutcome, SendPlan, UnknownReason,
};

impl GatewayActor {
    /// Counts a send by the version of its back end.
    pub(super) fn count_send_start(&mut self, number: RequestNumber, plan: &SendPlan) {
        let failure_counter = self.count_version(&plan.service, &plan.version);
        if let Some(open) = self.open_requests.get_mut(&number) {
            open.failure_counter = Some(failure_counter);
        }
    }

    /// Counts the end of a send by outcome, and whether a retry follows.
    pub(super) fn count_send_end(
        &mut self,
        number: RequestNumber,
        outcome: SendOutcome,
        actions: &[Action],
    ) {
        let open = self.open_requests.get_mut(&number);
        let failure_counter = open.and_then(|open| open.failure_counter.take());
        if let Some(failure_counter) = failure_counter.filter(|_| is_failure(outcome)) {
            failure_counter.inc();
        }
        let is_retried = actions
            .iter()
            .any(|action| matches!(action, Action::Send { .. }));
        let label = outcome_label(outcome);
        let metrics = &self.setup.metrics;
        metrics.gateway_sends.with_label_values(&[label]).inc();
        if let SendOutcome::Delivered { end, .. } = outcome {
            metrics.answer_ends.with_label_values(&[end.name()]).inc();
        }
        if is_retried {
            metrics.retries.with_label_values(&[label]).inc();
        }
    }

    /// Counts a request that is forwarded to or was received from a peer node.
    pub(super) fn count_forward(&self, direction: &str) {
        let counter = &self.setup.metrics.forwarded_requests;
        counter.with_label_values(&[direction]).inc();
    }

    /// Counts a batch call by the version of its back end.
    pub(super) fn count_call_start(&mut self, call: &BatchCall) {
        let pieces = call.pieces.len() as f64;
        self.setup.metrics.batch_size.observe(pieces);
        let failure_counter = self.count_version(&call.service, &call.version);
        self.call_failure_counters
            .insert(call.call, failure_counter);
    }

    /// Counts the end of a batch call if it failed.
    pub(super) fn count_call_end(&mut self, call: CallId, outcome: &CallOutcome) {
        let failure_counter = self.call_failure_counters.remove(&call);
        let is_failed = outcome.is_connection_loss() || *outcome == CallOutcome::ForeignAnswer;
        if let Some(failure_counter) = failure_counter.filter(|_| is_failed) {
            failure_counter.inc();
        }
    }

    /// Counts a send or call to a version, and returns the counter for its failure.
    fn count_version(&self, service: &str, version: &str) -> IntCounter {
        let metrics = &self.setup.metrics;
        let labels = [service, version];
        metrics.version_sends.with_label_values(&labels).inc();
        metrics.version_failures.with_label_values(&labels)
    }
}

/// Whether the back end failed the request or was unreachable.
fn is_failure(outcome: SendOutcome) -> bool {
    match outcome {
        SendOutcome::Delivered { status, end } => status >= 500 || !end.is_whole(),
        SendOutcome::NotRun(reason) => reason == NotRunReason::Unreachable,
        SendOutcome::Unknown(_) | SendOutcome::Failed { .. } => true,
    }
}

/// Metric label of the outcome of a send.
pub(super) fn outcome_label(outcome: SendOutcome) -> &'static str {
    match outcome {
        SendOutcome::Delivered { end, .. } if end.is_whole() => "whole",
        SendOutcome::Delivered { .. } => "broken_midway",
        SendOutcome::NotRun(NotRunReason::Unreachable) => "unreachable",
        SendOutcome::NotRun(NotRunReason::BackendUnavailable) => "withheld",
        SendOutcome::NotRun(NotRunReason::Full) => "full",
        SendOutcome::NotRun(NotRunReason::Misplaced) => "misplaced",
        SendOutcome::NotRun(NotRunReason::InputsGone) => "inputs_gone",
        SendOutcome::NotRun(NotRunReason::Refused) => "refused",
        SendOutcome::Unknown(UnknownReason::Broken) => "broken",
        SendOutcome::Unknown(UnknownReason::Garbled) => "garbled",
        SendOutcome::Unknown(UnknownReason::Foreign) => "foreign",
        SendOutcome::Unknown(UnknownReason::Deadline) => "deadline",
        SendOutcome::Failed { .. } => "failed",
    }
}
