//! Subcommand `rollout`.

use crate::errors::CliError;
use crate::operator_client::OperatorClient;
use crate::output::{print, OutputFormat, Table};
use argh::FromArgs;
use serde_json::{json, Value};

/// Starts, shows or aborts the rollout of another version of a service.
#[derive(FromArgs)]
#[argh(subcommand, name = "rollout")]
pub struct Rollout {
    #[argh(subcommand)]
    action: Action,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Action {
    Start(Start),
    Status(Status),
    List(List),
    Abort(Abort),
}

/// Orders a rollout. May be repeated: the same order starts no second rollout while the first is
/// in progress, once it is completed, and for ten seconds after it was rolled back.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "start",
    example = "{command_name} --server 127.0.0.1:9101 --service chat --version v2 --duration-ms 600000"
)]
struct Start {
    /// operators' addresses, comma-separated; the next is tried when one does not answer
    #[argh(option)]
    server: String,
    /// name of the service
    #[argh(option)]
    service: String,
    /// target version of its traffic
    #[argh(option)]
    version: String,
    /// deadline of the rollout from now, in milliseconds
    #[argh(option)]
    duration_ms: u64,
}

/// Prints the progress of the latest rollout of a service.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "status",
    example = "{command_name} --server 127.0.0.1:9101 --service chat"
)]
struct Status {
    /// operators' addresses, comma-separated; the next is tried when one does not answer
    #[argh(option)]
    server: String,
    /// name of the service
    #[argh(option)]
    service: String,
    /// table, json or yaml
    #[argh(option, default = "OutputFormat::Table")]
    output: OutputFormat,
}

/// Prints the latest rollout of each service.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "list",
    example = "{command_name} --server 127.0.0.1:9101 --output json"
)]
struct List {
    /// operators' addresses, comma-separated; the next is tried when one does not answer
    #[argh(option)]
    server: String,
    /// table, json or yaml
    #[argh(option, default = "OutputFormat::Table")]
    output: OutputFormat,
}

/// Aborts a rollout in progress, so that the new version gets no more requests. May be repeated.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "abort",
    example = "{command_name} --server 127.0.0.1:9101 --service chat"
)]
struct Abort {
    /// operators' addresses, comma-separated; the next is tried when one does not answer
    #[argh(option)]
    server: String,
    /// name of the service
    #[argh(option)]
    service: String,
}

impl Rollout {
    /// Sends the order, or prints rollouts.
    pub fn run(self) -> Result<(), CliError> {
        match self.action {
            Action::Start(start) => start.run(),
            Action::Status(status) => {
                let path = service_path(&status.service);
                print_rollouts(&status.server, &path, status.output)
            }
            Action::List(list) => print_rollouts(&list.server, "/v1/rollouts", list.output),
            Action::Abort(abort) => {
                let client = OperatorClient::new(&abort.server);
                let answer = client.delete(&service_path(&abort.service))?;
                println!("rollout {}", answer["rollout"]);
                Ok(())
            }
        }
    }
}

impl Start {
    fn run(self) -> Result<(), CliError> {
        let client = OperatorClient::new(&self.server);
        let body = json!({ "target_version": self.version, "duration_ms": self.duration_ms });
        let answer = client.post(&service_path(&self.service), &body)?;
        println!("rollout {}", answer["rollout"]);
        Ok(())
    }
}

fn service_path(service: &str) -> String {
    format!("/v1/rollouts/{service}")
}

fn print_rollouts(server: &str, path: &str, format: OutputFormat) -> Result<(), CliError> {
    let answer = OperatorClient::new(server).get(path)?;
    let rollouts = &answer["rollouts"];
    print(format, rollouts, || rollout_table(rollouts))
}

/// Name of the state of a rollout, and its details.
fn rollout_state(rollout: &Value) -> (&str, &Value) {
    let state = rollout["state"].as_object();
    let variant = state.and_then(|state| state.iter().next());
    match variant.map(|(name, details)| (name.as_str(), details)) {
        Some(("InProgress", details)) => ("in_progress", details),
        Some(("Completed", details)) => ("completed", details),
        Some(("RolledBack", details)) => ("rolled_back", details),
        _ => ("unknown", &Value::Null),
    }
}

/// Short form of a rollout: `service=state:version`.
pub fn rollout_summary(rollout: &Value) -> String {
    let text = |field: &str| rollout["order"][field].as_str().unwrap_or("-");
    let (state, _) = rollout_state(rollout);
    format!("{}={state}:{}", text("service"), text("target_version"))
}

fn rollout_table(rollouts: &Value) -> Table {
    let mut table = Table::new(&[
        "rollout",
        "service",
        "version",
        "state",
        "share",
        "moved",
        "reason",
        "candidate",
        "baseline",
    ]);
    for rollout in rollouts.as_array().into_iter().flatten() {
        let order = &rollout["order"];
        let (state, details) = rollout_state(rollout);
        let verdict = &details["verdict"];
        let share = match details["canary_permille"].as_u64() {
            Some(permille) => format!("{}.{} %", permille / 10, permille % 10),
            None => "-".to_owned(),
        };
        let moved = details["moved_routes"].as_array();
        table.row(vec![
            rollout["number"].to_string(),
            order["service"].as_str().unwrap_or("-").to_owned(),
            order["target_version"].as_str().unwrap_or("-").to_owned(),
            state.to_owned(),
            share,
            moved.map_or("-".to_owned(), |routes| routes.len().to_string()),
            verdict["reason"].as_str().unwrap_or("-").to_owned(),
            failed_responses(&verdict["candidate"]),
            failed_responses(&verdict["baseline"]),
        ]);
    }
    table
}

/// Number of failed responses among all that a verdict counted.
fn failed_responses(counts: &Value) -> String {
    match (counts[0].as_u64(), counts[1].as_u64()) {
        (Some(answers), Some(bad)) => format!("{bad} of {answers} bad"),
        _ => "-".to_owned(),
    }
}
