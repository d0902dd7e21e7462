//! Reports on attributes of interrupted and answered requests. Times are ages, as clocks differ.

use super::BackendGroup;
use serde::{Deserialize, Serialize};
use silversail_model::{RequestAttribute, RequestFingerprint};

/// A request that a crash interrupted before its answer had gone on for long enough to show that it
/// crashes nothing.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct InterruptedRequest {
    /// Fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// Tenant of the caller; none on routes that need no API key.
    pub tenant: Option<String>,
    /// Attributes that other requests may share.
    pub attributes: Vec<RequestAttribute>,
}

/// A crash of a back end, as one node observed it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttributeCrashReport {
    /// Node that observed the crash.
    pub node: String,
    /// Name of the back end that crashed.
    pub backend: String,
    /// Group of the back end.
    pub group: BackendGroup,
    /// Time since the first of the requests was interrupted, in milliseconds.
    pub age_ms: u64,
    /// Interrupted requests.
    pub requests: Vec<InterruptedRequest>,
}

/// When a node's requests with watched attributes were last answered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnsweredAttributes {
    /// Back ends that answered.
    pub group: BackendGroup,
    /// Time since the beginning of the newest answer to any request, in milliseconds.
    pub age_ms: u64,
    /// Each attribute with the time since the beginning of the newest answer, in milliseconds.
    pub attributes: Vec<(RequestAttribute, u64)>,
}

/// Observations that a node sends to its relay, and a relay to the leader.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttributeReport {
    /// Recent crashes; each is reported repeatedly, as messages may be lost.
    pub crashes: Vec<AttributeCrashReport>,
    /// Answers to requests with watched attributes.
    pub answers: Vec<AnsweredAttributes>,
    /// Whether a relay forwards the report, so that it is not forwarded again.
    pub is_forwarded: bool,
}

impl AttributeReport {
    /// Whether the report tells nothing.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.answers.is_empty()
    }
}

/// Suspected attributes of which nodes report answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchedAttributes {
    /// Back ends that crashed.
    pub group: BackendGroup,
    /// Attributes that are suspected there.
    pub attributes: Vec<RequestAttribute>,
}

/// Messages about suspected attributes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttributeMessage {
    /// Node to relays, and relay to leader.
    Report(AttributeReport),
    /// Relay to nodes; replaces what was watched before.
    Watch(Vec<WatchedAttributes>),
}
