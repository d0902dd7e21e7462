//! `explain`.

use crate::errors::CliError;
use argh::FromArgs;
use silversail_decisions::explain::{format_line, Explanation, LogLines};
use std::collections::BTreeMap;

/// Tells from processes' decision logs why a request was lost, or what the
/// processes believed.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "explain",
    example = "{command_name} --request 9c41d07be2a35f68 node-1.log node-2.log",
    example = "{command_name} --belief i-7f3a91c2 node-1.log node-2.log",
    example = "{command_name} --lost node-1.log node-2.log"
)]
pub struct Explain {
    /// the caller's identifier of the request
    #[argh(option)]
    request: Option<String>,
    /// a back end, service, node or group
    #[argh(option)]
    belief: Option<String>,
    /// count the lost requests by the decision that lost them
    #[argh(switch)]
    lost: bool,
    /// log files
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
            (None, Some(subject), false) => print_belief(&lines, subject),
            (None, None, true) => print_lost(&lines),
            _ => {
                let message = "name one of --request, --belief and --lost";
                return Err(CliError::Invalid(message.to_owned()));
            }
        }
        print_gaps(&lines);
        Ok(())
    }
}

fn print_request(id: &str, explanation: &Explanation<'_>) -> Result<(), CliError> {
    let Some(first) = explanation.path.first() else {
        let message = format!("no line is about request {id}; it may be sampled out or unread");
        return Err(CliError::Invalid(message));
    };
    for line in &explanation.path {
        println!("{}", format_line(line, first.at_ms));
    }
    match explanation.failed_by {
        Some(line) => println!("lost by: {}", format_line(line, first.at_ms).trim_start()),
        None if explanation.has_end => println!("not lost"),
        None => println!("its end is not among the lines"),
    }
    if !explanation.has_arrival {
        println!("its arrival is not among the lines: the path is told in part");
    }
    Ok(())
}

fn print_belief(lines: &LogLines, subject: &str) {
    let beliefs = lines.state_changes(subject);
    let start = beliefs.first().map_or(0, |line| line.at_ms);
    for line in beliefs {
        println!("{}", format_line(line, start));
    }
}

fn print_lost(lines: &LogLines) {
    let mut by_cause: BTreeMap<String, (usize, &str)> = BTreeMap::new();
    for (request, line) in lines.failed_requests() {
        let cause = format_line(line, line.at_ms);
        let event = cause.split_whitespace().nth(3).unwrap_or_default();
        let reason = cause
            .split_whitespace()
            .find(|word| word.starts_with("reason=") || word.starts_with("outcome="))
            .unwrap_or_default();
        let known = by_cause
            .entry(format!("{event} {reason}"))
            .or_insert((0, request));
        known.0 += 1;
    }
    for (cause, (count, request)) in by_cause {
        println!("{count:>6}  {cause}  for example {request}");
    }
}

fn print_gaps(lines: &LogLines) {
    let gaps = lines.gaps;
    if gaps.dropped > 0 {
        println!(
            "{} lines were dropped by the processes: paths may have gaps",
            gaps.dropped
        );
    }
    if gaps.unreadable > 0 {
        println!("{} lines of the files are no decisions", gaps.unreadable);
    }
}
