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
pub enum Finding {
    /// The back end is to be asked for a connection.
    Ask(Probe),
    /// It is being asked.
    Pending,
    /// It is known why they broke off.
    Known(Diagnosis),
}

/// Finds out why connections break off, and tells of crashes.
pub struct CrashReporter {
    watch: CrashDetector,
    state: SharedNodeState,
    metrics: Arc<Metrics>,
    /// Has a heartbeat sent at once.
    tell_at_once: Fwd<()>,
}

impl CrashReporter {
    /// A reporter that tells with the process's heartbeats.
    pub fn new(state: SharedNodeState, metrics: Arc<Metrics>) -> Self {
        Self {
            watch: CrashDetector::default(),
            state,
            metrics,
            tell_at_once: fwd_nop!(),
        }
    }

    /// Takes what has a heartbeat sent at once.
    pub fn set_tell_at_once(&mut self, tell_at_once: Fwd<()>) {
        self.tell_at_once = tell_at_once;
    }

    /// Requests broke off at a back end.
    pub fn broke_off(&mut self, broken: ConnectionLoss, now: Millis) -> Finding {
        match self.watch.connection_lost(broken, now) {
            ConnectionLossAction::Probe(probe) => Finding::Ask(probe),
            ConnectionLossAction::Wait => Finding::Pending,
            ConnectionLossAction::Known(diagnosis) => Finding::Known(diagnosis),
        }
    }

    /// A back end was asked for a connection.
    pub fn probed(&mut self, backend: &str, answer: ProbeResult) -> Option<Diagnosis> {
        self.watch.probe_finished(backend, answer)
    }

    /// Counts what broke off. Where the back end ended, its suspects count in `quarantine` at
    /// once and are told; true then.
    pub fn report(
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
        let suspects = quarantine.record_crash(backend, sends, now);
        if suspects.is_empty() {
            return false;
        }
        let news = &mut self.state.borrow_mut().crash_news;
        news.crashed(backend, diagnosis.lost_at, suspects, now);
        fwd!([self.tell_at_once], ());
        true
    }

    /// A request got a whole answer, so it crashes nothing; told where others are to know.
    pub fn ended_well(
        &mut self,
        fingerprint: RequestFingerprint,
        quarantine: &mut RequestQuarantine,
    ) {
        if quarantine.record_success(fingerprint) {
            let news = &mut self.state.borrow_mut().crash_news;
            news.answered_whole(fingerprint);
        }
    }
}
