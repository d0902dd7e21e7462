//! What a process finds out and tells of back ends that crash; shared by the paths that send.

use crate::metrics::Metrics;
use crate::session::SharedNodeState;
use silversail_consensus::Millis;
use silversail_model::RequestFingerprint;
use silversail_serving::crashes::{
    ConnectionLoss, ConnectionLossAction, CrashDetector, Diagnosis, Probe, ProbeResult,
};
use silversail_serving::quarantine::RequestQuarantine;
use stakker::{fwd, fwd_nop, Fwd};
use std::sync::Arc;

/// What comes of connections that broke off.
pub enum DiagnosisProgress {
    /// The back end is to be asked for a connection.
    Probe(Probe),
    /// It is being asked.
    Pending,
    /// It is known why they broke off.
    Complete(Diagnosis),
}

/// Finds out why connections break off, and tells of crashes.
pub struct CrashReporter {
    watch: CrashDetector,
    state: SharedNodeState,
    metrics: Arc<Metrics>,
    /// Has a heartbeat sent at once.
    heartbeat_trigger: Fwd<()>,
}

impl CrashReporter {
    /// A reporter that tells with the process's heartbeats.
    pub fn new(state: SharedNodeState, metrics: Arc<Metrics>) -> Self {
        Self {
            watch: CrashDetector::default(),
            state,
            metrics,
            heartbeat_trigger: fwd_nop!(),
        }
    }

    /// Takes what has a heartbeat sent at once.
    pub fn set_heartbeat_trigger(&mut self, heartbeat_trigger: Fwd<()>) {
        self.heartbeat_trigger = heartbeat_trigger;
    }

    /// Requests broke off at a back end.
    pub fn connection_lost(&mut self, broken: ConnectionLoss, now: Millis) -> DiagnosisProgress {
        match self.watch.connection_lost(broken, now) {
            ConnectionLossAction::Probe(probe) => DiagnosisProgress::Probe(probe),
            ConnectionLossAction::Wait => DiagnosisProgress::Pending,
            ConnectionLossAction::Known(diagnosis) => DiagnosisProgress::Complete(diagnosis),
        }
    }

    /// A back end was asked for a connection.
    pub fn probe_finished(&mut self, backend: &str, answer: ProbeResult) -> Option<Diagnosis> {
        self.watch.probe_finished(backend, answer)
    }

    /// Counts what broke off. Where the back end ended, its suspects count in `quarantine` at
    /// once and are told; true then.
    pub fn report_crash(
        &mut self,
        diagnosis: &Diagnosis,
        quarantine: &mut RequestQuarantine,
        now: Millis,
    ) -> bool {
        let labels = [diagnosis.service.as_str(), diagnosis.answer.cause()];
        let counter = &self.metrics.broken_connections;
        counter
            .with_label_values(&labels)
            .inc_by(diagnosis.sends.len() as u64);
        if diagnosis.answer != ProbeResult::Refused {
            return false;
        }
        let backend = &diagnosis.instance;
        let sends = diagnosis.sends.iter().map(|one| one.fingerprint);
        let suspects = quarantine.crashed(backend, sends, now);
        if suspects.is_empty() {
            return false;
        }
        let news = &mut self.state.borrow_mut().crash_news;
        news.crashed(backend, diagnosis.lost_at, suspects, now);
        fwd!([self.heartbeat_trigger], ());
        true
    }

    /// A request got a whole answer, so it crashes nothing; told where others are to know.
    pub fn request_completed(
        &mut self,
        fingerprint: RequestFingerprint,
        quarantine: &mut RequestQuarantine,
    ) {
        if quarantine.ended_well(fingerprint) {
            let news = &mut self.state.borrow_mut().crash_news;
            news.answered_whole(fingerprint);
        }
    }
}
