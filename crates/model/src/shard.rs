//! Shards of a batched service. A service with more back ends than one node can batch for is
//! divided by zone or region.

use crate::topology::{Distance, Topology};
use serde::{Deserialize, Serialize};
use std::fmt;

/// The back ends of a batched service for which one node forms the batches.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Shard {
    /// Name of the service.
    pub service: String,
    /// Location of the back ends.
    pub scope: ShardScope,
}

/// Location of the back ends of a shard.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ShardScope {
    /// All zones: the service is not divided.
    All,
    /// One zone.
    Zone(String),
    /// All zones of one region.
    Region {
        /// Name of the region.
        name: String,
        /// Zones of the region, sorted by name.
        zones: Vec<String>,
    },
}

impl Shard {
    /// Creates a shard with all back ends of a service.
    pub fn whole_service(service: &str) -> Self {
        Self {
            service: service.to_owned(),
            scope: ShardScope::All,
        }
    }

    /// Creates a shard with the back ends of a service in one zone.
    pub fn in_zone(service: &str, zone: &str) -> Self {
        Self {
            service: service.to_owned(),
            scope: ShardScope::Zone(zone.to_owned()),
        }
    }

    /// Creates a shard with the back ends of a service in the region of `zone`, or in `zone` alone
    /// if its region is unknown.
    pub fn in_region_of(service: &str, zone: &str, topology: &Topology) -> Self {
        let Some(region) = topology.region_of(zone) else {
            return Self::in_zone(service, zone);
        };
        let zones = topology.region_by_zone().iter();
        let zones_of_region = zones.filter(|(_, zone_region)| zone_region.as_str() == region);
        Self {
            service: service.to_owned(),
            scope: ShardScope::Region {
                name: region.to_owned(),
                zones: zones_of_region.map(|(zone, _)| zone.clone()).collect(),
            },
        }
    }

    /// Whether the shard has all back ends of the service.
    pub fn is_whole_service(&self) -> bool {
        self.scope == ShardScope::All
    }

    /// One zone of the shard, from which its region follows; none for a whole service.
    pub fn representative_zone(&self) -> Option<&str> {
        match &self.scope {
            ShardScope::All => None,
            ShardScope::Zone(zone) => Some(zone),
            ShardScope::Region { zones, .. } => zones.first().map(String::as_str),
        }
    }

    /// Whether all back ends of the shard are in the same zone.
    pub fn is_single_zone(&self) -> bool {
        match &self.scope {
            ShardScope::All => false,
            ShardScope::Zone(_) => true,
            ShardScope::Region { zones, .. } => zones.len() < 2,
        }
    }

    /// Whether back ends in `zone` belong to the shard.
    pub fn contains_zone(&self, zone: &str) -> bool {
        match &self.scope {
            ShardScope::All => true,
            ShardScope::Zone(shard_zone) => shard_zone == zone,
            ShardScope::Region { zones, .. } => zones.iter().any(|shard_zone| shard_zone == zone),
        }
    }

    /// Distance from `zone` to the nearest zone of the shard.
    pub fn distance(&self, zone: &str, topology: &Topology) -> Distance {
        match &self.scope {
            ShardScope::All => Distance::SameZone,
            ShardScope::Zone(shard_zone) => topology.distance(zone, shard_zone),
            ShardScope::Region { zones, .. } => {
                let distances = zones
                    .iter()
                    .map(|shard_zone| topology.distance(zone, shard_zone));
                distances.min().unwrap_or(Distance::OtherRegion)
            }
        }
    }
}

impl fmt::Display for Shard {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.scope {
            ShardScope::All => formatter.write_str(&self.service),
            ShardScope::Zone(location) | ShardScope::Region { name: location, .. } => {
                write!(formatter, "{}@{location}", self.service)
            }
        }
    }
}
