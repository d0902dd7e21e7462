//! A group of replicas with virtual time and a simulated network.
#![allow(dead_code)]

use silversail_consensus::{
    ConsensusConfig, Entry, HardState, Membership, Message, MessageBody, Payload, Replica,
    ReplicaId, Role, Snapshot, SnapshotMeta, StoredState,
};
use std::collections::BTreeMap;

pub const STEP_MS: u64 = 10;

/// Stored state of a replica: a log with `length` entries of term 1 after a snapshot.
pub fn stored(voters: &[u64], length: u64) -> StoredState {
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

/// Replicas whose messages arrive one step after they are sent, except for messages from and to
/// partitioned replicas, which are lost.
pub struct Group {
    pub replicas: BTreeMap<u64, Replica>,
    pub in_flight: Vec<Message>,
    pub partitioned: Vec<u64>,
    pub candidates_seen: Vec<u64>,
    pub now: u64,
    /// Time at which the first leader of each term was observed, in milliseconds.
    pub term_starts: BTreeMap<u64, u64>,
}

impl Group {
    /// Starts one replica for each pair of identity and log length.
    pub fn start(logs: &[(u64, u64)]) -> Self {
        let voters: Vec<u64> = logs.iter().map(|(id, _)| *id).collect();
        let mut group = Self {
            replicas: BTreeMap::new(),
            in_flight: Vec::new(),
            partitioned: Vec::new(),
            candidates_seen: Vec::new(),
            now: 0,
            term_starts: BTreeMap::new(),
        };
        for (id, length) in logs {
            group.restart(*id, stored(&voters, *length));
        }
        group
    }

    pub fn restart(&mut self, id: u64, stored: StoredState) {
        let config = ConsensusConfig::default();
        let replica = Replica::new(ReplicaId(id), config, stored, id, 1, self.now);
        self.replicas.insert(id, replica);
    }

    fn crosses_partition(&self, message: &Message) -> bool {
        [message.from, message.to]
            .iter()
            .any(|id| self.partitioned.contains(&id.0))
    }

    pub fn step(&mut self) {
        self.now += STEP_MS;
        for message in std::mem::take(&mut self.in_flight) {
            if let Some(replica) = self.replicas.get_mut(&message.to.0) {
                replica.step(message, self.now);
            }
        }
        for replica in self.replicas.values_mut() {
            replica.tick(self.now);
            while replica.has_output() {
                let output = replica.take_output();
                self.in_flight.extend(output.messages);
                if !output.writes.is_empty() || !output.messages_after_sync.is_empty() {
                    self.in_flight.extend(output.messages_after_sync);
                    replica.on_synced(self.now);
                }
            }
        }
        let mut in_flight = std::mem::take(&mut self.in_flight);
        in_flight.retain(|message| !self.crosses_partition(message));
        for message in &in_flight {
            let is_vote_request = matches!(message.body, MessageBody::Vote { .. });
            if is_vote_request && !self.candidates_seen.contains(&message.from.0) {
                self.candidates_seen.push(message.from.0);
            }
        }
        self.in_flight = in_flight;
        if let Some(leader) = self.leader() {
            let term = self.replicas[&leader].term();
            self.term_starts.entry(term).or_insert(self.now);
        }
    }

    pub fn leader(&self) -> Option<u64> {
        let mut leaders = self.replicas.iter().filter(|(id, replica)| {
            replica.role() == Role::Leader && !self.partitioned.contains(id)
        });
        leaders.next().map(|(id, _)| *id)
    }

    /// Steps until there is a leader. Returns it with the time, or `None` after `timeout_ms`
    /// milliseconds.
    pub fn wait_for_leader(&mut self, timeout_ms: u64) -> Option<(u64, u64)> {
        let end = self.now + timeout_ms;
        while self.now < end {
            self.step();
            if let Some(leader) = self.leader() {
                return Some((leader, self.now));
            }
        }
        None
    }
}
