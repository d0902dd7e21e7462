//! Elections after replica restarts.

mod common;

use common::{stored, Group};
use rstest::rstest;
use silversail_consensus::{ConsensusConfig, Message, MessageBody, ReplicaId};

#[rstest]
#[case::one(&[(1, 0)], 1)]
#[case::three(&[(1, 0), (2, 0), (3, 0)], 3)]
#[case::four(&[(1, 0), (2, 0), (3, 0), (4, 0)], 4)]
#[case::the_longest_log_of_three(&[(1, 2), (2, 5), (3, 0)], 2)]
#[case::the_longest_log_of_eight(
    &[(1, 0), (2, 9), (3, 0), (4, 9), (5, 0), (6, 0), (7, 0), (8, 3)], 4
)]
fn replicas_that_all_restart_elect_a_leader_at_once(
    #[case] logs: &[(u64, u64)],
    #[case] expected: u64,
) {
    let mut group = Group::start(logs);
    let (leader, at) = group.wait_for_leader(200).expect("a leader");
    assert_eq!(leader, expected);
    assert!(at <= 100, "after {at} ms");
    // There was no other candidate, so votes cannot be split.
    assert!(group
        .candidates_seen
        .iter()
        .all(|candidate| *candidate == expected));
}

#[test]
fn a_startup_election_waits_for_a_voter_that_starts_late() {
    let mut group = Group::start(&[(1, 0), (2, 0), (3, 0)]);
    let late_replica = group.replicas.remove(&3);
    assert_eq!(group.wait_for_leader(400), None);
    assert!(late_replica.is_some());
    group.restart(3, stored(&[1, 2, 3], 0));
    let (leader, at) = group.wait_for_leader(200).expect("a leader");
    assert_eq!((leader, at <= 500), (3, true), "after {at} ms");
}

#[test]
fn without_one_voter_a_leader_is_elected_once_no_lease_can_be_active() {
    let mut group = Group::start(&[(1, 0), (2, 0), (3, 0)]);
    group.replicas.remove(&3);
    let (leader, at) = group.wait_for_leader(2_000).expect("a leader");
    let timeout = ConsensusConfig::default().election_timeout;
    assert!(at >= timeout, "after {at} ms");
    assert_eq!(leader, 2);
    assert!(at < timeout + 100, "after {at} ms");
}

#[test]
fn a_startup_election_does_not_wait_for_a_voter_that_lost_its_storage() {
    let mut group = Group::start(&[(1, 0), (2, 0), (3, 0)]);
    group.replicas.remove(&3);
    for replica in group.replicas.values_mut() {
        replica.record_empty_storage("n3", ReplicaId(77));
    }
    let (leader, at) = group.wait_for_leader(200).expect("a leader");
    assert_eq!((leader, at <= 100), (2, true), "after {at} ms");
}

#[test]
fn two_of_three_voters_without_storage_leave_no_quorum() {
    let mut group = Group::start(&[(1, 0), (2, 0), (3, 0)]);
    for id in [2, 3] {
        group.replicas.remove(&id);
    }
    for node in ["n2", "n3"] {
        let replica = group.replicas.get_mut(&1).expect("the replica");
        replica.record_empty_storage(node, ReplicaId(77));
    }
    assert_eq!(group.wait_for_leader(3_000), None);
}

/// The partitioned leader may still answer reads under its lease, which its restarted followers no
/// longer know of.
#[test]
fn restarted_followers_elect_no_leader_during_the_lease_of_a_partitioned_leader() {
    let mut group = Group::start(&[(1, 0), (2, 0), (3, 0)]);
    let (leader, _) = group.wait_for_leader(200).expect("a leader");
    assert_eq!(leader, 3);
    for _ in 0..50 {
        group.step();
    }
    let restarted_at = group.now;
    group.partitioned.push(3);
    for id in [1, 2] {
        group.restart(id, stored(&[1, 2, 3], 1));
    }
    let (_, at) = group.wait_for_leader(3_000).expect("a leader");
    let lease = ConsensusConfig::default().lease_duration;
    assert!(at - restarted_at >= lease, "after {} ms", at - restarted_at);
    assert!(!group.replicas[&3].may_serve_reads(group.now));
}

/// After a failed election a replica may have a later term than the leader. It then rejects the
/// leader's messages but cannot win an election while the leader is live.
#[test]
fn a_replica_with_a_later_term_than_the_leader_rejoins_the_group() {
    let mut group = Group::start(&[(1, 0), (2, 0), (3, 0)]);
    group.wait_for_leader(200).expect("a leader");
    for _ in 0..50 {
        group.step();
    }
    let (now, term) = (group.now, group.replicas[&1].term() + 1);
    let message = Message {
        from: ReplicaId(2),
        to: ReplicaId(1),
        term,
        body: MessageBody::VoteReply { granted: false },
    };
    let replica = group.replicas.get_mut(&1).expect("the replica");
    replica.step(message, now);
    for _ in 0..300 {
        group.step();
    }
    let leader = group.leader().expect("a leader");
    for replica in group.replicas.values() {
        assert_eq!(replica.leader(), Some(ReplicaId(leader)));
    }
}

#[test]
fn a_single_restarted_replica_does_not_disrupt_the_leader() {
    let mut group = Group::start(&[(1, 0), (2, 0), (3, 0)]);
    let (leader, _) = group.wait_for_leader(200).expect("a leader");
    for _ in 0..50 {
        group.step();
    }
    let term = group.replicas[&leader].term();
    group.restart(1, stored(&[1, 2, 3], 1));
    for _ in 0..300 {
        group.step();
        assert_eq!(group.leader(), Some(leader));
    }
    assert_eq!(group.replicas[&leader].term(), term);
    assert_eq!(group.replicas[&1].leader(), Some(ReplicaId(leader)));
}
