//! Settings of the place: zones with their regions, and what the way between them costs.

use super::{Settings, SettingsError};
use serde::Deserialize;
use silversail_model::identifiers::is_valid_name;
use silversail_model::topology::{RoundTrips, TopologyError};
use silversail_model::{ResultCode, Topology};
use std::collections::BTreeMap;

/// Where the zones lie.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TopologySettings {
    /// The zones, each with its region. Operators may evacuate these. Where none is named,
    /// all places count as one region, and any zone may be evacuated.
    pub zones: BTreeMap<String, Option<String>>,
    /// Milliseconds of a round trip over each distance.
    pub round_trip_ms: RoundTrips,
}

impl Settings {
    /// The topology as this process sees it.
    ///
    /// # Errors
    /// Where a zone has no region or no valid name, the own zone is unknown, or round trips
    /// make no sense.
    pub fn topology(&self) -> Result<Topology, SettingsError> {
        for zone in self.topology.zones.keys() {
            check_name(zone, &format!("topology.zones.{zone}"))?;
        }
        let with_region = |(zone, region): (&String, &Option<String>)| {
            let region = region.clone().unwrap_or_default();
            (zone.clone(), region)
        };
        let regions = self.topology.zones.iter().map(with_region).collect();
        let own_zone = &self.own_node().zone;
        let topology = Topology::new(own_zone, regions, self.topology.round_trip_ms)
            .map_err(|error| refused(&error))?;
        for (zone, region) in topology.region_by_zone() {
            check_name(region, &format!("topology.zones.{zone}"))?;
        }
        Ok(topology)
    }
}

fn check_name(name: &str, path: &str) -> Result<(), SettingsError> {
    if is_valid_name(name) {
        return Ok(());
    }
    let message = "a name takes 1 to 128 letters, digits, '-', '_' and '.'";
    Err(SettingsError::new(ResultCode::InvalidName, path, message))
}

fn refused(error: &TopologyError) -> SettingsError {
    let (code, path) = match error {
        TopologyError::ZoneWithoutRegion(zone) => {
            (ResultCode::MissingField, format!("topology.zones.{zone}"))
        }
        TopologyError::UnknownLocalZone(_) => {
            (ResultCode::UnknownReference, "topology.zones".to_owned())
        }
        TopologyError::RoundTrips => (
            ResultCode::ValueOutOfRange,
            "topology.round_trip_ms".to_owned(),
        ),
    };
    SettingsError::new(code, path, error.to_string())
}
