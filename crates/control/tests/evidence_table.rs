//! Evidence summed over processes: lost, repeated and late messages, restarts, nodes that go.

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
    rollouts.apply(RolloutCommand::Begin { order, seen: 0 });
    rollouts
}

fn evidence(step: u32, bad: u64, in_flight: u64) -> Evidence {
    let mut seen = RouteEvidence::default();
    seen.candidate.sent = bad;
    seen.candidate.failed = bad;
    Evidence {
        rollout: 1,
        step,
        baseline_in_flight: in_flight,
        routes: BTreeMap::from([("r".to_owned(), seen)]),
    }
}

fn report(node: &str, incarnation: u64, evidence: Evidence) -> NodeReport {
    NodeReport {
        node: NodeName::from(node),
        incarnation,
        zone: "z".to_owned(),
        caller_address: "127.0.0.1:1".to_owned(),
        processor_percent: 100,
        stopping: false,
        serving: true,
        revision: None,
        traffic: None,
        evacuations: None,
        rollouts: None,
        evidence: vec![evidence],
        quarantine: None,
        crashes: Vec::new(),
        ended_well: Vec::new(),
        machines: Vec::new(),
    }
}

/// A table in which nodes `a` and `b` are live as processes 1.
fn table(rollouts: &Rollouts) -> EvidenceTable {
    let mut table = EvidenceTable::default();
    table.report(&report("a", 1, evidence(1, 3, 4)), rollouts);
    table.report(&report("b", 1, evidence(1, 5, 6)), rollouts);
    follow(&mut table, &[("a", 1), ("b", 1)], rollouts);
    table
}

fn follow(table: &mut EvidenceTable, live: &[(&str, u64)], rollouts: &Rollouts) {
    let live: Vec<(NodeName, u64)> = live
        .iter()
        .map(|(node, incarnation)| (NodeName::from(*node), *incarnation))
        .collect();
    let live = live.iter().map(|(node, incarnation)| (node, *incarnation));
    table.follow(live, rollouts);
}

fn bad(sum: &Evidence) -> u64 {
    sum.routes.get("r").map_or(0, |seen| seen.candidate.failed)
}

#[test]
fn processes_are_summed_and_repeated_or_late_messages_change_nothing() {
    let rollouts = rollouts();
    let mut table = table(&rollouts);
    for told in [evidence(1, 5, 6), evidence(1, 2, 9), evidence(0, 0, 0)] {
        table.report(&report("b", 1, told), &rollouts);
    }
    let sum = table.sum(1);
    assert_eq!((bad(&sum), sum.baseline_in_flight, sum.step), (8, 10, 1));
}

#[test]
fn counts_of_a_former_process_stay_and_its_work_does_not() {
    let rollouts = rollouts();
    let mut table = table(&rollouts);
    table.report(&report("b", 2, evidence(2, 1, 0)), &rollouts);
    // Held back on its way.
    table.report(&report("b", 1, evidence(1, 50, 6)), &rollouts);
    follow(&mut table, &[("a", 1), ("b", 2)], &rollouts);
    let sum = table.sum(1);
    assert_eq!((bad(&sum), sum.baseline_in_flight, sum.step), (9, 4, 1));
}

#[test]
fn counts_of_a_node_that_is_gone_stay() {
    let rollouts = rollouts();
    let mut table = table(&rollouts);
    table.report(&report("a", 1, evidence(3, 3, 0)), &rollouts);
    follow(&mut table, &[("a", 1)], &rollouts);
    let sum = table.sum(1);
    assert_eq!((bad(&sum), sum.baseline_in_flight, sum.step), (8, 0, 3));
    follow(&mut table, &[], &rollouts);
    assert_eq!((bad(&table.sum(1)), table.sum(1).step), (8, 0));
}

#[test]
fn a_directive_is_in_force_once_each_live_process_obeys_it() {
    let rollouts = rollouts();
    let mut table = table(&rollouts);
    assert!(table.is_in_force(1, 1));
    table.report(&report("a", 1, evidence(2, 3, 4)), &rollouts);
    assert!(!table.is_in_force(1, 2));
    // A node that has just come and told nothing.
    table.report(&report("b", 1, evidence(2, 5, 6)), &rollouts);
    assert!(table.is_in_force(1, 2));
    follow(&mut table, &[("a", 1), ("b", 1), ("c", 1)], &rollouts);
    assert!(!table.is_in_force(1, 2));
    // A process that has started again and told nothing.
    follow(&mut table, &[("a", 1), ("b", 2)], &rollouts);
    assert!(!table.is_in_force(1, 2));
    // A leader that has heard of nobody.
    follow(&mut table, &[], &rollouts);
    assert!(!table.is_in_force(1, 0));
}

#[test]
fn what_was_told_of_an_ended_rollout_is_dropped() {
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
    follow(&mut table, &[("a", 1), ("b", 1)], &rollouts);
    assert!(table.sum(1).routes.is_empty());
    table.report(&report("a", 1, evidence(1, 9, 9)), &rollouts);
    assert!(table.sum(1).routes.is_empty());
}
