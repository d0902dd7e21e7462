//! Reconstructing the history of a failed request from the logs of several processes.

use rstest::rstest;
use silversail_decisions::explain::{format_line, LogLines};
use silversail_decisions::writer::LogLine;
use silversail_decisions::Event;

fn line(at_ms: u64, node: &str, event: Event) -> String {
    let line = LogLine {
        at_ms,
        node: node.into(),
        event,
    };
    serde_json::to_string(&line).expect("a line") + "\n"
}

fn admitted(request: &str) -> Event {
    Event::Admitted {
        request: request.into(),
        route: "chat".into(),
        service: "pool".into(),
        version: 7,
        remaining_ms: 4_000,
        phases: 1,
        fingerprint: String::new(),
        prompt_parts: Vec::new(),
        is_forwarded: false,
    }
}

fn batch(requests: &[&str]) -> Event {
    Event::BatchSent {
        backend: "s1".into(),
        service: "encode".into(),
        pieces: 2,
        waiting: 9,
        room_taken: 10,
        requests: requests
            .iter()
            .map(|request| (*request).to_owned())
            .collect(),
    }
}

fn phase_done(request: &str, outcome: &str) -> Event {
    Event::PhaseDone {
        request: request.into(),
        phase: 0,
        outcome: outcome.into(),
        took_ms: 300,
    }
}

fn refused(request: &str) -> Event {
    Event::Refused {
        request: request.into(),
        status: 503,
        code: 2206,
        reason: "phase_failed".into(),
        version: 7,
        after_ms: 310,
        sends: 0,
        retry_after_ms: 250,
    }
}

fn send_failed(request: &str, next: &str) -> Event {
    Event::SendFailed {
        request: request.into(),
        backend: "e1".into(),
        outcome: "unknown".into(),
        reason: "Broken".into(),
        took_ms: 20,
        next: next.into(),
        why: "answer_lost".into(),
    }
}

/// Logs of the node that admitted the requests and of the batching node, whose line has a log
/// collector's prefix.
fn logs() -> LogLines {
    let mut lines = LogLines::default();
    let caller = [
        line(1_000, "n1", admitted("r1")),
        line(1_310, "n1", phase_done("r1", "Failed")),
        line(1_311, "n1", refused("r1")),
        line(1_400, "n1", admitted("r2")),
        line(1_450, "n1", send_failed("r2", "retry")),
        line(1_460, "n1", send_failed("r2", "give_up")),
    ];
    let prefixed = line(1_010, "n2", batch(&["r1", "r9"]));
    lines.read(&format!("   1.01 n2 {prefixed}not a decision\n"));
    lines.read(&caller.concat());
    lines
}

#[test]
fn request_history_merges_the_processes_by_time() {
    let lines = logs();
    let explanation = lines.request("r1");
    let nodes: Vec<&str> = explanation
        .path
        .iter()
        .map(|line| line.node.as_str())
        .collect();
    assert_eq!(nodes, ["n1", "n2", "n1", "n1"]);
    let text = format_line(explanation.path[1], 1_000);
    assert!(
        text.contains("10 ms") && text.contains("batch_sent"),
        "{text}"
    );
    assert!(text.contains("waiting=9"), "{text}");
}

#[rstest]
#[case("r1", Some(1_310), true, true)]
#[case("r2", Some(1_460), true, false)]
#[case("r9", None, false, false)]
fn the_first_failing_decision_of_a_request_is_reported(
    #[case] request: &str,
    #[case] failed_at: Option<u64>,
    #[case] has_arrival: bool,
    #[case] has_end: bool,
) {
    let lines = logs();
    let explanation = lines.request(request);
    assert_eq!(explanation.failed_by.map(|line| line.at_ms), failed_at);
    assert_eq!(explanation.has_arrival, has_arrival);
    assert_eq!(explanation.has_end, has_end);
}

#[test]
fn a_request_that_succeeds_after_a_retry_has_no_failing_decision() {
    let mut lines = logs();
    let answered = Event::Answered {
        request: "r2".into(),
        backend: "e2".into(),
        status: 200,
        head_ms: 80,
        total_ms: 90,
        end: "whole".into(),
    };
    lines.read(&line(1_490, "n1", answered));
    assert_eq!(lines.request("r2").failed_by, None);
}

#[test]
fn dropped_and_unreadable_lines_are_counted() {
    let mut lines = logs();
    let dropped = Event::Dropped {
        steps: 5,
        failures: 1,
        beliefs: 0,
    };
    lines.read(&line(1_500, "n1", dropped));
    assert_eq!(lines.gaps.dropped, 6);
    assert_eq!(lines.gaps.unreadable, 1);
}

#[test]
fn state_changes_are_found_by_the_name_of_their_subject() {
    let mut lines = logs();
    let suspect = Event::Backend {
        backend: "e1".into(),
        service: "pool".into(),
        version: "v1".into(),
        state: "suspect".into(),
        source: "broken".into(),
    };
    lines.read(&line(1_451, "n1", suspect));
    assert_eq!(lines.state_changes("e1").len(), 1);
    assert_eq!(lines.state_changes("e2").len(), 0);
    assert_eq!(lines.failed_requests().len(), 3);
}

/// Guards against events and fields that are missing from the operators' documentation.
#[test]
fn the_decision_log_page_documents_each_event_and_field() {
    let page = include_str!("../../../docs/DECISION_LOG.md");
    let source = include_str!("../src/event.rs");
    let mut event = String::new();
    for text in source.lines() {
        let text = text.trim();
        let variant = text
            .strip_suffix(" {")
            .filter(|name| name.chars().all(char::is_alphanumeric));
        if let Some(name) = variant.filter(|name| name.starts_with(char::is_uppercase)) {
            event = snake_case(name);
            assert!(
                page.contains(&format!("| `{event}`")),
                "{event} is not on the page"
            );
        }
        let field = text
            .split_once(':')
            .filter(|(name, kind)| !event.is_empty() && kind.ends_with(',') && is_field(name));
        if let Some((field, _)) = field {
            let row = page
                .lines()
                .find(|row| row.starts_with(&format!("| `{event}`")));
            let is_named = row.is_some_and(|row| row.contains(&format!("`{field}`")));
            assert!(is_named, "{event}: {field} is not on the page");
        }
    }
}

fn is_field(name: &str) -> bool {
    let mut characters = name.chars();
    characters.all(|character| character.is_ascii_lowercase() || character == '_')
}

fn snake_case(name: &str) -> String {
    let mut text = String::new();
    for character in name.chars() {
        if character.is_uppercase() && !text.is_empty() {
            text.push('_');
        }
        text.extend(character.to_lowercase());
    }
    text
}
