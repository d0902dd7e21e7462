//! Actor that holds the gateway's state and makes its routing decisions.

use crate::clock::Clock;
use crate::crashes::CrashReporter;
use crate::directory::SharedDirectory;
use crate::evacuation::EvacuationActor;
use crate::gateway::calls::GatewayCalls;
use crate::gateway::event::{Decision, GatewayEvent};
use crate::gateway::owners::OwnerMonitor;
use crate::gateway::reachability::BackendPartition;
use crate::gateway::result_freeing::{DelayedFrees, ResultOwners};
use crate::gateway::send_metrics::outcome_label;
use crate::gateway::startup_queue::{QueuedRequest, StartupQueue};
use crate::gateway::state_updates::LocalListReads;
use crate::gateway::stream_origins::StreamMemory;
use crate::gateway::submitted_orders::SubmittedOrders;
use crate::gateway::waiting_orders::WaitingOrders;
use crate::metrics::Metrics;
use crate::outbox::SharedOutbox;
use crate::replica::{ProposerActor, SharedGroupStatus};
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
use silversail_serving::origin_lookup::{ALL_TIMEOUT, HOLDERS_TIMEOUT};
use silversail_serving::ports::{CallAttributes, Protocols};
use silversail_serving::quarantine::RequestQuarantine;
use silversail_serving::retry_budget::RetryLimits;
use stakker::{after, Actor, Fwd, CX};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Tick interval while requests, orders or batch calls are open.
const BUSY_TICK: Duration = Duration::from_millis(25);
/// Tick interval while the gateway is idle.
const IDLE_TICK: Duration = Duration::from_millis(250);

/// Label value that separates gateway requests from pipeline requests in metrics.
const REQUEST_KIND: &str = "gateway";

/// Dependencies of [`GatewayActor`].
pub struct GatewaySetup {
    /// Addresses, rates and retry limits of the gateway.
    pub settings: GatewaySettings,
    /// Thresholds from which requests that crash back ends are rejected.
    pub quarantine: silversail_quarantine::QuarantineLimits,
    /// Zones and regions of the cluster, and the zone of this node.
    pub topology: Arc<Topology>,
    /// Configuration, view and backend list that this node currently applies.
    pub state: SharedNodeState,
    /// Known nodes and their addresses.
    pub directory: SharedDirectory,
    /// Queue of messages to other nodes.
    pub outbox: SharedOutbox,
    /// Proposes commands to the control group.
    pub proposer: Actor<ProposerActor>,
    /// Handles operators' requests to evacuate zones.
    pub evacuation: Actor<EvacuationActor>,
    /// Handles operators' requests for rollouts.
    pub rollout: Actor<RolloutActor>,
    /// Distributes the backend list to all nodes; `None` on a node that is not a relay.
    pub relay: Option<Actor<RelayActor>>,
    /// Status of the local replica of the control group.
    pub control: SharedGroupStatus,
    /// Adapters for the external protocols.
    pub protocols: Protocols,
    /// Makes calls to back ends.
    pub calls: Box<dyn GatewayCalls>,
    /// State that back ends reported about themselves, shared with the tasks that make calls.
    pub notices: BackendNotices,
    /// Decision log.
    pub log: DecisionLog,
    /// Metrics of the process.
    pub metrics: Arc<Metrics>,
    /// Monotonic clock of the process.
    pub clock: Clock,
}

/// An open request whose task waits for decisions.
pub(super) struct OpenRequest {
    pub(super) decisions: mpsc::UnboundedSender<Decision>,
    pub(super) arrived_at: Millis,
    /// Counter to increment if the current send fails.
    pub(super) failure_counter: Option<IntCounter>,
}

