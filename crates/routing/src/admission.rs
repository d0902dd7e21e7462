//! Admission control: rejects a request before its first stage runs if its
//! pipeline is not expected to finish by the deadline.

use crate::queue::PoolId;
use silversail_model::TenantName;
use std::collections::HashMap;

/// Pending work below which a tenant counts as idle, in milliseconds; absorbs
/// floating-point rounding.
const MIN_PENDING_MS: f64 = 0.001;

/// One stage of a request to be admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StageEstimate {
    /// Pool of back ends that can serve the stage.
    pub pool: PoolId,
    /// Expected service time in milliseconds.
    pub service_ms: f64,
}

/// Admitted work of one tenant at one pool.
#[derive(Clone, Copy, Debug, Default)]
struct TenantWork {
    pending_ms: f64,
    weight: u32,
}

/// Admitted work and capacity of one pool, from this node's point of view.
#[derive(Clone, Debug, Default)]
pub struct PoolLoad {
    /// Maximum number of calls that this node may have in flight at the pool.
    capacity: u32,
    /// Expected service time of all admitted stages that have not finished, in
    /// milliseconds.
    pending_ms: f64,
    by_tenant: HashMap<TenantName, TenantWork>,
}

impl PoolLoad {
    /// Expected wait of a tenant's next stage, in milliseconds. The queue is fair:
    /// the tenant gets its weighted share of the capacity whatever others have queued.
    fn wait_ms(&self, tenant: &TenantName, weight: u32, service_ms: f64) -> f64 {
        let capacity = f64::from(self.capacity.max(1));
        // Calls within the concurrency limit do not wait.
        let concurrent_ms = (capacity - 1.0) * service_ms;
        let wait_for_all = (self.pending_ms - concurrent_ms).max(0.0) / capacity;
        let own_pending_ms = self
            .by_tenant
            .get(tenant)
            .map_or(0.0, |work| work.pending_ms);
        let other_weights: u32 = self
            .by_tenant
            .iter()
            .filter(|(name, work)| *name != tenant && work.pending_ms > 0.0)
            .map(|(_, work)| work.weight)
            .sum();
        let weight = f64::from(weight.max(1));
        let share = capacity * weight / (weight + f64::from(other_weights));
        // A running call of another tenant is not preempted.
        let wait_for_own = own_pending_ms / share + service_ms / capacity;
        wait_for_all.min(wait_for_own)
    }
}

/// Result of an admission check.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdmissionDecision {
    /// The request is expected to finish by its deadline.
    Admit,
    /// The request is not expected to finish by its deadline.
    Reject {
        /// Time in milliseconds after which the excess work is expected to be done.
        retry_after_ms: u64,
    },
    /// A pool that the request needs has no capacity.
    NoCapacity,
}

/// Tracks admitted work by pool and decides on new requests.
#[derive(Default)]
pub struct AdmissionController {
    pools: HashMap<PoolId, PoolLoad>,
}

impl AdmissionController {
    /// Sets the maximum number of calls that this node may have in flight at a pool.
    pub fn set_capacity(&mut self, pool: PoolId, capacity: u32) {
        self.pools.entry(pool).or_default().capacity = capacity;
    }

    /// Decides on a request with `remaining_ms` until its deadline.
    ///
    /// The stages of one request run in sequence while those of different requests
    /// overlap, so the expected wait is that of the most loaded pool and not the sum.
    pub fn decide(
        &self,
        tenant: &TenantName,
        weight: u32,
        stages: &[StageEstimate],
        remaining_ms: f64,
    ) -> AdmissionDecision {
        let total_service_ms: f64 = stages.iter().map(|stage| stage.service_ms).sum();
        let mut longest_wait_ms: f64 = 0.0;
        for stage in stages {
            let Some(load) = self.pools.get(&stage.pool).filter(|load| load.capacity > 0) else {
                return AdmissionDecision::NoCapacity;
            };
            longest_wait_ms = longest_wait_ms.max(load.wait_ms(tenant, weight, stage.service_ms));
        }
        let expected_ms = total_service_ms + longest_wait_ms;
        if expected_ms <= remaining_ms {
            return AdmissionDecision::Admit;
        }
        AdmissionDecision::Reject {
            retry_after_ms: (expected_ms - remaining_ms).ceil().max(1.0) as u64,
        }
    }

    /// Adds the expected work of an admitted stage.
    pub fn add(&mut self, tenant: &TenantName, weight: u32, stage: StageEstimate) {
        let load = self.pools.entry(stage.pool).or_default();
        load.pending_ms += stage.service_ms;
        let work = load.by_tenant.entry(tenant.clone()).or_default();
        work.pending_ms += stage.service_ms;
        work.weight = weight;
    }

    /// Subtracts the work of a stage that has finished or will not run.
    pub fn remove(&mut self, tenant: &TenantName, stage: StageEstimate) {
        let Some(load) = self.pools.get_mut(&stage.pool) else {
            return;
        };
        load.pending_ms = (load.pending_ms - stage.service_ms).max(0.0);
        let Some(work) = load.by_tenant.get_mut(tenant) else {
            return;
        };
        work.pending_ms -= stage.service_ms;
        if work.pending_ms < MIN_PENDING_MS {
            load.by_tenant.remove(tenant);
        }
    }
}
