//! The actor that decides for the gateway.

use crate::clock::Clock;
use crate::crashes::CrashReporter;
use crate::directory::SharedDirectory;
use crate::evacuation::EvacuationActor;
use crate::gateway::calls::GatewayCalls;
use crate::gateway::counting::outcome_label;
use crate::gateway::early::{EarlyRequest, EarlyRequests};
use crate::gateway::event::{Decision, GatewayEvent};
use crate::gateway::following::OwnListReads;
use crate::gateway::frees::DelayedFrees;
use crate::gateway::owners::OwnerWatch;
use crate::gateway::waiting::WaitingOrders;
use crate::gateway::works::Works;
use crate::metrics::Metrics;
use crate::outbox::SharedOutbox;
use crate::replica::{ProposerActor, SharedStatus};
use crate::rollout::RolloutActor;
use crate::session::{RelayActor, SharedNodeState};
use crate::settings::GatewaySettings;
use prometheus::IntCounter;
use silversail_consensus::Millis;
use silversail_control::{EvacuationRevision, RolloutsRevision};
use silversail_decisions::DecisionLog;
use silversail_limits::PermitIssuer;
use silversail_model::{Distance, NodeName, ResultCode, Shard, Topology};
use silversail_peer::{BackendListVersion, ShardWaitEstimates, WorkId};
use silversail_quarantine::QuarantineRevision;
use silversail_serving::batcher::{Batcher, CallId, CallOutcome, OrderKey};
use silversail_serving::dispatcher::{Action, Dispatcher, RequestNumber};
use silversail_serving::notices::BackendNotices;
use silversail_serving::ports::Protocols;
use silversail_serving::quarantine::RequestQuarantine;
use silversail_serving::retry_budget::RetryLimits;
use stakker::{after, Actor, Fwd, CX};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Interval while there is work.
const BUSY_TICK: Duration = Duration::from_millis(25);
/// Interval while there is none.
const IDLE_TICK: Duration = Duration::from_millis(250);

/// Label of the gateway's requests beside those of pipelines.
const GATEWAY: &str = "gateway";

/// What the gateway is made of.
pub struct GatewaySetup {
    /// Settings.
    pub settings: GatewaySettings,
    /// When requests that crash back ends are refused.
    pub quarantine: silversail_quarantine::QuarantineLimits,
    /// Where this node and all zones lie.
    pub topology: Arc<Topology>,
    /// What the node has in force.
    pub state: SharedNodeState,
    /// The nodes that it knows.
    pub directory: SharedDirectory,
    /// Sending to other nodes.
    pub outbox: SharedOutbox,
    /// Proposes to the control group.
    pub proposer: Actor<ProposerActor>,
    /// Takes operators' orders on zones.
    pub evacuation: Actor<EvacuationActor>,
    /// Takes operators' orders on rollouts.
    pub rollout: Actor<RolloutActor>,
    /// Tells all nodes the list of back ends; none on a node that is no relay.
    pub relay: Option<Actor<RelayActor>>,
    /// Status of the control group's replica.
    pub control: SharedStatus,
    /// The outside protocols.
    pub protocols: Protocols,
    /// Calls to back ends.
    pub calls: Box<dyn GatewayCalls>,
    /// What back ends say of themselves, as the calls hear it.
    pub notices: BackendNotices,
    /// Decisions.
    pub log: DecisionLog,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// Time.
    pub clock: Clock,
}

/// A request whose task waits for decisions.
pub(super) struct OpenRequest {
    pub(super) decisions: mpsc::UnboundedSender<Decision>,
    pub(super) arrived_at: Millis,
    /// Counts a failure of the send under way.
    pub(super) failures: Option<IntCounter>,
}

