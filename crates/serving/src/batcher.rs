//! Which pieces share a call. One node batches all pieces of a service: a call
//! costs most of its time whatever it carries, so pieces of different requests,
//! taken in by different nodes, go together.
//!
//! An idle back end gets what waits at once; while all are busy, pieces gather.
//! Pieces may be made again, so a batch whose fate is unknown is sent once more.

mod announced;
mod estimate;
mod makers;
mod order;
mod room;
mod schedule;

use crate::instances::{Instance, InstanceTable};
use crate::policy::Policy;
use crate::ports::PieceResults;
use crate::Millis;
pub use announced::AnnouncedOrder;
use announced::AnnouncedOrders;
use estimate::Pace;
use makers::{call_ms, MakerBook};
use order::{Order, PieceState};
use room::RoomBook;
use silversail_decisions::{DecisionLog, Event};
use silversail_model::traffic::BatchSpec;
use silversail_model::{NodeName, Shard};
use silversail_peer::{PhaseWork, Piece, PieceFailure, ResultHandle, WorkId};
use std::collections::{BTreeMap, BTreeSet};

/// Most calls that a piece takes part in.
const MAX_CALLS_OF_PIECE: u32 = 3;
/// How long the results of the node that batched before are assumed to take half of
/// the room, in milliseconds.
const FORMER_OWNER_FOR: Millis = 1_000;
/// Identifies an order of work by the node that gave it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderKey {
    /// The node.
    pub node: NodeName,
    /// The order at that node's process.
    pub work: WorkId,
}

/// Identifies a call of this node.
pub type CallId = u64;

/// A call to be made.
#[derive(Clone, Debug, PartialEq)]
pub struct BatchCall {
    /// Identifies the call.
    pub call: CallId,
    /// Identity of the back end.
    pub instance: String,
    /// Its address.
    pub address: String,
    /// The pieces, each with the milliseconds that remain for it.
    pub pieces: Vec<(Piece, u64)>,
}

/// What a call came to.
#[derive(Clone, Debug, PartialEq)]
pub enum CallOutcome {
    /// It was answered, piece by piece.
    Answered(PieceResults),
    /// The back end said that it did not run.
    NotRun,
    /// The back end was not reached: nothing was sent.
    Unreachable,
    /// It may have run.
    Unknown,
}

/// An order that ended.
#[derive(Clone, Debug, PartialEq)]
pub struct FinishedOrder {
    /// The order.
    pub key: OrderKey,
    /// The back ends that were to do it.
    pub shard: Shard,
    /// The results in the order of the pieces, or why there are none.
    pub result: Result<Vec<ResultHandle>, PieceFailure>,
}

struct CallState {
    instance: String,
    shard: Shard,
    members: Vec<(OrderKey, usize)>,
    room: u64,
    began_at: Millis,
}

/// Batches the pieces of the services that this node owns.
pub struct Batcher {
    specs: BTreeMap<String, BatchSpec>,
    orders: BTreeMap<OrderKey, Order>,
    /// How many orders each shard has, so that a message costs no look at all orders.
    shards: BTreeMap<Shard, usize>,
    calls: BTreeMap<CallId, CallState>,
    makers: MakerBook,
    room: RoomBook,
    announced: AnnouncedOrders,
    paces: BTreeMap<Shard, Pace>,
    policy: Policy,
    housekeeping_at: Millis,
    next_call: CallId,
    log: DecisionLog,
}

impl Batcher {
    /// A batcher without services.
    pub fn new(policy: Policy, log: DecisionLog) -> Self {
        Self {
            specs: BTreeMap::new(),
            orders: BTreeMap::new(),
            shards: BTreeMap::new(),
            calls: BTreeMap::new(),
            makers: MakerBook::new(policy, log.clone()),
            room: RoomBook::default(),
            announced: AnnouncedOrders::default(),
            paces: BTreeMap::new(),
            policy,
            housekeeping_at: 0,
            next_call: 1,
            log,
        }
    }

    /// Takes what each service's back ends can do.
    pub fn set_specs(&mut self, specs: BTreeMap<String, BatchSpec>) {
        self.specs = specs;
    }

