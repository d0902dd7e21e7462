//! Settings of the topology: zones with their regions, and round-trip times between them.

use super::{Settings, SettingsError};
use serde::Deserialize;
use silversail_model::identifiers::is_valid_name;
use silversail_model::topology::{RoundTrips, TopologyError};
use silversail_model::{ResultCode, Topology};
use std::collections::BTreeMap;

/// Zones, regions and round-trip times.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TopologySettings {
    /// Region of each zone. Operators may evacuate these zones. If empty, all zones belong to
    /// one region, and any zone may be evacuated.
    pub zones: BTreeMap<String, Option<String>>,
    /// Round-trip time for each distance, in milliseconds.
    pub round_trip_ms: RoundTrips,
}

impl Settings {
    /// The topology from the position of this process's zone.
    ///
    /// # Errors
    /// If a zone has no region or no valid name, the own zone is unknown, or the round-trip times
    /// are invalid.
    pub fn topology(&self) -> Result<Topology, SettingsError> {
        for zone in self.topology.zones.keys() {
            validate_name(zone, &format!("topology.zones.{zone}"))?;
        }
        let with_region = |(zone, region): (&String, &Option<String>)| {
            let region = region.clone().unwrap_or_default();
            (zone.clone(), region)
        };
        let regions = self.topology.zones.iter().map(with_region).collect();
        let own_zone = &self.own_node().zone;
        let topology = Topology::new(own_zone, regions, self.topology.round_trip_ms)
            .map_err(|error| topology_error(&error))?;
        for (zone, region) in topology.region_by_zone() {
            validate_name(region, &format!("topology.zones.{zone}"))?;
        }
        Ok(topology)
    }
}

fn validate_name(name: &str, path: &str) -> Result<(), SettingsError> {
    if is_valid_name(name) {
        return Ok(());
    }
    let message = "must have 1 to 128 characters out of letters, digits, '-', '_' and '.'";
    Err(SettingsError::new(ResultCode::InvalidName, path, message))
}

fn topology_error(error: &TopologyError) -> SettingsError {
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
