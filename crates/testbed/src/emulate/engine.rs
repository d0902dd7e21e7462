//! An engine: continuous batching by steps, a prefix cache in limited memory,
//! priorities, streams that can be resumed and cancelled, lagging load reports.

use super::config::EngineConfig;
use super::faults::{FaultMode, Faults};
use super::weights::{ModelHolder, OrderBody};
use serde::Deserialize;
use serde_json::json;
use silversail_http::{Handler, RejectReason, Request, Responder, ResponseHead};
use std::collections::hash_map::DefaultHasher;
use std::collections::{HashSet, VecDeque};
use std::hash::{Hash, Hasher};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::runtime::Handle;

const JSON: &str = "application/json";
const EVENT_STREAM: &str = "text/event-stream";
/// Characters of a prompt that make one cache block, and tokens in a block.
const BLOCK_CHARS: usize = 64;
const BLOCK_TOKENS: u32 = 16;
/// Wait of an idle engine before it looks for work again.
const IDLE_WAIT: Duration = Duration::from_millis(2);
/// A stream that nobody reads is kept for a resume so long.
const KEEP_UNREAD: Duration = Duration::from_secs(5);
/// Token after which a stream is cut under [`FaultMode::CloseConnection`].
const CUT_AFTER_TOKENS: usize = 3;
/// Extra time of a full batch over that of one sequence.
const FULL_BATCH_EXTRA: f64 = 0.5;

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

/// A sequence being generated.
struct Sequence {
    id: String,
    priority: i64,
    arrival: u64,
    prompt_tokens_left: u32,
    prompt_hash: u64,
    label: String,
    tokens: Vec<String>,
    max_tokens: usize,
    cost_ms: f64,
    reader: Option<Reader>,
    unread_since: Option<Instant>,
    was_cut: bool,
}

/// The connection that a sequence's tokens go to.
struct Reader {
    responder: Responder,
    sent: usize,
}

#[derive(Default)]
struct State {
    sequences: Vec<Sequence>,
    cache: PrefixCache,
    arrivals: u64,
    /// Loads at past times, for lagging reports.
    loads: VecDeque<(Instant, usize, usize)>,
}

/// An engine's handler.
pub struct EngineHandler {
    config: EngineConfig,
    faults: Arc<Faults>,
    state: Arc<Mutex<State>>,
    models: Option<ModelHolder>,
}

impl EngineHandler {
    /// Starts the engine's steps on `runtime`. An engine without `models` serves
    /// any.
    pub fn start(
        config: EngineConfig,
        faults: Arc<Faults>,
        models: Option<ModelHolder>,
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
            responder.respond(self.faults.head(400, JSON), b"{}".to_vec());
            return;
        };
        if let Some(head) = self.faults.reject_call() {
            responder.respond(head, b"{}".to_vec());
            return;
        }
        let held = self.models.as_ref().map(ModelHolder::held);
        if held.is_some_and(|held| !held.contains(&body.model)) {
            responder.respond(self.faults.head(404, JSON), b"{}".to_vec());
            return;
        }
        match self.faults.mode() {
            FaultMode::Reject => {
                responder.respond(self.faults.head(503, JSON), b"{}".to_vec());
                return;
            }
            FaultMode::Error => {
                responder.respond(self.faults.head(500, JSON), b"{}".to_vec());
                return;
            }
            _ => {}
        }
        let mut state = self.state.lock().expect("not poisoned");
        if let Some(from) = body.resume_from {
            resume(&mut state, &body.request_id, from, responder);
            return;
        }
        responder.head(self.faults.head(200, EVENT_STREAM));
        state.arrivals += 1;
        let cached = state.cache.take(&body.prompt, self.config.cache_tokens);
        let prompt_tokens = (body.prompt.chars().count() / 4).max(1) as u32;
        let mut hasher = DefaultHasher::new();
        (&body.model, &body.prompt).hash(&mut hasher);
        let sequence = Sequence {
            id: body.request_id,
            priority: body.priority,
            arrival: state.arrivals,
            prompt_tokens_left: prompt_tokens.saturating_sub(cached).max(1),
            prompt_hash: hasher.finish(),
            label: body.prompt.lines().next().unwrap_or_default().to_owned(),
            tokens: Vec::new(),
            max_tokens: body.max_tokens.max(1) as usize,
            cost_ms: 0.0,
            reader: Some(Reader { responder, sent: 0 }),
            unread_since: None,
            was_cut: false,
        };
        state.sequences.push(sequence);
    }

    fn load(&self, responder: Responder) {
        let state = self.state.lock().expect("not poisoned");
        let lag = Duration::from_millis(self.config.load_lag_ms);
        let (running, waiting) = state
            .loads
            .iter()
            .rev()
            .find(|(at, _, _)| at.elapsed() >= lag)
            .map_or((0, 0), |(_, running, waiting)| (*running, *waiting));
        let models = self
            .models
            .as_ref()
            .map(ModelHolder::held)
            .unwrap_or_default();
        let body = json!({ "running": running, "waiting": waiting, "models": models }).to_string();
        responder.respond(self.faults.head(200, JSON), body.into_bytes());
    }

    fn order(&self, request: Request, responder: Responder) {
        let body = serde_json::from_slice::<OrderBody>(&request.body);
        let status = match (&self.models, body) {
            (Some(models), Ok(body)) => models.order(&body),
            _ => 400,
        };
        responder.respond(self.faults.head(status, JSON), b"{}".to_vec());
    }

    fn cancel(&self, request: Request, responder: Responder) {
        if let Ok(body) = serde_json::from_slice::<CancelBody>(&request.body) {
            let mut state = self.state.lock().expect("not poisoned");
            state.sequences.retain(|one| one.id != body.request_id);
        }
        responder.respond(ResponseHead::new(200, JSON), b"{}".to_vec());
    }
}

