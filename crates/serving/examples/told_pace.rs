//! Whether it pays to heed how long back ends say that work takes there now, as other work on
//! their machines changes that many times a second. A model: plain requests of many nodes to a few
//! back ends, each of which draws a new pace each tenth of a second; a node knows the pace of a
//! back end from its last answer there, or asks two of them before it sends.
//!
//! `cargo run --release -p silversail-serving --example told_pace`

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time for which a back end keeps a pace, in milliseconds.
const PACE_FOR_MS: u64 = 100;
/// Paces that are drawn, as shares of the usual time.
const PACES: [f64; 4] = [0.6, 1.0, 1.6, 2.5];
const SLOTS: usize = 6;
const PLAYED_MS: u64 = 120_000;
const SEEDS: u64 = 20;

/// What a node heeds.
#[derive(Clone, Copy, PartialEq)]
enum Heeds {
    /// The load only.
    Load,
    /// The pace too, where it was told so many milliseconds ago at most.
    PaceTold { within_ms: u64 },
    /// The pace of two back ends that it asks first, which takes two milliseconds.
    PaceAsked,
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
    /// When each request under way ends, in milliseconds.
    ends: Vec<f64>,
    pace: f64,
}

/// What a node last heard of a back end.
#[derive(Clone, Copy)]
struct BackEndState {
    at: f64,
    running: usize,
    pace: f64,
}

fn play(deployment: &Deployment, heeds: Heeds, seed: u64) -> (f64, f64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut back_ends = vec![BackEnd::default(); deployment.back_ends];
    let nothing = BackEndState {
        at: f64::NEG_INFINITY,
        running: 0,
        pace: 1.0,
    };
    let mut heard = vec![vec![nothing; deployment.back_ends]; deployment.nodes];
    let mut answers: Vec<(f64, usize, usize)> = Vec::new();
    let (mut count, mut in_time, mut total) = (0.0, 0.0, 0.0);
    for now in 0..PLAYED_MS {
        let now = now as f64;
        if (now as u64).is_multiple_of(PACE_FOR_MS) {
            for back_end in &mut back_ends {
                back_end.pace = PACES[random.gen_range(0..PACES.len())];
            }
        }
        for back_end in &mut back_ends {
            back_end.ends.retain(|end| *end > now);
        }
        answers.retain(|(at, node, back_end)| {
            if *at > now {
                return true;
            }
            heard[*node][*back_end] = BackEndState {
                at: now,
                running: back_ends[*back_end].ends.len(),
                pace: back_ends[*back_end].pace,
            };
            false
        });
        if random.gen::<f64>() >= deployment.per_second / 1_000.0 {
            continue;
        }
        let node = random.gen_range(0..deployment.nodes);
        let cost = |back_end: usize| {
            let one = heard[node][back_end];
            let load = match now - one.at < 4_000.0 {
                true => one.running as f64 / SLOTS as f64,
                false => 0.0,
            };
            let is_told =
                matches!(heeds, Heeds::PaceTold { within_ms } if now - one.at <= within_ms as f64);
            load + if is_told { one.pace - 1.0 } else { 0.0 }
        };
        let lots: Vec<f64> = back_ends.iter().map(|_| random.gen()).collect();
        let mut order: Vec<usize> = (0..deployment.back_ends).collect();
        order.sort_by(|left, right| {
            let by_cost = cost(*left).total_cmp(&cost(*right));
            by_cost.then(lots[*left].total_cmp(&lots[*right]))
        });
        let (chosen, sent_at) = match heeds {
            Heeds::PaceAsked => {
                let asked = &order[..2.min(order.len())];
                let quickest = asked
                    .iter()
                    .copied()
                    .min_by(|left, right| back_ends[*left].pace.total_cmp(&back_ends[*right].pace));
                (quickest.unwrap_or_default(), now + 2.0)
            }
            Heeds::Load | Heeds::PaceTold { .. } => (order[0], now),
        };
        let back_end = &mut back_ends[chosen];
        let mut ends = back_end.ends.clone();
        ends.sort_by(f64::total_cmp);
        let begins = match ends.len() >= SLOTS {
            true => ends[ends.len() - SLOTS],
            false => sent_at,
        };
        let end = begins.max(sent_at) + deployment.work_ms * back_end.pace;
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
    let ways = [
        ("load only", Heeds::Load),
        ("pace told 100 ms ago", Heeds::PaceTold { within_ms: 100 }),
        ("pace told 300 ms ago", Heeds::PaceTold { within_ms: 300 }),
        ("pace told 4 s ago", Heeds::PaceTold { within_ms: 4_000 }),
        ("two asked", Heeds::PaceAsked),
    ];
    println!("| deployment | heeds | mean ms | in twice the usual time |");
    println!("| --- | --- | --- | --- |");
    for deployment in &deployments {
        for (name, heeds) in ways {
            let plays: Vec<(f64, f64)> = (0..SEEDS)
                .map(|seed| play(deployment, heeds, seed))
                .collect();
            let mean =
                |of: fn(&(f64, f64)) -> f64| plays.iter().map(of).sum::<f64>() / plays.len() as f64;
            println!(
                "| {} | {name} | {:.1} | {:.4} |",
                deployment.name,
                mean(|play| play.0),
                mean(|play| play.1)
            );
        }
    }
}
