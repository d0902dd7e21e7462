//! Divides the slots of back ends among the nodes, so that nodes, which do not see
//! each other's dispatches, do not all select the same back end.

use crate::Millis;
use serde::{Deserialize, Serialize};
use silversail_model::BackendName;
use std::collections::hash_map::DefaultHasher;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

/// Policy by which slots are divided among nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SlotPolicy {
    /// Each node may use an even share of each back end's slots, at least one;
    /// overloads back ends with fewer slots than nodes, and is for comparison only.
    Share,
    /// Each slot is assigned to a home node. A node may borrow slots of others that
    /// a load report shows as free; all nodes together borrow about the free number.
    #[default]
    Home,
}

/// Interval at which borrowed slots are divided anew, in milliseconds.
const BORROW_INTERVAL_MS: Millis = 100;

/// Assigns each slot to its home node: slots are numbered consecutively over all
/// back ends and assigned to the nodes round robin, with the same result on each node.
#[derive(Clone, Debug, Default)]
pub struct SlotTable {
    first_slot: BTreeMap<BackendName, u32>,
}

impl SlotTable {
    /// Creates the table from back ends and their numbers of slots. All nodes must
    /// pass the same order.
    pub fn new<'a>(backends: impl Iterator<Item = (&'a BackendName, u32)>) -> Self {
        let mut next_slot: u32 = 0;
        let mut first_slot = BTreeMap::new();
        for (name, slots) in backends {
            first_slot.insert(name.clone(), next_slot);
            next_slot = next_slot.wrapping_add(slots);
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

    /// Number of slots of `backend` whose home is the node of this rank.
    pub fn home_slots(&self, backend: &BackendName, slots: u32, nodes: u32, rank: u32) -> u32 {
        let Some(first_slot_of_backend) = self.first_slot.get(backend) else {
            return 0;
        };
        let nodes = nodes.max(1);
        // Offset of the first slot of the back end whose home is this node.
        let offset = (rank + nodes - first_slot_of_backend % nodes) % nodes;
        if slots <= offset {
            return 0;
        }
        (slots - offset - 1) / nodes + 1
    }
}

/// Number of the `free` slots that the node may borrow beyond its home slots at
/// `now`. Each node rounds its share pseudo-randomly, by a hash of its rank, the
/// back end and the time, so that the shares of all nodes add up to about `free`.
pub fn borrowed_slots(free: u32, nodes: u32, rank: u32, backend: &BackendName, now: Millis) -> u32 {
    let mut hasher = DefaultHasher::new();
    (rank, backend, now / BORROW_INTERVAL_MS).hash(&mut hasher);
    let rounding = (hasher.finish() % 1_000) as f64 / 1_000.0;
    (f64::from(free) / f64::from(nodes.max(1)) + rounding) as u32
}
