//! The actor that turns declared intent into orders to engines. It acts on the
//! leader of the control group only.
//!
//! Safe at engines that don't check the fence: an order is committed before it
//! is sent, one is outstanding at an engine at a time, and a new leader waits
//! until its predecessor's lease and last order have ended. Not repeated after a
//! change of leader: the new leader finds the outstanding order and looks at
//! what the engine holds before it gives the order up.

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

const TICK: Duration = Duration::from_millis(200);
/// A report of what an engine holds is used for so long, in milliseconds.
const REPORT_VALID_FOR: Millis = 5_000;
/// An order that shows no effect is given up after this time beyond what its
/// weights need, in milliseconds.
const ORDER_PATIENCE: Millis = 10_000;
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(3);

/// What the actor is made of.
pub struct OrderSetup {
    /// The replicated configuration and orders.
    pub machine: Rc<RefCell<ControlState>>,
    /// Status of the own replica of the control group.
    pub status: SharedGroupStatus,
    /// For what is leaving.
    pub state: SharedNodeState,
    /// Commits orders.
    pub proposer: Actor<ProposerActor>,
    /// Sends them.
    pub sender: Box<dyn OrderSender>,
    /// Longest time for which a leader that is cut off acts as one.
    pub leader_lease: Millis,
    /// Rate of the weight store, in megabytes a second.
    pub weight_store_mb_per_s: f64,
    /// Time.
    pub clock: Clock,
}

/// What this process does in a term in which it leads.
struct Leadership {
    term: u64,
    /// Orders may be issued from then on.
    orders_from: Millis,
    next_sequence: u64,
    /// When the weight store is free for the next load.
    store_free_at: Millis,
    /// When each outstanding order was first seen.
    seen_at: BTreeMap<OrderId, Millis>,
    /// An order that is being committed.
    committing: bool,
}

struct Report {
    models: Vec<String>,
    at: Millis,
}

/// Issues orders.
pub struct OrderActor {
    setup: OrderSetup,
    reports: BTreeMap<BackendName, Report>,
    leadership: Option<Leadership>,
}

impl OrderActor {
    /// Starts without knowing what engines hold.
    pub fn init(cx: CX![], setup: OrderSetup) -> Option<Self> {
        after!(TICK, [cx], tick());
        Some(Self {
            setup,
            reports: BTreeMap::new(),
            leadership: None,
        })
    }

    /// An engine's report.
    pub fn engine_load(&mut self, cx: CX![], backend: BackendName, load: EngineLoad) {
        let at = self.setup.clock.millis(cx.now());
        let models = load.models;
        self.reports.insert(backend, Report { models, at });
    }

    fn tick(&mut self, cx: CX![]) {
        after!(TICK, [cx], tick());
        let now = self.setup.clock.millis(cx.now());
        self.follow_leadership(now);
        let may_act = self
            .leadership
            .as_ref()
            .is_some_and(|one| now >= one.orders_from && !one.committing);
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
        if self.leadership.as_ref().map(|one| one.term) != Some(term) {
            let last_order = ORDER_TIMEOUT.as_millis() as Millis;
            self.leadership = Some(Leadership {
                term,
                orders_from: now + self.setup.leader_lease + last_order,
                next_sequence: 0,
                store_free_at: now,
                seen_at: BTreeMap::new(),
                committing: false,
            });
        }
    }

    /// Whether a quorum confirmed the leadership within the lease.
    fn is_confirmed_leader(&self, now: Millis) -> bool {
        let status = self.setup.status.borrow();
        let age = status.freshness.age(now);
        status.is_leader && age.is_some_and(|age| age < self.setup.leader_lease)
    }

    fn holdings(&self, now: Millis) -> LoadedModels {
        self.reports
            .iter()
            .filter(|(_, report)| now.saturating_sub(report.at) < REPORT_VALID_FOR)
            .map(|(backend, report)| {
                let models = report.models.iter().cloned().collect();
                (backend.clone(), models)
            })
            .collect()
    }

