//! Whether a request's whole pipeline can be expected to end in time, told
//! before any stage has cost anything.

use crate::queue::PoolId;
use silversail_model::TenantName;
use std::collections::HashMap;

/// Work below which a tenant has none, in milliseconds: sums of many numbers
/// don't come back to zero exactly.
const NO_WORK_MS: f64 = 0.001;

/// One stage of a request to be admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StageEstimate {
    /// Back ends that may serve it.
    pub pool: PoolId,
    /// Expected service time in milliseconds.
    pub service_ms: f64,
}

/// Admitted work of one tenant at a pool.
#[derive(Clone, Copy, Debug, Default)]
struct TenantWork {
    pending_ms: f64,
    weight: u32,
}

/// Admitted work and capacity of one pool, as this node sees them.
#[derive(Clone, Debug, Default)]
pub struct PoolLoad {
    /// Calls that this node may have in flight at the pool.
    capacity: u32,
    /// Expected service time of all admitted stages that have not ended, in
    /// milliseconds.
    pending_ms: f64,
    by_tenant: HashMap<TenantName, TenantWork>,
}

impl PoolLoad {
    /// Expected wait of a tenant's next stage, in milliseconds. The queue is
    /// fair: however much others have waiting, the tenant gets its share of the
    /// capacity for its own work.
    fn wait_ms(&self, tenant: &TenantName, weight: u32, service_ms: f64) -> f64 {
        let capacity = f64::from(self.capacity.max(1));
        // What fits side by side does not wait.
        let beside = (capacity - 1.0) * service_ms;
        let behind_all = (self.pending_ms - beside).max(0.0) / capacity;
        let own = self
            .by_tenant
            .get(tenant)
            .map_or(0.0, |work| work.pending_ms);
        let others: u32 = self
            .by_tenant
            .iter()
            .filter(|(name, work)| *name != tenant && work.pending_ms > 0.0)
            .map(|(_, work)| work.weight)
            .sum();
        let weight = f64::from(weight.max(1));
        let share = capacity * weight / (weight + f64::from(others));
        // A call of another tenant that has begun is not interrupted.
        let behind_own = own / share + service_ms / capacity;
        behind_all.min(behind_own)
    }
}

/// The answer to an admission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdmissionDecision {
    /// Expected to end in time.
    Admit,
    /// Not expected to end in time.
    Reject {
        /// When to come back: after the excess has been worked off.
        retry_after_ms: u64,
    },
    /// A pool has no capacity at all.
    NoCapacity,
}

/// Admitted work by pool.
#[derive(Default)]
pub struct AdmissionController {
    pools: HashMap<PoolId, PoolLoad>,
}

impl AdmissionController {
    /// Sets how many calls this node may have at a pool.
    pub fn set_capacity(&mut self, pool: PoolId, capacity: u32) {
        self.pools.entry(pool).or_default().capacity = capacity;
    }

    /// Decides on a request with `remaining_ms` until its deadline.
    ///
    /// Stages of one request follow each other, while stages of different
    /// requests overlap; so the wait is that of the fullest pool, not the sum.
    pub fn decide(
        &self,
        tenant: &TenantName,
        weight: u32,
        stages: &[StageEstimate],
        remaining_ms: f64,
    ) -> AdmissionDecision {
        let service: f64 = stages.iter().map(|stage| stage.service_ms).sum();
        let mut wait: f64 = 0.0;
        for stage in stages {
            let Some(load) = self.pools.get(&stage.pool).filter(|load| load.capacity > 0) else {
                return AdmissionDecision::NoCapacity;
            };
            wait = wait.max(load.wait_ms(tenant, weight, stage.service_ms));
        }
        let expected = service + wait;
        if expected <= remaining_ms {
            return AdmissionDecision::Admit;
        }
        AdmissionDecision::Reject {
            retry_after_ms: (expected - remaining_ms).ceil().max(1.0) as u64,
        }
    }

    /// Adds an admitted stage's work.
    pub fn add(&mut self, tenant: &TenantName, weight: u32, stage: StageEstimate) {
        let load = self.pools.entry(stage.pool).or_default();
        load.pending_ms += stage.service_ms;
        let work = load.by_tenant.entry(tenant.clone()).or_default();
        work.pending_ms += stage.service_ms;
        work.weight = weight;
    }

    /// Takes off the work of a stage that ended or will not run.
    pub fn remove(&mut self, tenant: &TenantName, stage: StageEstimate) {
        let Some(load) = self.pools.get_mut(&stage.pool) else {
            return;
        };
        load.pending_ms = (load.pending_ms - stage.service_ms).max(0.0);
        let Some(work) = load.by_tenant.get_mut(tenant) else {
            return;
        };
        work.pending_ms -= stage.service_ms;
        if work.pending_ms < NO_WORK_MS {
            load.by_tenant.remove(tenant);
        }
    }
}
