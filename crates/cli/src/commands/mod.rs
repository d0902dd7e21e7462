//! Subcommands of the command line.

pub mod check;
pub mod configuration;
pub mod emulate;
pub mod evacuate;
pub mod explain;
pub mod hollow;
pub mod load;
pub mod plan;
pub mod quarantine;
pub mod request;
pub mod rollout;
pub mod simulate;
pub mod status;

use crate::errors::CliError;
use argh::FromArgs;

/// A parsed subcommand.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// See [`configuration::Apply`].
    Apply(configuration::Apply),
    /// See [`configuration::Get`].
    Get(configuration::Get),
    /// See [`configuration::Diff`].
    Diff(configuration::Diff),
    /// See [`configuration::History`].
    History(configuration::History),
    /// See [`configuration::Drain`].
    Drain(configuration::Drain),
    /// See [`status::Status`].
    Status(status::Status),
    /// See [`check::Check`].
    Check(check::Check),
    /// See [`check::CheckHistory`].
    CheckHistory(check::CheckHistory),
    /// See [`emulate::Emulate`].
    Emulate(emulate::Emulate),
    /// See [`evacuate::Evacuate`].
    Evacuate(evacuate::Evacuate),
    /// See [`explain::Explain`].
    Explain(explain::Explain),
    /// See [`hollow::Hollow`].
    Hollow(hollow::Hollow),
    /// See [`load::Load`].
    Load(load::Load),
    /// See [`plan::Plan`].
    Plan(plan::Plan),
    /// See [`quarantine::Quarantine`].
    Quarantine(quarantine::Quarantine),
    /// See [`request::Request`].
    Request(request::Request),
    /// See [`rollout::Rollout`].
    Rollout(rollout::Rollout),
    /// See [`simulate::Simulate`].
    Simulate(simulate::Simulate),
}

impl Command {
    /// Runs the subcommand.
    pub fn run(self) -> Result<(), CliError> {
        match self {
            Command::Apply(command) => command.run(),
            Command::Get(command) => command.run(),
            Command::Diff(command) => command.run(),
            Command::History(command) => command.run(),
            Command::Drain(command) => command.run(),
            Command::Status(command) => command.run(),
            Command::Check(command) => command.run(),
            Command::CheckHistory(command) => command.run(),
            Command::Emulate(command) => command.run(),
            Command::Evacuate(command) => command.run(),
            Command::Explain(command) => command.run(),
            Command::Hollow(command) => command.run(),
            Command::Load(command) => command.run(),
            Command::Plan(command) => command.run(),
            Command::Quarantine(command) => command.run(),
            Command::Request(command) => command.run(),
            Command::Rollout(command) => command.run(),
            Command::Simulate(command) => command.run(),
        }
    }
}
