//! Leaders that die, all that die, disks that are lost or stall.

use crate::harness::{
    is_completed, is_rolled_back, Candidate, Cluster, DURATION_MS, SERVICE, SIZE,
};
use rstest::rstest;
use silversail_peer::GroupId;
use silversail_rollout::Rollout;

/// Time that may be lost where all processes die at once, or a voter leads that has just started,
/// in milliseconds: what passes between two commits of it, and one that was under way.
const LOST_TIME: u64 = 1_500;
/// What leaders that die may add until a rollout has ended, in milliseconds.
const SLACK: u64 = 6_000;

fn begin(seed: u64, candidate: Candidate) -> Cluster {
    let mut cluster = Cluster::start(seed, candidate);
    let answer = cluster.order(4, SERVICE, "v2");
    cluster.acknowledged(&answer);
    cluster
}

/// What a voter's replica holds, time included.
fn replicated(cluster: &Cluster) -> Rollout {
    let leader = cluster.present_leader();
    let node = cluster.world.places[leader].node.as_ref().expect("runs");
    let machine = node.actors.control_state().expect("a voter");
    let machine = machine.borrow();
    let rollout = machine.rollouts.latest_of_service(SERVICE);
    rollout.expect("a rollout").clone()
}

#[rstest]
fn a_good_version_is_complete_by_its_deadline(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut cluster = begin(seed, Candidate::Good);
    let ended = cluster.run_until(DURATION_MS, |one| one.is_everywhere(SERVICE, is_completed));
    assert!(ended, "seed {seed}: {:?}", replicated(&cluster));
}

#[rstest]
fn a_bad_version_is_rolled_back_everywhere(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut cluster = begin(seed, Candidate::Bad);
    let ended = cluster.run_until(DURATION_MS, |one| {
        one.is_everywhere(SERVICE, is_rolled_back)
    });
    assert!(ended, "seed {seed}: {:?}", replicated(&cluster));
}

/// The leader dies the moment it has committed the end, before any node heard of it, or while it
/// is committed.
#[rstest]
fn a_verdict_outlives_its_leader(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut cluster = begin(seed, Candidate::Bad);
    let is_judged = |cluster: &Cluster| match cluster.leader() {
        Some(_) => is_rolled_back(&replicated(cluster).state),
        None => false,
    };
    assert!(cluster.run_until(DURATION_MS, is_judged), "seed {seed}");
    let leader = cluster.present_leader();
    cluster.world.crash(leader);
    let ended = cluster.run_until(SLACK, |one| one.is_everywhere(SERVICE, is_rolled_back));
    assert!(ended, "seed {seed}");
    let ended_at = cluster.world.now();
    cluster.world.start(leader);
    cluster.run_for(5_000);
    assert!(
        cluster.is_everywhere(SERVICE, is_rolled_back),
        "seed {seed}"
    );
    let late = cluster.exposed.iter().filter(|(at, _)| *at > ended_at);
    assert_eq!(late.count(), 0, "seed {seed}");
}

/// Leaders die one after the other; their successors count the time on and end the rollout.
#[rstest]
#[case::good(Candidate::Good)]
#[case::bad(Candidate::Bad)]
fn a_rollout_ends_although_leaders_die(
    #[case] candidate: Candidate,
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
) {
    let mut cluster = begin(seed, candidate);
    let ordered_at = cluster.world.now();
    for _ in 0..2 {
        cluster.run_for(400 + 150 * seed);
        let leader = cluster.present_leader();
        cluster.world.crash(leader);
        let is_led = cluster.run_until(SLACK, |one| one.leader().is_some());
        assert!(is_led, "seed {seed}");
        cluster.run_for(200);
        cluster.world.start(leader);
    }
    let passed = cluster.world.now() - ordered_at;
    cluster.run_for(1_500);
    let rollout = replicated(&cluster);
    if rollout.is_in_progress() {
        let elapsed_ms = rollout.elapsed_ms;
        assert!(
            elapsed_ms + LOST_TIME >= passed,
            "seed {seed}: {elapsed_ms} of {passed} ms"
        );
    }
    let wanted = match candidate {
        Candidate::Good => is_completed,
        Candidate::Bad | Candidate::BadUnderLoad => is_rolled_back,
    };
    let ended = cluster.run_until(DURATION_MS + SLACK, |one| {
        one.is_everywhere(SERVICE, wanted)
    });
    assert!(ended, "seed {seed}: {:?}", replicated(&cluster));
}

/// All machines lose their power in the middle: what was committed comes back from the disks,
/// with the time since the order, and the rollout ends.
#[rstest]
fn a_rollout_goes_on_after_all_processes_died(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut cluster = begin(seed, Candidate::Good);
    cluster.run_for(2_000 + 300 * seed);
    let before = replicated(&cluster);
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
            let held = cluster.held(node, SERVICE);
            let is_lost = cluster.world.places[node]
                .node
                .as_ref()
                .is_some_and(|one| one.state.borrow().rollouts.is_some() && held.is_none());
            assert!(!is_lost, "node {node}, seed {seed}");
        }
    }
    let after = replicated(&cluster);
    assert_eq!((after.number, &after.order), (before.number, &before.order));
    let since = cluster.world.now() - passed;
    let least = (before.elapsed_ms + since).saturating_sub(SLACK);
    assert!(
        after.elapsed_ms >= least.min(before.elapsed_ms),
        "seed {seed}"
    );
    assert!(
        after.elapsed_ms + LOST_TIME >= before.elapsed_ms,
        "seed {seed}"
    );
    let ended = cluster.run_until(DURATION_MS + SLACK, |one| {
        one.is_everywhere(SERVICE, is_completed)
    });
    assert!(ended, "seed {seed}: {:?}", replicated(&cluster));
}

/// One disk of three is lost at a time, and the group brings it up again.
#[rstest]
fn a_rollout_outlives_lost_disks(#[values(1, 2, 3, 4)] seed: u64) {
    let mut cluster = begin(seed, Candidate::Bad);
    let ended = cluster.run_until(DURATION_MS, |one| {
        one.is_everywhere(SERVICE, is_rolled_back)
    });
    assert!(ended, "seed {seed}");
    let state = replicated(&cluster).state;
    for lost in 0..SIZE.voters {
        cluster.world.crash(lost);
        cluster.world.wipe(lost);
        cluster.run_for(1_000);
        cluster.world.start(lost);
        cluster.run_for(8_000);
        assert_eq!(replicated(&cluster).state, state, "seed {seed}");
    }
    assert!(
        cluster.is_everywhere(SERVICE, is_rolled_back),
        "seed {seed}"
    );
}

/// The leader's disk takes seconds for a sync: the others commit, or another leads.
#[rstest]
fn a_stalled_disk_of_the_leader_keeps_no_bad_version(#[values(1, 2, 3, 4)] seed: u64) {
    let mut cluster = Cluster::start(seed, Candidate::Bad);
    let leader = cluster.present_leader();
    let disk = cluster.world.places[leader].parts.disks[&GroupId::Control].clone();
    disk.borrow_mut().sync_time = 8_000;
    cluster.order_until_acknowledged(SERVICE, "v2");
    let ended = cluster.run_until(DURATION_MS, |one| {
        one.is_everywhere(SERVICE, is_rolled_back)
    });
    assert!(ended, "seed {seed}: {:?}", replicated(&cluster));
}
