//! The gateway's part in rollouts: it follows those in force, renews the permit to send to
//! candidates, and tells what came of each version's answers.

use crate::gateway::actor::GatewayActor;
use silversail_consensus::Millis;
use silversail_rollout::Evidence;

/// Interval at which evidence is told anew, in milliseconds: heartbeats take what is there, and
/// a copy of some ten routes' counts for each of them would cost more than it is worth.
const EVIDENCE_EVERY: Millis = 200;

impl GatewayActor {
    /// Takes the rollouts in force. What they retire gets nothing from here on.
    pub(super) fn follow_rollouts(&mut self, now: Millis) {
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
        self.tell_evidence(now);
    }

    /// Renews the permit to send to candidates, by how fresh the rollouts are known to be. Comes
    /// before each decision: a process that was frozen must not go on by what it knew.
    pub(super) fn renew_rollout_permit(&mut self, now: Millis) {
        if !self.dispatcher.rollouts.is_any_in_progress() {
            return;
        }
        let is_permitted = self.setup.state.borrow().has_rollout_permit(now);
        self.dispatcher.rollouts.set_permitted(is_permitted);
        self.batcher.rollouts.set_permitted(is_permitted);
    }

    /// Tells the evidence of the rollouts in progress, if it is due.
    pub(super) fn tell_evidence_if_due(&mut self, now: Millis) {
        let is_due = now.saturating_sub(self.evidence_told_at) >= EVIDENCE_EVERY;
        if is_due && self.dispatcher.rollouts.is_any_in_progress() {
            self.tell_evidence(now);
        }
    }

    fn tell_evidence(&mut self, now: Millis) {
        self.evidence_told_at = now;
        let table = &self.dispatcher.instances;
        let of_requests = self
            .dispatcher
            .rollouts
            .evidence(|service| table.in_flight_at_baseline(service));
        let of_calls = self
            .batcher
            .rollouts
            .evidence(|service| self.batcher.in_flight_at_baseline(service, table));
        let mut state = self.setup.state.borrow_mut();
        state.rollout_evidence = joined(of_requests, &of_calls);
    }
}

/// The evidence of requests with that of calls of the same rollouts.
fn joined(mut of_requests: Vec<Evidence>, of_calls: &[Evidence]) -> Vec<Evidence> {
    for evidence in &mut of_requests {
        let mut of_calls = of_calls.iter();
        if let Some(other) = of_calls.find(|other| other.rollout == evidence.rollout) {
            evidence.merge(other);
        }
    }
    of_requests
}
