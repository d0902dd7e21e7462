//! Declared intent becomes orders to engines: paced, one at a time at each
//! engine, never repeated after a change of leader, and never by two leaders.

mod common;

use common::{binary, call, ANY};
use serde_json::{json, Value};
use silversail_testbed::cluster::wait_until;
use silversail_testbed::emulate::OrderRecord;
use silversail_testbed::{Caller, Cluster, ClusterOptions, Emulator, EmulatorConfig};
use std::collections::BTreeSet;
use std::time::Duration;

const ENGINES: usize = 4;
/// Rate of the emulated store: a model of 500 MB takes half a second.
const MB_PER_S: f64 = 1_000.0;

fn emulator(checks_fence: bool) -> Emulator {
    let engines: Vec<Value> = (1..=ENGINES)
        .map(|number| {
            json!({ "name": format!("engine-{number}"), "address": ANY, "step_ms": 2.0,
                    "managed": true, "checks_fence": checks_fence })
        })
        .collect();
    let config: EmulatorConfig = serde_json::from_value(json!({
        "engines": engines,
        "weight_store": { "mb_per_s": MB_PER_S, "models": { "chat": 500.0, "sum": 500.0 } },
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
    options.settings = json!({ "timing": { "weight_store_mb_per_s": MB_PER_S } });
    let cluster = Cluster::start(binary(), &options).expect("processes start");
    assert!(cluster.wait_until_serving() && cluster.wait_for_usable(3));
    cluster
}

/// How many engines say that they hold `model`.
fn holders(emulator: &Emulator, model: &str) -> usize {
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

fn wait_for_holders(emulator: &Emulator, chat: usize, sum: usize) -> bool {
    wait_until(Duration::from_secs(40), || {
        holders(emulator, "chat") == chat && holders(emulator, "sum") == sum
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

fn accepted(emulator: &Emulator, action: &str) -> Vec<OrderRecord> {
    let records = emulator.orders.records();
    records
        .into_iter()
        .filter(|one| one.accepted && one.action == action)
        .collect()
}

#[test]
fn engines_come_to_hold_what_is_declared_paced_by_the_weight_store() {
    let emulator = emulator(true);
    let cluster = cluster();
    change(&cluster, 0, document(&emulator, 2, 1));
    assert!(
        wait_for_holders(&emulator, 2, 1),
        "{:?}",
        emulator.orders.records()
    );
    let loads = accepted(&emulator, "load");
    assert_eq!(loads.len(), 3, "{loads:?}");
    // Paced: no load waited for another one at the store.
    assert!(loads.iter().all(|load| load.load_ms <= 600), "{loads:?}");
    let caller = Caller::new(cluster.nodes.iter().map(|node| node.callers).collect());
    let served = wait_until(Duration::from_secs(10), || {
        caller.call(&call("chat", "first"), 0, 1).outcome() == Some("completed")
    });
    assert!(served);
    // More of one model at the price of the other.
    change(&cluster, 1, document(&emulator, 4, 0));
    assert!(
        wait_for_holders(&emulator, 4, 0),
        "{:?}",
        emulator.orders.records()
    );
    assert_eq!(accepted(&emulator, "unload").len(), 1);
}

#[test]
fn a_new_leader_repeats_no_order() {
    let emulator = emulator(false);
    let mut cluster = cluster();
    change(&cluster, 0, document(&emulator, 3, 1));
    // The leader dies when it has sent some of the orders.
    let some = wait_until(Duration::from_secs(20), || {
        emulator.orders.records().len() >= 2
    });
    assert!(some);
    let leader = cluster.leader("control").expect("a leader");
    cluster.kill(leader);
    assert!(
        wait_for_holders(&emulator, 3, 1),
        "{:?}",
        emulator.orders.records()
    );
    std::thread::sleep(Duration::from_secs(2));
    let loads = accepted(&emulator, "load");
    let distinct: BTreeSet<(&str, &str)> = loads
        .iter()
        .map(|load| (load.engine.as_str(), load.model.as_str()))
        .collect();
    assert_eq!((loads.len(), distinct.len()), (4, 4), "{loads:?}");
    let terms: BTreeSet<u64> = loads.iter().map(|load| load.term).collect();
    assert!(
        terms.len() >= 2,
        "the new leader issued no order: {loads:?}"
    );
}

#[test]
fn a_frozen_leader_sends_no_order_when_it_wakes() {
    let emulator = emulator(false);
    let cluster = cluster();
    change(&cluster, 0, document(&emulator, 1, 0));
    assert!(wait_for_holders(&emulator, 1, 0));
    let former = cluster.leader("control").expect("a leader");
    cluster.freeze(former);
    let elected = wait_until(Duration::from_secs(20), || {
        (0..3).any(|position| {
            position != former
                && cluster
                    .status(position)
                    .is_some_and(|status| status["groups"]["control"]["is_leader"] == true)
        })
    });
    assert!(elected);
    let base = 1;
    let others: Vec<usize> = (0..3).filter(|position| *position != former).collect();
    let answer = cluster.change(others[0], "more", base, document(&emulator, 3, 1));
    assert!(answer.is_some_and(|(status, _)| status == 200));
    // It wakes while the new leader orders.
    let ordering = wait_until(Duration::from_secs(20), || {
        emulator.orders.records().len() >= 2
    });
    assert!(ordering);
    cluster.resume(former);
    assert!(
        wait_for_holders(&emulator, 3, 1),
        "{:?}",
        emulator.orders.records()
    );
    std::thread::sleep(Duration::from_secs(1));
    let records = emulator.orders.records();
    let fences: Vec<(u64, u64)> = records.iter().map(|one| (one.term, one.sequence)).collect();
    assert!(
        fences.windows(2).all(|pair| pair[0] < pair[1]),
        "orders of two leaders: {records:?}"
    );
    assert_eq!(accepted(&emulator, "load").len(), 4, "{records:?}");
}
