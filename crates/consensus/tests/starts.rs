//! Elections after starts: all replicas at once, one of them, all but the leader.

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
    // No other stood, so votes can't be split.
    assert!(group.votes_asked_by.iter().all(|one| *one == expected));
}

#[test]
fn one_that_starts_late_is_waited_for_not_overtaken() {
    let mut group = Group::start(&[(1, 0), (2, 0), (3, 0)]);
    let late = group.replicas.remove(&3);
    assert_eq!(group.wait_for_leader(400), None);
    assert!(late.is_some());
    group.restart(3, stored(&[1, 2, 3], 0));
    let (leader, at) = group.wait_for_leader(200).expect("a leader");
    assert_eq!((leader, at <= 500), (3, true), "after {at} ms");
}

#[test]
fn without_one_of_them_a_leader_is_elected_when_no_lease_can_be_left() {
    let mut group = Group::start(&[(1, 0), (2, 0), (3, 0)]);
    group.replicas.remove(&3);
    let (leader, at) = group.wait_for_leader(2_000).expect("a leader");
    let timeout = ConsensusConfig::default().election_timeout;
    assert!(at >= timeout, "after {at} ms");
    assert_eq!(leader, 2);
    assert!(at < timeout + 100, "after {at} ms");
}

#[test]
fn a_voter_whose_disk_was_emptied_is_not_waited_for() {
    let mut group = Group::start(&[(1, 0), (2, 0), (3, 0)]);
    group.replicas.remove(&3);
    for replica in group.replicas.values_mut() {
        replica.record_empty_storage("n3", ReplicaId(77));
    }
    let (leader, at) = group.wait_for_leader(200).expect("a leader");
    assert_eq!((leader, at <= 100), (2, true), "after {at} ms");
}

#[test]
fn two_emptied_of_three_leave_no_quorum() {
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

/// The leader goes on alone, within its lease: its followers forgot it.
#[test]
fn followers_that_restart_wait_out_the_lease_of_a_leader_that_is_cut_off() {
    let mut group = Group::start(&[(1, 0), (2, 0), (3, 0)]);
    let (leader, _) = group.wait_for_leader(200).expect("a leader");
    assert_eq!(leader, 3);
    for _ in 0..50 {
        group.step();
    }
    let restarted_at = group.now;
    group.cut_off.push(3);
    for id in [1, 2] {
        group.restart(id, stored(&[1, 2, 3], 1));
    }
    let (_, at) = group.wait_for_leader(3_000).expect("a leader");
    let lease = ConsensusConfig::default().lease_duration;
    assert!(at - restarted_at >= lease, "after {} ms", at - restarted_at);
    assert!(!group.replicas[&3].may_serve_reads(group.now));
}

/// A vote for a candidate that failed leaves a replica in a later term than the leader's:
/// it drops what the leader sends, and nobody would vote for it while the leader lives.
#[test]
fn a_replica_in_a_later_term_than_the_leaders_is_not_left_behind() {
    let mut group = Group::start(&[(1, 0), (2, 0), (3, 0)]);
    group.wait_for_leader(200).expect("a leader");
    for _ in 0..50 {
        group.step();
    }
    let (now, term) = (group.now, group.replicas[&1].term() + 1);
    let stray = Message {
        from: ReplicaId(2),
        to: ReplicaId(1),
        term,
        body: MessageBody::VoteReply { granted: false },
    };
    let ahead = group.replicas.get_mut(&1).expect("the replica");
    ahead.step(stray, now);
    for _ in 0..300 {
        group.step();
    }
    let leader = group.leader().expect("a leader");
    for replica in group.replicas.values() {
        assert_eq!(replica.leader(), Some(ReplicaId(leader)));
    }
}

#[test]
fn one_that_restarts_alone_does_not_disturb_the_leader() {
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
