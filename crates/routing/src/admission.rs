//! Whether a request's whole pipeline can be expected to end in time, told
//! before any stage has cost anything.

use crate::queue::PoolId;
use std::collections::HashMap;

/// One stage of a request to be admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StageEstimate {
    /// Back ends that may serve it.
    pub pool: PoolId,
    /// Expected service time in milliseconds.
    pub service_ms: f64,
}

/// Admitted work and capacity of one pool, as this node sees them.
#[derive(Clone, Copy, Debug, Default)]
pub struct PoolLoad {
    /// Expected service time of all admitted stages that have not ended, in
    /// milliseconds.
    pub pending_ms: f64,
    /// Calls that this node may have in flight at the pool.
    pub capacity: u32,
}

/// The answer to an admission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdmissionDecision {
    /// Expected to end in time.
    Admit,
    /// Not expected to end in time.
    Refuse {
        /// When to come back: after the excess has been worked off.
        retry_after_ms: u64,
    },
    /// A pool has no capacity at all.
    NoCapacity,
}

/// Admitted work by pool.
#[derive(Default)]
pub struct Admission {
    pools: HashMap<PoolId, PoolLoad>,
}

impl Admission {
    /// Sets how many calls this node may have at a pool.
    pub fn set_capacity(&mut self, pool: PoolId, capacity: u32) {
        self.pools.entry(pool).or_default().capacity = capacity;
    }

    /// Decides on a request with `remaining_ms` until its deadline.
    ///
    /// Stages of one request follow each other, while stages of different
    /// requests overlap; so the wait is that of the fullest pool, not the sum.
    pub fn decide(&self, stages: &[StageEstimate], remaining_ms: f64) -> AdmissionDecision {
        let service: f64 = stages.iter().map(|stage| stage.service_ms).sum();
        let mut wait: f64 = 0.0;
        for stage in stages {
            let load = self.pools.get(&stage.pool).copied().unwrap_or_default();
            if load.capacity == 0 {
                return AdmissionDecision::NoCapacity;
            }
            let capacity = f64::from(load.capacity);
            // What fits side by side does not wait.
            let excess = load.pending_ms - (capacity - 1.0) * stage.service_ms;
            wait = wait.max(excess.max(0.0) / capacity);
        }
        let expected = service + wait;
        if expected <= remaining_ms {
            return AdmissionDecision::Admit;
        }
        AdmissionDecision::Refuse {
            retry_after_ms: (expected - remaining_ms).ceil().max(1.0) as u64,
        }
    }

    /// Adds an admitted stage's work.
    pub fn add(&mut self, stage: StageEstimate) {
        self.pools.entry(stage.pool).or_default().pending_ms += stage.service_ms;
    }

    /// Takes off the work of a stage that ended or will not run.
    pub fn remove(&mut self, stage: StageEstimate) {
        if let Some(load) = self.pools.get_mut(&stage.pool) {
            load.pending_ms = (load.pending_ms - stage.service_ms).max(0.0);
        }
    }

    /// The load of a pool.
    pub fn load(&self, pool: PoolId) -> PoolLoad {
        self.pools.get(&pool).copied().unwrap_or_default()
    }
}
