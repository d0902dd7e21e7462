//! The actor's part against requests that crash back ends: why connections break off, and what is
//! not sent any more.

use crate::crashes::Finding;
use crate::gateway::actor::GatewayActor;
use silversail_consensus::Millis;
use silversail_decisions::Event as LogEvent;
use silversail_serving::crashes::{ConnectionLoss, Diagnosis, ProbeResult};
use silversail_serving::dispatcher::{RequestNumber, SendOutcome};

impl GatewayActor {
    /// Requests broke off at a back end: whether it has ended is asked at once.
    pub(super) fn broke_off(&mut self, broken: ConnectionLoss, now: Millis) {
        match self.crashes.broke_off(broken, now) {
            Finding::Ask(probe) => self.setup.calls.probe(probe),
            Finding::Pending => {}
            Finding::Known(diagnosis) => self.diagnosed(&diagnosis, now),
        }
    }

    pub(super) fn probed(&mut self, instance: &str, answer: ProbeResult, now: Millis) {
        if let Some(diagnosis) = self.crashes.probed(instance, answer) {
            self.diagnosed(&diagnosis, now);
        }
    }

    fn diagnosed(&mut self, diagnosis: &Diagnosis, now: Millis) {
        let sends = diagnosis.sends.iter();
        self.setup.log.record(LogEvent::BrokeOff {
            backend: diagnosis.instance.clone(),
            service: diagnosis.service.clone(),
            cause: diagnosis.answer.cause().to_owned(),
            after_ms: now.saturating_sub(diagnosis.lost_at),
            requests: sends.clone().map(|one| one.request.clone()).collect(),
            fingerprints: sends.map(|one| one.fingerprint.to_string()).collect(),
        });
        let quarantine = &mut self.dispatcher.quarantine;
        if self.crashes.report(diagnosis, quarantine, now) {
            self.end_quarantined(now);
        }
    }

    /// A send ended. A whole answer says that the request crashes nothing.
    pub(super) fn note_end(&mut self, number: RequestNumber, outcome: SendOutcome) {
        let is_good = matches!(
            outcome,
            SendOutcome::Delivered {
                status: 200..=299,
                is_whole: true
            }
        );
        let fingerprint = self.dispatcher.fingerprint_of(number);
        if let Some(fingerprint) = fingerprint.filter(|_| is_good) {
            let quarantine = &mut self.dispatcher.quarantine;
            self.crashes.ended_well(fingerprint, quarantine);
        }
    }

    /// Takes the list of refused requests in force.
    pub(super) fn follow_quarantine(&mut self, now: Millis) {
        let Some(list) = self.setup.state.borrow().quarantine.clone() else {
            return;
        };
        let revision = list.revision;
        if self.quarantine_revision.replace(revision) == Some(revision) {
            return;
        }
        let (refused, watched) = (list.refused.len(), list.watched.len());
        self.dispatcher.quarantine.update(list);
        let gauge = &self.setup.metrics.quarantine;
        gauge.with_label_values(&["refused"]).set(refused as i64);
        gauge.with_label_values(&["watched"]).set(watched as i64);
        self.setup.log.record(LogEvent::QuarantineInForce {
            revision,
            refused,
            watched,
        });
        self.end_quarantined(now);
    }

    /// Ends what waits here and is refused by now.
    fn end_quarantined(&mut self, now: Millis) {
        let actions = self.dispatcher.reject_quarantined(now);
        self.carry_out(actions, now);
        let finished = self.batcher.reject_quarantined(&self.dispatcher.quarantine);
        self.orders_finished(finished, now);
    }
}
