//! Subcommand `status`.

use crate::commands::rollout::rollout_summary;
use crate::errors::CliError;
use crate::operator_client::{get_from, OperatorClient};
use crate::output::{print, OutputFormat, Table};
use argh::FromArgs;
use serde_json::{json, Value};

/// Prints the status of processes.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "status",
    example = "{command_name} --server 127.0.0.1:9101,127.0.0.1:9102"
)]
pub struct Status {
    /// operators' addresses, comma-separated; each is asked
    #[argh(option)]
    server: String,
    /// table, json or yaml
    #[argh(option, default = "OutputFormat::Table")]
    output: OutputFormat,
}

impl Status {
    /// Queries each server; fails if any does not answer.
    pub fn run(self) -> Result<(), CliError> {
        let client = OperatorClient::new(&self.server);
        let mut unreachable = Vec::new();
        let mut states = Vec::new();
        for server in client.servers() {
            match get_from(server, "/v1/status") {
                Ok(state) => states.push(state),
                Err(_) => {
                    unreachable.push(server.clone());
                    states.push(json!({ "node": server, "serving": "no answer" }));
                }
            }
        }
        print(self.output, &states, || status_table(&states))?;
        match unreachable.is_empty() {
            true => Ok(()),
            false => Err(CliError::NoAnswer(unreachable.join(", "))),
        }
    }
}

fn status_table(states: &[Value]) -> Table {
    let mut table = Table::new(&[
        "node",
        "serving",
        "revision",
        "age_ms",
        "open",
        "queued",
        "leads",
        "usable",
        "evacuated",
        "rollouts",
        "resting",
    ]);
    for state in states {
        let groups = state["groups"].as_object().into_iter().flatten();
        let leads: Vec<&str> = groups
            .filter(|(_, group)| group["is_leader"] == true)
            .map(|(name, _)| name.as_str())
            .collect();
        let usable = state["usable_nodes"].as_array().map_or(0, Vec::len);
        let zones = state["evacuated_zones"].as_array().into_iter().flatten();
        let evacuated: Vec<&str> = zones.filter_map(Value::as_str).collect();
        let rollouts = state["rollouts"].as_array().into_iter().flatten();
        let rollouts: Vec<String> = rollouts.map(rollout_summary).collect();
        let backing_off = state["resting_backends"].as_array().into_iter().flatten();
        let backing_off: Vec<&str> = backing_off
            .filter_map(|backend| backend["backend"].as_str())
            .collect();
        let text = |field: &str| match &state[field] {
            Value::Null => "-".to_owned(),
            Value::String(text) => text.clone(),
            other => other.to_string(),
        };
        table.row(vec![
            text("node"),
            text("serving"),
            text("revision"),
            text("configuration_age_ms"),
            text("open_requests"),
            text("queued_stages"),
            leads.join(","),
            usable.to_string(),
            evacuated.join(","),
            rollouts.join(","),
            backing_off.join(","),
        ]);
    }
    table
}
