//! The bodies of answers.

use crate::requests::active::StageReport;
use serde::Serialize;
use serde_json::Value;
use silversail_model::{Outcome, ResultCode};

/// Content type of JSON answers.
pub const JSON_CONTENT_TYPE: &str = "application/json";
/// Content type of streamed answers.
pub const EVENT_STREAM_CONTENT_TYPE: &str = "text/event-stream";

/// One stage of a whole answer.
#[derive(Serialize)]
pub struct StageAnswer<'a> {
    stage: &'a str,
    kind: &'static str,
    backend: &'a str,
    attempts: u32,
    queue_ms: u64,
    service_ms: u64,
    cost_ms: f64,
    tokens: u32,
}

impl<'a> From<&'a StageReport> for StageAnswer<'a> {
    fn from(report: &'a StageReport) -> Self {
        Self {
            stage: report.stage.as_str(),
            kind: report.kind.as_str(),
            backend: report.backend.as_str(),
            attempts: report.attempts,
            queue_ms: report.queue_ms,
            service_ms: report.service_ms,
            cost_ms: report.cost_ms,
            tokens: report.tokens,
        }
    }
}

/// A whole answer.
#[derive(Serialize)]
pub struct CompletedBody<'a> {
    /// Identity of the request.
    pub request_id: &'a str,
    /// Pipeline.
    pub pipeline: &'a str,
    /// `completed`.
    pub outcome: Outcome,
    /// Numbered code.
    pub code: u16,
    /// Output of the last stage.
    pub output: &'a Value,
    /// What each stage took.
    pub stages: Vec<StageAnswer<'a>>,
}

/// An answer without output.
#[derive(Clone, Debug, Serialize)]
pub struct ErrorBody {
    /// Identity of the request.
    pub request_id: String,
    /// What is known of the effect.
    pub outcome: Outcome,
    /// Numbered code.
    pub code: u16,
    /// The code's reason.
    pub reason: &'static str,
    /// Details for people.
    pub message: String,
    /// When to come back, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// To be sent as `Silversail-Retry-Token` with a new try of the same key.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_token: Option<String>,
}

impl ErrorBody {
    /// The body for `code`.
    pub fn new(request_id: &str, code: ResultCode, message: impl Into<String>) -> Self {
        Self {
            request_id: request_id.to_owned(),
            outcome: code.outcome(),
            code: code.number(),
            reason: code.reason(),
            message: message.into(),
            retry_after_ms: None,
            retry_token: None,
        }
    }

    /// As JSON.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("the body encodes")
    }
}

/// One server-sent event.
pub fn event(name: &str, data: &[u8]) -> Vec<u8> {
    let mut bytes = format!("event: {name}\ndata: ").into_bytes();
    bytes.extend_from_slice(data);
    bytes.extend_from_slice(b"\n\n");
    bytes
}
