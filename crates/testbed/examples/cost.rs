//! Measures the resource use of real processes as input of `silversail plan`: control
//! at 3, 5 and 10 nodes, propagation of changes, the ledger and the data path:
//! `cargo run --release -p silversail-testbed --example cost`.

use serde_json::{json, Value};
use silversail_testbed::cluster::{metric_sum, program_beside_example};
use silversail_testbed::emulate::EmulatorConfig;
use silversail_testbed::load::{run, TenantLoad};
use silversail_testbed::{CallOptions, Caller, Cluster, ClusterOptions, Emulator, LoadPlan};
use std::net::SocketAddr;

use std::time::{Duration, Instant};

/// Time over which the use of idle processes is measured.
const IDLE_PERIOD: Duration = Duration::from_secs(10);
/// Clock ticks per second of the processor time in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Number of changes whose propagation is measured.
const MEASURED_CHANGES: usize = 40;

fn main() {
    println!("processes:");
    for nodes in [3, 5, 10] {
        measure_control(nodes);
    }
    measure_data_path();
}

/// Processor time in seconds and resident memory in megabytes of a process.
fn usage(process: u32) -> (f64, f64) {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<f64> = after_name
        .split_whitespace()
        .map(|field| field.parse().unwrap_or(0.0))
        .collect();
    let ticks = fields.get(11).unwrap_or(&0.0) + fields.get(12).unwrap_or(&0.0);
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let resident = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|value| value.split_whitespace().next()?.parse::<f64>().ok())
        .unwrap_or(0.0);
    (ticks / TICKS_PER_SECOND, resident / 1_024.0)
}

fn cluster(nodes: usize, settings: Value) -> Cluster {
    let mut options = ClusterOptions::new(nodes, 3);
    options.settings = settings;
    let cluster = Cluster::start(
        &program_beside_example("silversaild").expect("a path"),
        &options,
    )
    .expect("processes start");
    assert!(cluster.wait_until_serving() && cluster.wait_for_usable(nodes));
    cluster
}

fn quiet_settings() -> Value {
    json!({ "log": { "level": "warn" } })
}

/// A large configuration without engines, as there are none to poll.
fn large_document() -> Value {
    let tenants: Vec<Value> = (0..2_000)
        .map(|number| json!({ "name": format!("tenant-{number}"), "labels": { "tier": "a" } }))
        .collect();
    let backends: Vec<Value> = (0..1_500)
        .map(|number| {
            json!({ "name": format!("pool-{number}"), "kind": "encoder",
                    "address": format!("127.0.1.1:{}", 10_000 + number), "slots": 16,
                    "labels": { "zone": format!("z{}", number % 8) } })
        })
        .collect();
    json!({ "tenants": tenants, "backends": backends })
}

fn received_bytes(cluster: &Cluster, position: usize) -> f64 {
    cluster.metric_sum(position, "silversail_peer_received_bytes_total", "")
}

