//! Subcommand `simulate`.

use crate::errors::CliError;
use argh::FromArgs;
use silversail_simulation::{run_seed, run_seed_with_orders, SeedReport};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::thread;

/// Simulates clusters of the daemon's actors under virtual time with random faults,
/// one run per seed.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "simulate",
    example = "{command_name} --seeds 100",
    example = "{command_name} --first-seed 42 --seeds 1",
    example = "{command_name} --orders --seeds 100"
)]
pub struct Simulate {
    /// number of seeds
    #[argh(option, default = "20")]
    seeds: u64,
    /// first seed
    #[argh(option, default = "0")]
    first_seed: u64,
    /// number of seeds that run in parallel
    #[argh(option, default = "4")]
    threads: usize,
    /// also order rollouts and evacuations
    #[argh(switch)]
    orders: bool,
}

impl Simulate {
    /// Runs all seeds; fails if any violates an invariant.
    pub fn run(self) -> Result<(), CliError> {
        let next = AtomicU64::new(self.first_seed);
        let end = self.first_seed + self.seeds;
        let reports: Mutex<Vec<SeedReport>> = Mutex::new(Vec::new());
        thread::scope(|scope| {
            for _ in 0..self.threads {
                scope.spawn(|| loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= end {
                        return;
                    }
                    let report = match self.orders {
                        true => run_seed_with_orders(seed),
                        false => run_seed(seed),
                    };
                    if !report.failures.is_empty() {
                        let orders = if self.orders { " --orders" } else { "" };
                        println!("seed {seed}: {:#?}", report.failures);
                        println!(
                            "repeat with: silversail simulate{orders} --first-seed {seed} --seeds 1"
                        );
                    }
                    reports.lock().expect("not poisoned").push(report);
                });
            }
        });
        summarize(&reports.into_inner().expect("not poisoned"))
    }
}

fn summarize(reports: &[SeedReport]) -> Result<(), CliError> {
    let sum = |count: fn(&SeedReport) -> usize| reports.iter().map(count).sum::<usize>();
    let mut recoveries: Vec<u64> = reports.iter().map(|report| report.recovery_ms).collect();
    recoveries.sort_unstable();
    let failed = sum(|report| usize::from(!report.failures.is_empty()));
    println!(
        "{} seeds, {failed} failed; {} changes accepted, {} calls answered, {} calls ran, {} crashes, {} disks wiped, {} orders acknowledged; recovery median {} ms, worst {} ms",
        reports.len(),
        sum(|report| report.accepted),
        sum(|report| report.outcomes.values().sum()),
        sum(|report| report.runs),
        sum(|report| report.crashes),
        sum(|report| report.wipes),
        sum(|report| report.orders),
        recoveries.get(recoveries.len() / 2).unwrap_or(&0),
        recoveries.last().unwrap_or(&0),
    );
    let first = reports
        .iter()
        .filter(|report| !report.failures.is_empty())
        .min_by_key(|report| report.seed);
    if let Some(first) = first {
        let failure = first.failures.first().map_or("", String::as_str);
        println!("first failing seed {}: {failure}", first.seed);
    }
    match failed {
        0 => Ok(()),
        _ => Err(CliError::Local(format!("{failed} seeds failed"))),
    }
}
