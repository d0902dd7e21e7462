//! The life of a request from its arrival to its answer: phases first, then attempts to send it
//! to an engine, until one answers, the deadline passes or no further attempt is allowed.
//!
//! The dispatcher holds the state of all requests of a node. Its inputs return [`Action`]s,
//! which the caller carries out.

mod action;
mod admission;
mod backoff;
mod forwarding;
mod limits;
mod outcomes;
mod phases;
mod piece_limits;
mod progress;
mod quarantine;
mod regions;
mod request;
mod resuming;
mod sending;

use crate::configuration_history::ConfigurationHistory;
use crate::forwarding::PeerTable;
use crate::instances::InstanceTable;
use crate::notices::BackendNotices;
use crate::policy::Policy;
use crate::popularity::PromptPopularity;
use crate::ports::{shared_parts, CallAttributes, ReportedLoad};
use crate::quarantine::RequestQuarantine;
use crate::reachability::ReachabilityMonitor;
use crate::retry_budget::{RetryBudget, RetryLimits};
use crate::rollouts::RolloutTracker;
use crate::routes::{ResolvedRoute, RouteError, RouteTable};
use crate::selection::select;
use crate::waits::ShardWaitTable;
use crate::Millis;
pub use action::{Action, NotRunReason, Refusal, SendOutcome, SendPlan, UnknownReason};
use admission::Admission;
pub use quarantine::{AnsweredRequest, LASTING_ANSWER};
use request::ActiveRequest;
use silversail_decisions::{DecisionLog, Event};
use silversail_model::topology::RegionFilter;
use silversail_model::{RequestFingerprint, ResultCode, Topology};
use silversail_peer::{BackendListEntries, ShardWaitEstimates, WorkId};
use silversail_rollout::Rollout;
use std::collections::BTreeMap;
use std::sync::Arc;

/// `Retry-After` of a rejection because of overload, in milliseconds.
const RETRY_AFTER_OVERLOAD: u64 = 600;
/// `Retry-After` of other temporary rejections, in milliseconds.
const RETRY_AFTER: u64 = 250;
/// HTTP status of rejections after which a caller may retry.
const SERVICE_UNAVAILABLE: u16 = 503;

/// Number of a request, unique within this process.
pub type RequestNumber = u64;

/// State machine of all requests of a node.
pub struct Dispatcher {
    topology: Arc<Topology>,
    routes: Option<RouteTable>,
    /// The back ends that requests are sent to.
    pub instances: InstanceTable,
    /// Rollouts of the services that take requests.
    pub rollouts: RolloutTracker,
    /// Requests that are rejected because they crash back ends.
    pub quarantine: RequestQuarantine,
    /// Whether this node reaches any back end.
    pub reachability: ReachabilityMonitor,
    peers: PeerTable,
    configurations: ConfigurationHistory,
    budget: RetryBudget,
    nodes: usize,
    requests: BTreeMap<RequestNumber, ActiveRequest>,
    orders: BTreeMap<WorkId, (RequestNumber, usize)>,
    admission: Admission,
    prompt_popularity: PromptPopularity,
    policy: Policy,
    next_work: WorkId,
    log: DecisionLog,
}

impl Dispatcher {
    /// Creates a dispatcher without configuration or back ends. Orders are numbered from
    /// `first_work`, which has to differ between processes of a node.
    pub fn new(
        topology: Arc<Topology>,
        limits: RetryLimits,
        policy: Policy,
        first_work: WorkId,
        log: DecisionLog,
    ) -> Self {
        let mut instances = InstanceTable::new(log.clone());
        instances.set_resume_policy(policy.returns);
        Self {
            routes: None,
            instances,
            rollouts: RolloutTracker::default(),
            quarantine: RequestQuarantine::default(),
            reachability: ReachabilityMonitor::default(),
            peers: PeerTable::default(),
            configurations: ConfigurationHistory::default(),
            budget: RetryBudget::new(limits),
            nodes: 1,
            requests: BTreeMap::new(),
            orders: BTreeMap::new(),
            admission: Admission::new(topology.clone(), policy),
            topology,
            prompt_popularity: PromptPopularity::default(),
            policy,
            next_work: first_work,
            log,
        }
    }

    /// Uses `notices` for the self-reports of back ends, and removes all back ends. Threads that
    /// read answers write to `notices`.
    pub fn with_notices(mut self, notices: BackendNotices) -> Self {
        self.instances = InstanceTable::with_notices(notices, self.log.clone());
        self.instances.set_resume_policy(self.policy.returns);
        self
    }

