//! Runs the load of each example fleet on real processes, without and with injected
//! faults, and prints the results and the violations that the checker finds:
//! `cargo run --release -p silversail-testbed --example fleets -- [SECONDS]`, where
//! SECONDS is the duration of each of the four runs.

use serde_json::{json, Value};
use silversail_testbed::cluster::{program_beside_example, read_yaml};
use silversail_testbed::emulate::EmulatorConfig;
use silversail_testbed::load::run;
use silversail_testbed::{
    check, CallRecord, Cluster, ClusterOptions, Emulator, LinkFault, LoadPlan, LoadReport,
    Violation,
};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const NODES: usize = 9;
const VOTERS: usize = 5;
/// Time between the end of a fault and the next one.
const FAULT_INTERVAL: Duration = Duration::from_secs(20);
/// Duration of a fault.
const FAULT_DURATION: Duration = Duration::from_secs(6);
/// Pipelines whose last stage is a service with a run log.
const LOGGED_PIPELINES: [&str; 2] = ["barrier-open", "subset"];

fn main() {
    let seconds: u64 = std::env::args()
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(150);
    println!("| fleet | faults | requests | attainment | worst tenant | answers by reason | cost by stage, ms per answer in time | violations |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for fleet in ["car-park", "quillmark"] {
        for faults in [false, true] {
            run_fleet(fleet, seconds, faults);
        }
    }
}

fn run_fleet(fleet: &str, seconds: u64, faults: bool) {
    let folder = Path::new("examples").join(fleet);
    let config: EmulatorConfig =
        read_yaml(&folder.join("backends.yaml")).expect("the file is valid");
    let document: Value = read_yaml(&folder.join("pipelines.yaml")).expect("the file is valid");
    let mut plan: LoadPlan = read_yaml(&folder.join("load.yaml")).expect("the file is valid");
    plan.duration_ms = seconds * 1_000;
    plan.keyed = true;
    plan.attempts = 2;
    let emulator = Emulator::start(&config).expect("back ends start");
    let mut options = ClusterOptions::new(NODES, VOTERS);
    options.proxied = true;
    options.settings = json!({ "log": { "level": "warn" } });
    let mut cluster = Cluster::start(
        &program_beside_example("silversaild").expect("a path"),
        &options,
    )
    .expect("processes start");
    assert!(cluster.wait_until_serving());
    let (status, answer) = cluster.change(0, "fleet", 0, document).expect("an answer");
    assert_eq!(status, 200, "{answer}");
    assert!(cluster.wait_for_revision(1) && cluster.wait_for_usable(NODES));
    let addresses = cluster.nodes.iter().map(|node| node.callers).collect();
    let is_finished = AtomicBool::new(false);
    let report = thread::scope(|scope| {
        let load = scope.spawn(|| run(&plan, addresses));
        let is_finished = &is_finished;
        if faults {
            let cluster = &mut cluster;
            scope.spawn(move || inject_faults(cluster, is_finished));
        }
        let report = load.join().expect("joined");
        is_finished.store(true, Ordering::Relaxed);
        report
    });
    print_row(fleet, faults, &report, &emulator);
}

/// Injects a fault into one process after another until the load has ended: a kill, a
/// network isolation or a freeze.
fn inject_faults(cluster: &mut Cluster, is_finished: &AtomicBool) {
    let mut step = 0;
    while wait(FAULT_INTERVAL, is_finished) {
        // Steps of 2 over 9 processes reach all of them, voters and others.
        let position = (step * 2) % NODES;
        match step % 3 {
            0 => cluster.kill(position),
            1 => cluster.set_all_links(position, LinkFault::black_hole()),
            _ => cluster.freeze(position),
        }
        thread::sleep(FAULT_DURATION);
        match step % 3 {
            0 => cluster.spawn(position).expect("started"),
            1 => cluster.set_all_links(position, LinkFault::default()),
            _ => cluster.resume(position),
        }
        step += 1;
    }
}

/// Waits for `time`; false when the load ends before.
fn wait(time: Duration, is_finished: &AtomicBool) -> bool {
    let started = Instant::now();
    while started.elapsed() < time {
        if is_finished.load(Ordering::Relaxed) {
            return false;
        }
        thread::sleep(Duration::from_millis(100));
    }
    true
}

fn print_row(fleet: &str, faults: bool, report: &LoadReport, emulator: &Emulator) {
    let runs = emulator.run_log.records();
    let is_logged = |call: &&CallRecord| LOGGED_PIPELINES.contains(&call.pipeline.as_str());
    let logged: Vec<CallRecord> = report.records.iter().filter(is_logged).cloned().collect();
    let others: Vec<CallRecord> = report
        .records
        .iter()
        .filter(|call| !is_logged(call))
        .cloned()
        .collect();
    let mut violations = check(&logged, &runs);
    violations.extend(check(&others, &[]));
    let lost = violations
        .iter()
        .filter(|violation| matches!(violation, Violation::Lost { .. }))
        .count();
    violations.retain(|violation| !matches!(violation, Violation::Lost { .. }));
    let worst = report
        .attainment_by_tenant
        .values()
        .copied()
        .fold(1.0, f64::min);
    let in_time = report.in_time.max(1) as f64;
    let costs: Vec<String> = report
        .cost_ms_by_stage
        .iter()
        .map(|(stage, cost)| format!("{stage} {:.1}", cost / in_time))
        .collect();
    let reasons: Vec<String> = report
        .by_reason
        .iter()
        .map(|(reason, count)| format!("{reason} {count}"))
        .collect();
    println!(
        "| {fleet} | {} | {} | {:.4} | {worst:.3} | {} | {} | {} violations; {lost} calls without an answer |",
        if faults { "kill, isolation or freeze each 20 s" } else { "none" },
        report.sent,
        report.attainment,
        reasons.join(", "),
        costs.join(", "),
        violations.len(),
    );
    for violation in violations {
        eprintln!("{violation:?}");
    }
}
