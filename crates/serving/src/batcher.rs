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
mod outcomes;
mod room;
mod schedule;
mod versions;

use crate::crashes::{ConnectionLoss, InterruptedSend};
use crate::instances::{InstanceId, InstanceTable};
use crate::policy::Policy;
use crate::ports::PieceResults;
use crate::rollouts::{CountedSend, RolloutTracker};
use crate::Millis;
pub use announced::AnnouncedOrder;
use announced::AnnouncedOrders;
use estimate::Pace;
use makers::MakerBook;
use order::{Order, PieceState};
use room::RoomBook;
use silversail_decisions::{DecisionLog, Event};
use silversail_model::topology::RegionFilter;
use silversail_model::traffic::BatchSpec;
use silversail_model::{NodeName, Shard, Topology};
use silversail_peer::{PhaseWork, Piece, PieceFailure, ResultHandle, WorkId};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

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
    /// What it calls itself.
    pub name: String,
    /// Its service.
    pub service: String,
    /// Version of its software; empty where the list does not tell.
    pub version: String,
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
    /// Nothing was sent, as the back end said after it was chosen that it rests or leaves.
    Withheld,
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
    address: String,
    version: String,
    /// Where it counts for a rollout.
    counted: Option<CountedSend>,
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
    /// The rollouts of batched services.
    pub rollouts: RolloutTracker,
    policy: Policy,
    topology: Arc<Topology>,
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
            rollouts: RolloutTracker::default(),
            policy,
            topology: Arc::default(),
            housekeeping_at: 0,
            next_call: 1,
            log,
        }
    }

    /// The same batcher in a deployment whose zones lie in regions.
    pub fn with_topology(mut self, topology: Arc<Topology>) -> Self {
        self.topology = topology;
        self
    }

    /// Whether a back end in `zone` may make pieces that are restricted to regions.
    fn allows(&self, regions: &RegionFilter, zone: &str) -> bool {
        regions.allows(self.topology.region_of(zone))
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
        if !self.is_staffed(&work.shard, &work.regions, table) {
            return Err(PieceFailure::NoBackend);
        }
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
        if let Some(instance) = table.get(maker) {
            instance.choose_permit(now);
        }
        let listed = table.get(maker).map(|one| one.listed.clone());
        let (name, address, version) = listed
            .map(|one| (one.name.clone(), one.address.clone(), one.version.clone()))
            .unwrap_or_default();
        let counted = self.count_call(shard, maker, table);
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
            address: address.clone(),
            version: version.clone(),
            counted,
            shard: shard.clone(),
            members,
            room,
            began_at: now,
        };
        self.calls.insert(call, state);
        BatchCall {
            call,
            instance: maker.to_owned(),
            name,
            service: shard.service.clone(),
            version,
            address,
            pieces,
        }
    }

    fn room_of(&self, service: &str) -> u64 {
        self.specs.get(service).map_or(0, |spec| spec.room_bytes)
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

    /// Where the requests of a call under way break off, if it does.
    pub fn break_off(&self, call: CallId) -> Option<ConnectionLoss> {
        let state = self.calls.get(&call)?;
        let members: BTreeSet<&OrderKey> = state.members.iter().map(|(key, _)| key).collect();
        let orders = members.into_iter().filter_map(|key| self.orders.get(key));
        let sends = orders.filter_map(|order| {
            let piece = order.work.pieces.first()?;
            Some(InterruptedSend {
                request: piece.request.clone(),
                fingerprint: order.work.fingerprint,
            })
        });
        Some(ConnectionLoss {
            instance: state.instance.clone(),
            service: state.shard.service.clone(),
            address: state.address.clone(),
            sends: sends.collect(),
        })
    }

    /// Limited makers for which pieces wait that this node has no permit for, each once.
    pub fn permits_wanted(&self, table: &InstanceTable, now: Millis) -> Vec<InstanceId> {
        let waits = |shard: &&Shard| self.waiting_of(shard).any(Order::is_waiting);
        let shards = self.shards.keys().filter(waits);
        let makers = shards.flat_map(|shard| self.makers.without_permit(shard, table, now));
        makers.map(str::to_owned).collect()
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
