//! Compares two methods to detect requests that crash engines, in simulations over many seeds:
//! `cargo run --release -p silversail-quarantine --example judgement -- [SEEDS]`.
//!
//! 18 engines serve 60 requests per second of about 2 s each. Some requests crash the engine that
//! runs them and are retried every second. One in five of the others is one of 20 popular
//! requests. An engine restarts within 2 s. Interrupted requests are retried once, one in ten of
//! them up to four times. In half of the runs a rack of engines fails every 5 s.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use silversail_model::{ContentDigest, RequestFingerprint};
use silversail_quarantine::{
    CrashRecord, LocalCrashEvidence, Quarantine, QuarantineCommand, QuarantineLimits,
};
use std::collections::{BTreeMap, BTreeSet};

const ENGINES: usize = 18;
/// Engines that fail together.
const ENGINES_PER_RACK: usize = 6;
const DURATION_MS: u64 = 40_000;
const STEP_MS: u64 = 10;
/// Probability of a new request in a step: 60 requests per second.
const ARRIVAL_PROBABILITY: f64 = 0.6;
/// Probability that a request is one of the popular ones.
const POPULAR_PROBABILITY: f64 = 0.2;
/// Identifier of the first popular request.
const FIRST_POPULAR_REQUEST: u32 = 1_000_000;
const REQUEST_DURATION_MS: u64 = 2_000;
const CRASH_DELAY_MS: u64 = 100;
const CRASHING_REQUEST_RETRY_MS: u64 = 1_000;
const RESTART_MS: u64 = 2_000;
/// Interval at which the leader expires refusals and suspects.
const EXPIRE_INTERVAL_MS: u64 = 10_000;
const RACK_LOSS_INTERVAL_MS: u64 = 5_000;

/// How requests that crash engines are told from those in flight by coincidence.
#[derive(Clone, Copy, PartialEq, Eq)]
enum DetectionMethod {
    /// Refuses a request after three crashes, without other evidence.
    CrashCount,
    /// Uses the quarantine: complete responses clear a request, and a crash that a refused request
    /// explains does not count against others.
    Quarantine,
}

#[derive(Clone, Copy)]
struct Attempt {
    number: u64,
    request: u32,
    crashes_engine: bool,
    retries_left: u32,
    engine: usize,
    ends_at: u64,
}

#[derive(Default)]
struct Outcome {
    /// Refused attempts of harmless requests.
    harmless_refused: u32,
    harmless_attempts: u32,
    /// Crashes that each crashing request caused until it was refused.
    crashes: BTreeMap<u32, u32>,
    crashing_not_refused: u32,
}

struct Pool {
    random: ChaCha8Rng,
    method: DetectionMethod,
    crashes_by_request: BTreeMap<u32, BTreeSet<u64>>,
    refused: BTreeSet<u32>,
    quarantine: Quarantine,
    local_evidence: LocalCrashEvidence,
    down_until: [u64; ENGINES],
    running: Vec<Attempt>,
    waiting: Vec<(u64, Attempt)>,
    crashes: u64,
    started_attempts: u64,
}

fn fingerprint(request: u32) -> RequestFingerprint {
    RequestFingerprint::of(None, &ContentDigest::of(&request.to_string(), b""))
}

