//! `silversail`: the command line of operators and testers.

mod commands;
mod errors;
mod operator_client;
mod output;
mod plan;

use argh::FromArgs;
use commands::Command;
use std::process::ExitCode;

/// Operates, validates, emulates and load-tests a silversail cluster.
///
/// Exit codes: 0 success, 1 failure, 2 conflict with another change, 3 invalid input,
/// 4 no answer.
#[derive(FromArgs)]
#[argh(
    example = "{command_name} apply --server 127.0.0.1:9101 --file pipelines.yaml",
    example = "{command_name} get --server 127.0.0.1:9101 --output table",
    example = "{command_name} status --server 127.0.0.1:9101,127.0.0.1:9102"
)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match arguments.command.run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("silversail: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
