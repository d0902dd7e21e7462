//! Subcommand `plan`.

use crate::commands::check::read_yaml;
use crate::errors::CliError;
use crate::plan::{render, PlanInput};
use argh::FromArgs;
use std::path::PathBuf;

/// Prints the tables of docs/CAPACITY.md from a cluster size and measurements.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "plan",
    example = "{command_name} docs/capacity.yaml"
)]
pub struct Plan {
    /// YAML file of the cluster size, the budget and the measurements
    #[argh(positional)]
    file: PathBuf,
}

impl Plan {
    /// Computes and prints the tables.
    pub fn run(self) -> Result<(), CliError> {
        let input: PlanInput = read_yaml(&self.file)?;
        print!("{}", render(&input));
        Ok(())
    }
}
