//! The actor's part in shared batches: orders that it gives to batching nodes, and
//! orders that it batches for others.

use crate::gateway::actor::GatewayActor;
use crate::gateway::owners::OwnerStep;
use crate::gateway::works::Answered;
use silversail_consensus::Millis;
use silversail_decisions::Event as LogEvent;
use silversail_model::topology::RegionFilter;
use silversail_model::{NodeName, Shard};
use silversail_peer::{PeerMessage, PhaseWork, PieceFailure, ResultHandle, WorkId, WorkMessage};
use silversail_serving::batcher::{AnnouncedOrder, FinishedOrder, OrderKey};
use silversail_serving::instances::InstanceTable;
use silversail_serving::waits::PlacementRequest;
use stakker::CX;

impl GatewayActor {
    /// Passes over batching nodes that owe an answer and give no sign.
    pub(super) fn watch_owners(&mut self, now: Millis) {
        let mut changed = self.owner_watch.expire(now);
        for (owner, (work, since)) in self.works.owing() {
            if owner == self.node {
                continue;
            }
            match self.owner_watch.look(&owner, since, now) {
                OwnerStep::Wait => {}
                OwnerStep::Ask => {
                    if let Some(phase) = self.works.phase_of(work, now) {
                        self.send_work(&owner, WorkMessage::Submit { work, phase });
                    }
                }
                OwnerStep::PassOver => {
                    changed = true;
                    self.setup.log.record(LogEvent::Dependency {
                        name: format!("batching node {owner}"),
                        works: false,
                        detail: format!("owes an answer for {} ms", now.saturating_sub(since)),
                    });
                }
            }
        }
        if changed {
            self.refresh_owners(now);
        }
    }

    pub(super) fn tell_inputs_read(&mut self, now: Millis) {
        for OrderKey { node, work } in self.batcher.inputs_read(now) {
            if node == self.node {
                self.inputs_read(work, now);
            } else {
                self.send_work(&node, WorkMessage::InputsRead { work });
            }
        }
    }

    pub(super) fn inputs_read(&mut self, work: WorkId, now: Millis) {
        let actions = self.dispatcher.inputs_read(work);
        self.carry_out(actions, now);
    }

    pub(super) fn submit(&mut self, work: WorkId, request: &str, phase: PhaseWork, now: Millis) {
        let placed = self.place_work(work, &phase, now);
        self.note_submitted(request, &phase, placed.as_ref());
        match placed {
            Some((shard, owner)) => self.give(work, owner, PhaseWork { shard, ..phase }, now),
            None => self.unowned.add(work, phase, now),
        }
    }

    fn give(&mut self, work: WorkId, owner: NodeName, phase: PhaseWork, now: Millis) {
        let announced_to = self.announced_to.remove(&work);
        if let Some(other) = announced_to.filter(|other| *other != owner) {
            self.cancel_at(&other, work);
        }
        self.works
            .submitted(work, owner.clone(), phase.clone(), now);
        self.hand_over(work, &owner, phase, now);
    }

    pub(super) fn hand_over(
        &mut self,
        work: WorkId,
        owner: &NodeName,
        phase: PhaseWork,
        now: Millis,
    ) {
        let phase = self.with_current_regions(work, phase);
        if *owner != self.node {
            self.send_work(owner, WorkMessage::Submit { work, phase });
            return;
        }
        let key = OrderKey {
            node: self.node.clone(),
            work,
        };
        self.take_order(key, phase, now);
    }

    /// Places the orders that waited for a batching node or for makers; those that waited
    /// too long fail.
    pub(super) fn place_waiting(&mut self, now: Millis) {
        let owners = &self.owners;
        let is_owned = |service: &str| owners.keys().any(|shard| shard.service == service);
        let due = self
            .unowned
            .take_due(|phase| is_owned(&phase.shard.service), now);
        for (work, phase) in due {
            match self.place_work(work, &phase, now) {
                Some((shard, owner)) => self.give(work, owner, PhaseWork { shard, ..phase }, now),
                None => {
                    let nowhere = Err(PieceFailure::NoBackend);
                    let actions = self.dispatcher.phase_done(work, nowhere, now);
                    self.carry_out(actions, now);
                }
            }
        }
        let makers = &self.dispatcher.instances;
        let is_ready = |phase: &PhaseWork| knows_makers(self.traffic_version, makers, &phase.shard);
        for (key, phase) in self.unready.take_due(is_ready, now) {
            self.batch_order(key, phase, now);
        }
    }

