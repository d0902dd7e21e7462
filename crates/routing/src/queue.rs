//! The order in which waiting stages are dispatched: fair between tenants by
//! weight, least slack first inside a tenant.

use crate::Millis;
use serde::{Deserialize, Serialize};
use silversail_model::TenantName;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Identifies a set of back ends that serve the same stages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PoolId(pub u32);

/// How the queue is ordered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QueueOrder {
    /// First come, first served, tenants not told apart; the baseline.
    FirstCome,
    /// Weighted fair between tenants, least slack first inside one.
    #[default]
    FairLeastSlack,
}

/// A stage that waits for a back end.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedStage {
    /// The request.
    pub request: u64,
    /// Its tenant.
    pub tenant: TenantName,
    /// The tenant's weight.
    pub weight: u32,
    /// Back ends that may serve it.
    pub pool: PoolId,
    /// Latest start that still meets the deadline, by the estimate.
    pub latest_start: Millis,
    /// Expected service time in milliseconds; what the tenant is charged.
    pub expected_ms: f64,
}

/// Position of a stage inside its tenant's lane: urgency, order of arrival and
/// the request.
type Position = (Millis, u64, u64);

#[derive(Default)]
struct Lane {
    /// Service received divided by weight; the smallest goes first.
    virtual_time: f64,
    by_pool: BTreeMap<PoolId, BTreeSet<Position>>,
    length: usize,
}

/// The waiting stages of one node.
pub struct FairQueue {
    order: QueueOrder,
    lanes: BTreeMap<TenantName, Lane>,
    stages: HashMap<u64, (QueuedStage, Position)>,
    virtual_now: f64,
    arrivals: u64,
}

impl FairQueue {
    /// An empty queue.
    pub fn new(order: QueueOrder) -> Self {
        Self {
            order,
            lanes: BTreeMap::new(),
            stages: HashMap::new(),
            virtual_now: 0.0,
            arrivals: 0,
        }
    }

    /// Number of waiting stages.
    pub fn len(&self) -> usize {
        self.stages.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.stages.is_empty()
    }

    fn lane_name(&self, tenant: &TenantName) -> TenantName {
        match self.order {
            QueueOrder::FirstCome => TenantName::default(),
            QueueOrder::FairLeastSlack => tenant.clone(),
        }
    }

    /// Adds a stage; a request waits with one stage at a time.
    pub fn push(&mut self, stage: QueuedStage) {
        self.arrivals += 1;
        let urgency = match self.order {
            QueueOrder::FirstCome => 0,
            QueueOrder::FairLeastSlack => stage.latest_start,
        };
        let position = (urgency, self.arrivals, stage.request);
        let lane = self.lanes.entry(self.lane_name(&stage.tenant)).or_default();
        if lane.length == 0 {
            // A tenant that was idle has no claim on the past.
            lane.virtual_time = lane.virtual_time.max(self.virtual_now);
        }
        lane.length += 1;
        lane.by_pool.entry(stage.pool).or_default().insert(position);
        self.stages.insert(stage.request, (stage, position));
    }

    /// Takes a request's stage out.
    pub fn remove(&mut self, request: u64) -> Option<QueuedStage> {
        let (stage, position) = self.stages.remove(&request)?;
        let name = self.lane_name(&stage.tenant);
        if let Some(lane) = self.lanes.get_mut(&name) {
            lane.length -= 1;
            if let Some(positions) = lane.by_pool.get_mut(&stage.pool) {
                positions.remove(&position);
                if positions.is_empty() {
                    lane.by_pool.remove(&stage.pool);
                }
            }
        }
        Some(stage)
    }

    /// Takes the next stage whose pool `has_room`.
    pub fn pop(&mut self, mut has_room: impl FnMut(PoolId) -> bool) -> Option<QueuedStage> {
        let mut room: HashMap<PoolId, bool> = HashMap::new();
        let mut best: Option<(f64, Position)> = None;
        for lane in self.lanes.values().filter(|lane| lane.length > 0) {
            if best.is_some_and(|(time, _)| time <= lane.virtual_time) {
                continue;
            }
            let position = lane
                .by_pool
                .iter()
                .filter(|(pool, _)| *room.entry(**pool).or_insert_with(|| has_room(**pool)))
                .filter_map(|(_, positions)| positions.first().copied())
                .min();
            if let Some(position) = position {
                best = Some((lane.virtual_time, position));
            }
        }
        let (virtual_time, (_, _, request)) = best?;
        let stage = self.remove(request)?;
        self.virtual_now = self.virtual_now.max(virtual_time);
        let name = self.lane_name(&stage.tenant);
        if let Some(lane) = self.lanes.get_mut(&name) {
            lane.virtual_time += stage.expected_ms.max(1.0) / f64::from(stage.weight.max(1));
        }
        Some(stage)
    }
}