/// Decides for the gateway.
pub struct GatewayActor {
    pub(super) setup: GatewaySetup,
    pub(super) node: NodeName,
    pub(super) dispatcher: Dispatcher,
    pub(super) batcher: Batcher,
    pub(super) started_at: Millis,
    /// Requests that wait for the first traffic configuration.
    pub(super) early: EarlyRequests,
    pub(super) works: Works,
    /// Orders of this node whose service has no batching node yet.
    pub(super) unowned: WaitingOrders<WorkId>,
    /// Orders that came before this node knew the makers of their service.
    pub(super) unready: WaitingOrders<OrderKey>,
    pub(super) open: BTreeMap<RequestNumber, OpenRequest>,
    /// Which node batches which shard.
    pub(super) owners: BTreeMap<Shard, NodeName>,
    /// Nodes that were told of orders of this node that are still to come.
    pub(super) announced_to: BTreeMap<WorkId, NodeName>,
    /// Results whose makers rest.
    pub(super) delayed_frees: DelayedFrees,
    pub(super) told_waits_at: Millis,
    pub(super) told_far_waits_at: Millis,
    /// How long the shards of this node took when they were last looked at.
    pub(super) own_waits: BTreeMap<Shard, (ShardWaitEstimates, Millis)>,
    pub(super) owner_watch: OwnerWatch,
    pub(super) traffic_version: Option<u64>,
    /// Revision of the evacuated zones that the back ends are marked by.
    pub(super) evacuations_revision: Option<EvacuationRevision>,
    /// Revision of the rollouts that versions are chosen by.
    pub(super) rollouts_revision: Option<RolloutsRevision>,
    pub(super) evidence_told_at: Millis,
    /// For each batch call what counts its failure.
    pub(super) call_failures: BTreeMap<CallId, IntCounter>,
    /// Why connections to back ends broke off.
    pub(super) crashes: CrashReporter,
    /// Revision of the list of refused requests that is obeyed.
    pub(super) quarantine_revision: Option<QuarantineRevision>,
    pub(super) view_changes: u64,
    /// The usable nodes of the last view.
    pub(super) usable_nodes: BTreeSet<String>,
    /// Permits for the back ends whose issuer this node is.
    pub(super) permit_issuer: PermitIssuer,
    /// The processes of the last view, by node.
    pub(super) processes: BTreeMap<NodeName, u64>,
    pub(super) listing_version: Option<BackendListVersion>,
    pub(super) list_works: bool,
    pub(super) own_list: OwnListReads,
}

impl GatewayActor {
    /// Starts without configuration or back ends.
    pub fn init(cx: CX![], setup: GatewaySetup) -> Option<Self> {
        let limits = RetryLimits {
            ratio: setup.settings.retry_ratio,
            allowance: setup.settings.retry_allowance,
            window: setup.settings.retry_window_ms,
        };
        let (node, incarnation) = {
            let outbox = setup.outbox.borrow();
            (outbox.node().clone(), outbox.incarnation())
        };
        let first_work = first_work_of(incarnation);
        let log = setup.log.clone();
        let policy = setup.settings.policy;
        after!(IDLE_TICK, [cx], tick());
        let topology = setup.topology.clone();
        let notices = setup.notices.clone();
        let dispatcher = Dispatcher::new(topology, limits, policy, first_work, log.clone());
        let mut dispatcher = dispatcher.with_notices(notices);
        dispatcher.quarantine = RequestQuarantine::new(setup.quarantine);
        Some(Self {
            node,
            dispatcher,
            batcher: Batcher::new(policy, log).with_topology(setup.topology.clone()),
            started_at: setup.clock.millis(cx.now()),
            early: EarlyRequests::default(),
            works: Works::default(),
            unowned: WaitingOrders::default(),
            unready: WaitingOrders::default(),
            open: BTreeMap::new(),
            owners: BTreeMap::new(),
            announced_to: BTreeMap::new(),
            delayed_frees: DelayedFrees::default(),
            told_waits_at: 0,
            told_far_waits_at: 0,
            own_waits: BTreeMap::new(),
            owner_watch: OwnerWatch::default(),
            traffic_version: None,
            evacuations_revision: None,
            rollouts_revision: None,
            evidence_told_at: 0,
            call_failures: BTreeMap::new(),
            crashes: CrashReporter::new(setup.state.clone(), setup.metrics.clone()),
            quarantine_revision: None,
            view_changes: 0,
            usable_nodes: BTreeSet::new(),
            permit_issuer: PermitIssuer::default(),
            processes: BTreeMap::new(),
            listing_version: None,
            list_works: true,
            own_list: OwnListReads::default(),
            setup,
        })
    }