    /// Takes in that an order is to come.
    pub fn announce(&mut self, key: OrderKey, order: AnnouncedOrder, now: Millis) {
        self.announced.add(key, order, now);
    }

    /// Takes an order. An error refuses it at once.
    pub fn submit(
        &mut self,
        key: OrderKey,
        work: PhaseWork,
        table: &InstanceTable,
        now: Millis,
    ) -> Result<(), PieceFailure> {
        self.announced.remove(&key);
        let rank = work.priority;
        let expected = self.expected_ms(&work.shard, work.pieces.len(), rank, table, now)?;
        if expected > work.remaining_ms {
            return Err(PieceFailure::Overloaded);
        }
        // An order that is given again is still the same order.
        if !self.orders.contains_key(&key) {
            *self.shards.entry(work.shard.clone()).or_default() += 1;
            self.orders.insert(key, Order::new(work, self.policy, now));
        }
        Ok(())
    }

    fn remove_order(&mut self, key: &OrderKey) -> Option<Order> {
        let order = self.orders.remove(key)?;
        if let Some(count) = self.shards.get_mut(&order.work.shard) {
            *count -= 1;
            if *count == 0 {
                self.shards.remove(&order.work.shard);
            }
        }
        Some(order)
    }

    fn waiting_of<'a>(&'a self, shard: &'a Shard) -> impl Iterator<Item = &'a Order> {
        let orders = self.orders.values();
        orders.filter(move |order| order.work.shard == *shard)
    }

    /// Forgets an order; its results are freed, also those still to come.
    pub fn cancel(&mut self, key: &OrderKey) {
        self.announced.remove(key);
        if let Some(order) = self.remove_order(key) {
            self.room.release(&order.made());
        }
    }

    /// This node batches a shard from now on: what the results of the node before
    /// take at the makers is not known here.
    pub fn take_over(&mut self, shard: &Shard, table: &InstanceTable, now: Millis) {
        let room = self.room_of(&shard.service);
        for maker in table.of_shard(shard) {
            let id = &maker.listed.id;
            let until = now + FORMER_OWNER_FOR;
            self.makers.put_at_risk(id, FORMER_OWNER_FOR, now);
            self.room.assume_taken(id, room / 2, until);
        }
    }

    /// Forgets the orders of a process that is gone, those with numbers below
    /// `first_work`, and frees their results.
    pub fn forget_process(&mut self, node: &NodeName, first_work: WorkId) {
        let is_theirs = |key: &OrderKey| key.node == *node && key.work < first_work;
        let keys: Vec<OrderKey> = self
            .orders
            .keys()
            .filter(|key| is_theirs(key))
            .cloned()
            .collect();
        for key in keys {
            self.cancel(&key);
        }
        self.announced.forget(is_theirs);
        self.room.release_of(is_theirs);
    }

    /// Frees results.
    pub fn release(&mut self, handles: &[ResultHandle]) {
        self.room.release(handles);
    }

    /// Makers said that they freed results.
    pub fn freed(&mut self, handles: &[ResultHandle]) {
        self.room.freed(handles);
    }

    /// Results to be freed at their makers.
    pub fn take_releases(&mut self) -> Vec<ResultHandle> {
        self.room.take_releases()
    }

