//! Requests that crash the back ends of pipelines: evidence, and what is not called any more. See
//! `silversail_quarantine`.

use crate::crashes::Finding;
use crate::requests::active::RequestNumber;
use crate::requests::actor::{OutstandingCall, RequestActor};
use silversail_consensus::Millis;
use silversail_serving::crashes::{ConnectionLoss, Diagnosis, InterruptedSend, ProbeResult};
use stakker::{Fwd, CX};

impl RequestActor {
    /// Takes what has a heartbeat sent at once.
    pub fn set_tell_at_once(&mut self, _: CX![], tell_at_once: Fwd<()>) {
        self.crashes.set_tell_at_once(tell_at_once);
    }

    /// Whether back ends crash under a request.
    pub(crate) fn is_quarantined(&self, number: RequestNumber) -> bool {
        let request = self.requests.get(&number);
        request.is_some_and(|request| self.quarantine.refuses(&request.fingerprint))
    }

    /// A call's connection broke off: whether its back end has ended is asked at once.
    pub(crate) fn call_broke_off(&mut self, outstanding: &OutstandingCall, now: Millis) {
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
            }],
        };
        match self.crashes.broke_off(broken, now) {
            Finding::Ask(probe) => self.setup.calls.probe(probe),
            Finding::Pending => {}
            Finding::Known(diagnosis) => self.diagnosed(&diagnosis, now),
        }
    }

    /// A back end at which calls broke off was tried anew.
    pub fn probed(&mut self, cx: CX![], backend: String, answer: ProbeResult) {
        let now = self.now_millis(cx);
        if let Some(diagnosis) = self.crashes.probed(&backend, answer) {
            self.diagnosed(&diagnosis, now);
        }
        self.settle(cx);
    }

    fn diagnosed(&mut self, diagnosis: &Diagnosis, now: Millis) {
        let cause = diagnosis.answer.cause();
        log::info!(event = "broke_off", backend = diagnosis.instance.as_str(), cause = cause, calls = diagnosis.sends.len(); "calls broke off");
        self.crashes.report(diagnosis, &mut self.quarantine, now);
    }

    /// Takes the list of refused requests in force.
    pub(crate) fn follow_quarantine(&mut self) {
        let list = self.setup.state.borrow().quarantine.clone();
        if let Some(list) = list {
            self.quarantine.update(list);
        }
    }
}