impl Pool {
    fn new(seed: u64, method: DetectionMethod) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            method,
            crashes_by_request: BTreeMap::new(),
            refused: BTreeSet::new(),
            quarantine: Quarantine::default(),
            local_evidence: LocalCrashEvidence::new(QuarantineLimits::default()),
            down_until: [0; ENGINES],
            running: Vec::new(),
            waiting: Vec::new(),
            crashes: 0,
            started_attempts: 0,
        }
    }

    fn is_refused(&self, request: u32) -> bool {
        match self.method {
            DetectionMethod::CrashCount => self.refused.contains(&request),
            DetectionMethod::Quarantine => {
                let list = self.quarantine.list();
                list.refused.contains(&fingerprint(request))
            }
        }
    }

    fn start_attempt(&mut self, mut attempt: Attempt, now: u64) {
        let available: Vec<usize> = (0..ENGINES)
            .filter(|engine| self.down_until[*engine] <= now)
            .collect();
        if available.is_empty() {
            self.waiting.push((now + 20, attempt));
            return;
        }
        self.started_attempts += 1;
        attempt.number = self.started_attempts;
        attempt.engine = available[self.random.gen_range(0..available.len())];
        let duration_ms = match attempt.crashes_engine {
            true => CRASH_DELAY_MS,
            false => self
                .random
                .gen_range(REQUEST_DURATION_MS / 2..REQUEST_DURATION_MS * 3 / 2),
        };
        attempt.ends_at = now + duration_ms;
        self.running.push(attempt);
    }

    fn crash(&mut self, engine: usize, now: u64) {
        self.crashes += 1;
        self.down_until[engine] = now + RESTART_MS;
        let (interrupted, still_running): (Vec<Attempt>, Vec<Attempt>) =
            std::mem::take(&mut self.running)
                .into_iter()
                .partition(|attempt| attempt.engine == engine);
        self.running = still_running;
        self.record_crash_evidence(engine, &interrupted, now);
        for attempt in interrupted {
            if attempt.crashes_engine {
                self.waiting
                    .push((now + CRASHING_REQUEST_RETRY_MS, attempt));
            } else if attempt.retries_left > 0 {
                let retries_left = attempt.retries_left - 1;
                self.waiting.push((
                    now + 20,
                    Attempt {
                        retries_left,
                        ..attempt
                    },
                ));
            }
        }
    }

    fn record_crash_evidence(&mut self, engine: usize, interrupted: &[Attempt], now: u64) {
        match self.method {
            DetectionMethod::CrashCount => {
                for attempt in interrupted {
                    let crashes = self.crashes_by_request.entry(attempt.request).or_default();
                    crashes.insert(self.crashes);
                    if crashes.len() >= QuarantineLimits::default().crashes as usize {
                        self.refused.insert(attempt.request);
                    }
                }
            }
            DetectionMethod::Quarantine => {
                let fingerprints = interrupted
                    .iter()
                    .map(|attempt| fingerprint(attempt.request));
                let backend = format!("e{engine}-{}", self.crashes);
                let fingerprints = self
                    .local_evidence
                    .record_crash(&backend, fingerprints, now);
                let record = CrashRecord {
                    backend,
                    at_ms: now,
                    fingerprints,
                };
                self.quarantine.apply(QuarantineCommand::RecordCrashes {
                    crashes: vec![record],
                    limits: QuarantineLimits::default(),
                });
            }
        }
    }

    fn complete(&mut self, attempt: Attempt) {
        if self.method == DetectionMethod::Quarantine {
            let succeeded = fingerprint(attempt.request);
            self.local_evidence.record_success(succeeded);
            if self.quarantine.list().contains(&succeeded) {
                self.quarantine.apply(QuarantineCommand::RecordSuccesses {
                    fingerprints: vec![succeeded],
                    limits: QuarantineLimits::default(),
                });
            }
        }
    }
}

