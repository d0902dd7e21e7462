//! The actor of the data path: its state and its entry points.

use crate::calls::Calls;
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

/// Interval at which deadlines are looked at while requests are under way.
const DEADLINE_TICK: Duration = Duration::from_millis(10);

/// What the data path is made of.
pub struct RequestSetup {
    /// Settings of the process.
    pub settings: Arc<Settings>,
    /// This node.
    pub node: NodeName,
    /// This process.
    pub incarnation: u64,
    /// What the node has in force.
    pub state: SharedNodeState,
    /// Proposers to the ledger groups, by part.
    pub ledgers: Vec<Actor<ProposerActor>>,
    /// Runs back-end calls.
    pub calls: Box<dyn Calls>,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// What back ends say of themselves, by address.
    pub notices: BackendNotices,
    /// Time.
    pub clock: Clock,
    /// Seed of placement.
    pub seed: u64,
}

/// A call that is out, until its thread reports.
pub(crate) struct OutstandingCall {
    pub(crate) request: RequestNumber,
    pub(crate) backend: BackendName,
    pub(crate) address: String,
}

/// Serves callers' requests.
pub struct RequestActor {
    pub(crate) setup: RequestSetup,
    pub(crate) requests: HashMap<RequestNumber, ActiveRequest>,
    pub(crate) deadlines: BTreeSet<(Instant, RequestNumber)>,
    pub(crate) outstanding: HashMap<u64, OutstandingCall>,
    pub(crate) next_attempt: u64,
    pub(crate) queue: FairQueue,
    pub(crate) pools: Pools,
    pub(crate) admission: AdmissionController,
    pub(crate) limiter: TenantLimiter,
    pub(crate) placer: BackendSelector,
    pub(crate) budgets: BTreeMap<BackendName, RetryBudget>,
    /// Requests that crash back ends.
    pub(crate) quarantine: RequestQuarantine,
    /// Why calls to back ends broke off.
    pub(crate) crashes: CrashReporter,
    ticking: bool,
}

impl RequestActor {
    /// Starts without requests.
    pub fn init(_: CX![], setup: RequestSetup) -> Option<Self> {
        let routing = &setup.settings.routing;
        let queue = FairQueue::new(routing.queue);
        let placer = BackendSelector::new(routing.placement, setup.seed);
        let quarantine = RequestQuarantine::new(setup.settings.quarantine);
        let crashes = CrashReporter::new(setup.state.clone(), setup.metrics.clone());
        Some(Self {
            setup,
            requests: HashMap::new(),
            deadlines: BTreeSet::new(),
            outstanding: HashMap::new(),
            next_attempt: 0,
            queue,
            pools: Pools::default(),
            admission: AdmissionController::default(),
            limiter: TenantLimiter::default(),
            placer,
            budgets: BTreeMap::new(),
            quarantine,
            crashes,
            ticking: false,
        })
    }

    pub(crate) fn now_millis(&self, cx: CX![]) -> Millis {
        self.setup.clock.millis(cx.now())
    }

    /// A caller's request.
    pub fn request(&mut self, cx: CX![], request: CallerRequest) {
        self.accept(cx, request);
        self.settle(cx);
    }

    /// The caller of a request went away.
    pub fn caller_gone(&mut self, cx: CX![], number: RequestNumber) {
        if self.requests.contains_key(&number) {
            self.give_up(cx, number, ResultCode::CallerGone, "caller went away", None);
            self.settle(cx);
        }
    }

    /// A token of a stream.
    pub fn token(&mut self, cx: CX![], attempt: u64, sequence: u64, text: String) {
        self.stream_token(cx, attempt, sequence, text);
        self.settle(cx);
    }

    /// A call ended.
    pub fn call_ended(
        &mut self,
        cx: CX![],
        attempt: u64,
        service: Duration,
        result: Result<StageOutput, CallFailure>,
    ) {
        self.take_result(cx, attempt, service, result);
        self.settle(cx);
    }

    /// An engine's report of its load.
    pub fn engine_load(&mut self, cx: CX![], backend: BackendName, load: EngineLoad) {
        let now = self.now_millis(cx);
        self.pools
            .load(&backend)
            .record_report(load.running + load.waiting, now);
        if self.pools.note_holdings(&backend, load.models) {
            self.deal_slots();
        }
        // Slots that were reported free may be used.
        self.settle(cx);
    }

    /// Configuration, view or machine states changed.
    pub fn node_state_changed(&mut self, cx: CX![]) {
        self.pools.reset_stages();
        self.follow_quarantine();
        {
            let state = self.setup.state.borrow();
            let (nodes, rank) = state.share(&self.setup.node);
            self.limiter.set_share(nodes, rank);
        }
        self.deal_slots();
        self.settle(cx);
    }

    fn deal_slots(&mut self) {
        let state = self.setup.state.borrow();
        let backends = &state.configuration.configuration().backends;
        self.pools.deal_slots(backends.values());
    }

    /// What follows every input: dispatch what has room, renew gauges.
    pub(crate) fn settle(&mut self, cx: CX![]) {
        self.dispatch_queued(cx);
        let metrics = &self.setup.metrics;
        metrics.open_requests.set(self.requests.len() as i64);
        metrics.queued_stages.set(self.queue.len() as i64);
        if !self.ticking && !self.requests.is_empty() {
            self.ticking = true;
            after!(DEADLINE_TICK, [cx], deadline_tick());
        }
    }

    fn deadline_tick(&mut self, cx: CX![]) {
        self.ticking = false;
        let now = cx.now();
        self.setup.notices.log_ended_backoffs(self.now_millis(cx));
        while let Some((deadline, number)) = self.deadlines.first().copied() {
            if deadline > now {
                break;
            }
            self.deadlines.remove(&(deadline, number));
            self.deadline_passed(cx, number);
        }
        self.settle(cx);
    }
}
