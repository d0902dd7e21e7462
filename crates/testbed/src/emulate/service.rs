//! Emulated pool members and plain services.

use super::config::ServiceConfig;
use super::faults::{FaultMode, Faults};
use super::run_log::RunLog;
use crate::history::RunRecord;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde_json::{json, Value};
use silversail_http::{Handler, RejectReason, Request, Responder, ResponseHead};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::sync::Semaphore;

const JSON_CONTENT_TYPE: &str = "application/json";

#[derive(Deserialize)]
struct CallBody {
    attempt: String,
    stage: String,
    input: Value,
}

struct ServiceState {
    config: ServiceConfig,
    faults: Arc<Faults>,
    run_log: Arc<RunLog>,
    slots: Semaphore,
    random: Mutex<ChaCha8Rng>,
}

/// HTTP handler of one pool member or service.
pub struct ServiceHandler {
    state: Arc<ServiceState>,
    runtime: Handle,
}

impl ServiceHandler {
    /// Creates the handler of a service.
    pub fn new(
        config: ServiceConfig,
        faults: Arc<Faults>,
        run_log: Arc<RunLog>,
        runtime: Handle,
        seed: u64,
    ) -> Self {
        let state = ServiceState {
            slots: Semaphore::new(config.slots),
            config,
            faults,
            run_log,
            random: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
        };
        Self {
            state: Arc::new(state),
            runtime,
        }
    }
}

impl Handler for ServiceHandler {
    fn handle(&self, request: Request, responder: Responder) -> Box<dyn FnOnce() + Send> {
        let state = self.state.clone();
        self.runtime.spawn(async move {
            state.call(request, responder).await;
        });
        // A disconnected caller does not cancel the call.
        Box::new(|| {})
    }

    fn reject(&self, _reason: RejectReason, _head: &Request) -> (ResponseHead, Vec<u8>) {
        (
            self.state.faults.head(503, JSON_CONTENT_TYPE),
            b"{\"not_run\":true}".to_vec(),
        )
    }
}

impl ServiceState {
    async fn call(&self, request: Request, responder: Responder) {
        let Ok(body) = serde_json::from_slice::<CallBody>(&request.body) else {
            responder.respond(self.faults.head(400, JSON_CONTENT_TYPE), b"{}".to_vec());
            return;
        };
        if let Some(head) = self.faults.reject_call() {
            let rejection = json!({ "not_run": true }).to_string();
            responder.respond(head, rejection.into_bytes());
            return;
        }
        if self.faults.mode() == FaultMode::Reject {
            let rejection = json!({ "not_run": true }).to_string();
            responder.respond(
                self.faults.head(503, JSON_CONTENT_TYPE),
                rejection.into_bytes(),
            );
            return;
        }
        let Ok(_slot) = self.slots.acquire().await else {
            return;
        };
        if self.config.logged {
            self.run_log.record(RunRecord {
                service: self.config.name.clone(),
                stage: body.stage.clone(),
                attempt: body.attempt.clone(),
                input: body.input.clone(),
            });
        }
        let service_ms = self.service_ms();
        tokio::time::sleep(Duration::from_secs_f64(service_ms / 1_000.0)).await;
        self.answer(body, service_ms, responder).await;
    }

    fn service_ms(&self) -> f64 {
        let jitter = self.config.jitter;
        let factor = match jitter > 0.0 {
            true => {
                let mut random = self.random.lock().expect("not poisoned");
                random.gen_range(1.0 - jitter..1.0 + jitter)
            }
            false => 1.0,
        };
        self.config.service_ms * factor * self.faults.slowdown()
    }

    async fn answer(&self, body: CallBody, service_ms: f64, responder: Responder) {
        let attempt = match self.faults.mode() {
            FaultMode::None | FaultMode::Reject => body.attempt,
            FaultMode::WrongAttempt => format!("other-{}", body.attempt),
            FaultMode::Error => {
                responder.respond(self.faults.head(500, JSON_CONTENT_TYPE), b"{}".to_vec());
                return;
            }
            FaultMode::MalformedBody => {
                responder.respond(self.faults.head(200, JSON_CONTENT_TYPE), b"<html>".to_vec());
                return;
            }
            FaultMode::Hang => {
                tokio::time::sleep(Duration::from_secs(600)).await;
                return;
            }
            FaultMode::CloseConnection => {
                // The connection is closed within the body.
                responder.head(self.faults.head(200, JSON_CONTENT_TYPE));
                responder.chunk(b"{\"attempt\":".to_vec());
                tokio::time::sleep(Duration::from_millis(5)).await;
                return;
            }
        };
        let answer = json!({
            "attempt": attempt,
            "output": { "by": self.config.name, "stage": body.stage, "input": body.input },
            "cost_ms": service_ms,
        });
        responder.respond(
            self.faults.head(200, JSON_CONTENT_TYPE),
            answer.to_string().into_bytes(),
        );
    }
}
