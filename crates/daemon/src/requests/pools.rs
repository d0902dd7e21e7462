//! Pools: the sets of back ends that stages may run on, and their loads.

use silversail_control::AppliedConfiguration;
use silversail_model::{Backend, BackendName, PipelineName, Stage, StageKind};
use silversail_routing::{BackendLoad, MovingAverage, PoolId};
use std::collections::{BTreeMap, HashMap};

/// Service time assumed until one was measured, in milliseconds.
fn assumed_service_ms(stage: &Stage) -> f64 {
    let by_kind = match stage.kind {
        StageKind::Encoding | StageKind::Retrieval => 15,
        StageKind::Reranking | StageKind::Service => 30,
        StageKind::Generation => 250,
    };
    stage.expected_ms.unwrap_or(by_kind) as f64
}

type StageKey = (PipelineName, usize);

/// Sets of back ends with their loads.
#[derive(Default)]
pub struct Pools {
    members: Vec<Vec<BackendName>>,
    ids: HashMap<Vec<BackendName>, PoolId>,
    of_stage: HashMap<StageKey, PoolId>,
    service: HashMap<StageKey, MovingAverage>,
    loads: BTreeMap<BackendName, BackendLoad>,
}

impl Pools {
    /// Forgets which pool serves which stage, after a configuration change.
    pub fn reset_stages(&mut self) {
        self.of_stage.clear();
    }

    /// The pool that serves a stage by the configuration in force.
    pub fn pool_of(
        &mut self,
        configuration: &AppliedConfiguration,
        pipeline: &PipelineName,
        position: usize,
        stage: &Stage,
    ) -> PoolId {
        let key = (pipeline.clone(), position);
        if let Some(pool) = self.of_stage.get(&key) {
            return *pool;
        }
        let members: Vec<BackendName> = configuration
            .configuration()
            .backends_for(stage)
            .map(|backend| backend.name.clone())
            .collect();
        let pool = match self.ids.get(&members) {
            Some(pool) => *pool,
            None => {
                let pool = PoolId(self.members.len() as u32);
                self.members.push(members.clone());
                self.ids.insert(members, pool);
                pool
            }
        };
        self.of_stage.insert(key, pool);
        pool
    }

    /// Back ends of a pool.
    pub fn members(&self, pool: PoolId) -> &[BackendName] {
        self.members.get(pool.0 as usize).map_or(&[], Vec::as_slice)
    }

    /// Expected service time of a stage, in milliseconds.
    pub fn service_ms(&self, pipeline: &PipelineName, position: usize, stage: &Stage) -> f64 {
        self.service
            .get(&(pipeline.clone(), position))
            .map_or_else(|| assumed_service_ms(stage), MovingAverage::value)
    }

    /// Takes in a measured service time.
    pub fn served(
        &mut self,
        pipeline: &PipelineName,
        position: usize,
        stage: &Stage,
        service_ms: f64,
    ) {
        self.service
            .entry((pipeline.clone(), position))
            .or_insert_with(|| MovingAverage::new(assumed_service_ms(stage)))
            .add(service_ms);
    }

    /// Load of a back end.
    pub fn load(&mut self, backend: &BackendName) -> &mut BackendLoad {
        self.loads.entry(backend.clone()).or_default()
    }

    /// Load of a back end, if anything is known of it.
    pub fn known_load(&self, backend: &BackendName) -> Option<&BackendLoad> {
        self.loads.get(backend)
    }
}

/// How many calls one of `nodes` nodes may have at a back end: its share of
/// the slots, given out `slot_share` times over, and at least one.
pub fn calls_per_node(backend: &Backend, nodes: u32, slot_share: f64) -> u32 {
    let share = f64::from(backend.slots) * slot_share / f64::from(nodes.max(1));
    (share.ceil() as u32).max(1)
}