fn measure_control(nodes: usize) {
    let cluster = cluster(nodes, quiet_settings());
    let (status, answer) = cluster
        .change(0, "large", 0, large_document())
        .expect("an answer");
    assert_eq!(status, 200, "{answer}");
    assert!(cluster.wait_for_revision(1));
    std::thread::sleep(Duration::from_secs(2));
    let leader = cluster.leader("control").unwrap_or(0);
    let before: Vec<(f64, f64)> = (0..nodes)
        .map(|position| {
            let process = cluster.process_id(position).unwrap_or(0);
            (usage(process).0, received_bytes(&cluster, position))
        })
        .collect();
    std::thread::sleep(IDLE_PERIOD);
    let rate = |position: usize| {
        let process = cluster.process_id(position).unwrap_or(0);
        let (cpu, resident) = usage(process);
        let seconds = IDLE_PERIOD.as_secs_f64();
        let bytes = received_bytes(&cluster, position) - before[position].1;
        (
            (cpu - before[position].0) / seconds,
            resident,
            bytes / seconds,
        )
    };
    let others: Vec<usize> = (3..nodes).collect();
    let mean = |positions: &[usize], of: fn((f64, f64, f64)) -> f64| {
        let sum: f64 = positions.iter().map(|position| of(rate(*position))).sum();
        sum / positions.len().max(1) as f64
    };
    let voters: Vec<usize> = (0..3).filter(|position| *position != leader).collect();
    println!("- nodes: {nodes}");
    for (role, positions) in [
        ("leader", vec![leader]),
        ("voter", voters),
        ("node", others),
    ] {
        if positions.is_empty() {
            continue;
        }
        println!("  {role}_cpu_share: {:.4}", mean(&positions, |rate| rate.0));
        println!(
            "  {role}_resident_mb: {:.1}",
            mean(&positions, |rate| rate.1)
        );
        println!(
            "  {role}_received_bytes_per_s: {:.0}",
            mean(&positions, |rate| rate.2)
        );
    }
    let mut times: Vec<u128> = (0..MEASURED_CHANGES)
        .map(|number| propagation_ms(&cluster, number as u64 + 1))
        .collect();
    times.sort_unstable();
    println!("  in_force_median_ms: {}", times[times.len() / 2]);
    println!("  in_force_worst_ms: {}", times[times.len() - 1]);
}

/// Time in milliseconds from sending a change until every process has applied it.
fn propagation_ms(cluster: &Cluster, base: u64) -> u128 {
    let started = Instant::now();
    let document = json!({ "tenants": [{ "name": format!("of-{base}") }] });
    let change = cluster.change(0, &format!("c{base}"), base, document);
    assert!(change.is_some_and(|(status, _)| status == 200));
    let nodes = cluster.nodes.len();
    let is_applied = |position| {
        let text = cluster.metrics(position).unwrap_or_default();
        metric_sum(&text, "silversail_configuration_revision", "") >= (base + 1) as f64
    };
    while !(0..nodes).all(is_applied) {
        std::thread::sleep(Duration::from_millis(2));
    }
    started.elapsed().as_millis()
}

fn emulator() -> Emulator {
    let config: EmulatorConfig = serde_json::from_value(json!({
        "engines": [
            { "name": "engine-1", "address": "127.0.0.1:0", "slots": 1024, "step_ms": 4.0,
              "prompt_tokens_per_step": 100_000 },
        ],
        "services": [
            { "name": "gate-1", "address": "127.0.0.1:0", "slots": 512, "service_ms": 2.0 },
        ],
    }))
    .expect("the configuration is complete");
    Emulator::start(&config).expect("back ends start")
}

fn data_document(emulator: &Emulator) -> Value {
    let address = |name: &str| emulator.addresses[name].to_string();
    let chat = |name: &str, tokens: u32| {
        json!({ "name": name, "deadline_ms": 60_000, "stages": [
            { "name": "generate", "kind": "generation", "model": "m", "max_tokens": tokens },
        ] })
    };
    json!({
        "models": [{ "name": "m" }],
        "backends": [
            { "name": "engine-1", "kind": "engine", "address": address("engine-1"), "slots": 2000, "models": ["m"] },
            { "name": "gate-1", "kind": "service", "address": address("gate-1"), "slots": 512 },
        ],
        "tenants": [{ "name": "t" }],
        "pipelines": [
            chat("short", 8), chat("long", 136), chat("endless", 4000),
            { "name": "open", "deadline_ms": 5000, "stages": [{ "name": "open", "kind": "service" }] },
            { "name": "look", "deadline_ms": 5000, "stages": [
                { "name": "look", "kind": "service", "repeatable": true },
            ] },
        ],
    })
}

fn plan(pipeline: &str, rate: f64, stream: bool, keyed: bool) -> LoadPlan {
    LoadPlan {
        seed: rand::random(),
        base_rate: rate,
        duration_ms: 6_000,
        burst_at_ms: 0,
        burst_ms: 0,
        burst_rate: 0.0,
        deadline_ms: 60_000,
        stream,
        keyed,
        text_chars: 200,
        attempts: 1,
        tenants: vec![TenantLoad {
            tenant: "t".into(),
            pipeline: pipeline.into(),
            share: 1.0,
        }],
    }
}

