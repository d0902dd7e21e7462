//! Pools: the sets of back ends that may run a stage, their loads and their slots.

use silversail_control::AppliedConfiguration;
use silversail_model::{Backend, BackendKind, BackendName, PipelineName, Stage, StageKind};
use silversail_routing::{
    borrowed_slots, BackendLoad, Millis, MovingAverage, PoolId, SlotPolicy, SlotTable,
};
use std::collections::{BTreeMap, HashMap};

/// Service time of a stage before any was measured, in milliseconds.
fn default_service_ms(stage: &Stage) -> f64 {
    let by_kind = match stage.kind {
        StageKind::Encoding | StageKind::Retrieval => 15,
        StageKind::Reranking | StageKind::Service => 30,
        StageKind::Generation => 250,
    };
    stage.expected_ms.unwrap_or(by_kind) as f64
}

type StageKey = (PipelineName, usize);

/// Identity of a pool: its back ends, and the model that managed ones must have loaded.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PoolSpec {
    members: Vec<BackendName>,
    model: Option<String>,
}

/// Pools of the configuration, with loads, slots and service times.
#[derive(Default)]
pub struct Pools {
    specs: Vec<PoolSpec>,
    ids: HashMap<PoolSpec, PoolId>,
    /// Models that engines reported as loaded.
    loaded_models: BTreeMap<BackendName, Vec<String>>,
    pool_by_stage: HashMap<StageKey, PoolId>,
    service_times: HashMap<StageKey, MovingAverage>,
    loads: BTreeMap<BackendName, BackendLoad>,
    slots: SlotTable,
}

impl Pools {
    /// Clears the assignment of stages to pools, after a configuration change.
    pub fn reset_stages(&mut self) {
        self.pool_by_stage.clear();
    }

    /// Pool of a stage in the applied configuration; created on first use.
    pub fn pool_of(
        &mut self,
        configuration: &AppliedConfiguration,
        pipeline: &PipelineName,
        position: usize,
        stage: &Stage,
    ) -> PoolId {
        let key = (pipeline.clone(), position);
        if let Some(pool) = self.pool_by_stage.get(&key) {
            return *pool;
        }
        let members: Vec<BackendName> = configuration
            .configuration()
            .backends_for(stage)
            .map(|backend| backend.name.clone())
            .collect();
        let spec = PoolSpec {
            members,
            model: stage.model.clone(),
        };
        let pool = match self.ids.get(&spec) {
            Some(pool) => *pool,
            None => {
                let pool = PoolId(self.specs.len() as u32);
                self.specs.push(spec.clone());
                self.ids.insert(spec, pool);
                pool
            }
        };
        self.pool_by_stage.insert(key, pool);
        pool
    }

    /// Pool of a stage that was looked up since the last configuration change.
    pub fn existing_pool(&self, pipeline: &PipelineName, position: usize) -> Option<PoolId> {
        self.pool_by_stage
            .get(&(pipeline.clone(), position))
            .copied()
    }

    /// Names of a pool's back ends.
    pub fn members(&self, pool: PoolId) -> &[BackendName] {
        self.specs
            .get(pool.0 as usize)
            .map_or(&[], |spec| spec.members.as_slice())
    }

    /// Whether a back end can run the pool's stages: a managed engine must have reported the model
    /// as loaded.
    pub fn has_model_loaded(&self, pool: PoolId, backend: &Backend) -> bool {
        let spec = self.specs.get(pool.0 as usize);
        let Some(model) = spec.and_then(|spec| spec.model.as_ref()) else {
            return true;
        };
        !backend.managed
            || self
                .loaded_models
                .get(&backend.name)
                .is_some_and(|models| models.contains(model))
    }

    /// Records the models that an engine reported; true if they changed.
    pub fn record_loaded_models(&mut self, backend: &BackendName, models: Vec<String>) -> bool {
        let known = self.loaded_models.insert(backend.clone(), models.clone());
        known.as_ref() != Some(&models)
    }

    /// Expected service time of a stage, in milliseconds.
    pub fn service_ms(&self, pipeline: &PipelineName, position: usize, stage: &Stage) -> f64 {
        self.service_times
            .get(&(pipeline.clone(), position))
            .map_or_else(|| default_service_ms(stage), MovingAverage::value)
    }

    /// Records a measured service time, in milliseconds.
    pub fn record_service_time(
        &mut self,
        pipeline: &PipelineName,
        position: usize,
        stage: &Stage,
        service_ms: f64,
    ) {
        self.service_times
            .entry((pipeline.clone(), position))
            .or_insert_with(|| MovingAverage::new(default_service_ms(stage)))
            .add(service_ms);
    }

    /// Load of a back end, created if unknown.
    pub fn load(&mut self, backend: &BackendName) -> &mut BackendLoad {
        self.loads.entry(backend.clone()).or_default()
    }

    /// Load of a back end; `None` if unknown.
    pub fn known_load(&self, backend: &BackendName) -> Option<&BackendLoad> {
        self.loads.get(backend)
    }
}

/// This node's share of the slots of back ends.
#[derive(Clone, Copy, Debug)]
pub struct NodeShare {
    /// Number of usable nodes.
    pub nodes: u32,
    /// Position of this node among them.
    pub rank: u32,
    /// Policy by which engine slots are assigned to nodes.
    pub policy: SlotPolicy,
    /// Overcommit factor for back ends that report no load.
    pub slot_share: f64,
}

impl Pools {
    /// Assigns the slots of engines to nodes, after a configuration change.
    pub fn assign_slots<'a>(&mut self, backends: impl Iterator<Item = &'a Backend>) {
        // Managed engines are grouped by their loaded model, so that each node gets a share of each
        // model's slots.
        let mut by_model: BTreeMap<Option<&str>, Vec<&Backend>> = BTreeMap::new();
        for engine in backends.filter(|backend| backend.kind == BackendKind::Engine) {
            let loaded = self
                .loaded_models
                .get(&engine.name)
                .filter(|_| engine.managed);
            let model = loaded.and_then(|models| models.first()).map(String::as_str);
            by_model.entry(model).or_default().push(engine);
        }
        let ordered_engines = by_model.values().flatten();
        self.slots = SlotTable::new(ordered_engines.map(|engine| (&engine.name, engine.slots)));
    }

    /// Number of concurrent calls that this node may always send to a back end, independent of its
    /// load.
    pub fn reserved_slots(&self, backend: &Backend, share: NodeShare) -> u32 {
        if backend.kind == BackendKind::Engine && share.policy == SlotPolicy::Home {
            return self
                .slots
                .home_slots(&backend.name, backend.slots, share.nodes, share.rank);
        }
        let reserved = f64::from(backend.slots) * share.slot_share / f64::from(share.nodes.max(1));
        (reserved.ceil() as u32).max(1)
    }

    /// Whether this node may send one more call to a back end now.
    pub fn has_free_slot(&self, backend: &Backend, share: NodeShare, now: Millis) -> bool {
        let load = self.loads.get(&backend.name);
        let in_flight = load.map_or(0, |load| load.in_flight);
        let reserved = self.reserved_slots(backend, share);
        if in_flight < reserved {
            return true;
        }
        if backend.kind != BackendKind::Engine || share.policy == SlotPolicy::Share {
            return false;
        }
        let free = load.and_then(|load| load.reported_free_slots(backend.slots, now));
        let borrowed = free.map_or(0, |free| {
            borrowed_slots(free, share.nodes, share.rank, &backend.name, now)
        });
        borrowed > 0
    }
}
