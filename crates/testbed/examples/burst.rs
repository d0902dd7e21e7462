//! Compares routing policies under a burst of load, with real processes:
//! `cargo run --release -p silversail-testbed --example burst -- FLEET [SCENARIO]`,
//! where FLEET is a folder of `examples/` and SCENARIO is `burst`, `slow-stage` or
//! `flood`. Without SCENARIO all three are run.

use serde_json::{json, Value};
use silversail_testbed::cluster::{program_beside_example, read_yaml};
use silversail_testbed::emulate::EmulatorConfig;
use silversail_testbed::load::{run, TenantLoad};
use silversail_testbed::{Cluster, ClusterOptions, Emulator, LoadPlan};
use std::path::Path;
use std::time::Duration;

const NODES: usize = 10;
const VOTERS: usize = 3;
/// Factor by which the service time of the slowed stage is multiplied.
const SLOWDOWN: f64 = 5.0;
/// Share of the flooding tenant, relative to all other tenants together.
const FLOOD_SHARE: f64 = 4.0;

struct Variant {
    name: &'static str,
    routing: Value,
}

fn variants() -> Vec<Variant> {
    let variant = |name, placement: &str, slots: &str, queue: &str, admission: bool| Variant {
        name,
        routing: json!({
            "placement": placement, "slots": slots, "queue": queue, "admission": admission,
        }),
    };
    let (shares, home) = ("share", "home");
    vec![
        variant(
            "random, shares, first come",
            "random",
            shares,
            "first_come",
            false,
        ),
        variant(
            "round robin, shares, first come",
            "round_robin",
            shares,
            "first_come",
            false,
        ),
        variant(
            "expected finish, shares, first come",
            "expected_finish",
            shares,
            "first_come",
            false,
        ),
        variant(
            "expected finish, home slots, first come",
            "expected_finish",
            home,
            "first_come",
            false,
        ),
        variant(
            "expected finish, home slots, first come, admission",
            "expected_finish",
            home,
            "first_come",
            true,
        ),
        variant(
            "expected finish, home slots, fair slack, admission",
            "expected_finish",
            home,
            "fair_least_slack",
            true,
        ),
    ]
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let fleet = Path::new("examples").join(arguments.first().map_or("car-park", String::as_str));
    let name_filter = arguments.get(2).cloned().unwrap_or_default();
    let all = ["burst", "slow-stage", "flood"];
    let scenarios: Vec<&str> = match arguments.get(1) {
        Some(name) => vec![name],
        None => all.to_vec(),
    };
    println!("| fleet | scenario | routing | attainment | worst tenant | refused | late | completed answers p50/p95 ms | engine ms per answer in time | all stages' ms per answer in time |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for scenario in scenarios {
        for variant in variants()
            .into_iter()
            .filter(|variant| variant.name.contains(&name_filter))
        {
            run_variant(&fleet, scenario, &variant);
        }
    }
}

fn run_variant(fleet: &Path, scenario: &str, variant: &Variant) {
    let emulator_config: EmulatorConfig =
        read_yaml(&fleet.join("backends.yaml")).expect("the file is valid");
    let document: Value = read_yaml(&fleet.join("pipelines.yaml")).expect("the file is valid");
    let mut plan: LoadPlan = read_yaml(&fleet.join("load.yaml")).expect("the file is valid");
    let emulator = Emulator::start(&emulator_config).expect("back ends start");
    let mut options = ClusterOptions::new(NODES, VOTERS);
    options.settings = json!({ "routing": variant.routing, "log": { "level": "warn" } });
    let cluster = Cluster::start(
        &program_beside_example("silversaild").expect("a path"),
        &options,
    )
    .expect("processes start");
    assert!(cluster.wait_until_serving());
    let (status, answer) = cluster.change(0, "fleet", 0, document).expect("an answer");
    assert_eq!(status, 200, "{answer}");
    assert!(cluster.wait_for_revision(1) && cluster.wait_for_usable(NODES));
    match scenario {
        "slow-stage" => {
            for (name, faults) in &emulator.faults {
                if name.starts_with("reranker") {
                    faults.set_slowdown(SLOWDOWN);
                }
            }
        }
        "flood" => flood(&mut plan),
        _ => {}
    }
    std::thread::sleep(Duration::from_millis(500));
    let report = run(
        &plan,
        cluster.nodes.iter().map(|node| node.callers).collect(),
    );
    let cost = |kind: &str| -> f64 {
        (0..NODES)
            .map(|node| cluster.metric_sum(node, "silversail_stage_cost_ms_total", kind))
            .sum()
    };
    let worst = report
        .attainment_by_tenant
        .values()
        .copied()
        .fold(1.0, f64::min);
    let late = report.by_reason.get("late").copied().unwrap_or(0);
    let refused = report.sent - report.in_time - late;
    let in_time = report.in_time.max(1) as f64;
    println!(
        "| {} | {scenario} | {} | {:.3} | {worst:.3} | {refused} | {late} | {}/{} | {:.0} | {:.0} |",
        fleet.file_name().unwrap_or_default().to_string_lossy(),
        variant.name,
        report.attainment,
        report.answer_ms[0],
        report.answer_ms[1],
        cost("kind=\"generation\"") / in_time,
        cost("") / in_time,
    );
    let sum = |name: &str| -> f64 {
        (0..NODES)
            .map(|node| cluster.metric_sum(node, name, "kind=\"generation\""))
            .sum()
    };
    let calls = sum("silversail_stage_seconds_count");
    eprintln!(
        "generation calls {calls}, mean {:.0} ms, mean wait {:.0} ms",
        1_000.0 * sum("silversail_stage_seconds_sum") / calls.max(1.0),
        1_000.0 * sum("silversail_stage_queue_seconds_sum")
            / sum("silversail_stage_queue_seconds_count").max(1.0),
    );
    eprintln!("{:?} {:?}", report.by_reason, report.attainment_by_tenant);
}

/// Raises the share of the first tenant to a multiple of all others together.
fn flood(plan: &mut LoadPlan) {
    let others: f64 = plan.tenants.iter().skip(1).map(|tenant| tenant.share).sum();
    if let Some(TenantLoad { share, .. }) = plan.tenants.first_mut() {
        *share = others * FLOOD_SHARE;
    }
    plan.burst_rate *= 1.5;
}
