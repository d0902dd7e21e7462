//! Subcommand `explain`.

use crate::errors::CliError;
use argh::FromArgs;
use silversail_decisions::explain::{format_line, Explanation, LogLines};
use std::collections::BTreeMap;

/// Explains from the decision logs of processes why a request failed, or how their
/// view of the cluster changed.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "explain",
    example = "{command_name} --request 9c41d07be2a35f68 node-1.log node-2.log",
    example = "{command_name} --belief i-7f3a91c2 node-1.log node-2.log",
    example = "{command_name} --lost node-1.log node-2.log"
)]
pub struct Explain {
    /// identifier that the caller gave the request
    #[argh(option)]
    request: Option<String>,
    /// back end, service, node or group whose state changes are printed
    #[argh(option)]
    belief: Option<String>,
    /// count the failed requests by the decision that failed them
    #[argh(switch)]
    lost: bool,
    /// decision log files
    #[argh(positional)]
    files: Vec<String>,
}

impl Explain {
    /// Reads the files and prints the explanation.
    pub fn run(self) -> Result<(), CliError> {
        let mut lines = LogLines::default();
        for path in &self.files {
            let text = std::fs::read(path).map_err(|error| CliError::File {
                path: path.clone(),
                message: error.to_string(),
            })?;
            lines.read(&String::from_utf8_lossy(&text));
        }
        match (&self.request, &self.belief, self.lost) {
            (Some(id), None, false) => print_request(id, &lines.request(id))?,
            (None, Some(subject), false) => print_state_changes(&lines, subject),
            (None, None, true) => print_failure_counts(&lines),
            _ => {
                let message = "give exactly one of --request, --belief and --lost";
                return Err(CliError::Invalid(message.to_owned()));
            }
        }
        print_missing_lines(&lines);
        Ok(())
    }
}

fn print_request(id: &str, explanation: &Explanation<'_>) -> Result<(), CliError> {
    let Some(first) = explanation.path.first() else {
        let message = format!("the files have no line of request {id}; it may not be sampled, or a file may be missing");
        return Err(CliError::Invalid(message));
    };
    for line in &explanation.path {
        println!("{}", format_line(line, first.at_ms));
    }
    match explanation.failed_by {
        Some(line) => println!("lost by: {}", format_line(line, first.at_ms).trim_start()),
        None if explanation.has_end => println!("not lost"),
        None => println!("the files do not contain the end of the request"),
    }
    if !explanation.has_arrival {
        println!("the files do not contain the arrival of the request; the path is incomplete");
    }
    Ok(())
}

fn print_state_changes(lines: &LogLines, subject: &str) {
    let changes = lines.state_changes(subject);
    let start = changes.first().map_or(0, |line| line.at_ms);
    for line in changes {
        println!("{}", format_line(line, start));
    }
}

fn print_failure_counts(lines: &LogLines) {
    let mut by_cause: BTreeMap<String, (usize, &str)> = BTreeMap::new();
    for (request, line) in lines.failed_requests() {
        let cause = format_line(line, line.at_ms);
        let event = cause.split_whitespace().nth(3).unwrap_or_default();
        let reason = cause
            .split_whitespace()
            .find(|word| word.starts_with("reason=") || word.starts_with("outcome="))
            .unwrap_or_default();
        let counted = by_cause
            .entry(format!("{event} {reason}"))
            .or_insert((0, request));
        counted.0 += 1;
    }
    for (cause, (count, request)) in by_cause {
        println!("{count:>6}  {cause}  for example {request}");
    }
}

fn print_missing_lines(lines: &LogLines) {
    let missing = lines.gaps;
    if missing.dropped > 0 {
        println!(
            "{} lines were dropped by the processes: paths may be incomplete",
            missing.dropped
        );
    }
    if missing.unreadable > 0 {
        println!("{} lines are not decision log lines", missing.unreadable);
    }
}
