//! Subcommand `emulate`.

use crate::commands::check::read_yaml;
use crate::errors::CliError;
use argh::FromArgs;
use silversail_testbed::{Emulator, EmulatorConfig};
use std::path::PathBuf;
use std::time::Duration;

/// Runs emulated back ends until it is stopped or its time has passed.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "emulate",
    example = "{command_name} examples/demo/backends.yaml"
)]
pub struct Emulate {
    /// YAML file of engines, services and the platform's machine list
    #[argh(positional)]
    file: PathBuf,
    /// duration in seconds
    #[argh(option, default = "86_400")]
    seconds: u64,
}

impl Emulate {
    /// Starts the back ends, prints their addresses and waits.
    pub fn run(self) -> Result<(), CliError> {
        let config: EmulatorConfig = read_yaml(&self.file)?;
        let emulator =
            Emulator::start(&config).map_err(|error| CliError::Local(error.to_string()))?;
        for (name, address) in &emulator.addresses {
            println!("{name} {address}");
        }
        std::thread::sleep(Duration::from_secs(self.seconds));
        Ok(())
    }
}
