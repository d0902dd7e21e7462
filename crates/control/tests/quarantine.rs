//! Aggregation of crash reports on the leader, and their replicated state.

use silversail_consensus::StateMachine;
use silversail_control::{ControlCommand, ControlState, CrashTable, NodeReport};
use silversail_model::{ContentDigest, NodeName, RequestFingerprint};
use silversail_quarantine::{CrashRecord, CrashReport, QuarantineCommand, QuarantineLimits};
use std::collections::BTreeSet;

fn request(name: &str) -> RequestFingerprint {
    RequestFingerprint::of(None, &ContentDigest::of(name, b""))
}

fn report(node: &str, crashes: &[(&str, u64, &str)]) -> NodeReport {
    let crashes = crashes.iter();
    NodeReport {
        node: NodeName(node.into()),
        incarnation: 1,
        zone: "a".into(),
        caller_address: "127.0.0.1:1".into(),
        processor_percent: 10,
        withdrawn: false,
        serving: true,
        revision: None,
        traffic: None,
        evacuations: None,
        rollouts: None,
        evidence: Vec::new(),
        quarantine: None,
        crashes: crashes
            .map(|(backend, age_ms, name)| CrashReport {
                backend: (*backend).into(),
                age_ms: *age_ms,
                fingerprints: vec![request(name)],
            })
            .collect(),
        completed_requests: Vec::new(),
        machines: Vec::new(),
    }
}

#[test]
fn reports_of_several_nodes_about_a_crash_are_committed_together_after_the_settle_duration() {
    let mut table = CrashTable::default();
    table.record_report(&report("n1", &[("e1", 10, "a")]), 1_000);
    table.record_report(&report("n2", &[("e1", 90, "b")]), 1_100);
    assert!(table.uncommitted(1_150).is_empty());
    let uncommitted = table.uncommitted(1_200);
    assert_eq!(uncommitted.len(), 1);
    let expected: BTreeSet<RequestFingerprint> = [request("a"), request("b")].into();
    assert_eq!(uncommitted[0].fingerprints, expected);
    assert_eq!(uncommitted[0].reported_by.len(), 2);
    table.mark_committed(&uncommitted[0]);
    assert!(table.uncommitted(1_300).is_empty());
    // A repeated report adds nothing to commit; a report with another request does.
    table.record_report(&report("n1", &[("e1", 400, "a")]), 1_390);
    assert!(table.uncommitted(1_400).is_empty());
    table.record_report(&report("n3", &[("e1", 400, "c")]), 1_400);
    assert_eq!(table.uncommitted(1_400).len(), 1);
}

#[test]
fn a_back_end_that_crashes_again_is_another_crash() {
    let mut table = CrashTable::default();
    table.record_report(&report("n1", &[("e1", 0, "a")]), 10_000);
    table.record_report(&report("n1", &[("e1", 0, "a")]), 13_500);
    assert_eq!(table.uncommitted(14_000).len(), 2);
}

#[test]
fn a_snapshot_keeps_suspects_and_verdicts() {
    let mut state = ControlState::default();
    let crashed = |backend: &str, at_ms: u64, names: &[&str]| {
        let record = CrashRecord {
            backend: backend.into(),
            at_ms,
            fingerprints: names.iter().map(|name| request(name)).collect(),
        };
        let command = QuarantineCommand::RecordCrashes {
            crashes: vec![record],
            limits: QuarantineLimits::default(),
        };
        ControlCommand::Quarantine(command).encode()
    };
    state.apply(1, &crashed("e1", 10_000, &["bad", "other"]));
    state.apply(2, &crashed("e2", 20_000, &["bad", "other"]));
    state.apply(3, &crashed("e3", 30_000, &["bad"]));
    let mut restored = ControlState::default();
    assert!(restored.restore(&state.snapshot()));
    assert_eq!(restored.quarantine, state.quarantine);
    restored.apply(4, &crashed("e4", 40_000, &["other"]));
    let refused = &restored.quarantine.list().refused;
    assert!(refused.contains(&request("bad")) && refused.contains(&request("other")));
}
