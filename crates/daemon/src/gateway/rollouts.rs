//! Application of rollouts, renewal of the permit to send to candidate versions, and evidence
//! about the answers of each version.

use crate::gateway::actor::GatewayActor;
use silversail_consensus::Millis;
use silversail_rollout::Evidence;

/// Minimum interval between updates of the evidence that heartbeats carry, in milliseconds. A
/// copy per heartbeat would be too costly.
const EVIDENCE_INTERVAL: Millis = 200;

impl GatewayActor {
    /// Applies the current rollouts. Retired versions get no new requests.
    pub(super) fn apply_rollouts(&mut self, now: Millis) {
        let Some(rollouts) = self.setup.state.borrow().rollouts.clone() else {
            return;
        };
        let revision = rollouts.revision();
        if self.rollouts_revision.replace(revision) == Some(revision) {
            return;
        }
        self.dispatcher.apply_rollouts(rollouts.all());
        self.batcher.rollouts.update(rollouts.all());
        self.renew_rollout_permit(now);
        self.report_evidence(now);
    }

    /// Updates the permit to send to candidates by the age of the known rollouts. Must precede
    /// each decision: a process that was suspended must not act on outdated rollouts.
    pub(super) fn renew_rollout_permit(&mut self, now: Millis) {
        if !self.dispatcher.rollouts.is_any_in_progress() {
            return;
        }
        let is_permitted = self.setup.state.borrow().has_rollout_permit(now);
        self.dispatcher.rollouts.set_permitted(is_permitted);
        self.batcher.rollouts.set_permitted(is_permitted);
    }

    /// Updates the evidence of rollouts in progress if the interval has passed.
    pub(super) fn report_evidence_if_due(&mut self, now: Millis) {
        let is_due = now.saturating_sub(self.evidence_reported_at) >= EVIDENCE_INTERVAL;
        if is_due && self.dispatcher.rollouts.is_any_in_progress() {
            self.report_evidence(now);
        }
    }

    fn report_evidence(&mut self, now: Millis) {
        self.evidence_reported_at = now;
        let table = &self.dispatcher.instances;
        let request_evidence = self
            .dispatcher
            .rollouts
            .evidence(|service| table.in_flight_at_baseline(service));
        let call_evidence = self
            .batcher
            .rollouts
            .evidence(|service| self.batcher.in_flight_at_baseline(service, table));
        let mut state = self.setup.state.borrow_mut();
        state.rollout_evidence = merge_evidence(request_evidence, &call_evidence);
    }
}

/// Adds the evidence of batch calls to that of requests of the same rollout.
fn merge_evidence(
    mut request_evidence: Vec<Evidence>,
    call_evidence: &[Evidence],
) -> Vec<Evidence> {
    for evidence in &mut request_evidence {
        let mut call_evidence = call_evidence.iter();
        if let Some(matching) = call_evidence.find(|matching| matching.rollout == evidence.rollout)
        {
            evidence.merge(matching);
        }
    }
    request_evidence
}