/// Processor time of one process per completed request, in microseconds.
fn cost_of(cluster: &Cluster, position: usize, plan: &LoadPlan) -> f64 {
    let process = cluster.process_id(position).unwrap_or(0);
    let address = cluster.nodes[position].callers;
    let before = usage(process).0;
    let completed = run_to(plan, address);
    (usage(process).0 - before) * 1e6 / completed.max(1) as f64
}

/// Runs a plan; returns the number of completed requests.
fn run_to(plan: &LoadPlan, address: SocketAddr) -> usize {
    let report = run(plan, vec![address]);
    let completed = report
        .records
        .iter()
        .filter(|record| record.code == Some(1000))
        .count();
    eprintln!(
        "{}: {} of {} completed, {:?}",
        plan.tenants[0].pipeline, completed, report.sent, report.answer_ms
    );
    completed
}

fn measure_data_path() {
    let emulator = emulator();
    // A single process is the only entry point and its own quorum.
    let mut options = ClusterOptions::new(1, 1);
    options.settings = quiet_settings();
    let cluster = Cluster::start(
        &program_beside_example("silversaild").expect("a path"),
        &options,
    )
    .expect("processes start");
    assert!(cluster.wait_until_serving() && cluster.wait_for_usable(1));
    let (status, answer) = cluster
        .change(0, "data", 0, data_document(&emulator))
        .expect("an answer");
    assert_eq!(status, 200, "{answer}");
    assert!(cluster.wait_for_revision(1));
    std::thread::sleep(Duration::from_secs(1));
    let look = cost_of(&cluster, 0, &plan("look", 150.0, false, false));
    let before = ledger_log_size(&cluster);
    // Few enough commits that no snapshot truncates the log meanwhile.
    let keyed = cost_of(&cluster, 0, &plan("open", 100.0, false, true));
    let after = ledger_log_size(&cluster);
    let commit_bytes = (after.0 - before.0) / (after.1 - before.1).max(1.0);
    let short = cost_of(&cluster, 0, &plan("short", 40.0, true, false));
    let long = cost_of(&cluster, 0, &plan("long", 40.0, true, false));
    println!("data_path:");
    println!("  stage_cpu_us: {look:.0}");
    println!("  keyed_stage_cpu_us: {keyed:.0}");
    println!("  token_cpu_us: {:.1}", (long - short) / 128.0);
    println!("  open_stream_kb: {:.0}", open_stream_kb(&cluster));
    println!("  ledger_commit_bytes: {commit_bytes:.0}");
}

/// Size of the ledger log in bytes, and its number of commits.
fn ledger_log_size(cluster: &Cluster) -> (f64, f64) {
    let path = cluster.nodes[0].data_folder.join("ledger-0/log");
    let bytes = std::fs::metadata(path).map_or(0, |file| file.len()) as f64;
    let status = cluster.status(0).unwrap_or_default();
    let commits = status["groups"]["ledger-0"]["commit_index"]
        .as_f64()
        .unwrap_or(0.0);
    (bytes, commits)
}

fn open_stream_kb(cluster: &Cluster) -> f64 {
    const STREAMS: usize = 300;
    let process = cluster.process_id(0).unwrap_or(0);
    let address = cluster.nodes[0].callers;
    let before = usage(process).1;
    let threads: Vec<_> = (0..STREAMS)
        .map(|number| {
            std::thread::spawn(move || {
                let options = CallOptions {
                    stream: true,
                    keyed: false,
                    deadline: Duration::from_secs(4),
                    ..CallOptions::new("endless", "t", &format!("open-{number}"))
                };
                Caller::new(vec![address]).send(address, &options)
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(3));
    let after = usage(process).1;
    threads.into_iter().for_each(|thread| drop(thread.join()));
    (after - before) * 1_024.0 / STREAMS as f64
}
