//! Plans the orders that bring the loaded models of engines in line with the configuration.

use crate::orders::{OrderAction, OrderTable};
use silversail_model::{Backend, BackendKind, BackendName, Configuration, Model};
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

/// Models that each engine reported as loaded. Engines without a recent report are absent and get
/// no orders.
pub type LoadedModels = BTreeMap<BackendName, BTreeSet<String>>;

/// An order to be issued.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedOrder {
    /// Engine that gets the order.
    pub backend: BackendName,
    /// Whether to load or unload the model.
    pub action: OrderAction,
    /// Name of the model.
    pub model: String,
}

/// Computes the models that each managed engine should have loaded. Engines that already have a
/// model are preferred, then those with the most free slots; ties are broken by a hash that is the
/// same on every node.
pub fn target_placement(
    configuration: &Configuration,
    loaded_models: &LoadedModels,
    is_leaving: impl Fn(&Backend) -> bool,
) -> LoadedModels {
    let engines: Vec<&Backend> = configuration
        .backends
        .values()
        .filter(|backend| backend.managed && backend.kind == BackendKind::Engine)
        .filter(|backend| !backend.drain && !is_leaving(backend))
        .filter(|backend| loaded_models.contains_key(&backend.name))
        .collect();
    let mut target: LoadedModels = engines
        .iter()
        .map(|engine| (engine.name.clone(), BTreeSet::new()))
        .collect();
    for model in configuration.models.values() {
        for engine in select_engines(model, &engines, loaded_models, &target) {
            if let Some(models) = target.get_mut(&engine) {
                models.insert(model.name.clone());
            }
        }
    }
    target
}

fn select_engines(
    model: &Model,
    engines: &[&Backend],
    loaded_models: &LoadedModels,
    target: &LoadedModels,
) -> Vec<BackendName> {
    let free_slots = |engine: &Backend| {
        let used_slots = target.get(&engine.name).map_or(0, BTreeSet::len);
        (engine.model_slots as usize).saturating_sub(used_slots)
    };
    let has_model = |engine: &Backend| {
        loaded_models
            .get(&engine.name)
            .is_some_and(|models| models.contains(&model.name))
    };
    let mut candidates: Vec<&Backend> = engines
        .iter()
        .copied()
        .filter(|engine| model.engines.matches(&engine.labels) && free_slots(engine) > 0)
        .collect();
    candidates.sort_by_key(|engine| {
        let free = free_slots(engine);
        let order = tie_breaker(&model.name, &engine.name);
        (!has_model(engine), std::cmp::Reverse(free), order)
    });
    candidates
        .into_iter()
        .take(model.replicas as usize)
        .map(|engine| engine.name.clone())
        .collect()
}

fn tie_breaker(model: &str, engine: &BackendName) -> u64 {
    let mut hasher = DefaultHasher::new();
    (model, engine).hash(&mut hasher);
    hasher.finish()
}

/// Returns the next order for each engine without an outstanding one. A model is unloaded only to
/// free a slot for another, or once all other target engines have loaded it.
pub fn plan_orders(
    configuration: &Configuration,
    loaded_models: &LoadedModels,
    orders: &OrderTable,
    is_leaving: impl Fn(&Backend) -> bool,
) -> Vec<PlannedOrder> {
    let target = target_placement(configuration, loaded_models, is_leaving);
    let mut planned = Vec::new();
    for (backend, target_models) in &target {
        let Some(loaded) = loaded_models.get(backend) else {
            continue;
        };
        if orders.order_for(backend).is_some() {
            continue;
        }
        let slots = configuration
            .backends
            .get(backend)
            .map_or(1, |engine| engine.model_slots as usize);
        let missing = target_models.difference(loaded).next();
        let surplus = loaded.difference(target_models).find(|model| {
            loaded.len() >= slots && missing.is_some()
                || has_enough_replicas(model, backend, &target, loaded_models)
        });
        let order = match (missing, surplus) {
            (_, Some(model)) => Some((OrderAction::Unload, model)),
            (Some(model), None) if loaded.len() < slots => Some((OrderAction::Load, model)),
            _ => None,
        };
        if let Some((action, model)) = order {
            planned.push(PlannedOrder {
                backend: backend.clone(),
                action,
                model: model.clone(),
            });
        }
    }
    planned
}

/// Whether all target engines of `model` other than `except` have loaded it.
fn has_enough_replicas(
    model: &str,
    except: &BackendName,
    target: &LoadedModels,
    loaded_models: &LoadedModels,
) -> bool {
    target
        .iter()
        .filter(|(backend, target_models)| *backend != except && target_models.contains(model))
        .all(|(backend, _)| {
            loaded_models
                .get(backend)
                .is_some_and(|loaded| loaded.contains(model))
        })
}
