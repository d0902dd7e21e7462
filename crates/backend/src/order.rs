//! Orders to engines.
//!
//! `POST /v1/orders` takes `term`, `sequence`, `action` (`load` or `unload`) and
//! `model`, and answers 202 when the order is taken, 409 when its fence is older
//! than one seen before. Some engines don't check the fence.

use crate::agent::{classify_transport_error, Agents};
use crate::call::CallFailure;
use serde::Serialize;
use std::time::Duration;

/// Longest wait for an engine's answer to an order. A new leader waits this long
/// beyond its predecessor's lease.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(800);

/// An order as engines take it.
#[derive(Clone, Debug, Serialize)]
pub struct EngineOrder {
    /// Larger part of the fence.
    pub term: u64,
    /// Smaller part of the fence.
    pub sequence: u64,
    /// `load` or `unload`.
    pub action: &'static str,
    /// Model.
    pub model: String,
}

/// Sends an order, once, on a connection of its own.
pub fn send(agents: &Agents, address: &str, order: &EngineOrder) -> Result<(), CallFailure> {
    let body = serde_json::to_vec(order).expect("the order encodes");
    let response = agents
        .single_use
        .post(&format!("http://{address}/v1/orders"))
        .set("content-type", "application/json")
        .timeout(ORDER_TIMEOUT)
        .send_bytes(&body);
    match response {
        Ok(_) => Ok(()),
        Err(ureq::Error::Status(409, _)) => Err(CallFailure::NotRun("older fence".into())),
        Err(ureq::Error::Status(status, _)) => Err(CallFailure::Failed(format!("status {status}"))),
        Err(ureq::Error::Transport(error)) => Err(classify_transport_error(&error)),
    }
}
