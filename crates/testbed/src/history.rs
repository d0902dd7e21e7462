//! Records of calls and executions, which the checker reads.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Result of one call, with or without an answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallRecord {
    /// Identity of the call, which its input contains as `key`.
    pub key: String,
    /// Name of the called pipeline.
    #[serde(default)]
    pub pipeline: String,
    /// Outcome in the answer; none without a complete answer.
    pub outcome: Option<String>,
    /// Numbered result code of the answer.
    pub code: Option<u16>,
    /// Output in the answer.
    pub output: Option<Value>,
    /// Whether a stream ended without its completion event and without an error.
    #[serde(default)]
    pub ended_early: bool,
    /// Whether the call was sent with the retry token of an earlier rejection.
    #[serde(default)]
    pub retried_after_refusal: bool,
}

/// One execution of a call by a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Name of the service.
    pub service: String,
    /// Name of the stage.
    #[serde(default)]
    pub stage: String,
    /// Identifier of the attempt.
    pub attempt: String,
    /// Input of the request.
    pub input: Value,
}

impl RunRecord {
    /// Identity of the call, from its input.
    pub fn key(&self) -> Option<&str> {
        self.input.get("key")?.as_str()
    }
}

/// A configuration revision that a node reported.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RevisionRecord {
    /// Name of the node.
    pub node: String,
    /// Reported revision.
    pub revision: u64,
}
