//! Pipeline requests that crash back ends: evidence of crashes, and quarantine. See
//! `silversail_quarantine`.

use crate::crashes::DiagnosisProgress;
use crate::requests::active::RequestNumber;
use crate::requests::actor::{OutstandingCall, RequestActor};
use silversail_consensus::Millis;
use silversail_serving::crashes::{ConnectionLoss, Diagnosis, InterruptedSend, ProbeResult};
use stakker::{Fwd, CX};

impl RequestActor {
    /// Sets the trigger that sends a heartbeat at once, so that crashes are reported without delay.
    pub fn set_heartbeat_trigger(&mut self, _: CX![], heartbeat_trigger: Fwd<()>) {
        self.crashes.set_heartbeat_trigger(heartbeat_trigger);
    }

    /// Whether the request is quarantined because it crashes back ends.
    pub(crate) fn is_quarantined(&self, number: RequestNumber) -> bool {
        let request = self.requests.get(&number);
        request.is_some_and(|request| self.quarantine.refuses(&request.fingerprint))
    }

    /// Handles the lost connection of a call: probes the back end to find out whether it crashed.
    pub(crate) fn connection_lost(&mut self, outstanding: &OutstandingCall, now: Millis) {
        let Some(request) = self.requests.get(&outstanding.request) else {
            return;
        };
        let broken = ConnectionLoss {
            instance: outstanding.backend.0.clone(),
            service: request.pipeline.name.0.clone(),
            address: outstanding.address.clone(),
            sends: vec![InterruptedSend {
                request: request.request_id.clone(),
                fingerprint: request.fingerprint,
                prompt: None,
            }],
        };
        match self.crashes.connection_lost(broken, now) {
            DiagnosisProgress::Probe(probe) => self.setup.calls.probe(probe),
            DiagnosisProgress::Pending => {}
            DiagnosisProgress::Complete(diagnosis) => self.apply_diagnosis(&diagnosis, now),
        }
    }

    /// Handles the result of a probe.
    pub fn probe_finished(&mut self, cx: CX![], backend: String, answer: ProbeResult) {
        let now = self.now_millis(cx);
        if let Some(diagnosis) = self.crashes.probe_finished(&backend, answer) {
            self.apply_diagnosis(&diagnosis, now);
        }
        self.dispatch_and_update_gauges(cx);
    }

    fn apply_diagnosis(&mut self, diagnosis: &Diagnosis, now: Millis) {
        let cause = diagnosis.answer.cause();
        log::info!(event = "broke_off", backend = diagnosis.instance.as_str(), cause = cause, calls = diagnosis.sends.len(); "connections to a back end were lost");
        self.crashes.count_lost_connections(diagnosis);
        if self.setup.state.borrow().cut_off_from_backends {
            return;
        }
        self.crashes
            .report_crash(diagnosis, &mut self.quarantine, now);
    }

    /// Applies the quarantine list of the node state.
    pub(crate) fn apply_quarantine_list(&mut self) {
        let list = self.setup.state.borrow().quarantine.clone();
        if let Some(list) = list {
            self.quarantine.update(list);
        }
    }
}
