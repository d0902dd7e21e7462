//! How many calls one node may have at a back end, so that the nodes, which
//! don't see each other's dispatches, do not all choose the same one.

use crate::Millis;
use serde::{Deserialize, Serialize};
use silversail_model::BackendName;
use std::collections::hash_map::DefaultHasher;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

/// How slots are given to nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SlotPolicy {
    /// Each node may use an even share of each back end's slots, at least one
    /// call; a baseline, which overfills back ends with fewer slots than nodes.
    Share,
    /// Each slot has a home node. A node may use more where a load report says
    /// that slots are free; the nodes together take about as many as are free.
    #[default]
    Home,
}

/// Interval after which chance decides anew who uses free slots.
const BORROW_INTERVAL: Millis = 100;

/// The home node of each slot: slots are numbered over all back ends in one
/// order and dealt out to the nodes in turn, which every node works out alike.
#[derive(Clone, Debug, Default)]
pub struct SlotTable {
    first_slot: BTreeMap<BackendName, u32>,
}

impl SlotTable {
    /// The table of these back ends and their slots, in an order that all nodes
    /// must give alike.
    pub fn new<'a>(backends: impl Iterator<Item = (&'a BackendName, u32)>) -> Self {
        let mut next: u32 = 0;
        let mut first_slot = BTreeMap::new();
        for (name, slots) in backends {
            first_slot.insert(name.clone(), next);
            next = next.wrapping_add(slots);
        }
        Self { first_slot }
    }

    /// Number of back ends in the table.
    pub fn len(&self) -> usize {
        self.first_slot.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.first_slot.is_empty()
    }

    /// How many slots of `backend` have the node of this rank as their home.
    pub fn home_slots(&self, backend: &BackendName, slots: u32, nodes: u32, rank: u32) -> u32 {
        let Some(first) = self.first_slot.get(backend) else {
            return 0;
        };
        let nodes = nodes.max(1);
        // The first slot at or after `first` whose home is this node.
        let lead = (rank + nodes - first % nodes) % nodes;
        if slots <= lead {
            return 0;
        }
        (slots - lead - 1) / nodes + 1
    }
}

/// How many of `free` slots one of `nodes` nodes may use beyond its home slots
/// for now. Chance, drawn from the node, the back end and the time, rounds its
/// part so that the parts of all nodes add up to about `free`.
pub fn borrowed_slots(free: u32, nodes: u32, rank: u32, backend: &BackendName, now: Millis) -> u32 {
    let mut hasher = DefaultHasher::new();
    (rank, backend, now / BORROW_INTERVAL).hash(&mut hasher);
    let chance = (hasher.finish() % 1_000) as f64 / 1_000.0;
    (f64::from(free) / f64::from(nodes.max(1)) + chance) as u32
}
