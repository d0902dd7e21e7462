//! Detection of back-end crashes by this node.
//!
//! A lost connection alone does not prove a crash: the link or a single answer may have failed.
//! Therefore each loss triggers a probe, a new connection to the back end. A refused probe means
//! that the process has ended, an accepted one that it is alive. An unanswered probe may be due to
//! a partition or power loss and does not count as a crash. Only losses at a crashed process are
//! evidence against the requests that it was running.

use crate::instances::InstanceId;
use crate::Millis;
use silversail_model::{RequestAttribute, RequestFingerprint};
use std::collections::BTreeMap;

/// Time after the first loss in which further losses belong to the same crash, in milliseconds: an
/// idle connection shows the end of its peer after up to 1,500 ms. Most connections to an engine
/// that ends break together.
const SAME_CRASH_WINDOW: Millis = 2_000;

/// The prompt of an interrupted request, and how far its answer had come.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InterruptedPrompt {
    /// Tenant of the caller; none on routes that need no API key.
    pub tenant: Option<String>,
    /// Software version of the back end.
    pub version: String,
    /// Attributes that other requests may share.
    pub attributes: Vec<RequestAttribute>,
    /// When the first byte of the answer arrived, in milliseconds of the local clock; none before
    /// that.
    pub answer_began_at: Option<Millis>,
}

/// A request that was interrupted by the loss of its connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InterruptedSend {
    /// Identifier that the caller gave the request.
    pub request: String,
    /// Fingerprint by which repetitions of the request are recognized.
    pub fingerprint: RequestFingerprint,
    /// Its prompt; none for a request without one.
    pub prompt: Option<InterruptedPrompt>,
}

/// The loss of a connection to a back end, with the affected requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConnectionLoss {
    /// Identifier of the back end.
    pub instance: InstanceId,
    /// Service of the back end.
    pub service: String,
    /// Network address of the back end.
    pub address: String,
    /// Interrupted requests; several for a batch call.
    pub sends: Vec<InterruptedSend>,
}

/// Result of a probe, the attempt to open a new connection to a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The connection was refused: no process listens on the address.
    Refused,
    /// The connection was accepted.
    Accepted,
    /// The connection was accepted and closed at once.
    Closed,
    /// The probe timed out.
    Silent,
}

impl ProbeResult {
    /// Cause of the connection losses that the result implies, as a label for logs and metrics.
    pub fn cause(self) -> &'static str {
        match self {
            ProbeResult::Refused => "crash",
            ProbeResult::Accepted | ProbeResult::Closed => "connection",
            ProbeResult::Silent => "unknown",
        }
    }
}

/// A back end that must be probed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Probe {
    /// Identifier of the back end.
    pub instance: InstanceId,
    /// Network address of the back end.
    pub address: String,
}

/// Connection losses of a back end with the result of its probe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnosis {
    /// Identifier of the back end.
    pub instance: InstanceId,
    /// Service of the back end.
    pub service: String,
    /// Time of the first loss, in milliseconds of the local clock.
    pub lost_at: Millis,
    /// Result of the probe.
    pub answer: ProbeResult,
    /// Interrupted requests.
    pub sends: Vec<InterruptedSend>,
}

/// Next action after a connection loss.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConnectionLossAction {
    /// Probe the back end and report the result.
    Probe(Probe),
    /// Wait for the probe in progress.
    Wait,
    /// Use the result of an earlier probe.
    Known(Diagnosis),
}

struct PendingDiagnosis {
    service: String,
    lost_at: Millis,
    /// None while the probe is in progress.
    answer: Option<ProbeResult>,
    sends: Vec<InterruptedSend>,
}

/// Correlates recent connection losses by back end and decides which were crashes.
#[derive(Default)]
pub struct CrashDetector {
    by_instance: BTreeMap<InstanceId, PendingDiagnosis>,
}

impl CrashDetector {
    /// Records a connection loss at `now` and returns the next action.
    pub fn connection_lost(&mut self, loss: ConnectionLoss, now: Millis) -> ConnectionLossAction {
        self.by_instance
            .retain(|_, diagnosis| now.saturating_sub(diagnosis.lost_at) < SAME_CRASH_WINDOW);
        let ConnectionLoss {
            instance,
            service,
            address,
            sends,
        } = loss;
        let Some(diagnosis) = self.by_instance.get_mut(&instance) else {
            let diagnosis = PendingDiagnosis {
                service,
                lost_at: now,
                answer: None,
                sends,
            };
            self.by_instance.insert(instance.clone(), diagnosis);
            return ConnectionLossAction::Probe(Probe { instance, address });
        };
        match diagnosis.answer {
            None => {
                diagnosis.sends.extend(sends);
                ConnectionLossAction::Wait
            }
            // A back end that was alive may have crashed since.
            Some(ProbeResult::Accepted | ProbeResult::Silent) => {
                diagnosis.lost_at = now;
                diagnosis.answer = None;
                diagnosis.sends = sends;
                ConnectionLossAction::Probe(Probe { instance, address })
            }
            Some(answer) => ConnectionLossAction::Known(Diagnosis {
                instance,
                service,
                lost_at: diagnosis.lost_at,
                answer,
                sends,
            }),
        }
    }

    /// Records a probe result. None if no probe of the back end is in progress.
    pub fn probe_finished(&mut self, instance: &str, answer: ProbeResult) -> Option<Diagnosis> {
        let diagnosis = self.by_instance.get_mut(instance)?;
        if diagnosis.answer.is_some() {
            return None;
        }
        diagnosis.answer = Some(answer);
        Some(Diagnosis {
            instance: instance.to_owned(),
            service: diagnosis.service.clone(),
            lost_at: diagnosis.lost_at,
            answer,
            sends: std::mem::take(&mut diagnosis.sends),
        })
    }
}
