//! Leadership transfer while entries are being replicated.

mod common;

use common::Group;
use rstest::rstest;

/// Maximum time from the start of a transfer to the new leader, in milliseconds: some round trips
/// of 20 ms for the takeover request and the election.
const MAX_TRANSFER_DURATION_MS: u64 = 100;

/// Proposes an entry in each step, so that no follower ever has the whole log.
fn propose_and_step(group: &mut Group) {
    let now = group.now;
    if let Some(leader) = group.leader() {
        let leader = group.replicas.get_mut(&leader).expect("the leader exists");
        // A leader that transfers leadership rejects proposals.
        let _ = leader.propose(b"entry".to_vec(), now);
    }
    group.step();
}

#[rstest]
fn a_leader_that_transfers_leadership_under_load_has_a_successor_at_once(
    #[values(3, 4, 5)] voters: u64,
    #[values(0, 1, 2, 7)] steps_before_exit: u64,
) {
    let logs: Vec<(u64, u64)> = (1..=voters).map(|id| (id, 0)).collect();
    let mut group = Group::start(&logs);
    let (leader, _) = group.wait_for_leader(200).expect("a leader");
    for _ in 0..50 {
        propose_and_step(&mut group);
    }
    let replica = group.replicas.get_mut(&leader).expect("the leader exists");
    replica.transfer_leadership();
    let transfer_started_at = group.now;
    // The process exits a little later; messages that it sent before are delivered.
    for _ in 0..30 + steps_before_exit {
        propose_and_step(&mut group);
    }
    group.replicas.remove(&leader);
    let successor = group.leader();
    assert!(successor.is_some_and(|id| id != leader), "{successor:?}");
    let last_term_start = group.term_starts.values().max().copied();
    let transfer_duration = last_term_start
        .unwrap_or_default()
        .saturating_sub(transfer_started_at);
    assert!(
        transfer_duration <= MAX_TRANSFER_DURATION_MS,
        "{transfer_duration} ms"
    );
}
