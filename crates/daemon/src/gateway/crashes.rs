//! Diagnosis of lost connections, and rejection of requests that crash back ends.

use crate::crashes::DiagnosisProgress;
use crate::gateway::actor::GatewayActor;
use silversail_consensus::Millis;
use silversail_decisions::Event as LogEvent;
use silversail_serving::crashes::{ConnectionLoss, Diagnosis, InterruptedSend, ProbeResult};
use silversail_serving::dispatcher::{RequestNumber, SendOutcome};

/// Time since the previous tick above which this process was paused, in milliseconds.
const MAX_TICK_DELAY: Millis = 500;

impl GatewayActor {
    /// Handles lost connections to a back end, which is probed to find out whether it crashed.
    pub(super) fn handle_connection_loss(&mut self, connection_loss: ConnectionLoss, now: Millis) {
        match self.crash_reporter.connection_lost(connection_loss, now) {
            DiagnosisProgress::Probe(probe) => self.setup.calls.probe(probe),
            DiagnosisProgress::Pending => {}
            DiagnosisProgress::Complete(diagnosis) => self.handle_diagnosis(&diagnosis, now),
        }
    }

    pub(super) fn handle_probe_result(&mut self, instance: &str, result: ProbeResult, now: Millis) {
        if let Some(diagnosis) = self.crash_reporter.probe_finished(instance, result) {
            self.handle_diagnosis(&diagnosis, now);
        }
        self.record_probe(instance, result, now);
    }

    fn handle_diagnosis(&mut self, diagnosis: &Diagnosis, now: Millis) {
        let sends = diagnosis.sends.iter();
        self.setup.log.record(LogEvent::BrokeOff {
            backend: diagnosis.instance.clone(),
            service: diagnosis.service.clone(),
            cause: diagnosis.answer.cause().to_owned(),
            after_ms: now.saturating_sub(diagnosis.lost_at),
            requests: sends.clone().map(|send| send.request.clone()).collect(),
            fingerprints: sends
                .clone()
                .map(|send| send.fingerprint.to_string())
                .collect(),
            answered_for_ms: sends
                .map(|send| answered_for(send, diagnosis.lost_at))
                .collect(),
        });
        self.crash_reporter.count_lost_connections(diagnosis);
        if diagnosis.answer == ProbeResult::Refused {
            self.confirm_crash(diagnosis.clone(), now);
        }
    }

    /// Reports that a back end crashed.
    pub(super) fn report_crash(&mut self, diagnosis: &Diagnosis, now: Millis) {
        let quarantine = &mut self.dispatcher.quarantine;
        if self.crash_reporter.report_crash(diagnosis, quarantine, now) {
            self.reject_quarantined(now);
        }
    }

    /// Records a complete, successful answer as evidence that the request does not crash back
    /// ends.
    pub(super) fn record_send_success(
        &mut self,
        number: RequestNumber,
        outcome: SendOutcome,
        now: Millis,
    ) {
        let is_success = matches!(
            outcome,
            SendOutcome::Delivered { status: 200..=299, end } if end.is_whole()
        );
        if !is_success {
            return;
        }
        if let Some(answered) = self.dispatcher.answered_request(number, now) {
            let quarantine = &self.dispatcher.quarantine;
            self.crash_reporter.request_answered(&answered, quarantine);
        }
        let fingerprint = self.dispatcher.fingerprint_of(number);
        if let Some(fingerprint) = fingerprint {
            let quarantine = &mut self.dispatcher.quarantine;
            self.crash_reporter
                .request_completed(fingerprint, quarantine);
        }
    }

    /// Records answers that have gone on for long enough, and reports those that concern suspected
    /// attributes. After a pause of this process, connections that have ended may not have been
    /// noticed yet.
    pub(super) fn record_lasting_answers(&mut self, now: Millis) {
        let ticked_at = std::mem::replace(&mut self.lasting_answers_checked_at, now);
        if now.saturating_sub(ticked_at) > MAX_TICK_DELAY {
            return;
        }
        for answered in self.dispatcher.take_lasting_answers(now) {
            let quarantine = &self.dispatcher.quarantine;
            self.crash_reporter.request_answered(&answered, quarantine);
        }
        self.crash_reporter.report_answers_if_due(now);
    }

    /// Applies the current list of refused requests.
    pub(super) fn apply_quarantine(&mut self, now: Millis) {
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
        self.reject_quarantined(now);
    }

    /// Rejects waiting requests and orders that are now quarantined.
    fn reject_quarantined(&mut self, now: Millis) {
        let actions = self.dispatcher.reject_quarantined(now);
        self.apply_actions(actions, now);
        let finished = self.batcher.reject_quarantined(&self.dispatcher.quarantine);
        self.handle_finished_orders(finished, now);
    }
}

/// Time for which the answer to a request had gone on, in milliseconds; none if it had not begun.
fn answered_for(send: &InterruptedSend, lost_at: Millis) -> Option<Millis> {
    let began_at = send.prompt.as_ref()?.answer_began_at?;
    Some(lost_at.saturating_sub(began_at))
}
