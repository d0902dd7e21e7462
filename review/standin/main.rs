//! Stand-ins for clients, engines and the platform, and the cases that use them.
//!
//! `standin CASE FOLDER RECORD TROUBLE`: FOLDER is a temporary folder, RECORD the file that gets what
//! was sent, answered and run. Without the disruption if TROUBLE is 0.

mod cut;
mod engine;
mod fleet;
mod http;
mod json;
mod list;
mod mixed;
mod record;
mod twice;

use record::Record;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

/// Where a case runs, and how.
pub struct Setup {
    /// Temporary folder of the processes.
    pub folder: PathBuf,
    /// Whether the disruption is played.
    pub is_troubled: bool,
}

/// Result of a case.
pub enum Outcome {
    Held,
    Broken,
    NotRun(&'static str),
}

/// A configuration with one tenant.
pub fn configuration(version: u64, routes: &str, services: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{services}],
        "limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
        "tenants":[{{"name":"tenant-1","api_keys":["key-1"],"priority":1}}]}}"#
    )
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, path, trouble] = arguments.as_slice() else {
        eprintln!("standin CASE FOLDER RECORD TROUBLE");
        return ExitCode::from(2);
    };
    if case == "engine" {
        return match cut::serve_engine(folder) {
            Ok(()) => ExitCode::SUCCESS,
            Err(_) => ExitCode::from(2),
        };
    }
    let setup = Setup {
        folder: PathBuf::from(folder),
        is_troubled: trouble != "0",
    };
    let record = Arc::new(Record::new());
    let with = if setup.is_troubled { "with" } else { "without" };
    record.add(format!("case {case}, {with} the disruption"));
    let outcome = match case.as_str() {
        "twice" => twice::run(&setup, &record),
        "mixed" => mixed::run(&setup, &record),
        "cut" => cut::run(&setup, &record),
        _ => Ok(Outcome::NotRun("no such case")),
    };
    let (line, code) = match outcome {
        Ok(Outcome::Held) => ("the rule held".to_owned(), 0),
        Ok(Outcome::Broken) => ("the rule was broken".to_owned(), 1),
        Ok(Outcome::NotRun(reason)) => (format!("the case could not run: {reason}"), 2),
        Err(error) => (format!("the case could not run: {error}"), 2),
    };
    println!("{line}");
    record.add(line);
    if std::fs::write(path, record.text()).is_err() {
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
