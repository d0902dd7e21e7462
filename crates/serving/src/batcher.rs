//! Batches pieces of different requests into calls to the back ends of a service.
//!
//! One node batches all pieces of a shard, so that pieces of requests that arrived at different
//! nodes can share a call. An idle back end gets what is waiting at once; while all are busy,
//! pieces accumulate. Pieces are idempotent: a batch with an unknown outcome is sent again.

mod announced;
mod backend_health;
mod estimate;
mod order;
mod outcomes;
mod result_memory;
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
use backend_health::BackendHealthTable;
use estimate::CallAverages;
use order::{Order, PieceState};
pub use result_memory::ReleasedResult;
use result_memory::ResultMemory;
use silversail_decisions::{DecisionLog, Event};
use silversail_model::topology::RegionFilter;
use silversail_model::traffic::BatchSpec;
use silversail_model::{NodeName, Shard, Topology};
use silversail_peer::{PhaseWork, Piece, PieceFailure, ResultHandle, WorkId};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// How long half of the result memory of a back end is assumed to hold results of the previous
/// owner, in milliseconds.
const FORMER_OWNER_RESULTS_FOR: Millis = 1_000;
/// Identifies an order: the pieces of one phase of one request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderKey {
    /// The node that submitted the order.
    pub node: NodeName,
    /// Number of the order, unique within that node's process.
    pub work: WorkId,
}

/// Identifies a batch call within this process.
pub type CallId = u64;

/// A batch call to send.
#[derive(Clone, Debug, PartialEq)]
pub struct BatchCall {
    /// Reported back with the outcome.
    pub call: CallId,
    /// Identity of the back end's process.
    pub instance: String,
    /// The name that the back end gives itself.
    pub name: String,
    /// Service of the back end.
    pub service: String,
    /// Software version of the back end; empty if the list does not name one.
    pub version: String,
    /// Network address of the back end.
    pub address: String,
    /// The pieces, each with its remaining time in milliseconds.
    pub pieces: Vec<(Piece, u64)>,
}

/// Outcome of a batch call.
#[derive(Clone, Debug, PartialEq)]
pub enum CallOutcome {
    /// The back end answered with one result for each piece.
    Answered(PieceResults),
    /// The back end rejected the call without running it.
    NotRun,
    /// The connection failed before anything was sent.
    Unreachable,
    /// Nothing was sent: after it was selected, the back end requested a back-off or reported
    /// that it is draining.
    BackendUnavailable,
    /// Another back end answered at the address and ran nothing: the one that was called has ended.
    AddressMismatch,
    /// Another call's answer came in place of the own one. The call may have run.
    ForeignAnswer,
    /// The call may have run.
    Unknown,
}

impl CallOutcome {
    /// Whether the connection failed or was lost, so that the back end may be out of reach.
    pub fn is_connection_loss(&self) -> bool {
        matches!(self, CallOutcome::Unreachable | CallOutcome::Unknown)
    }

    /// Whether the back end may have crashed while it ran the call.
    pub fn may_be_crash(&self) -> bool {
        *self == CallOutcome::Unknown
    }
}

/// An order that completed or failed.
#[derive(Clone, Debug, PartialEq)]
pub struct FinishedOrder {
    /// The order's key.
    pub key: OrderKey,
    /// The shard that processed the order.
    pub shard: Shard,
    /// Results in the order of the pieces, or the reason of the failure.
    pub result: Result<Vec<ResultHandle>, PieceFailure>,
}

struct CallState {
    instance: String,
    address: String,
    version: String,
    /// How the call is counted for a rollout.
    counted: Option<CountedSend>,
    shard: Shard,
    members: Vec<(OrderKey, usize)>,
    result_bytes: u64,
    began_at: Millis,
}

/// Batches the pieces of the services that this node owns.
pub struct Batcher {
    specs: BTreeMap<String, BatchSpec>,
    orders: BTreeMap<OrderKey, Order>,
    /// Number of orders of each shard, so that a message need not scan all orders.
    shards: BTreeMap<Shard, usize>,
    calls: BTreeMap<CallId, CallState>,
    backends: BackendHealthTable,
    result_memory: ResultMemory,
    announced: AnnouncedOrders,
    call_averages: BTreeMap<Shard, CallAverages>,
    /// Rollouts of the batched services.
    pub rollouts: RolloutTracker,
    policy: Policy,
    topology: Arc<Topology>,
    next_housekeeping_at: Millis,
    next_call: CallId,
    log: DecisionLog,
}

