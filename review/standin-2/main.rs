//! Stand-ins and checks of the second review's cases: a platform that starts the project's processes
//! by the deploy file, its list of engines, engines, an operator and clients. Standard library only.

mod engine;
mod first_start;
mod fleet;
mod http;
mod memory;
mod pieces;
mod record;
mod slow_readers;
mod stop;
mod template;
mod tenant;

use record::Record;
use std::process::exit;

/// How a case ended, as the exit code tells it.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

/// Error that kept a case from being played.
pub type CaseError = String;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, trouble, record_path] = &arguments[..] else {
        eprintln!("usage: standin CASE TROUBLE RECORD");
        exit(2);
    };
    let has_trouble = trouble != "0";
    let record = match Record::create(record_path) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{record_path}: {error}");
            exit(2);
        }
    };
    record.line(&format!(
        "case {case}, {} the disruption",
        if has_trouble { "with" } else { "without" }
    ));
    let verdict = match case.as_str() {
        "stop" => stop::play(&record, has_trouble),
        "slow-readers" => slow_readers::play(&record, has_trouble),
        "pieces" => pieces::play(&record, has_trouble),
        "tenant" => tenant::play(&record, has_trouble),
        "first-start" => first_start::play(&record, has_trouble),
        _ => Err(format!("no case {case}")),
    };
    let (text, code) = match verdict {
        Ok(Verdict::Held) => ("the rule held".to_owned(), 0),
        Ok(Verdict::Broken) => ("the rule was broken".to_owned(), 1),
        Err(error) => (format!("the case could not run: {error}"), 2),
    };
    record.line(&text);
    println!("{case}: {text}");
    exit(code);
}