fn simulate(
    seed: u64,
    crashing_requests: u32,
    has_rack_losses: bool,
    method: DetectionMethod,
) -> Outcome {
    let mut pool = Pool::new(seed, method);
    let mut outcome = Outcome::default();
    for request in 0..crashing_requests {
        let at = pool.random.gen_range(500..1_500);
        let attempt = Attempt {
            request,
            number: 0,
            crashes_engine: true,
            retries_left: 0,
            engine: 0,
            ends_at: 0,
        };
        pool.waiting.push((at, attempt));
    }
    let mut next_request = crashing_requests;
    for now in (0..DURATION_MS).step_by(STEP_MS as usize) {
        if has_rack_losses && now > 0 && now.is_multiple_of(RACK_LOSS_INTERVAL_MS) {
            let first_engine =
                ENGINES_PER_RACK * pool.random.gen_range(0..ENGINES / ENGINES_PER_RACK);
            for engine in first_engine..first_engine + ENGINES_PER_RACK {
                pool.crash(engine, now);
            }
        }
        if method == DetectionMethod::Quarantine && now.is_multiple_of(EXPIRE_INTERVAL_MS) {
            pool.quarantine.apply(QuarantineCommand::Expire {
                now_ms: now,
                limits: QuarantineLimits::default(),
            });
        }
        if pool.random.gen_bool(ARRIVAL_PROBABILITY) {
            let retries_left = if pool.random.gen_bool(0.1) { 4 } else { 1 };
            let is_popular = pool.random.gen_bool(POPULAR_PROBABILITY);
            let request = match is_popular {
                true => FIRST_POPULAR_REQUEST + pool.random.gen_range(0..20),
                false => next_request,
            };
            let attempt = Attempt {
                number: 0,
                request,
                crashes_engine: false,
                retries_left,
                engine: 0,
                ends_at: 0,
            };
            next_request += 1;
            match pool.is_refused(request) {
                true => outcome.harmless_refused += 1,
                false => pool.start_attempt(attempt, now),
            }
        }
        let (due, still_waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut pool.waiting)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        pool.waiting = still_waiting;
        for (_, attempt) in due {
            match pool.is_refused(attempt.request) {
                false => pool.start_attempt(attempt, now),
                true if attempt.crashes_engine => {
                    pool.waiting
                        .push((now + CRASHING_REQUEST_RETRY_MS, attempt));
                }
                true => outcome.harmless_refused += 1,
            }
        }
        let completed: Vec<Attempt> = pool
            .running
            .iter()
            .filter(|attempt| attempt.ends_at <= now)
            .copied()
            .collect();
        for attempt in completed {
            let is_running = |running: &Attempt| running.number == attempt.number;
            if !pool.running.iter().any(is_running) {
                continue;
            }
            if attempt.crashes_engine {
                *outcome.crashes.entry(attempt.request).or_default() += 1;
                pool.crash(attempt.engine, now);
            } else {
                pool.running.retain(|running| !is_running(running));
                pool.complete(attempt);
            }
        }
    }
    outcome.harmless_attempts = next_request - crashing_requests;
    outcome.crashing_not_refused = (0..crashing_requests)
        .filter(|request| !pool.is_refused(*request))
        .count() as u32;
    outcome
}

fn main() {
    let seeds = std::env::args().nth(1);
    let seeds: u64 = seeds
        .and_then(|argument| argument.parse().ok())
        .unwrap_or(200);
    println!(
        "crashing requests | rack losses | method | harmless refused | crashes until refused: mean, maximum | not refused"
    );
    for crashing_requests in [1, 3, 10] {
        for has_rack_losses in [false, true] {
            for (name, method) in [
                ("crash count", DetectionMethod::CrashCount),
                ("quarantine", DetectionMethod::Quarantine),
            ] {
                let outcomes: Vec<Outcome> = (0..seeds)
                    .map(|seed| simulate(seed, crashing_requests, has_rack_losses, method))
                    .collect();
                let harmless_refused: u32 = outcomes
                    .iter()
                    .map(|outcome| outcome.harmless_refused)
                    .sum();
                let harmless_attempts: u32 = outcomes
                    .iter()
                    .map(|outcome| outcome.harmless_attempts)
                    .sum();
                let crashes: Vec<u32> = outcomes
                    .iter()
                    .flat_map(|outcome| outcome.crashes.values().copied())
                    .collect();
                let mean = f64::from(crashes.iter().sum::<u32>()) / crashes.len().max(1) as f64;
                let maximum = crashes.iter().max().copied().unwrap_or_default();
                let not_refused: u32 = outcomes
                    .iter()
                    .map(|outcome| outcome.crashing_not_refused)
                    .sum();
                println!("{crashing_requests} | {has_rack_losses} | {name} | {harmless_refused} of {harmless_attempts} | {mean:.2}, {maximum} | {not_refused}");
            }
        }
    }
}