    pub(super) fn now(&self, cx: CX![]) -> Millis {
        self.setup.clock.millis(cx.now())
    }

    /// Takes what has a heartbeat sent at once.
    pub fn set_tell_at_once(&mut self, _: CX![], tell_at_once: Fwd<()>) {
        self.crashes.set_tell_at_once(tell_at_once);
    }

    pub(super) fn tick(&mut self, cx: CX![]) {
        let is_busy = self.dispatcher.open_requests() > 0
            || self.batcher.order_and_call_counts() != (0, 0)
            || !self.unready.is_empty()
            || self.permit_issuer.has_waiting()
            || !self.early.is_empty();
        let interval = if is_busy { BUSY_TICK } else { IDLE_TICK };
        after!(interval, [cx], tick());
        let now = self.now(cx);
        self.renew_rollout_permit(now);
        self.tell_evidence_if_due(now);
        self.admit_early(now);
        self.setup.notices.log_ended_backoffs(now);
        self.issue_permits(now);
        let expired = self.dispatcher.expire(now);
        self.carry_out(expired, now);
        let waiting = self.dispatcher.send_waiting(now);
        self.carry_out(waiting, now);
        let late = self.batcher.expire(now);
        self.orders_finished(late, now);
        let unstaffed = self
            .batcher
            .reject_orders_without_backend(&self.dispatcher.instances);
        self.orders_finished(unstaffed, now);
        let instances = &self.dispatcher.instances;
        let too_late = self
            .batcher
            .reject_orders_delayed_by_backoff(instances, now);
        self.orders_finished(too_late, now);
        self.choose_list_reader(now);
        self.tell_inputs_read(now);
        self.tell_waits(now);
        self.watch_owners(now);
        self.resubmit(now);
        self.place_waiting(now);
        self.start_batches(now);
        self.ask_for_permits(now);
        self.free_delayed_results(now);
        self.free_results(now);
    }

    /// Something that a task of the gateway tells.
    pub fn event(&mut self, cx: CX![], event: GatewayEvent) {
        let now = self.now(cx);
        self.renew_rollout_permit(now);
        match event {
            GatewayEvent::Arrived {
                number,
                call,
                decisions,
            } => self.arrived(number, *call, decisions, now),
            GatewayEvent::HeadReceived { number, load } => {
                let actions = self.dispatcher.head_received(number, load, now);
                self.carry_out(actions, now);
            }
            GatewayEvent::SendEnded {
                number,
                outcome,
                load,
            } => {
                self.note_end(number, outcome);
                let actions = self.dispatcher.send_ended(number, outcome, load, now);
                self.count_send(number, outcome, &actions);
                self.carry_out(actions, now);
                if !self.dispatcher.is_open(number) {
                    self.close(number, outcome_label(outcome), now);
                }
            }
            GatewayEvent::CallerGone { number } => {
                self.early.remove(number);
                let actions = self.dispatcher.caller_disconnected(number, now);
                self.carry_out(actions, now);
                self.close(number, "caller_gone", now);
            }
            GatewayEvent::BatchEnded { call, outcome } => {
                self.count_call(call, &outcome);
                if outcome == CallOutcome::Unknown {
                    if let Some(broken) = self.batcher.break_off(call) {
                        self.broke_off(broken, now);
                    }
                }
                let finished = self.batcher.call_ended(call, outcome, now);
                self.orders_finished(finished, now);
            }
            GatewayEvent::Probed { instance, answer } => self.probed(&instance, answer, now),
            GatewayEvent::ResultsFreed { handles } => self.batcher.results_freed(&handles),
            GatewayEvent::Listed(read) => self.list_read(cx, read, now),
            GatewayEvent::ListFailed(why) => self.list_failed(&why),
            GatewayEvent::Surface { request, reply } => self.surface(cx, request, reply, now),
        }
        self.start_batches(now);
        self.ask_for_permits(now);
        self.free_results(now);
        // Orders of other nodes count too: a stop must not leave them behind.
        let open = self.dispatcher.open_requests() + self.batcher.order_and_call_counts().0;
        let metrics = &self.setup.metrics;
        metrics.gateway_requests.set(open as i64);
        metrics.take_log_counts(&self.setup.log.counts());
    }

