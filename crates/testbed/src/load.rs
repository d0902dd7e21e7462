//! Open-loop load generator with Poisson arrivals and an optional burst, and the
//! report of its results.

use crate::caller::{CallOptions, Caller, Reply};
use crate::history::CallRecord;
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Share of a tenant in the load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantLoad {
    /// Name of the tenant.
    pub tenant: String,
    /// Pipeline that the tenant calls.
    pub pipeline: String,
    /// Weight of the tenant in the arrivals, relative to the others.
    pub share: f64,
}

/// Plan of a load test.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadPlan {
    /// Seed of the arrival times and tenants.
    #[serde(default)]
    pub seed: u64,
    /// Requests per second outside the burst.
    pub base_rate: f64,
    /// Duration in milliseconds; at most ten minutes.
    pub duration_ms: u64,
    /// Start of the burst, in milliseconds.
    #[serde(default)]
    pub burst_at_ms: u64,
    /// Duration of the burst, in milliseconds.
    #[serde(default)]
    pub burst_ms: u64,
    /// Requests per second in the burst.
    #[serde(default)]
    pub burst_rate: f64,
    /// Deadline of each request, in milliseconds.
    pub deadline_ms: u64,
    /// Whether answers are streamed.
    #[serde(default)]
    pub stream: bool,
    /// Whether requests carry an `Idempotency-Key`.
    #[serde(default)]
    pub keyed: bool,
    /// Number of characters of input in addition to the key.
    #[serde(default)]
    pub text_chars: usize,
    /// Largest number of attempts of a call, at different entry points.
    #[serde(default = "one_attempt")]
    pub attempts: usize,
    /// Tenants that send, with their shares.
    pub tenants: Vec<TenantLoad>,
}

fn one_attempt() -> usize {
    1
}

/// Largest number of requests of one plan.
pub const MAX_REQUESTS: usize = 200_000;
/// Largest number of concurrent requests; further ones are counted as not sent.
const MAX_IN_FLIGHT: usize = 3_000;
/// Stack size of a request thread, in bytes.
const STACK_BYTES: usize = 192 << 10;

/// Results of a load test.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LoadReport {
    /// Number of requests sent.
    pub sent: usize,
    /// Number of complete answers within the deadline.
    pub in_time: usize,
    /// Share of requests with a complete answer within the deadline.
    pub attainment: f64,
    /// Attainment of each tenant.
    pub attainment_by_tenant: BTreeMap<String, f64>,
    /// Number of answers by reason.
    pub by_reason: BTreeMap<String, usize>,
    /// Response times of complete answers, in milliseconds: p50, p95 and p99.
    pub answer_ms: [u64; 3],
    /// Times to the first token, in milliseconds: p50, p95 and p99.
    pub first_token_ms: [u64; 3],
    /// Times between tokens, in milliseconds: p50, p95 and p99.
    pub token_gap_ms: [u64; 3],
    /// Cost of completed requests at back ends by kind of stage, in milliseconds.
    pub cost_ms_by_stage: BTreeMap<String, f64>,
    /// Record of each call, for the checker.
    #[serde(skip)]
    pub records: Vec<CallRecord>,
}

struct Arrival {
    at: Duration,
    options: CallOptions,
    seed: usize,
}

/// Runs a plan against the entry points that are resolved at `addresses`.
pub fn run(plan: &LoadPlan, addresses: Vec<SocketAddr>) -> LoadReport {
    let caller = Arc::new(Caller::new(addresses));
    let arrivals = arrivals(plan);
    let started = Instant::now();
    let mut threads = Vec::new();
    let mut unsent = 0;
    for arrival in arrivals {
        if let Some(wait) = arrival.at.checked_sub(started.elapsed()) {
            thread::sleep(wait);
        }
        if Arc::strong_count(&caller) > MAX_IN_FLIGHT {
            unsent += 1;
            continue;
        }
        let caller = caller.clone();
        let attempts = plan.attempts;
        let spawned = thread::Builder::new()
            .stack_size(STACK_BYTES)
            .spawn(move || {
                let reply = caller.call(&arrival.options, arrival.seed, attempts);
                (arrival.options, reply)
            });
        match spawned {
            Ok(thread) => threads.push(thread),
            Err(_) => unsent += 1,
        }
    }
    let replies = threads.into_iter().filter_map(|thread| thread.join().ok());
    let mut report = summarize(replies.collect());
    if unsent > 0 {
        report.by_reason.insert("not_sent".into(), unsent);
    }
    report
}

