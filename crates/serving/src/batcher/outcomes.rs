//! Completion and failure of orders: outcomes of calls, deadlines, unavailable back ends.

use super::{Batcher, CallId, CallOutcome, CallState, FinishedOrder, Order, OrderKey, PieceState};
use crate::batcher::backend_health::{call_ms, FinishedCall};
use crate::instances::InstanceTable;
use crate::ports::PieceResults;
use crate::quarantine::RequestQuarantine;
use crate::Millis;
use silversail_decisions::Event;
use silversail_model::topology::RegionFilter;
use silversail_model::Shard;
use silversail_peer::{PieceFailure, ResultHandle};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of calls in which a piece is tried.
const MAX_CALLS_OF_PIECE: u32 = 3;

impl Batcher {
    /// Rejects the orders whose shard `is_rejected`, including those with calls in flight.
    pub fn reject_orders_of(&mut self, is_rejected: impl Fn(&Shard) -> bool) -> Vec<FinishedOrder> {
        let orders = self.orders.iter();
        let rejected = orders.filter(|(_, order)| is_rejected(&order.work.shard));
        let rejected: Vec<OrderKey> = rejected.map(|(key, _)| key.clone()).collect();
        rejected
            .iter()
            .filter_map(|key| self.fail(key, PieceFailure::NoBackend))
            .collect()
    }

    /// Processes the outcome of a call and returns the orders that ended with it.
    pub fn call_ended(
        &mut self,
        call: CallId,
        outcome: CallOutcome,
        now: Millis,
    ) -> Vec<FinishedOrder> {
        let Some(state) = self.calls.remove(&call) else {
            return Vec::new();
        };
        self.result_memory
            .unreserve(&state.instance, state.result_bytes);
        self.log.record(Event::BatchEnded {
            backend: state.instance.clone(),
            outcome: outcome_text(&outcome),
            took_ms: now.saturating_sub(state.began_at),
        });
        self.record_call_outcome(&state, &outcome, now);
        match outcome {
            CallOutcome::Answered(results) => self.answered(&state, results, now),
            CallOutcome::NotRun
            | CallOutcome::Unreachable
            | CallOutcome::BackendUnavailable
            | CallOutcome::AddressMismatch => self.requeue(&state, false),
            CallOutcome::ForeignAnswer | CallOutcome::Unknown => self.requeue(&state, true),
        }
    }

    fn record_call_outcome(&mut self, call: &CallState, outcome: &CallOutcome, now: Millis) {
        let Some(spec) = self.specs.get(&call.shard.service) else {
            return;
        };
        let ended = FinishedCall {
            backend: &call.instance,
            service: &call.shard.service,
            version: &call.version,
            took_ms: now.saturating_sub(call.began_at),
            expected_ms: call_ms(spec, call.members.len()),
        };
        self.backends.call_ended(&ended, outcome, now);
        if let Some(counted) = call.counted {
            let normal_ms = spec.call_ms;
            self.rollouts
                .count_call_end(counted, &ended, normal_ms, outcome);
        }
    }

    fn answered(
        &mut self,
        call: &CallState,
        results: PieceResults,
        now: Millis,
    ) -> Vec<FinishedOrder> {
        let lifetime = self
            .specs
            .get(&call.shard.service)
            .map_or(0, |spec| spec.result_lifetime_ms);
        let mut finished = Vec::new();
        for ((key, index), result) in call.members.iter().zip(results) {
            if let Ok(handle) = &result {
                let bytes = self.bytes_of(key, *index);
                self.result_memory
                    .add_result(key, &call.instance, handle, bytes, now + lifetime);
            }
            if let Some(failure) = self.take_result(key, *index, result, &call.instance, now) {
                finished.extend(self.fail(key, failure));
            }
        }
        self.collect_completed(&call.members, &mut finished);
        finished
    }

    fn bytes_of(&self, key: &OrderKey, index: usize) -> u64 {
        let order = self.orders.get(key);
        order.map_or(0, |order| order.work.pieces[index].result_bytes)
    }

    /// Stores the result of a piece. Returns the failure that ends its order, if any.
    fn take_result(
        &mut self,
        key: &OrderKey,
        index: usize,
        result: Result<ResultHandle, PieceFailure>,
        backend: &str,
        now: Millis,
    ) -> Option<PieceFailure> {
        let Some(order) = self.orders.get_mut(key) else {
            // The order was cancelled while the call ran.
            if let Ok(handle) = result {
                self.result_memory.release(&[handle]);
            }
            return None;
        };
        match result {
            Ok(handle) => {
                order.set_state(index, PieceState::Completed(handle));
                None
            }
            Err(PieceFailure::NoRoom) => {
                self.backends.record_rejection(backend, now);
                order.requeue(index, false, MAX_CALLS_OF_PIECE)
            }
            Err(PieceFailure::Failed) => order.requeue(index, true, MAX_CALLS_OF_PIECE),
            Err(failure) => Some(failure),
        }
    }

    fn requeue(&mut self, call: &CallState, counts: bool) -> Vec<FinishedOrder> {
        let mut finished = Vec::new();
        for (key, index) in &call.members {
            let order = self.orders.get_mut(key);
            let failure = order.and_then(|order| order.requeue(*index, counts, MAX_CALLS_OF_PIECE));
            if let Some(failure) = failure {
                finished.extend(self.fail(key, failure));
            }
        }
        finished
    }

