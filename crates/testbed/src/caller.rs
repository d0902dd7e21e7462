//! Reference client: it resolves entry points, caches them for their lifetime, and
//! resends a call to another entry point when it gets no answer.

use crate::history::CallRecord;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Parameters of one call.
#[derive(Clone, Debug)]
pub struct CallOptions {
    /// Name of the pipeline.
    pub pipeline: String,
    /// Name of the tenant.
    pub tenant: String,
    /// Identity of the call; sent in the input, and as `Idempotency-Key` if `keyed`.
    pub key: String,
    /// Additional text of the input.
    pub text: String,
    /// Deadline that the call requests.
    pub deadline: Duration,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Whether the key is sent as `Idempotency-Key`.
    pub keyed: bool,
    /// Retry token of an earlier rejection of this call.
    pub retry_token: Option<String>,
}

impl CallOptions {
    /// A call with a key and a deadline of a second, without streaming.
    pub fn new(pipeline: &str, tenant: &str, key: &str) -> Self {
        Self {
            pipeline: pipeline.to_owned(),
            tenant: tenant.to_owned(),
            key: key.to_owned(),
            text: String::new(),
            deadline: Duration::from_secs(1),
            stream: false,
            keyed: true,
            retry_token: None,
        }
    }
}

/// Response of one entry point.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    /// HTTP status; none when there was no response.
    pub status: Option<u16>,
    /// Body of the response, or data of the last event of a stream.
    pub body: Value,
    /// Texts of the tokens of a stream.
    pub tokens: Vec<String>,
    /// Whether a stream ended cleanly without a completion event.
    pub ended_early: bool,
    /// Whether the connection was refused, so that nothing was sent.
    pub refused_connection: bool,
    /// Time from sending to the first token.
    pub first_token: Option<Duration>,
    /// Time between consecutive tokens.
    pub gaps: Vec<Duration>,
    /// Time from sending to the end of the response.
    pub elapsed: Duration,
}

impl Reply {
    /// Outcome in the body.
    pub fn outcome(&self) -> Option<&str> {
        self.body["outcome"].as_str()
    }

    /// Numbered result code in the body.
    pub fn code(&self) -> Option<u64> {
        self.body["code"].as_u64()
    }

    /// Converts the reply to a record for the checker.
    pub fn record(&self, options: &CallOptions) -> CallRecord {
        CallRecord {
            key: options.key.clone(),
            pipeline: options.pipeline.clone(),
            outcome: self.outcome().map(str::to_owned),
            code: self.code().map(|code| code as u16),
            output: self.body.get("output").cloned(),
            ended_early: self.ended_early,
            retried_after_refusal: options.retry_token.is_some(),
        }
    }
}

struct EntryPoints {
    addresses: Vec<SocketAddr>,
    valid_until: Instant,
}

/// Client that caches entry points and resends calls.
pub struct Caller {
    agent: ureq::Agent,
    seed_addresses: Vec<SocketAddr>,
    entry_points: Mutex<EntryPoints>,
}

/// Time for which a caller waits for an answer beyond the deadline of its call.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
const ENTRY_POINT_TIMEOUT: Duration = Duration::from_secs(1);

impl Caller {
    /// Creates a caller that resolves entry points at `seed_addresses`.
    pub fn new(seed_addresses: Vec<SocketAddr>) -> Self {
        Self {
            agent: ureq::AgentBuilder::new()
                .max_idle_connections_per_host(64)
                .timeout_connect(Duration::from_millis(500))
                .redirects(0)
                .build(),
            seed_addresses,
            entry_points: Mutex::new(EntryPoints {
                addresses: Vec::new(),
                valid_until: Instant::now(),
            }),
        }
    }

