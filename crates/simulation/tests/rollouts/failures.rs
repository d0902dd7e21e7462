//! Guards against rollouts that are lost or do not end after leader crashes, full restarts, and lost
//! or stalled disks.

use crate::harness::{
    is_completed, is_rolled_back, CandidateQuality, Cluster, DURATION_MS, SERVICE, SIZE,
};
use rstest::rstest;
use silversail_peer::GroupId;
use silversail_rollout::Rollout;

/// Elapsed rollout time that a full restart or a newly started leader may lose, in milliseconds.
/// It covers an interval between two commits and a commit in progress.
const MAX_LOST_TIME_MS: u64 = 1_500;
/// Time that leader crashes may add until a rollout has ended, in milliseconds.
const RECOVERY_TIME_MS: u64 = 6_000;

fn start_rollout(seed: u64, candidate: CandidateQuality) -> Cluster {
    let mut cluster = Cluster::start(seed, candidate);
    let answer = cluster.order(4, SERVICE, "v2");
    cluster.wait_for_acknowledgement(&answer);
    cluster
}

/// The rollout in the replicated state of the leader, including its elapsed time.
fn replicated_rollout(cluster: &Cluster) -> Rollout {
    let leader = cluster.expect_leader();
    let node = cluster.world.nodes[leader].process.as_ref().expect("runs");
    let state_machine = node.actors.control_state().expect("a voter");
    let state_machine = state_machine.borrow();
    let rollout = state_machine.rollouts.latest_of_service(SERVICE);
    rollout.expect("a rollout").clone()
}

#[rstest]
fn a_good_version_is_completed_by_its_deadline(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut cluster = start_rollout(seed, CandidateQuality::Good);
    let ended = cluster.run_until(DURATION_MS, |cluster| {
        cluster.is_everywhere(SERVICE, is_completed)
    });
    assert!(ended, "seed {seed}: {:?}", replicated_rollout(&cluster));
}

#[rstest]
fn a_bad_version_is_rolled_back_everywhere(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut cluster = start_rollout(seed, CandidateQuality::Bad);
    let ended = cluster.run_until(DURATION_MS, |cluster| {
        cluster.is_everywhere(SERVICE, is_rolled_back)
    });
    assert!(ended, "seed {seed}: {:?}", replicated_rollout(&cluster));
}

/// The leader crashes around the commit of the rollback, before other nodes have applied it.
#[rstest]
fn a_verdict_survives_a_leader_crash(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut cluster = start_rollout(seed, CandidateQuality::Bad);
    let is_rollback_committed = |cluster: &Cluster| match cluster.leader() {
        Some(_) => is_rolled_back(&replicated_rollout(cluster).state),
        None => false,
    };
    assert!(
        cluster.run_until(DURATION_MS, is_rollback_committed),
        "seed {seed}"
    );
    let leader = cluster.expect_leader();
    cluster.world.crash(leader);
    let ended = cluster.run_until(RECOVERY_TIME_MS, |cluster| {
        cluster.is_everywhere(SERVICE, is_rolled_back)
    });
    assert!(ended, "seed {seed}");
    let ended_at = cluster.world.now();
    cluster.world.start(leader);
    cluster.run_for(5_000);
    assert!(
        cluster.is_everywhere(SERVICE, is_rolled_back),
        "seed {seed}"
    );
    let late = cluster
        .candidate_requests
        .iter()
        .filter(|(at, _)| *at > ended_at);
    assert_eq!(late.count(), 0, "seed {seed}");
}

