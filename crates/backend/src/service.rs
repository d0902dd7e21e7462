//! Pools and plain services: one JSON call over HTTP.
//!
//! `POST /v1/call` takes `attempt`, `stage`, `input` and `previous`, and
//! answers `attempt`, `output` and `cost_ms`. A refusal before running is 429,
//! or 503 with `not_run` set.

use crate::agent::{classify_transport_error, Agents};
use crate::call::{CallFailure, StageCall, StageOutput};
use crate::guard::{send_guarded, CallGuard, Sent};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::io::Read;

/// Largest answer, in bytes.
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
struct RefusalBody {
    #[serde(default)]
    not_run: bool,
}

/// Runs a call; blocks until its answer, its deadline or an error.
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
        Sent::Succeeded(response) => read_answer(response, call),
        Sent::Refused(status, response) => Err(refusal(status, response, call)),
        Sent::Unanswered(error) => Err(after_deadline(classify_transport_error(&error), call)),
    }
}

fn after_deadline(failure: CallFailure, call: &StageCall) -> CallFailure {
    match failure {
        CallFailure::AnswerLost(_) if call.remaining().is_zero() => CallFailure::DeadlineExceeded,
        other => other,
    }
}

fn read_answer(response: ureq::Response, call: &StageCall) -> Result<StageOutput, CallFailure> {
    let mut bytes = Vec::new();
    response
        .into_reader()
        .take(MAX_ANSWER_BYTES)
        .read_to_end(&mut bytes)
        .map_err(|error| after_deadline(CallFailure::AnswerLost(error.to_string()), call))?;
    let answer: AnswerBody =
        serde_json::from_slice(&bytes).map_err(|error| CallFailure::Protocol(error.to_string()))?;
    if answer.attempt != call.attempt {
        return Err(CallFailure::Protocol(format!(
            "answer is for attempt {}",
            answer.attempt
        )));
    }
    Ok(StageOutput {
        value: answer.output,
        cost_ms: answer.cost_ms,
        tokens: 0,
    })
}

fn refusal(status: u16, response: ureq::Response, call: &StageCall) -> CallFailure {
    let body: RefusalBody = response
        .into_string()
        .ok()
        .and_then(|text| serde_json::from_str(&text).ok())
        .unwrap_or_default();
    // 429 and 503 are taken as "not processed" for calls that may be repeated
    // anyway; for others only the service's explicit word counts.
    let said_not_run = body.not_run || (call.repeatable && matches!(status, 429 | 503));
    if said_not_run {
        CallFailure::NotRun(format!("status {status}"))
    } else {
        CallFailure::Failed(format!("status {status}"))
    }
}