    fn start(
        &mut self,
        shard: &Shard,
        maker: &str,
        members: Vec<(OrderKey, usize)>,
        table: &InstanceTable,
        now: Millis,
    ) -> BatchCall {
        let call = self.next_call;
        self.next_call += 1;
        let mut pieces = Vec::new();
        let mut room = 0;
        for (key, index) in &members {
            let Some(order) = self.orders.get_mut(key) else {
                continue;
            };
            order.set_state(*index, PieceState::InCall(call));
            order.is_at_risk |= self.makers.is_at_risk(maker, now);
            if order.waiting_pieces() == 0 {
                order.all_called_at = Some(now);
            }
            let piece = order.work.pieces[*index].clone();
            room += piece.result_bytes;
            pieces.push((piece, order.deadline.saturating_sub(now)));
        }
        self.room.reserve(maker, room);
        let address = table
            .get(maker)
            .map(|one| one.listed.address.clone())
            .unwrap_or_default();
        let waiting = self.waiting_of(shard).map(Order::waiting_pieces).sum();
        self.log.record(Event::BatchSent {
            backend: maker.to_owned(),
            service: shard.service.clone(),
            pieces: pieces.len(),
            waiting,
            room_taken: self.room.taken(maker),
            requests: distinct_requests(&pieces),
        });
        let state = CallState {
            instance: maker.to_owned(),
            shard: shard.clone(),
            members,
            room,
            began_at: now,
        };
        self.calls.insert(call, state);
        BatchCall {
            call,
            instance: maker.to_owned(),
            address,
            pieces,
        }
    }

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
            CallOutcome::NotRun | CallOutcome::Unreachable => self.put_back(&state, false),
            CallOutcome::Unknown => self.put_back(&state, true),
        }
    }

    fn note_maker(&mut self, call: &CallState, outcome: &CallOutcome, now: Millis) {
        let Some(spec) = self.specs.get(&call.shard.service) else {
            return;
        };
        let expected = call_ms(spec, call.members.len());
        let took = now.saturating_sub(call.began_at);
        self.makers.call_ended(
            &call.instance,
            &call.shard.service,
            outcome,
            took,
            expected,
            now,
        );
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

    fn room_of(&self, service: &str) -> u64 {
        self.specs.get(service).map_or(0, |spec| spec.room_bytes)
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

    /// Ends the waiting orders of shards whose makers may get no work any more, as they leave
    /// or their zone is evacuated: whoever gave them can give them to another shard, or refuse
    /// at once.
    pub fn end_unstaffed(&mut self, table: &InstanceTable) -> Vec<FinishedOrder> {
        let is_unstaffed = |shard: &&Shard| !table.of_shard(shard).any(Instance::takes_work);
        let unstaffed: BTreeSet<Shard> = self.shards.keys().filter(is_unstaffed).cloned().collect();
        if unstaffed.is_empty() {
            return Vec::new();
        }
        let orders = self.orders.iter();
        let ended =
            orders.filter(|(_, order)| order.is_waiting() && unstaffed.contains(&order.work.shard));
        let ended: Vec<OrderKey> = ended.map(|(key, _)| key.clone()).collect();
        ended
            .iter()
            .filter_map(|key| self.fail(key, PieceFailure::NoBackend))
            .collect()
    }

    /// Orders whose back ends have read all inputs by now: their calls began at
    /// once, as no other waited there, and inputs are read first. The inputs can
    /// be freed; each order is told once. Orders at risk are not told: a piece that is
    /// made a second time needs its inputs.
    pub fn inputs_read(&mut self, now: Millis) -> Vec<OrderKey> {
        if !self.policy.early_freeing {
            return Vec::new();
        }
        let read_after = self.policy.inputs_read_after_ms;
        let is_read = |order: &Order| {
            let called_at = order.all_called_at;
            !order.told_inputs_read
                && !order.is_at_risk
                && called_at.is_some_and(|at| at + read_after <= now)
        };
        let read = self.orders.iter_mut().filter(|(_, order)| is_read(order));
        read.map(|(key, order)| {
            order.told_inputs_read = true;
            key.clone()
        })
        .collect()
    }

    /// Orders that wait or are at work, and calls under way.
    pub fn sizes(&self) -> (usize, usize) {
        (self.orders.len(), self.calls.len())
    }
}

fn distinct_requests(pieces: &[(Piece, u64)]) -> Vec<String> {
    let mut requests: Vec<String> = pieces.iter().map(|(one, _)| one.request.clone()).collect();
    requests.dedup();
    requests
}

/// What a call came to, for the log; for each way in which pieces failed, how many.
fn outcome_text(outcome: &CallOutcome) -> String {
    let results = match outcome {
        CallOutcome::Answered(results) => results,
        CallOutcome::NotRun => return "not_run".to_owned(),
        CallOutcome::Unreachable => return "unreachable".to_owned(),
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
