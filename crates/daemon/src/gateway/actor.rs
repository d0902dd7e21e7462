//! The actor that decides for the gateway.

use crate::clock::Clock;
use crate::gateway::calls::GatewayCalls;
use crate::gateway::event::{Decision, GatewayEvent, SurfaceReply, SurfaceRequest};
use crate::gateway::owners::{batch_owner, OwnerStep, OwnerWatch};
use crate::gateway::works::Works;
use crate::metrics::Metrics;
use crate::outbox::SharedOutbox;
use crate::replica::{ProposalOutcome, ProposerActor, SharedStatus};
use crate::session::{RelayActor, SharedNodeState};
use crate::settings::GatewaySettings;
use silversail_consensus::Millis;
use silversail_control::{ControlCommand, PublishedTraffic, ViewVersion};
use silversail_decisions::{DecisionLog, Event as LogEvent};
use silversail_model::{NodeName, ResultCode};
use silversail_peer::{
    ListingVersion, PeerMessage, PhaseWork, PieceFailure, ResultHandle, WorkId, WorkMessage,
};
use silversail_serving::batcher::{Batcher, FinishedOrder, OrderKey};
use silversail_serving::dispatcher::{
    Action, Dispatcher, NotRunReason, RequestNumber, SendOutcome, UnknownReason,
};
use silversail_serving::ports::Protocols;
use silversail_serving::retry_budget::RetryLimits;
use silversail_serving::routes::RouteTable;
use stakker::{after, call, ret_some_to, Actor, CX};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Interval while there is work.
const BUSY_TICK: Duration = Duration::from_millis(25);
/// Interval while there is none.
const IDLE_TICK: Duration = Duration::from_millis(250);
/// For how long a node relies on the leader's read of the list, in milliseconds.
const LISTING_LEASE: Millis = 2_000;
/// Longest wait for a publication to be committed.
const PUBLISH_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Label of the gateway's requests beside those of pipelines.
const GATEWAY: &str = "gateway";

/// What the gateway is made of.
pub struct GatewaySetup {
    /// Settings.
    pub settings: GatewaySettings,
    /// Zone of this node.
    pub zone: String,
    /// What the node has in force.
    pub state: SharedNodeState,
    /// Sending to other nodes.
    pub outbox: SharedOutbox,
    /// Proposes to the control group.
    pub proposer: Actor<ProposerActor>,
    /// Tells all nodes the list of back ends; none on a node that is no relay.
    pub relay: Option<Actor<RelayActor>>,
    /// Status of the control group's replica.
    pub control: SharedStatus,
    /// The outside protocols.
    pub protocols: Protocols,
    /// Calls to back ends.
    pub calls: Box<dyn GatewayCalls>,
    /// Decisions.
    pub log: DecisionLog,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// Time.
    pub clock: Clock,
}

/// A request whose task waits for decisions.
struct OpenRequest {
    decisions: mpsc::UnboundedSender<Decision>,
    arrived_at: Millis,
}

