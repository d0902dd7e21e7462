//! Client for model engines, which stream completions as server-sent events.
//!
//! `POST /v1/completions` takes `request_id`, `model`, `prompt`, `max_tokens`, `priority`, `stream`
//! and, to resume a stream, `resume_from`. Events carry `id`, `sequence` and `choices[0].text`. The
//! last event carries `finish_reason` and `usage`, and `data: [DONE]` ends the stream.

use crate::agent::{classify_transport_error, Agents};
use crate::call::{CallFailure, StageCall, StageOutput, TokenSink};
use crate::guard::{send_guarded, CallGuard, SendResult};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::io::{self, BufRead, BufReader, Read};
use std::time::Duration;

const END_MARKER: &str = "[DONE]";
const DATA_FIELD: &str = "data:";
const LOAD_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum size of a line of a stream, which carries one token, in bytes.
const MAX_LINE_BYTES: usize = 1 << 20;
/// Maximum number of times that an interrupted stream is resumed at the same engine.
const MAX_RESUMES: u32 = 2;

/// Load that an engine reports.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct EngineLoad {
    /// Number of running sequences.
    pub running: u32,
    /// Number of queued sequences.
    pub waiting: u32,
    /// Loaded models; empty if the engine does not report them.
    #[serde(default)]
    pub models: Vec<String>,
}

#[derive(Serialize)]
struct CompletionBody<'a> {
    request_id: &'a str,
    model: &'a str,
    prompt: &'a str,
    max_tokens: u32,
    priority: i64,
    stream: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    resume_from: Option<u64>,
}

#[derive(Deserialize)]
struct Event {
    id: String,
    sequence: u64,
    choices: Vec<Choice>,
    #[serde(default)]
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    text: String,
    #[serde(default)]
    finish_reason: Option<String>,
}

#[derive(Deserialize)]
struct Usage {
    #[serde(default)]
    cost_ms: f64,
}

/// How a stream ended on one of its connections.
enum StreamEnd {
    Complete,
    Interrupted(String),
}

/// Part of a stream that has been received over all its connections.
struct StreamProgress<'a> {
    text: String,
    tokens: u64,
    cost_ms: f64,
    is_finished: bool,
    sink: &'a mut dyn TokenSink,
}

/// Runs a generation. Blocks until the end marker, the deadline or an error. An interrupted stream
/// is resumed at the next token.
///
/// # Errors
///
/// If the engine rejected the call, or the stream could not be completed.
pub fn generate(
    agents: &Agents,
    call: &StageCall,
    sink: &mut dyn TokenSink,
    guard: &dyn CallGuard,
) -> Result<StageOutput, CallFailure> {
    let prompt = build_prompt(call);
    let mut progress = StreamProgress {
        text: String::new(),
        tokens: 0,
        cost_ms: 0.0,
        is_finished: false,
        sink,
    };
    let mut resumes = 0;
    loop {
        let resume_from = (resumes > 0).then_some(progress.tokens);
        let end = match open_stream(agents, call, &prompt, resume_from, guard) {
            Ok(response) => read_stream(response, call, &mut progress)?,
            // A rejected resume leaves the stream incomplete.
            Err(CallFailure::NotRun(detail)) if resumes > 0 => StreamEnd::Interrupted(detail),
            Err(failure @ CallFailure::BackendUnavailable) if resumes > 0 => {
                return Err(CallFailure::AnswerLost(failure.to_string()));
            }
            Err(failure) => return Err(failure),
        };
        match end {
            StreamEnd::Complete => return Ok(progress.into_output()),
            StreamEnd::Interrupted(detail) if resumes == MAX_RESUMES => {
                return Err(CallFailure::AnswerLost(detail))
            }
            StreamEnd::Interrupted(_) => resumes += 1,
        }
    }
}

impl StreamProgress<'_> {
    fn into_output(self) -> StageOutput {
        StageOutput {
            value: Value::String(self.text),
            cost_ms: self.cost_ms,
            tokens: self.tokens as u32,
        }
    }
}

