//! Orders to engines from declared models: paced by the weight store, one at a time for each
//! engine, not repeated after a change of leader, and never sent by two leaders.

mod common;

use common::{binary, call, ANY};
use serde_json::{json, Value};
use silversail_testbed::cluster::wait_until;
use silversail_testbed::emulate::OrderRecord;
use silversail_testbed::{Caller, Cluster, ClusterOptions, Emulator, EmulatorConfig};
use std::collections::BTreeSet;
use std::time::Duration;

const ENGINES: usize = 4;
/// Throughput of the emulated weight store, in megabytes per second: a model of 500 MB takes half
/// a second.
const WEIGHT_STORE_MB_PER_S: f64 = 1_000.0;

fn emulator(checks_fence: bool) -> Emulator {
    let engines: Vec<Value> = (1..=ENGINES)
        .map(|number| {
            json!({ "name": format!("engine-{number}"), "address": ANY, "step_ms": 2.0,
                    "managed": true, "checks_fence": checks_fence })
        })
        .collect();
    let config: EmulatorConfig = serde_json::from_value(json!({
        "engines": engines,
        "weight_store": { "mb_per_s": WEIGHT_STORE_MB_PER_S, "models": { "chat": 500.0, "sum": 500.0 } },
    }))
    .expect("the configuration is complete");
    Emulator::start(&config).expect("back ends start")
}

fn document(emulator: &Emulator, chat: u32, sum: u32) -> Value {
    let engines: Vec<Value> = (1..=ENGINES)
        .map(|number| {
            let name = format!("engine-{number}");
            let address = emulator.addresses[&name].to_string();
            json!({ "name": name, "kind": "engine", "address": address, "slots": 16, "managed": true })
        })
        .collect();
    json!({
        "backends": engines,
        "models": [
            { "name": "chat", "replicas": chat, "size_mb": 500 },
            { "name": "sum", "replicas": sum, "size_mb": 500 },
        ],
        "tenants": [{ "name": "desk" }],
        "pipelines": [{ "name": "chat", "deadline_ms": 3000, "stages": [
            { "name": "generate", "kind": "generation", "model": "chat", "max_tokens": 4 },
        ] }],
    })
}

fn cluster() -> Cluster {
    let mut options = ClusterOptions::new(3, 3);
    options.settings = json!({ "timing": { "weight_store_mb_per_s": WEIGHT_STORE_MB_PER_S } });
    let cluster = Cluster::start(binary(), &options).expect("processes start");
    assert!(cluster.wait_until_serving() && cluster.wait_for_usable(3));
    cluster
}

/// Number of engines that report `model` as loaded.
fn loaded_engine_count(emulator: &Emulator, model: &str) -> usize {
    emulator
        .addresses
        .values()
        .filter(|address| {
            let response = ureq::get(&format!("http://{address}/v1/load"))
                .call()
                .expect("a load");
            let load: Value = serde_json::from_reader(response.into_reader()).expect("JSON");
            load["models"]
                .as_array()
                .is_some_and(|models| models.contains(&json!(model)))
        })
        .count()
}

fn wait_for_loaded_engines(emulator: &Emulator, chat: usize, sum: usize) -> bool {
    wait_until(Duration::from_secs(40), || {
        loaded_engine_count(emulator, "chat") == chat && loaded_engine_count(emulator, "sum") == sum
    })
}

fn change(cluster: &Cluster, base: u64, document: Value) {
    let answer = wait_until(Duration::from_secs(20), || {
        (0..3)
            .filter(|position| cluster.is_running(*position))
            .any(|position| {
                let answer = cluster.change(position, &format!("c{base}"), base, document.clone());
                answer.is_some_and(|(status, _)| status == 200)
            })
    });
    assert!(answer, "the change was not accepted");
}

fn accepted_orders(emulator: &Emulator, action: &str) -> Vec<OrderRecord> {
    let records = emulator.orders.records();
    records
        .into_iter()
        .filter(|record| record.accepted && record.action == action)
        .collect()
}

