//! Which orders bring the engines from what they hold to what is declared.

use crate::orders::{OrderAction, OrderTable};
use silversail_model::{Backend, BackendKind, BackendName, Configuration, Model};
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

/// Models that each engine said it holds; engines that said nothing lately are
/// absent, and get no orders.
pub type LoadedModels = BTreeMap<BackendName, BTreeSet<String>>;

/// An order to be issued.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedOrder {
    /// The engine.
    pub backend: BackendName,
    /// What to do.
    pub action: OrderAction,
    /// With which model.
    pub model: String,
}

/// The models that each managed engine shall hold. Engines keep what they hold
/// where that serves; else the engine with the most room is chosen, ties broken
/// by a hash that every node computes alike.
pub fn target(
    configuration: &Configuration,
    holdings: &LoadedModels,
    is_leaving: impl Fn(&Backend) -> bool,
) -> LoadedModels {
    let engines: Vec<&Backend> = configuration
        .backends
        .values()
        .filter(|backend| backend.managed && backend.kind == BackendKind::Engine)
        .filter(|backend| !backend.drain && !is_leaving(backend))
        .filter(|backend| holdings.contains_key(&backend.name))
        .collect();
    let mut target: LoadedModels = engines
        .iter()
        .map(|engine| (engine.name.clone(), BTreeSet::new()))
        .collect();
    for model in configuration.models.values() {
        for engine in choose(model, &engines, holdings, &target) {
            if let Some(models) = target.get_mut(&engine) {
                models.insert(model.name.clone());
            }
        }
    }
    target
}

fn choose(
    model: &Model,
    engines: &[&Backend],
    holdings: &LoadedModels,
    target: &LoadedModels,
) -> Vec<BackendName> {
    let room = |engine: &Backend| {
        let taken = target.get(&engine.name).map_or(0, BTreeSet::len);
        (engine.model_slots as usize).saturating_sub(taken)
    };
    let holds = |engine: &Backend| {
        holdings
            .get(&engine.name)
            .is_some_and(|models| models.contains(&model.name))
    };
    let mut candidates: Vec<&Backend> = engines
        .iter()
        .copied()
        .filter(|engine| model.engines.matches(&engine.labels) && room(engine) > 0)
        .collect();
    candidates.sort_by_key(|engine| {
        let free = room(engine);
        let order = preference(&model.name, &engine.name);
        (!holds(engine), std::cmp::Reverse(free), order)
    });
    candidates
        .into_iter()
        .take(model.replicas as usize)
        .map(|engine| engine.name.clone())
        .collect()
}

fn preference(model: &str, engine: &BackendName) -> u64 {
    let mut hasher = DefaultHasher::new();
    (model, engine).hash(&mut hasher);
    hasher.finish()
}

/// The next order for each engine that has none outstanding. A model is dropped
/// only to make room, or when enough other engines hold it.
pub fn plan_orders(
    configuration: &Configuration,
    holdings: &LoadedModels,
    book: &OrderTable,
    is_leaving: impl Fn(&Backend) -> bool,
) -> Vec<PlannedOrder> {
    let target = target(configuration, holdings, is_leaving);
    let mut orders = Vec::new();
    for (backend, wanted) in &target {
        let Some(held) = holdings.get(backend) else {
            continue;
        };
        if book.order_for(backend).is_some() {
            continue;
        }
        let slots = configuration
            .backends
            .get(backend)
            .map_or(1, |engine| engine.model_slots as usize);
        let missing = wanted.difference(held).next();
        let surplus = held.difference(wanted).find(|model| {
            held.len() >= slots && missing.is_some()
                || is_covered(model, backend, &target, holdings)
        });
        let order = match (missing, surplus) {
            (_, Some(model)) => Some((OrderAction::Unload, model)),
            (Some(model), None) if held.len() < slots => Some((OrderAction::Load, model)),
            _ => None,
        };
        if let Some((action, model)) = order {
            orders.push(PlannedOrder {
                backend: backend.clone(),
                action,
                model: model.clone(),
            });
        }
    }
    orders
}

/// Whether all engines that shall hold `model` do, `except` one aside.
fn is_covered(
    model: &str,
    except: &BackendName,
    target: &LoadedModels,
    holdings: &LoadedModels,
) -> bool {
    target
        .iter()
        .filter(|(backend, wanted)| *backend != except && wanted.contains(model))
        .all(|(backend, _)| {
            holdings
                .get(backend)
                .is_some_and(|held| held.contains(model))
        })
}
