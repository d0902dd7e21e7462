//! How a replica without a state forms or finds its group: the messages around
//! [`crate::replica::formation`].

use crate::replica::actor::{HeardJoin, ReplicaActor, State};
use crate::replica::formation::FormationStep;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use silversail_consensus::{JoinRequest, Millis, ReplicaId, Snapshot, SnapshotMeta, StateMachine};
use silversail_model::NodeName;
use silversail_peer::{FormationMessage, GroupMessage};

/// Ticks at which a replica without a state tells so: after a restart of all, the
/// others' election waits to hear it. Nodes of other regions are known some round trips after a
/// start.
const TICKS_OF_EMPTIED: [u64; 8] = [1, 2, 4, 6, 8, 10, 13, 17];

impl<M: StateMachine + 'static> ReplicaActor<M> {
    pub(super) fn formation_message(
        &mut self,
        from: NodeName,
        message: FormationMessage,
        now: Millis,
    ) {
        match message {
            FormationMessage::Probe { replica } => self.answer_probe(from, replica),
            FormationMessage::StorageEmpty { replica } => {
                if let State::Member(own) = &mut self.state {
                    own.record_empty_storage(from.as_str(), replica);
                }
            }
            FormationMessage::ProbeReply { replica, formed } => {
                self.probe_answered(from, replica, formed, now)
            }
            FormationMessage::Form(snapshot) => {
                let State::Forming(formation) = &self.state else {
                    return;
                };
                let step = formation.step_towards(snapshot);
                self.formation_step(step, now);
            }
            FormationMessage::Join(join) => {
                let heard = HeardJoin {
                    request: join,
                    heard_at: now,
                };
                self.joins.insert(heard.request.node.clone(), heard);
            }
        }
    }

    pub(super) fn answer_probe(&mut self, from: NodeName, prober: ReplicaId) {
        let formed = match &self.state {
            State::Forming(_) => None,
            State::Member(replica) => {
                let stored = replica.snapshot();
                // The first state is given out whole to its own voters only.
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

    pub(super) fn probe_answered(
        &mut self,
        from: NodeName,
        replica: ReplicaId,
        formed: Option<Snapshot>,
        now: Millis,
    ) {
        let State::Forming(formation) = &mut self.state else {
            return;
        };
        let machine = self.setup.machine.clone();
        let first_data = || machine.borrow().snapshot();
        let mut random = ChaCha8Rng::seed_from_u64(self.setup.seed);
        let step = formation.on_reply(from, replica, formed, first_data, &mut random);
        self.formation_step(step, now);
    }

    pub(super) fn formation_step(&mut self, step: FormationStep, now: Millis) {
        match step {
            FormationStep::Wait => {}
            FormationStep::Form(_) if !self.setup.directory.borrow().may_form_group(now) => {}
            FormationStep::Form(snapshot) => {
                self.become_member(snapshot.clone(), now);
                let form = GroupMessage::Formation(FormationMessage::Form(snapshot));
                for voter in self.replicating_nodes() {
                    if voter != self.setup.node {
                        self.send_group(&voter, form.clone());
                    }
                }
            }
            FormationStep::Adopt(snapshot) => self.become_member(snapshot, now),
            FormationStep::Join(cluster_id) => {
                let snapshot = Snapshot {
                    meta: SnapshotMeta {
                        cluster_id,
                        ..SnapshotMeta::default()
                    },
                    data: self.setup.machine.borrow().snapshot(),
                };
                self.become_member(snapshot, now);
            }
        }
    }

    pub(super) fn probe_or_join(&mut self, now: Millis) {
        let replicating = self.replicating_nodes();
        match &mut self.state {
            State::Forming(formation) => {
                formation.start_round(replicating);
                let targets: Vec<NodeName> = formation.others().cloned().collect();
                let probe = FormationMessage::Probe {
                    replica: self.setup.replica,
                };
                for target in targets {
                    self.send_group(&target, GroupMessage::Formation(probe.clone()));
                }
                self.form_alone(now);
            }
            State::Member(replica) => {
                // One that was voted out while it was cut off does not know it.
                let is_followed = replica.leader().is_some();
                if replica.membership().is_voter(replica.id()) && is_followed {
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

    /// Tells the other nodes when this disk holds nothing, a few times after the start.
    pub(super) fn tell_emptied(&mut self) {
        if !TICKS_OF_EMPTIED.contains(&self.ticks) {
            return;
        }
        let holds_nothing = match &self.state {
            State::Forming(_) => true,
            // One that found its group and has not got anything of it yet.
            State::Member(replica) => replica.commit_index() == 0,
        };
        if !holds_nothing {
            return;
        }
        let emptied = FormationMessage::StorageEmpty {
            replica: self.setup.replica,
        };
        for target in self.replicating_nodes() {
            if target != self.setup.node {
                self.send_group(&target, GroupMessage::Formation(emptied.clone()));
            }
        }
    }

    /// A group of one has nobody to ask.
    pub(super) fn form_alone(&mut self, now: Millis) {
        if self.replicating_nodes() == [self.setup.node.clone()] {
            let own = (self.setup.node.clone(), self.setup.replica);
            self.probe_answered(own.0, own.1, None, now);
        }
    }
}
