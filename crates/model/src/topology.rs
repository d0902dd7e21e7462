//! Where zones lie and what the way between two of them costs: zones belong to regions, and
//! a region is far from every other one.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// How far apart two zones are; a smaller one is nearer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Distance {
    /// The same zone.
    SameZone,
    /// Another zone of the same region.
    SameRegion,
    /// A zone of another region.
    OtherRegion,
}

impl Distance {
    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Distance::SameZone => "same_zone",
            Distance::SameRegion => "same_region",
            Distance::OtherRegion => "other_region",
        }
    }
}

/// Milliseconds of a round trip over each distance.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RoundTrips {
    /// Inside a zone.
    pub same_zone: f64,
    /// Between zones of a region.
    pub same_region: f64,
    /// Between regions.
    pub other_region: f64,
}

impl Default for RoundTrips {
    /// What halls of one city and cities some hundred kilometres apart have between them.
    fn default() -> Self {
        Self {
            same_zone: 0.4,
            same_region: 2.0,
            other_region: 40.0,
        }
    }
}

/// What is wrong with a topology.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TopologyError {
    /// A zone names no region.
    #[error("zone '{0}' has no region")]
    ZoneWithoutRegion(String),
    /// The own zone is not among the zones.
    #[error("the own zone '{0}' is not among the zones")]
    UnknownOwnZone(String),
    /// A round trip is negative, no number, or shorter than one over a smaller distance.
    #[error("round trips must be 0 ms or more and grow with the distance")]
    RoundTrips,
}

/// The zones with their regions, seen from one of them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Topology {
    own_zone: String,
    regions: BTreeMap<String, String>,
    round_trips: RoundTrips,
}

impl Topology {
    /// The topology as a process in `own_zone` sees it; `regions` names the region of each
    /// zone. Without any zone all are taken to lie in one region.
    ///
    /// # Errors
    /// Where a zone has no region, the own zone is unknown, or round trips make no sense.
    pub fn new(
        own_zone: &str,
        regions: BTreeMap<String, String>,
        round_trips: RoundTrips,
    ) -> Result<Self, TopologyError> {
        if let Some((zone, _)) = regions.iter().find(|(_, region)| region.is_empty()) {
            return Err(TopologyError::ZoneWithoutRegion(zone.clone()));
        }
        if !regions.is_empty() && !regions.contains_key(own_zone) {
            return Err(TopologyError::UnknownOwnZone(own_zone.to_owned()));
        }
        let times = [
            0.0,
            round_trips.same_zone,
            round_trips.same_region,
            round_trips.other_region,
        ];
        if times.iter().any(|time| !time.is_finite()) || !times.is_sorted() {
            return Err(TopologyError::RoundTrips);
        }
        Ok(Self {
            own_zone: own_zone.to_owned(),
            regions,
            round_trips,
        })
    }

    /// The zone of this process.
    pub fn own_zone(&self) -> &str {
        &self.own_zone
    }

    /// The region of this process; none where no region is known.
    pub fn own_region(&self) -> Option<&str> {
        self.region_of(&self.own_zone)
    }

    /// The region of a zone; none where the zone is unknown.
    pub fn region_of(&self, zone: &str) -> Option<&str> {
        self.regions.get(zone).map(String::as_str)
    }

    /// The zones with their regions.
    pub fn region_by_zone(&self) -> &BTreeMap<String, String> {
        &self.regions
    }

    /// Names of the regions.
    pub fn regions(&self) -> BTreeSet<&str> {
        self.regions.values().map(String::as_str).collect()
    }

    /// How far apart two zones are. Zones whose region is not known count as zones of one
    /// region, so that a deployment that names none has none between which it would choose.
    pub fn distance(&self, from: &str, to: &str) -> Distance {
        if from == to {
            return Distance::SameZone;
        }
        match (self.region_of(from), self.region_of(to)) {
            (Some(from), Some(to)) if from != to => Distance::OtherRegion,
            _ => Distance::SameRegion,
        }
    }

    /// How far a zone is from this process.
    pub fn distance_to(&self, zone: &str) -> Distance {
        self.distance(&self.own_zone, zone)
    }

    /// Milliseconds of a round trip over a distance.
    pub fn round_trip_ms(&self, distance: Distance) -> f64 {
        match distance {
            Distance::SameZone => self.round_trips.same_zone,
            Distance::SameRegion => self.round_trips.same_region,
            Distance::OtherRegion => self.round_trips.other_region,
        }
    }
}

/// The regions that may serve a request; all where nothing restricts them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionFilter {
    allowed: Option<BTreeSet<String>>,
}

impl RegionFilter {
    /// All regions.
    pub fn any() -> Self {
        Self::default()
    }

    /// The regions that both of two lists name; a list that is none names all.
    pub fn intersection(
        first: Option<&BTreeSet<String>>,
        second: Option<&BTreeSet<String>>,
    ) -> Self {
        let allowed = match (first, second) {
            (Some(first), Some(second)) => Some(first.intersection(second).cloned().collect()),
            (one, other) => one.or(other).cloned(),
        };
        Self { allowed }
    }

    /// Whether any region is left out.
    pub fn is_restricted(&self) -> bool {
        self.allowed.is_some()
    }

    /// Whether a region may serve; one that is not known may only where nothing is
    /// restricted.
    pub fn allows(&self, region: Option<&str>) -> bool {
        match (&self.allowed, region) {
            (None, _) => true,
            (Some(allowed), Some(region)) => allowed.contains(region),
            (Some(_), None) => false,
        }
    }
}
