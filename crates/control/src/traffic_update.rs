//! What brings a node from the traffic configuration that it holds to a newer one.

use crate::compression;
use crate::published::{PublishedTraffic, SharedTraffic};
use serde::{Deserialize, Serialize};
use silversail_model::TrafficVersion;
use std::sync::Arc;

/// A newer traffic configuration for a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum TrafficUpdate {
    /// The whole, for a node that holds none or an old one.
    Whole(SharedTraffic),
    /// What changed, for a node that holds the version before.
    Difference(Arc<TrafficDifference>),
}

/// What changed between two versions, packed against the earlier one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TrafficDifference {
    /// The version that the receiver must hold.
    base: TrafficVersion,
    /// The version that it gets.
    version: TrafficVersion,
    packed: Vec<u8>,
}

/// Why an update could not be applied; a heartbeat then asks for the whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UpdateError {
    /// It builds on a version that is not held.
    #[error("the update builds on version {0}, which is not held")]
    OtherBase(TrafficVersion),
    /// It can't be unpacked.
    #[error("the update can't be unpacked")]
    Malformed,
}

impl TrafficUpdate {
    /// The version that the receiver gets.
    pub fn version(&self) -> TrafficVersion {
        match self {
            TrafficUpdate::Whole(whole) => whole.version(),
            TrafficUpdate::Difference(difference) => difference.version,
        }
    }

    /// The newer configuration, for a node that holds `held`.
    pub fn apply(&self, held: Option<&SharedTraffic>) -> Result<SharedTraffic, UpdateError> {
        match self {
            TrafficUpdate::Whole(whole) => Ok(whole.clone()),
            TrafficUpdate::Difference(difference) => difference.apply(held).map(Arc::new),
        }
    }
}

impl TrafficDifference {
    fn between(base: &PublishedTraffic, next: &PublishedTraffic) -> Option<Self> {
        let packed = compression::compress_against(&base.encode(), &next.encode()).ok()?;
        Some(Self {
            base: base.version(),
            version: next.version(),
            packed,
        })
    }

    fn apply(&self, held: Option<&SharedTraffic>) -> Result<PublishedTraffic, UpdateError> {
        let base = held
            .filter(|held| held.version() == self.base)
            .ok_or(UpdateError::OtherBase(self.base))?;
        let plain = compression::decompress_against(&base.encode(), &self.packed)
            .map_err(|_| UpdateError::Malformed)?;
        let next = PublishedTraffic::decode(&plain).ok_or(UpdateError::Malformed)?;
        match next.version() == self.version {
            true => Ok(next),
            false => Err(UpdateError::Malformed),
        }
    }
}

/// The newest traffic configuration with what leads to it from the version before, made
/// once for all nodes.
#[derive(Debug, Default)]
pub struct TrafficUpdateCache {
    newest: Option<SharedTraffic>,
    difference: Option<Arc<TrafficDifference>>,
}

impl TrafficUpdateCache {
    /// Takes what is in force now.
    pub fn set_latest(&mut self, published: Option<&SharedTraffic>) {
        let Some(next) = published else {
            return;
        };
        let held = self.newest.as_ref().map(|held| held.version());
        if held >= Some(next.version()) {
            return;
        }
        let before = self.newest.replace(next.clone());
        let difference = before.and_then(|before| TrafficDifference::between(&before, next));
        self.difference = difference.map(Arc::new);
    }

    /// What a node that holds `have` lacks; none when it lacks nothing.
    pub fn update_since(&self, have: Option<TrafficVersion>) -> Option<TrafficUpdate> {
        let newest = self.newest.as_ref()?;
        if have >= Some(newest.version()) {
            return None;
        }
        let difference = self.difference.as_ref();
        match difference.filter(|one| Some(one.base) == have) {
            Some(difference) => Some(TrafficUpdate::Difference(difference.clone())),
            None => Some(TrafficUpdate::Whole(newest.clone())),
        }
    }
}
