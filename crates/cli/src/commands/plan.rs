//! `plan`.

use crate::commands::check::read_yaml;
use crate::errors::CliError;
use crate::plan::{render, PlanInput};
use argh::FromArgs;
use std::path::PathBuf;

/// Prints the tables of docs/CAPACITY.md from a size and measured points.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "plan",
    example = "{command_name} docs/capacity.yaml"
)]
pub struct Plan {
    /// YAML file of the size, the budget and the measured points
    #[argh(positional)]
    file: PathBuf,
}

impl Plan {
    /// Reads, works out and prints.
    pub fn run(self) -> Result<(), CliError> {
        let input: PlanInput = read_yaml(&self.file)?;
        print!("{}", render(&input));
        Ok(())
    }
}
