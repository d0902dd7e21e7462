//! Safety and liveness properties of a single replica. `silversail-simulation` tests clusters with
//! faults.

use silversail_consensus::{
    next_membership, without_unreachable_voter, ConsensusConfig, Entry, HardState, JoinRequest,
    Membership, Message, MessageBody, Payload, ProposeError, Replica, ReplicaId, Role, Snapshot,
    SnapshotMeta, StoredState,
};

const CLUSTER_ID: u64 = 9;

fn membership(voters: &[u64]) -> Membership {
    Membership {
        voters: voters
            .iter()
            .map(|id| (ReplicaId(*id), format!("n{id}")))
            .collect(),
        learners: Default::default(),
    }
}

fn stored(voters: &[u64]) -> StoredState {
    StoredState {
        hard_state: HardState {
            term: 1,
            voted_for: None,
        },
        snapshot: Snapshot {
            meta: SnapshotMeta {
                cluster_id: CLUSTER_ID,
                index: 1,
                term: 1,
                membership: membership(voters),
            },
            data: Vec::new(),
        },
        entries: Vec::new(),
    }
}

fn replica(id: u64, voters: &[u64]) -> Replica {
    Replica::new(
        ReplicaId(id),
        ConsensusConfig::default(),
        stored(voters),
        id,
        1,
        0,
    )
}

fn message(from: u64, to: u64, term: u64, body: MessageBody) -> Message {
    Message {
        from: ReplicaId(from),
        to: ReplicaId(to),
        term,
        body,
    }
}

fn vote(last_index: u64, last_term: u64) -> MessageBody {
    MessageBody::Vote {
        last_index,
        last_term,
        forced: false,
    }
}

/// Returns replica 1 of three, elected leader at `now` with the vote of replica 2.
fn leader(now: u64) -> Replica {
    let mut leader = replica(1, &[1, 2, 3]);
    leader.tick(now);
    leader.take_output();
    leader.step(
        message(
            2,
            1,
            2,
            MessageBody::PreVoteReply {
                granted: true,
                is_lease_free: true,
            },
        ),
        now,
    );
    leader.take_output();
    leader.on_synced(now);
    leader.step(
        message(2, 1, 2, MessageBody::VoteReply { granted: true }),
        now,
    );
    assert_eq!(leader.role(), Role::Leader);
    leader
}

#[test]
fn a_vote_is_sent_only_after_it_is_synced() {
    let mut replica = replica(2, &[1, 2, 3]);
    replica.step(message(1, 2, 2, vote(1, 1)), 0);
    let output = replica.take_output();
    assert!(output.messages.is_empty());
    assert_eq!(
        output.writes.hard_state,
        Some(HardState {
            term: 2,
            voted_for: Some(ReplicaId(1))
        })
    );
    assert_eq!(
        output.messages_after_sync[0].body,
        MessageBody::VoteReply { granted: true }
    );
}

#[test]
fn a_replica_votes_once_per_term() {
    let mut replica = replica(2, &[1, 2, 3]);
    replica.step(message(1, 2, 2, vote(1, 1)), 0);
    replica.take_output();
    replica.step(message(3, 2, 2, vote(1, 1)), 0);
    let output = replica.take_output();
    assert_eq!(
        output.messages_after_sync[0].body,
        MessageBody::VoteReply { granted: false }
    );
}

#[test]
fn a_replica_without_stored_state_never_votes() {
    let empty = StoredState {
        snapshot: Snapshot {
            meta: SnapshotMeta {
                cluster_id: CLUSTER_ID,
                ..SnapshotMeta::default()
            },
            data: Vec::new(),
        },
        ..StoredState::default()
    };
    let mut replica = Replica::new(ReplicaId(4), ConsensusConfig::default(), empty, 4, 1, 0);
    replica.step(message(1, 4, 2, vote(1, 1)), 0);
    let output = replica.take_output();
    assert_eq!(
        output.messages_after_sync[0].body,
        MessageBody::VoteReply { granted: false }
    );
    replica.tick(60_000);
    assert_eq!(replica.role(), Role::Follower);
}

#[test]
fn a_message_to_a_former_identity_gets_no_reply() {
    let mut replica = replica(4, &[1, 2, 3]);
    replica.step(message(1, 3, 2, vote(1, 1)), 0);
    assert!(!replica.has_output());
}

#[test]
fn a_leader_counts_its_own_entry_only_after_it_is_synced() {
    let mut leader = leader(2_000);
    let noop = leader.last_index();
    leader.take_output();
    leader.step(message(2, 1, 2, append_accepted(noop)), 2_000);
    assert_eq!(
        leader.commit_index(),
        1,
        "one synced copy of three is no quorum"
    );
    leader.on_synced(2_001);
    assert_eq!(leader.commit_index(), noop);
}

