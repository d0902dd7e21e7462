//! Guards validation, planning and exit codes of the command line without a server.

use rstest::rstest;
use std::path::Path;
use std::process::{Command, Output};

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_silversail"))
        .args(arguments)
        .current_dir(Path::new(env!("CARGO_MANIFEST_DIR")).join("../.."))
        .output()
        .expect("the program runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[rstest]
#[case("examples/demo/pipelines.yaml")]
#[case("examples/car-park/pipelines.yaml")]
#[case("examples/quillmark/pipelines.yaml")]
fn example_configurations_are_valid(#[case] file: &str) {
    let output = run(&["check", "--configuration", file]);
    assert!(output.status.success(), "{}", text(&output.stderr));
}

#[test]
fn example_settings_are_valid() {
    for node in 1..=3 {
        let file = format!("examples/demo/node-{node}.yaml");
        assert!(run(&["check", "--settings", &file]).status.success());
    }
}

#[test]
fn an_invalid_configuration_exits_with_3_and_its_error_code() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("bad.yaml");
    std::fs::write(&file, "tenants:\n  - {name: 'a b'}\n").expect("written");
    let output = run(&["check", "--configuration", &file.to_string_lossy()]);
    assert_eq!(output.status.code(), Some(3));
    assert!(
        text(&output.stderr).contains("1002"),
        "{}",
        text(&output.stderr)
    );
}

#[test]
fn an_unknown_field_is_rejected_with_its_line() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("bad.yaml");
    std::fs::write(&file, "tenants:\n  - {name: a, wieght: 2}\n").expect("written");
    let output = run(&["check", "--configuration", &file.to_string_lossy()]);
    assert_eq!(output.status.code(), Some(3));
    let errors = text(&output.stderr);
    assert!(
        errors.contains("wieght") && errors.contains("line 2"),
        "{errors}"
    );
}

#[test]
fn an_unreachable_server_exits_with_4() {
    let output = run(&["get", "--server", "127.0.0.1:1"]);
    assert_eq!(output.status.code(), Some(4));
}

#[test]
fn load_rejects_addresses_that_are_not_loopback() {
    let output = run(&["load", "examples/demo/load.yaml", "--entry", "192.0.2.1:80"]);
    assert_eq!(output.status.code(), Some(3));
}

#[test]
fn the_capacity_page_contains_the_planned_tables() {
    let output = run(&["plan", "docs/capacity.yaml"]);
    assert!(output.status.success(), "{}", text(&output.stderr));
    let tables = text(&output.stdout);
    let page = include_str!("../../../docs/CAPACITY.md");
    assert!(
        page.contains(tables.trim()),
        "the page is outdated; its tables come from: silversail plan docs/capacity.yaml"
    );
}

#[test]
fn a_history_with_a_violation_fails_the_check() {
    let folder = tempfile::tempdir().expect("a folder");
    let calls = folder.path().join("calls.jsonl");
    let call = r#"{"key":"k","outcome":"not_run","code":2111,"output":null}"#;
    std::fs::write(&calls, format!("{call}\n")).expect("written");
    let runs = folder.path().join("runs.jsonl");
    let run_line = r#"{"service":"gate","attempt":"a","input":{"key":"k"}}"#;
    std::fs::write(&runs, format!("{run_line}\n")).expect("written");
    let calls = calls.to_string_lossy();
    let without_runs = run(&["check-history", "--calls", &calls]);
    assert!(without_runs.status.success());
    let with_runs = run(&[
        "check-history",
        "--calls",
        &calls,
        "--runs",
        &runs.to_string_lossy(),
    ]);
    assert_eq!(with_runs.status.code(), Some(1));
    assert!(text(&with_runs.stdout).contains("UntrueNotRun"));
}