#[test]
fn engines_load_the_declared_models_at_the_pace_of_the_weight_store() {
    let emulator = emulator(true);
    let cluster = cluster();
    change(&cluster, 0, document(&emulator, 2, 1));
    assert!(
        wait_for_loaded_engines(&emulator, 2, 1),
        "{:?}",
        emulator.orders.records()
    );
    let loads = accepted_orders(&emulator, "load");
    assert_eq!(loads.len(), 3, "{loads:?}");
    // The loads are paced: none waited for another one at the weight store.
    assert!(loads.iter().all(|load| load.load_ms <= 600), "{loads:?}");
    let caller = Caller::new(cluster.nodes.iter().map(|node| node.callers).collect());
    let served = wait_until(Duration::from_secs(10), || {
        caller.call(&call("chat", "first"), 0, 1).outcome() == Some("completed")
    });
    assert!(served);
    // Replace the replica of one model by a replica of the other.
    change(&cluster, 1, document(&emulator, 4, 0));
    assert!(
        wait_for_loaded_engines(&emulator, 4, 0),
        "{:?}",
        emulator.orders.records()
    );
    assert_eq!(accepted_orders(&emulator, "unload").len(), 1);
}

#[test]
fn a_new_leader_repeats_no_order() {
    let emulator = emulator(false);
    let mut cluster = cluster();
    change(&cluster, 0, document(&emulator, 3, 1));
    // Kill the leader after it has sent some of the orders.
    let has_sent_some = wait_until(Duration::from_secs(20), || {
        emulator.orders.records().len() >= 2
    });
    assert!(has_sent_some);
    let leader = cluster.leader("control").expect("a leader");
    cluster.kill(leader);
    assert!(
        wait_for_loaded_engines(&emulator, 3, 1),
        "{:?}",
        emulator.orders.records()
    );
    std::thread::sleep(Duration::from_secs(2));
    let loads = accepted_orders(&emulator, "load");
    let distinct_loads: BTreeSet<(&str, &str)> = loads
        .iter()
        .map(|load| (load.engine.as_str(), load.model.as_str()))
        .collect();
    assert_eq!((loads.len(), distinct_loads.len()), (4, 4), "{loads:?}");
    let terms: BTreeSet<u64> = loads.iter().map(|load| load.term).collect();
    assert!(
        terms.len() >= 2,
        "the new leader issued no order: {loads:?}"
    );
}

#[test]
fn a_frozen_leader_sends_no_order_after_it_resumes() {
    let emulator = emulator(false);
    let cluster = cluster();
    change(&cluster, 0, document(&emulator, 1, 0));
    assert!(wait_for_loaded_engines(&emulator, 1, 0));
    let former_leader = cluster.leader("control").expect("a leader");
    cluster.freeze(former_leader);
    let has_new_leader = wait_until(Duration::from_secs(20), || {
        (0..3).any(|position| {
            position != former_leader
                && cluster
                    .status(position)
                    .is_some_and(|status| status["groups"]["control"]["is_leader"] == true)
        })
    });
    assert!(has_new_leader);
    let base = 1;
    let others: Vec<usize> = (0..3)
        .filter(|position| *position != former_leader)
        .collect();
    let answer = cluster.change(others[0], "more", base, document(&emulator, 3, 1));
    assert!(answer.is_some_and(|(status, _)| status == 200));
    // Resume the former leader while the new leader issues orders.
    let has_new_orders = wait_until(Duration::from_secs(20), || {
        emulator.orders.records().len() >= 2
    });
    assert!(has_new_orders);
    cluster.resume(former_leader);
    assert!(
        wait_for_loaded_engines(&emulator, 3, 1),
        "{:?}",
        emulator.orders.records()
    );
    std::thread::sleep(Duration::from_secs(1));
    let records = emulator.orders.records();
    let fencing_tokens: Vec<(u64, u64)> = records
        .iter()
        .map(|record| (record.term, record.sequence))
        .collect();
    assert!(
        fencing_tokens.windows(2).all(|pair| pair[0] < pair[1]),
        "orders of two leaders: {records:?}"
    );
    assert_eq!(accepted_orders(&emulator, "load").len(), 4, "{records:?}");
}
