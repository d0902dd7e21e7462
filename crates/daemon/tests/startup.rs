//! Invalid settings and unusable resources stop a process with a numbered error.

mod common;

use common::binary;
use rstest::rstest;
use serde_json::{json, Value};
use silversail_testbed::cluster::{free_address, wait_until};
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

/// Valid settings with a gateway.
fn gateway_settings(folder: &Path) -> Value {
    let address = || free_address().expect("an address").to_string();
    let mut settings = settings(folder);
    settings["gateway"] = json!({
        "callers": address(),
        "readiness": address(),
        "control": address(),
        "entry_points": address(),
        "backend_list": address(),
    });
    settings
}

fn run_with_settings(folder: &Path, text: &str) -> Output {
    let path = folder.join("settings.yaml");
    std::fs::write(&path, text).expect("written");
    Command::new(binary())
        .arg("--settings")
        .arg(&path)
        .output()
        .expect("the program runs")
}

fn assert_stops_with(folder: &Path, settings: &Value, code: &str) {
    let text = serde_yaml_ng::to_string(settings).expect("YAML");
    let output = run_with_settings(folder, &text);
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
#[case("/rollout", json!({ "exposure_share": 1.1 }), "1004")]
#[case("/rollout", json!({ "exposure_share": -0.1 }), "1004")]
#[case("/rollout", json!({ "exposure_slack": -1 }), "1004")]
#[case("/rollout", json!({ "rollback_ms": 0 }), "1004")]
#[case("/rollout", json!({ "rollback_ms": "soon" }), "1001")]
#[case("/rollout", json!({ "exposure": 0.1 }), "1001")]
#[case("/unknown", json!(1), "1001")]
fn an_invalid_setting_is_reported_with_its_code(
    #[case] path: &str,
    #[case] value: Value,
    #[case] code: &str,
) {
    let folder = tempfile::tempdir().expect("a folder");
    let mut settings = settings(folder.path());
    match settings.pointer_mut(path) {
        Some(field) => *field = value,
        None => settings[path.trim_start_matches('/')] = value,
    }
    assert_stops_with(folder.path(), &settings, code);
}

#[rstest]
#[case("rank_ordering", json!(true), "1001")]
#[case("rank_order", json!("yes"), "1001")]
#[case("admitted_shares", json!([0.9, 0.8, 0.65, 2.1]), "1004")]
#[case("admitted_shares", json!([0.9]), "1001")]
#[case("return_latest_ms", json!(10_001), "1004")]
#[case("return_after_ms", json!(4_001), "1004")]
#[case("room_share", json!(1.1), "1004")]
#[case("room_share", json!(0.1), "1004")]
#[case("inputs_read_after_ms", json!(2_001), "1004")]
#[case("cold_use", json!("never"), "1001")]
#[case("region_affinity", json!("sometimes"), "1001")]
#[case("prefill_tokens_per_ms", json!(0.0), "1004")]
#[case("prefill_tokens_per_ms", json!("fast"), "1001")]
fn an_invalid_policy_is_reported_with_its_field(
    #[case] field: &str,
    #[case] value: Value,
    #[case] code: &str,
) {
    let folder = tempfile::tempdir().expect("a folder");
    let mut settings = gateway_settings(folder.path());
    settings["gateway"]["policy"] = json!({ field: value });
    let text = serde_yaml_ng::to_string(&settings).expect("YAML");
    let output = run_with_settings(folder.path(), &text);
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success());
    assert!(
        errors.contains(code) && errors.contains("policy"),
        "{errors}"
    );
}

#[rstest]
#[case("processor_share", json!(0.0), "1004")]
#[case("processor_share", json!("much"), "1001")]
fn an_invalid_gateway_setting_is_reported_with_its_field(
    #[case] field: &str,
    #[case] value: Value,
    #[case] code: &str,
) {
    let folder = tempfile::tempdir().expect("a folder");
    let mut settings = gateway_settings(folder.path());
    settings["gateway"][field] = value;
    let text = serde_yaml_ng::to_string(&settings).expect("YAML");
    let output = run_with_settings(folder.path(), &text);
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success());
    assert!(errors.contains(code) && errors.contains(field), "{errors}");
}