    /// Current entry points; they are resolved again once their lifetime has ended.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let mut cached = self.entry_points.lock().expect("not poisoned");
        if Instant::now() >= cached.valid_until {
            for address in &self.seed_addresses {
                if let Some(resolved) = self.resolve(*address) {
                    *cached = resolved;
                    break;
                }
            }
        }
        cached.addresses.clone()
    }

    fn resolve(&self, address: SocketAddr) -> Option<EntryPoints> {
        let requested_at = Instant::now();
        let response = self
            .agent
            .get(&format!("http://{address}/v1/entry-points"))
            .timeout(ENTRY_POINT_TIMEOUT)
            .call()
            .ok()?;
        let body: Value = serde_json::from_reader(response.into_reader()).ok()?;
        let addresses: Vec<SocketAddr> = body["entry_points"]
            .as_array()?
            .iter()
            .filter_map(|entry_point| entry_point["address"].as_str()?.parse().ok())
            .collect();
        let lifetime = Duration::from_millis(body["valid_for_ms"].as_u64()?);
        Some(EntryPoints {
            addresses,
            valid_until: requested_at + lifetime,
        })
    }

    /// Sends a call to one address and reads its answer.
    pub fn send(&self, address: SocketAddr, options: &CallOptions) -> Reply {
        let started = Instant::now();
        let body = json!({
            "tenant": options.tenant,
            "input": { "key": options.key, "text": options.text },
            "deadline_ms": options.deadline.as_millis() as u64,
            "stream": options.stream,
        });
        let url = format!(
            "http://{address}/v1/pipelines/{}/requests",
            options.pipeline
        );
        let mut request = self
            .agent
            .post(&url)
            .timeout(options.deadline + ANSWER_GRACE)
            .set("content-type", "application/json");
        if options.keyed {
            request = request.set("idempotency-key", &options.key);
        }
        if let Some(token) = &options.retry_token {
            request = request.set("silversail-retry-token", token);
        }
        let mut reply = match request.send_string(&body.to_string()) {
            Ok(response) | Err(ureq::Error::Status(_, response)) => read_reply(response, started),
            Err(ureq::Error::Transport(error)) => Reply {
                refused_connection: error.kind() == ureq::ErrorKind::ConnectionFailed,
                ..Reply::default()
            },
        };
        reply.elapsed = started.elapsed();
        reply
    }

    /// Sends a call to an entry point selected by `seed` and resends it to the next
    /// ones until it is answered, with at most `attempts` attempts.
    pub fn call(&self, options: &CallOptions, seed: usize, attempts: usize) -> Reply {
        let mut last = Reply::default();
        for attempt in 0..attempts {
            let addresses = self.addresses();
            if addresses.is_empty() {
                std::thread::sleep(Duration::from_millis(50));
                continue;
            }
            let address = addresses[(seed + attempt) % addresses.len()];
            last = self.send(address, options);
            if last.outcome().is_some() {
                return last;
            }
        }
        last
    }
}

fn read_reply(response: ureq::Response, started: Instant) -> Reply {
    let status = response.status();
    let is_stream = response.content_type() == "text/event-stream";
    let mut reply = if is_stream {
        read_stream(response, started)
    } else {
        let body = response.into_string().ok();
        Reply {
            body: body
                .and_then(|text| serde_json::from_str(&text).ok())
                .unwrap_or(Value::Null),
            ..Reply::default()
        }
    };
    reply.status = Some(status);
    reply
}

fn read_stream(response: ureq::Response, started: Instant) -> Reply {
    let mut reply = Reply::default();
    let mut event = String::new();
    let mut last_token: Option<Instant> = None;
    let mut completed = false;
    for line in BufReader::new(response.into_reader()).lines() {
        let Ok(line) = line else {
            // The connection was lost; `ended_early` stays false.
            return reply;
        };
        if let Some(name) = line.strip_prefix("event: ") {
            event = name.to_owned();
        } else if let Some(data) = line.strip_prefix("data: ") {
            let data: Value = serde_json::from_str(data).unwrap_or(Value::Null);
            if event == "token" {
                let now = Instant::now();
                match last_token {
                    None => reply.first_token = Some(started.elapsed()),
                    Some(last) => reply.gaps.push(now - last),
                }
                last_token = Some(now);
                let text = data["text"].as_str().unwrap_or_default();
                reply.tokens.push(text.to_owned());
            } else {
                completed = true;
                reply.body = data;
            }
        }
    }
    reply.ended_early = !completed;
    reply
}
