//! A leader that is stopped hands over while entries are under way.

mod common;

use common::Group;
use rstest::rstest;

/// Longest time without a leader after a hand-over, in milliseconds: a request to take over and
/// an election, of ten each way here.
const WITHOUT_LEADER: u64 = 100;

/// One entry at each step, so that no follower ever holds the whole log.
fn step_with_entry(group: &mut Group) {
    let now = group.now;
    if let Some(leader) = group.leader() {
        let leader = group.replicas.get_mut(&leader).expect("it is there");
        // One that hands over takes none.
        let _ = leader.propose(b"entry".to_vec(), now);
    }
    group.step();
}

#[rstest]
fn a_leader_that_is_stopped_under_load_has_a_successor_at_once(
    #[values(3, 4, 5)] voters: u64,
    #[values(0, 1, 2, 7)] steps_after_exit: u64,
) {
    let logs: Vec<(u64, u64)> = (1..=voters).map(|id| (id, 0)).collect();
    let mut group = Group::start(&logs);
    let (leader, _) = group.wait_for_leader(200).expect("a leader");
    for _ in 0..50 {
        step_with_entry(&mut group);
    }
    let replica = group.replicas.get_mut(&leader).expect("it is there");
    replica.transfer_leadership();
    let handed_over_at = group.now;
    // The process exits a little later; what it sent until then arrives.
    for _ in 0..30 + steps_after_exit {
        step_with_entry(&mut group);
    }
    group.replicas.remove(&leader);
    let successor = group.leader();
    assert!(successor.is_some_and(|one| one != leader), "{successor:?}");
    let took = group.terms_begun_at.values().max().copied();
    let took = took.unwrap_or_default().saturating_sub(handed_over_at);
    assert!(took <= WITHOUT_LEADER, "{took} ms");
}