    fn fail(&mut self, key: &OrderKey, failure: PieceFailure) -> Option<FinishedOrder> {
        let order = self.remove_order(key)?;
        self.result_memory.release(&order.results());
        Some(FinishedOrder {
            key: key.clone(),
            shard: order.work.shard,
            result: Err(failure),
        })
    }

    fn collect_completed(
        &mut self,
        members: &[(OrderKey, usize)],
        finished: &mut Vec<FinishedOrder>,
    ) {
        for (key, _) in members {
            let is_complete = self.orders.get(key).is_some_and(Order::is_complete);
            if !is_complete {
                continue;
            }
            if let Some(order) = self.remove_order(key) {
                finished.push(FinishedOrder {
                    key: key.clone(),
                    result: Ok(order.results()),
                    shard: order.work.shard,
                });
            }
        }
    }

    /// Fails the orders whose deadline has passed.
    pub fn expire(&mut self, now: Millis) -> Vec<FinishedOrder> {
        self.announced.expire(now);
        let late = self
            .orders
            .iter()
            .filter(|(_, order)| order.deadline <= now);
        let late: Vec<OrderKey> = late.map(|(key, _)| key.clone()).collect();
        late.iter()
            .filter_map(|key| self.fail(key, PieceFailure::Late))
            .collect()
    }

    /// Fails the waiting orders of quarantined requests.
    pub fn reject_quarantined(&mut self, quarantine: &RequestQuarantine) -> Vec<FinishedOrder> {
        let orders = self.orders.iter().filter(|(_, order)| order.is_waiting());
        let refused = orders.filter(|(_, order)| quarantine.refuses(&order.work.fingerprint));
        let refused: Vec<OrderKey> = refused.map(|(key, _)| key.clone()).collect();
        refused
            .iter()
            .filter_map(|key| self.fail(key, PieceFailure::Quarantined))
            .collect()
    }

    /// Fails the waiting orders whose deadline passes before any back end of their shard ends
    /// its back-off, so that submitters learn it at once.
    pub fn reject_orders_delayed_by_backoff(
        &mut self,
        table: &InstanceTable,
        now: Millis,
    ) -> Vec<FinishedOrder> {
        let backoffs = self.shards.keys().map(|shard| {
            let backoff_ms = self.backends.backoff_ms(shard, table, now);
            (shard.clone(), backoff_ms)
        });
        let backoffs: BTreeMap<Shard, Millis> =
            backoffs.filter(|(_, backoff_ms)| *backoff_ms > 0).collect();
        let is_too_late = |order: &Order| {
            let backoff_ms = backoffs.get(&order.work.shard).copied();
            backoff_ms.is_some_and(|backoff_ms| now.saturating_add(backoff_ms) >= order.deadline)
        };
        let orders = self.orders.iter().filter(|(_, order)| order.is_waiting());
        let ended = orders.filter(|(_, order)| is_too_late(order));
        let ended: Vec<OrderKey> = ended.map(|(key, _)| key.clone()).collect();
        ended
            .iter()
            .filter_map(|key| self.fail(key, PieceFailure::Overloaded))
            .collect()
    }

    /// Fails the waiting orders that no back end of their shard may process, because all shut
    /// down or have ended, their zone is evacuated or their region is not allowed. The submitter can
    /// then use another shard or reject the request.
    pub fn reject_orders_without_backend(
        &mut self,
        table: &InstanceTable,
        now: Millis,
    ) -> Vec<FinishedOrder> {
        let any = RegionFilter::any();
        let lacks_backends = |shard: &&Shard| !self.has_eligible_backend(shard, &any, table, now);
        let shards_without_backend: BTreeSet<Shard> =
            self.shards.keys().filter(lacks_backends).cloned().collect();
        let has_no_allowed_backend = |order: &Order| {
            let regions = &order.work.regions;
            let shard = &order.work.shard;
            regions.is_restricted() && !self.has_eligible_backend(shard, regions, table, now)
        };
        let orders = self.orders.iter().filter(|(_, order)| order.is_waiting());
        let ended = orders.filter(|(_, order)| {
            shards_without_backend.contains(&order.work.shard) || has_no_allowed_backend(order)
        });
        let ended: Vec<OrderKey> = ended.map(|(key, _)| key.clone()).collect();
        ended
            .iter()
            .filter_map(|key| self.fail(key, PieceFailure::NoBackend))
            .collect()
    }
}

/// Outcome of a call for the decision log, with a count for each kind of piece failure.
fn outcome_text(outcome: &CallOutcome) -> String {
    let results = match outcome {
        CallOutcome::Answered(results) => results,
        CallOutcome::NotRun => return "not_run".to_owned(),
        CallOutcome::Unreachable => return "unreachable".to_owned(),
        CallOutcome::BackendUnavailable => return "withheld".to_owned(),
        CallOutcome::AddressMismatch => return "address_mismatch".to_owned(),
        CallOutcome::ForeignAnswer => return "foreign_answer".to_owned(),
        CallOutcome::Unknown => return "unknown".to_owned(),
    };
    let mut failures: BTreeMap<PieceFailure, usize> = BTreeMap::new();
    for failure in results.iter().filter_map(|result| result.as_ref().err()) {
        *failures.entry(*failure).or_default() += 1;
    }
    if failures.is_empty() {
        return "made".to_owned();
    }
    let counts: Vec<String> = failures
        .iter()
        .map(|(failure, count)| format!("{failure:?}={count}"))
        .collect();
    format!("made_in_part {}", counts.join(" "))
}
