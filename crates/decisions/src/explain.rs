//! Reconstructs the history of a request, or of an object's state, from the decision logs of
//! several processes.

use crate::event::{is_whole, Event};
use crate::event_class::EventClass;
use crate::writer::LogLine;

/// Counts of log lines that are missing, so that an explanation may be incomplete.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MissingLines {
    /// Lines of the input that are not decision log lines.
    pub unreadable: usize,
    /// Lines that the processes reported as dropped.
    pub dropped: u64,
}

/// Decision log lines of several processes, ordered by wall-clock timestamp.
#[derive(Debug, Default)]
pub struct LogLines {
    lines: Vec<LogLine>,
    /// Lines known to be missing.
    pub gaps: MissingLines,
}

/// History and result of one request.
#[derive(Debug, PartialEq)]
pub struct Explanation<'a> {
    /// Log lines of the request, ordered by time.
    pub path: Vec<&'a LogLine>,
    /// The first decision that made the request fail; none if it succeeded or no decision is
    /// in the logs.
    pub failed_by: Option<&'a LogLine>,
    /// Whether the logs contain the request's arrival.
    pub has_arrival: bool,
    /// Whether the logs contain the request's end.
    pub has_end: bool,
}

impl LogLines {
    /// Adds the text of a log file. A line may have a prefix before its JSON object, such as
    /// the timestamp and host name that a log collector adds.
    pub fn read(&mut self, text: &str) {
        for text in text.lines().filter(|line| !line.trim().is_empty()) {
            let object = text.find('{').map(|start| &text[start..]);
            match object.and_then(|object| serde_json::from_str::<LogLine>(object).ok()) {
                Some(line) => self.add_line(line),
                None => self.gaps.unreadable += 1,
            }
        }
        self.lines.sort_by_key(|line| line.at_ms);
    }

    fn add_line(&mut self, line: LogLine) {
        if let Event::Dropped {
            steps,
            failures,
            beliefs,
        } = line.event
        {
            self.gaps.dropped += steps + failures + beliefs;
        }
        self.lines.push(line);
    }

    /// History and result of the request `id`.
    pub fn request(&self, id: &str) -> Explanation<'_> {
        let path: Vec<&LogLine> = self
            .lines
            .iter()
            .filter(|line| is_about(&line.event, id))
            .collect();
        // Failed attempts of a request that succeeded in the end are not reported as its failure.
        let is_successful = path.iter().any(|line| is_complete_response(&line.event));
        let failed_by = path
            .iter()
            .copied()
            .find(|line| !is_successful && is_terminal_failure(&line.event));
        let is_arrival =
            |line: &&LogLine| matches!(line.event, Event::Admitted { .. } | Event::Refused { .. });
        let is_end = |line: &&LogLine| {
            matches!(
                line.event,
                Event::Answered { .. } | Event::Refused { .. } | Event::CallerGone { .. }
            )
        };
        Explanation {
            failed_by,
            has_arrival: path.iter().any(is_arrival),
            has_end: path.iter().any(is_end),
            path,
        }
    }

    /// State changes whose lines contain `subject`, the name of a back end, service, node or
    /// group.
    pub fn state_changes(&self, subject: &str) -> Vec<&LogLine> {
        let lines = self.lines.iter();
        lines
            .filter(|line| line.event.class() == EventClass::StateChange)
            .filter(|line| {
                serde_json::to_string(&line.event).is_ok_and(|text| text.contains(subject))
            })
            .collect()
    }

    /// Failing decisions of all requests, each with its request identifier.
    pub fn failed_requests(&self) -> Vec<(&str, &LogLine)> {
        let failures = self
            .lines
            .iter()
            .filter(|line| is_terminal_failure(&line.event));
        failures
            .filter_map(|line| Some((line.event.request()?, line)))
            .collect()
    }
}

fn is_about(event: &Event, id: &str) -> bool {
    match event {
        Event::BatchSent { requests, .. } => requests.iter().any(|request| request == id),
        event => event.request() == Some(id),
    }
}

/// Whether a decision makes its request fail.
fn is_terminal_failure(event: &Event) -> bool {
    match event {
        Event::Refused { .. } | Event::CallerGone { .. } => true,
        Event::SendFailed { next, .. } => next == "give_up",
        Event::PhaseDone { outcome, .. } => outcome != "made",
        Event::Answered { end, status, .. } => !is_whole(end) || *status >= 400,
        _ => false,
    }
}

/// Whether an event is a complete successful response.
fn is_complete_response(event: &Event) -> bool {
    matches!(event, Event::Answered { end, status, .. } if is_whole(end) && *status < 400)
}

/// Formats a line for display: time since `start_ms`, node, event name and inputs.
pub fn format_line(line: &LogLine, start_ms: u64) -> String {
    let mut fields = match serde_json::to_value(&line.event) {
        Ok(serde_json::Value::Object(fields)) => fields,
        _ => serde_json::Map::new(),
    };
    let event = fields.remove("event");
    fields.remove("request");
    let name = event.as_ref().and_then(|name| name.as_str());
    let inputs: Vec<String> = fields
        .iter()
        .map(|(name, value)| match value {
            serde_json::Value::String(text) => format!("{name}={text}"),
            value => format!("{name}={value}"),
        })
        .collect();
    format!(
        "{:>8} ms  {:<24} {:<16} {}",
        line.at_ms as i64 - start_ms as i64,
        line.node,
        name.unwrap_or_default(),
        inputs.join(" ")
    )
}
