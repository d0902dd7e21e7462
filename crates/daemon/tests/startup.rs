//! Settings and machines that are not as they should be: a clear numbered line.

mod common;

use common::binary;
use rstest::rstest;
use serde_json::{json, Value};
use silversail_testbed::cluster::free_address;
use std::net::TcpListener;
use std::path::Path;
use std::process::{Command, Output, Stdio};
use std::time::Duration;

fn settings(folder: &Path) -> Value {
    let address = || free_address().expect("an address").to_string();
    json!({
        "node": "n0",
        "cluster": {
            "name": "test",
            "nodes": [{ "name": "n0", "zone": "a", "peer": address(), "callers": address() }],
            "voters": ["n0"],
        },
        "operators": address(),
        "data_folder": folder.join("data"),
    })
}

fn run(folder: &Path, text: &str) -> Output {
    let path = folder.join("settings.yaml");
    std::fs::write(&path, text).expect("written");
    Command::new(binary())
        .arg("--settings")
        .arg(&path)
        .output()
        .expect("the program runs")
}

fn stops_with(folder: &Path, settings: &Value, code: &str) {
    let text = serde_yaml_ng::to_string(settings).expect("YAML");
    let output = run(folder, &text);
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success());
    assert!(errors.contains(code), "{errors}");
}

#[rstest]
#[case("/cluster/voters", json!(["n0", "n1"]), "1004")]
#[case("/cluster/voters", json!(["other"]), "1005")]
#[case("/cluster/nodes/0/peer", json!("localhost:1"), "1003")]
#[case("/cluster/nodes/0/name", json!("a b"), "1002")]
#[case("/operators", json!("nowhere"), "1003")]
#[case("/node", json!("n9"), "1005")]
#[case("/data_folder", json!(null), "1007")]
#[case("/timing", json!({ "election_timeout_ms": 100 }), "1004")]
#[case("/log", json!({ "level": "loud" }), "1004")]
#[case("/unknown", json!(1), "1001")]
fn bad_settings_name_their_field(#[case] path: &str, #[case] value: Value, #[case] code: &str) {
    let folder = tempfile::tempdir().expect("a folder");
    let mut settings = settings(folder.path());
    match settings.pointer_mut(path) {
        Some(field) => *field = value,
        None => settings[path.trim_start_matches('/')] = value,
    }
    stops_with(folder.path(), &settings, code);
}

#[test]
fn text_that_is_no_yaml_is_refused_with_its_place() {
    let folder = tempfile::tempdir().expect("a folder");
    let output = run(folder.path(), "node: [");
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        errors.contains("1001") && errors.contains("line"),
        "{errors}"
    );
}

#[rstest]
#[case("/cluster/nodes/0/peer")]
#[case("/cluster/nodes/0/callers")]
#[case("/operators")]
fn a_port_in_use_stops_the_process(#[case] path: &str) {
    let folder = tempfile::tempdir().expect("a folder");
    let taken = TcpListener::bind("127.0.0.1:0").expect("bound");
    let mut settings = settings(folder.path());
    let address = taken.local_addr().expect("an address").to_string();
    *settings.pointer_mut(path).expect("a field") = json!(address);
    stops_with(folder.path(), &settings, "5004");
}

#[test]
fn a_data_folder_that_is_a_file_stops_the_process() {
    let folder = tempfile::tempdir().expect("a folder");
    std::fs::write(folder.path().join("data"), "a file").expect("written");
    let settings = settings(folder.path());
    stops_with(folder.path(), &settings, "5001");
}

#[test]
fn a_data_folder_is_used_by_one_process_at_a_time() {
    let folder = tempfile::tempdir().expect("a folder");
    let first = settings(folder.path());
    let path = folder.path().join("first.yaml");
    let text = serde_yaml_ng::to_string(&first).expect("YAML");
    std::fs::write(&path, text).expect("written");
    let mut running = Command::new(binary())
        .arg("--settings")
        .arg(&path)
        .stderr(Stdio::null())
        .spawn()
        .expect("started");
    let locked = silversail_testbed::cluster::wait_until(Duration::from_secs(10), || {
        folder.path().join("data/control/identity").exists()
    });
    assert!(locked);
    stops_with(folder.path(), &settings(folder.path()), "5006");
    running.kill().expect("killed");
    running.wait().expect("ended");
}
