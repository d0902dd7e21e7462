//! Orders to engines to load or unload models.
//!
//! `POST /v1/orders` takes `term`, `sequence`, `action` (`load` or `unload`) and `model`. Term and
//! sequence are the fencing token: the engine answers 202 if it accepts the order, and 409 if it has
//! seen a later token. Some engines do not check the token.

use crate::agent::{classify_transport_error, Agents};
use crate::call::CallFailure;
use serde::Serialize;
use std::time::Duration;

/// Timeout of an order. A new leader waits this long after the end of its predecessor's lease, so
/// that no order of the predecessor is still in flight.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(800);

/// Body of an order to an engine.
#[derive(Clone, Debug, Serialize)]
pub struct EngineOrder {
    /// High-order part of the fencing token.
    pub term: u64,
    /// Low-order part of the fencing token.
    pub sequence: u64,
    /// `load` or `unload`.
    pub action: &'static str,
    /// Name of the model.
    pub model: String,
}

/// Sends an order once, on a new connection.
///
/// # Errors
///
/// If the engine rejects the order or no answer arrives.
pub fn send(agents: &Agents, address: &str, order: &EngineOrder) -> Result<(), CallFailure> {
    let body = serde_json::to_vec(order).expect("the order serializes to JSON");
    let response = agents
        .single_use
        .post(&format!("http://{address}/v1/orders"))
        .set("content-type", "application/json")
        .timeout(ORDER_TIMEOUT)
        .send_bytes(&body);
    match response {
        Ok(_) => Ok(()),
        Err(ureq::Error::Status(409, _)) => Err(CallFailure::NotRun(
            "the engine has seen a later fencing token".into(),
        )),
        Err(ureq::Error::Status(status, _)) => Err(CallFailure::Failed(format!("status {status}"))),
        Err(ureq::Error::Transport(error)) => Err(classify_transport_error(&error)),
    }
}
