//! Subcommands `apply`, `get`, `diff`, `history` and `drain`.

use crate::commands::check::read_document;
use crate::errors::CliError;
use crate::operator_client::OperatorClient;
use crate::output::{print, OutputFormat, Table};
use argh::FromArgs;
use serde::Serialize;
use serde_json::{json, Value};
use silversail_model::{Configuration, ConfigurationDocument};
use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;

/// Applies a configuration file. Prints the new revision.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "apply",
    example = "{command_name} --server 127.0.0.1:9101,127.0.0.1:9102 --file change.yaml"
)]
pub struct Apply {
    /// operators' addresses, comma-separated; the next is tried when one does not answer
    #[argh(option)]
    server: String,
    /// YAML file with pipelines, backends, models, tenants, delete
    #[argh(option)]
    file: PathBuf,
    /// identifier of the change; must stay the same when the change is sent again
    #[argh(option)]
    change_id: Option<String>,
    /// revision on which the change is based; the current one if not given
    #[argh(option)]
    base_revision: Option<u64>,
    /// name of the operator, for the history
    #[argh(option, default = "String::new()")]
    operator: String,
}

impl Apply {
    /// Sends the change and prints the revision.
    pub fn run(self) -> Result<(), CliError> {
        let document = read_document(&self.file)?;
        let client = OperatorClient::new(&self.server);
        send_change(
            &client,
            &document,
            self.change_id,
            self.base_revision,
            &self.operator,
        )
    }
}

fn send_change(
    client: &OperatorClient,
    document: &ConfigurationDocument,
    change_id: Option<String>,
    base_revision: Option<u64>,
    operator: &str,
) -> Result<(), CliError> {
    let base_revision = match base_revision {
        Some(revision) => revision,
        None => current_revision(client)?,
    };
    let change_id = change_id.unwrap_or_else(|| format!("cli-{:016x}", rand::random::<u64>()));
    let body = json!({
        "change_id": change_id,
        "base_revision": base_revision,
        "operator": operator,
        "document": document,
    });
    let answer = client
        .post("/v1/configuration/changes", &body)
        .inspect_err(|error| {
            if error.exit_code() == 4 {
                eprintln!(
                    "to retry this change: --change-id {change_id} --base-revision {base_revision}"
                );
            }
        })?;
    println!("revision {}", answer["revision"]);
    Ok(())
}

fn current_revision(client: &OperatorClient) -> Result<u64, CliError> {
    let current = client.get("/v1/configuration")?;
    Ok(current["revision"].as_u64().unwrap_or_default())
}

/// Prints the current configuration.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "get",
    example = "{command_name} --server 127.0.0.1:9101 --kind backends --output table"
)]
pub struct Get {
    /// operators' addresses, comma-separated
    #[argh(option)]
    server: String,
    /// pipelines, backends, models or tenants; all if not given
    #[argh(option)]
    kind: Option<String>,
    /// table, json or yaml
    #[argh(option, default = "OutputFormat::Yaml")]
    output: OutputFormat,
}

const KINDS: [&str; 4] = ["pipelines", "backends", "models", "tenants"];

impl Get {
    /// Reads and prints.
    pub fn run(self) -> Result<(), CliError> {
        if let Some(kind) = self.kind.as_deref().filter(|kind| !KINDS.contains(kind)) {
            let known = KINDS.join(", ");
            return Err(CliError::Invalid(format!(
                "unknown kind '{kind}'; expected one of {known}"
            )));
        }
        let answer = OperatorClient::new(&self.server).get("/v1/configuration")?;
        let selected = match &self.kind {
            Some(kind) => answer["document"][kind].clone(),
            None => answer.clone(),
        };
        let kinds: Vec<&str> = match &self.kind {
            Some(kind) => vec![kind],
            None => KINDS.to_vec(),
        };
        print(self.output, &selected, || {
            object_table(&answer["document"], &kinds)
        })
    }
}

fn object_table(document: &Value, kinds: &[&str]) -> Table {
    let mut table = Table::new(&["kind", "name", "labels"]);
    for kind in kinds {
        for object in document[kind].as_array().into_iter().flatten() {
            let labels = object["labels"].as_object().into_iter().flatten();
            let labels: Vec<String> = labels
                .map(|(key, value)| format!("{key}={}", value.as_str().unwrap_or_default()))
                .collect();
            table.row(vec![
                (*kind).to_owned(),
                object["name"].as_str().unwrap_or_default().to_owned(),
                labels.join(","),
            ]);
        }
    }
    table
}