#[test]
fn a_leader_without_a_quorum_answers_no_reads_and_steps_down() {
    let config = ConsensusConfig::default();
    let mut leader = leader(2_000);
    leader.take_output();
    leader.on_synced(2_000);
    let reply = MessageBody::AppendReply {
        accepted: true,
        match_index: leader.last_index(),
        round: 1,
        sent_at: silversail_consensus::ProcessTimestamp {
            incarnation: 1,
            at: 0,
        },
    };
    leader.step(message(2, 1, 2, reply), 2_010);
    assert!(leader.may_serve_reads(2_010));
    assert!(!leader.may_serve_reads(2_000 + config.lease_duration));
    leader.tick(2_000 + config.election_timeout);
    assert_eq!(leader.role(), Role::Follower);
}

#[test]
fn a_vote_request_is_ignored_while_a_leader_is_live_unless_forced() {
    let mut follower = replica(2, &[1, 2, 3]);
    let heartbeat = MessageBody::Append {
        previous_index: 1,
        previous_term: 1,
        entries: Vec::new(),
        commit_index: 1,
        freshness: Default::default(),
    };
    follower.step(message(1, 2, 2, heartbeat), 10);
    follower.take_output();
    follower.step(message(3, 2, 3, vote(1, 1)), 20);
    assert_eq!(follower.term(), 2);
    let forced = MessageBody::Vote {
        last_index: 1,
        last_term: 1,
        forced: true,
    };
    follower.step(message(3, 2, 3, forced), 30);
    assert_eq!(follower.term(), 3);
}

#[test]
fn an_echoed_timestamp_of_a_former_process_is_ignored() {
    let mut follower = replica(2, &[1, 2, 3]);
    let append = |incarnation| MessageBody::Append {
        previous_index: 1,
        previous_term: 1,
        entries: Vec::new(),
        commit_index: 1,
        freshness: silversail_consensus::message::LeaderFreshness {
            round: 5,
            confirmed_age: Some(20),
            echo: Some(silversail_consensus::ProcessTimestamp {
                incarnation,
                at: 900,
            }),
        },
    };
    follower.step(message(1, 2, 2, append(0)), 1_000);
    assert_eq!(follower.freshness().as_of, None);
    follower.step(message(1, 2, 2, append(1)), 1_000);
    assert_eq!(follower.freshness().as_of, Some(880));
}

#[test]
fn a_new_replica_of_a_node_replaces_the_former_one_by_single_changes() {
    let mut current = membership(&[1, 2, 3]);
    let join = JoinRequest {
        replica: ReplicaId(9),
        node: "n3".into(),
    };
    let mut sizes = Vec::new();
    // A learner that lags does not replace a voter yet.
    let learner = next_membership(&current, &join, None, |_| false).expect("a learner");
    assert_eq!(next_membership(&learner, &join, None, |_| false), None);
    assert_eq!(
        next_membership(&learner, &join, Some(1_000), |_| false),
        None
    );
    while let Some(next) = next_membership(&current, &join, Some(0), |_| false) {
        let voters = |membership: &Membership| membership.voters.len() as i64;
        assert!((voters(&next) - voters(&current)).abs() <= 1);
        sizes.push((next.voters.len(), next.learners.len()));
        current = next;
    }
    assert_eq!(sizes, [(3, 1), (2, 1), (3, 0)]);
    assert!(current.is_voter(ReplicaId(9)) && !current.is_voter(ReplicaId(3)));
}

#[test]
fn a_follower_that_lost_acknowledged_entries_is_not_probed_in_a_loop() {
    let mut leader = leader(2_000);
    leader.take_output();
    leader.on_synced(2_000);
    let reply = |accepted, match_index| MessageBody::AppendReply {
        accepted,
        match_index,
        round: 1,
        sent_at: silversail_consensus::ProcessTimestamp {
            incarnation: 1,
            at: 0,
        },
    };
    let noop = leader.last_index();
    leader.step(message(2, 1, 2, reply(true, noop)), 2_001);
    leader.take_output();
    leader.step(message(2, 1, 2, reply(false, 1)), 2_002);
    let resent = leader.take_output().messages;
    assert!(
        resent.iter().all(|sent| sent.to != ReplicaId(2)),
        "{resent:?}"
    );
}

#[test]
fn a_delayed_snapshot_removes_no_acknowledged_entries() {
    let mut follower = replica(2, &[1, 2, 3]);
    let entries: Vec<Entry> = (2..=6)
        .map(|index| Entry {
            index,
            term: 2,
            payload: Payload::Noop,
        })
        .collect();
    let append = MessageBody::Append {
        previous_index: 1,
        previous_term: 1,
        entries,
        commit_index: 1,
        freshness: Default::default(),
    };
    follower.step(message(1, 2, 2, append), 10);
    follower.take_output();
    follower.on_synced(11);
    let snapshot = Snapshot {
        meta: SnapshotMeta {
            cluster_id: CLUSTER_ID,
            index: 4,
            term: 2,
            membership: membership(&[1, 2, 3]),
        },
        data: Vec::new(),
    };
    let delayed = MessageBody::InstallSnapshot { snapshot, round: 1 };
    follower.step(message(1, 2, 2, delayed), 20);
    let output = follower.take_output();
    assert!(output.restore.is_none());
    assert_eq!((follower.last_index(), follower.commit_index()), (6, 4));
}

