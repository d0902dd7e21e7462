//! Guards against nodes that send to a candidate after they were isolated or frozen.

use crate::harness::{is_rolled_back, CandidateQuality, Cluster, SERVICE, SIZE};
use rstest::rstest;
use silversail_daemon::session::ROLLOUT_PERMIT;

/// Longest time from the commit until all connected nodes have applied it, in milliseconds. It
/// covers a heartbeat after a lost push.
const PROPAGATION_TIMEOUT_MS: u64 = 1_500;

/// A node of the minority partition must return to the baseline.
#[rstest]
fn an_isolated_node_loses_its_permit(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut cluster = Cluster::start(seed, CandidateQuality::Good);
    let answer = cluster.order(4, SERVICE, "v2");
    cluster.wait_for_acknowledgement(&answer);
    cluster.run_for(2_000);
    // A voter that does not lead, or a node that does not vote.
    let leader = cluster.expect_leader();
    let isolated = match seed.is_multiple_of(2) {
        true => cluster.other_node(),
        false => (leader + 1) % SIZE.voters,
    };
    assert!(cluster.is_permitted(isolated), "seed {seed}");
    cluster.set_isolated(isolated, true);
    cluster.run_for(ROLLOUT_PERMIT + 1);
    let expired_at = cluster.world.now();
    cluster.run_for(5_000);
    assert!(!cluster.is_permitted(isolated), "seed {seed}");
    assert_eq!(
        candidate_requests_since(&cluster, isolated, expired_at),
        0,
        "seed {seed}"
    );
    cluster.set_isolated(isolated, false);
    let has_permit_again = cluster.run_until(3_000, |cluster| cluster.is_permitted(isolated));
    assert!(has_permit_again, "seed {seed}");
}

/// An isolated leader must stop sending to the candidate while the majority elects another.
#[rstest]
fn an_isolated_leader_loses_its_permit(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut cluster = Cluster::start(seed, CandidateQuality::Bad);
    let answer = cluster.order(4, SERVICE, "v2");
    cluster.wait_for_acknowledgement(&answer);
    let isolated = cluster.expect_leader();
    let has_sent = cluster.run_until(5_000, |cluster| has_sent_to_candidate(cluster, isolated));
    assert!(has_sent, "seed {seed}");
    cluster.set_isolated(isolated, true);
    cluster.run_for(ROLLOUT_PERMIT + 1);
    let expired_at = cluster.world.now();
    let others: Vec<usize> = (0..SIZE.nodes).filter(|node| *node != isolated).collect();
    let ended = cluster.run_until(20_000, |cluster| {
        let mut rollouts = others.iter().map(|node| cluster.rollout_at(*node, SERVICE));
        rollouts.all(|rollout| rollout.is_some_and(|rollout| is_rolled_back(&rollout.state)))
    });
    assert!(ended, "seed {seed}");
    cluster.run_for(5_000);
    assert_eq!(
        candidate_requests_since(&cluster, isolated, expired_at),
        0,
        "seed {seed}"
    );
}

/// A node that was frozen during the rollback and is isolated when it resumes must not follow its
/// old directive.
#[rstest]
fn a_node_frozen_during_a_rollback_sends_nothing_after_it(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut cluster = Cluster::start(seed, CandidateQuality::Bad);
    let answer = cluster.order(4, SERVICE, "v2");
    cluster.wait_for_acknowledgement(&answer);
    let frozen = cluster.other_node();
    let has_sent = cluster.run_until(5_000, |cluster| has_sent_to_candidate(cluster, frozen));
    assert!(has_sent, "seed {seed}");
    cluster.world.freeze(frozen, 15_000);
    cluster.set_isolated(frozen, true);
    let ended = cluster.run_until(14_000, |cluster| {
        cluster.is_everywhere(SERVICE, is_rolled_back)
    });
    assert!(ended, "seed {seed}");
    let ended_at = cluster.world.now();
    cluster.run_for(18_000);
    let rollout = cluster.rollout_at(frozen, SERVICE).expect("a rollout");
    assert!(rollout.is_in_progress(), "seed {seed}");
    assert_eq!(
        candidate_requests_since(&cluster, frozen, ended_at + 1),
        0,
        "seed {seed}"
    );
    cluster.set_isolated(frozen, false);
    cluster.run_for(5_000);
    assert_eq!(
        candidate_requests_since(&cluster, frozen, ended_at + 1),
        0,
        "seed {seed}"
    );
    assert!(
        cluster.is_everywhere(SERVICE, is_rolled_back),
        "seed {seed}"
    );
}

fn has_sent_to_candidate(cluster: &Cluster, node: usize) -> bool {
    cluster.candidate_requests.iter().any(|(_, by)| *by == node)
}

/// Requests that a node sent to the candidate from a time on.
fn candidate_requests_since(cluster: &Cluster, node: usize, from: u64) -> usize {
    let requests = cluster.candidate_requests.iter();
    requests
        .filter(|(at, by)| *by == node && *at >= from)
        .count()
}

/// If pushes are lost, a heartbeat or the expiry of the permit must stop the other nodes.
#[rstest]
fn after_a_rollback_no_node_sends_longer_than_its_permit(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut cluster = Cluster::start(seed, CandidateQuality::Bad);
    let answer = cluster.order(4, SERVICE, "v2");
    cluster.wait_for_acknowledgement(&answer);
    cluster.world.network.borrow_mut().faults.loss_rate = 0.1;
    let ended = cluster.run_until(30_000, |cluster| {
        (0..SIZE.voters).any(|node| {
            let rollout = cluster.rollout_at(node, SERVICE);
            rollout.is_some_and(|rollout| is_rolled_back(&rollout.state))
        })
    });
    assert!(ended, "seed {seed}");
    let ended_at = cluster.world.now();
    cluster.run_for(10_000);
    let late = cluster
        .candidate_requests
        .iter()
        .map(|(at, _)| *at)
        .max()
        .unwrap_or(0);
    assert!(
        late <= ended_at + ROLLOUT_PERMIT.max(PROPAGATION_TIMEOUT_MS),
        "seed {seed}"
    );
}
