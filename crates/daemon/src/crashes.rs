//! Detection and reporting of back-end crashes, shared by pipeline and pass-through requests.

use crate::metrics::Metrics;
use crate::session::SharedNodeState;
use silversail_consensus::Millis;
use silversail_model::RequestFingerprint;
use silversail_quarantine::{BackendGroup, InterruptedRequest};
use silversail_serving::crashes::{
    ConnectionLoss, ConnectionLossAction, CrashDetector, Diagnosis, Probe, ProbeResult,
};
use silversail_serving::dispatcher::{AnsweredRequest, LASTING_ANSWER};
use silversail_serving::quarantine::RequestQuarantine;
use stakker::{fwd, fwd_nop, Fwd};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Progress of the diagnosis of a lost connection.
pub enum DiagnosisProgress {
    /// The back end has to be probed.
    Probe(Probe),
    /// A probe of the back end is in progress.
    Pending,
    /// The cause of the connection loss is known.
    Complete(Diagnosis),
}

/// Diagnoses lost connections and reports crashes.
pub struct CrashReporter {
    detector: CrashDetector,
    state: SharedNodeState,
    metrics: Arc<Metrics>,
    /// Sends a heartbeat at once.
    heartbeat_trigger: Fwd<()>,
    /// Reports answers to requests with suspected attributes.
    answer_report_trigger: Fwd<()>,
}

impl CrashReporter {
    /// A reporter whose reports are sent with the process's heartbeats.
    pub fn new(state: SharedNodeState, metrics: Arc<Metrics>) -> Self {
        Self {
            detector: CrashDetector::default(),
            state,
            metrics,
            heartbeat_trigger: fwd_nop!(),
            answer_report_trigger: fwd_nop!(),
        }
    }

    /// Sets the callback that sends a heartbeat at once.
    pub fn set_heartbeat_trigger(&mut self, heartbeat_trigger: Fwd<()>) {
        self.heartbeat_trigger = heartbeat_trigger;
    }

    /// Sets the callback that reports answers to requests with suspected attributes.
    pub fn set_answer_report_trigger(&mut self, answer_report_trigger: Fwd<()>) {
        self.answer_report_trigger = answer_report_trigger;
    }

    /// Records requests whose connections to a back end were lost.
    pub fn connection_lost(&mut self, loss: ConnectionLoss, now: Millis) -> DiagnosisProgress {
        match self.detector.connection_lost(loss, now) {
            ConnectionLossAction::Probe(probe) => DiagnosisProgress::Probe(probe),
            ConnectionLossAction::Wait => DiagnosisProgress::Pending,
            ConnectionLossAction::Known(diagnosis) => DiagnosisProgress::Complete(diagnosis),
        }
    }

    /// Records the result of a probe, and returns the diagnosis if one was pending.
    pub fn probe_finished(&mut self, backend: &str, answer: ProbeResult) -> Option<Diagnosis> {
        self.detector.probe_finished(backend, answer)
    }

    /// Counts the lost connections of a diagnosis.
    pub fn count_lost_connections(&self, diagnosis: &Diagnosis) {
        let labels = [diagnosis.service.as_str(), diagnosis.answer.cause()];
        let counter = &self.metrics.broken_connections;
        counter
            .with_label_values(&labels)
            .inc_by(diagnosis.sends.len() as u64);
    }

    /// If the back end crashed, adds its suspects to `quarantine` and reports them at once. Returns
    /// whether a crash was reported.
    pub fn report_crash(
        &mut self,
        diagnosis: &Diagnosis,
        quarantine: &mut RequestQuarantine,
        now: Millis,
    ) -> bool {
        if diagnosis.answer != ProbeResult::Refused {
            return false;
        }
        self.record_interrupted_attributes(diagnosis);
        let backend = &diagnosis.instance;
        let sends = diagnosis.sends.iter().map(|send| send.fingerprint);
        let suspects = quarantine.record_crash(backend, sends, now);
        if !suspects.is_empty() {
            let news = &mut self.state.borrow_mut().pending_crash_reports;
            news.record_crash(backend, diagnosis.lost_at, suspects, now);
        }
        fwd!([self.heartbeat_trigger], ());
        true
    }

    /// Records the attributes of interrupted requests whose answers had not gone on for long enough
    /// to show that they crash nothing.
    fn record_interrupted_attributes(&self, diagnosis: &Diagnosis) {
        let mut by_group: BTreeMap<BackendGroup, Vec<InterruptedRequest>> = BTreeMap::new();
        for send in &diagnosis.sends {
            let Some(prompt) = &send.prompt else {
                continue;
            };
            let is_lasting = prompt.answer_began_at.is_some_and(|began_at| {
                diagnosis.lost_at.saturating_sub(began_at) >= LASTING_ANSWER
            });
            if is_lasting || prompt.attributes.is_empty() {
                continue;
            }
            let group = BackendGroup {
                service: diagnosis.service.clone(),
                version: prompt.version.clone(),
            };
            by_group.entry(group).or_default().push(InterruptedRequest {
                fingerprint: send.fingerprint,
                tenant: prompt.tenant.clone(),
                attributes: prompt.attributes.clone(),
            });
        }
        let reporter = &mut self.state.borrow_mut().attribute_reporter;
        for (group, requests) in by_group {
            reporter.record_crash(&diagnosis.instance, &group, diagnosis.lost_at, requests);
        }
    }

    /// Records that the answer to a request was whole, or went on for long enough. Reported if its
    /// attributes are suspected.
    pub fn request_answered(&mut self, answered: &AnsweredRequest, quarantine: &RequestQuarantine) {
        let state = &mut *self.state.borrow_mut();
        let attributes = answered.attributes.iter().copied();
        let reporter = &mut state.attribute_reporter;
        reporter.record_answer(&answered.group, attributes, answered.began_at);
        for fingerprint in &answered.fingerprints {
            if quarantine.watches(fingerprint) {
                let news = &mut state.pending_crash_reports;
                news.record_completed_request(*fingerprint);
            }
        }
    }

    /// Reports answers to requests with suspected attributes if that is due.
    pub fn report_answers_if_due(&self, now: Millis) {
        let state = self.state.borrow();
        if state.attribute_reporter.is_answer_report_due(now) {
            fwd!([self.answer_report_trigger], ());
        }
    }

    /// Records that a request was answered completely and so did not crash its back end; reported
    /// if other nodes need to know.
    pub fn request_completed(
        &mut self,
        fingerprint: RequestFingerprint,
        quarantine: &mut RequestQuarantine,
    ) {
        if quarantine.record_success(fingerprint) {
            let news = &mut self.state.borrow_mut().pending_crash_reports;
            news.record_completed_request(fingerprint);
        }
    }
}
