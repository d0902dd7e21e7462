//! `explain`.

use crate::errors::CliError;
use argh::FromArgs;
use silversail_decisions::explain::{describe, Explanation, Lines};
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
        let mut lines = Lines::default();
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
        println!("{}", describe(line, first.at_ms));
    }
    match explanation.lost_by {
        Some(line) => println!("lost by: {}", describe(line, first.at_ms).trim_start()),
        None if explanation.has_end => println!("not lost"),
        None => println!("its end is not among the lines"),
    }
    if !explanation.has_arrival {
        println!("its arrival is not among the lines: the path is told in part");
    }
    Ok(())
}

fn print_belief(lines: &Lines, subject: &str) {
    let beliefs = lines.belief(subject);
    let start = beliefs.first().map_or(0, |line| line.at_ms);
    for line in beliefs {
        println!("{}", describe(line, start));
    }
}

fn print_lost(lines: &Lines) {
    let mut by_cause: BTreeMap<String, (usize, &str)> = BTreeMap::new();
    for (request, line) in lines.lost() {
        let cause = describe(line, line.at_ms);
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

fn print_gaps(lines: &Lines) {
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
