//! `silversaild`: one process of a silversail cluster.

use argh::FromArgs;
use silversail_daemon::{logging, Node, NodeParts, Settings};
use std::path::PathBuf;
use std::process::ExitCode;

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
        Err(error) => return fail(&error),
    };
    let _logger = match logging::start(&settings.log, settings.node.as_str()) {
        Ok(logger) => logger,
        Err(error) => return fail(&error),
    };
    let parts = NodeParts {
        settings,
        settings_path: path,
        protocols: silversail_platform::protocols(),
    };
    match Node::start(parts).and_then(Node::run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!(event = "stopped", code = error.code.number(); "{error}");
            fail(&error)
        }
    }
}

fn fail(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("silversaild: {error}");
    ExitCode::FAILURE
}