    pub(super) fn arrived(
        &mut self,
        number: RequestNumber,
        call: silversail_serving::ports::CallAttributes,
        decisions: mpsc::UnboundedSender<Decision>,
        now: Millis,
    ) {
        let open = OpenRequest {
            decisions,
            arrived_at: now,
            failures: None,
        };
        self.open.insert(number, open);
        for name in &call.stripped_headers {
            let withheld = &self.setup.metrics.withheld_headers;
            withheld.with_label_values(&[name]).inc();
        }
        let is_refusing = self.setup.state.borrow().refusing;
        let uptime = now.saturating_sub(self.started_at);
        let may_wait = !self.dispatcher.has_routes() && self.early.may_wait(uptime);
        if may_wait && !is_refusing {
            let since = now;
            self.early.add(EarlyRequest {
                number,
                call,
                since,
            });
            return;
        }
        let actions = if is_refusing {
            self.dispatcher.refuse(number, &call, ResultCode::Stopping)
        } else {
            self.dispatcher.handle_request(number, call, now)
        };
        self.carry_out(actions, now);
    }

    /// Takes in the requests that waited for a traffic configuration; those that waited
    /// too long are refused.
    pub(super) fn admit_early(&mut self, now: Millis) {
        let due = self.early.take_due(self.dispatcher.has_routes(), now);
        for EarlyRequest {
            number,
            call,
            since,
        } in due
        {
            let actions = self
                .dispatcher
                .handle_delayed_request(number, call, since, now);
            self.carry_out(actions, now);
        }
    }

    /// Counts a request or a phase by how far it goes.
    pub(super) fn count_distance(&self, work: &str, distance: Distance) {
        let counted = &self.setup.metrics.work_by_distance;
        counted.with_label_values(&[work, distance.name()]).inc();
    }

    /// A request ended: its time is counted by how.
    pub(super) fn close(&mut self, number: RequestNumber, outcome: &str, now: Millis) {
        if let Some(open) = self.open.remove(&number) {
            let seconds = now.saturating_sub(open.arrived_at) as f64 / 1_000.0;
            self.setup
                .metrics
                .request_seconds
                .with_label_values(&[GATEWAY, outcome])
                .observe(seconds);
        }
    }

    pub(super) fn carry_out(&mut self, actions: Vec<Action>, now: Millis) {
        for action in actions {
            match action {
                Action::Answer { number, refusal } => {
                    let reason = refusal.code.reason();
                    self.setup
                        .metrics
                        .refusals
                        .with_label_values(&[reason])
                        .inc();
                    self.decide(number, Decision::Answer(refusal));
                    self.close(number, reason, now);
                }
                Action::Send { number, plan } => {
                    self.count_distance("request", plan.distance);
                    self.note_send(number, &plan);
                    self.decide(number, Decision::Send(plan.into()));
                }
                Action::Submit {
                    work,
                    request,
                    phase,
                } => self.submit(work, &request, phase, now),
                Action::Announce {
                    work,
                    order,
                    regions,
                } => self.announce(work, order, &regions, now),
                Action::Diagnose { broken } => self.broke_off(broken, now),
                Action::Cancel { work } => self.cancel(work),
                Action::Release { service, handles } => self.release(&service, handles),
            }
        }
    }

    pub(super) fn decide(&mut self, number: RequestNumber, decision: Decision) {
        if let Some(open) = self.open.get(&number) {
            // A task that is gone has told so.
            let _ = open.decisions.send(decision);
        }
    }
}

/// The first number of the orders of a process: a number of the process stands in the
/// high bits, so that answers to a former process of a node are not taken for the
/// present one's.
pub(super) fn first_work_of(incarnation: u64) -> WorkId {
    incarnation << 20
}
