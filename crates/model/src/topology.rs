//! Zones, the regions that they belong to, and the network distances between them.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Network distance between two zones, ordered from near to far.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Distance {
    /// Both are the same zone.
    SameZone,
    /// Different zones of the same region.
    SameRegion,
    /// Zones of different regions.
    OtherRegion,
}

impl Distance {
    /// Returns the value used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Distance::SameZone => "same_zone",
            Distance::SameRegion => "same_region",
            Distance::OtherRegion => "other_region",
        }
    }
}

/// Network round-trip time for each distance, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RoundTrips {
    /// Within a zone.
    pub same_zone: f64,
    /// Between zones of a region.
    pub same_region: f64,
    /// Between regions.
    pub other_region: f64,
}

impl Default for RoundTrips {
    /// Typical values for data centres in one city and for cities some hundred kilometres apart.
    fn default() -> Self {
        Self {
            same_zone: 0.4,
            same_region: 2.0,
            other_region: 40.0,
        }
    }
}

/// Validation error of a topology.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TopologyError {
    /// The named zone has no region.
    #[error("zone '{0}' has no region")]
    ZoneWithoutRegion(String),
    /// The zone of this process is not declared.
    #[error("the zone of this process, '{0}', is not among the declared zones")]
    UnknownLocalZone(String),
    /// A round-trip time is negative, not a number, or shorter than one of a smaller distance.
    #[error("round-trip times must be at least 0 ms and must not decrease with the distance")]
    RoundTrips,
}

/// The zones with their regions, from the view of a process in one of them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Topology {
    local_zone: String,
    regions: BTreeMap<String, String>,
    round_trips: RoundTrips,
}

impl Topology {
    /// Creates the topology for a process in `local_zone`. `regions` maps each zone to its region;
    /// if it is empty, all zones count as one region.
    ///
    /// # Errors
    /// [`TopologyError`] if a zone has no region, `local_zone` is not declared, or the round-trip
    /// times are invalid.
    pub fn new(
        local_zone: &str,
        regions: BTreeMap<String, String>,
        round_trips: RoundTrips,
    ) -> Result<Self, TopologyError> {
        if let Some((zone, _)) = regions.iter().find(|(_, region)| region.is_empty()) {
            return Err(TopologyError::ZoneWithoutRegion(zone.clone()));
        }
        if !regions.is_empty() && !regions.contains_key(local_zone) {
            return Err(TopologyError::UnknownLocalZone(local_zone.to_owned()));
        }
        let round_trip_times = [
            0.0,
            round_trips.same_zone,
            round_trips.same_region,
            round_trips.other_region,
        ];
        if round_trip_times.iter().any(|time| !time.is_finite()) || !round_trip_times.is_sorted() {
            return Err(TopologyError::RoundTrips);
        }
        Ok(Self {
            local_zone: local_zone.to_owned(),
            regions,
            round_trips,
        })
    }

    /// Returns the zone of this process.
    pub fn local_zone(&self) -> &str {
        &self.local_zone
    }

    /// Returns the region of this process; none if it is unknown.
    pub fn local_region(&self) -> Option<&str> {
        self.region_of(&self.local_zone)
    }

    /// Returns the region of a zone; none if the zone is unknown.
    pub fn region_of(&self, zone: &str) -> Option<&str> {
        self.regions.get(zone).map(String::as_str)
    }

    /// Returns the region of each zone, by zone.
    pub fn region_by_zone(&self) -> &BTreeMap<String, String> {
        &self.regions
    }

    /// Returns the names of all regions.
    pub fn regions(&self) -> BTreeSet<&str> {
        self.regions.values().map(String::as_str).collect()
    }

    /// Returns the distance between two zones. Zones with an unknown region count as zones of the
    /// same region, so that a deployment without declared regions is one region.
    pub fn distance(&self, from: &str, to: &str) -> Distance {
        if from == to {
            return Distance::SameZone;
        }
        match (self.region_of(from), self.region_of(to)) {
            (Some(from), Some(to)) if from != to => Distance::OtherRegion,
            _ => Distance::SameRegion,
        }
    }

    /// Returns the distance from this process to a zone.
    pub fn distance_to(&self, zone: &str) -> Distance {
        self.distance(&self.local_zone, zone)
    }

    /// Returns the round-trip time for a distance, in milliseconds.
    pub fn round_trip_ms(&self, distance: Distance) -> f64 {
        match distance {
            Distance::SameZone => self.round_trips.same_zone,
            Distance::SameRegion => self.round_trips.same_region,
            Distance::OtherRegion => self.round_trips.other_region,
        }
    }
}

/// The regions that may process a request; all regions if there is no restriction.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionFilter {
    allowed: Option<BTreeSet<String>>,
}

impl RegionFilter {
    /// Creates a filter that allows all regions.
    pub fn any() -> Self {
        Self::default()
    }

    /// Creates a filter that allows the regions in both lists; an absent list allows all regions.
    pub fn intersection(
        first: Option<&BTreeSet<String>>,
        second: Option<&BTreeSet<String>>,
    ) -> Self {
        let allowed = match (first, second) {
            (Some(first), Some(second)) => Some(first.intersection(second).cloned().collect()),
            (first, second) => first.or(second).cloned(),
        };
        Self { allowed }
    }

    /// Whether the filter excludes any region.
    pub fn is_restricted(&self) -> bool {
        self.allowed.is_some()
    }

    /// Whether `region` is allowed; an unknown region is allowed only if there is no
    /// restriction.
    pub fn allows(&self, region: Option<&str>) -> bool {
        match (&self.allowed, region) {
            (None, _) => true,
            (Some(allowed), Some(region)) => allowed.contains(region),
            (Some(_), None) => false,
        }
    }
}
