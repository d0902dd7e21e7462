//! Model engines: completions as server-sent events, with resume and cancel.
//!
//! `POST /v1/completions` takes `request_id`, `model`, `prompt`, `max_tokens`,
//! `priority`, `stream` and, to resume, `resume_from`; events carry `id`,
//! `sequence` and `choices[0].text`; the last one carries `finish_reason` and
//! `usage`, and `data: [DONE]` ends the stream.

use crate::agent::{classify_transport_error, Agents};
use crate::call::{CallFailure, StageCall, StageOutput, TokenSink};
use crate::guard::{send_guarded, CallGuard, Sent};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader};
use std::time::Duration;

const END_MARK: &str = "[DONE]";
const DATA_FIELD: &str = "data:";
const LOAD_TIMEOUT: Duration = Duration::from_millis(800);
/// How often a broken stream is resumed at the same engine.
const MAX_RESUMES: u32 = 2;

/// An engine's report of its load.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct EngineLoad {
    /// Sequences being generated.
    pub running: u32,
    /// Sequences waiting.
    pub waiting: u32,
    /// Models that it holds, where it tells.
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

/// How reading one connection of a stream ended.
enum StreamEnd {
    Complete,
    Broken(String),
}

/// What has been received of a stream over all its connections.
struct Progress<'a> {
    text: String,
    tokens: u64,
    cost_ms: f64,
    finished: bool,
    sink: &'a mut dyn TokenSink,
}

/// Runs a generation; blocks until the engine's end mark, the deadline or an
/// error. A broken connection is resumed at the next token.
pub fn generate(
    agents: &Agents,
    call: &StageCall,
    sink: &mut dyn TokenSink,
    guard: &dyn CallGuard,
) -> Result<StageOutput, CallFailure> {
    let prompt = prompt_of(call);
    let mut progress = Progress {
        text: String::new(),
        tokens: 0,
        cost_ms: 0.0,
        finished: false,
        sink,
    };
    let mut resumes = 0;
    loop {
        let resume_from = (resumes > 0).then_some(progress.tokens);
        let end = match open_stream(agents, call, &prompt, resume_from, guard) {
            Ok(response) => read_stream(response, call, &mut progress)?,
            // A refused resume leaves what was received unfinished.
            Err(CallFailure::NotRun(detail)) if resumes > 0 => StreamEnd::Broken(detail),
            Err(failure @ CallFailure::BackendUnavailable) if resumes > 0 => {
                return Err(CallFailure::AnswerLost(failure.to_string()));
            }
            Err(failure) => return Err(failure),
        };
        match end {
            StreamEnd::Complete => return Ok(progress.into_output()),
            StreamEnd::Broken(detail) if resumes == MAX_RESUMES => {
                return Err(CallFailure::AnswerLost(detail))
            }
            StreamEnd::Broken(_) => resumes += 1,
        }
    }
}

impl Progress<'_> {
    fn into_output(self) -> StageOutput {
        StageOutput {
            value: Value::String(self.text),
            cost_ms: self.cost_ms,
            tokens: self.tokens as u32,
        }
    }
}

/// The prompt: the outputs of earlier stages and the input, as stable JSON, so
/// that equal beginnings make equal prefixes.
fn prompt_of(call: &StageCall) -> String {
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
        Sent::Succeeded(response) => Ok(response),
        Sent::Refused(status @ (429 | 503 | 404), _) => {
            Err(CallFailure::NotRun(format!("status {status}")))
        }
        Sent::Refused(status, _) => Err(CallFailure::Failed(format!("status {status}"))),
        Sent::Unanswered(error) => Err(classify_transport_error(&error)),
    }
}

fn read_stream(
    response: ureq::Response,
    call: &StageCall,
    progress: &mut Progress<'_>,
) -> Result<StreamEnd, CallFailure> {
    let reader = BufReader::new(response.into_reader());
    for line in reader.lines() {
        if call.is_cancelled() {
            return Err(CallFailure::Cancelled);
        }
        let line = match line {
            Ok(line) => line,
            Err(_) if call.remaining().is_zero() => return Err(CallFailure::DeadlineExceeded),
            Err(error) => return Ok(StreamEnd::Broken(error.to_string())),
        };
        let Some(data) = line.strip_prefix(DATA_FIELD) else {
            continue;
        };
        if data.trim() == END_MARK {
            // Only the engine's own end mark after its last token is an end.
            return match progress.finished {
                true => Ok(StreamEnd::Complete),
                false => Ok(StreamEnd::Broken("end mark before the last token".into())),
            };
        }
        take_event(data, call, progress)?;
    }
    Ok(StreamEnd::Broken("closed before the end mark".into()))
}

fn take_event(
    data: &str,
    call: &StageCall,
    progress: &mut Progress<'_>,
) -> Result<(), CallFailure> {
    let event: Event =
        serde_json::from_str(data).map_err(|error| CallFailure::Protocol(error.to_string()))?;
    if event.id != call.attempt {
        return Err(CallFailure::Protocol(format!(
            "event is for attempt {}",
            event.id
        )));
    }
    let Some(choice) = event.choices.first() else {
        return Err(CallFailure::Protocol("event without a choice".into()));
    };
    if let Some(usage) = event.usage {
        progress.cost_ms += usage.cost_ms;
    }
    if choice.finish_reason.is_some() {
        progress.finished = event.sequence == progress.tokens;
        return Ok(());
    }
    if event.sequence < progress.tokens {
        // Repeated after a resume.
        return Ok(());
    }
    if event.sequence > progress.tokens {
        return Err(CallFailure::Protocol(format!(
            "token {} instead of {}",
            event.sequence, progress.tokens
        )));
    }
    progress.text.push_str(&choice.text);
    progress.sink.token(event.sequence, &choice.text);
    progress.tokens += 1;
    Ok(())
}

/// Tells an engine that an attempt's stream is not wanted any more.
pub fn cancel(agents: &Agents, address: &str, attempt: &str, guard: &dyn CallGuard) {
    let url = format!("http://{address}/v1/cancel");
    let body = json!({ "request_id": attempt }).to_string();
    let request = agents.pooled.post(&url).timeout(LOAD_TIMEOUT);
    // Best effort: the engine ends the stream by itself at its last token.
    let _ = send_guarded(guard, request, Some(body.as_bytes()));
}

/// Asks an engine for its load.
pub fn fetch_load(
    agents: &Agents,
    address: &str,
    guard: &dyn CallGuard,
) -> Result<EngineLoad, CallFailure> {
    let url = format!("http://{address}/v1/load");
    let request = agents.pooled.get(&url).timeout(LOAD_TIMEOUT);
    let response = match send_guarded(guard, request, None)? {
        Sent::Succeeded(response) => response,
        Sent::Refused(status, _) => return Err(CallFailure::Failed(format!("status {status}"))),
        Sent::Unanswered(error) => return Err(CallFailure::AnswerLost(error.to_string())),
    };
    let text = response
        .into_string()
        .map_err(|error| CallFailure::AnswerLost(error.to_string()))?;
    serde_json::from_str(&text).map_err(|error| CallFailure::Protocol(error.to_string()))
}
