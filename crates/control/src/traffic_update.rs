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
    Whole(SharedTraffic),
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
pub enum UpdateError {
    /// The update applies to a version that the node does not have.
    #[error("traffic update for base version {0} does not match the held version")]
    OtherBase(TrafficVersion),
    /// The update cannot be decompressed or decoded.
    #[error("traffic update cannot be decompressed or decoded")]
    Malformed,
}

impl TrafficUpdate {
    /// Version of the configuration after the update.
    pub fn version(&self) -> TrafficVersion {
        match self {
            TrafficUpdate::Whole(whole) => whole.version(),
            TrafficUpdate::Difference(difference) => difference.version,
        }
    }

    /// Returns the newer configuration of a node that has `held`.
    ///
    /// # Errors
    /// [`UpdateError`] if `held` is not the base of the update or the update is damaged.
    pub fn apply(&self, held: Option<&SharedTraffic>) -> Result<SharedTraffic, UpdateError> {
        match self {
            TrafficUpdate::Whole(whole) => Ok(whole.clone()),
            TrafficUpdate::Difference(difference) => difference.apply(held).map(Arc::new),
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

    fn apply(&self, held: Option<&SharedTraffic>) -> Result<PublishedTraffic, UpdateError> {
        let base = held
            .filter(|held| held.version() == self.base)
            .ok_or(UpdateError::OtherBase(self.base))?;
        let encoded = compression::decompress_against(&base.encode(), &self.packed)
            .map_err(|_| UpdateError::Malformed)?;
        let next = PublishedTraffic::decode(&encoded).ok_or(UpdateError::Malformed)?;
        match next.version() == self.version {
            true => Ok(next),
            false => Err(UpdateError::Malformed),
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
        let current_version = self.latest.as_ref().map(|current| current.version());
        if current_version >= Some(next.version()) {
            return;
        }
        let previous = self.latest.replace(next.clone());
        let difference = previous.and_then(|previous| TrafficDifference::between(&previous, next));
        self.difference = difference.map(Arc::new);
    }

    /// Returns the update for a node with version `held_version`, or `None` if it is current.
    pub fn update_since(&self, held_version: Option<TrafficVersion>) -> Option<TrafficUpdate> {
        let latest = self.latest.as_ref()?;
        if held_version >= Some(latest.version()) {
            return None;
        }
        let difference = self.difference.as_ref();
        match difference.filter(|difference| Some(difference.base) == held_version) {
            Some(difference) => Some(TrafficUpdate::Difference(difference.clone())),
            None => Some(TrafficUpdate::Whole(latest.clone())),
        }
    }
}
