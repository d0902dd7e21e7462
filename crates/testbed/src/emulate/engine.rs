//! Emulated engine with continuous batching, a bounded prefix cache, priorities,
//! streams that can be resumed and cancelled, and delayed load reports.

use super::config::EngineConfig;
use super::faults::{FaultMode, Faults};
use super::weights::{EngineModels, OrderBody};
use serde::Deserialize;
use serde_json::json;
use silversail_http::{Handler, RejectReason, Request, Responder, ResponseHead};
use std::collections::hash_map::DefaultHasher;
use std::collections::{HashSet, VecDeque};
use std::hash::{Hash, Hasher};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::runtime::Handle;

const JSON_CONTENT_TYPE: &str = "application/json";
const EVENT_STREAM_CONTENT_TYPE: &str = "text/event-stream";
/// Characters of a prompt in one block of the prefix cache.
const BLOCK_CHARS: usize = 64;
/// Tokens in one block of the prefix cache.
const BLOCK_TOKENS: u32 = 16;
/// Interval at which an idle engine polls for sequences.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Time for which a disconnected stream can be resumed.
const RESUME_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of tokens after which [`FaultMode::CloseConnection`] closes a stream.
const CLOSE_AFTER_TOKENS: usize = 3;
/// Additional duration of a step with a full batch, relative to one sequence.
const FULL_BATCH_OVERHEAD: f64 = 0.5;

#[derive(Deserialize)]
struct CompletionBody {
    request_id: String,
    model: String,
    prompt: String,
    max_tokens: u32,
    #[serde(default)]
    priority: i64,
    #[serde(default)]
    resume_from: Option<u64>,
}

#[derive(Deserialize)]
struct CancelBody {
    request_id: String,
}

/// A sequence in generation.
struct Sequence {
    id: String,
    priority: i64,
    arrival_number: u64,
    prompt_tokens_left: u32,
    prompt_hash: u64,
    label: String,
    tokens: Vec<String>,
    max_tokens: usize,
    cost_ms: f64,
    reader: Option<StreamReader>,
    disconnected_at: Option<Instant>,
    was_closed: bool,
}

/// Connection to which the tokens of a sequence are sent.
struct StreamReader {
    responder: Responder,
    sent: usize,
}

#[derive(Default)]
struct State {
    sequences: Vec<Sequence>,
    cache: PrefixCache,
    arrivals: u64,
    /// Time, running and waiting sequences of past steps, for delayed reports.
    loads: VecDeque<(Instant, usize, usize)>,
}

/// HTTP handler of an engine.
pub struct EngineHandler {
    config: EngineConfig,
    faults: Arc<Faults>,
    state: Arc<Mutex<State>>,
    models: Option<EngineModels>,
}

impl EngineHandler {
    /// Starts the step loop on `runtime`. An engine without `models` serves any
    /// model.
    pub fn start(
        config: EngineConfig,
        faults: Arc<Faults>,
        models: Option<EngineModels>,
        runtime: &Handle,
    ) -> Self {
        let state = Arc::new(Mutex::new(State::default()));
        let handler = Self {
            config: config.clone(),
            faults: faults.clone(),
            state: state.clone(),
            models,
        };
        runtime.spawn(async move {
            loop {
                let wait = step(&config, &faults, &state);
                tokio::time::sleep(wait).await;
            }
        });
        handler
    }

    fn complete(&self, request: Request, responder: Responder) {
        let Ok(body) = serde_json::from_slice::<CompletionBody>(&request.body) else {
            responder.respond(self.faults.head(400, JSON_CONTENT_TYPE), b"{}".to_vec());
            return;
        };
        if let Some(head) = self.faults.reject_call() {
            responder.respond(head, b"{}".to_vec());
            return;
        }
        let loaded = self.models.as_ref().map(EngineModels::loaded);
        if loaded.is_some_and(|loaded| !loaded.contains(&body.model)) {
            responder.respond(self.faults.head(404, JSON_CONTENT_TYPE), b"{}".to_vec());
            return;
        }
        match self.faults.mode() {
            FaultMode::Reject => {
                responder.respond(self.faults.head(503, JSON_CONTENT_TYPE), b"{}".to_vec());
                return;
            }
            FaultMode::Error => {
                responder.respond(self.faults.head(500, JSON_CONTENT_TYPE), b"{}".to_vec());
                return;
            }
            _ => {}
        }
        let mut state = self.state.lock().expect("not poisoned");
        if let Some(from) = body.resume_from {
            resume(&mut state, &body.request_id, from, responder);
            return;
        }
        responder.head(self.faults.head(200, EVENT_STREAM_CONTENT_TYPE));
        state.arrivals += 1;
        let cached = state.cache.insert(&body.prompt, self.config.cache_tokens);
        let prompt_tokens = (body.prompt.chars().count() / 4).max(1) as u32;
        let mut hasher = DefaultHasher::new();
        (&body.model, &body.prompt).hash(&mut hasher);
        let sequence = Sequence {
            id: body.request_id,
            priority: body.priority,
            arrival_number: state.arrivals,
            prompt_tokens_left: prompt_tokens.saturating_sub(cached).max(1),
            prompt_hash: hasher.finish(),
            label: body.prompt.lines().next().unwrap_or_default().to_owned(),
            tokens: Vec::new(),
            max_tokens: body.max_tokens.max(1) as usize,
            cost_ms: 0.0,
            reader: Some(StreamReader { responder, sent: 0 }),
            disconnected_at: None,
            was_closed: false,
        };
        state.sequences.push(sequence);
    }

