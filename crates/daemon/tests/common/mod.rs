//! A cluster of real processes with emulated back ends, for integration tests.
#![allow(dead_code)]

pub mod backends;

use serde_json::{json, Value};
use silversail_testbed::emulate::{EngineConfig, PlatformConfig, ServiceConfig};
use silversail_testbed::{CallOptions, Caller, Cluster, ClusterOptions, Emulator, EmulatorConfig};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// A running cluster with emulated back ends and the configuration of [`document`].
pub struct Bench {
    pub emulator: Emulator,
    pub cluster: Cluster,
}

pub const ANY: &str = "127.0.0.1:0";

pub fn binary() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_silversaild"))
}

fn engine(name: &str) -> EngineConfig {
    serde_json::from_value(json!({ "name": name, "address": ANY, "step_ms": 3.0 }))
        .expect("the engine is complete")
}

fn service(name: &str, service_ms: f64) -> ServiceConfig {
    serde_json::from_value(json!({
        "name": name, "address": ANY, "service_ms": service_ms, "jitter": 0.3, "logged": true,
    }))
    .expect("the service is complete")
}

/// Emulated back ends and a platform whose machine list reaches the nodes with lags of 0, 300 and
/// 600 ms, by the last digit of the node's name.
pub fn emulator() -> Emulator {
    let config = EmulatorConfig {
        seed: 1,
        engines: vec![engine("engine-1"), engine("engine-2")],
        services: vec![
            service("encoder-1", 5.0),
            service("encoder-2", 5.0),
            service("retriever-1", 5.0),
            service("reranker-1", 5.0),
            service("gate-1", 15.0),
            service("gate-2", 15.0),
        ],
        platform: Some(PlatformConfig {
            address: ANY.into(),
            machines: Vec::new(),
            lags_ms: vec![0, 300, 600],
        }),
        ..EmulatorConfig::default()
    };
    let emulator = Emulator::start(&config).expect("back ends start");
    let platform = emulator.platform.as_ref().expect("configured");
    for address in emulator.addresses.values() {
        platform.add_machine(&address.to_string());
    }
    emulator
}

/// Configuration with the pipeline `chat` of four stages, and the pipeline `open`, whose calls must
/// not be retried.
pub fn document(emulator: &Emulator) -> Value {
    let address = |name: &str| emulator.addresses[name].to_string();
    let backend = |name: &str, kind: &str| json!({ "name": name, "kind": kind, "address": address(name), "slots": 16 });
    let engine = |name: &str| {
        json!({
            "name": name, "kind": "engine", "address": address(name), "slots": 16,
            "models": ["chat-8b"],
        })
    };
    json!({
        "models": [{ "name": "chat-8b", "replicas": 2 }],
        "backends": [
            engine("engine-1"), engine("engine-2"),
            backend("encoder-1", "encoder"), backend("encoder-2", "encoder"),
            backend("retriever-1", "retriever"), backend("reranker-1", "reranker"),
            backend("gate-1", "service"), backend("gate-2", "service"),
        ],
        "tenants": [
            { "name": "desk", "labels": { "tier": "standard" } },
            { "name": "guest", "labels": { "tier": "guest" },
              "limits": { "concurrent_requests": 3 } },
        ],
        "pipelines": [
            { "name": "chat", "deadline_ms": 3000, "stages": [
                { "name": "encode", "kind": "encoding" },
                { "name": "retrieve", "kind": "retrieval" },
                { "name": "rerank", "kind": "reranking" },
                { "name": "generate", "kind": "generation", "model": "chat-8b", "max_tokens": 12 },
            ] },
            { "name": "open", "deadline_ms": 3000,
              "tenants": { "equals": { "tier": "standard" } },
              "stages": [{ "name": "open", "kind": "service" }] },
        ],
    })
}

impl Bench {
    pub fn start(mut options: ClusterOptions) -> Self {
        let emulator = emulator();
        options.platform = Some(emulator.addresses["platform"]);
        let nodes = options.nodes;
        let cluster = Cluster::start(binary(), &options).expect("processes start");
        assert!(cluster.wait_until_serving(), "the cluster did not form");
        let (status, answer) = cluster
            .change(0, "first", 0, document(&emulator))
            .expect("an answer");
        assert_eq!(status, 200, "{answer}");
        assert!(cluster.wait_for_revision(1));
        assert!(cluster.wait_for_usable(nodes));
        Self { emulator, cluster }
    }

    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.cluster.nodes.iter().map(|node| node.callers).collect()
    }

    pub fn caller(&self) -> Caller {
        Caller::new(self.addresses())
    }
}

/// A call of `pipeline` by the tenant `desk` with a deadline of three seconds.
pub fn call(pipeline: &str, key: &str) -> CallOptions {
    CallOptions {
        deadline: Duration::from_secs(3),
        ..CallOptions::new(pipeline, "desk", key)
    }
}

/// Sends `body` unchanged, and returns the status and the body of the response.
pub fn post(address: SocketAddr, path: &str, body: &str) -> (u16, Value) {
    let sent = ureq::post(&format!("http://{address}{path}"))
        .timeout(Duration::from_secs(10))
        .send_string(body);
    let response = match sent {
        Ok(response) | Err(ureq::Error::Status(_, response)) => response,
        Err(error) => panic!("no response: {error}"),
    };
    let status = response.status();
    let body = response.into_string().expect("a body");
    (status, serde_json::from_str(&body).unwrap_or(Value::Null))
}
