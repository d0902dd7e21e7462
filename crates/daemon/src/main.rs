//! `silversaild`: one process of a silversail cluster.

use argh::FromArgs;
use silversail_daemon::{logging, Node, NodeParts, Settings};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Longest wait at exit for the last lines of the decision log to be written.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// Runs one process of a silversail cluster.
#[derive(FromArgs)]
#[argh(example = "{command_name} --settings node-1.yaml")]
struct Arguments {
    /// settings file
    #[argh(option)]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let path = arguments.settings;
    let settings = match Settings::load(&path) {
        Ok(settings) => settings,
        Err(error) => return exit_with_error(&error),
    };
    let decisions = match logging::start_decisions(&settings.log, settings.node.as_str()) {
        Ok(decisions) => decisions,
        Err(error) => return exit_with_error(&error),
    };
    let started = logging::start(&settings.log, settings.node.as_str(), &decisions);
    let _logger = match started {
        Ok(logger) => logger,
        Err(error) => return exit_with_error(&error),
    };
    let parts = NodeParts {
        settings,
        settings_path: path,
        log: decisions.clone(),
        protocols: silversail_platform::protocols(),
    };
    match Node::start(parts).and_then(Node::run) {
        Ok(()) => {
            decisions.close(CLOSE_TIMEOUT);
            ExitCode::SUCCESS
        }
        Err(error) => {
            log::error!(event = "stopped", code = error.code.number(); "{error}");
            decisions.close(CLOSE_TIMEOUT);
            exit_with_error(&error)
        }
    }
}

fn exit_with_error(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("silversaild: {error}");
    ExitCode::FAILURE
}
