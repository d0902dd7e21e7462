//! Pools: the sets of back ends that stages may run on, and their loads.

use silversail_control::AppliedConfiguration;
use silversail_model::{Backend, BackendKind, BackendName, PipelineName, Stage, StageKind};
use silversail_routing::{
    borrowed_slots, BackendLoad, Millis, MovingAverage, PoolId, SlotPolicy, SlotTable,
};
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

/// What makes a pool: its back ends, and the model that managed ones must hold.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PoolSpec {
    members: Vec<BackendName>,
    model: Option<String>,
}

/// Sets of back ends with their loads.
#[derive(Default)]
pub struct Pools {
    specs: Vec<PoolSpec>,
    ids: HashMap<PoolSpec, PoolId>,
    /// Models that engines said they hold.
    holdings: BTreeMap<BackendName, Vec<String>>,
    of_stage: HashMap<StageKey, PoolId>,
    service: HashMap<StageKey, MovingAverage>,
    loads: BTreeMap<BackendName, BackendLoad>,
    slots: SlotTable,
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
        self.of_stage.insert(key, pool);
        pool
    }

    /// The pool of a stage that was queued before.
    pub fn known_pool(&self, pipeline: &PipelineName, position: usize) -> Option<PoolId> {
        self.of_stage.get(&(pipeline.clone(), position)).copied()
    }

    /// Back ends of a pool.
    pub fn members(&self, pool: PoolId) -> &[BackendName] {
        self.specs
            .get(pool.0 as usize)
            .map_or(&[], |spec| spec.members.as_slice())
    }

    /// Whether a back end holds what the pool's stages need: a managed engine
    /// must have said that it holds the model.
    pub fn holds_model(&self, pool: PoolId, backend: &Backend) -> bool {
        let spec = self.specs.get(pool.0 as usize);
        let Some(model) = spec.and_then(|spec| spec.model.as_ref()) else {
            return true;
        };
        !backend.managed
            || self
                .holdings
                .get(&backend.name)
                .is_some_and(|models| models.contains(model))
    }

    /// Notes what an engine holds; true when that changed.
    pub fn note_holdings(&mut self, backend: &BackendName, models: Vec<String>) -> bool {
        let known = self.holdings.insert(backend.clone(), models.clone());
        known.as_ref() != Some(&models)
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

/// The part of the cluster that this node is, as far as slots go.
#[derive(Clone, Copy, Debug)]
pub struct NodeShare {
    /// Usable nodes.
    pub nodes: u32,
    /// This node's rank among them.
    pub rank: u32,
    /// How engines' slots are given to nodes.
    pub policy: SlotPolicy,
    /// How many times slots are given out where no load is reported.
    pub slot_share: f64,
}

impl Pools {
    /// Deals the slots of back ends out to nodes, after a configuration change.
    pub fn deal_slots<'a>(&mut self, backends: impl Iterator<Item = &'a Backend>) {
        // Managed engines are dealt by the model that they hold, so that each
        // node gets its part of each model's slots.
        let mut by_model: BTreeMap<Option<&str>, Vec<&Backend>> = BTreeMap::new();
        for engine in backends.filter(|backend| backend.kind == BackendKind::Engine) {
            let held = self.holdings.get(&engine.name).filter(|_| engine.managed);
            let model = held.and_then(|models| models.first()).map(String::as_str);
            by_model.entry(model).or_default().push(engine);
        }
        let dealt = by_model.values().flatten();
        self.slots = SlotTable::new(dealt.map(|engine| (&engine.name, engine.slots)));
    }

    /// How many calls this node may have at a back end whatever its load.
    pub fn own_slots(&self, backend: &Backend, share: NodeShare) -> u32 {
        if backend.kind == BackendKind::Engine && share.policy == SlotPolicy::Home {
            return self
                .slots
                .home_slots(&backend.name, backend.slots, share.nodes, share.rank);
        }
        let own = f64::from(backend.slots) * share.slot_share / f64::from(share.nodes.max(1));
        (own.ceil() as u32).max(1)
    }

    /// Whether this node may have one more call at a back end now.
    pub fn has_slot(&self, backend: &Backend, share: NodeShare, now: Millis) -> bool {
        let load = self.loads.get(&backend.name);
        let in_flight = load.map_or(0, |load| load.in_flight);
        let own = self.own_slots(backend, share);
        if in_flight < own {
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