    /// Takes an order for this node to batch. A process that has just started does not
    /// know all makers yet: the order waits a while for them.
    pub(super) fn take_order(&mut self, key: OrderKey, phase: PhaseWork, now: Millis) {
        let makers = &self.dispatcher.instances;
        if knows_makers(self.traffic_version, makers, &phase.shard) {
            self.batch_order(key, phase, now);
        } else {
            self.unready.add(key, phase, now);
        }
    }

    fn batch_order(&mut self, key: OrderKey, phase: PhaseWork, now: Millis) {
        let table = &self.dispatcher.instances;
        let shard = phase.shard.clone();
        let submitted = match self.dispatcher.quarantine.refuses(&phase.fingerprint) {
            true => Err(PieceFailure::Quarantined),
            false => self.batcher.submit(key.clone(), phase, table, now),
        };
        if let Err(failure) = submitted {
            let refused = FinishedOrder {
                key,
                shard,
                result: Err(failure),
            };
            self.orders_finished(vec![refused], now);
        }
    }

    /// Tells the batching node of an order to come.
    pub(super) fn announce(
        &mut self,
        work: WorkId,
        order: AnnouncedOrder,
        regions: &RegionFilter,
        now: Millis,
    ) {
        let to_place = PlacementRequest {
            zone: "",
            moved_bytes: 0,
            priority: order.priority,
            random_seed: work,
        };
        let Some((shard, owner)) = self.place(&order.shard.service, &to_place, regions, now) else {
            return;
        };
        let order = AnnouncedOrder { shard, ..order };
        self.announced_to.insert(work, owner.clone());
        if owner == self.node {
            let node = self.node.clone();
            self.batcher.announce(OrderKey { node, work }, order, now);
            return;
        }
        let message = WorkMessage::Announce {
            work,
            shard: order.shard,
            pieces: order.pieces as u32,
            priority: order.priority,
        };
        self.send_work(&owner, message);
    }

    /// Drops an order that was given or announced.
    pub(super) fn cancel(&mut self, work: WorkId) {
        let announced_to = self.announced_to.remove(&work);
        if self.unowned.remove(&work) {
            return;
        }
        let given_to = self.works.ended(work);
        if let Some(owner) = given_to.or(announced_to) {
            self.cancel_at(&owner, work);
        }
    }

    fn cancel_at(&mut self, owner: &NodeName, work: WorkId) {
        if *owner == self.node {
            let node = self.node.clone();
            self.drop_order(&OrderKey { node, work });
        } else {
            self.send_work(owner, WorkMessage::Cancel { work });
        }
    }

    fn drop_order(&mut self, key: &OrderKey) {
        self.unready.remove(key);
        self.batcher.cancel(key);
    }

    pub(super) fn release_at(&mut self, owner: &NodeName, handles: Vec<ResultHandle>) {
        if handles.is_empty() {
            return;
        }
        if *owner == self.node {
            self.batcher.release(&handles);
        } else {
            self.send_work(owner, WorkMessage::Release { handles });
        }
    }

    pub(super) fn send_work(&mut self, to: &NodeName, message: WorkMessage) {
        let mut outbox = self.setup.outbox.borrow_mut();
        outbox.send(to, PeerMessage::Work(message));
    }

    /// Work that another node hands to this one, or an answer to work of its own.
    pub fn work(&mut self, cx: CX![], from: NodeName, message: WorkMessage) {
        let now = self.now(cx);
        self.renew_rollout_permit(now);
        self.owner_watch.heard(&from, now);
        match message {
            WorkMessage::Submit { work, phase } => {
                let waits = self.waits_of(&phase.shard, now);
                self.send_work(&from, WorkMessage::Accepted { work, waits });
                self.take_order(OrderKey { node: from, work }, phase, now);
            }
            WorkMessage::Announce {
                work,
                shard,
                pieces,
                priority,
            } => {
                let waits = self.waits_of(&shard, now);
                self.send_work(&from, WorkMessage::Accepted { work, waits });
                let order = AnnouncedOrder {
                    shard,
                    pieces: pieces as usize,
                    priority,
                };
                self.batcher
                    .announce(OrderKey { node: from, work }, order, now);
            }
            WorkMessage::Accepted { waits, .. } | WorkMessage::WaitEstimates(waits) => {
                self.dispatcher.set_waits(waits, now);
            }
            WorkMessage::Done {
                work,
                result,
                waits,
            } => {
                self.dispatcher.set_waits(waits, now);
                self.work_done(&from, work, result, now);
            }
            WorkMessage::InputsRead { work } => self.inputs_read(work, now),
            WorkMessage::Cancel { work } => self.drop_order(&OrderKey { node: from, work }),
            WorkMessage::Release { handles } => self.batcher.release(&handles),
        }
        self.start_batches(now);
        self.ask_for_permits(now);
        self.free_results(now);
    }