impl Batcher {
    /// Creates a batcher without services.
    pub fn new(policy: Policy, log: DecisionLog) -> Self {
        Self {
            specs: BTreeMap::new(),
            orders: BTreeMap::new(),
            shards: BTreeMap::new(),
            calls: BTreeMap::new(),
            backends: BackendHealthTable::new(policy, log.clone()),
            result_memory: ResultMemory::default(),
            announced: AnnouncedOrders::default(),
            call_averages: BTreeMap::new(),
            rollouts: RolloutTracker::default(),
            policy,
            topology: Arc::default(),
            next_housekeeping_at: 0,
            next_call: 1,
            log,
        }
    }

    /// Sets the topology that maps zones to regions.
    pub fn with_topology(mut self, topology: Arc<Topology>) -> Self {
        self.topology = topology;
        self
    }

    /// Whether pieces restricted to `regions` may run in `zone`.
    fn allows(&self, regions: &RegionFilter, zone: &str) -> bool {
        regions.allows(self.topology.region_of(zone))
    }

    /// Replaces the batch settings of all services.
    pub fn set_specs(&mut self, specs: BTreeMap<String, BatchSpec>) {
        self.specs = specs;
    }

    /// Records an order that will be submitted later.
    pub fn announce(&mut self, key: OrderKey, order: AnnouncedOrder, now: Millis) {
        self.announced.add(key, order, now);
    }

