//! The way of a request, or of a belief, through the lines of several processes.

use crate::event::Event;
use crate::event_class::EventClass;
use crate::writer::LogLine;

/// Why a path may be told in part only.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MissingLines {
    /// Lines of the files that are no decision lines.
    pub unreadable: usize,
    /// Lines that processes say they dropped.
    pub dropped: u64,
}

/// The lines of several processes, in the order of their clocks.
#[derive(Debug, Default)]
pub struct LogLines {
    lines: Vec<LogLine>,
    /// What is known to be missing.
    pub gaps: MissingLines,
}

/// What became of a request, by its lines.
#[derive(Debug, PartialEq)]
pub struct Explanation<'a> {
    /// Its lines in order.
    pub path: Vec<&'a LogLine>,
    /// The first decision that lost it; none where it went well or nothing is
    /// known.
    pub failed_by: Option<&'a LogLine>,
    /// Whether its arrival is among the lines.
    pub has_arrival: bool,
    /// Whether its end is among the lines.
    pub has_end: bool,
}

impl LogLines {
    /// Takes in the text of a log file. A line may have other text before its
    /// JSON object, as when a collector adds times and names.
    pub fn read(&mut self, text: &str) {
        for text in text.lines().filter(|line| !line.trim().is_empty()) {
            let object = text.find('{').map(|start| &text[start..]);
            match object.and_then(|object| serde_json::from_str::<LogLine>(object).ok()) {
                Some(line) => self.take(line),
                None => self.gaps.unreadable += 1,
            }
        }
        self.lines.sort_by_key(|line| line.at_ms);
    }

    fn take(&mut self, line: LogLine) {
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

    /// The path of a request.
    pub fn request(&self, id: &str) -> Explanation<'_> {
        let path: Vec<&LogLine> = self
            .lines
            .iter()
            .filter(|line| is_about(&line.event, id))
            .collect();
        // A request that was served in the end was lost by nothing on its way.
        let is_served = path.iter().any(|line| serves(&line.event));
        let failed_by = path
            .iter()
            .copied()
            .find(|line| !is_served && loses(&line.event));
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

    /// What the processes believed of a subject: a back end, service, node or
    /// group; the lines of beliefs that name it.
    pub fn state_changes(&self, subject: &str) -> Vec<&LogLine> {
        let lines = self.lines.iter();
        lines
            .filter(|line| line.event.class() == EventClass::StateChange)
            .filter(|line| {
                serde_json::to_string(&line.event).is_ok_and(|text| text.contains(subject))
            })
            .collect()
    }

    /// Requests that were lost, with the decision that lost each, for a start
    /// where no id is known.
    pub fn failed_requests(&self) -> Vec<(&str, &LogLine)> {
        let failures = self.lines.iter().filter(|line| loses(&line.event));
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

/// Whether a decision loses its request.
fn loses(event: &Event) -> bool {
    match event {
        Event::Refused { .. } | Event::CallerGone { .. } => true,
        Event::SendFailed { next, .. } => next == "give_up",
        Event::PhaseDone { outcome, .. } => outcome != "made",
        Event::Answered { end, status, .. } => end != "whole" || *status >= 400,
        _ => false,
    }
}

/// Whether an event is a whole answer of success.
fn serves(event: &Event) -> bool {
    matches!(event, Event::Answered { end, status, .. } if end == "whole" && *status < 400)
}

/// One line for people: time from `start_ms`, node, event and its inputs.
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
