//! The actor that issues orders to engines so that they load the models that the configuration
//! declares. It is active on the leader of the control group only.
//!
//! To be safe for engines that don't check the fencing token, an order is committed before it is
//! sent, an engine has at most one outstanding order, and a new leader waits until its
//! predecessor's lease and last order have expired. Orders are not repeated after a change of
//! leader: the new leader checks the engine's loaded models before it ends an outstanding order.

use crate::calls::OrderSender;
use crate::clock::Clock;
use crate::replica::{ProposalOutcome, ProposerActor, SharedGroupStatus};
use crate::session::SharedNodeState;
use silversail_backend::order::{EngineOrder, ORDER_TIMEOUT};
use silversail_backend::{CallFailure, EngineLoad};
use silversail_consensus::Millis;
use silversail_control::{
    plan_orders, ControlCommand, ControlState, LoadedModels, Order, OrderAction, OrderCommand,
    OrderId, OrderReply, PlannedOrder,
};
use silversail_model::BackendName;
use stakker::{after, call, ret_nop, ret_some_to, Actor, CX};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Interval at which orders are issued and ended.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which an engine's report of its loaded models is used, in milliseconds.
const REPORT_LIFETIME_MS: Millis = 5_000;
/// Time beyond the transfer of the weights after which an order without effect is ended, in
/// milliseconds.
const ORDER_EFFECT_TIMEOUT_MS: Millis = 10_000;
/// Longest wait for an order to be committed.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(3);

/// Dependencies and configuration of an [`OrderActor`].
pub struct OrderSetup {
    /// Replicated state with the configuration and the orders.
    pub control_state: Rc<RefCell<ControlState>>,
    /// Status of this node's replica of the control group.
    pub status: SharedGroupStatus,
    /// Tells which back ends' machines are leaving.
    pub state: SharedNodeState,
    /// Proposes orders to the control group.
    pub proposer: Actor<ProposerActor>,
    /// Sends orders to engines.
    pub sender: Box<dyn OrderSender>,
    /// Longest time for which a partitioned leader continues to act as leader, in milliseconds.
    pub leader_lease: Millis,
    /// Throughput of the weight store, in megabytes per second.
    pub weight_store_mb_per_s: f64,
    /// Clock of the process.
    pub clock: Clock,
}

/// State of a term in which this process is the leader.
struct Leadership {
    term: u64,
    /// Time from which orders may be issued.
    orders_from: Millis,
    next_sequence: u64,
    /// Time from which the weight store is free for the next load.
    store_free_at: Millis,
    /// Time at which each outstanding order was first seen.
    first_seen_at: BTreeMap<OrderId, Millis>,
    /// Whether an order is being committed.
    is_committing: bool,
}

struct EngineReport {
    models: Vec<String>,
    reported_at: Millis,
}

/// Issues orders to engines on the leader of the control group.
pub struct OrderActor {
    setup: OrderSetup,
    reports: BTreeMap<BackendName, EngineReport>,
    leadership: Option<Leadership>,
}

impl OrderActor {
    /// Starts without reports of engines' loaded models.
    pub fn init(cx: CX![], setup: OrderSetup) -> Option<Self> {
        after!(TICK_INTERVAL, [cx], tick());
        Some(Self {
            setup,
            reports: BTreeMap::new(),
            leadership: None,
        })
    }

    /// Records the loaded models that an engine reported.
    pub fn record_engine_load(&mut self, cx: CX![], backend: BackendName, load: EngineLoad) {
        let reported_at = self.setup.clock.millis(cx.now());
        let models = load.models;
        self.reports.insert(
            backend,
            EngineReport {
                models,
                reported_at,
            },
        );
    }

    fn tick(&mut self, cx: CX![]) {
        after!(TICK_INTERVAL, [cx], tick());
        let now = self.setup.clock.millis(cx.now());
        self.follow_leadership(now);
        let may_act = self
            .leadership
            .as_ref()
            .is_some_and(|leadership| now >= leadership.orders_from && !leadership.is_committing);
        if may_act && self.is_confirmed_leader(now) {
            self.end_orders(now);
            self.issue_next(cx, now);
        }
    }

    fn follow_leadership(&mut self, now: Millis) {
        let (is_leader, term) = {
            let status = self.setup.status.borrow();
            (status.is_leader, status.term)
        };
        if !is_leader {
            self.leadership = None;
            return;
        }
        if self.leadership.as_ref().map(|leadership| leadership.term) != Some(term) {
            let last_order = ORDER_TIMEOUT.as_millis() as Millis;
            self.leadership = Some(Leadership {
                term,
                orders_from: now + self.setup.leader_lease + last_order,
                next_sequence: 0,
                store_free_at: now,
                first_seen_at: BTreeMap::new(),
                is_committing: false,
            });
        }
    }

    /// Whether a quorum confirmed this node's leadership within the lease.
    fn is_confirmed_leader(&self, now: Millis) -> bool {
        let status = self.setup.status.borrow();
        let age = status.freshness.age(now);
        status.is_leader && age.is_some_and(|age| age < self.setup.leader_lease)
    }

    fn loaded_models(&self, now: Millis) -> LoadedModels {
        self.reports
            .iter()
            .filter(|(_, report)| now.saturating_sub(report.reported_at) < REPORT_LIFETIME_MS)
            .map(|(backend, report)| {
                let models = report.models.iter().cloned().collect();
                (backend.clone(), models)
            })
            .collect()
    }

