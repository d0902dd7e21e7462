//! Queue of stages that wait for a back end: weighted fair queueing between
//! tenants, least slack first within a tenant.

use crate::Millis;
use serde::{Deserialize, Serialize};
use silversail_model::TenantName;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Identifies a set of back ends that serve the same stages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PoolId(pub u32);

/// Order in which waiting stages are dispatched.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QueueOrder {
    /// First come, first served across all tenants; for comparison only.
    FirstCome,
    /// Weighted fair queueing between tenants, least slack first within a tenant.
    #[default]
    FairLeastSlack,
}

/// A stage that waits for a back end.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedStage {
    /// Identifier of the request.
    pub request: u64,
    /// Tenant that is charged for the stage.
    pub tenant: TenantName,
    /// Weight of the tenant in fair queueing.
    pub weight: u32,
    /// Pool of back ends that can serve the stage.
    pub pool: PoolId,
    /// Latest start time that is expected to meet the deadline.
    pub latest_start: Millis,
    /// Expected service time in milliseconds, which is charged to the tenant.
    pub expected_ms: f64,
}

/// Sort key of a stage within its tenant's queue: latest start, order of arrival
/// and request.
type SortKey = (Millis, u64, u64);

#[derive(Default)]
struct TenantQueue {
    /// Service received divided by weight; the tenant with the smallest goes first.
    virtual_time: f64,
    by_pool: BTreeMap<PoolId, BTreeSet<SortKey>>,
    stage_count: usize,
}

/// The waiting stages of one node.
pub struct FairQueue {
    order: QueueOrder,
    tenant_queues: BTreeMap<TenantName, TenantQueue>,
    stages: HashMap<u64, (QueuedStage, SortKey)>,
    virtual_clock: f64,
    arrivals: u64,
}

impl FairQueue {
    /// Creates an empty queue.
    pub fn new(order: QueueOrder) -> Self {
        Self {
            order,
            tenant_queues: BTreeMap::new(),
            stages: HashMap::new(),
            virtual_clock: 0.0,
            arrivals: 0,
        }
    }

    /// Number of waiting stages.
    pub fn len(&self) -> usize {
        self.stages.len()
    }

    /// Whether no stage waits.
    pub fn is_empty(&self) -> bool {
        self.stages.is_empty()
    }

    fn queue_key(&self, tenant: &TenantName) -> TenantName {
        match self.order {
            QueueOrder::FirstCome => TenantName::default(),
            QueueOrder::FairLeastSlack => tenant.clone(),
        }
    }

    /// Adds a stage. A request must have at most one stage in the queue.
    pub fn push(&mut self, stage: QueuedStage) {
        self.arrivals += 1;
        let latest_start = match self.order {
            QueueOrder::FirstCome => 0,
            QueueOrder::FairLeastSlack => stage.latest_start,
        };
        let sort_key = (latest_start, self.arrivals, stage.request);
        let tenant_queue = self
            .tenant_queues
            .entry(self.queue_key(&stage.tenant))
            .or_default();
        if tenant_queue.stage_count == 0 {
            // An idle tenant does not accumulate credit.
            tenant_queue.virtual_time = tenant_queue.virtual_time.max(self.virtual_clock);
        }
        tenant_queue.stage_count += 1;
        tenant_queue
            .by_pool
            .entry(stage.pool)
            .or_default()
            .insert(sort_key);
        self.stages.insert(stage.request, (stage, sort_key));
    }

    /// Removes and returns the stage of a request.
    pub fn remove(&mut self, request: u64) -> Option<QueuedStage> {
        let (stage, sort_key) = self.stages.remove(&request)?;
        let key = self.queue_key(&stage.tenant);
        if let Some(tenant_queue) = self.tenant_queues.get_mut(&key) {
            tenant_queue.stage_count -= 1;
            if let Some(sort_keys) = tenant_queue.by_pool.get_mut(&stage.pool) {
                sort_keys.remove(&sort_key);
                if sort_keys.is_empty() {
                    tenant_queue.by_pool.remove(&stage.pool);
                }
            }
        }
        Some(stage)
    }

    /// Removes and returns the next stage among the pools for which `has_room` is true.
    pub fn pop(&mut self, mut has_room: impl FnMut(PoolId) -> bool) -> Option<QueuedStage> {
        let mut has_room_by_pool: HashMap<PoolId, bool> = HashMap::new();
        let mut best: Option<(f64, SortKey)> = None;
        for tenant_queue in self
            .tenant_queues
            .values()
            .filter(|tenant_queue| tenant_queue.stage_count > 0)
        {
            if best.is_some_and(|(best_time, _)| best_time <= tenant_queue.virtual_time) {
                continue;
            }
            let sort_key = tenant_queue
                .by_pool
                .iter()
                .filter(|(pool, _)| {
                    *has_room_by_pool
                        .entry(**pool)
                        .or_insert_with(|| has_room(**pool))
                })
                .filter_map(|(_, sort_keys)| sort_keys.first().copied())
                .min();
            if let Some(sort_key) = sort_key {
                best = Some((tenant_queue.virtual_time, sort_key));
            }
        }
        let (virtual_time, (_, _, request)) = best?;
        let stage = self.remove(request)?;
        self.virtual_clock = self.virtual_clock.max(virtual_time);
        let key = self.queue_key(&stage.tenant);
        if let Some(tenant_queue) = self.tenant_queues.get_mut(&key) {
            tenant_queue.virtual_time +=
                stage.expected_ms.max(1.0) / f64::from(stage.weight.max(1));
        }
        Some(stage)
    }
}
