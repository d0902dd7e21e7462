//! Compares ways to tell which requests crash engines, on a made-up pool over seeds:
//! `cargo run --release -p silversail-quarantine --example judgement -- [SEEDS]`.
//!
//! 18 engines, 60 requests a second that last 2 s each; some requests crash the engine that runs
//! them and come again each second. One in five of the others asks for one of 20 popular things. An
//! engine is back after 2 s. Callers whose answer broke off
//! try once more, one in ten four times more and at once. In half of the runs a third of the
//! engines is lost together every 5 s.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use silversail_model::{ContentDigest, RequestFingerprint};
use silversail_quarantine::{
    CrashRecord, LocalCrashEvidence, Quarantine, QuarantineCommand, QuarantineLimits,
};
use std::collections::{BTreeMap, BTreeSet};

const ENGINES: usize = 18;
/// Engines per rack.
const RACK: usize = 6;
const DURATION_MS: u64 = 40_000;
const STEP_MS: u64 = 10;
/// Chance of a new request in a step: 60 a second.
const ARRIVAL: f64 = 0.6;
/// Chance that a request asks for a popular thing.
const POPULAR: f64 = 0.2;
/// Number of the first popular request.
const FIRST_POPULAR: u32 = 1_000_000;
const LASTS_MS: u64 = 2_000;
const CRASHES_AFTER_MS: u64 = 100;
const COMES_AGAIN_AFTER_MS: u64 = 1_000;
const DOWN_MS: u64 = 2_000;
/// Between two looks of the leader for verdicts that end.
const LOOKS_EVERY_MS: u64 = 10_000;
const RACK_EVERY_MS: u64 = 5_000;

/// How suspects are told from bystanders.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Way {
    /// Three crashes, whatever else is known.
    BareCount,
    /// The same, but a whole answer clears, and crashes under refused requests count no more.
    Cleared,
}

#[derive(Clone, Copy)]
struct Attempt {
    number: u64,
    request: u32,
    is_guilty: bool,
    tries_left: u32,
    engine: usize,
    ends_at: u64,
}

#[derive(Default)]
struct Outcome {
    /// Attempts of innocent requests.
    falsely_refused: u32,
    innocents: u32,
    /// Crashes under each guilty request until it was refused.
    crashes: BTreeMap<u32, u32>,
    never_refused: u32,
}

struct Pool {
    random: ChaCha8Rng,
    way: Way,
    counts: BTreeMap<u32, BTreeSet<u64>>,
    refused: BTreeSet<u32>,
    quarantine: Quarantine,
    own: LocalCrashEvidence,
    down_until: [u64; ENGINES],
    running: Vec<Attempt>,
    waiting: Vec<(u64, Attempt)>,
    crashes: u64,
    begun: u64,
}

fn fingerprint(request: u32) -> RequestFingerprint {
    RequestFingerprint::of(None, &ContentDigest::of(&request.to_string(), b""))
}

