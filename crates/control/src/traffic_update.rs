//! Updates of the traffic configuration on nodes.

use crate::compression;
use crate::published::{PublishedTraffic, SharedTraffic};
use serde::{Deserialize, Serialize};
use silversail_model::TrafficVersion;
use std::sync::Arc;

/// Update of a node to a newer traffic configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum TrafficUpdate {
    /// The full configuration, for a node without one or with an old version.
    Full(SharedTraffic),
    /// The difference from the previous version, for a node with that version.
    Difference(Arc<TrafficDifference>),
}

/// Difference between two versions: the newer one, compressed with the older as dictionary.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TrafficDifference {
    /// Version that the receiver must have.
    base: TrafficVersion,
    /// Version after the update.
    version: TrafficVersion,
    packed: Vec<u8>,
}

/// Error from applying an update; the next heartbeat then requests the full configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TrafficUpdateError {
    /// The update applies to a version that the node does not have.
    #[error(
        "traffic update applies to version {0}, which is not the current version of this node"
    )]
    BaseMismatch(TrafficVersion),
    /// The update cannot be decompressed or decoded.
    #[error("traffic update cannot be decompressed or decoded, or contains another version than it states")]
    Malformed,
}

impl TrafficUpdate {
    /// Version of the configuration after the update.
    pub fn version(&self) -> TrafficVersion {
        match self {
            TrafficUpdate::Full(full) => full.version(),
            TrafficUpdate::Difference(difference) => difference.version,
        }
    }

    /// Returns the newer configuration of a node that has `current`.
    ///
    /// # Errors
    /// [`TrafficUpdateError`] if `current` is not the base of the update or the update is damaged.
    pub fn apply_to(
        &self,
        current: Option<&SharedTraffic>,
    ) -> Result<SharedTraffic, TrafficUpdateError> {
        match self {
            TrafficUpdate::Full(full) => Ok(full.clone()),
            TrafficUpdate::Difference(difference) => difference.apply_to(current).map(Arc::new),
        }
    }
}

impl TrafficDifference {
    fn between(base: &PublishedTraffic, next: &PublishedTraffic) -> Option<Self> {
        let compressed = compression::compress_against(&base.encode(), &next.encode()).ok()?;
        Some(Self {
            base: base.version(),
            version: next.version(),
            packed: compressed,
        })
    }

    fn apply_to(
        &self,
        current: Option<&SharedTraffic>,
    ) -> Result<PublishedTraffic, TrafficUpdateError> {
        let base = current
            .filter(|current| current.version() == self.base)
            .ok_or(TrafficUpdateError::BaseMismatch(self.base))?;
        let encoded = compression::decompress_against(&base.encode(), &self.packed)
            .map_err(|_| TrafficUpdateError::Malformed)?;
        let next = PublishedTraffic::decode(&encoded).ok_or(TrafficUpdateError::Malformed)?;
        match next.version() == self.version {
            true => Ok(next),
            false => Err(TrafficUpdateError::Malformed),
        }
    }
}

/// The latest traffic configuration and its difference from the previous version, computed once
/// for all nodes.
#[derive(Debug, Default)]
pub struct TrafficUpdateCache {
    latest: Option<SharedTraffic>,
    difference: Option<Arc<TrafficDifference>>,
}

impl TrafficUpdateCache {
    /// Sets the configuration in force, if it is newer than the current one.
    pub fn set_latest(&mut self, published: Option<&SharedTraffic>) {
        let Some(next) = published else {
            return;
        };
        let latest_version = self.latest.as_ref().map(|current| current.version());
        if latest_version >= Some(next.version()) {
            return;
        }
        let previous = self.latest.replace(next.clone());
        let difference = previous.and_then(|previous| TrafficDifference::between(&previous, next));
        self.difference = difference.map(Arc::new);
    }

    /// Returns the update for a node with version `current_version`, or `None` if it is current.
    pub fn update_since(&self, current_version: Option<TrafficVersion>) -> Option<TrafficUpdate> {
        let latest = self.latest.as_ref()?;
        if current_version >= Some(latest.version()) {
            return None;
        }
        let difference = self.difference.as_ref();
        match difference.filter(|difference| Some(difference.base) == current_version) {
            Some(difference) => Some(TrafficUpdate::Difference(difference.clone())),
            None => Some(TrafficUpdate::Full(latest.clone())),
        }
    }
}
