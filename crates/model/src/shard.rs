//! Which back ends of a batched service one node fills: all of them, or those of one
//! zone where a service has more than one node can serve.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A part of the back ends of a batched service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Shard {
    /// The service.
    pub service: String,
    /// The zone of the back ends; none for all of them.
    pub zone: Option<String>,
}

impl Shard {
    /// All back ends of a service.
    pub fn whole(service: &str) -> Self {
        Self {
            service: service.to_owned(),
            zone: None,
        }
    }

    /// The back ends of a service in a zone.
    pub fn in_zone(service: &str, zone: &str) -> Self {
        Self {
            service: service.to_owned(),
            zone: Some(zone.to_owned()),
        }
    }

    /// Whether a back end in `zone` belongs to it.
    pub fn holds(&self, zone: &str) -> bool {
        self.zone.as_deref().is_none_or(|own| own == zone)
    }
}

impl fmt::Display for Shard {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.zone {
            Some(zone) => write!(formatter, "{}@{zone}", self.service),
            None => formatter.write_str(&self.service),
        }
    }
}
