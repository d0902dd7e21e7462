//! The weight store, which all engines share, and the models that an engine has
//! loaded by order.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Configuration of the weight store.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightStoreConfig {
    /// Throughput over all readers, in megabytes per second.
    pub mb_per_s: f64,
    /// Size of each model, in megabytes.
    pub models: BTreeMap<String, f64>,
}

/// Weight store that serves one reader after another.
pub struct WeightStore {
    config: WeightStoreConfig,
    busy_until: Mutex<Instant>,
}

impl WeightStore {
    /// Creates a store without reads in progress.
    pub fn new(config: WeightStoreConfig) -> Self {
        Self {
            config,
            busy_until: Mutex::new(Instant::now()),
        }
    }

    /// Reserves a read of `model` and returns its duration, including queued reads before
    /// it; none for an unknown model.
    fn read(&self, model: &str) -> Option<Duration> {
        let size = self.config.models.get(model)?;
        let transfer = Duration::from_secs_f64(size / self.config.mb_per_s);
        let now = Instant::now();
        let mut busy_until = self.busy_until.lock().expect("not poisoned");
        let queue_time = busy_until.saturating_duration_since(now);
        *busy_until = now + queue_time + transfer;
        Some(queue_time + transfer)
    }
}

/// Record of a model order at an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct OrderRecord {
    /// Name of the engine.
    pub engine: String,
    /// Leadership term of the fencing token, which is compared first.
    pub term: u64,
    /// Sequence number of the fencing token within its term.
    pub sequence: u64,
    /// `load` or `unload`.
    pub action: String,
    /// Name of the model.
    pub model: String,
    /// Whether the engine accepted the order.
    pub accepted: bool,
    /// Duration of the load, including queued reads at the store, in milliseconds.
    pub load_ms: u64,
}

/// Request body of a model order.
#[derive(Deserialize)]
pub(crate) struct OrderBody {
    term: u64,
    sequence: u64,
    action: String,
    model: String,
}

/// Model orders of all engines, in order of arrival.
#[derive(Default)]
pub struct OrderLog(Mutex<Vec<OrderRecord>>);

impl OrderLog {
    /// All orders recorded so far.
    pub fn records(&self) -> Vec<OrderRecord> {
        self.0.lock().expect("not poisoned").clone()
    }
}

/// Models that one engine has loaded.
pub struct EngineModels {
    engine: String,
    checks_fence: bool,
    store: Option<Arc<WeightStore>>,
    log: Arc<OrderLog>,
    state: Mutex<ModelState>,
}

#[derive(Default)]
struct ModelState {
    loaded: BTreeSet<String>,
    loading: BTreeMap<String, Instant>,
    newest_fence: (u64, u64),
}

impl EngineModels {
    /// Creates the state of an engine without loaded models.
    pub fn new(
        engine: &str,
        checks_fence: bool,
        store: Option<Arc<WeightStore>>,
        log: Arc<OrderLog>,
    ) -> Self {
        Self {
            engine: engine.to_owned(),
            checks_fence,
            store,
            log,
            state: Mutex::default(),
        }
    }

    /// Names of the models that are loaded now.
    pub fn loaded(&self) -> Vec<String> {
        let mut state = self.state.lock().expect("not poisoned");
        let now = Instant::now();
        let finished: Vec<String> = state
            .loading
            .iter()
            .filter(|(_, loaded_at)| **loaded_at <= now)
            .map(|(model, _)| model.clone())
            .collect();
        for model in finished {
            state.loading.remove(&model);
            state.loaded.insert(model);
        }
        state.loaded.iter().cloned().collect()
    }

    /// Processes an order; returns the HTTP status of the response.
    pub(crate) fn order(&self, body: &OrderBody) -> u16 {
        self.loaded();
        let mut state = self.state.lock().expect("not poisoned");
        let fence = (body.term, body.sequence);
        let is_stale = self.checks_fence && fence <= state.newest_fence;
        let mut load_ms = 0;
        let mut accepted = !is_stale;
        if !is_stale {
            state.newest_fence = state.newest_fence.max(fence);
            if body.action == "unload" {
                state.loaded.remove(&body.model);
                state.loading.remove(&body.model);
            } else {
                match self
                    .store
                    .as_ref()
                    .and_then(|store| store.read(&body.model))
                {
                    Some(time) => {
                        load_ms = time.as_millis() as u64;
                        state
                            .loading
                            .insert(body.model.clone(), Instant::now() + time);
                    }
                    None => accepted = false,
                }
            }
        }
        let record = OrderRecord {
            engine: self.engine.clone(),
            term: body.term,
            sequence: body.sequence,
            action: body.action.clone(),
            model: body.model.clone(),
            accepted,
            load_ms,
        };
        self.log.0.lock().expect("not poisoned").push(record);
        match (is_stale, accepted) {
            (true, _) => 409,
            (false, true) => 202,
            (false, false) => 404,
        }
    }
}
