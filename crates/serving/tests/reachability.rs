//! A node that reaches no back end, as opposed to back ends that fail.

mod common;

use common::dispatcher;
use silversail_serving::reachability::{probe_targets, ReachabilityChange, ReachabilityMonitor};
use std::collections::BTreeSet;

const BACKENDS: [&str; 4] = ["e1", "e2", "e3", "e4"];

fn ids(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

/// Starts the due round of probes of `names`, and returns the change after their results.
fn probe(
    monitor: &mut ReachabilityMonitor,
    names: &[&str],
    is_accepted: impl Fn(&str) -> bool,
    now: u64,
) -> Option<ReachabilityChange> {
    assert!(monitor.due_probes(now).is_some(), "a round is due at {now}");
    monitor.probes_started(ids(names), now);
    let results = names
        .iter()
        .filter_map(|name| monitor.probe_finished(name, is_accepted(name), now));
    let changes: Vec<ReachabilityChange> = results.collect();
    assert!(changes.len() <= 1);
    changes.first().copied()
}

fn cut_off() -> ReachabilityMonitor {
    let mut monitor = ReachabilityMonitor::default();
    monitor.record_failure("e1", 1_000);
    monitor.record_failure("e2", 1_300);
    let change = probe(&mut monitor, &BACKENDS, |_| false, 1_600);
    assert_eq!(change, Some(ReachabilityChange::CutOff));
    assert!(monitor.is_cut_off());
    monitor
}

#[test]
fn a_node_that_no_back_end_accepts_is_cut_off_within_a_second() {
    cut_off();
}

#[test]
fn a_single_failed_back_end_starts_no_check() {
    let mut monitor = ReachabilityMonitor::default();
    for now in [0, 500, 1_000, 1_500] {
        monitor.record_failure("e1", now);
        assert_eq!(monitor.due_probes(now), None);
    }
}

#[test]
fn failures_far_apart_or_followed_by_an_answer_start_no_check() {
    let mut monitor = ReachabilityMonitor::default();
    monitor.record_failure("e1", 0);
    monitor.record_failure("e2", 2_500);
    assert_eq!(monitor.due_probes(2_500), None);
    monitor.record_answer("e2");
    monitor.record_failure("e3", 2_600);
    assert_eq!(monitor.due_probes(2_600), None);
}

#[test]
fn one_reachable_back_end_of_another_service_shows_that_the_others_failed() {
    let mut monitor = ReachabilityMonitor::default();
    monitor.record_failure("e1", 0);
    monitor.record_failure("e2", 0);
    let change = probe(&mut monitor, &BACKENDS, |name| name == "e4", 300);
    assert_eq!(change, None);
    assert!(!monitor.is_cut_off());
    // The result counts for a while, so that each failure does not start another check.
    monitor.record_failure("e1", 400);
    monitor.record_failure("e2", 400);
    assert_eq!(monitor.due_probes(400), None);
    monitor.record_failure("e1", 1_400);
    assert!(monitor.due_probes(1_400).is_some());
}

#[test]
fn a_check_without_back_ends_to_probe_decides_nothing() {
    let mut monitor = ReachabilityMonitor::default();
    monitor.record_failure("e1", 0);
    monitor.record_failure("e2", 0);
    monitor.probes_started([], 0);
    assert!(!monitor.is_cut_off());
    assert!(!monitor.is_checking());
}

#[test]
fn a_node_returns_after_two_successful_rounds_only() {
    let mut monitor = cut_off();
    let all = |_: &str| true;
    let none = |_: &str| false;
    let names = &BACKENDS[..3];
    assert_eq!(monitor.due_probes(1_700), None);
    assert_eq!(probe(&mut monitor, names, all, 2_100), None);
    assert_eq!(probe(&mut monitor, names, none, 2_600), None);
    assert_eq!(probe(&mut monitor, names, all, 3_100), None);
    let change = probe(&mut monitor, names, all, 3_600);
    assert_eq!(change, Some(ReachabilityChange::Returned));
    assert_eq!(monitor.due_probes(9_000), None);
}

/// One of three back ends may have crashed while the node was cut off.
#[test]
fn a_back_end_that_stays_down_does_not_keep_a_node_cut_off() {
    let mut monitor = cut_off();
    let is_up = |name: &str| name != "e3";
    let names = &BACKENDS[1..];
    assert_eq!(probe(&mut monitor, names, is_up, 2_100), None);
    let change = probe(&mut monitor, names, is_up, 2_600);
    assert_eq!(change, Some(ReachabilityChange::Returned));
}

#[test]
fn a_late_result_of_an_earlier_round_is_ignored() {
    let mut monitor = cut_off();
    assert_eq!(monitor.probe_finished("e1", true, 1_700), None);
    assert!(monitor.is_cut_off());
}

#[test]
fn probes_go_to_back_ends_of_all_services() {
    let dispatcher = dispatcher();
    let table = &dispatcher.instances;
    for seed in 0..10 {
        let targets = probe_targets(table.accepting_new_work(), 3, seed);
        let services = targets.iter().map(|target| target.listed.service.as_str());
        assert_eq!(services.collect::<Vec<_>>(), ["encode", "gate", "pool"]);
        let all = probe_targets(table.accepting_new_work(), 9, seed);
        let names = all.iter().map(|target| target.listed.id.as_str());
        let names: BTreeSet<&str> = names.collect();
        assert_eq!((names.len(), all.len()), (7, 7));
    }
}