/// Dispatches requests, batches orders of pipeline phases and answers the operators' surface.
pub struct GatewayActor {
    pub(super) setup: GatewaySetup,
    pub(super) node: NodeName,
    pub(super) dispatcher: Dispatcher,
    pub(super) batcher: Batcher,
    pub(super) started_at: Millis,
    /// Requests that wait for the first traffic configuration.
    pub(super) startup_queue: StartupQueue,
    /// Where streams began.
    pub(super) streams: StreamMemory,
    pub(super) submitted_orders: SubmittedOrders,
    /// Orders of this node whose service has no shard owner yet.
    pub(super) orders_without_owner: WaitingOrders<WorkId>,
    /// Orders that arrived before this node knew a back end of their service.
    pub(super) orders_without_backend: WaitingOrders<OrderKey>,
    pub(super) open_requests: BTreeMap<RequestNumber, OpenRequest>,
    /// Owner of each shard, as this node sees it.
    pub(super) shard_owners: BTreeMap<Shard, NodeName>,
    /// Node to which each of this node's upcoming orders was announced.
    pub(super) announced_to: BTreeMap<WorkId, NodeName>,
    /// Results to free once the back-off of their back ends ends.
    pub(super) delayed_frees: DelayedFrees,
    pub(super) result_owners: ResultOwners,
    pub(super) wait_estimates_sent_at: Millis,
    pub(super) remote_wait_estimates_sent_at: Millis,
    /// Wait estimates of local shards, with the time of their computation.
    pub(super) local_wait_estimates: BTreeMap<Shard, (ShardWaitEstimates, Millis)>,
    pub(super) owner_monitor: OwnerMonitor,
    pub(super) traffic_version: Option<u64>,
    /// Revision of the evacuated zones applied to the backend table.
    pub(super) evacuations_revision: Option<EvacuationRevision>,
    /// Revision of the rollouts applied to the selection of versions.
    pub(super) rollouts_revision: Option<RolloutsRevision>,
    pub(super) evidence_reported_at: Millis,
    /// Counter to increment if a batch call fails, by call.
    pub(super) call_failure_counters: BTreeMap<CallId, IntCounter>,
    /// Diagnoses lost connections to back ends and reports crashes.
    pub(super) crash_reporter: CrashReporter,
    /// State of this node if it may be cut off from all back ends.
    pub(super) partition: BackendPartition,
    /// Revision of the applied list of refused requests.
    pub(super) quarantine_revision: Option<QuarantineRevision>,
    pub(super) lasting_answers_checked_at: Millis,
    pub(super) applied_view_changes: u64,
    /// Usable nodes of the last applied view.
    pub(super) usable_nodes: BTreeSet<String>,
    /// Issues permits for the back ends assigned to this node.
    pub(super) permit_issuer: PermitIssuer,
    /// Incarnation of each node in the last applied view.
    pub(super) node_incarnations: BTreeMap<NodeName, u64>,
    pub(super) backend_list_version: Option<BackendListVersion>,
    pub(super) is_list_available: bool,
    pub(super) local_list_reads: LocalListReads,
}

