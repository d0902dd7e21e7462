//! What callers and services saw, as the checker reads it.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// One answer, or the lack of one, to one call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallRecord {
    /// The call's identity, also carried in its input as `key`.
    pub key: String,
    /// The pipeline.
    #[serde(default)]
    pub pipeline: String,
    /// The outcome that the caller was told; none where no whole answer came.
    pub outcome: Option<String>,
    /// The numbered code.
    pub code: Option<u16>,
    /// The answer's output, where there is one.
    pub output: Option<Value>,
    /// Whether a stream ended without its completion event and without an error.
    #[serde(default)]
    pub ended_early: bool,
    /// Whether the call was sent with the token of an earlier refusal.
    #[serde(default)]
    pub retried_after_refusal: bool,
}

/// One call that a service ran.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunRecord {
    /// The service.
    pub service: String,
    /// The stage.
    #[serde(default)]
    pub stage: String,
    /// The attempt.
    pub attempt: String,
    /// The request's input.
    pub input: Value,
}

impl RunRecord {
    /// The key in the input.
    pub fn key(&self) -> Option<&str> {
        self.input.get("key")?.as_str()
    }
}

/// A revision that a node said it had in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RevisionRecord {
    /// The node.
    pub node: String,
    /// The revision.
    pub revision: u64,
}
