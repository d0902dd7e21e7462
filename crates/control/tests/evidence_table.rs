//! Aggregation of evidence over processes: repeated and delayed reports, restarts, removed nodes.

use silversail_control::{EvidenceTable, NodeReport, RolloutCommand, Rollouts};
use silversail_model::NodeName;
use silversail_rollout::{Evidence, RolloutOrder, RolloutState, RouteEvidence, Verdict};
use std::collections::BTreeMap;

fn rollouts() -> Rollouts {
    let mut rollouts = Rollouts::default();
    let order = RolloutOrder {
        service: "chat".to_owned(),
        target_version: "v2".to_owned(),
        duration_ms: 12_000,
    };
    rollouts.apply(RolloutCommand::Begin {
        order,
        known_number: 0,
    });
    rollouts
}

fn evidence(step: u32, bad: u64, in_flight: u64) -> Evidence {
    let mut route_evidence = RouteEvidence::default();
    route_evidence.candidate.sent = bad;
    route_evidence.candidate.failed = bad;
    Evidence {
        rollout: 1,
        step,
        baseline_in_flight: in_flight,
        routes: BTreeMap::from([("r".to_owned(), route_evidence)]),
    }
}

fn report(node: &str, incarnation: u64, evidence: Evidence) -> NodeReport {
    NodeReport {
        node: NodeName::from(node),
        incarnation,
        zone: "z".to_owned(),
        caller_address: "127.0.0.1:1".to_owned(),
        processor_percent: 100,
        withdrawn: false,
        serving: true,
        revision: None,
        traffic: None,
        evacuations: None,
        rollouts: None,
        evidence: vec![evidence],
        quarantine: None,
        crashes: Vec::new(),
        completed_requests: Vec::new(),
        machines: Vec::new(),
    }
}

/// Returns a table with evidence of nodes `a` and `b`, each live with incarnation 1.
fn table(rollouts: &Rollouts) -> EvidenceTable {
    let mut table = EvidenceTable::default();
    table.record_report(&report("a", 1, evidence(1, 3, 4)), rollouts);
    table.record_report(&report("b", 1, evidence(1, 5, 6)), rollouts);
    update_live_processes(&mut table, &[("a", 1), ("b", 1)], rollouts);
    table
}

fn update_live_processes(table: &mut EvidenceTable, live: &[(&str, u64)], rollouts: &Rollouts) {
    let live: Vec<(NodeName, u64)> = live
        .iter()
        .map(|(node, incarnation)| (NodeName::from(*node), *incarnation))
        .collect();
    let live = live.iter().map(|(node, incarnation)| (node, *incarnation));
    table.update_live_processes(live, rollouts);
}

fn bad(sum: &Evidence) -> u64 {
    sum.routes
        .get("r")
        .map_or(0, |route_evidence| route_evidence.candidate.failed)
}

#[test]
fn processes_are_summed_and_repeated_or_delayed_evidence_is_ignored() {
    let rollouts = rollouts();
    let mut table = table(&rollouts);
    for repeated in [evidence(1, 5, 6), evidence(1, 2, 9), evidence(0, 0, 0)] {
        table.record_report(&report("b", 1, repeated), &rollouts);
    }
    let sum = table.sum(1);
    assert_eq!((bad(&sum), sum.baseline_in_flight, sum.step), (8, 10, 1));
}

#[test]
fn counts_of_a_former_process_remain_without_its_in_flight_requests() {
    let rollouts = rollouts();
    let mut table = table(&rollouts);
    table.record_report(&report("b", 2, evidence(2, 1, 0)), &rollouts);
    // A delayed report of the former process.
    table.record_report(&report("b", 1, evidence(1, 50, 6)), &rollouts);
    update_live_processes(&mut table, &[("a", 1), ("b", 2)], &rollouts);
    let sum = table.sum(1);
    assert_eq!((bad(&sum), sum.baseline_in_flight, sum.step), (9, 4, 1));
}

#[test]
fn counts_of_a_removed_node_remain() {
    let rollouts = rollouts();
    let mut table = table(&rollouts);
    table.record_report(&report("a", 1, evidence(3, 3, 0)), &rollouts);
    update_live_processes(&mut table, &[("a", 1)], &rollouts);
    let sum = table.sum(1);
    assert_eq!((bad(&sum), sum.baseline_in_flight, sum.step), (8, 0, 3));
    update_live_processes(&mut table, &[], &rollouts);
    assert_eq!((bad(&table.sum(1)), table.sum(1).step), (8, 0));
}

#[test]
fn a_directive_is_in_force_once_each_live_process_follows_it() {
    let rollouts = rollouts();
    let mut table = table(&rollouts);
    assert!(table.is_in_force(1, 1));
    table.record_report(&report("a", 1, evidence(2, 3, 4)), &rollouts);
    assert!(!table.is_in_force(1, 2));
    table.record_report(&report("b", 1, evidence(2, 5, 6)), &rollouts);
    assert!(table.is_in_force(1, 2));
    // A new node that has sent no evidence.
    update_live_processes(&mut table, &[("a", 1), ("b", 1), ("c", 1)], &rollouts);
    assert!(!table.is_in_force(1, 2));
    // A restarted process that has sent no evidence.
    update_live_processes(&mut table, &[("a", 1), ("b", 2)], &rollouts);
    assert!(!table.is_in_force(1, 2));
    // A leader without live processes.
    update_live_processes(&mut table, &[], &rollouts);
    assert!(!table.is_in_force(1, 0));
}

#[test]
fn evidence_of_an_ended_rollout_is_removed() {
    let mut rollouts = rollouts();
    let mut table = table(&rollouts);
    let verdict = Verdict {
        reason: "failures".to_owned(),
        route: String::new(),
        candidate: (8, 8),
        baseline: (0, 0),
        elapsed_ms: 1,
    };
    rollouts.apply(RolloutCommand::End {
        number: 1,
        state: RolloutState::RolledBack { verdict },
        elapsed_ms: 1,
    });
    update_live_processes(&mut table, &[("a", 1), ("b", 1)], &rollouts);
    assert!(table.sum(1).routes.is_empty());
    table.record_report(&report("a", 1, evidence(1, 9, 9)), &rollouts);
    assert!(table.sum(1).routes.is_empty());
}
