//! Subcommand `load`.

use crate::commands::check::read_yaml;
use crate::errors::CliError;
use crate::output::{print, OutputFormat, Table};
use argh::FromArgs;
use silversail_testbed::load::run;
use silversail_testbed::{LoadPlan, LoadReport};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Sends requests by a load plan and reports attainment and cost by stage.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "load",
    example = "{command_name} examples/demo/load.yaml --entry 127.0.0.1:8101 --calls calls.jsonl"
)]
pub struct Load {
    /// YAML file of the plan
    #[argh(positional)]
    file: PathBuf,
    /// callers' addresses to ask for entry points, comma-separated
    #[argh(option)]
    entry: String,
    /// output file for the results of calls, as JSON lines
    #[argh(option)]
    calls: Option<PathBuf>,
    /// table, json or yaml
    #[argh(option, default = "OutputFormat::Table")]
    output: OutputFormat,
}

/// Parses a comma-separated list of loopback addresses.
pub fn parse_addresses(text: &str) -> Result<Vec<SocketAddr>, CliError> {
    text.split(',')
        .map(|address_text| {
            let address: SocketAddr = address_text
                .trim()
                .parse()
                .map_err(|_| CliError::Invalid(format!("'{address_text}' is not IP:PORT")))?;
            match address.ip().is_loopback() {
                true => Ok(address),
                false => Err(CliError::Invalid(format!(
                    "{address} is not a loopback address"
                ))),
            }
        })
        .collect()
}

impl Load {
    /// Runs the plan and prints the report.
    pub fn run(self) -> Result<(), CliError> {
        let plan: LoadPlan = read_yaml(&self.file)?;
        if plan.tenants.is_empty() {
            return Err(CliError::Invalid("tenants: must not be empty".into()));
        }
        let report = run(&plan, parse_addresses(&self.entry)?);
        if let Some(path) = &self.calls {
            let lines: Vec<String> = report
                .records
                .iter()
                .map(|record| serde_json::to_string(record).expect("records encode"))
                .collect();
            std::fs::write(path, lines.join("\n") + "\n").map_err(|error| CliError::File {
                path: path.display().to_string(),
                message: error.to_string(),
            })?;
        }
        print(self.output, &report, || report_table(&report))
    }
}

fn report_table(report: &LoadReport) -> Table {
    let mut table = Table::new(&["measure", "value"]);
    let mut row = |name: String, value: String| table.row(vec![name, value]);
    row("sent".into(), report.sent.to_string());
    row("attainment".into(), format!("{:.3}", report.attainment));
    for (tenant, share) in &report.attainment_by_tenant {
        row(format!("attainment of {tenant}"), format!("{share:.3}"));
    }
    for (reason, count) in &report.by_reason {
        row(format!("answers {reason}"), count.to_string());
    }
    let times = |values: [u64; 3]| format!("{} / {} / {} ms", values[0], values[1], values[2]);
    row("answer p50/p95/p99".into(), times(report.answer_ms));
    row(
        "first token p50/p95/p99".into(),
        times(report.first_token_ms),
    );
    row("token gap p50/p95/p99".into(), times(report.token_gap_ms));
    for (stage, cost) in &report.cost_ms_by_stage {
        row(format!("cost of {stage}"), format!("{cost:.0} ms"));
    }
    table
}