/// New leaders must continue the elapsed time of a rollout and end it.
#[rstest]
#[case::good(CandidateQuality::Good)]
#[case::bad(CandidateQuality::Bad)]
fn a_rollout_ends_despite_leader_crashes(
    #[case] candidate: CandidateQuality,
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
) {
    let mut cluster = start_rollout(seed, candidate);
    let ordered_at = cluster.world.now();
    for _ in 0..2 {
        cluster.run_for(400 + 150 * seed);
        let leader = cluster.expect_leader();
        cluster.world.crash(leader);
        let is_led = cluster.run_until(RECOVERY_TIME_MS, |cluster| cluster.leader().is_some());
        assert!(is_led, "seed {seed}");
        cluster.run_for(200);
        cluster.world.start(leader);
    }
    let passed = cluster.world.now() - ordered_at;
    cluster.run_for(1_500);
    let rollout = replicated_rollout(&cluster);
    if rollout.is_in_progress() {
        let elapsed_ms = rollout.elapsed_ms;
        assert!(
            elapsed_ms + MAX_LOST_TIME_MS >= passed,
            "seed {seed}: {elapsed_ms} of {passed} ms"
        );
    }
    let is_expected_end = match candidate {
        CandidateQuality::Good => is_completed,
        CandidateQuality::Bad | CandidateQuality::BadUnderLoad => is_rolled_back,
    };
    let ended = cluster.run_until(DURATION_MS + RECOVERY_TIME_MS, |cluster| {
        cluster.is_everywhere(SERVICE, is_expected_end)
    });
    assert!(ended, "seed {seed}: {:?}", replicated_rollout(&cluster));
}

/// Committed rollouts must be restored from disk with their elapsed time after all processes
/// crashed.
#[rstest]
fn a_rollout_continues_after_a_full_restart(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut cluster = start_rollout(seed, CandidateQuality::Good);
    cluster.run_for(2_000 + 300 * seed);
    let before = replicated_rollout(&cluster);
    let passed = cluster.world.now();
    for node in 0..SIZE.nodes {
        cluster.world.crash(node);
    }
    for node in 0..SIZE.nodes {
        cluster.world.start(node);
    }
    for _ in 0..100 {
        cluster.run_for(50);
        for node in 0..SIZE.nodes {
            let rollout = cluster.rollout_at(node, SERVICE);
            let is_lost = cluster.world.nodes[node]
                .process
                .as_ref()
                .is_some_and(|node| node.state.borrow().rollouts.is_some() && rollout.is_none());
            assert!(!is_lost, "node {node}, seed {seed}");
        }
    }
    let after = replicated_rollout(&cluster);
    assert_eq!((after.number, &after.order), (before.number, &before.order));
    let since = cluster.world.now() - passed;
    let least = (before.elapsed_ms + since).saturating_sub(RECOVERY_TIME_MS);
    assert!(
        after.elapsed_ms >= least.min(before.elapsed_ms),
        "seed {seed}"
    );
    assert!(
        after.elapsed_ms + MAX_LOST_TIME_MS >= before.elapsed_ms,
        "seed {seed}"
    );
    let ended = cluster.run_until(DURATION_MS + RECOVERY_TIME_MS, |cluster| {
        cluster.is_everywhere(SERVICE, is_completed)
    });
    assert!(ended, "seed {seed}: {:?}", replicated_rollout(&cluster));
}

/// The state must be restored to each voter whose disk is wiped.
#[rstest]
fn a_rollout_survives_wiped_disks(#[values(1, 2, 3, 4)] seed: u64) {
    let mut cluster = start_rollout(seed, CandidateQuality::Bad);
    let ended = cluster.run_until(DURATION_MS, |cluster| {
        cluster.is_everywhere(SERVICE, is_rolled_back)
    });
    assert!(ended, "seed {seed}");
    let state = replicated_rollout(&cluster).state;
    for lost in 0..SIZE.voters {
        cluster.world.crash(lost);
        cluster.world.wipe(lost);
        cluster.run_for(1_000);
        cluster.world.start(lost);
        cluster.run_for(8_000);
        assert_eq!(replicated_rollout(&cluster).state, state, "seed {seed}");
    }
    assert!(
        cluster.is_everywhere(SERVICE, is_rolled_back),
        "seed {seed}"
    );
}

/// A leader whose disk syncs take seconds must not delay the rollback.
#[rstest]
fn a_stalled_disk_of_the_leader_does_not_prevent_a_rollback(#[values(1, 2, 3, 4)] seed: u64) {
    let mut cluster = Cluster::start(seed, CandidateQuality::Bad);
    let leader = cluster.expect_leader();
    let disk = cluster.world.nodes[leader].parts.disks[&GroupId::Control].clone();
    disk.borrow_mut().sync_duration_ms = 8_000;
    cluster.order_until_acknowledged(SERVICE, "v2");
    let ended = cluster.run_until(DURATION_MS, |cluster| {
        cluster.is_everywhere(SERVICE, is_rolled_back)
    });
    assert!(ended, "seed {seed}: {:?}", replicated_rollout(&cluster));
}
