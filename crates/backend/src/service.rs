//! Client for services that take one JSON call over HTTP.
//!
//! `POST /v1/call` takes `attempt`, `stage`, `input` and `previous`, and answers `attempt`, `output`
//! and `cost_ms`. A service that rejects a call without running it answers 429, or 503 with `not_run`
//! set.

use crate::agent::{classify_transport_error, Agents};
use crate::call::{CallFailure, StageCall, StageOutput};
use crate::guard::{send_guarded, CallGuard, SendResult};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::io::Read;

/// Maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: u64 = 8 << 20;

#[derive(Serialize)]
struct CallBody<'a> {
    attempt: &'a str,
    stage: &'a str,
    input: &'a Value,
    previous: &'a Value,
}

#[derive(Deserialize)]
struct AnswerBody {
    attempt: String,
    output: Value,
    #[serde(default)]
    cost_ms: f64,
}

#[derive(Deserialize, Default)]
struct RejectionBody {
    #[serde(default)]
    not_run: bool,
}

/// Runs a call. Blocks until the answer, the deadline or an error.
///
/// # Errors
///
/// If the call produced no output; the error tells whether the service may have run it.
pub fn call(
    agents: &Agents,
    call: &StageCall,
    guard: &dyn CallGuard,
) -> Result<StageOutput, CallFailure> {
    if call.is_cancelled() {
        return Err(CallFailure::Cancelled);
    }
    let remaining = call.remaining();
    if remaining.is_zero() {
        return Err(CallFailure::NotRun("deadline passed before sending".into()));
    }
    let body = CallBody {
        attempt: &call.attempt,
        stage: &call.stage,
        input: &call.input,
        previous: &call.previous,
    };
    let encoded = serde_json::to_vec(&body).expect("JSON values encode");
    let request = agents
        .for_call(call.repeatable)
        .post(&format!("http://{}/v1/call", call.address))
        .set("content-type", "application/json")
        .timeout(remaining);
    match send_guarded(guard, request, Some(&encoded))? {
        SendResult::Succeeded(response) => parse_answer(response, call),
        SendResult::ErrorStatus(status, response) => Err(rejection_failure(status, response, call)),
        SendResult::NoAnswer(error) => {
            Err(with_deadline_check(classify_transport_error(&error), call))
        }
    }
}

fn with_deadline_check(failure: CallFailure, call: &StageCall) -> CallFailure {
    match failure {
        CallFailure::AnswerLost(_) if call.remaining().is_zero() => CallFailure::DeadlineExceeded,
        other => other,
    }
}

fn parse_answer(response: ureq::Response, call: &StageCall) -> Result<StageOutput, CallFailure> {
    let mut bytes = Vec::new();
    response
        .into_reader()
        .take(MAX_ANSWER_BYTES)
        .read_to_end(&mut bytes)
        .map_err(|error| with_deadline_check(CallFailure::AnswerLost(error.to_string()), call))?;
    let answer: AnswerBody =
        serde_json::from_slice(&bytes).map_err(|error| CallFailure::Protocol(error.to_string()))?;
    if answer.attempt != call.attempt {
        return Err(CallFailure::Protocol(format!(
            "answer belongs to attempt {}",
            answer.attempt
        )));
    }
    Ok(StageOutput {
        value: answer.output,
        cost_ms: answer.cost_ms,
        tokens: 0,
    })
}

fn rejection_failure(status: u16, response: ureq::Response, call: &StageCall) -> CallFailure {
    let body: RejectionBody = response
        .into_string()
        .ok()
        .and_then(|text| serde_json::from_str(&text).ok())
        .unwrap_or_default();
    // For calls that may be retried, 429 and 503 alone mean that the call was not run. For others
    // the service must state it explicitly.
    let was_not_run = body.not_run || (call.repeatable && matches!(status, 429 | 503));
    if was_not_run {
        CallFailure::NotRun(format!("status {status}"))
    } else {
        CallFailure::Failed(format!("status {status}"))
    }
}
