//! Guards against rollout orders that are lost, duplicated, or rejected without a result code.

use crate::harness::{
    is_completed, CandidateQuality, Cluster, ACKNOWLEDGEMENT_TIMEOUT_MS, SERVICE, SIZE,
};
use rstest::rstest;
use silversail_model::ResultCode;
use silversail_rollout::RolloutState;
use std::collections::BTreeSet;

/// An operator whose answer is lost through a leader crash sends the order again.
#[rstest]
fn a_repeated_order_after_a_leader_crash_starts_no_second_rollout(
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10)] seed: u64,
) {
    let mut cluster = Cluster::start(seed, CandidateQuality::Good);
    let leader = cluster.expect_leader();
    let ordering_node = cluster.other_node();
    let first_answer = cluster.order(ordering_node, SERVICE, "v2");
    cluster.run_for(seed);
    cluster.world.crash(leader);
    let number = cluster.order_until_acknowledged(SERVICE, "v2");
    cluster.world.start(leader);
    cluster.run_for(ACKNOWLEDGEMENT_TIMEOUT_MS);
    assert_eq!(number, 1, "seed {seed}");
    if let Some(Ok(first)) = &*first_answer.borrow() {
        assert_eq!(*first, 1, "seed {seed}");
    }
    for node in 0..SIZE.nodes {
        let rollout = cluster.rollout_at(node, SERVICE).expect("a rollout");
        assert_eq!(rollout.number, 1, "node {node}, seed {seed}");
    }
}

#[rstest]
fn eight_concurrent_orders_are_acknowledged(#[values(1, 2, 3, 4)] seed: u64) {
    let mut cluster = Cluster::start(seed, CandidateQuality::Good);
    let answers: Vec<_> = (0..8)
        .map(|number| cluster.order(number, &format!("s{number}"), "v2"))
        .collect();
    let numbers: BTreeSet<u64> = answers
        .iter()
        .map(|answer| cluster.wait_for_acknowledgement(answer))
        .collect();
    assert_eq!(numbers, BTreeSet::from([1, 2, 3, 4, 5, 6, 7, 8]));
}

/// Of two concurrent orders with different versions only one may be acknowledged.
#[rstest]
fn one_of_two_concurrent_orders_for_different_versions_is_rejected(
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let mut cluster = Cluster::start(seed, CandidateQuality::Good);
    let answers = [
        cluster.order(4, SERVICE, "v2"),
        cluster.order(5, SERVICE, "v3"),
    ];
    cluster.run_for(ACKNOWLEDGEMENT_TIMEOUT_MS);
    let codes: Vec<_> = answers
        .iter()
        .map(|answer| match &*answer.borrow() {
            Some(Ok(_)) => None,
            Some(Err(rejection)) => Some(rejection.code),
            None => panic!("no answer, seed {seed}"),
        })
        .collect();
    let rejection = Some(ResultCode::RolloutUnderway);
    assert!(
        codes == [None, rejection] || codes == [rejection, None],
        "seed {seed}: {codes:?}"
    );
}

/// A restarted node must accept orders once it has a traffic configuration.
#[rstest]
fn an_order_at_a_node_that_has_just_joined_is_acknowledged(#[values(1, 2, 3, 4)] seed: u64) {
    let mut cluster = Cluster::start(seed, CandidateQuality::Good);
    let restarted = cluster.other_node();
    cluster.world.crash(restarted);
    cluster.run_for(3_000);
    cluster.world.start(restarted);
    let ordered_at = cluster.world.now();
    let mut answer = cluster.order(restarted, SERVICE, "v2");
    let mut codes = BTreeSet::new();
    while cluster.world.now() < ordered_at + ACKNOWLEDGEMENT_TIMEOUT_MS {
        cluster.run_until(1_000, |_| answer.borrow().is_some());
        match &*answer.borrow() {
            Some(Ok(_)) => break,
            Some(Err(rejection)) => codes.insert(rejection.code),
            None => continue,
        };
        cluster.run_for(300);
        answer = cluster.order(restarted, SERVICE, "v2");
    }
    assert_eq!(cluster.wait_for_acknowledgement(&answer), 1, "seed {seed}");
    let not_yet = BTreeSet::from([ResultCode::NoTrafficConfiguration]);
    assert!(codes.is_subset(&not_yet), "seed {seed}: {codes:?}");
}

