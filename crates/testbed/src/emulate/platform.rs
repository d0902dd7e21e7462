//! The platform's machine list, which each reader gets with its own delay.

use super::config::PlatformConfig;
use serde_json::json;
use silversail_http::{Handler, RejectReason, Request, Responder, ResponseHead};
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const JSON_CONTENT_TYPE: &str = "application/json";

struct Version {
    since: Instant,
    leaving: BTreeSet<String>,
}

struct State {
    config: PlatformConfig,
    machines: Vec<String>,
    versions: Vec<Version>,
}

/// Handle of the machine list; clones share its state.
#[derive(Clone)]
pub struct PlatformHandle(Arc<Mutex<State>>);

impl PlatformHandle {
    /// Creates a list of live machines.
    pub fn new(config: PlatformConfig) -> Self {
        let first = Version {
            since: Instant::now(),
            leaving: BTreeSet::new(),
        };
        let machines = config.machines.clone();
        Self(Arc::new(Mutex::new(State {
            config,
            machines,
            versions: vec![first],
        })))
    }

    /// Adds a machine to the list.
    pub fn add_machine(&self, address: &str) {
        let mut state = self.0.lock().expect("not poisoned");
        state.machines.push(address.to_owned());
    }

    /// Marks a machine as leaving or as live; each reader gets the change after its
    /// delay.
    pub fn set_leaving(&self, address: &str, leaving: bool) {
        let mut state = self.0.lock().expect("not poisoned");
        let mut leaving_machines = state
            .versions
            .last()
            .map(|version| version.leaving.clone())
            .unwrap_or_default();
        if leaving {
            leaving_machines.insert(address.to_owned());
        } else {
            leaving_machines.remove(address);
        }
        state.versions.push(Version {
            since: Instant::now(),
            leaving: leaving_machines,
        });
    }

    fn list_for(&self, reader: &str) -> serde_json::Value {
        let state = self.0.lock().expect("not poisoned");
        let delay = reader
            .chars()
            .last()
            .and_then(|digit| digit.to_digit(10))
            .and_then(|position| state.config.lags_ms.get(position as usize))
            .map_or(Duration::ZERO, |delay_ms| Duration::from_millis(*delay_ms));
        let visible_version = state
            .versions
            .iter()
            .rposition(|version| version.since.elapsed() >= delay)
            .unwrap_or(0);
        let leaving = &state.versions[visible_version].leaving;
        let machines: Vec<_> = state
            .machines
            .iter()
            .map(|address| {
                let state = if leaving.contains(address) {
                    "leaving"
                } else {
                    "live"
                };
                json!({ "address": address, "state": state })
            })
            .collect();
        json!({ "version": visible_version + 1, "machines": machines })
    }
}

impl Handler for PlatformHandle {
    fn handle(&self, request: Request, responder: Responder) -> Box<dyn FnOnce() + Send> {
        let reader = request.query.strip_prefix("reader=").unwrap_or_default();
        let body = self.list_for(reader).to_string();
        responder.respond(ResponseHead::new(200, JSON_CONTENT_TYPE), body.into_bytes());
        Box::new(|| {})
    }

    fn reject(&self, _reason: RejectReason, _head: &Request) -> (ResponseHead, Vec<u8>) {
        (ResponseHead::new(503, JSON_CONTENT_TYPE), Vec::new())
    }
}
