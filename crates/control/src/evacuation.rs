//! Zones whose back ends are to get no new work, by order of operators: replicated beside
//! the configuration, so that an acknowledged order outlives the loss of every process.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Counts the changes of [`Evacuations`]; a higher one is newer.
pub type EvacuationRevision = u64;

/// The evacuated zones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    revision: EvacuationRevision,
    zones: BTreeSet<String>,
}

/// Evacuated zones shared inside a process.
pub type SharedEvacuations = Arc<Evacuations>;

/// Begins or ends the evacuation of a zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationOrder {
    /// The zone.
    pub zone: String,
    /// Whether it is evacuated from now on.
    pub evacuated: bool,
    /// The revision that was known where the operator's call arrived. A copy of an order
    /// that was resent or delayed on its way must not undo an order acknowledged since:
    /// where the zones have changed after this revision, the order changes nothing.
    pub known_revision: EvacuationRevision,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EvacuationReply {
    /// The zone is as ordered, whether by this order or by an earlier one.
    InForce {
        /// The revision that says so.
        revision: EvacuationRevision,
    },
    /// The zones changed since the order's `known_revision`: nothing was done. An operator who still
    /// waits gets the order proposed again on this revision.
    Outdated {
        /// The present revision.
        revision: EvacuationRevision,
    },
}

impl Evacuations {
    /// Counts the changes so far.
    pub fn revision(&self) -> EvacuationRevision {
        self.revision
    }

    /// The zones that are evacuated, by name.
    pub fn zones(&self) -> &BTreeSet<String> {
        &self.zones
    }

    /// Whether a zone is evacuated.
    pub fn contains(&self, zone: &str) -> bool {
        self.zones.contains(zone)
    }

    /// Applies an order. One that asks for what is in force already is acknowledged and
    /// changes nothing, an end without a begin included.
    pub fn apply(&mut self, order: EvacuationOrder) -> EvacuationReply {
        let revision = self.revision;
        if self.contains(&order.zone) == order.evacuated {
            return EvacuationReply::InForce { revision };
        }
        if order.known_revision != revision {
            return EvacuationReply::Outdated { revision };
        }
        match order.evacuated {
            true => self.zones.insert(order.zone),
            false => self.zones.remove(&order.zone),
        };
        self.revision += 1;
        EvacuationReply::InForce {
            revision: self.revision,
        }
    }
}
