//! Replicated set of evacuated zones, whose back ends get no new requests.
//!
//! An acknowledged order is committed by the control group, so it survives the failure of any
//! process.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Revision of [`Evacuations`]; it increases with each change.
pub type EvacuationRevision = u64;

/// The evacuated zones with a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    revision: EvacuationRevision,
    zones: BTreeSet<String>,
}

/// Evacuated zones shared within a process.
pub type SharedEvacuations = Arc<Evacuations>;

/// Order to begin or end the evacuation of a zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationOrder {
    /// Name of the zone.
    pub zone: String,
    /// Whether the zone must be evacuated (true) or used again (false).
    pub evacuated: bool,
    /// Revision known to the node that received the order. If the zones have changed since, the
    /// order has no effect, so that a delayed copy cannot undo a later acknowledged order.
    pub known_revision: EvacuationRevision,
}

/// Result of an [`EvacuationOrder`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EvacuationReply {
    /// The zone is as ordered, by this or an earlier order.
    InForce {
        /// Revision of the zones after the order.
        revision: EvacuationRevision,
    },
    /// The zones have changed since the order's `known_revision`; the order has no effect. If the
    /// operator is still waiting, the order is proposed again with the current revision.
    Outdated {
        /// Current revision of the zones.
        revision: EvacuationRevision,
    },
}

impl Evacuations {
    /// Revision of the current set.
    pub fn revision(&self) -> EvacuationRevision {
        self.revision
    }

    /// Names of the evacuated zones.
    pub fn zones(&self) -> &BTreeSet<String> {
        &self.zones
    }

    /// Whether the zone with this name is evacuated.
    pub fn contains(&self, zone: &str) -> bool {
        self.zones.contains(zone)
    }

    /// Applies an order. An order that matches the current state is acknowledged without a change,
    /// whatever revision it names.
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