    /// Gives an order that found no maker in its zone's shard to another shard. False where
    /// none is left.
    fn move_order(&mut self, owner: &NodeName, work: WorkId, now: Millis) -> bool {
        if !self.works.is_owed_by(work, owner) || !self.dispatcher.has_order(work) {
            return false;
        }
        let Some(phase) = self.works.movable_phase(work, now) else {
            return false;
        };
        let placed = self.place_work(work, &phase, now);
        let Some(placed) = placed.filter(|(shard, _)| *shard != phase.shard) else {
            return false;
        };
        let Some((owner, phase)) = self.works.moved(work, placed, now) else {
            return false;
        };
        self.hand_over(work, &owner, phase, now);
        true
    }

    pub(super) fn work_done(
        &mut self,
        owner: &NodeName,
        work: WorkId,
        result: Result<Vec<ResultHandle>, PieceFailure>,
        now: Millis,
    ) {
        if result == Err(PieceFailure::NoBackend) && self.move_order(owner, work, now) {
            return;
        }
        let answered = self.works.answered(work, owner, result.is_ok());
        match &answered {
            Answered::FailedElsewhere => return,
            Answered::MadeElsewhere { present } => self.cancel_at(present, work),
            Answered::Ended | Answered::Unknown => {}
        }
        let is_wanted = answered != Answered::Unknown && self.dispatcher.has_order(work);
        if !is_wanted {
            // Cancelled meanwhile.
            self.release_at(owner, result.unwrap_or_default());
            return;
        }
        let actions = self.dispatcher.phase_done(work, result, now);
        self.carry_out(actions, now);
    }

    pub(super) fn orders_finished(&mut self, finished: Vec<FinishedOrder>, now: Millis) {
        for FinishedOrder { key, shard, result } in finished {
            let work = key.work;
            let waits = self.waits_of(&shard, now);
            if key.node == self.node {
                self.work_done(&key.node, work, result, now);
                continue;
            }
            let done = WorkMessage::Done {
                work,
                result,
                waits,
            };
            self.send_work(&key.node, done);
        }
    }

    /// Gives orders again whose owner is gone or silent.
    pub(super) fn resubmit(&mut self, now: Millis) {
        if self.works.is_empty() {
            return;
        }
        let (present, watch) = (&self.processes, &self.owner_watch);
        let is_reached = |owner: &NodeName| {
            let is_live = *owner == self.node || present.contains_key(owner);
            is_live && !watch.is_passed_over(owner, now)
        };
        let due = self.works.due(now, is_reached);
        for work in due {
            let Some(phase) = self.works.phase_of(work, now) else {
                continue;
            };
            // The shard keeps the order while a node batches it.
            let kept = self.present_place(work, &phase);
            let placed = kept.or_else(|| self.place_work(work, &phase, now));
            let Some((former, owner, phase)) = self.works.renew(work, placed, now) else {
                continue;
            };
            if former != owner {
                self.cancel_at(&former, work);
            }
            self.hand_over(work, &owner, phase, now);
        }
    }

    pub(super) fn start_batches(&mut self, now: Millis) {
        let calls = self.batcher.next_calls(&self.dispatcher.instances, now);
        for call in calls {
            self.note_call(&call);
            let protocol = &self.setup.protocols.batches;
            let request = protocol.run_call(&call.name, &call.pieces);
            self.setup.calls.run_batch(call, request);
        }
    }
}

/// Whether this node can batch for a shard: it has a configuration and a list that
/// names makers.
fn knows_makers(traffic: Option<u64>, makers: &InstanceTable, shard: &Shard) -> bool {
    traffic.is_some() && makers.of_shard(shard).next().is_some()
}
