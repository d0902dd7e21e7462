//! Plays rollouts of good and bad versions on a small fake and prints what came of them:
//! `cargo run --release -p silversail-rollout --example rollout_trials -- [SECONDS [SEEDS
//! [LATEST [REPORT]]]]`, with the latest time at which a directive reaches a node (the first is
//! half of it) and the time until the leader has a node's counts, in milliseconds.

#[path = "../tests/fake/mod.rs"]
mod fake;

use fake::{play, Fault, Outcome, Setting, Upset, BATCHED, GOOD, PLAIN, STREAMS};
use silversail_rollout::RolloutDecision;

const THREADS: u64 = 3;

fn faults() -> Vec<(&'static str, Fault)> {
    let failing = |failing: f64| Fault { failing, ..GOOD };
    vec![
        ("good", GOOD),
        ("all fail", failing(1.0)),
        ("30 in 100 fail", failing(0.3)),
        ("10 in 100 fail", failing(0.1)),
        (
            "4 times slower",
            Fault {
                times_slower: 4.0,
                ..GOOD
            },
        ),
        (
            "30 in 100 fail, 4 times slower",
            Fault {
                times_slower: 4.0,
                ..failing(0.3)
            },
        ),
        (
            "30 in 100 fail from half time",
            Fault {
                from_part: 0.5,
                ..failing(0.3)
            },
        ),
        (
            "30 in 100 fail above 30 in 100 of requests",
            Fault {
                above_share: 0.3,
                ..failing(0.3)
            },
        ),
        (
            "30 in 100 fail on one route",
            Fault {
                route: Some(0),
                ..failing(0.3)
            },
        ),
    ]
}

fn trials(setting: Setting, seeds: u64) -> Vec<Outcome> {
    let workers: Vec<_> = (0..THREADS)
        .map(|worker| {
            std::thread::spawn(move || {
                (0..seeds)
                    .filter(|seed| seed % THREADS == worker)
                    .map(|seed| play(setting, seed))
                    .collect::<Vec<_>>()
            })
        })
        .collect();
    workers
        .into_iter()
        .flat_map(|worker| worker.join().expect("a trial does not panic"))
        .collect()
}

fn is_rolled_back(outcome: &Outcome) -> bool {
    matches!(outcome.decision, Some(RolloutDecision::RollBack(_)))
}

/// Requests in 100 of the bound.
fn part(requests: u64, outcome: &Outcome) -> u64 {
    (requests as f64 / outcome.bound() * 100.0) as u64
}

/// `completed in time + late / rolled back in time + late; most requests of the candidate until
/// the deadline, and until the last one where it was rolled back, in 100 of the bound`.
fn cell(outcomes: &[Outcome], duration_ms: u64) -> String {
    let count = |is_completed: bool, is_in_time: bool| {
        outcomes
            .iter()
            .filter(|one| one.is_completed() == is_completed)
            .filter(|one| (one.decided_at_ms <= duration_ms) == is_in_time)
            .count()
    };
    let until_deadline = outcomes.iter().map(|one| part(one.until_deadline.1, one));
    let until_last = outcomes
        .iter()
        .filter(|one| is_rolled_back(one))
        .map(|one| part(one.to_candidate, one));
    format!(
        "{}+{} / {}+{}; {}, {}",
        count(true, true),
        count(true, false),
        count(false, true),
        count(false, false),
        until_deadline.max().unwrap_or(0),
        until_last.max().unwrap_or(0),
    )
}

fn quantile(values: &mut [u64], share: f64) -> u64 {
    values.sort_unstable();
    let last = values.len().saturating_sub(1) as f64;
    values
        .get((last * share).round() as usize)
        .copied()
        .unwrap_or(0)
}

/// Figures over all versions.
#[derive(Default)]
struct Summary {
    after_50th_ms: Vec<u64>,
    bad_at_verdict: Vec<u64>,
    left_at_baseline: Vec<u64>,
}

impl Summary {
    fn add(&mut self, outcomes: &[Outcome]) {
        for outcome in outcomes {
            self.after_50th_ms.extend(outcome.last_after_50th_ms);
            if is_rolled_back(outcome) {
                self.bad_at_verdict.push(outcome.bad_answers_at_decision);
            } else {
                self.left_at_baseline.push(outcome.left_at_baseline);
            }
        }
    }

    fn print(&mut self, service: &str) {
        let line = |name: &str, values: &mut Vec<u64>| {
            let (median, most) = (quantile(values, 0.5), quantile(values, 1.0));
            let p99 = quantile(values, 0.99);
            println!(
                "{service}: {name}: p50 {median}, p99 {p99}, most {most} ({})",
                values.len()
            );
        };
        line(
            "ms from the 50th bad answer to the last request",
            &mut self.after_50th_ms,
        );
        line("bad answers at the roll-back", &mut self.bad_at_verdict);
        line(
            "answers under way at the baseline when completed",
            &mut self.left_at_baseline,
        );
    }
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let mut number = |default: u64| -> u64 {
        let argument = arguments.next();
        argument
            .and_then(|text| text.parse().ok())
            .unwrap_or(default)
    };
    let (seconds, seeds, latest, report) = (number(12), number(200), number(200), number(200));
    let services = [("streams", STREAMS), ("plain", PLAIN), ("batched", BATCHED)];
    let mut summaries = services.map(|_| Summary::default());
    println!("| version | streams | plain | batched |\n| --- | --- | --- | --- |");
    for (name, fault) in faults() {
        for (has_background, has_new_leader) in [(false, false), (true, false), (false, true)] {
            let mut row = name.to_owned();
            row.push_str(if has_background { ", trouble" } else { "" });
            row.push_str(if has_new_leader { ", new leader" } else { "" });
            for ((_, routes), summary) in services.iter().zip(&mut summaries) {
                let setting = Setting {
                    routes,
                    fault,
                    has_background,
                    upset: if has_new_leader {
                        Upset::NewLeader(seconds * 500)
                    } else {
                        Upset::None
                    },
                    duration_ms: seconds * 1_000,
                    directive_delay_ms: (latest / 2, latest),
                    report_delay_ms: report,
                };
                let outcomes = trials(setting, seeds);
                summary.add(&outcomes);
                row.push_str(" | ");
                row.push_str(&cell(&outcomes, setting.duration_ms));
            }
            println!("| {row} |");
        }
    }
    println!();
    for ((service, _), summary) in services.iter().zip(&mut summaries) {
        summary.print(service);
    }
}
