//! The platform's lagging list of live and leaving machines.
//!
//! `GET /v1/machines` answers `version` and `machines`, each with `address` and
//! `state` (`live` or `leaving`).

use crate::agent::Agents;
use crate::call::CallFailure;
use serde::Deserialize;
use std::time::Duration;

const LIST_TIMEOUT: Duration = Duration::from_millis(800);

/// One version of the list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct MachineList {
    /// Grows with each change of the list.
    pub version: u64,
    /// The machines.
    pub machines: Vec<MachineListEntry>,
}

/// One machine of the list.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct MachineListEntry {
    /// IP address and port of its back end.
    pub address: String,
    /// Its state.
    pub state: ListedMachineState,
}

/// A machine's state on the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedMachineState {
    /// In use.
    Live,
    /// Shall get no new work.
    Leaving,
}

/// Reads the list from the platform at `address`, as the reader `node`.
pub fn fetch_machine_list(
    agents: &Agents,
    address: &str,
    node: &str,
) -> Result<MachineList, CallFailure> {
    let response = agents
        .pooled
        .get(&format!("http://{address}/v1/machines"))
        .query("reader", node)
        .timeout(LIST_TIMEOUT)
        .call()
        .map_err(|error| CallFailure::AnswerLost(error.to_string()))?;
    let text = response
        .into_string()
        .map_err(|error| CallFailure::AnswerLost(error.to_string()))?;
    serde_json::from_str(&text).map_err(|error| CallFailure::Protocol(error.to_string()))
}