    /// Ends the orders whose effect shows, and those that show none in time.
    fn end_orders(&mut self, now: Millis) {
        let holdings = self.holdings(now);
        let outstanding: Vec<Order> = {
            let machine = self.setup.machine.borrow();
            machine.orders.outstanding().cloned().collect()
        };
        for order in outstanding {
            let patience = ORDER_PATIENCE + self.transfer_ms(&order.model);
            let Some(leadership) = &mut self.leadership else {
                return;
            };
            let seen_at = *leadership.seen_at.entry(order.id).or_insert(now);
            let shows_effect = holdings.get(&order.backend).is_some_and(|held| {
                held.contains(&order.model) == (order.action == OrderAction::Load)
            });
            if shows_effect || now.saturating_sub(seen_at) > patience {
                log::info!(event = "order_ended", backend = order.backend.as_str(), model = order.model.as_str(), done = shows_effect; "order ended");
                self.propose_end(order.id);
            }
        }
    }

    fn propose_end(&self, id: OrderId) {
        let command = ControlCommand::Order(OrderCommand::End(id)).encode();
        let proposer = &self.setup.proposer;
        call!([proposer], propose(command, PROPOSAL_TIMEOUT, ret_nop!()));
    }

    /// Time that a model's weights take from the store.
    fn transfer_ms(&self, model: &str) -> Millis {
        let machine = self.setup.machine.borrow();
        let models = &machine.configuration.configuration().models;
        let size = models.get(model).map_or(0, |model| model.size_mb);
        (f64::from(size) / self.setup.weight_store_mb_per_s * 1_000.0) as Millis
    }

    fn issue_next(&mut self, cx: CX![], now: Millis) {
        let holdings = self.holdings(now);
        let planned = {
            let machine = self.setup.machine.borrow();
            let state = self.setup.state.borrow();
            let configuration = machine.configuration.configuration();
            plan_orders(configuration, &holdings, &machine.orders, |backend| {
                state.is_leaving(&backend.address)
            })
        };
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        // Loads wait for the weight store; dropping a model needs none of it.
        let store_is_free = now >= leadership.store_free_at;
        let next = planned
            .into_iter()
            .find(|order| order.action == OrderAction::Unload || store_is_free);
        if let Some(next) = next {
            self.commit(cx, next, now);
        }
    }

    fn commit(&mut self, cx: CX![], planned: PlannedOrder, now: Millis) {
        let transfer = match planned.action {
            OrderAction::Load => self.transfer_ms(&planned.model),
            OrderAction::Unload => 0,
        };
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        leadership.next_sequence += 1;
        leadership.committing = true;
        leadership.store_free_at = leadership.store_free_at.max(now) + transfer;
        let order = Order {
            id: OrderId {
                term: leadership.term,
                sequence: leadership.next_sequence,
            },
            backend: planned.backend,
            action: planned.action,
            model: planned.model,
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
                leadership.committing = false;
                leadership.term == order.id.term
            }
            None => false,
        };
        let reply: Option<OrderReply> = match outcome {
            ProposalOutcome::Applied(bytes) => postcard::from_bytes(&bytes).ok(),
            ProposalOutcome::Unavailable => None,
        };
        // The lease may have ended while the order was committed: then a new
        // leader may be acting, and it knows of this order as outstanding.
        if reply != Some(OrderReply::Issued) || !is_same_term || !self.is_confirmed_leader(now) {
            return;
        }
        let address = {
            let machine = self.setup.machine.borrow();
            let backends = &machine.configuration.configuration().backends;
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

    /// An engine answered, or did not. Without an answer the order stays
    /// outstanding until its effect shows or patience ends.
    pub fn sent(&mut self, _: CX![], id: OrderId, result: Result<(), CallFailure>) {
        if let Err(failure) = result {
            log::warn!(event = "order_failed", term = id.term, sequence = id.sequence; "{failure}");
            if matches!(failure, CallFailure::NotRun(_) | CallFailure::Failed(_)) {
                self.propose_end(id);
            }
        }
    }
}
