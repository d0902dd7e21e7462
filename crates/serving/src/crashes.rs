//! Crashes of back ends, as this node sees them.
//!
//! A connection that breaks off says little: the back end may have crashed, the link or this one
//! answer may have failed. So the back end is asked for another connection at once. One whose
//! machine refuses it has ended; one that accepts it lives; one that says nothing may be behind a
//! cut or without power, and is no crash of a process. Only what broke off at a back end that
//! ended counts as evidence against the requests which ran there.

use crate::instances::InstanceId;
use crate::Millis;
use silversail_model::RequestFingerprint;
use std::collections::BTreeMap;

/// For how long after the first connection broke off others belong to the same crash, in
/// milliseconds: most connections to an engine that ends break together, and a silent one shows
/// its end after 1,500 ms at the latest.
const SAME_CRASH_WITHIN: Millis = 2_000;

/// A request whose connection to a back end broke off.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InterruptedSend {
    /// The caller's identifier.
    pub request: String,
    /// What it is.
    pub fingerprint: RequestFingerprint,
}

/// Where requests broke off.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConnectionLoss {
    /// The back end.
    pub instance: InstanceId,
    /// Its service.
    pub service: String,
    /// Its address.
    pub address: String,
    /// The requests; several for a batch call.
    pub sends: Vec<InterruptedSend>,
}

/// What came of the attempt to connect to a back end anew.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// Its machine refused: nothing listens there any more.
    Refused,
    /// It was accepted.
    Accepted,
    /// Nothing came within the time.
    Silent,
}

impl ProbeResult {
    /// What it says of the connections that broke off, for logs and metrics.
    pub fn cause(self) -> &'static str {
        match self {
            ProbeResult::Refused => "crash",
            ProbeResult::Accepted => "connection",
            ProbeResult::Silent => "unknown",
        }
    }
}

/// A back end to which a connection is to be tried.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Probe {
    /// The back end.
    pub instance: InstanceId,
    /// Its address.
    pub address: String,
}

/// Connections of a back end that broke off, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnosis {
    /// The back end.
    pub instance: InstanceId,
    /// Its service.
    pub service: String,
    /// When the first of them broke off.
    pub lost_at: Millis,
    /// What the attempt to connect came to.
    pub answer: ProbeResult,
    /// The requests.
    pub sends: Vec<InterruptedSend>,
}

/// What comes of a connection that broke off.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConnectionLossAction {
    /// Try to connect, and tell the answer.
    Probe(Probe),
    /// A probe is under way.
    Wait,
    /// It is known already.
    Known(Diagnosis),
}

struct Watched {
    service: String,
    lost_at: Millis,
    /// None while the probe is under way.
    answer: Option<ProbeResult>,
    sends: Vec<InterruptedSend>,
}

/// Connections that broke off lately, by back end.
#[derive(Default)]
pub struct CrashDetector {
    watched: BTreeMap<InstanceId, Watched>,
}

impl CrashDetector {
    /// Requests broke off at a back end.
    pub fn connection_lost(&mut self, broken: ConnectionLoss, now: Millis) -> ConnectionLossAction {
        self.watched
            .retain(|_, one| now.saturating_sub(one.lost_at) < SAME_CRASH_WITHIN);
        let ConnectionLoss {
            instance,
            service,
            address,
            sends,
        } = broken;
        let Some(watched) = self.watched.get_mut(&instance) else {
            let watched = Watched {
                service,
                lost_at: now,
                answer: None,
                sends,
            };
            self.watched.insert(instance.clone(), watched);
            return ConnectionLossAction::Probe(Probe { instance, address });
        };
        match watched.answer {
            None => {
                watched.sends.extend(sends);
                ConnectionLossAction::Wait
            }
            // A back end that lives may have crashed since.
            Some(ProbeResult::Accepted | ProbeResult::Silent) => {
                watched.lost_at = now;
                watched.answer = None;
                watched.sends = sends;
                ConnectionLossAction::Probe(Probe { instance, address })
            }
            Some(answer) => ConnectionLossAction::Known(Diagnosis {
                instance,
                service,
                lost_at: watched.lost_at,
                answer,
                sends,
            }),
        }
    }

    /// A probe was answered.
    pub fn probe_finished(&mut self, instance: &str, answer: ProbeResult) -> Option<Diagnosis> {
        let watched = self.watched.get_mut(instance)?;
        if watched.answer.is_some() {
            return None;
        }
        watched.answer = Some(answer);
        Some(Diagnosis {
            instance: instance.to_owned(),
            service: watched.service.clone(),
            lost_at: watched.lost_at,
            answer,
            sends: std::mem::take(&mut watched.sends),
        })
    }
}
