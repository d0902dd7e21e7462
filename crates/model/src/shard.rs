//! Which back ends of a batched service one node fills: all of them, or those of one zone or
//! of one region where a service has more than one node can serve.

use crate::topology::{Distance, Topology};
use serde::{Deserialize, Serialize};
use std::fmt;

/// A part of the back ends of a batched service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Shard {
    /// The service.
    pub service: String,
    /// Where the back ends are.
    pub scope: ShardScope,
}

/// Where the back ends of a shard are.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ShardScope {
    /// Everywhere: all back ends of the service.
    All,
    /// In one zone.
    Zone(String),
    /// In the zones of one region.
    Region {
        /// The region.
        name: String,
        /// Its zones, in order.
        zones: Vec<String>,
    },
}

impl Shard {
    /// All back ends of a service.
    pub fn whole_service(service: &str) -> Self {
        Self {
            service: service.to_owned(),
            scope: ShardScope::All,
        }
    }

    /// The back ends of a service in a zone.
    pub fn in_zone(service: &str, zone: &str) -> Self {
        Self {
            service: service.to_owned(),
            scope: ShardScope::Zone(zone.to_owned()),
        }
    }

    /// The back ends of a service in the region of a zone; those in the zone where its region
    /// is not known.
    pub fn in_region_of(service: &str, zone: &str, topology: &Topology) -> Self {
        let Some(region) = topology.region_of(zone) else {
            return Self::in_zone(service, zone);
        };
        let zones = topology.region_by_zone().iter();
        let of_region = zones.filter(|(_, one)| one.as_str() == region);
        Self {
            service: service.to_owned(),
            scope: ShardScope::Region {
                name: region.to_owned(),
                zones: of_region.map(|(zone, _)| zone.clone()).collect(),
            },
        }
    }

    /// Whether it is all of the service, so that there is no other shard of it.
    pub fn is_whole_service(&self) -> bool {
        self.scope == ShardScope::All
    }

    /// A zone of it, which tells its region; none for a whole service.
    pub fn representative_zone(&self) -> Option<&str> {
        match &self.scope {
            ShardScope::All => None,
            ShardScope::Zone(zone) => Some(zone),
            ShardScope::Region { zones, .. } => zones.first().map(String::as_str),
        }
    }

    /// Whether all its back ends are in the same zone.
    pub fn is_single_zone(&self) -> bool {
        match &self.scope {
            ShardScope::All => false,
            ShardScope::Zone(_) => true,
            ShardScope::Region { zones, .. } => zones.len() < 2,
        }
    }

    /// Whether a back end in `zone` belongs to it.
    pub fn contains_zone(&self, zone: &str) -> bool {
        match &self.scope {
            ShardScope::All => true,
            ShardScope::Zone(own) => own == zone,
            ShardScope::Region { zones, .. } => zones.iter().any(|own| own == zone),
        }
    }

    /// How far the nearest zone of it is from `zone`.
    pub fn distance(&self, zone: &str, topology: &Topology) -> Distance {
        match &self.scope {
            ShardScope::All => Distance::SameZone,
            ShardScope::Zone(own) => topology.distance(zone, own),
            ShardScope::Region { zones, .. } => {
                let distances = zones.iter().map(|own| topology.distance(zone, own));
                distances.min().unwrap_or(Distance::OtherRegion)
            }
        }
    }
}

impl fmt::Display for Shard {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.scope {
            ShardScope::All => formatter.write_str(&self.service),
            ShardScope::Zone(place) | ShardScope::Region { name: place, .. } => {
                write!(formatter, "{}@{place}", self.service)
            }
        }
    }
}