    fn load(&self, responder: Responder) {
        let state = self.state.lock().expect("not poisoned");
        let delay = Duration::from_millis(self.config.load_lag_ms);
        let (running, waiting) = state
            .loads
            .iter()
            .rev()
            .find(|(at, _, _)| at.elapsed() >= delay)
            .map_or((0, 0), |(_, running, waiting)| (*running, *waiting));
        let models = self
            .models
            .as_ref()
            .map(EngineModels::loaded)
            .unwrap_or_default();
        let body = json!({ "running": running, "waiting": waiting, "models": models }).to_string();
        responder.respond(self.faults.head(200, JSON_CONTENT_TYPE), body.into_bytes());
    }

    fn order(&self, request: Request, responder: Responder) {
        let body = serde_json::from_slice::<OrderBody>(&request.body);
        let status = match (&self.models, body) {
            (Some(models), Ok(body)) => models.order(&body),
            _ => 400,
        };
        responder.respond(self.faults.head(status, JSON_CONTENT_TYPE), b"{}".to_vec());
    }

    fn cancel(&self, request: Request, responder: Responder) {
        if let Ok(body) = serde_json::from_slice::<CancelBody>(&request.body) {
            let mut state = self.state.lock().expect("not poisoned");
            state
                .sequences
                .retain(|sequence| sequence.id != body.request_id);
        }
        responder.respond(ResponseHead::new(200, JSON_CONTENT_TYPE), b"{}".to_vec());
    }
}

impl Handler for EngineHandler {
    fn handle(&self, request: Request, responder: Responder) -> Box<dyn FnOnce() + Send> {
        match request.path.as_str() {
            "/v1/completions" => self.complete(request, responder),
            "/v1/load" => self.load(responder),
            "/v1/orders" => self.order(request, responder),
            "/v1/cancel" => self.cancel(request, responder),
            _ => responder.respond(ResponseHead::new(404, JSON_CONTENT_TYPE), b"{}".to_vec()),
        }
        Box::new(|| {})
    }

    fn reject(&self, _reason: RejectReason, _head: &Request) -> (ResponseHead, Vec<u8>) {
        (ResponseHead::new(503, JSON_CONTENT_TYPE), Vec::new())
    }
}

fn resume(state: &mut State, id: &str, from: u64, responder: Responder) {
    let sequence = state
        .sequences
        .iter_mut()
        .find(|sequence| sequence.id == id);
    match sequence.filter(|sequence| from as usize <= sequence.tokens.len()) {
        Some(sequence) => {
            responder.head(ResponseHead::new(200, EVENT_STREAM_CONTENT_TYPE));
            sequence.disconnected_at = None;
            sequence.reader = Some(StreamReader {
                responder,
                sent: from as usize,
            });
        }
        None => responder.respond(ResponseHead::new(404, JSON_CONTENT_TYPE), b"{}".to_vec()),
    }
}

/// Runs one step of the batch; returns its duration.
fn step(config: &EngineConfig, faults: &Faults, state: &Mutex<State>) -> Duration {
    let mut state = state.lock().expect("not poisoned");
    state.sequences.sort_by_key(|sequence| {
        (
            sequence.tokens.is_empty(),
            sequence.priority,
            sequence.arrival_number,
        )
    });
    let batch = state.sequences.len().min(config.slots);
    let waiting = state.sequences.len() - batch;
    record_load(&mut state, batch, waiting);
    if batch == 0 {
        return IDLE_POLL_INTERVAL;
    }
    let fullness = batch as f64 / config.slots as f64;
    let step_ms = config.step_ms * (1.0 + FULL_BATCH_OVERHEAD * fullness) * faults.slowdown();
    let mut prompt_budget = config.prompt_tokens_per_step;
    let mode = faults.mode();
    for sequence in state.sequences.iter_mut().take(batch) {
        sequence.cost_ms += step_ms / batch as f64;
        advance(sequence, &mut prompt_budget);
        deliver(sequence, mode);
    }
    state.sequences.retain(|sequence| !is_done(sequence));
    Duration::from_secs_f64(step_ms / 1_000.0)
}

