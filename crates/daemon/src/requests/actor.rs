//! The actor of the request path: its state and entry points.

use crate::calls::StageCalls;
use crate::clock::Clock;
use crate::crashes::CrashReporter;
use crate::metrics::Metrics;
use crate::replica::ProposerActor;
use crate::requests::active::{ActiveRequest, CallerRequest, RequestNumber};
use crate::requests::pools::Pools;
use crate::session::SharedNodeState;
use crate::settings::Settings;
use silversail_backend::{CallFailure, EngineLoad, StageOutput};
use silversail_consensus::Millis;
use silversail_model::{BackendName, NodeName, ResultCode};
use silversail_routing::{
    AdmissionController, BackendSelector, FairQueue, RetryBudget, TenantLimiter,
};
use silversail_serving::notices::BackendNotices;
use silversail_serving::quarantine::RequestQuarantine;
use stakker::{after, Actor, CX};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Interval at which deadlines are checked while requests are open.
const DEADLINE_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Dependencies and settings of a [`RequestActor`].
pub struct RequestSetup {
    /// Settings of the process.
    pub settings: Arc<Settings>,
    /// Name of this node.
    pub node: NodeName,
    /// Incarnation of this process.
    pub incarnation: u64,
    /// Replicated state that the node has applied.
    pub state: SharedNodeState,
    /// Proposers to the ledger groups, by group number.
    pub ledgers: Vec<Actor<ProposerActor>>,
    /// Starts back-end calls, cancellations and probes.
    pub calls: Box<dyn StageCalls>,
    /// Metrics of the process.
    pub metrics: Arc<Metrics>,
    /// State that back ends report about themselves in answers, by address.
    pub notices: BackendNotices,
    /// Clock of the process.
    pub clock: Clock,
    /// Seed of the random choices in back-end selection.
    pub seed: u64,
}

/// A call that occupies a slot of a back end until its thread reports the result.
pub(crate) struct OutstandingCall {
    pub(crate) request: RequestNumber,
    pub(crate) backend: BackendName,
    pub(crate) address: String,
}

/// Serves callers' pipeline requests.
pub struct RequestActor {
    pub(crate) setup: RequestSetup,
    pub(crate) requests: HashMap<RequestNumber, ActiveRequest>,
    pub(crate) deadlines: BTreeSet<(Instant, RequestNumber)>,
    pub(crate) outstanding_calls: HashMap<u64, OutstandingCall>,
    pub(crate) next_attempt: u64,
    pub(crate) queue: FairQueue,
    pub(crate) pools: Pools,
    pub(crate) admission: AdmissionController,
    pub(crate) limiter: TenantLimiter,
    pub(crate) selector: BackendSelector,
    pub(crate) retry_budgets: BTreeMap<BackendName, RetryBudget>,
    /// Quarantined requests, and this process's evidence of crashes.
    pub(crate) quarantine: RequestQuarantine,
    /// Detects crashes of back ends and reports them.
    pub(crate) crashes: CrashReporter,
    is_tick_scheduled: bool,
}

impl RequestActor {
    /// Starts without open requests.
    pub fn init(_: CX![], setup: RequestSetup) -> Option<Self> {
        let routing = &setup.settings.routing;
        let queue = FairQueue::new(routing.queue);
        let selector = BackendSelector::new(routing.placement, setup.seed);
        let quarantine = RequestQuarantine::new(setup.settings.quarantine);
        let crashes = CrashReporter::new(setup.state.clone(), setup.metrics.clone());
        Some(Self {
            setup,
            requests: HashMap::new(),
            deadlines: BTreeSet::new(),
            outstanding_calls: HashMap::new(),
            next_attempt: 0,
            queue,
            pools: Pools::default(),
            admission: AdmissionController::default(),
            limiter: TenantLimiter::default(),
            selector,
            retry_budgets: BTreeMap::new(),
            quarantine,
            crashes,
            is_tick_scheduled: false,
        })
    }

    pub(crate) fn now_millis(&self, cx: CX![]) -> Millis {
        self.setup.clock.millis(cx.now())
    }

    /// Handles a caller's request.
    pub fn handle_request(&mut self, cx: CX![], request: CallerRequest) {
        self.accept(cx, request);
        self.dispatch_and_update_gauges(cx);
    }

    /// Fails a request whose caller has disconnected.
    pub fn caller_disconnected(&mut self, cx: CX![], number: RequestNumber) {
        if self.requests.contains_key(&number) {
            self.fail_request(
                cx,
                number,
                ResultCode::CallerGone,
                "the caller disconnected",
                None,
            );
            self.dispatch_and_update_gauges(cx);
        }
    }

    /// Handles a token that a generation call streamed.
    pub fn handle_token(&mut self, cx: CX![], attempt: u64, sequence: u64, text: String) {
        self.forward_token(cx, attempt, sequence, text);
        self.dispatch_and_update_gauges(cx);
    }

    /// Handles the result of a call that took `service` time.
    pub fn call_ended(
        &mut self,
        cx: CX![],
        attempt: u64,
        service: Duration,
        result: Result<StageOutput, CallFailure>,
    ) {
        self.handle_call_result(cx, attempt, service, result);
        self.dispatch_and_update_gauges(cx);
    }

    /// Records the load and the loaded models that an engine reported.
    pub fn record_engine_load(&mut self, cx: CX![], backend: BackendName, load: EngineLoad) {
        let now = self.now_millis(cx);
        self.pools
            .load(&backend)
            .record_report(load.running + load.waiting, now);
        if self.pools.record_loaded_models(&backend, load.models) {
            self.assign_slots();
        }
        // The report may have freed slots.
        self.dispatch_and_update_gauges(cx);
    }

    /// Applies changes of the configuration, the view or machine states.
    pub fn node_state_changed(&mut self, cx: CX![]) {
        self.pools.reset_stages();
        self.apply_quarantine_list();
        {
            let state = self.setup.state.borrow();
            let (nodes, rank) = state.node_count_and_rank(&self.setup.node);
            self.limiter.set_share(nodes, rank);
        }
        self.assign_slots();
        self.dispatch_and_update_gauges(cx);
    }

    fn assign_slots(&mut self) {
        let state = self.setup.state.borrow();
        let backends = &state.configuration.configuration().backends;
        self.pools.assign_slots(backends.values());
    }

    /// Runs after every input: dispatches queued stages, updates gauges and schedules the deadline
    /// check.
    pub(crate) fn dispatch_and_update_gauges(&mut self, cx: CX![]) {
        self.dispatch_queued(cx);
        let metrics = &self.setup.metrics;
        metrics.open_requests.set(self.requests.len() as i64);
        metrics.queued_stages.set(self.queue.len() as i64);
        if !self.is_tick_scheduled && !self.requests.is_empty() {
            self.is_tick_scheduled = true;
            after!(DEADLINE_CHECK_INTERVAL, [cx], check_deadlines());
        }
    }

    fn check_deadlines(&mut self, cx: CX![]) {
        self.is_tick_scheduled = false;
        let now = cx.now();
        self.setup.notices.log_ended_backoffs(self.now_millis(cx));
        while let Some((deadline, number)) = self.deadlines.first().copied() {
            if deadline > now {
                break;
            }
            self.deadlines.remove(&(deadline, number));
            self.deadline_passed(cx, number);
        }
        self.dispatch_and_update_gauges(cx);
    }
}