    /// Accepts an order. An error rejects it immediately.
    pub fn submit(
        &mut self,
        key: OrderKey,
        work: PhaseWork,
        table: &InstanceTable,
        now: Millis,
    ) -> Result<(), PieceFailure> {
        self.announced.remove(&key);
        if !self.has_eligible_backend(&work.shard, &work.regions, table, now) {
            return Err(PieceFailure::NoBackend);
        }
        let priority = work.priority;
        let expected = self.expected_ms(&work.shard, work.pieces.len(), priority, table, now)?;
        if expected > work.remaining_ms {
            return Err(PieceFailure::Overloaded);
        }
        // Submitting an order is idempotent.
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

    /// Cancels an order and releases its results, including those of calls in flight.
    pub fn cancel(&mut self, key: &OrderKey) {
        self.announced.remove(key);
        if let Some(order) = self.remove_order(key) {
            self.result_memory.release(&order.results());
        }
    }

    /// Takes over the batching of a shard. The memory that results of the previous owner use is
    /// unknown here, so half of it is assumed to be in use for a while.
    pub fn take_over_shard(&mut self, shard: &Shard, table: &InstanceTable, now: Millis) {
        let memory = self.result_memory_of(&shard.service);
        for backend in table.of_shard(shard) {
            let id = &backend.listed.id;
            let until = now + FORMER_OWNER_RESULTS_FOR;
            self.backends
                .mark_at_risk(id, FORMER_OWNER_RESULTS_FOR, now);
            self.result_memory.assume_used(id, memory / 2, until);
        }
    }

    /// Cancels the orders of a process that has ended, those numbered below `first_work`, and
    /// releases their results.
    pub fn forget_process(&mut self, node: &NodeName, first_work: WorkId) {
        let matches = |key: &OrderKey| key.node == *node && key.work < first_work;
        let keys: Vec<OrderKey> = self
            .orders
            .keys()
            .filter(|key| matches(key))
            .cloned()
            .collect();
        for key in keys {
            self.cancel(&key);
        }
        self.announced.forget(matches);
        self.result_memory.release_orders(matches);
    }

    /// Back end of a call in flight.
    pub fn backend_of_call(&self, call: CallId) -> Option<&str> {
        let state = self.calls.get(&call);
        state.map(|state| state.instance.as_str())
    }

    /// Forgets all failures of back ends.
    pub fn forget_failures(&mut self) {
        self.backends.forget_failures();
    }

    /// Releases results of this batcher's calls that are no longer needed; ignores all others.
    pub fn release(&mut self, handles: &[ResultHandle]) {
        self.result_memory.release(handles);
    }

    /// Records that back ends have freed results.
    pub fn results_freed(&mut self, handles: &[ResultHandle]) {
        self.result_memory.freed(handles);
    }

    /// Takes the results that back ends must free.
    pub fn take_releases(&mut self) -> Vec<ReleasedResult> {
        self.result_memory.take_releases()
    }

    fn start(
        &mut self,
        shard: &Shard,
        backend: &str,
        members: Vec<(OrderKey, usize)>,
        table: &InstanceTable,
        now: Millis,
    ) -> BatchCall {
        let call = self.next_call;
        self.next_call += 1;
        let mut pieces = Vec::new();
        let mut result_bytes = 0;
        for (key, index) in &members {
            let Some(order) = self.orders.get_mut(key) else {
                continue;
            };
            order.set_state(*index, PieceState::InCall(call));
            order.is_at_risk |= self.backends.is_at_risk(backend, now);
            if order.waiting_pieces() == 0 {
                order.all_called_at = Some(now);
            }
            let piece = order.work.pieces[*index].clone();
            result_bytes += piece.result_bytes;
            pieces.push((piece, order.deadline.saturating_sub(now)));
        }
        self.result_memory.reserve(backend, result_bytes);
        table.record_call(backend, now);
        let listed = table.get(backend).map(|instance| instance.listed.clone());
        let (name, address, version) = listed
            .map(|entry| {
                (
                    entry.name.clone(),
                    entry.address.clone(),
                    entry.version.clone(),
                )
            })
            .unwrap_or_default();
        let counted = self.count_call(shard, backend, table);
        let waiting = self.waiting_of(shard).map(Order::waiting_pieces).sum();
        self.log.record(Event::BatchSent {
            backend: backend.to_owned(),
            service: shard.service.clone(),
            pieces: pieces.len(),
            waiting,
            room_taken: self.result_memory.used_bytes(backend),
            requests: distinct_requests(&pieces),
        });
        let state = CallState {
            instance: backend.to_owned(),
            address: address.clone(),
            version: version.clone(),
            counted,
            shard: shard.clone(),
            members,
            result_bytes,
            began_at: now,
        };
        self.calls.insert(call, state);
        BatchCall {
            call,
            instance: backend.to_owned(),
            name,
            service: shard.service.clone(),
            version,
            address,
            pieces,
        }
    }

    fn result_memory_of(&self, service: &str) -> u64 {
        self.specs.get(service).map_or(0, |spec| spec.room_bytes)
    }

    /// Returns, once each, the orders whose back ends have read all inputs, so that the inputs
    /// can be freed. A call reads its inputs first, and starts at once because no other waits at
    /// that back end. Orders at risk are left out: a piece that is run again needs its inputs.
    pub fn inputs_read(&mut self, now: Millis) -> Vec<OrderKey> {
        if !self.policy.early_freeing {
            return Vec::new();
        }
        let read_after = self.policy.inputs_read_after_ms;
        let has_read_inputs = |order: &Order| {
            let called_at = order.all_called_at;
            !order.is_inputs_read_reported
                && !order.is_at_risk
                && called_at.is_some_and(|at| at + read_after <= now)
        };
        let read = self
            .orders
            .iter_mut()
            .filter(|(_, order)| has_read_inputs(order));
        read.map(|(key, order)| {
            order.is_inputs_read_reported = true;
            key.clone()
        })
        .collect()
    }

    /// Describes a call in flight whose connection was lost; none if the call is unknown.
    pub fn break_off(&self, call: CallId) -> Option<ConnectionLoss> {
        let state = self.calls.get(&call)?;
        let members: BTreeSet<&OrderKey> = state.members.iter().map(|(key, _)| key).collect();
        let orders = members.into_iter().filter_map(|key| self.orders.get(key));
        let sends = orders.filter_map(|order| {
            let piece = order.work.pieces.first()?;
            Some(InterruptedSend {
                request: piece.request.clone(),
                fingerprint: order.work.fingerprint,
                prompt: None,
            })
        });
        Some(ConnectionLoss {
            instance: state.instance.clone(),
            service: state.shard.service.clone(),
            address: state.address.clone(),
            sends: sends.collect(),
        })
    }

    /// Rate-limited back ends that have waiting pieces but no permit of this node.
    pub fn permits_wanted(&self, table: &InstanceTable, now: Millis) -> Vec<InstanceId> {
        let waits = |shard: &&Shard| self.waiting_of(shard).any(Order::is_waiting);
        let shards = self.shards.keys().filter(waits);
        let backends = shards.flat_map(|shard| self.backends.without_permit(shard, table, now));
        backends.map(str::to_owned).collect()
    }

    /// Number of open orders, and of calls in flight.
    pub fn order_and_call_counts(&self) -> (usize, usize) {
        (self.orders.len(), self.calls.len())
    }
}

fn distinct_requests(pieces: &[(Piece, u64)]) -> Vec<String> {
    let mut requests: Vec<String> = pieces
        .iter()
        .map(|(piece, _)| piece.request.clone())
        .collect();
    requests.dedup();
    requests
}
