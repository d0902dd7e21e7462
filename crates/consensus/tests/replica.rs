//! Traps of the consensus state machine, one by one. Whole clusters under
//! faults are simulated in `silversail-simulation`.

use silversail_consensus::{
    next_membership, without_unreachable_voter, ConsensusConfig, Entry, HardState, JoinRequest,
    Membership, Message, MessageBody, Payload, ProposeError, Replica, ReplicaId, Role, Snapshot,
    SnapshotMeta, StoredState,
};

const CLUSTER: u64 = 9;

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
                cluster_id: CLUSTER,
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

/// Makes replica 1 of three a leader at `now` by the votes of replica 2.
fn leader(now: u64) -> Replica {
    let mut one = replica(1, &[1, 2, 3]);
    one.tick(now);
    one.take_output();
    one.step(
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
    one.take_output();
    one.on_synced(now);
    one.step(
        message(2, 1, 2, MessageBody::VoteReply { granted: true }),
        now,
    );
    assert_eq!(one.role(), Role::Leader);
    one
}

#[test]
fn a_vote_leaves_only_after_it_is_synced() {
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
fn one_vote_a_term() {
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
fn a_replica_that_holds_nothing_never_votes() {
    let empty = StoredState {
        snapshot: Snapshot {
            meta: SnapshotMeta {
                cluster_id: CLUSTER,
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
fn a_former_identity_gets_no_answer() {
    let mut replica = replica(4, &[1, 2, 3]);
    replica.step(message(1, 3, 2, vote(1, 1)), 0);
    assert!(!replica.has_output());
}

#[test]
fn a_leader_counts_itself_only_once_its_own_write_is_synced() {
    let mut one = leader(2_000);
    let noop = one.last_index();
    one.take_output();
    one.step(message(2, 1, 2, accepted(noop)), 2_000);
    assert_eq!(
        one.commit_index(),
        1,
        "one synced copy of three is no quorum"
    );
    one.on_synced(2_001);
    assert_eq!(one.commit_index(), noop);
}

#[test]
fn a_leader_without_a_quorum_answers_no_reads_and_steps_down() {
    let config = ConsensusConfig::default();
    let mut one = leader(2_000);
    one.take_output();
    one.on_synced(2_000);
    let reply = MessageBody::AppendReply {
        accepted: true,
        match_index: one.last_index(),
        round: 1,
        sent_at: silversail_consensus::ProcessTimestamp {
            incarnation: 1,
            at: 0,
        },
    };
    one.step(message(2, 1, 2, reply), 2_010);
    assert!(one.may_serve_reads(2_010));
    assert!(!one.may_serve_reads(2_000 + config.lease_duration));
    one.tick(2_000 + config.election_timeout);
    assert_eq!(one.role(), Role::Follower);
}

#[test]
fn a_vote_is_refused_while_a_leader_is_alive_unless_it_asked_for_it() {
    let mut two = replica(2, &[1, 2, 3]);
    let heartbeat = MessageBody::Append {
        previous_index: 1,
        previous_term: 1,
        entries: Vec::new(),
        commit_index: 1,
        freshness: Default::default(),
    };
    two.step(message(1, 2, 2, heartbeat), 10);
    two.take_output();
    two.step(message(3, 2, 3, vote(1, 1)), 20);
    assert_eq!(two.term(), 2);
    let forced = MessageBody::Vote {
        last_index: 1,
        last_term: 1,
        forced: true,
    };
    two.step(message(3, 2, 3, forced), 30);
    assert_eq!(two.term(), 3);
}

#[test]
fn the_echo_of_a_former_process_proves_nothing() {
    let mut two = replica(2, &[1, 2, 3]);
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
    two.step(message(1, 2, 2, append(0)), 1_000);
    assert_eq!(two.freshness().as_of, None);
    two.step(message(1, 2, 2, append(1)), 1_000);
    assert_eq!(two.freshness().as_of, Some(880));
}

#[test]
fn a_new_replica_of_a_node_comes_in_one_step_at_a_time() {
    let mut current = membership(&[1, 2, 3]);
    let join = JoinRequest {
        replica: ReplicaId(9),
        node: "n3".into(),
    };
    let mut sizes = Vec::new();
    // A learner that lags does not replace a voter.
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
fn a_follower_that_lost_what_it_acknowledged_is_not_asked_without_end() {
    let mut one = leader(2_000);
    one.take_output();
    one.on_synced(2_000);
    let reply = |accepted, match_index| MessageBody::AppendReply {
        accepted,
        match_index,
        round: 1,
        sent_at: silversail_consensus::ProcessTimestamp {
            incarnation: 1,
            at: 0,
        },
    };
    let noop = one.last_index();
    one.step(message(2, 1, 2, reply(true, noop)), 2_001);
    one.take_output();
    one.step(message(2, 1, 2, reply(false, 1)), 2_002);
    let resent = one.take_output().messages;
    assert!(
        resent.iter().all(|sent| sent.to != ReplicaId(2)),
        "{resent:?}"
    );
}

#[test]
fn a_late_snapshot_takes_no_acknowledged_entries_away() {
    let mut two = replica(2, &[1, 2, 3]);
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
    two.step(message(1, 2, 2, append), 10);
    two.take_output();
    two.on_synced(11);
    let snapshot = Snapshot {
        meta: SnapshotMeta {
            cluster_id: CLUSTER,
            index: 4,
            term: 2,
            membership: membership(&[1, 2, 3]),
        },
        data: Vec::new(),
    };
    let late = MessageBody::InstallSnapshot { snapshot, round: 1 };
    two.step(message(1, 2, 2, late), 20);
    let output = two.take_output();
    assert!(output.restore.is_none());
    assert_eq!((two.last_index(), two.commit_index()), (6, 4));
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
fn a_silent_voter_of_an_even_group_goes_and_of_an_odd_or_small_one_stays() {
    let is_silent = |node: &str| node == "b";
    let four = members(&[(1, "a"), (2, "b"), (3, "c"), (4, "d")]);
    let three = without_unreachable_voter(&four, ReplicaId(1), is_silent).expect("smaller");
    assert_eq!(three, members(&[(1, "a"), (3, "c"), (4, "d")]));
    assert_eq!(
        without_unreachable_voter(&four, ReplicaId(1), |_| false),
        None
    );
    // A leader never takes itself out.
    assert_eq!(
        without_unreachable_voter(&four, ReplicaId(2), is_silent),
        None
    );
    for group in [
        members(&[(1, "a"), (2, "b")]),
        members(&[(1, "a"), (2, "b"), (3, "c")]),
        members(&[(1, "a"), (2, "b"), (3, "c"), (4, "d"), (5, "e")]),
    ] {
        assert_eq!(
            without_unreachable_voter(&group, ReplicaId(1), is_silent),
            None
        );
    }
}

fn accepted(index: u64) -> MessageBody {
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

/// Who is asked to take over by what a replica sends now.
fn asked_to_take_over(replica: &mut Replica) -> Vec<u64> {
    let messages = replica.take_output().messages;
    let asks = messages
        .iter()
        .filter(|message| message.body == MessageBody::TimeoutNow);
    asks.map(|message| message.to.0).collect()
}

/// A leader at 2,000 ms with an entry that no follower has acknowledged.
fn leader_with_entry_under_way() -> Replica {
    let mut one = leader(2_000);
    one.step(message(2, 1, 2, accepted(one.last_index())), 2_000);
    one.step(message(3, 1, 2, accepted(one.last_index())), 2_000);
    one.propose(b"entry".to_vec(), 2_000).expect("it leads");
    one.take_output();
    one
}

#[test]
fn a_leader_with_entries_under_way_hands_over_once_a_follower_holds_them() {
    let mut one = leader_with_entry_under_way();
    assert!(one.transfer_leadership());
    assert_eq!(asked_to_take_over(&mut one), [0; 0]);
    let refused = one.propose(b"later".to_vec(), 2_001);
    assert_eq!(refused, Err(ProposeError::LeadershipTransferInProgress));
    one.step(message(3, 1, 2, accepted(one.last_index())), 2_002);
    assert_eq!(asked_to_take_over(&mut one), [3]);
    one.step(message(2, 1, 2, accepted(one.last_index())), 2_003);
    assert_eq!(asked_to_take_over(&mut one), [0; 0], "one successor only");
}

#[test]
fn a_request_to_take_over_that_was_lost_is_sent_again_to_the_same_voter() {
    let mut one = leader_with_entry_under_way();
    one.transfer_leadership();
    one.step(message(3, 1, 2, accepted(one.last_index())), 2_002);
    one.step(message(2, 1, 2, accepted(one.last_index())), 2_003);
    one.take_output();
    one.tick(2_200);
    assert_eq!(asked_to_take_over(&mut one), [3]);
}

#[test]
fn a_leader_from_which_nobody_takes_over_steps_down_and_answers_no_reads_until_then() {
    let mut one = leader_with_entry_under_way();
    one.transfer_leadership();
    let timeout = ConsensusConfig::default().election_timeout;
    for now in [2_001, 2_200, 2_000 + timeout - 1] {
        one.step(message(3, 1, 2, accepted(1)), now);
        one.tick(now);
        assert_eq!(one.role(), Role::Leader);
        assert!(!one.may_serve_reads(now));
    }
    one.tick(2_000 + timeout);
    assert_eq!(one.role(), Role::Follower);
}

#[test]
fn a_leader_alone_in_its_group_keeps_it() {
    let mut one = replica(1, &[1]);
    one.tick(5_000);
    one.take_output();
    one.on_synced(5_000);
    assert_eq!(one.role(), Role::Leader);
    assert!(!one.transfer_leadership());
    assert!(one.propose(b"entry".to_vec(), 5_001).is_ok());
}