    /// Ends the orders that have taken effect, and those that timed out.
    fn end_orders(&mut self, now: Millis) {
        let loaded_models = self.loaded_models(now);
        let outstanding: Vec<Order> = {
            let control_state = self.setup.control_state.borrow();
            control_state.orders.outstanding().cloned().collect()
        };
        for order in outstanding {
            let effect_timeout = ORDER_EFFECT_TIMEOUT_MS + self.transfer_ms(&order.model);
            let Some(leadership) = &mut self.leadership else {
                return;
            };
            let first_seen_at = *leadership.first_seen_at.entry(order.id).or_insert(now);
            let has_taken_effect = loaded_models.get(&order.backend).is_some_and(|models| {
                models.contains(&order.model) == (order.action == OrderAction::Load)
            });
            if has_taken_effect || now.saturating_sub(first_seen_at) > effect_timeout {
                log::info!(event = "order_ended", backend = order.backend.as_str(), model = order.model.as_str(), done = has_taken_effect; "order ended");
                self.propose_end(order.id);
            }
        }
    }

    fn propose_end(&self, id: OrderId) {
        let command = ControlCommand::Order(OrderCommand::End(id)).encode();
        let proposer = &self.setup.proposer;
        call!([proposer], propose(command, PROPOSAL_TIMEOUT, ret_nop!()));
    }

    /// Time to transfer a model's weights from the weight store, in milliseconds.
    fn transfer_ms(&self, model: &str) -> Millis {
        let control_state = self.setup.control_state.borrow();
        let models = &control_state.configuration.configuration().models;
        let size = models.get(model).map_or(0, |model| model.size_mb);
        (f64::from(size) / self.setup.weight_store_mb_per_s * 1_000.0) as Millis
    }

    fn issue_next(&mut self, cx: CX![], now: Millis) {
        let loaded_models = self.loaded_models(now);
        let planned_orders = {
            let control_state = self.setup.control_state.borrow();
            let state = self.setup.state.borrow();
            let configuration = control_state.configuration.configuration();
            plan_orders(
                configuration,
                &loaded_models,
                &control_state.orders,
                |backend| state.is_leaving(&backend.address),
            )
        };
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        // Loads wait for the weight store; unloading a model does not use it.
        let store_is_free = now >= leadership.store_free_at;
        let next_order = planned_orders
            .into_iter()
            .find(|order| order.action == OrderAction::Unload || store_is_free);
        if let Some(next_order) = next_order {
            self.commit(cx, next_order, now);
        }
    }

    fn commit(&mut self, cx: CX![], planned_order: PlannedOrder, now: Millis) {
        let transfer = match planned_order.action {
            OrderAction::Load => self.transfer_ms(&planned_order.model),
            OrderAction::Unload => 0,
        };
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        leadership.next_sequence += 1;
        leadership.is_committing = true;
        leadership.store_free_at = leadership.store_free_at.max(now) + transfer;
        let order = Order {
            id: OrderId {
                term: leadership.term,
                sequence: leadership.next_sequence,
            },
            backend: planned_order.backend,
            action: planned_order.action,
            model: planned_order.model,
        };
        let command = ControlCommand::Order(OrderCommand::Issue(order.clone())).encode();
        let ret = ret_some_to!([cx], committed(order) as (ProposalOutcome));
        let proposer = &self.setup.proposer;
        call!([proposer], propose(command, PROPOSAL_TIMEOUT, ret));
    }

    fn committed(&mut self, cx: CX![], order: Order, outcome: ProposalOutcome) {
        let now = self.setup.clock.millis(cx.now());
        let is_same_term = match &mut self.leadership {
            Some(leadership) => {
                leadership.is_committing = false;
                leadership.term == order.id.term
            }
            None => false,
        };
        let reply: Option<OrderReply> = match outcome {
            ProposalOutcome::Applied(bytes) => postcard::from_bytes(&bytes).ok(),
            ProposalOutcome::Unavailable => None,
        };
        // If the lease expired during the commit, a new leader may be active; it has this
        // order as an outstanding one.
        if reply != Some(OrderReply::Issued) || !is_same_term || !self.is_confirmed_leader(now) {
            return;
        }
        let address = {
            let control_state = self.setup.control_state.borrow();
            let backends = &control_state.configuration.configuration().backends;
            backends
                .get(&order.backend)
                .map(|backend| backend.address.clone())
        };
        let Some(address) = address else {
            return;
        };
        log::info!(event = "order_sent", backend = order.backend.as_str(), model = order.model.as_str(), term = order.id.term, sequence = order.id.sequence; "order sent");
        let engine_order = EngineOrder {
            term: order.id.term,
            sequence: order.id.sequence,
            action: match order.action {
                OrderAction::Load => "load",
                OrderAction::Unload => "unload",
            },
            model: order.model,
        };
        if self
            .setup
            .sender
            .send_order(order.id, address, engine_order)
            .is_err()
        {
            self.propose_end(order.id);
        }
    }

    /// Handles an engine's answer to an order. Without an answer the order stays outstanding
    /// until it takes effect or times out.
    pub fn handle_answer(&mut self, _: CX![], id: OrderId, result: Result<(), CallFailure>) {
        if let Err(failure) = result {
            log::warn!(event = "order_failed", term = id.term, sequence = id.sequence; "{failure}");
            if matches!(failure, CallFailure::NotRun(_) | CallFailure::Failed(_)) {
                self.propose_end(id);
            }
        }
    }
}