/// Decides for the gateway.
pub struct GatewayActor {
    setup: GatewaySetup,
    node: NodeName,
    dispatcher: Dispatcher,
    batcher: Batcher,
    works: Works,
    open: BTreeMap<RequestNumber, OpenRequest>,
    owners: BTreeMap<String, NodeName>,
    owner_watch: OwnerWatch,
    traffic_version: Option<u64>,
    view_version: ViewVersion,
    listing_version: Option<ListingVersion>,
    list_works: bool,
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
        // A number of the process in the high bits, so that answers to a former
        // process of this node are not taken for this one's.
        let first_work = incarnation << 20;
        let log = setup.log.clone();
        after!(IDLE_TICK, [cx], tick());
        Some(Self {
            node,
            dispatcher: Dispatcher::new(&setup.zone, limits, first_work, log.clone()),
            batcher: Batcher::new(log),
            works: Works::default(),
            open: BTreeMap::new(),
            owners: BTreeMap::new(),
            owner_watch: OwnerWatch::default(),
            traffic_version: None,
            view_version: ViewVersion::default(),
            listing_version: None,
            list_works: true,
            setup,
        })
    }

    fn now(&self, cx: CX![]) -> Millis {
        self.setup.clock.millis(cx.now())
    }

    fn tick(&mut self, cx: CX![]) {
        let is_busy = self.dispatcher.open_requests() > 0 || self.batcher.sizes() != (0, 0);
        let interval = if is_busy { BUSY_TICK } else { IDLE_TICK };
        after!(interval, [cx], tick());
        let now = self.now(cx);
        let expired = self.dispatcher.expire(now);
        self.carry_out(expired, now);
        let late = self.batcher.expire(now);
        self.orders_finished(late, now);
        self.choose_list_reader(now);
        self.tell_inputs_read(now);
        self.watch_owners(now);
        self.resubmit(now);
        self.start_batches(now);
        self.free_results();
    }

    /// The leader reads the list of back ends for all; others only while they do not
    /// know that it lately did.
    fn choose_list_reader(&mut self, now: Millis) {
        let leads = self.setup.control.borrow().is_leader;
        let state = self.setup.state.borrow();
        let reads = leads || !state.has_current_listing(now, LISTING_LEASE);
        self.setup.calls.set_list_reader(reads);
    }

    /// Passes over batching nodes that owe an answer and give no sign.
    fn watch_owners(&mut self, now: Millis) {
        let mut changed = self.owner_watch.expire(now);
        for (owner, (work, since)) in self.works.owing() {
            if owner == self.node {
                continue;
            }
            match self.owner_watch.look(&owner, since, now) {
                OwnerStep::Wait => {}
                OwnerStep::Ask => {
                    if let Some(phase) = self.works.phase_of(work, now) {
                        self.send_work(&owner, WorkMessage::Submit { work, phase });
                    }
                }
                OwnerStep::PassOver => {
                    changed = true;
                    self.setup.log.record(LogEvent::Dependency {
                        name: format!("batching node {owner}"),
                        works: false,
                        detail: format!("owes an answer for {} ms", now.saturating_sub(since)),
                    });
                }
            }
        }
        if changed {
            self.refresh_owners(now);
        }
    }

    fn tell_inputs_read(&mut self, now: Millis) {
        for OrderKey { node, work } in self.batcher.inputs_read(now) {
            if node == self.node {
                self.inputs_read(work, now);
            } else {
                self.send_work(&node, WorkMessage::InputsRead { work });
            }
        }
    }

    fn inputs_read(&mut self, work: WorkId, now: Millis) {
        let actions = self.dispatcher.inputs_read(work);
        self.carry_out(actions, now);
    }

    /// Something that a task of the gateway tells.
    pub fn event(&mut self, cx: CX![], event: GatewayEvent) {
        let now = self.now(cx);
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
                let actions = self.dispatcher.send_ended(number, outcome, load, now);
                self.count_send(outcome, &actions);
                self.carry_out(actions, now);
                if !self.dispatcher.is_open(number) {
                    self.close(number, outcome_label(outcome), now);
                }
            }
            GatewayEvent::CallerGone { number } => {
                let actions = self.dispatcher.caller_gone(number, now);
                self.carry_out(actions, now);
                self.close(number, "caller_gone", now);
            }
            GatewayEvent::BatchEnded { call, outcome } => {
                let finished = self.batcher.call_ended(call, outcome, now);
                self.orders_finished(finished, now);
            }
            GatewayEvent::Listed(listed) => {
                self.list_state(true, "");
                if let Some(relay) = &self.setup.relay {
                    call!([relay], list_read(listed.clone()));
                }
                self.dispatcher.instances.replace(listed);
            }
            GatewayEvent::ListFailed(why) => self.list_state(false, &why),
            GatewayEvent::Surface { request, reply } => self.surface(cx, request, reply, now),
        }
        self.start_batches(now);
        self.free_results();
        // Orders of other nodes count too: a stop must not leave them behind.
        let open = self.dispatcher.open_requests() + self.batcher.sizes().0;
        let metrics = &self.setup.metrics;
        metrics.gateway_requests.set(open as i64);
        metrics.take_log_counts(&self.setup.log.counts());
    }

    fn list_state(&mut self, works: bool, detail: &str) {
        if self.list_works != works {
            self.list_works = works;
            self.setup.log.record(LogEvent::Dependency {
                name: "backend_list".to_owned(),
                works,
                detail: detail.to_owned(),
            });
        }
    }

    fn arrived(
        &mut self,
        number: RequestNumber,
        call: silversail_serving::ports::CallAttributes,
        decisions: mpsc::UnboundedSender<Decision>,
        now: Millis,
    ) {
        let open = OpenRequest {
            decisions,
            arrived_at: now,
        };
        self.open.insert(number, open);
        let actions = if self.setup.state.borrow().refusing {
            self.dispatcher.refuse(number, &call, ResultCode::Stopping)
        } else {
            self.dispatcher.arrive(number, call, now)
        };
        self.carry_out(actions, now);
    }

    /// Counts a send that failed, and whether it is followed by another.
    fn count_send(&self, outcome: SendOutcome, actions: &[Action]) {
        let is_retried = actions
            .iter()
            .any(|action| matches!(action, Action::Send { .. }));
        let label = outcome_label(outcome);
        let metrics = &self.setup.metrics;
        metrics.gateway_sends.with_label_values(&[label]).inc();
        if is_retried {
            metrics.retries.with_label_values(&[label]).inc();
        }
    }

    /// A request ended: its time is counted by how.
    fn close(&mut self, number: RequestNumber, outcome: &str, now: Millis) {
        if let Some(open) = self.open.remove(&number) {
            let seconds = now.saturating_sub(open.arrived_at) as f64 / 1_000.0;
            self.setup
                .metrics
                .request_seconds
                .with_label_values(&[GATEWAY, outcome])
                .observe(seconds);
        }
    }

    fn carry_out(&mut self, actions: Vec<Action>, now: Millis) {
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
                Action::Send { number, plan } => self.decide(number, Decision::Send(plan.into())),
                Action::Submit {
                    work,
                    request,
                    phase,
                } => self.submit(work, &request, phase, now),
                Action::Cancel { work, .. } => self.cancel(work),
                Action::Release { service, handles } => self.release(service, handles),
            }
        }
    }

    fn decide(&mut self, number: RequestNumber, decision: Decision) {
        if let Some(open) = self.open.get(&number) {
            // A task that is gone has told so.
            let _ = open.decisions.send(decision);
        }
    }

    fn owner_of(&self, service: &str) -> NodeName {
        self.owners.get(service).unwrap_or(&self.node).clone()
    }

    fn submit(&mut self, work: WorkId, request: &str, phase: PhaseWork, now: Millis) {
        let owner = self.owner_of(&phase.service);
        let first = phase.pieces.first();
        self.setup.log.record(LogEvent::PhaseSubmitted {
            request: request.to_owned(),
            phase: first.map_or(0, |piece| piece.phase),
            service: phase.service.clone(),
            pieces: phase.pieces.len(),
            owner: owner.0.clone(),
            remaining_ms: phase.remaining_ms,
        });
        self.works
            .submitted(work, owner.clone(), phase.clone(), now);
        self.hand_over(work, &owner, phase, now);
    }

    fn hand_over(&mut self, work: WorkId, owner: &NodeName, phase: PhaseWork, now: Millis) {
        if *owner != self.node {
            self.send_work(owner, WorkMessage::Submit { work, phase });
            return;
        }
        let key = OrderKey {
            node: self.node.clone(),
            work,
        };
        self.take_order(key, phase, now);
    }

    fn take_order(&mut self, key: OrderKey, phase: PhaseWork, now: Millis) {
        let table = &self.dispatcher.instances;
        let service = phase.service.clone();
        if let Err(failure) = self.batcher.submit(key.clone(), phase, table, now) {
            let refused = FinishedOrder {
                key,
                service,
                result: Err(failure),
            };
            self.orders_finished(vec![refused], now);
        }
    }

    fn cancel(&mut self, work: WorkId) {
        let Some(owner) = self.works.ended(work) else {
            return;
        };
        if owner != self.node {
            self.send_work(&owner, WorkMessage::Cancel { work });
            return;
        }
        let node = self.node.clone();
        self.batcher.cancel(&OrderKey { node, work });
    }

    fn release(&mut self, service: String, handles: Vec<ResultHandle>) {
        let owner = self.owner_of(&service);
        self.release_at(&owner, handles);
    }

    fn release_at(&mut self, owner: &NodeName, handles: Vec<ResultHandle>) {
        if handles.is_empty() {
            return;
        }
        if *owner == self.node {
            self.batcher.release(&handles);
        } else {
            self.send_work(owner, WorkMessage::Release { handles });
        }
    }

    fn send_work(&mut self, to: &NodeName, message: WorkMessage) {
        let mut outbox = self.setup.outbox.borrow_mut();
        outbox.send(to, PeerMessage::Work(message));
    }

    /// Work that another node hands to this one, or an answer to work of its own.
    pub fn work(&mut self, cx: CX![], from: NodeName, message: WorkMessage) {
        let now = self.now(cx);
        self.owner_watch.heard(&from, now);
        match message {
            WorkMessage::Submit { work, phase } => {
                let waits = self
                    .batcher
                    .waits(&phase.service, &self.dispatcher.instances);
                self.send_work(&from, WorkMessage::Accepted { work, waits });
                self.take_order(OrderKey { node: from, work }, phase, now);
            }
            WorkMessage::Accepted { waits, .. } => self.dispatcher.set_waits(waits, now),
            WorkMessage::Done {
                work,
                result,
                waits,
            } => {
                self.dispatcher.set_waits(waits, now);
                self.work_done(&from, work, result, now);
            }
            WorkMessage::InputsRead { work } => self.inputs_read(work, now),
            WorkMessage::Cancel { work } => self.batcher.cancel(&OrderKey { node: from, work }),
            WorkMessage::Release { handles } => self.batcher.release(&handles),
        }
        self.start_batches(now);
        self.free_results();
    }

    fn work_done(
        &mut self,
        owner: &NodeName,
        work: WorkId,
        result: Result<Vec<ResultHandle>, PieceFailure>,
        now: Millis,
    ) {
        let is_wanted = self.works.ended(work).is_some() && self.dispatcher.knows_work(work);
        if !is_wanted {
            // Cancelled, or given to another node meanwhile.
            self.release_at(owner, result.unwrap_or_default());
            return;
        }
        let actions = self.dispatcher.phase_done(work, result, now);
        self.carry_out(actions, now);
    }

    fn orders_finished(&mut self, finished: Vec<FinishedOrder>, now: Millis) {
        for FinishedOrder {
            key,
            service,
            result,
        } in finished
        {
            let work = key.work;
            let waits = self.batcher.waits(&service, &self.dispatcher.instances);
            if key.node == self.node {
                self.dispatcher.set_waits(waits, now);
                self.work_done(&key.node, work, result, now);
                continue;
            }
            let done = WorkMessage::Done {
                work,
                result,
                waits,
            };
            self.send_work(&key.node, done);
        }
    }

    /// Gives orders again whose owner is gone or silent.
    fn resubmit(&mut self, now: Millis) {
        if self.works.is_empty() {
            return;
        }
        let live = self.live_nodes();
        let watch = &self.owner_watch;
        let is_reached =
            |owner: &NodeName| live.contains(owner) && !watch.is_passed_over(owner, now);
        let due = self.works.due(now, is_reached);
        for work in due {
            let owners = &self.owners;
            let own = &self.node;
            let owner_of = |service: &str| owners.get(service).unwrap_or(own).clone();
            let Some((former, owner, phase)) = self.works.renew(work, owner_of, now) else {
                continue;
            };
            if former != owner && former != self.node {
                self.send_work(&former, WorkMessage::Cancel { work });
            }
            self.hand_over(work, &owner, phase, now);
        }
    }

    fn live_nodes(&self) -> Vec<NodeName> {
        let state = self.setup.state.borrow();
        let nodes = state.view.nodes.iter().map(|status| status.node.clone());
        nodes.chain([self.node.clone()]).collect()
    }

    fn start_batches(&mut self, now: Millis) {
        let calls = self.batcher.next_calls(&self.dispatcher.instances, now);
        for call in calls {
            let pieces = call.pieces.len() as f64;
            self.setup.metrics.batch_pieces.observe(pieces);
            let protocol = &self.setup.protocols.batches;
            let request = protocol.run_call(&call.instance, &call.pieces);
            self.setup.calls.run_batch(call, request);
        }
    }

    fn free_results(&mut self) {
        let mut by_maker: BTreeMap<String, Vec<ResultHandle>> = BTreeMap::new();
        for handle in self.batcher.take_releases() {
            let address = self.setup.protocols.batches.maker_address(&handle);
            by_maker.entry(address.to_owned()).or_default().push(handle);
        }
        for (address, handles) in by_maker {
            // An address that has another back end now must not be asked.
            if self.dispatcher.instances.at_address(&address).is_none() {
                continue;
            }
            let request = self.setup.protocols.batches.free_call(&handles);
            self.setup.calls.free(address, request);
        }
    }

    /// Configuration, view or machine states changed.
    pub fn node_state_changed(&mut self, cx: CX![]) {
        let now = self.now(cx);
        self.follow_traffic(now);
        self.follow_view(now);
        self.follow_listing();
        self.resubmit(now);
        self.start_batches(now);
    }

    fn follow_traffic(&mut self, now: Millis) {
        let traffic = self.setup.state.borrow().traffic.clone();
        let Some(traffic) = traffic else {
            return;
        };
        if self.traffic_version == Some(traffic.version()) {
            return;
        }
        let before = self.traffic_version.replace(traffic.version());
        self.setup.log.record(LogEvent::TrafficInForce {
            version: traffic.version(),
            before: before.unwrap_or_default(),
        });
        self.dispatcher
            .set_routes(RouteTable::new(&traffic.traffic));
        let services = traffic.traffic.services.iter();
        let specs = services
            .filter_map(|service| Some((service.name.clone(), service.batch.clone()?)))
            .collect();
        self.batcher.set_specs(specs);
        let limits = traffic.traffic.limits.clone();
        self.setup.calls.set_limits(limits);
        self.refresh_owners(now);
    }

    fn follow_listing(&mut self) {
        let listing = self.setup.state.borrow().listing.clone();
        let Some(listing) = listing.filter(|one| Some(one.version) > self.listing_version) else {
            return;
        };
        self.listing_version = Some(listing.version);
        self.dispatcher.instances.replace(listing.entries.clone());
    }

    fn follow_view(&mut self, now: Millis) {
        let (version, names) = {
            let state = self.setup.state.borrow();
            if state.view.version == self.view_version {
                return;
            }
            let nodes = state.view.usable_nodes();
            let names: Vec<String> = nodes.map(|status| status.node.0.clone()).collect();
            (state.view.version, names)
        };
        self.view_version = version;
        self.dispatcher.set_nodes(names.len());
        self.setup.log.record(LogEvent::View {
            version: format!("{}.{}", version.term, version.sequence),
            nodes: names,
        });
        self.refresh_owners(now);
    }

    fn refresh_owners(&mut self, now: Millis) {
        let state = self.setup.state.borrow();
        let Some(traffic) = &state.traffic else {
            return;
        };
        for service in &traffic.traffic.services {
            if service.batch.is_none() {
                continue;
            }
            let is_passed_over = |node: &NodeName| self.owner_watch.is_passed_over(node, now);
            let owner = batch_owner(&state.view, &service.name, &self.node, is_passed_over);
            let former = self.owners.insert(service.name.clone(), owner.clone());
            if former.as_ref() != Some(&owner) {
                self.setup.log.record(LogEvent::BatchOwner {
                    service: service.name.clone(),
                    owner: owner.0,
                });
            }
        }
    }

    fn surface(
        &mut self,
        cx: CX![],
        request: SurfaceRequest,
        reply: oneshot::Sender<SurfaceReply>,
        now: Millis,
    ) {
        let answer = match request {
            SurfaceRequest::Publish(published) => {
                self.publish(cx, *published, reply);
                return;
            }
            SurfaceRequest::ReadTraffic => self.read_traffic(now),
            SurfaceRequest::Readiness => self.readiness(),
            SurfaceRequest::EntryPoints { zone } => self.entry_points(zone.as_deref()),
        };
        // Whoever asked may have left.
        let _ = reply.send(answer);
    }

    fn publish(
        &mut self,
        cx: CX![],
        published: PublishedTraffic,
        reply: oneshot::Sender<SurfaceReply>,
    ) {
        let command = ControlCommand::Publish(published).encode();
        let ret = ret_some_to!([cx], publication_ended(reply) as (ProposalOutcome));
        call!(
            [self.setup.proposer],
            propose(command, PUBLISH_TIMEOUT, ret)
        );
    }

    fn publication_ended(
        &mut self,
        _: CX![],
        reply: oneshot::Sender<SurfaceReply>,
        outcome: ProposalOutcome,
    ) {
        let published = match outcome {
            ProposalOutcome::Applied(bytes) => postcard::from_bytes(&bytes).ok(),
            ProposalOutcome::Unavailable => None,
        };
        let answer = match published {
            Some(published) => SurfaceReply::Published(published),
            None => SurfaceReply::Unavailable(ResultCode::NoLeader),
        };
        let _ = reply.send(answer);
    }

    /// The document in force, where the quorum confirmed it lately.
    fn read_traffic(&self, now: Millis) -> SurfaceReply {
        let state = self.setup.state.borrow();
        if !state.is_current(now, self.setup.settings.read_staleness_ms) {
            return SurfaceReply::Unavailable(ResultCode::NotCurrent);
        }
        match &state.traffic {
            Some(traffic) => SurfaceReply::Traffic(traffic.document.clone()),
            None => SurfaceReply::Unavailable(ResultCode::NoTrafficConfiguration),
        }
    }

    fn readiness(&self) -> SurfaceReply {
        let state = self.setup.state.borrow();
        if state.stopping {
            return SurfaceReply::Unavailable(ResultCode::Stopping);
        }
        match state.traffic {
            Some(_) => SurfaceReply::Ready,
            None => SurfaceReply::Unavailable(ResultCode::NoTrafficConfiguration),
        }
    }

    /// Addresses of the usable nodes, by the newest view that is known; this
    /// node's own where none is.
    fn entry_points(&self, _zone: Option<&str>) -> SurfaceReply {
        let state = self.setup.state.borrow();
        let nodes = state.view.usable_nodes();
        let mut addresses: Vec<String> = nodes.map(|one| one.caller_address.clone()).collect();
        let serves = state.traffic.is_some() && !state.stopping;
        if addresses.is_empty() && serves {
            addresses.push(self.setup.settings.callers.clone());
        }
        match addresses.is_empty() {
            true => SurfaceReply::Unavailable(ResultCode::NotCurrent),
            false => SurfaceReply::EntryPoints(addresses),
        }
    }
}

/// Label of what came of a send.
fn outcome_label(outcome: SendOutcome) -> &'static str {
    match outcome {
        SendOutcome::Delivered { is_whole: true, .. } => "whole",
        SendOutcome::Delivered { .. } => "broken_midway",
        SendOutcome::NotRun(NotRunReason::Unreachable) => "unreachable",
        SendOutcome::NotRun(NotRunReason::Full) => "full",
        SendOutcome::NotRun(NotRunReason::Misplaced) => "misplaced",
        SendOutcome::NotRun(NotRunReason::InputsGone) => "inputs_gone",
        SendOutcome::NotRun(NotRunReason::Refused) => "refused",
        SendOutcome::Unknown(UnknownReason::Broken) => "broken",
        SendOutcome::Unknown(UnknownReason::Garbled) => "garbled",
        SendOutcome::Unknown(UnknownReason::Deadline) => "deadline",
        SendOutcome::Failed { .. } => "failed",
    }
}
