//! What ends orders: the outcomes of calls, time that is over, makers that are gone.

use super::{Batcher, CallId, CallOutcome, CallState, FinishedOrder, Order, OrderKey, PieceState};
use crate::batcher::makers::{call_ms, EndedCall};
use crate::instances::InstanceTable;
use crate::ports::PieceResults;
use crate::quarantine::RequestQuarantine;
use crate::Millis;
use silversail_decisions::Event;
use silversail_model::topology::RegionFilter;
use silversail_model::Shard;
use silversail_peer::{PieceFailure, ResultHandle};
use std::collections::{BTreeMap, BTreeSet};

/// Most calls that a piece takes part in.
const MAX_CALLS_OF_PIECE: u32 = 3;

impl Batcher {
    /// A call ended. Returns the orders that ended with it.
    pub fn call_ended(
        &mut self,
        call: CallId,
        outcome: CallOutcome,
        now: Millis,
    ) -> Vec<FinishedOrder> {
        let Some(state) = self.calls.remove(&call) else {
            return Vec::new();
        };
        self.room.unreserve(&state.instance, state.room);
        self.log.record(Event::BatchEnded {
            backend: state.instance.clone(),
            outcome: outcome_text(&outcome),
            took_ms: now.saturating_sub(state.began_at),
        });
        self.note_maker(&state, &outcome, now);
        match outcome {
            CallOutcome::Answered(results) => self.answered(&state, results, now),
            CallOutcome::NotRun | CallOutcome::Unreachable | CallOutcome::Withheld => {
                self.put_back(&state, false)
            }
            CallOutcome::Unknown => self.put_back(&state, true),
        }
    }