impl GatewayActor {
    /// Creates the actor without a traffic configuration or back ends, and starts its tick.
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
        let first_work = first_work_id(incarnation);
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
            startup_queue: StartupQueue::default(),
            streams: StreamMemory::default(),
            submitted_orders: SubmittedOrders::default(),
            orders_without_owner: WaitingOrders::default(),
            orders_without_backend: WaitingOrders::default(),
            open_requests: BTreeMap::new(),
            shard_owners: BTreeMap::new(),
            announced_to: BTreeMap::new(),
            delayed_frees: DelayedFrees::default(),
            result_owners: ResultOwners::default(),
            wait_estimates_sent_at: 0,
            remote_wait_estimates_sent_at: 0,
            local_wait_estimates: BTreeMap::new(),
            owner_monitor: OwnerMonitor::default(),
            traffic_version: None,
            evacuations_revision: None,
            rollouts_revision: None,
            evidence_reported_at: 0,
            call_failure_counters: BTreeMap::new(),
            crash_reporter: CrashReporter::new(setup.state.clone(), setup.metrics.clone()),
            partition: BackendPartition::default(),
            quarantine_revision: None,
            lasting_answers_checked_at: 0,
            applied_view_changes: 0,
            usable_nodes: BTreeSet::new(),
            permit_issuer: PermitIssuer::default(),
            node_incarnations: BTreeMap::new(),
            backend_list_version: None,
            is_list_available: true,
            local_list_reads: LocalListReads::default(),
            setup,
        })
    }

    pub(super) fn now(&self, cx: CX![]) -> Millis {
        self.setup.clock.millis(cx.now())
    }

    /// Sets the forwarder that triggers an immediate heartbeat.
    pub fn set_heartbeat_trigger(&mut self, _: CX![], heartbeat_trigger: Fwd<()>) {
        self.partition
            .set_heartbeat_trigger(heartbeat_trigger.clone());
        self.crash_reporter.set_heartbeat_trigger(heartbeat_trigger);
    }

    /// Sets the forwarder that reports answers to requests with suspected attributes.
    pub fn set_answer_report_trigger(&mut self, _: CX![], answer_report_trigger: Fwd<()>) {
        self.crash_reporter
            .set_answer_report_trigger(answer_report_trigger);
    }

    pub(super) fn tick(&mut self, cx: CX![]) {
        let is_busy = self.dispatcher.open_requests() > 0
            || self.batcher.order_and_call_counts() != (0, 0)
            || !self.orders_without_backend.is_empty()
            || self.permit_issuer.has_waiting()
            || !self.startup_queue.is_empty()
            || self.streams.has_lookups();
        let interval = if is_busy { BUSY_TICK } else { IDLE_TICK };
        after!(interval, [cx], tick());
        let now = self.now(cx);
        self.renew_rollout_permit(now);
        self.report_evidence_if_due(now);
        self.dispatch_queued_requests(now);
        self.expire_lookups(now);
        self.setup.notices.log_ended_backoffs(now);
        self.issue_permits(now);
        self.record_lasting_answers(now);
        let expired = self.dispatcher.expire(now);
        self.apply_actions(expired, now);
        let sends = self.dispatcher.send_waiting(now);
        self.apply_actions(sends, now);
        let expired_orders = self.batcher.expire(now);
        self.handle_finished_orders(expired_orders, now);
        let without_backend = self
            .batcher
            .reject_orders_without_backend(&self.dispatcher.instances, now);
        self.handle_finished_orders(without_backend, now);
        let instances = &self.dispatcher.instances;
        let delayed_by_back_off = self
            .batcher
            .reject_orders_delayed_by_backoff(instances, now);
        self.handle_finished_orders(delayed_by_back_off, now);
        self.probe_backends_if_due(now);
        self.reject_orders_of_lost_shards(now);
        self.update_list_reader(now);
        self.report_inputs_read(now);
        self.send_wait_estimates(now);
        self.check_silent_owners(now);
        self.resubmit_orders(now);
        self.place_waiting_orders(now);
        self.start_batch_calls(now);
        self.request_permits(now);
        self.result_owners.expire(now);
        self.free_delayed_results(now);
        self.free_results(now);
    }

    /// Handles an event from one of the gateway's tasks.
    pub fn handle_event(&mut self, cx: CX![], event: GatewayEvent) {
        let now = self.now(cx);
        self.renew_rollout_permit(now);
        match event {
            GatewayEvent::RequestArrived {
                number,
                call,
                decisions,
            } => {
                self.handle_arrival(number, *call, decisions, now);
                if self.streams.has_lookups() {
                    let end_of_holders = Duration::from_millis(HOLDERS_TIMEOUT);
                    after!(end_of_holders, [cx], check_lookups());
                }
            }
            GatewayEvent::HeadReceived { number, load } => {
                self.record_begun_stream(number, now);
                let actions = self.dispatcher.head_received(number, load, now);
                self.apply_actions(actions, now);
            }
            GatewayEvent::SendEnded {
                number,
                outcome,
                load,
            } => {
                self.record_send_success(number, outcome, now);
                let actions = self.dispatcher.send_ended(number, outcome, load, now);
                self.count_send_end(number, outcome, &actions);
                self.apply_actions(actions, now);
                if !self.dispatcher.is_open(number) {
                    self.finish_request(number, outcome_label(outcome), now);
                }
            }
            GatewayEvent::CallerDisconnected { number } => {
                self.startup_queue.remove(number);
                self.streams.remove(number);
                let actions = self.dispatcher.caller_disconnected(number, now);
                self.apply_actions(actions, now);
                self.finish_request(number, "caller_gone", now);
            }
            GatewayEvent::BatchEnded { call, outcome } => {
                self.count_call_end(call, &outcome);
                self.record_call_reachability(call, &outcome, now);
                if outcome == CallOutcome::AddressMismatch {
                    self.record_mismatch_of_call(call, now);
                }
                if outcome.may_be_crash() {
                    if let Some(connection_loss) = self.batcher.break_off(call) {
                        self.handle_connection_loss(connection_loss, now);
                    }
                }
                let finished = self.batcher.call_ended(call, outcome, now);
                self.handle_finished_orders(finished, now);
            }
            GatewayEvent::ProbeFinished { instance, result } => {
                self.handle_probe_result(&instance, result, now)
            }
            GatewayEvent::ResultsFreed { handles } => self.batcher.results_freed(&handles),
            GatewayEvent::AddressMismatch { called } => {
                let instances = &mut self.dispatcher.instances;
                let listed = instances.get(&called.instance);
                // The list may name another address by now.
                if listed.is_some_and(|backend| backend.listed.address == called.address) {
                    instances.record_address_mismatch(&called.instance, now);
                }
            }
            GatewayEvent::BackendListRead(read) => self.handle_list_read(cx, read, now),
            GatewayEvent::BackendListFailed(reason) => self.handle_list_failure(&reason),
            GatewayEvent::SurfaceRequested { request, reply } => {
                self.handle_surface_request(cx, request, reply, now)
            }
        }
        self.start_batch_calls(now);
        self.request_permits(now);
        self.free_results(now);
        // Orders of other nodes count too: a graceful stop waits for them.
        let open = self.dispatcher.open_requests() + self.batcher.order_and_call_counts().0;
        let metrics = &self.setup.metrics;
        metrics.gateway_requests.set(open as i64);
        metrics.set_log_counts(&self.setup.log.counts());
    }

    pub(super) fn handle_arrival(
        &mut self,
        number: RequestNumber,
        call: CallAttributes,
        decisions: mpsc::UnboundedSender<Decision>,
        now: Millis,
    ) {
        let open = OpenRequest {
            decisions,
            arrived_at: now,
            failure_counter: None,
        };
        self.open_requests.insert(number, open);
        for name in &call.stripped_headers {
            let counter = &self.setup.metrics.stripped_headers;
            counter.with_label_values(&[name]).inc();
        }
        if call.forwarded.is_some() {
            self.count_forward("received");
        }
        if let Some(call) = self.find_origin(number, call, now) {
            self.admit(number, call, now, now);
        }
    }

    fn check_lookups(&mut self, cx: CX![]) {
        let now = self.now(cx);
        self.expire_lookups(now);
        if self.streams.has_lookups() {
            let end_of_others = Duration::from_millis(ALL_TIMEOUT);
            after!(end_of_others, [cx], check_lookups());
        }
    }

    /// Dispatches a request that arrived at `arrived_at`, or queues it if there is no traffic
    /// configuration yet.
    pub(super) fn admit(
        &mut self,
        number: RequestNumber,
        call: CallAttributes,
        arrived_at: Millis,
        now: Millis,
    ) {
        let is_refusing = self.setup.state.borrow().refusing;
        let uptime = now.saturating_sub(self.started_at);
        let may_wait = !self.dispatcher.has_routes() && self.startup_queue.may_wait(uptime);
        if may_wait && !is_refusing {
            self.startup_queue.add(QueuedRequest {
                number,
                call,
                arrived_at,
            });
            return;
        }
        let actions = if is_refusing {
            self.dispatcher.refuse(number, &call, ResultCode::Stopping)
        } else {
            self.dispatcher
                .handle_delayed_request(number, call, arrived_at, now)
        };
        self.apply_actions(actions, now);
    }

    /// Dispatches queued requests once a traffic configuration is applied, and rejects those
    /// whose wait has expired.
    pub(super) fn dispatch_queued_requests(&mut self, now: Millis) {
        let due = self
            .startup_queue
            .take_due(self.dispatcher.has_routes(), now);
        for QueuedRequest {
            number,
            call,
            arrived_at,
        } in due
        {
            let Some(call) = self.find_origin(number, call, now) else {
                continue;
            };
            let actions = self
                .dispatcher
                .handle_delayed_request(number, call, arrived_at, now);
            self.apply_actions(actions, now);
        }
    }

    /// Counts a request or a phase by network distance.
    pub(super) fn count_distance(&self, kind: &str, distance: Distance) {
        let counter = &self.setup.metrics.work_by_distance;
        counter.with_label_values(&[kind, distance.name()]).inc();
    }

    /// Removes a finished request and records its duration under `outcome`.
    pub(super) fn finish_request(&mut self, number: RequestNumber, outcome: &str, now: Millis) {
        if let Some(open) = self.open_requests.remove(&number) {
            let seconds = now.saturating_sub(open.arrived_at) as f64 / 1_000.0;
            self.setup
                .metrics
                .request_seconds
                .with_label_values(&[REQUEST_KIND, outcome])
                .observe(seconds);
        }
    }

    pub(super) fn apply_actions(&mut self, actions: Vec<Action>, now: Millis) {
        for action in actions {
            match action {
                Action::Answer { number, refusal } => {
                    let reason = refusal.code.reason();
                    self.setup
                        .metrics
                        .refusals
                        .with_label_values(&[reason])
                        .inc();
                    self.send_decision(number, Decision::Answer(refusal));
                    self.finish_request(number, reason, now);
                }
                Action::Send { number, plan } => {
                    self.count_distance("request", plan.distance);
                    self.count_send_start(number, &plan);
                    self.send_decision(number, Decision::Send(plan.into()));
                }
                Action::Forward { number, plan } => {
                    self.count_forward("sent");
                    self.send_decision(number, Decision::Forward(plan.into()));
                }
                Action::Submit {
                    work,
                    request,
                    phase,
                } => self.submit_order(work, &request, phase, now),
                Action::Announce {
                    work,
                    order,
                    regions,
                } => self.announce_order(work, order, &regions, now),
                Action::Diagnose { broken } => self.handle_connection_loss(broken, now),
                Action::Cancel { work } => self.cancel_order(work),
                Action::Release { handles, .. } => self.release_results(handles),
            }
        }
    }

    pub(super) fn send_decision(&mut self, number: RequestNumber, decision: Decision) {
        if let Some(open) = self.open_requests.get(&number) {
            // A task that has ended sends an event of its own.
            let _ = open.decisions.send(decision);
        }
    }
}

/// First work identifier of a process. The incarnation is stored in the high bits, so that
/// answers to orders of an earlier process are not attributed to this one.
pub(super) fn first_work_id(incarnation: u64) -> WorkId {
    incarnation << 20
}
