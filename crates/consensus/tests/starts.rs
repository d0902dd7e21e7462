//! Elections after starts: all replicas at once, one of them, all but the leader.

use rstest::rstest;
use silversail_consensus::{
    ConsensusConfig, Entry, HardState, Membership, Message, MessageBody, Payload, Replica,
    ReplicaId, Role, Snapshot, SnapshotMeta, StoredState,
};
use std::collections::BTreeMap;

const STEP: u64 = 10;

/// What a replica finds on its disk: a log of `length` entries of term 1.
fn stored(voters: &[u64], length: u64) -> StoredState {
    let entries = (2..2 + length).map(|index| Entry {
        index,
        term: 1,
        payload: Payload::Noop,
    });
    StoredState {
        hard_state: HardState {
            term: 1,
            voted_for: None,
        },
        snapshot: Snapshot {
            meta: SnapshotMeta {
                cluster_id: 9,
                index: 1,
                term: 1,
                membership: Membership {
                    voters: voters
                        .iter()
                        .map(|id| (ReplicaId(*id), format!("n{id}")))
                        .collect(),
                    learners: BTreeMap::new(),
                },
            },
            data: Vec::new(),
        },
        entries: entries.collect(),
    }
}

/// Replicas whose messages arrive one step after they are sent, but for those to and
/// from the ones that are cut off.
struct Group {
    replicas: BTreeMap<u64, Replica>,
    under_way: Vec<Message>,
    cut_off: Vec<u64>,
    votes_asked_by: Vec<u64>,
    now: u64,
}

impl Group {
    /// Starts a replica of each identity, with so many entries, at once.
    fn start(logs: &[(u64, u64)]) -> Self {
        let voters: Vec<u64> = logs.iter().map(|(id, _)| *id).collect();
        let mut group = Self {
            replicas: BTreeMap::new(),
            under_way: Vec::new(),
            cut_off: Vec::new(),
            votes_asked_by: Vec::new(),
            now: 0,
        };
        for (id, length) in logs {
            group.restart(*id, stored(&voters, *length));
        }
        group
    }

    fn restart(&mut self, id: u64, stored: StoredState) {
        let config = ConsensusConfig::default();
        let replica = Replica::new(ReplicaId(id), config, stored, id, 1, self.now);
        self.replicas.insert(id, replica);
    }

    fn is_cut_off(&self, message: &Message) -> bool {
        [message.from, message.to]
            .iter()
            .any(|one| self.cut_off.contains(&one.0))
    }

    fn step(&mut self) {
        self.now += STEP;
        for message in std::mem::take(&mut self.under_way) {
            if let Some(replica) = self.replicas.get_mut(&message.to.0) {
                replica.step(message, self.now);
            }
        }
        for replica in self.replicas.values_mut() {
            replica.tick(self.now);
            while replica.has_output() {
                let output = replica.take_output();
                self.under_way.extend(output.messages);
                if !output.writes.is_empty() || !output.messages_after_sync.is_empty() {
                    self.under_way.extend(output.messages_after_sync);
                    replica.on_synced(self.now);
                }
            }
        }
        let mut under_way = std::mem::take(&mut self.under_way);
        under_way.retain(|message| !self.is_cut_off(message));
        for message in &under_way {
            let asks = matches!(message.body, MessageBody::Vote { .. });
            if asks && !self.votes_asked_by.contains(&message.from.0) {
                self.votes_asked_by.push(message.from.0);
            }
        }
        self.under_way = under_way;
    }

    fn leader(&self) -> Option<u64> {
        let mut leaders = self
            .replicas
            .iter()
            .filter(|(id, replica)| replica.role() == Role::Leader && !self.cut_off.contains(id));
        leaders.next().map(|(id, _)| *id)
    }

    /// The leader and when there was one, if within `span` milliseconds.
    fn wait_for_leader(&mut self, span: u64) -> Option<(u64, u64)> {
        let end = self.now + span;
        while self.now < end {
            self.step();
            if let Some(leader) = self.leader() {
                return Some((leader, self.now));
            }
        }
        None
    }
}

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
        replica.note_emptied("n3", ReplicaId(77));
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
        replica.note_emptied(node, ReplicaId(77));
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
