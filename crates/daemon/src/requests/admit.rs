//! Phase 2: configuration freshness, limits of the node and the tenant, and admission.

use crate::requests::active::RequestNumber;
use crate::requests::actor::RequestActor;
use crate::requests::pools::NodeShare;
use silversail_model::{ResultCode, TenantLimits};
use silversail_routing::{AdmissionDecision, LimitViolation, PoolId, StageEstimate};
use stakker::CX;

/// Retry delay that a caller is told for conditions that pass quickly, in milliseconds.
const SHORT_RETRY_AFTER_MS: u64 = 500;

/// A refusal before the request is admitted.
struct Refusal {
    code: ResultCode,
    message: &'static str,
    retry_after_ms: Option<u64>,
}

impl Refusal {
    fn retry_soon(code: ResultCode, message: &'static str) -> Self {
        Self {
            code,
            message,
            retry_after_ms: Some(SHORT_RETRY_AFTER_MS),
        }
    }
}

impl RequestActor {
    pub(crate) fn admit(&mut self, cx: CX![], number: RequestNumber) {
        match self.check_admission(cx, number) {
            Ok(()) => self.acquire_key(cx, number),
            Err(refusal) => self.fail_request(
                cx,
                number,
                refusal.code,
                refusal.message,
                refusal.retry_after_ms,
            ),
        }
    }

    fn check_admission(&mut self, cx: CX![], number: RequestNumber) -> Result<(), Refusal> {
        self.check_node(cx)?;
        self.check_tenant(cx, number)?;
        self.check_expected_finish(cx, number)
    }

    fn check_node(&self, cx: CX![]) -> Result<(), Refusal> {
        let now = self.now_millis(cx);
        let settings = &self.setup.settings;
        let state = self.setup.state.borrow();
        if state.refusing {
            return Err(Refusal::retry_soon(
                ResultCode::Stopping,
                "this node is stopping",
            ));
        }
        if !state.has_current_configuration(now, settings.timing.freshness_lease_ms) {
            let message = "this node can't confirm that its configuration is current";
            return Err(Refusal::retry_soon(ResultCode::NotCurrent, message));
        }
        if self.requests.len() > settings.limits.open_requests {
            let message = "this node has reached its limit of open requests";
            return Err(Refusal::retry_soon(ResultCode::TooManyRequests, message));
        }
        Ok(())
    }

    fn check_tenant(&mut self, cx: CX![], number: RequestNumber) -> Result<(), Refusal> {
        let now = self.now_millis(cx);
        let Some(request) = self.requests.get_mut(&number) else {
            return Ok(());
        };
        let limits = {
            let state = self.setup.state.borrow();
            let tenants = &state.configuration.configuration().tenants;
            tenants
                .get(&request.tenant)
                .map_or_else(TenantLimits::default, |tenant| tenant.limits.clone())
        };
        match self.limiter.admit(&request.tenant, &limits, now) {
            Ok(()) => {
                request.counts_against_limits = true;
                Ok(())
            }
            Err(LimitViolation::Concurrency) => Err(Refusal::retry_soon(
                ResultCode::TenantConcurrencyLimit,
                "the tenant's limit of concurrent requests is reached",
            )),
            Err(LimitViolation::Rate { retry_after_ms }) => Err(Refusal {
                code: ResultCode::TenantRateLimit,
                message: "the tenant's limit of requests a second is reached",
                retry_after_ms: Some(retry_after_ms),
            }),
        }
    }

    fn check_expected_finish(&mut self, cx: CX![], number: RequestNumber) -> Result<(), Refusal> {
        let estimates = self.estimate(number);
        let Some(request) = self.requests.get_mut(&number) else {
            return Ok(());
        };
        let remaining = request.deadline.saturating_duration_since(cx.now());
        let remaining_ms = remaining.as_secs_f64() * 1_000.0;
        let (tenant, weight) = (&request.tenant, request.weight);
        let decision = self
            .admission
            .decide(tenant, weight, &estimates, remaining_ms);
        match decision {
            AdmissionDecision::NoCapacity => {
                let message = "a stage has no eligible back end";
                return Err(Refusal::retry_soon(ResultCode::NoBackend, message));
            }
            AdmissionDecision::Reject { retry_after_ms }
                if self.setup.settings.routing.admission =>
            {
                return Err(Refusal {
                    code: ResultCode::DeadlineUnreachable,
                    message: "the pipeline is not expected to complete within the deadline",
                    retry_after_ms: Some(retry_after_ms),
                });
            }
            AdmissionDecision::Reject { .. } | AdmissionDecision::Admit => {}
        }
        for estimate in &estimates {
            self.admission.add(tenant, weight, *estimate);
        }
        request.estimates = estimates;
        Ok(())
    }

    /// Pools and expected service times of a request's stages; also updates the capacity of the
    /// pools.
    fn estimate(&mut self, number: RequestNumber) -> Vec<StageEstimate> {
        let Some(request) = self.requests.get(&number) else {
            return Vec::new();
        };
        let pipeline = request.pipeline.clone();
        let mut estimates = Vec::with_capacity(pipeline.stages.len());
        for (position, stage) in pipeline.stages.iter().enumerate() {
            let pool = {
                let state = self.setup.state.borrow();
                self.pools
                    .pool_of(&state.configuration, &pipeline.name, position, stage)
            };
            let capacity = self.pool_capacity(pool);
            self.admission.set_capacity(pool, capacity);
            let service_ms = self.pools.service_ms(&pipeline.name, position, stage);
            estimates.push(StageEstimate { pool, service_ms });
        }
        estimates
    }

    /// Number of concurrent calls that this node may send to a pool.
    pub(crate) fn pool_capacity(&self, pool: PoolId) -> u32 {
        let share = self.node_share();
        let state = self.setup.state.borrow();
        let backends = &state.configuration.configuration().backends;
        let reserved: u32 = self
            .pools
            .members(pool)
            .iter()
            .filter_map(|name| backends.get(name))
            .filter(|backend| !state.is_leaving(&backend.address))
            .filter(|backend| self.pools.has_model_loaded(pool, backend))
            .map(|backend| self.pools.reserved_slots(backend, share))
            .sum();
        // If the pool has fewer slots than there are nodes, some nodes have no reserved slot and
        // borrow free ones.
        let is_served = self
            .pools
            .members(pool)
            .iter()
            .filter_map(|name| backends.get(name))
            .any(|backend| self.pools.has_model_loaded(pool, backend));
        reserved.max(u32::from(is_served))
    }

    /// This node's share of the back ends' slots.
    pub(crate) fn node_share(&self) -> NodeShare {
        let (nodes, rank) = self
            .setup
            .state
            .borrow()
            .node_count_and_rank(&self.setup.node);
        let routing = &self.setup.settings.routing;
        NodeShare {
            nodes,
            rank,
            policy: routing.slots,
            slot_share: routing.slot_share,
        }
    }
}
