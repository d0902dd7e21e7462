//! Messages by which a replica without state forms or joins its group; the decisions are made
//! in [`crate::replica::formation`].

use crate::replica::actor::{ReceivedJoinRequest, ReplicaActor, ReplicaState};
use crate::replica::formation::FormationStep;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use silversail_consensus::{JoinRequest, Millis, ReplicaId, Snapshot, SnapshotMeta, StateMachine};
use silversail_model::NodeName;
use silversail_peer::{FormationMessage, GroupMessage};

/// Ticks at which a replica without state announces this to the other replicas, whose elections
/// wait for it after a restart of all nodes. It is repeated because nodes of other regions become
/// known only some round trips after the start.
const EMPTY_STORAGE_ANNOUNCEMENT_TICKS: [u64; 8] = [1, 2, 4, 6, 8, 10, 13, 17];

impl<M: StateMachine + 'static> ReplicaActor<M> {
    pub(super) fn handle_formation_message(
        &mut self,
        from: NodeName,
        message: FormationMessage,
        now: Millis,
    ) {
        match message {
            FormationMessage::Probe { replica } => self.reply_to_probe(from, replica),
            FormationMessage::StorageEmpty { replica } => {
                if let ReplicaState::Member(own) = &mut self.state {
                    own.record_empty_storage(from.as_str(), replica);
                }
            }
            FormationMessage::ProbeReply { replica, formed } => {
                self.handle_probe_reply(from, replica, formed, now)
            }
            FormationMessage::Form(snapshot) => {
                let ReplicaState::Forming(formation) = &self.state else {
                    return;
                };
                let step = formation.step_for_existing_group(snapshot);
                self.apply_formation_step(step, now);
            }
            FormationMessage::Join(join) => {
                let received = ReceivedJoinRequest {
                    request: join,
                    received_at: now,
                };
                self.join_requests
                    .insert(received.request.node.clone(), received);
            }
        }
    }

    pub(super) fn reply_to_probe(&mut self, from: NodeName, prober: ReplicaId) {
        let formed = match &self.state {
            ReplicaState::Forming(_) => None,
            ReplicaState::Member(replica) => {
                let stored = replica.snapshot();
                // Only a voter may adopt the first state, so others get no data.
                let is_voter = stored.meta.membership.is_voter(prober);
                Some(Snapshot {
                    meta: stored.meta.clone(),
                    data: if is_voter {
                        stored.data.clone()
                    } else {
                        Vec::new()
                    },
                })
            }
        };
        let replica = self.setup.replica;
        let reply = FormationMessage::ProbeReply { replica, formed };
        self.send_group(&from, GroupMessage::Formation(reply));
    }

    pub(super) fn handle_probe_reply(
        &mut self,
        from: NodeName,
        replica: ReplicaId,
        formed: Option<Snapshot>,
        now: Millis,
    ) {
        let ReplicaState::Forming(formation) = &mut self.state else {
            return;
        };
        let machine = self.setup.state_machine.clone();
        let initial_data = || machine.borrow().snapshot();
        let mut random_generator = ChaCha8Rng::seed_from_u64(self.setup.seed);
        let step = formation.handle_reply(
            from,
            replica,
            formed,
            initial_data,
            &mut random_generator,
            now,
        );
        self.apply_formation_step(step, now);
    }

    pub(super) fn apply_formation_step(&mut self, step: FormationStep, now: Millis) {
        match step {
            FormationStep::Wait => {}
            FormationStep::Form(_) if !self.setup.directory.borrow().may_form_group(now) => {}
            FormationStep::Form(snapshot) => {
                self.start_as_member(snapshot.clone(), now);
                let form = GroupMessage::Formation(FormationMessage::Form(snapshot));
                for voter in self.replicating_nodes() {
                    if voter != self.setup.node {
                        self.send_group(&voter, form.clone());
                    }
                }
            }
            FormationStep::Adopt(snapshot) => self.start_as_member(snapshot, now),
            FormationStep::Join(cluster_id) => {
                let snapshot = Snapshot {
                    meta: SnapshotMeta {
                        cluster_id,
                        ..SnapshotMeta::default()
                    },
                    data: self.setup.state_machine.borrow().snapshot(),
                };
                self.start_as_member(snapshot, now);
            }
        }
    }

    pub(super) fn send_probes_or_join_requests(&mut self, now: Millis) {
        let replicating = self.replicating_nodes();
        match &mut self.state {
            ReplicaState::Forming(formation) => {
                formation.start_round(replicating);
                let targets: Vec<NodeName> = formation.others().cloned().collect();
                let probe = FormationMessage::Probe {
                    replica: self.setup.replica,
                };
                for target in targets {
                    self.send_group(&target, GroupMessage::Formation(probe.clone()));
                }
                self.form_single_node_group(now);
            }
            ReplicaState::Member(replica) => {
                // A replica that was removed while partitioned does not know of its removal
                // and has no leader, so it asks to join again.
                let has_leader = replica.leader().is_some();
                if replica.membership().is_voter(replica.id()) && has_leader {
                    return;
                }
                let join = FormationMessage::Join(JoinRequest {
                    replica: self.setup.replica,
                    node: self.setup.node.0.clone(),
                });
                for target in self.replicating_nodes() {
                    if target != self.setup.node {
                        self.send_group(&target, GroupMessage::Formation(join.clone()));
                    }
                }
            }
        }
    }

    /// Announces to the other nodes that this replica's storage is empty, a few times after
    /// the start.
    pub(super) fn announce_empty_storage(&mut self) {
        if !EMPTY_STORAGE_ANNOUNCEMENT_TICKS.contains(&self.ticks) {
            return;
        }
        let has_empty_storage = match &self.state {
            ReplicaState::Forming(_) => true,
            // The replica joined its group but has not received any entries yet.
            ReplicaState::Member(replica) => replica.commit_index() == 0,
        };
        if !has_empty_storage {
            return;
        }
        let announcement = FormationMessage::StorageEmpty {
            replica: self.setup.replica,
        };
        for target in self.replicating_nodes() {
            if target != self.setup.node {
                self.send_group(&target, GroupMessage::Formation(announcement.clone()));
            }
        }
    }

    /// Forms the group at once if this node is its only member.
    pub(super) fn form_single_node_group(&mut self, now: Millis) {
        if self.replicating_nodes() == [self.setup.node.clone()] {
            let own_identity = (self.setup.node.clone(), self.setup.replica);
            self.handle_probe_reply(own_identity.0, own_identity.1, None, now);
        }
    }
}
