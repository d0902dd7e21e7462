//! Orders that this node sends to shard owners, and orders that it batches as a shard owner.

use crate::gateway::actor::GatewayActor;
use crate::gateway::call_types::new_call_id;
use crate::gateway::owners::OwnerAction;
use crate::gateway::submitted_orders::OrderAnswer;
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
    /// Probes shard owners that have not answered an order, and ejects those that stay silent.
    pub(super) fn check_silent_owners(&mut self, now: Millis) {
        let mut has_changed = self.owner_monitor.expire(now);
        for (owner, (work, since)) in self.submitted_orders.oldest_by_owner() {
            if owner == self.node {
                continue;
            }
            match self.owner_monitor.check(&owner, since, now) {
                OwnerAction::Wait => {}
                OwnerAction::Probe => {
                    if let Some(phase) = self.submitted_orders.current_phase(work, now) {
                        self.send_work_message(&owner, WorkMessage::Submit { work, phase });
                    }
                }
                OwnerAction::Eject => {
                    has_changed = true;
                    self.setup.log.record(LogEvent::Dependency {
                        name: format!("batching node {owner}"),
                        works: false,
                        detail: format!(
                            "has not answered an order for {} ms",
                            now.saturating_sub(since)
                        ),
                    });
                }
            }
        }
        if has_changed {
            self.refresh_shard_owners(now);
        }
    }

    pub(super) fn report_inputs_read(&mut self, now: Millis) {
        for OrderKey { node, work } in self.batcher.inputs_read(now) {
            if node == self.node {
                self.handle_inputs_read(work, now);
            } else {
                self.send_work_message(&node, WorkMessage::InputsRead { work });
            }
        }
    }

    pub(super) fn handle_inputs_read(&mut self, work: WorkId, now: Millis) {
        let actions = self.dispatcher.inputs_read(work);
        self.apply_actions(actions, now);
    }

    pub(super) fn submit_order(
        &mut self,
        work: WorkId,
        request: &str,
        phase: PhaseWork,
        now: Millis,
    ) {
        let placement = self.place_order(work, &phase, now);
        self.record_submission(request, &phase, placement.as_ref());
        match placement {
            Some((shard, owner)) => {
                self.assign_order(work, owner, PhaseWork { shard, ..phase }, now)
            }
            None => self.orders_without_owner.add(work, phase, now),
        }
    }

    fn assign_order(&mut self, work: WorkId, owner: NodeName, phase: PhaseWork, now: Millis) {
        let announced_to = self.announced_to.remove(&work);
        if let Some(former_owner) = announced_to.filter(|announced_owner| *announced_owner != owner)
        {
            self.cancel_order_at(&former_owner, work);
        }
        self.submitted_orders
            .record_submission(work, owner.clone(), phase.clone(), now);
        self.send_order(work, &owner, phase, now);
    }

    pub(super) fn send_order(
        &mut self,
        work: WorkId,
        owner: &NodeName,
        phase: PhaseWork,
        now: Millis,
    ) {
        let phase = self.with_current_regions(work, phase);
        if *owner != self.node {
            self.send_work_message(owner, WorkMessage::Submit { work, phase });
            return;
        }
        let key = OrderKey {
            node: self.node.clone(),
            work,
        };
        self.accept_order(key, phase, now);
    }

    /// Places orders that waited for a shard owner or for back ends. Those whose wait has expired
    /// fail.
    pub(super) fn place_waiting_orders(&mut self, now: Millis) {
        let owners = &self.shard_owners;
        let is_owned = |service: &str| owners.keys().any(|shard| shard.service == service);
        let due = self
            .orders_without_owner
            .take_due(|phase| is_owned(&phase.shard.service), now);
        for (work, phase) in due {
            match self.place_order(work, &phase, now) {
                Some((shard, owner)) => {
                    self.assign_order(work, owner, PhaseWork { shard, ..phase }, now)
                }
                None => {
                    let no_backend = Err(PieceFailure::NoBackend);
                    let actions = self.dispatcher.phase_done(work, no_backend, now);
                    self.apply_actions(actions, now);
                }
            }
        }
        let instances = &self.dispatcher.instances;
        let is_ready =
            |phase: &PhaseWork| has_known_backend(self.traffic_version, instances, &phase.shard);
        for (key, phase) in self.orders_without_backend.take_due(is_ready, now) {
            self.batch_order(key, phase, now);
        }
    }

    /// Batches an order on this node. A process that has just started may not know the back ends
    /// of the shard yet, so that the order waits for them.
    pub(super) fn accept_order(&mut self, key: OrderKey, phase: PhaseWork, now: Millis) {
        let instances = &self.dispatcher.instances;
        if has_known_backend(self.traffic_version, instances, &phase.shard) {
            self.batch_order(key, phase, now);
        } else {
            self.orders_without_backend.add(key, phase, now);
        }
    }

    fn batch_order(&mut self, key: OrderKey, phase: PhaseWork, now: Millis) {
        let table = &self.dispatcher.instances;
        let shard = phase.shard.clone();
        let result = match self.dispatcher.quarantine.refuses(&phase.fingerprint) {
            true => Err(PieceFailure::Quarantined),
            false => self.batcher.submit(key.clone(), phase, table, now),
        };
        if let Err(failure) = result {
            let rejected = FinishedOrder {
                key,
                shard,
                result: Err(failure),
            };
            self.handle_finished_orders(vec![rejected], now);
        }
    }

    /// Announces an upcoming order to its shard owner.
    pub(super) fn announce_order(
        &mut self,
        work: WorkId,
        order: AnnouncedOrder,
        regions: &RegionFilter,
        now: Millis,
    ) {
        let placement_request = PlacementRequest {
            zone: "",
            moved_bytes: 0,
            priority: order.priority,
            random_seed: work,
        };
        let Some((shard, owner)) =
            self.choose_shard(&order.shard.service, &placement_request, regions, now)
        else {
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
        self.send_work_message(&owner, message);
    }

    /// Cancels an order that was sent or announced.
    pub(super) fn cancel_order(&mut self, work: WorkId) {
        let announced_to = self.announced_to.remove(&work);
        if self.orders_without_owner.remove(&work) {
            return;
        }
        let submitted_to = self.submitted_orders.remove(work);
        if let Some(owner) = submitted_to.or(announced_to) {
            self.cancel_order_at(&owner, work);
        }
    }

    fn cancel_order_at(&mut self, owner: &NodeName, work: WorkId) {
        if *owner == self.node {
            let node = self.node.clone();
            self.remove_order(&OrderKey { node, work });
        } else {
            self.send_work_message(owner, WorkMessage::Cancel { work });
        }
    }

    fn remove_order(&mut self, key: &OrderKey) {
        self.orders_without_backend.remove(key);
        self.batcher.cancel(key);
    }

    pub(super) fn release_results_at(&mut self, owner: &NodeName, handles: Vec<ResultHandle>) {
        if handles.is_empty() {
            return;
        }
        if *owner == self.node {
            self.batcher.release(&handles);
        } else {
            self.send_work_message(owner, WorkMessage::Release { handles });
        }
    }

    pub(super) fn send_work_message(&mut self, to: &NodeName, message: WorkMessage) {
        let mut outbox = self.setup.outbox.borrow_mut();
        outbox.send(to, PeerMessage::Work(message));
    }

    /// Handles an order from another node, or an answer to an order of this node.
    pub fn handle_work_message(&mut self, cx: CX![], from: NodeName, message: WorkMessage) {
        let now = self.now(cx);
        self.renew_rollout_permit(now);
        self.owner_monitor.record_message(&from, now);
        match message {
            WorkMessage::Submit { work, phase } => {
                let waits = self.wait_estimates_of(&phase.shard, now);
                self.send_work_message(&from, WorkMessage::Accepted { work, waits });
                self.accept_order(OrderKey { node: from, work }, phase, now);
            }
            WorkMessage::Announce {
                work,
                shard,
                pieces,
                priority,
            } => {
                let waits = self.wait_estimates_of(&shard, now);
                self.send_work_message(&from, WorkMessage::Accepted { work, waits });
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
                self.handle_order_result(&from, work, result, now);
            }
            WorkMessage::InputsRead { work } => self.handle_inputs_read(work, now),
            WorkMessage::Cancel { work } => self.remove_order(&OrderKey { node: from, work }),
            WorkMessage::Release { handles } => self.batcher.release(&handles),
        }
        self.start_batch_calls(now);
        self.request_permits(now);
        self.free_results(now);
    }

    /// Sends an order whose owner has no back end for it to another shard, or to the node that owns
    /// the shard now. Returns `false` if there is neither.
    fn move_order(&mut self, owner: &NodeName, work: WorkId, now: Millis) -> bool {
        if !self.submitted_orders.is_assigned_to(work, owner) || !self.dispatcher.has_order(work) {
            return false;
        }
        let Some(phase) = self.submitted_orders.reassignable_phase(work, now) else {
            return false;
        };
        let may_change_shard = self.submitted_orders.movable_phase(work, now).is_some();
        let placement = self.place_order(work, &phase, now);
        let is_other = |(shard, new_owner): &(Shard, NodeName)| match *shard == phase.shard {
            true => new_owner != owner,
            false => may_change_shard,
        };
        let Some(placement) = placement.filter(is_other) else {
            return false;
        };
        let Some((owner, phase)) = self.submitted_orders.move_to(work, placement, now) else {
            return false;
        };
        self.send_order(work, &owner, phase, now);
        true
    }

    pub(super) fn handle_order_result(
        &mut self,
        owner: &NodeName,
        work: WorkId,
        result: Result<Vec<ResultHandle>, PieceFailure>,
        now: Millis,
    ) {
        if result == Err(PieceFailure::NoBackend) && self.move_order(owner, work, now) {
            return;
        }
        let answer = self
            .submitted_orders
            .record_answer(work, owner, result.is_ok());
        match &answer {
            OrderAnswer::FailedByFormerOwner => return,
            OrderAnswer::CompletedByFormerOwner { current_owner } => {
                self.cancel_order_at(current_owner, work)
            }
            OrderAnswer::Completed | OrderAnswer::Unknown => {}
        }
        let is_needed = answer != OrderAnswer::Unknown && self.dispatcher.has_order(work);
        if !is_needed {
            // The order was cancelled in the meantime.
            self.release_results_at(owner, result.unwrap_or_default());
            return;
        }
        if let Ok(handles) = &result {
            self.result_owners.record(handles, owner, now);
        }
        let actions = self.dispatcher.phase_done(work, result, now);
        self.apply_actions(actions, now);
    }

    pub(super) fn handle_finished_orders(&mut self, finished: Vec<FinishedOrder>, now: Millis) {
        for FinishedOrder { key, shard, result } in finished {
            let work = key.work;
            let waits = self.wait_estimates_of(&shard, now);
            if key.node == self.node {
                self.handle_order_result(&key.node, work, result, now);
                continue;
            }
            let message = WorkMessage::Done {
                work,
                result,
                waits,
            };
            self.send_work_message(&key.node, message);
        }
    }

    /// Resubmits orders whose owner is gone or silent.
    pub(super) fn resubmit_orders(&mut self, now: Millis) {
        if self.submitted_orders.is_empty() {
            return;
        }
        let (live_nodes, monitor) = (&self.node_incarnations, &self.owner_monitor);
        let is_responsive = |owner: &NodeName| {
            let is_live = *owner == self.node || live_nodes.contains_key(owner);
            is_live && !monitor.is_ejected(owner, now)
        };
        let due = self
            .submitted_orders
            .due_for_resubmission(now, is_responsive);
        for work in due {
            let Some(phase) = self.submitted_orders.current_phase(work, now) else {
                continue;
            };
            // An order stays in its shard while the shard has an owner.
            let current = self.current_placement(work, &phase);
            let placement = current.or_else(|| self.place_order(work, &phase, now));
            let Some((former_owner, owner, phase)) =
                self.submitted_orders.resubmit(work, placement, now)
            else {
                continue;
            };
            if former_owner != owner {
                self.cancel_order_at(&former_owner, work);
            }
            self.send_order(work, &owner, phase, now);
        }
    }

    pub(super) fn start_batch_calls(&mut self, now: Millis) {
        let calls = self.batcher.next_calls(&self.dispatcher.instances, now);
        for call in calls {
            self.count_call_start(&call);
            let protocol = &self.setup.protocols.batches;
            let request = protocol.run_call(new_call_id(), &call.name, &call.pieces);
            self.setup.calls.run_batch(call, request);
        }
    }
}

/// Whether this node can batch for the shard, which takes a traffic configuration and a known
/// back end.
fn has_known_backend(traffic: Option<u64>, instances: &InstanceTable, shard: &Shard) -> bool {
    traffic.is_some() && instances.of_shard(shard).next().is_some()
}