impl Handler for EngineHandler {
    fn handle(&self, request: Request, responder: Responder) -> Box<dyn FnOnce() + Send> {
        match request.path.as_str() {
            "/v1/completions" => self.complete(request, responder),
            "/v1/load" => self.load(responder),
            "/v1/orders" => self.order(request, responder),
            "/v1/cancel" => self.cancel(request, responder),
            _ => responder.respond(ResponseHead::new(404, JSON), b"{}".to_vec()),
        }
        Box::new(|| {})
    }

    fn reject(&self, _reason: RejectReason, _head: &Request) -> (ResponseHead, Vec<u8>) {
        (ResponseHead::new(503, JSON), Vec::new())
    }
}

fn resume(state: &mut State, id: &str, from: u64, responder: Responder) {
    let sequence = state.sequences.iter_mut().find(|one| one.id == id);
    match sequence.filter(|one| from as usize <= one.tokens.len()) {
        Some(sequence) => {
            responder.head(ResponseHead::new(200, EVENT_STREAM));
            sequence.unread_since = None;
            sequence.reader = Some(Reader {
                responder,
                sent: from as usize,
            });
        }
        None => responder.respond(ResponseHead::new(404, JSON), b"{}".to_vec()),
    }
}

/// Runs one step of the batch; gives the time that it takes.
fn step(config: &EngineConfig, faults: &Faults, state: &Mutex<State>) -> Duration {
    let mut state = state.lock().expect("not poisoned");
    state
        .sequences
        .sort_by_key(|one| (one.tokens.is_empty(), one.priority, one.arrival));
    let batch = state.sequences.len().min(config.slots);
    let waiting = state.sequences.len() - batch;
    note_load(&mut state, batch, waiting);
    if batch == 0 {
        return IDLE_WAIT;
    }
    let fullness = batch as f64 / config.slots as f64;
    let step_ms = config.step_ms * (1.0 + FULL_BATCH_EXTRA * fullness) * faults.slowdown();
    let mut prompt_budget = config.prompt_tokens_per_step;
    let mode = faults.mode();
    for sequence in state.sequences.iter_mut().take(batch) {
        sequence.cost_ms += step_ms / batch as f64;
        advance(sequence, &mut prompt_budget);
        deliver(sequence, mode);
    }
    state.sequences.retain(|one| !is_done(one));
    Duration::from_secs_f64(step_ms / 1_000.0)
}

fn note_load(state: &mut State, running: usize, waiting: usize) {
    let now = Instant::now();
    state.loads.push_back((now, running, waiting));
    while state.loads.len() > 2_000 {
        state.loads.pop_front();
    }
}

/// Takes in prompt tokens first, then generates one token a step.
fn advance(sequence: &mut Sequence, prompt_budget: &mut u32) {
    if sequence.prompt_tokens_left > 0 {
        let taken = sequence.prompt_tokens_left.min(*prompt_budget);
        sequence.prompt_tokens_left -= taken;
        *prompt_budget -= taken;
        return;
    }
    if sequence.tokens.len() < sequence.max_tokens {
        let position = sequence.tokens.len();
        sequence.tokens.push(token_text(sequence, position));
    }
}

/// The first token repeats the prompt's first line, so that an answer tells
/// whose it is; the others depend on the whole prompt.
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
    let is_cut = mode == FaultMode::CloseConnection && !sequence.was_cut;
    let cuts_now = is_cut && reader.sent == CUT_AFTER_TOKENS;
    if reader.responder.is_closed() || cuts_now {
        sequence.was_cut |= cuts_now;
        sequence.reader = None;
        sequence.unread_since = Some(Instant::now());
        return;
    }
    let id = match mode {
        FaultMode::WrongAttempt => format!("other-{}", sequence.id),
        _ => sequence.id.clone(),
    };
    let limit = if is_cut { CUT_AFTER_TOKENS } else { usize::MAX };
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
        sequence.unread_since = None;
    }
}

fn is_done(sequence: &Sequence) -> bool {
    match (&sequence.reader, sequence.unread_since) {
        (Some(_), _) => false,
        (None, Some(since)) => since.elapsed() > KEEP_UNREAD,
        (None, None) => true,
    }
}

/// Blocks of prompts that the engine holds, oldest dropped first.
#[derive(Default)]
struct PrefixCache {
    held: HashSet<u64>,
    order: VecDeque<u64>,
}

impl PrefixCache {
    /// Tokens of `prompt` that are held from its start; afterwards all are.
    fn take(&mut self, prompt: &str, capacity_tokens: u32) -> u32 {
        let characters: Vec<char> = prompt.chars().collect();
        let mut hasher = DefaultHasher::new();
        let mut held_tokens = 0;
        let mut is_prefix = true;
        for block in characters.chunks_exact(BLOCK_CHARS) {
            block.hash(&mut hasher);
            let hash = hasher.finish();
            is_prefix &= self.held.contains(&hash);
            if is_prefix {
                held_tokens += BLOCK_TOKENS;
            } else if self.held.insert(hash) {
                self.order.push_back(hash);
            }
        }
        let most_blocks = (capacity_tokens / BLOCK_TOKENS) as usize;
        while self.order.len() > most_blocks {
            if let Some(oldest) = self.order.pop_front() {
                self.held.remove(&oldest);
            }
        }
        held_tokens
    }
}