    /// Sets the nodes that share the retry budget and the limits of cold back ends, and the name
    /// of this one.
    pub fn set_nodes(&mut self, own: &str, nodes: Vec<String>) {
        self.nodes = nodes.len().max(1);
        self.instances.set_senders(own, nodes);
    }

    /// Applies a version of the list of back ends.
    pub fn apply_backend_list(&mut self, listed: &BackendListEntries, now: Millis) {
        let is_changed = self.instances.apply_list(listed);
        self.instances.record_version_history(now);
        if is_changed {
            self.instances.hold_back_new_versions(now);
            self.instances.forget_removed(now);
        }
    }

    /// Applies the latest rollout of each service.
    pub fn apply_rollouts<'a>(&mut self, rollouts: impl IntoIterator<Item = &'a Rollout>) {
        self.rollouts.update(rollouts);
        let roles = self.rollouts.roles().clone();
        self.instances.set_version_roles(roles);
    }

    /// Records wait estimates of shards of batched services.
    pub fn set_waits(&mut self, waits: impl IntoIterator<Item = ShardWaitEstimates>, now: Millis) {
        for estimate in waits {
            self.admission.waits.update(estimate, now);
        }
    }

    /// Current wait estimates of the shards.
    pub fn waits(&self) -> &ShardWaitTable {
        &self.admission.waits
    }

    /// Whether an order belongs to an open request.
    pub fn has_order(&self, work: WorkId) -> bool {
        self.orders.contains_key(&work)
    }

    /// Number of open requests.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Fingerprint of an open request.
    pub fn fingerprint_of(&self, number: RequestNumber) -> Option<RequestFingerprint> {
        let request = self.requests.get(&number);
        request.map(|request| request.fingerprint)
    }

    /// Whether a request is open.
    pub fn is_open(&self, number: RequestNumber) -> bool {
        self.requests.contains_key(&number)
    }

    /// Rejects a request before it is admitted.
    pub fn refuse(
        &self,
        number: RequestNumber,
        call: &CallAttributes,
        code: ResultCode,
    ) -> Vec<Action> {
        vec![self.reject_unadmitted(number, call, code)]
    }

    /// Routes and admits a request that has just arrived.
    pub fn handle_request(
        &mut self,
        number: RequestNumber,
        call: CallAttributes,
        now: Millis,
    ) -> Vec<Action> {
        self.handle_delayed_request(number, call, now, now)
    }

    /// Regions that may serve requests of a host, as far as the host determines them; all
    /// regions without a traffic configuration.
    pub fn allowed_regions_of_host(&self, host: &str) -> RegionFilter {
        let routes = self.routes.as_ref();
        routes.map_or_else(RegionFilter::any, |routes| {
            routes.allowed_regions_of_host(host)
        })
    }

    /// Whether a traffic configuration is active.
    pub fn has_routes(&self) -> bool {
        self.routes.is_some()
    }

    /// Routes and admits a request that arrived at `since` and waited for a traffic
    /// configuration.
    pub fn handle_delayed_request(
        &mut self,
        number: RequestNumber,
        call: CallAttributes,
        since: Millis,
        now: Millis,
    ) -> Vec<Action> {
        if self.version() < call.min_version() {
            return vec![self.reject_unadmitted(number, &call, ResultCode::OlderConfiguration)];
        }
        let resolved_route = match self.resolve_route(&call) {
            Ok(resolved_route) => resolved_route,
            Err(code) => return vec![self.reject_unadmitted(number, &call, code)],
        };
        let timeout = resolved_route.route.timeout_ms;
        let wait = call
            .deadline_ms
            .map_or(timeout, |deadline| deadline.min(timeout));
        let mut request =
            ActiveRequest::new(call, resolved_route, self.policy, since, since + wait);
        self.log.record(Event::Admitted {
            request: request.call.id.clone(),
            route: request.resolved_route.route.name.clone(),
            service: request.resolved_route.service.clone(),
            version: self.version(),
            remaining_ms: request.end.saturating_sub(now),
            phases: request.resolved_route.route.phases.len(),
            fingerprint: request.fingerprint.to_string(),
            prompt_parts: shared_parts(&request.call.prefix)
                .map(|part| format!("{part:x}"))
                .collect(),
            is_forwarded: request.call.forwarded.is_some(),
        });
        let quarantined = self.quarantine_code(&request);
        if let Some(code) = quarantined.filter(|_| self.reachability.is_cut_off()) {
            self.requests.insert(number, request);
            return self.give_up(number, code, now);
        }
        if self.reachability.is_cut_off() {
            let is_forwarded = request.call.forwarded.is_some();
            self.requests.insert(number, request);
            return match is_forwarded {
                true => self.reject_cut_off(number, now),
                false => self.forward_or_reject(number, now),
            };
        }
        // The node that forwarded a repetition took it from its own retry budget.
        if request.sends == 0 {
            let service = &request.resolved_route.service;
            self.budget.record_first_attempt(service, now);
        }
        if request.resolved_route.route.has_prefix {
            let speed = self.policy.prefill_tokens_per_ms;
            request.shared_prompt = self
                .prompt_popularity
                .record(&request.call.prefix, speed, now);
        }
        if let Err(code) = self.restrict_resumed(&mut request, now) {
            self.requests.insert(number, request);
            return self.give_up(number, code, now);
        }
        let lacks_allowed_backends = self.lacks_allowed_backends(&request);
        let exceeded_limit = self.exceeded_piece_limit(&request, now);
        // The caller has a part of a resumed stream, and waited for it before.
        let is_new = request.version.is_none();
        let retry_after_ms = is_new
            .then(|| self.admission.rejects(&request, now))
            .flatten();
        let available_at = self.too_late_available_at(&request, now);
        self.admission.store_forecasts(&mut request, now);
        self.requests.insert(number, request);
        if let Some(code) = quarantined {
            return self.give_up(number, code, now);
        }
        if lacks_allowed_backends {
            return self.give_up(number, ResultCode::NoAllowedBackend, now);
        }
        if let Some(code) = exceeded_limit {
            return self.give_up(number, code, now);
        }
        if let Some(available_at) = available_at {
            return self.reject_until(number, available_at, now);
        }
        if let Some(retry_after_ms) = retry_after_ms {
            return self.end(
                number,
                ResultCode::PhaseOverloaded,
                Some(retry_after_ms),
                now,
            );
        }
        let mut actions = self.advance(number, now);
        actions.extend(self.announce(number));
        actions
    }

    /// Announces the later phases of an admitted request to their batching nodes.
    fn announce(&mut self, number: RequestNumber) -> Vec<Action> {
        if !self.policy.announced_orders {
            return Vec::new();
        }
        let Some(request) = self.requests.get_mut(&number) else {
            return Vec::new();
        };
        let mut actions = Vec::new();
        for phase in request.phases.to_announce() {
            let work = self.next_work;
            self.next_work += 1;
            request.phases.announced(phase, work);
            let order = request.announced_order(phase);
            let regions = request.resolved_route.regions.clone();
            actions.push(Action::Announce {
                work,
                order,
                regions,
            });
        }
        actions
    }

    fn version(&self) -> u64 {
        self.routes.as_ref().map_or(0, RouteTable::version)
    }

    fn resolve_route(&self, call: &CallAttributes) -> Result<ResolvedRoute, ResultCode> {
        let Some(routes) = &self.routes else {
            return Err(ResultCode::NoTrafficConfiguration);
        };
        routes.route(call).map_err(|error| match error {
            RouteError::NoRoute => ResultCode::UnknownRoute,
            RouteError::UnknownKey => ResultCode::UnknownKey,
            RouteError::OtherService => ResultCode::StreamVersionGone,
        })
    }

    fn reject_unadmitted(
        &self,
        number: RequestNumber,
        call: &CallAttributes,
        code: ResultCode,
    ) -> Action {
        let refusal = Refusal {
            code,
            retry_after_ms: retry_after(code),
        };
        self.log_refusal(&call.id, &refusal, 0, 0);
        Action::Answer { number, refusal }
    }

    fn log_refusal(&self, request: &str, refusal: &Refusal, after_ms: u64, sends: u32) {
        self.log.record(Event::Refused {
            request: request.to_owned(),
            status: refusal.code.http_status(),
            code: refusal.code.number(),
            reason: refusal.code.reason().to_owned(),
            version: self.version(),
            after_ms,
            sends,
            retry_after_ms: refusal.retry_after_ms.unwrap_or_default(),
        });
    }

    /// Starts the phases of a request that are due, or the send once all are done.
    fn advance(&mut self, number: RequestNumber, now: Millis) -> Vec<Action> {
        let Some(request) = self.requests.get_mut(&number) else {
            return Vec::new();
        };
        if request.phases.all_done() {
            return self.send(number, now);
        }
        // Large results are best made near the engine that is likely to be selected.
        let inputs = request.inputs_of_engine(&self.instances);
        let selection = request.selection(&self.topology, &inputs);
        let zone = select(&self.instances, &selection, now)
            .map_or_else(String::new, |engine| engine.listed.zone.clone());
        let time_to_first_byte = self
            .admission
            .time_to_first_byte_ms(&request.resolved_route.route.name);
        let mut actions = Vec::new();
        for phase in request.phases.startable() {
            let announced = request.phases.take_announced(phase);
            let work = announced.unwrap_or(self.next_work);
            self.next_work = self.next_work.max(work + 1);
            self.orders.insert(work, (number, phase));
            request.phases.submitted(phase, work, now);
            actions.push(Action::Submit {
                work,
                request: request.call.id.clone(),
                phase: request.phase_work(phase, &zone, &self.instances, time_to_first_byte, now),
            });
        }
        actions
    }

    /// Records the head of an engine's answer. The engine has read its inputs by then.
    pub fn head_received(
        &mut self,
        number: RequestNumber,
        load: Option<ReportedLoad>,
        now: Millis,
    ) -> Vec<Action> {
        let Some(request) = self.requests.get_mut(&number) else {
            return Vec::new();
        };
        let is_first = request.head_at.is_none();
        request.head_at.get_or_insert(now);
        if let Some(active_send) = &request.active_send {
            if let Some(load) = load {
                self.instances.record_load(&active_send.instance, load, now);
            }
            self.instances.record_answer(&active_send.instance);
            self.reachability.record_answer(&active_send.instance);
            if is_first && request.sends == 1 {
                let after = now.saturating_sub(active_send.began_at);
                let route = &request.resolved_route.route.name;
                self.admission.record_time_to_first_byte(route, after);
            }
        }
        request.drop_phases()
    }

    /// Ends a request with an answer of this node.
    fn give_up(&mut self, number: RequestNumber, code: ResultCode, now: Millis) -> Vec<Action> {
        self.end(number, code, retry_after(code), now)
    }

    fn end(
        &mut self,
        number: RequestNumber,
        code: ResultCode,
        retry_after_ms: Option<u64>,
        now: Millis,
    ) -> Vec<Action> {
        let Some(mut request) = self.requests.remove(&number) else {
            return Vec::new();
        };
        let code = request.corrected_code(code);
        self.log_refused_attribute(&request, code);
        let may_retry = code.http_status() == SERVICE_UNAVAILABLE;
        let refusal = Refusal {
            code,
            retry_after_ms: retry_after_ms.filter(|_| may_retry),
        };
        let after_ms = now.saturating_sub(request.arrived_at);
        self.log_refusal(&request.call.id, &refusal, after_ms, request.sends);
        let mut actions = request.drop_phases();
        self.forget_orders(&actions);
        actions.push(Action::Answer { number, refusal });
        actions
    }

    /// Ends a request whose caller disconnected.
    pub fn caller_disconnected(&mut self, number: RequestNumber, now: Millis) -> Vec<Action> {
        let Some(mut request) = self.requests.remove(&number) else {
            return Vec::new();
        };
        if let Some(forward) = request.active_forward.take() {
            self.peers.record_ended(&forward.node);
        }
        if let Some(active_send) = request.active_send.take() {
            let tokens = request.tokens();
            self.instances.record_ended(&active_send.instance, tokens);
        }
        self.log.record(Event::CallerGone {
            request: request.call.id.clone(),
            after_ms: now.saturating_sub(request.arrived_at),
            sends: request.sends,
        });
        let actions = request.drop_phases();
        self.forget_orders(&actions);
        actions
    }

    /// Ends the requests whose deadline passed before they were sent.
    pub fn expire(&mut self, now: Millis) -> Vec<Action> {
        let over = self
            .requests
            .iter()
            .filter(|(_, request)| !request.is_sent() && request.end <= now);
        let over: Vec<RequestNumber> = over.map(|(number, _)| *number).collect();
        over.into_iter()
            .flat_map(|number| self.give_up(number, ResultCode::TimeOverBeforeSend, now))
            .collect()
    }
}

/// `Retry-After` of a rejection in milliseconds; none if a retry would not help.
fn retry_after(code: ResultCode) -> Option<u64> {
    match code {
        ResultCode::PhaseOverloaded => Some(RETRY_AFTER_OVERLOAD),
        ResultCode::StreamVersionGone => None,
        code if code.http_status() == SERVICE_UNAVAILABLE => Some(RETRY_AFTER),
        _ => None,
    }
}
