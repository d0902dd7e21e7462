//! Updates of the traffic configuration on nodes.

use crate::compression;
use crate::earlier_builds;
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

/// An update as builds with message version 6 encode it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum EarlierTrafficUpdate {
    /// The full configuration, compressed.
    Full(Vec<u8>),
    /// The difference from the previous version.
    Difference {
        /// Version that the receiver must have.
        base: TrafficVersion,
        /// Version after the update.
        version: TrafficVersion,
        /// The newer configuration, compressed with the older as dictionary.
        packed: Vec<u8>,
    },
}

/// Difference between two versions: the newer one, compressed with the older as dictionary.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TrafficDifference {
    /// Version that the receiver must have.
    base: TrafficVersion,
    /// Version after the update.
    version: TrafficVersion,
    packed: Vec<u8>,
    /// The newer configuration, for receivers that encode the older one in another way. Known to the
    /// process that computed the difference only.
    #[serde(skip)]
    next: Option<SharedTraffic>,
    /// Whether it was computed by a build with message version 6, from its own encoding.
    #[serde(skip)]
    is_of_earlier_build: bool,
}

impl PartialEq for TrafficDifference {
    fn eq(&self, other: &Self) -> bool {
        (self.base, self.version, &self.packed) == (other.base, other.version, &other.packed)
    }
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

    /// Converts the update for a build with message version 6; `None` if it has no form of the
    /// configuration, or if the configuration is not known here.
    pub fn to_earlier(&self) -> Option<EarlierTrafficUpdate> {
        let full = match self {
            TrafficUpdate::Full(full) => full,
            TrafficUpdate::Difference(difference) => difference.next.as_ref()?,
        };
        earlier_builds::compress_published(full).map(EarlierTrafficUpdate::Full)
    }

    /// Converts an update of a build with message version 6; `None` if it is damaged.
    pub fn from_earlier(update: EarlierTrafficUpdate) -> Option<Self> {
        Some(match update {
            EarlierTrafficUpdate::Full(compressed) => {
                let encoded = compression::decompress(&compressed).ok()?;
                TrafficUpdate::Full(Arc::new(PublishedTraffic::decode(&encoded)?))
            }
            EarlierTrafficUpdate::Difference {
                base,
                version,
                packed,
            } => TrafficUpdate::Difference(Arc::new(TrafficDifference {
                base,
                version,
                packed,
                next: None,
                is_of_earlier_build: true,
            })),
        })
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
    fn between(base: &PublishedTraffic, next: &SharedTraffic) -> Option<Self> {
        let compressed = compression::compress_against(&base.encode(), &next.encode()).ok()?;
        Some(Self {
            base: base.version(),
            version: next.version(),
            packed: compressed,
            next: Some(next.clone()),
            is_of_earlier_build: false,
        })
    }

    fn apply_to(
        &self,
        current: Option<&SharedTraffic>,
    ) -> Result<PublishedTraffic, TrafficUpdateError> {
        let base = current
            .filter(|current| current.version() == self.base)
            .ok_or(TrafficUpdateError::BaseMismatch(self.base))?;
        let dictionary = match self.is_of_earlier_build {
            true => earlier_builds::encode_published(base).ok_or(TrafficUpdateError::Malformed)?,
            false => base.encode(),
        };
        let encoded = compression::decompress_against(&dictionary, &self.packed)
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
