//! Subcommands `check` and `check-history`.

use crate::errors::CliError;
use argh::FromArgs;
use serde::de::DeserializeOwned;
use silversail_daemon::Settings;
use silversail_model::{Configuration, ConfigurationDocument};
use silversail_testbed::{check, CallRecord, RunRecord};
use std::path::{Path, PathBuf};

/// Validates settings and configuration files without a server.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "check",
    example = "{command_name} --settings node-1.yaml --configuration pipelines.yaml"
)]
pub struct Check {
    /// settings file of a process
    #[argh(option)]
    settings: Option<PathBuf>,
    /// configuration file; validated as a complete configuration
    #[argh(option)]
    configuration: Option<PathBuf>,
}

impl Check {
    /// Validates each given file.
    pub fn run(self) -> Result<(), CliError> {
        if let Some(path) = &self.settings {
            Settings::load(path).map_err(|error| CliError::Invalid(error.to_string()))?;
            println!("{}: settings are valid", path.display());
        }
        if let Some(path) = &self.configuration {
            let document = read_document(path)?;
            Configuration::default()
                .with_change(&document)
                .map_err(|errors| CliError::Invalid(errors.to_string()))?;
            println!("{}: configuration is valid", path.display());
        }
        Ok(())
    }
}

/// Reads a configuration document from a YAML file.
pub fn read_document(path: &Path) -> Result<ConfigurationDocument, CliError> {
    read_yaml(path)
}

/// Parses a YAML file.
pub fn read_yaml<T: DeserializeOwned>(path: &Path) -> Result<T, CliError> {
    let file_error = |message: String| CliError::File {
        path: path.display().to_string(),
        message,
    };
    let text = std::fs::read_to_string(path).map_err(|error| file_error(error.to_string()))?;
    serde_yaml_ng::from_str(&text).map_err(|error| file_error(error.to_string()))
}

/// Checks recorded histories for violations of the guarantees to callers.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "check-history",
    example = "{command_name} --calls calls.jsonl --runs runs.jsonl"
)]
pub struct CheckHistory {
    /// results of calls at the callers, as JSON lines
    #[argh(option)]
    calls: PathBuf,
    /// run log of the services, as JSON lines
    #[argh(option)]
    runs: Option<PathBuf>,
}

impl CheckHistory {
    /// Prints each violation; fails if there is any.
    pub fn run(self) -> Result<(), CliError> {
        let calls: Vec<CallRecord> = read_lines(&self.calls)?;
        let runs: Vec<RunRecord> = match &self.runs {
            Some(path) => read_lines(path)?,
            None => Vec::new(),
        };
        let violations = check(&calls, &runs);
        for violation in &violations {
            println!("{violation:?}");
        }
        println!(
            "{} calls, {} runs, {} violations",
            calls.len(),
            runs.len(),
            violations.len()
        );
        match violations.is_empty() {
            true => Ok(()),
            false => Err(CliError::Local(
                "the history violates guarantees to callers".into(),
            )),
        }
    }
}

fn read_lines<T: DeserializeOwned>(path: &Path) -> Result<Vec<T>, CliError> {
    let file_error = |message: String| CliError::File {
        path: path.display().to_string(),
        message,
    };
    let text = std::fs::read_to_string(path).map_err(|error| file_error(error.to_string()))?;
    text.lines()
        .enumerate()
        .map(|(number, line)| {
            serde_json::from_str(line)
                .map_err(|error| file_error(format!("line {}: {error}", number + 1)))
        })
        .collect()
}