/// The process is in zone `a`.
#[rstest]
#[case::no_region(json!({ "zones": { "a": null } }), "1007", "topology.zones.a")]
#[case::an_empty_region(json!({ "zones": { "a": "" } }), "1007", "topology.zones.a")]
#[case::no_name(json!({ "zones": { "a": "north", "hall a": "north" } }), "1002", "topology.zones.hall a")]
#[case::no_region_name(json!({ "zones": { "a": "far north" } }), "1002", "topology.zones.a")]
#[case::own_zone_unknown(json!({ "zones": { "b": "north" } }), "1005", "topology.zones")]
#[case::negative(json!({ "round_trip_ms": { "same_zone": -1.0 } }), "1004", "topology.round_trip_ms")]
#[case::shorter_far(json!({ "round_trip_ms": { "other_region": 1.0 } }), "1004", "topology.round_trip_ms")]
#[case::no_number(json!({ "round_trip_ms": { "same_region": "near" } }), "1001", "topology.round_trip_ms")]
#[case::a_list(json!({ "zones": ["a"] }), "1001", "topology.zones")]
fn an_invalid_topology_is_reported_with_its_field(
    #[case] topology: Value,
    #[case] code: &str,
    #[case] field: &str,
) {
    let folder = tempfile::tempdir().expect("a folder");
    let mut settings = settings(folder.path());
    settings["topology"] = topology;
    let text = serde_yaml_ng::to_string(&settings).expect("YAML");
    let output = run_with_settings(folder.path(), &text);
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success());
    assert!(errors.contains(code) && errors.contains(field), "{errors}");
}

#[test]
fn invalid_yaml_is_reported_with_its_line() {
    let folder = tempfile::tempdir().expect("a folder");
    let output = run_with_settings(folder.path(), "node: [");
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
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let mut settings = settings(folder.path());
    let address = listener.local_addr().expect("an address").to_string();
    *settings.pointer_mut(path).expect("a field") = json!(address);
    assert_stops_with(folder.path(), &settings, "5004");
}

#[test]
fn a_data_folder_that_is_a_file_stops_the_process() {
    let folder = tempfile::tempdir().expect("a folder");
    std::fs::write(folder.path().join("data"), "a file").expect("written");
    let settings = settings(folder.path());
    assert_stops_with(folder.path(), &settings, "5001");
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
    let is_locked = wait_until(Duration::from_secs(10), || {
        folder.path().join("data/control/identity").exists()
    });
    assert!(is_locked);
    assert_stops_with(folder.path(), &settings(folder.path()), "5006");
    running.kill().expect("killed");
    running.wait().expect("ended");
}

fn change(operators: &str, base: u64) -> Option<Value> {
    let body = json!({
        "change_id": format!("c{base}"),
        "base_revision": base,
        "document": { "tenants": [{ "name": format!("tenant-{base}") }] },
    });
    let sent = ureq::post(&format!("http://{operators}/v1/configuration/changes"))
        .timeout(Duration::from_secs(10))
        .send_string(&body.to_string());
    let response = match sent {
        Ok(response) | Err(ureq::Error::Status(_, response)) => response,
        Err(ureq::Error::Transport(_)) => return None,
    };
    serde_json::from_reader(response.into_reader()).ok()
}

fn revision(operators: &str) -> Option<u64> {
    let asked = ureq::get(&format!("http://{operators}/v1/configuration")).call();
    let body: Value = serde_json::from_reader(asked.ok()?.into_reader()).ok()?;
    body["revision"].as_u64()
}

/// Limits the size of files, so that a write fails as on a full disk; the signal of the limit is
/// ignored.
const FILE_SIZE_LIMIT_COMMAND: &str = "trap '' XFSZ; ulimit -f 24; exec \"$0\" --settings \"$1\"";

#[test]
fn a_failed_write_stops_the_process_and_loses_no_accepted_change() {
    let folder = tempfile::tempdir().expect("a folder");
    let settings = settings(folder.path());
    let operators = settings["operators"]
        .as_str()
        .expect("an address")
        .to_owned();
    let path = folder.path().join("settings.yaml");
    let text = serde_yaml_ng::to_string(&settings).expect("YAML");
    std::fs::write(&path, text).expect("written");
    let mut limited_process = Command::new("sh")
        .args(["-c", FILE_SIZE_LIMIT_COMMAND])
        .arg(binary())
        .arg(&path)
        .stderr(Stdio::piped())
        .spawn()
        .expect("started");
    let is_serving = || revision(&operators).is_some();
    assert!(wait_until(Duration::from_secs(20), is_serving));
    let mut accepted = 0;
    while change(&operators, accepted).is_some_and(|answer| answer["revision"] == accepted + 1) {
        accepted += 1;
        assert!(accepted < 5_000, "no write failed");
    }
    let output = wait_until(Duration::from_secs(20), || {
        limited_process
            .try_wait()
            .is_ok_and(|status| status.is_some())
    });
    assert!(output, "the process continues after a failed write");
    let output = limited_process.wait_with_output().expect("output");
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success());
    assert!(errors.contains("5003"), "{errors}");
    assert!(accepted > 10, "{accepted}");
    // Without the limit, all accepted changes are recovered.
    let mut restarted_process = Command::new(binary())
        .arg("--settings")
        .arg(&path)
        .stderr(Stdio::null())
        .spawn()
        .expect("started");
    let is_recovered = wait_until(Duration::from_secs(20), || {
        revision(&operators) >= Some(accepted)
    });
    restarted_process.kill().expect("killed");
    restarted_process.wait().expect("ended");
    assert!(is_recovered, "{accepted} changes were accepted");
}