    fn note_maker(&mut self, call: &CallState, outcome: &CallOutcome, now: Millis) {
        let Some(spec) = self.specs.get(&call.shard.service) else {
            return;
        };
        let ended = EndedCall {
            maker: &call.instance,
            service: &call.shard.service,
            version: &call.version,
            took_ms: now.saturating_sub(call.began_at),
            expected_ms: call_ms(spec, call.members.len()),
        };
        self.makers.call_ended(&ended, outcome, now);
        if let Some(counted) = call.counted {
            let usual_ms = spec.call_ms;
            self.rollouts
                .count_call_end(counted, &ended, usual_ms, outcome);
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
                self.room
                    .hold(key, &call.instance, handle, bytes, now + lifetime);
            }
            if let Some(failure) = self.take_result(key, *index, result, &call.instance, now) {
                finished.extend(self.fail(key, failure));
            }
        }
        self.collect_whole(&call.members, &mut finished);
        finished
    }

    fn bytes_of(&self, key: &OrderKey, index: usize) -> u64 {
        let order = self.orders.get(key);
        order.map_or(0, |order| order.work.pieces[index].result_bytes)
    }

    /// Takes a piece's result; returns why its order can't go on.
    fn take_result(
        &mut self,
        key: &OrderKey,
        index: usize,
        result: Result<ResultHandle, PieceFailure>,
        maker: &str,
        now: Millis,
    ) -> Option<PieceFailure> {
        let Some(order) = self.orders.get_mut(key) else {
            // Cancelled while the call ran.
            if let Ok(handle) = result {
                self.room.release(&[handle]);
            }
            return None;
        };
        match result {
            Ok(handle) => {
                order.set_state(index, PieceState::Made(handle));
                None
            }
            Err(PieceFailure::NoRoom) => {
                self.makers.refused(maker, now);
                order.put_back(index, false, MAX_CALLS_OF_PIECE)
            }
            Err(PieceFailure::Failed) => order.put_back(index, true, MAX_CALLS_OF_PIECE),
            Err(failure) => Some(failure),
        }
    }

    fn put_back(&mut self, call: &CallState, counts: bool) -> Vec<FinishedOrder> {
        let mut finished = Vec::new();
        for (key, index) in &call.members {
            let order = self.orders.get_mut(key);
            let failure =
                order.and_then(|order| order.put_back(*index, counts, MAX_CALLS_OF_PIECE));
            if let Some(failure) = failure {
                finished.extend(self.fail(key, failure));
            }
        }
        finished
    }

    fn fail(&mut self, key: &OrderKey, failure: PieceFailure) -> Option<FinishedOrder> {
        let order = self.remove_order(key)?;
        self.room.release(&order.made());
        Some(FinishedOrder {
            key: key.clone(),
            shard: order.work.shard,
            result: Err(failure),
        })
    }

    fn collect_whole(&mut self, members: &[(OrderKey, usize)], finished: &mut Vec<FinishedOrder>) {
        for (key, _) in members {
            let is_whole = self.orders.get(key).is_some_and(Order::is_whole);
            if !is_whole {
                continue;
            }
            if let Some(order) = self.remove_order(key) {
                finished.push(FinishedOrder {
                    key: key.clone(),
                    result: Ok(order.made()),
                    shard: order.work.shard,
                });
            }
        }
    }

    /// Ends the orders whose time is over.
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

    /// Ends the waiting orders of requests that `quarantine` refuses by now.
    pub fn end_quarantined(&mut self, quarantine: &RequestQuarantine) -> Vec<FinishedOrder> {
        let orders = self.orders.iter().filter(|(_, order)| order.is_waiting());
        let refused = orders.filter(|(_, order)| quarantine.refuses(&order.work.fingerprint));
        let refused: Vec<OrderKey> = refused.map(|(key, _)| key.clone()).collect();
        refused
            .iter()
            .filter_map(|key| self.fail(key, PieceFailure::Quarantined))
            .collect()
    }

    /// Ends the waiting orders that no maker takes in time, as all of their shard rest: whoever
    /// gave them is told so at once.
    pub fn end_late_by_rests(&mut self, table: &InstanceTable, now: Millis) -> Vec<FinishedOrder> {
        let rests = self.shards.keys().map(|shard| {
            let rest = self.makers.rest_ms(shard, table, now);
            (shard.clone(), rest)
        });
        let rests: BTreeMap<Shard, Millis> = rests.filter(|(_, rest)| *rest > 0).collect();
        let is_too_late = |order: &Order| {
            let rest = rests.get(&order.work.shard).copied();
            rest.is_some_and(|rest| now.saturating_add(rest) >= order.deadline)
        };
        let orders = self.orders.iter().filter(|(_, order)| order.is_waiting());
        let ended = orders.filter(|(_, order)| is_too_late(order));
        let ended: Vec<OrderKey> = ended.map(|(key, _)| key.clone()).collect();
        ended
            .iter()
            .filter_map(|key| self.fail(key, PieceFailure::Overloaded))
            .collect()
    }

    /// Ends the waiting orders of shards whose makers may get no work any more, as they leave
    /// or their zone is evacuated: whoever gave them can give them to another shard, or refuse
    /// at once. So do those that none of the shard's makers may make where they lie.
    pub fn end_unstaffed(&mut self, table: &InstanceTable) -> Vec<FinishedOrder> {
        let any = RegionFilter::any();
        let is_unstaffed = |shard: &&Shard| !self.is_staffed(shard, &any, table);
        let unstaffed: BTreeSet<Shard> = self.shards.keys().filter(is_unstaffed).cloned().collect();
        let is_left_out = |order: &Order| {
            let regions = &order.work.regions;
            regions.is_restricted() && !self.is_staffed(&order.work.shard, regions, table)
        };
        let orders = self.orders.iter().filter(|(_, order)| order.is_waiting());
        let ended =
            orders.filter(|(_, order)| unstaffed.contains(&order.work.shard) || is_left_out(order));
        let ended: Vec<OrderKey> = ended.map(|(key, _)| key.clone()).collect();
        ended
            .iter()
            .filter_map(|key| self.fail(key, PieceFailure::NoBackend))
            .collect()
    }
}

/// What a call came to, for the log; for each way in which pieces failed, how many.
fn outcome_text(outcome: &CallOutcome) -> String {
    let results = match outcome {
        CallOutcome::Answered(results) => results,
        CallOutcome::NotRun => return "not_run".to_owned(),
        CallOutcome::Unreachable => return "unreachable".to_owned(),
        CallOutcome::Withheld => return "withheld".to_owned(),
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