/// Builds the prompt from the input and the outputs of the preceding stages. The encoding is
/// deterministic, so that engines can share the cached prefix of prompts that begin alike.
fn build_prompt(call: &StageCall) -> String {
    let input = match &call.input {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    format!("{}\n{}", input, call.previous)
}

fn open_stream(
    agents: &Agents,
    call: &StageCall,
    prompt: &str,
    resume_from: Option<u64>,
    guard: &dyn CallGuard,
) -> Result<ureq::Response, CallFailure> {
    if call.is_cancelled() {
        return Err(CallFailure::Cancelled);
    }
    let remaining = call.remaining();
    if remaining.is_zero() {
        return Err(CallFailure::DeadlineExceeded);
    }
    let body = CompletionBody {
        request_id: &call.attempt,
        model: call.model.as_deref().unwrap_or_default(),
        prompt,
        max_tokens: call.max_tokens,
        priority: call.priority,
        stream: true,
        resume_from,
    };
    let encoded = serde_json::to_vec(&body).expect("JSON values encode");
    let request = agents
        .pooled
        .post(&format!("http://{}/v1/completions", call.address))
        .set("content-type", "application/json")
        .timeout(remaining);
    match send_guarded(guard, request, Some(&encoded))? {
        SendResult::Succeeded(response) => Ok(response),
        SendResult::ErrorStatus(status @ (429 | 503 | 404), _) => {
            Err(CallFailure::NotRun(format!("status {status}")))
        }
        SendResult::ErrorStatus(status, _) => Err(CallFailure::Failed(format!("status {status}"))),
        SendResult::NoAnswer(error) => Err(classify_transport_error(&error)),
    }
}

fn read_stream(
    response: ureq::Response,
    call: &StageCall,
    progress: &mut StreamProgress<'_>,
) -> Result<StreamEnd, CallFailure> {
    let mut reader = BufReader::new(response.into_reader());
    let mut line = String::new();
    loop {
        if call.is_cancelled() {
            return Err(CallFailure::Cancelled);
        }
        line.clear();
        match read_bounded_line(&mut reader, &mut line) {
            Ok(0) => break,
            Ok(_) => {}
            Err(_) if call.remaining().is_zero() => return Err(CallFailure::DeadlineExceeded),
            Err(error) => return Ok(StreamEnd::Interrupted(error.to_string())),
        }
        if line.len() > MAX_LINE_BYTES {
            return Err(CallFailure::Protocol("line of a stream too long".into()));
        }
        let data = line.strip_prefix(DATA_FIELD).map(str::trim);
        if data == Some(END_MARKER) {
            // The stream is complete only if the last token preceded the end marker.
            return match progress.is_finished {
                true => Ok(StreamEnd::Complete),
                false => Ok(StreamEnd::Interrupted(
                    "end marker before the last token".into(),
                )),
            };
        }
        if !line.ends_with('\n') {
            return Ok(StreamEnd::Interrupted(
                "connection closed inside an event".into(),
            ));
        }
        if let Some(data) = data {
            apply_event(data, call, progress)?;
        }
    }
    Ok(StreamEnd::Interrupted(
        "connection closed before the end marker".into(),
    ))
}

/// Reads a line; of a longer one than the maximum, one byte more than that.
fn read_bounded_line(reader: &mut impl BufRead, line: &mut String) -> io::Result<usize> {
    let max_bytes = MAX_LINE_BYTES as u64 + 1;
    reader.take(max_bytes).read_line(line)
}

fn apply_event(
    data: &str,
    call: &StageCall,
    progress: &mut StreamProgress<'_>,
) -> Result<(), CallFailure> {
    let event: Event =
        serde_json::from_str(data).map_err(|error| CallFailure::Protocol(error.to_string()))?;
    if event.id != call.attempt {
        return Err(CallFailure::Protocol(format!(
            "event belongs to attempt {}",
            event.id
        )));
    }
    let Some(choice) = event.choices.first() else {
        return Err(CallFailure::Protocol("event has no choices".into()));
    };
    if let Some(usage) = event.usage {
        progress.cost_ms += usage.cost_ms;
    }
    if choice.finish_reason.is_some() {
        progress.is_finished = event.sequence == progress.tokens;
        return Ok(());
    }
    if event.sequence < progress.tokens {
        // The engine repeated a token after a resume.
        return Ok(());
    }
    if event.sequence > progress.tokens {
        return Err(CallFailure::Protocol(format!(
            "received token {} instead of {}",
            event.sequence, progress.tokens
        )));
    }
    if event.sequence >= u64::from(call.max_tokens.max(1)) {
        return Err(CallFailure::Protocol("more tokens than asked for".into()));
    }
    progress.text.push_str(&choice.text);
    progress.sink.token(event.sequence, &choice.text);
    progress.tokens += 1;
    Ok(())
}

/// Cancels the stream of an attempt at an engine. Errors are ignored.
pub fn cancel(agents: &Agents, address: &str, attempt: &str, guard: &dyn CallGuard) {
    let url = format!("http://{address}/v1/cancel");
    let body = json!({ "request_id": attempt }).to_string();
    let request = agents.pooled.post(&url).timeout(LOAD_TIMEOUT);
    // Best effort: without the cancellation the stream ends at its last token.
    let _ = send_guarded(guard, request, Some(body.as_bytes()));
}

/// Fetches the load of an engine.
///
/// # Errors
///
/// If the engine does not answer, answers with an error, or the answer is malformed.
pub fn fetch_load(
    agents: &Agents,
    address: &str,
    guard: &dyn CallGuard,
) -> Result<EngineLoad, CallFailure> {
    let url = format!("http://{address}/v1/load");
    let request = agents.pooled.get(&url).timeout(LOAD_TIMEOUT);
    let response = match send_guarded(guard, request, None)? {
        SendResult::Succeeded(response) => response,
        SendResult::ErrorStatus(status, _) => {
            return Err(CallFailure::Failed(format!("status {status}")))
        }
        SendResult::NoAnswer(error) => return Err(CallFailure::AnswerLost(error.to_string())),
    };
    let text = response
        .into_string()
        .map_err(|error| CallFailure::AnswerLost(error.to_string()))?;
    serde_json::from_str(&text).map_err(|error| CallFailure::Protocol(error.to_string()))
}
