//! Bodies of the answers to callers.

use crate::requests::active::StageReport;
use serde::Serialize;
use serde_json::Value;
use silversail_model::{Outcome, ResultCode};

/// Content type of complete answers and errors.
pub const JSON_CONTENT_TYPE: &str = "application/json";
/// Content type of streamed answers.
pub const EVENT_STREAM_CONTENT_TYPE: &str = "text/event-stream";

/// Report of one stage in a complete answer.
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

/// Body of a complete answer.
#[derive(Serialize)]
pub struct CompletedBody<'a> {
    /// Request identifier.
    pub request_id: &'a str,
    /// Name of the pipeline.
    pub pipeline: &'a str,
    /// Always `completed`.
    pub outcome: Outcome,
    /// Numeric result code.
    pub code: u16,
    /// Output of the last stage.
    pub output: &'a Value,
    /// Reports of the stages.
    pub stages: Vec<StageAnswer<'a>>,
}

/// Body of an error answer.
#[derive(Clone, Debug, Serialize)]
pub struct ErrorBody {
    /// Request identifier.
    pub request_id: String,
    /// Whether the request ran, failed, or has an unknown effect.
    pub outcome: Outcome,
    /// Numeric result code.
    pub code: u16,
    /// Reason of the code, for programs.
    pub reason: &'static str,
    /// Details, for people.
    pub message: String,
    /// Time after which the caller may retry, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Token to send as `Silversail-Retry-Token` with a retry of the same key.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_token: Option<String>,
}

impl ErrorBody {
    /// Body with the outcome, number and reason of `code`.
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

    /// Encodes the body as JSON.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("the body encodes")
    }
}

/// Encodes one server-sent event.
pub fn server_sent_event(name: &str, data: &[u8]) -> Vec<u8> {
    let mut bytes = format!("event: {name}\ndata: ").into_bytes();
    bytes.extend_from_slice(data);
    bytes.extend_from_slice(b"\n\n");
    bytes
}