#[rstest]
#[case::unknown_service("chat", "v2", 12_000, ResultCode::UnknownService)]
#[case::empty_service("", "v2", 12_000, ResultCode::InvalidName)]
#[case::empty_version(SERVICE, "", 12_000, ResultCode::InvalidName)]
#[case::long_version(SERVICE, &"v".repeat(129), 12_000, ResultCode::InvalidName)]
#[case::no_time(SERVICE, "v2", 0, ResultCode::InvalidDuration)]
#[case::more_than_a_day(SERVICE, "v2", 86_400_001, ResultCode::InvalidDuration)]
#[case::absurdly_long(SERVICE, "v2", u64::MAX, ResultCode::InvalidDuration)]
fn an_invalid_order_is_rejected_with_a_result_code(
    #[case] service: &str,
    #[case] version: &str,
    #[case] duration_ms: u64,
    #[case] code: ResultCode,
) {
    let mut cluster = Cluster::start(5, CandidateQuality::Good);
    let answer = cluster.order_with_duration(4, service, version, duration_ms);
    cluster.run_for(1_000);
    let rejection = answer
        .borrow()
        .clone()
        .expect("an answer")
        .expect_err("rejection");
    assert_eq!(rejection.code, code);
    assert!((400..500).contains(&code.http_status()));
    assert_eq!(cluster.rollout_at(4, service), None);
}

#[test]
fn an_abort_and_its_repeat_are_acknowledged() {
    let mut cluster = Cluster::start(6, CandidateQuality::Good);
    let answer = cluster.abort(4, SERVICE);
    cluster.run_for(1_000);
    let rejection = answer
        .borrow()
        .clone()
        .expect("an answer")
        .expect_err("rejection");
    assert_eq!(rejection.code, ResultCode::NoRollout);
    let answer = cluster.order(4, SERVICE, "v2");
    cluster.wait_for_acknowledgement(&answer);
    cluster.run_for(1_000);
    for node in [5, 4] {
        let answer = cluster.abort(node, SERVICE);
        assert_eq!(cluster.wait_for_acknowledgement(&answer), 1);
    }
    cluster.run_for(1_000);
    assert!(cluster.is_everywhere(SERVICE, |state| match state {
        RolloutState::RolledBack { verdict } => verdict.reason == "aborted",
        _ => false,
    }));
}

/// Without back ends of another version a rollout must complete and not be rolled back.
#[test]
fn an_order_of_the_only_version_completes_at_once() {
    let mut cluster = Cluster::start(8, CandidateQuality::Bad);
    cluster.is_candidate_alone = true;
    cluster.run_for(1_000);
    let answer = cluster.order(4, SERVICE, "v2");
    cluster.wait_for_acknowledgement(&answer);
    let ended = cluster.run_until(3_000, |cluster| {
        cluster.is_everywhere(SERVICE, is_completed)
    });
    assert!(ended);
    assert_eq!(cluster.candidate_requests.len(), 0);
}

#[test]
fn a_completed_rollout_cannot_be_aborted() {
    let mut cluster = Cluster::start(7, CandidateQuality::Good);
    let answer = cluster.order(4, SERVICE, "v2");
    cluster.wait_for_acknowledgement(&answer);
    let ended = cluster.run_until(30_000, |cluster| {
        cluster.is_everywhere(SERVICE, is_completed)
    });
    assert!(ended);
    let answer = cluster.abort(4, SERVICE);
    cluster.run_for(1_000);
    let rejection = answer
        .borrow()
        .clone()
        .expect("an answer")
        .expect_err("rejection");
    assert_eq!(rejection.code, ResultCode::RolloutEnded);
    assert!(cluster.is_everywhere(SERVICE, is_completed));
}