/// Prints the changes that a file would make, without applying it.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "diff",
    example = "{command_name} --server 127.0.0.1:9101 --file change.yaml"
)]
pub struct Diff {
    /// operators' addresses, comma-separated
    #[argh(option)]
    server: String,
    /// YAML file as for apply
    #[argh(option)]
    file: PathBuf,
    /// table, json or yaml
    #[argh(option, default = "OutputFormat::Table")]
    output: OutputFormat,
}

/// One object that a file would change.
#[derive(Serialize)]
struct Difference {
    change: &'static str,
    kind: &'static str,
    name: String,
}

impl Diff {
    /// Compares and prints.
    pub fn run(self) -> Result<(), CliError> {
        let change = read_document(&self.file)?;
        let answer = OperatorClient::new(&self.server).get("/v1/configuration")?;
        let document: ConfigurationDocument = serde_json::from_value(answer["document"].clone())
            .map_err(|error| CliError::Local(error.to_string()))?;
        let mut current = Configuration::default();
        current.apply(&document);
        let next = current
            .with_change(&change)
            .map_err(|errors| CliError::Invalid(errors.to_string()))?;
        let differences = differences(&current, &next);
        print(self.output, &differences, || {
            let mut table = Table::new(&["change", "kind", "name"]);
            for difference in &differences {
                let cells = [difference.change, difference.kind, &difference.name];
                table.row(cells.map(str::to_owned).to_vec());
            }
            table
        })
    }
}

fn differences(current: &Configuration, next: &Configuration) -> Vec<Difference> {
    let mut all = Vec::new();
    compare("pipeline", &current.pipelines, &next.pipelines, &mut all);
    compare("backend", &current.backends, &next.backends, &mut all);
    compare("model", &current.models, &next.models, &mut all);
    compare("tenant", &current.tenants, &next.tenants, &mut all);
    all
}

fn compare<K: Ord + ToString, V: PartialEq>(
    kind: &'static str,
    current: &BTreeMap<K, V>,
    next: &BTreeMap<K, V>,
    differences: &mut Vec<Difference>,
) {
    let names: BTreeSet<&K> = current.keys().chain(next.keys()).collect();
    for name in names {
        let change = match (current.get(name), next.get(name)) {
            (None, Some(_)) => "add",
            (Some(_), None) => "delete",
            (Some(before), Some(after)) if before != after => "change",
            _ => continue,
        };
        differences.push(Difference {
            change,
            kind,
            name: name.to_string(),
        });
    }
}

/// Prints the latest accepted changes. Only voters have them.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "history",
    example = "{command_name} --server 127.0.0.1:9101"
)]
pub struct History {
    /// operators' addresses of voters, comma-separated
    #[argh(option)]
    server: String,
    /// table, json or yaml
    #[argh(option, default = "OutputFormat::Table")]
    output: OutputFormat,
}

impl History {
    /// Reads and prints.
    pub fn run(self) -> Result<(), CliError> {
        let answer = OperatorClient::new(&self.server).get("/v1/configuration/history")?;
        let changes = answer["changes"].as_array().cloned().unwrap_or_default();
        print(self.output, &changes, || {
            let mut table = Table::new(&["revision", "change_id", "operator"]);
            for change in &changes {
                let text = |field: &str| change[field].as_str().unwrap_or_default().to_owned();
                let revision = change["revision"].to_string();
                table.row(vec![revision, text("change_id"), text("operator")]);
            }
            table
        })
    }
}

/// Drains a back end, so that it gets no new work, or ends its draining.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "drain",
    example = "{command_name} --server 127.0.0.1:9101 --backend engine-3",
    example = "{command_name} --server 127.0.0.1:9101 --backend engine-3 --undo"
)]
pub struct Drain {
    /// operators' addresses, comma-separated
    #[argh(option)]
    server: String,
    /// name of the back end
    #[argh(option)]
    backend: String,
    /// end the draining
    #[argh(switch)]
    undo: bool,
}

impl Drain {
    /// Changes the drain mark of the back end in the configuration.
    pub fn run(self) -> Result<(), CliError> {
        let client = OperatorClient::new(&self.server);
        let current = client.get("/v1/configuration")?;
        let document: ConfigurationDocument =
            serde_json::from_value(current["document"].clone())
                .map_err(|error| CliError::Local(error.to_string()))?;
        let backend = document
            .backends
            .into_iter()
            .find(|backend| backend.name.as_str() == self.backend);
        let Some(mut backend) = backend else {
            return Err(CliError::Invalid(format!(
                "the configuration has no back end '{}'",
                self.backend
            )));
        };
        backend.drain = !self.undo;
        let change = ConfigurationDocument {
            backends: vec![backend],
            ..ConfigurationDocument::default()
        };
        let revision = current["revision"].as_u64();
        send_change(&client, &change, None, revision, "")
    }
}