fn record_load(state: &mut State, running: usize, waiting: usize) {
    let now = Instant::now();
    state.loads.push_back((now, running, waiting));
    while state.loads.len() > 2_000 {
        state.loads.pop_front();
    }
}

/// Prefills the prompt first, then generates one token per step.
fn advance(sequence: &mut Sequence, prompt_budget: &mut u32) {
    if sequence.prompt_tokens_left > 0 {
        let prefilled = sequence.prompt_tokens_left.min(*prompt_budget);
        sequence.prompt_tokens_left -= prefilled;
        *prompt_budget -= prefilled;
        return;
    }
    if sequence.tokens.len() < sequence.max_tokens {
        let position = sequence.tokens.len();
        sequence.tokens.push(token_text(sequence, position));
    }
}

/// The first token repeats the first line of the prompt, which identifies the request;
/// the others depend on the whole prompt.
fn token_text(sequence: &Sequence, position: usize) -> String {
    if position == 0 {
        return format!("{} ", sequence.label);
    }
    let mut hasher = DefaultHasher::new();
    (sequence.prompt_hash, position).hash(&mut hasher);
    format!("w{} ", hasher.finish() % 1_000)
}

fn deliver(sequence: &mut Sequence, mode: FaultMode) {
    let Some(reader) = &mut sequence.reader else {
        return;
    };
    let is_closed_early = mode == FaultMode::CloseConnection && !sequence.was_closed;
    let closes_now = is_closed_early && reader.sent == CLOSE_AFTER_TOKENS;
    if reader.responder.is_closed() || closes_now {
        sequence.was_closed |= closes_now;
        sequence.reader = None;
        sequence.disconnected_at = Some(Instant::now());
        return;
    }
    let id = match mode {
        FaultMode::WrongAttempt => format!("other-{}", sequence.id),
        _ => sequence.id.clone(),
    };
    let limit = if is_closed_early {
        CLOSE_AFTER_TOKENS
    } else {
        usize::MAX
    };
    while reader.sent < sequence.tokens.len().min(limit) {
        let data = json!({
            "id": id,
            "sequence": reader.sent,
            "choices": [{ "index": 0, "text": sequence.tokens[reader.sent], "finish_reason": null }],
        });
        let line = match mode {
            FaultMode::MalformedBody => "data: <html>\n\n".to_owned(),
            _ => format!("data: {data}\n\n"),
        };
        reader.responder.chunk(line.into_bytes());
        reader.sent += 1;
    }
    if reader.sent == sequence.max_tokens && mode != FaultMode::Hang {
        let data = json!({
            "id": id,
            "sequence": reader.sent,
            "choices": [{ "index": 0, "text": "", "finish_reason": "stop" }],
            "usage": { "cost_ms": sequence.cost_ms },
        });
        let end = format!("data: {data}\n\ndata: [DONE]\n\n");
        reader.responder.chunk(end.into_bytes());
        if let Some(reader) = sequence.reader.take() {
            reader.responder.finish();
        }
        sequence.disconnected_at = None;
    }
}

fn is_done(sequence: &Sequence) -> bool {
    match (&sequence.reader, sequence.disconnected_at) {
        (Some(_), _) => false,
        (None, Some(since)) => since.elapsed() > RESUME_TIMEOUT,
        (None, None) => true,
    }
}

/// Prefix cache of prompt blocks with first-in, first-out eviction.
#[derive(Default)]
struct PrefixCache {
    blocks: HashSet<u64>,
    order: VecDeque<u64>,
}

impl PrefixCache {
    /// Adds `prompt` to the cache; returns the length of its prefix that was cached, in
    /// tokens.
    fn insert(&mut self, prompt: &str, capacity_tokens: u32) -> u32 {
        let characters: Vec<char> = prompt.chars().collect();
        let mut hasher = DefaultHasher::new();
        let mut cached_tokens = 0;
        let mut is_prefix = true;
        for block in characters.chunks_exact(BLOCK_CHARS) {
            block.hash(&mut hasher);
            let hash = hasher.finish();
            is_prefix &= self.blocks.contains(&hash);
            if is_prefix {
                cached_tokens += BLOCK_TOKENS;
            } else if self.blocks.insert(hash) {
                self.order.push_back(hash);
            }
        }
        let max_blocks = (capacity_tokens / BLOCK_TOKENS) as usize;
        while self.order.len() > max_blocks {
            if let Some(oldest) = self.order.pop_front() {
                self.blocks.remove(&oldest);
            }
        }
        cached_tokens
    }
}