fn members(voters: &[(u64, &str)]) -> Membership {
    Membership {
        voters: voters
            .iter()
            .map(|(replica, node)| (ReplicaId(*replica), (*node).to_owned()))
            .collect(),
        ..Membership::default()
    }
}

#[test]
fn an_unreachable_voter_is_removed_only_from_a_large_enough_even_group() {
    let is_unreachable = |node: &str| node == "b";
    let four = members(&[(1, "a"), (2, "b"), (3, "c"), (4, "d")]);
    let three = without_unreachable_voter(&four, ReplicaId(1), is_unreachable).expect("smaller");
    assert_eq!(three, members(&[(1, "a"), (3, "c"), (4, "d")]));
    assert_eq!(
        without_unreachable_voter(&four, ReplicaId(1), |_| false),
        None
    );
    // A leader never removes itself.
    assert_eq!(
        without_unreachable_voter(&four, ReplicaId(2), is_unreachable),
        None
    );
    for group in [
        members(&[(1, "a"), (2, "b")]),
        members(&[(1, "a"), (2, "b"), (3, "c")]),
        members(&[(1, "a"), (2, "b"), (3, "c"), (4, "d"), (5, "e")]),
    ] {
        assert_eq!(
            without_unreachable_voter(&group, ReplicaId(1), is_unreachable),
            None
        );
    }
}

fn append_accepted(index: u64) -> MessageBody {
    MessageBody::AppendReply {
        accepted: true,
        match_index: index,
        round: 1,
        sent_at: silversail_consensus::ProcessTimestamp {
            incarnation: 1,
            at: 0,
        },
    }
}

/// Receivers of the takeover requests in the current output of a replica.
fn takeover_requests(replica: &mut Replica) -> Vec<u64> {
    let messages = replica.take_output().messages;
    let requests = messages
        .iter()
        .filter(|message| message.body == MessageBody::TimeoutNow);
    requests.map(|message| message.to.0).collect()
}

/// Returns a leader at 2,000 ms with an entry that no follower has acknowledged.
fn leader_with_unreplicated_entry() -> Replica {
    let mut leader = leader(2_000);
    leader.step(
        message(2, 1, 2, append_accepted(leader.last_index())),
        2_000,
    );
    leader.step(
        message(3, 1, 2, append_accepted(leader.last_index())),
        2_000,
    );
    leader.propose(b"entry".to_vec(), 2_000).expect("it leads");
    leader.take_output();
    leader
}

#[test]
fn a_leader_transfers_leadership_once_a_follower_has_all_entries() {
    let mut leader = leader_with_unreplicated_entry();
    assert!(leader.transfer_leadership());
    assert_eq!(takeover_requests(&mut leader), [0; 0]);
    let refused = leader.propose(b"later".to_vec(), 2_001);
    assert_eq!(refused, Err(ProposeError::LeadershipTransferInProgress));
    leader.step(
        message(3, 1, 2, append_accepted(leader.last_index())),
        2_002,
    );
    assert_eq!(takeover_requests(&mut leader), [3]);
    leader.step(
        message(2, 1, 2, append_accepted(leader.last_index())),
        2_003,
    );
    assert_eq!(takeover_requests(&mut leader), [0; 0], "one successor only");
}

#[test]
fn a_lost_takeover_request_is_sent_again_to_the_same_voter() {
    let mut leader = leader_with_unreplicated_entry();
    leader.transfer_leadership();
    leader.step(
        message(3, 1, 2, append_accepted(leader.last_index())),
        2_002,
    );
    leader.step(
        message(2, 1, 2, append_accepted(leader.last_index())),
        2_003,
    );
    leader.take_output();
    leader.tick(2_200);
    assert_eq!(takeover_requests(&mut leader), [3]);
}

#[test]
fn a_leader_steps_down_after_a_failed_transfer_and_answers_no_reads_until_then() {
    let mut leader = leader_with_unreplicated_entry();
    leader.transfer_leadership();
    let timeout = ConsensusConfig::default().election_timeout;
    for now in [2_001, 2_200, 2_000 + timeout - 1] {
        leader.step(message(3, 1, 2, append_accepted(1)), now);
        leader.tick(now);
        assert_eq!(leader.role(), Role::Leader);
        assert!(!leader.may_serve_reads(now));
    }
    leader.tick(2_000 + timeout);
    assert_eq!(leader.role(), Role::Follower);
}

#[test]
fn the_only_voter_of_a_group_does_not_transfer_leadership() {
    let mut leader = replica(1, &[1]);
    leader.tick(5_000);
    leader.take_output();
    leader.on_synced(5_000);
    assert_eq!(leader.role(), Role::Leader);
    assert!(!leader.transfer_leadership());
    assert!(leader.propose(b"entry".to_vec(), 5_001).is_ok());
}
