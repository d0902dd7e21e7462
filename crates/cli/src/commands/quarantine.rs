//! Subcommand `quarantine`.

use crate::errors::CliError;
use crate::operator_client::OperatorClient;
use crate::output::{print, OutputFormat, Table};
use argh::FromArgs;
use serde_json::Value;

/// Lists the requests that are quarantined because they crash back ends, or releases one.
#[derive(FromArgs)]
#[argh(subcommand, name = "quarantine")]
pub struct Quarantine {
    #[argh(subcommand)]
    action: Action,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Action {
    List(List),
    Lift(Lift),
}

/// Prints the quarantined requests, and those that one more crash would quarantine. Voters also
/// print the crashes of each request.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "list",
    example = "{command_name} --server 127.0.0.1:9101"
)]
struct List {
    /// operators' addresses, comma-separated; the next is tried when one does not answer
    #[argh(option)]
    server: String,
    /// table, json or yaml
    #[argh(option, default = "OutputFormat::Table")]
    output: OutputFormat,
}

/// Lifts the quarantine of a request. Its earlier crashes are no longer counted.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "lift",
    example = "{command_name} --server 127.0.0.1:9101 --fingerprint 38b25b15d59563e05795dce763911c32"
)]
struct Lift {
    /// operators' addresses, comma-separated; the next is tried when one does not answer
    #[argh(option)]
    server: String,
    /// digest of the request, as listed
    #[argh(option)]
    fingerprint: String,
}

impl Quarantine {
    /// Prints the list, or sends the order.
    pub fn run(self) -> Result<(), CliError> {
        match self.action {
            Action::List(list) => {
                let answer = OperatorClient::new(&list.server).get("/v1/quarantine")?;
                print(list.output, &answer, || quarantine_table(&answer))
            }
            Action::Lift(lift) => {
                let client = OperatorClient::new(&lift.server);
                let answer = client.delete(&format!("/v1/quarantine/{}", lift.fingerprint))?;
                println!("lifted {}", answer["fingerprint"].as_str().unwrap_or("-"));
                Ok(())
            }
        }
    }
}

fn quarantine_table(answer: &Value) -> Table {
    let mut table = Table::new(&["fingerprint", "state", "since_ms", "until_ms", "crashes"]);
    let text = |value: &Value| match value {
        Value::Null => "-".to_owned(),
        value => value.to_string(),
    };
    for refused in answer["refused"].as_array().into_iter().flatten() {
        let crashes = refused["crashes"].as_array().into_iter().flatten();
        let backends: Vec<&str> = crashes
            .filter_map(|crash| crash["backend"].as_str())
            .collect();
        table.row(vec![
            refused["fingerprint"].as_str().unwrap_or("-").to_owned(),
            "refused".to_owned(),
            text(&refused["since_ms"]),
            text(&refused["until_ms"]),
            backends.join(","),
        ]);
    }
    for watched in answer["watched"].as_array().into_iter().flatten() {
        let fingerprint = watched.as_str().unwrap_or("-").to_owned();
        let unknown = || "-".to_owned();
        table.row(vec![
            fingerprint,
            "watched".to_owned(),
            unknown(),
            unknown(),
            unknown(),
        ]);
    }
    table
}
