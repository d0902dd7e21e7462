//! A checker that can't fail proves nothing: a bad history of every kind.

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
fn a_good_history_has_no_violation() {
    let calls = [
        call("k", "completed"),
        call("k", "completed"),
        call("l", "not_run"),
    ];
    assert_eq!(check(&calls, &[run("k")]), []);
}

#[test]
fn a_key_that_ran_twice_is_found() {
    let found = check(&[call("k", "completed")], &[run("k"), run("k")]);
    assert_eq!(
        found,
        [Violation::Doubled {
            key: key(),
            runs: 2
        }]
    );
}

#[test]
fn two_stages_of_one_request_are_no_double() {
    let bill = RunRecord {
        stage: "bill".into(),
        ..run("k")
    };
    assert_eq!(check(&[call("k", "completed")], &[run("k"), bill]), []);
}

#[test]
fn an_untrue_refusal_is_found_unless_the_caller_retried_after_it() {
    let refused = call("k", "not_run");
    let found = check(std::slice::from_ref(&refused), &[run("k")]);
    assert_eq!(found, [Violation::UntrueNotRun { key: key() }]);
    let retried = CallRecord {
        retried_after_refusal: true,
        ..call("k", "completed")
    };
    assert_eq!(check(&[refused, retried], &[run("k")]), []);
}

#[test]
fn an_answer_of_a_call_that_never_ran_is_found() {
    let found = check(&[call("k", "completed")], &[run("other")]);
    assert_eq!(found, [Violation::Invented { key: key() }]);
}

#[test]
fn an_answer_of_another_request_is_found() {
    let crossed = CallRecord {
        output: Some(json!({ "input": { "key": "other" } })),
        ..call("k", "completed")
    };
    let found = check(&[crossed], &[run("k")]);
    assert_eq!(found, [Violation::Crossed { key: key() }]);
}

#[test]
fn a_stream_cut_short_is_found() {
    let cut = CallRecord {
        ended_early: true,
        ..call("k", "failed")
    };
    assert_eq!(check(&[cut], &[]), [Violation::CutShort { key: key() }]);
}

#[test]
fn answers_that_differ_are_found() {
    let other = CallRecord {
        output: Some(json!({ "input": { "key": "k" }, "more": 1 })),
        ..call("k", "completed")
    };
    let found = check(&[call("k", "completed"), other], &[run("k")]);
    assert_eq!(found, [Violation::Changed { key: key() }]);
}

#[test]
fn a_call_without_any_answer_is_found() {
    let silent = CallRecord {
        outcome: None,
        ..call("k", "lost")
    };
    assert_eq!(
        check(&[silent], &[run("k")]),
        [Violation::Lost { key: key() }]
    );
}

#[test]
fn a_revision_that_goes_back_is_found() {
    let seen = |node: &str, revision| RevisionRecord {
        node: node.into(),
        revision,
    };
    let good = [seen("a", 1), seen("b", 3), seen("a", 2)];
    assert_eq!(check_revisions(&good), []);
    let bad = [seen("a", 3), seen("a", 2)];
    let expected = Violation::Reverted {
        node: "a".into(),
        from: 3,
        to: 2,
    };
    assert_eq!(check_revisions(&bad), [expected]);
}
