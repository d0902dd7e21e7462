//! Simulates whether reported processing times improve the selection of back ends, when other load
//! on their machines changes the processing time many times a second. Many nodes send requests
//! without affinity to a few back ends, each of which draws a new factor on its processing time
//! every 100 ms. A node knows the factor from the last answer of a back end, or queries two back
//! ends before it sends.
//!
//! `cargo run --release -p silversail-serving --example told_pace`

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Interval between changes of a back end's processing time, in milliseconds.
const CHANGE_INTERVAL_MS: u64 = 100;
/// Possible processing times, as multiples of the normal one.
const TIME_FACTORS: [f64; 4] = [0.6, 1.0, 1.6, 2.5];
const SLOTS: usize = 6;
const SIMULATED_MS: u64 = 120_000;
const SEEDS: u64 = 20;

/// Information by which a node chooses a back end.
#[derive(Clone, Copy, PartialEq)]
enum Information {
    /// The load alone.
    Load,
    /// The load and the processing time, if it was reported at most `within_ms` milliseconds ago.
    ReportedTime { within_ms: u64 },
    /// The processing time of two back ends, which are queried first; this takes two milliseconds.
    QueriedTime,
}

struct Deployment {
    name: &'static str,
    nodes: usize,
    back_ends: usize,
    per_second: f64,
    work_ms: f64,
    objective_ms: f64,
}

#[derive(Clone, Default)]
struct BackEnd {
    /// End of each request in progress, in milliseconds.
    ends: Vec<f64>,
    time_factor: f64,
}

/// Last state of a back end that a node has received.
#[derive(Clone, Copy)]
struct BackEndState {
    at: f64,
    running: usize,
    time_factor: f64,
}

fn simulate(deployment: &Deployment, information: Information, seed: u64) -> (f64, f64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut back_ends = vec![BackEnd::default(); deployment.back_ends];
    let unknown = BackEndState {
        at: f64::NEG_INFINITY,
        running: 0,
        time_factor: 1.0,
    };
    let mut known_states = vec![vec![unknown; deployment.back_ends]; deployment.nodes];
    let mut answers: Vec<(f64, usize, usize)> = Vec::new();
    let (mut count, mut in_time, mut total) = (0.0, 0.0, 0.0);
    for now in 0..SIMULATED_MS {
        let now = now as f64;
        if (now as u64).is_multiple_of(CHANGE_INTERVAL_MS) {
            for back_end in &mut back_ends {
                back_end.time_factor = TIME_FACTORS[random.gen_range(0..TIME_FACTORS.len())];
            }
        }
        for back_end in &mut back_ends {
            back_end.ends.retain(|end| *end > now);
        }
        answers.retain(|(at, node, back_end)| {
            if *at > now {
                return true;
            }
            known_states[*node][*back_end] = BackEndState {
                at: now,
                running: back_ends[*back_end].ends.len(),
                time_factor: back_ends[*back_end].time_factor,
            };
            false
        });
        if random.gen::<f64>() >= deployment.per_second / 1_000.0 {
            continue;
        }
        let node = random.gen_range(0..deployment.nodes);
        let cost = |back_end: usize| {
            let known = known_states[node][back_end];
            let load = match now - known.at < 4_000.0 {
                true => known.running as f64 / SLOTS as f64,
                false => 0.0,
            };
            let is_current = matches!(information, Information::ReportedTime { within_ms } if now - known.at <= within_ms as f64);
            load + if is_current {
                known.time_factor - 1.0
            } else {
                0.0
            }
        };
        let tie_breakers: Vec<f64> = back_ends.iter().map(|_| random.gen()).collect();
        let mut order: Vec<usize> = (0..deployment.back_ends).collect();
        order.sort_by(|left, right| {
            let by_cost = cost(*left).total_cmp(&cost(*right));
            by_cost.then(tie_breakers[*left].total_cmp(&tie_breakers[*right]))
        });
        let (chosen, sent_at) = match information {
            Information::QueriedTime => {
                let queried = &order[..2.min(order.len())];
                let fastest = queried.iter().copied().min_by(|left, right| {
                    back_ends[*left]
                        .time_factor
                        .total_cmp(&back_ends[*right].time_factor)
                });
                (fastest.unwrap_or_default(), now + 2.0)
            }
            Information::Load | Information::ReportedTime { .. } => (order[0], now),
        };
        let back_end = &mut back_ends[chosen];
        let mut ends = back_end.ends.clone();
        ends.sort_by(f64::total_cmp);
        let begins = match ends.len() >= SLOTS {
            true => ends[ends.len() - SLOTS],
            false => sent_at,
        };
        let end = begins.max(sent_at) + deployment.work_ms * back_end.time_factor;
        back_end.ends.push(end);
        answers.push((end, node, chosen));
        count += 1.0;
        total += end - now;
        in_time += f64::from(end - now <= deployment.objective_ms);
    }
    (total / count, in_time / count)
}

fn main() {
    let deployments = [
        Deployment {
            name: "68 nodes, 3 back ends of 15 ms, 143/s",
            nodes: 68,
            back_ends: 3,
            per_second: 143.0,
            work_ms: 15.0,
            objective_ms: 30.0,
        },
        Deployment {
            name: "85 nodes, 7 back ends of 60 ms, 131/s",
            nodes: 85,
            back_ends: 7,
            per_second: 131.0,
            work_ms: 60.0,
            objective_ms: 120.0,
        },
        Deployment {
            name: "9 nodes, 3 back ends of 60 ms, 18/s",
            nodes: 9,
            back_ends: 3,
            per_second: 18.0,
            work_ms: 60.0,
            objective_ms: 120.0,
        },
    ];
    let variants = [
        ("load only", Information::Load),
        (
            "processing time reported within 100 ms",
            Information::ReportedTime { within_ms: 100 },
        ),
        (
            "processing time reported within 300 ms",
            Information::ReportedTime { within_ms: 300 },
        ),
        (
            "processing time reported within 4 s",
            Information::ReportedTime { within_ms: 4_000 },
        ),
        ("two queried", Information::QueriedTime),
    ];
    println!("| deployment | information | mean ms | within twice the normal time |");
    println!("| --- | --- | --- | --- |");
    for deployment in &deployments {
        for (name, information) in variants {
            let runs: Vec<(f64, f64)> = (0..SEEDS)
                .map(|seed| simulate(deployment, information, seed))
                .collect();
            let mean =
                |of: fn(&(f64, f64)) -> f64| runs.iter().map(of).sum::<f64>() / runs.len() as f64;
            println!(
                "| {} | {name} | {:.1} | {:.4} |",
                deployment.name,
                mean(|run| run.0),
                mean(|run| run.1)
            );
        }
    }
}