impl Pool {
    fn new(seed: u64, way: Way) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            way,
            counts: BTreeMap::new(),
            refused: BTreeSet::new(),
            quarantine: Quarantine::default(),
            own: LocalCrashEvidence::new(QuarantineLimits::default()),
            down_until: [0; ENGINES],
            running: Vec::new(),
            waiting: Vec::new(),
            crashes: 0,
            begun: 0,
        }
    }

    fn refuses(&self, request: u32) -> bool {
        match self.way {
            Way::BareCount => self.refused.contains(&request),
            Way::Cleared => {
                let list = self.quarantine.list();
                list.refused.contains(&fingerprint(request))
            }
        }
    }

    fn begin(&mut self, mut attempt: Attempt, now: u64) {
        let up: Vec<usize> = (0..ENGINES)
            .filter(|engine| self.down_until[*engine] <= now)
            .collect();
        if up.is_empty() {
            self.waiting.push((now + 20, attempt));
            return;
        }
        self.begun += 1;
        attempt.number = self.begun;
        attempt.engine = up[self.random.gen_range(0..up.len())];
        let lasts = match attempt.is_guilty {
            true => CRASHES_AFTER_MS,
            false => self.random.gen_range(LASTS_MS / 2..LASTS_MS * 3 / 2),
        };
        attempt.ends_at = now + lasts;
        self.running.push(attempt);
    }

    fn crash(&mut self, engine: usize, now: u64) {
        self.crashes += 1;
        self.down_until[engine] = now + DOWN_MS;
        let (broken, rest): (Vec<Attempt>, Vec<Attempt>) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|attempt| attempt.engine == engine);
        self.running = rest;
        self.judge(engine, &broken, now);
        for attempt in broken {
            if attempt.is_guilty {
                self.waiting.push((now + COMES_AGAIN_AFTER_MS, attempt));
            } else if attempt.tries_left > 0 {
                let tries_left = attempt.tries_left - 1;
                self.waiting.push((
                    now + 20,
                    Attempt {
                        tries_left,
                        ..attempt
                    },
                ));
            }
        }
    }

    fn judge(&mut self, engine: usize, broken: &[Attempt], now: u64) {
        match self.way {
            Way::BareCount => {
                for attempt in broken {
                    let crashes = self.counts.entry(attempt.request).or_default();
                    crashes.insert(self.crashes);
                    if crashes.len() >= QuarantineLimits::default().crashes as usize {
                        self.refused.insert(attempt.request);
                    }
                }
            }
            Way::Cleared => {
                let all = broken.iter().map(|attempt| fingerprint(attempt.request));
                let backend = format!("e{engine}-{}", self.crashes);
                let fingerprints = self.own.record_crash(&backend, all, now);
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

    fn end(&mut self, attempt: Attempt) {
        if self.way == Way::Cleared {
            let one = fingerprint(attempt.request);
            self.own.record_success(one);
            if self.quarantine.list().contains(&one) {
                self.quarantine.apply(QuarantineCommand::RecordSuccesses {
                    fingerprints: vec![one],
                    limits: QuarantineLimits::default(),
                });
            }
        }
    }
}

fn play(seed: u64, guilty: u32, loses_racks: bool, way: Way) -> Outcome {
    let mut pool = Pool::new(seed, way);
    let mut outcome = Outcome::default();
    for request in 0..guilty {
        let at = pool.random.gen_range(500..1_500);
        let attempt = Attempt {
            request,
            number: 0,
            is_guilty: true,
            tries_left: 0,
            engine: 0,
            ends_at: 0,
        };
        pool.waiting.push((at, attempt));
    }
    let mut next = guilty;
    for now in (0..DURATION_MS).step_by(STEP_MS as usize) {
        if loses_racks && now > 0 && now.is_multiple_of(RACK_EVERY_MS) {
            let first = RACK * pool.random.gen_range(0..ENGINES / RACK);
            for engine in first..first + RACK {
                pool.crash(engine, now);
            }
        }
        if way == Way::Cleared && now.is_multiple_of(LOOKS_EVERY_MS) {
            pool.quarantine.apply(QuarantineCommand::Expire {
                now_ms: now,
                limits: QuarantineLimits::default(),
            });
        }
        if pool.random.gen_bool(ARRIVAL) {
            let tries_left = if pool.random.gen_bool(0.1) { 4 } else { 1 };
            let is_popular = pool.random.gen_bool(POPULAR);
            let request = match is_popular {
                true => FIRST_POPULAR + pool.random.gen_range(0..20),
                false => next,
            };
            let attempt = Attempt {
                number: 0,
                request,
                is_guilty: false,
                tries_left,
                engine: 0,
                ends_at: 0,
            };
            next += 1;
            match pool.refuses(request) {
                true => outcome.falsely_refused += 1,
                false => pool.begin(attempt, now),
            }
        }
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut pool.waiting)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        pool.waiting = later;
        for (_, attempt) in due {
            match pool.refuses(attempt.request) {
                false => pool.begin(attempt, now),
                true if attempt.is_guilty => {
                    pool.waiting.push((now + COMES_AGAIN_AFTER_MS, attempt));
                }
                true => outcome.falsely_refused += 1,
            }
        }
        let ending: Vec<Attempt> = pool
            .running
            .iter()
            .filter(|attempt| attempt.ends_at <= now)
            .copied()
            .collect();
        for attempt in ending {
            let is_running = |one: &Attempt| one.number == attempt.number;
            if !pool.running.iter().any(is_running) {
                continue;
            }
            if attempt.is_guilty {
                *outcome.crashes.entry(attempt.request).or_default() += 1;
                pool.crash(attempt.engine, now);
            } else {
                pool.running.retain(|one| !is_running(one));
                pool.end(attempt);
            }
        }
    }
    outcome.innocents = next - guilty;
    outcome.never_refused = (0..guilty).filter(|one| !pool.refuses(*one)).count() as u32;
    outcome
}

fn main() {
    let seeds = std::env::args().nth(1);
    let seeds: u64 = seeds.and_then(|text| text.parse().ok()).unwrap_or(200);
    println!(
        "guilty | racks lost | way | innocents refused | crashes until refused, mean, most | never"
    );
    for guilty in [1, 3, 10] {
        for loses_racks in [false, true] {
            for (name, way) in [("count", Way::BareCount), ("cleared", Way::Cleared)] {
                let plays: Vec<Outcome> = (0..seeds)
                    .map(|seed| play(seed, guilty, loses_racks, way))
                    .collect();
                let false_ones: u32 = plays.iter().map(|one| one.falsely_refused).sum();
                let innocents: u32 = plays.iter().map(|one| one.innocents).sum();
                let crashes: Vec<u32> = plays
                    .iter()
                    .flat_map(|one| one.crashes.values().copied())
                    .collect();
                let mean = f64::from(crashes.iter().sum::<u32>()) / crashes.len().max(1) as f64;
                let most = crashes.iter().max().copied().unwrap_or_default();
                let never: u32 = plays.iter().map(|one| one.never_refused).sum();
                println!("{guilty} | {loses_racks} | {name} | {false_ones} of {innocents} | {mean:.2}, {most} | {never}");
            }
        }
    }
}