fn arrivals(plan: &LoadPlan) -> Vec<Arrival> {
    let mut random = ChaCha8Rng::seed_from_u64(plan.seed);
    let end = plan.duration_ms as f64;
    let burst = plan.burst_at_ms as f64..(plan.burst_at_ms + plan.burst_ms) as f64;
    let shares: f64 = plan.tenants.iter().map(|tenant| tenant.share).sum();
    let mut at_ms = 0.0;
    let mut arrivals = Vec::new();
    while arrivals.len() < MAX_REQUESTS {
        let rate = if burst.contains(&at_ms) {
            plan.burst_rate
        } else {
            plan.base_rate
        };
        // Poisson arrivals; a rate of zero waits for the burst.
        let gap = match rate > 0.0 {
            true => -random.gen_range(f64::MIN_POSITIVE..1.0f64).ln() * 1_000.0 / rate,
            false => (burst.start - at_ms).max(1.0),
        };
        let next = at_ms + gap;
        // A gap that crosses the start of the burst ends there.
        at_ms = if at_ms < burst.start && next > burst.start {
            burst.start
        } else {
            next
        };
        if at_ms >= end {
            break;
        }
        let mut choice = random.gen_range(0.0..shares);
        let tenant = plan
            .tenants
            .iter()
            .find(|tenant| {
                choice -= tenant.share;
                choice < 0.0
            })
            .unwrap_or(&plan.tenants[0]);
        let key = format!("s{}-{}", plan.seed, arrivals.len());
        let options = CallOptions {
            text: "x".repeat(plan.text_chars),
            deadline: Duration::from_millis(plan.deadline_ms),
            stream: plan.stream,
            keyed: plan.keyed,
            ..CallOptions::new(&tenant.pipeline, &tenant.tenant, &key)
        };
        arrivals.push(Arrival {
            at: Duration::from_secs_f64(at_ms / 1_000.0),
            options,
            seed: random.gen(),
        });
    }
    arrivals
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 600_000, 3).expect("constant bounds are valid")
}

fn quantiles(histogram: &Histogram<u64>) -> [u64; 3] {
    [0.5, 0.95, 0.99].map(|quantile| histogram.value_at_quantile(quantile))
}

fn milliseconds(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

fn summarize(replies: Vec<(CallOptions, Reply)>) -> LoadReport {
    let mut report = LoadReport {
        sent: replies.len(),
        ..LoadReport::default()
    };
    let (mut response_times, mut first_token_times, mut token_gaps) =
        (new_histogram(), new_histogram(), new_histogram());
    let mut by_tenant: BTreeMap<String, (usize, usize)> = BTreeMap::new();
    for (options, reply) in &replies {
        let is_completed = reply.outcome() == Some("completed");
        let is_in_time = is_completed && reply.elapsed <= options.deadline;
        let tenant = by_tenant.entry(options.tenant.clone()).or_default();
        tenant.0 += usize::from(is_in_time);
        tenant.1 += 1;
        report.in_time += usize::from(is_in_time);
        let reason = match (is_in_time, is_completed) {
            (true, _) => "in_time",
            (false, true) => "late",
            (false, false) => reply.body["reason"].as_str().unwrap_or("no_answer"),
        };
        *report.by_reason.entry(reason.to_owned()).or_default() += 1;
        if is_completed {
            response_times.saturating_record(milliseconds(reply.elapsed));
        }
        if let Some(first) = reply.first_token {
            first_token_times.saturating_record(milliseconds(first));
        }
        for gap in &reply.gaps {
            token_gaps.saturating_record(milliseconds(*gap));
        }
        add_cost(&mut report.cost_ms_by_stage, reply);
        report.records.push(reply.record(options));
    }
    report.attainment = report.in_time as f64 / report.sent.max(1) as f64;
    report.attainment_by_tenant = by_tenant
        .into_iter()
        .map(|(tenant, (in_time, sent))| (tenant, in_time as f64 / sent as f64))
        .collect();
    report.answer_ms = quantiles(&response_times);
    report.first_token_ms = quantiles(&first_token_times);
    report.token_gap_ms = quantiles(&token_gaps);
    report
}

fn add_cost(costs: &mut BTreeMap<String, f64>, reply: &Reply) {
    let stages = reply.body["stages"].as_array();
    for stage in stages.into_iter().flatten() {
        let kind = stage["kind"].as_str().unwrap_or_default();
        let cost = stage["cost_ms"].as_f64().unwrap_or_default();
        *costs.entry(kind.to_owned()).or_default() += cost;
    }
}
