//! Client for the platform's list of live and draining machines, which may be out of date.
//!
//! `GET /v1/machines` answers `version` and `machines`, each with `address` and `state` (`live` or
//! `leaving`).

use crate::agent::Agents;
use crate::call::CallFailure;
use serde::Deserialize;
use std::time::Duration;

const LIST_TIMEOUT: Duration = Duration::from_millis(800);

/// List of machines at one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct MachineList {
    /// Version of the list; it increases with each change.
    pub version: u64,
    /// Entries of the list.
    pub machines: Vec<MachineListEntry>,
}

/// One machine of the list.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct MachineListEntry {
    /// IP address and port of the back end on the machine.
    pub address: String,
    /// State of the machine.
    pub state: ListedMachineState,
}

/// State of a machine according to the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedMachineState {
    /// The machine accepts work.
    Live,
    /// The machine is draining and must not receive new work.
    Leaving,
}

/// Fetches the list from the platform at `address`; `node` identifies the reader.
///
/// # Errors
///
/// If the platform does not answer or the answer is malformed.
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
