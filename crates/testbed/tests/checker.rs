//! Guards against a checker that misses a violation, with a history of every kind.

use serde_json::json;
use silversail_testbed::checker::check_revisions;
use silversail_testbed::history::RevisionRecord;
use silversail_testbed::{check, CallRecord, RunRecord, Violation};

fn call(key: &str, outcome: &str) -> CallRecord {
    CallRecord {
        key: key.into(),
        pipeline: "open".into(),
        outcome: Some(outcome.into()),
        code: None,
        output: (outcome == "completed").then(|| json!({ "input": { "key": key } })),
        ended_early: false,
        retried_after_refusal: false,
    }
}

fn run(key: &str) -> RunRecord {
    RunRecord {
        service: "gate".into(),
        stage: "open".into(),
        attempt: "a".into(),
        input: json!({ "key": key }),
    }
}

fn key() -> String {
    "k".into()
}

#[test]
fn a_correct_history_has_no_violation() {
    let calls = [
        call("k", "completed"),
        call("k", "completed"),
        call("l", "not_run"),
    ];
    assert_eq!(check(&calls, &[run("k")]), []);
}

#[test]
fn a_repeated_execution_is_found() {
    let violations = check(&[call("k", "completed")], &[run("k"), run("k")]);
    assert_eq!(
        violations,
        [Violation::Doubled {
            key: key(),
            runs: 2
        }]
    );
}

#[test]
fn two_stages_of_one_request_are_not_a_repeated_execution() {
    let bill = RunRecord {
        stage: "bill".into(),
        ..run("k")
    };
    assert_eq!(check(&[call("k", "completed")], &[run("k"), bill]), []);
}

#[test]
fn a_false_rejection_is_found_unless_the_caller_retried_after_it() {
    let rejected = call("k", "not_run");
    let violations = check(std::slice::from_ref(&rejected), &[run("k")]);
    assert_eq!(violations, [Violation::UntrueNotRun { key: key() }]);
    let retried = CallRecord {
        retried_after_refusal: true,
        ..call("k", "completed")
    };
    assert_eq!(check(&[rejected, retried], &[run("k")]), []);
}

#[test]
fn an_answer_without_an_execution_is_found() {
    let violations = check(&[call("k", "completed")], &[run("other")]);
    assert_eq!(violations, [Violation::Invented { key: key() }]);
}

#[test]
fn the_output_of_another_request_is_found() {
    let crossed = CallRecord {
        output: Some(json!({ "input": { "key": "other" } })),
        ..call("k", "completed")
    };
    let violations = check(&[crossed], &[run("k")]);
    assert_eq!(violations, [Violation::Crossed { key: key() }]);
}

#[test]
fn a_stream_without_its_completion_event_is_found() {
    let truncated = CallRecord {
        ended_early: true,
        ..call("k", "failed")
    };
    assert_eq!(
        check(&[truncated], &[]),
        [Violation::CutShort { key: key() }]
    );
}

#[test]
fn different_answers_to_one_call_are_found() {
    let other = CallRecord {
        output: Some(json!({ "input": { "key": "k" }, "more": 1 })),
        ..call("k", "completed")
    };
    let violations = check(&[call("k", "completed"), other], &[run("k")]);
    assert_eq!(violations, [Violation::Changed { key: key() }]);
}

#[test]
fn a_call_without_any_answer_is_found() {
    let unanswered = CallRecord {
        outcome: None,
        ..call("k", "lost")
    };
    assert_eq!(
        check(&[unanswered], &[run("k")]),
        [Violation::Lost { key: key() }]
    );
}

#[test]
fn a_return_to_an_older_revision_is_found() {
    let observation = |node: &str, revision| RevisionRecord {
        node: node.into(),
        revision,
    };
    let good = [
        observation("a", 1),
        observation("b", 3),
        observation("a", 2),
    ];
    assert_eq!(check_revisions(&good), []);
    let bad = [observation("a", 3), observation("a", 2)];
    let expected = Violation::Reverted {
        node: "a".into(),
        from: 3,
        to: 2,
    };
    assert_eq!(check_revisions(&bad), [expected]);
}
