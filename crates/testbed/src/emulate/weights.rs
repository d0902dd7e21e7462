//! The weight store, with one rate for all readers, and the models that an
//! engine holds, which orders change.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The weight store's configuration.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightStoreConfig {
    /// Megabytes a second over all readers.
    pub mb_per_s: f64,
    /// Sizes of models in megabytes.
    pub models: BTreeMap<String, f64>,
}

/// Gives out weights one reader after another.
pub struct WeightStore {
    config: WeightStoreConfig,
    busy_until: Mutex<Instant>,
}

impl WeightStore {
    /// An idle store.
    pub fn new(config: WeightStoreConfig) -> Self {
        Self {
            config,
            busy_until: Mutex::new(Instant::now()),
        }
    }

    /// How long a read of `model` that begins now takes, those before it
    /// included; none when there is no such model.
    fn read(&self, model: &str) -> Option<Duration> {
        let size = self.config.models.get(model)?;
        let transfer = Duration::from_secs_f64(size / self.config.mb_per_s);
        let now = Instant::now();
        let mut busy_until = self.busy_until.lock().expect("not poisoned");
        let waits = busy_until.saturating_duration_since(now);
        *busy_until = now + waits + transfer;
        Some(waits + transfer)
    }
}

/// An order as an engine got it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct OrderRecord {
    /// The engine.
    pub engine: String,
    /// Larger part of the fence.
    pub term: u64,
    /// Smaller part of the fence.
    pub sequence: u64,
    /// `load` or `unload`.
    pub action: String,
    /// The model.
    pub model: String,
    /// Whether the engine took it.
    pub accepted: bool,
    /// How long the load would take, those before it at the store included, in
    /// milliseconds.
    pub load_ms: u64,
}

/// The body of an order.
#[derive(Deserialize)]
pub(crate) struct OrderBody {
    term: u64,
    sequence: u64,
    action: String,
    model: String,
}

/// All orders that engines got, in their order.
#[derive(Default)]
pub struct OrderLog(Mutex<Vec<OrderRecord>>);

impl OrderLog {
    /// The orders so far.
    pub fn records(&self) -> Vec<OrderRecord> {
        self.0.lock().expect("not poisoned").clone()
    }
}

/// The models of one engine.
pub struct ModelHolder {
    engine: String,
    checks_fence: bool,
    store: Option<Arc<WeightStore>>,
    log: Arc<OrderLog>,
    state: Mutex<HolderState>,
}

#[derive(Default)]
struct HolderState {
    held: BTreeSet<String>,
    loading: BTreeMap<String, Instant>,
    newest_fence: (u64, u64),
}

impl ModelHolder {
    /// An engine that holds nothing.
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

    /// The models that are held now.
    pub fn held(&self) -> Vec<String> {
        let mut state = self.state.lock().expect("not poisoned");
        let now = Instant::now();
        let loaded: Vec<String> = state
            .loading
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(model, _)| model.clone())
            .collect();
        for model in loaded {
            state.loading.remove(&model);
            state.held.insert(model);
        }
        state.held.iter().cloned().collect()
    }

    /// Takes an order; the HTTP status that answers it.
    pub(crate) fn order(&self, body: &OrderBody) -> u16 {
        self.held();
        let mut state = self.state.lock().expect("not poisoned");
        let fence = (body.term, body.sequence);
        let is_stale = self.checks_fence && fence <= state.newest_fence;
        let mut load_ms = 0;
        let mut accepted = !is_stale;
        if !is_stale {
            state.newest_fence = state.newest_fence.max(fence);
            if body.action == "unload" {
                state.held.remove(&body.model);
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
