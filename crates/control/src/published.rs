//! The traffic configuration in the operator's version order: the highest
//! version prevails, whatever order versions arrive in.

use serde::{Deserialize, Serialize};
use silversail_model::{TrafficConfiguration, TrafficVersion};
use std::sync::Arc;

/// A traffic configuration with the document that it was read from, kept whole
/// so that it reads back as it was sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PublishedTraffic {
    /// The operator's document.
    pub document: Vec<u8>,
    /// What it says.
    pub traffic: TrafficConfiguration,
}

impl PublishedTraffic {
    /// The operator's version.
    pub fn version(&self) -> TrafficVersion {
        self.traffic.version
    }
}

/// A published configuration shared inside a process.
pub type SharedTraffic = Arc<PublishedTraffic>;

/// The answer to a publication.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishReply {
    /// The version in force after it.
    pub in_force: TrafficVersion,
    /// Whether this publication put it in force.
    pub is_new: bool,
}

/// Puts `next` in force in `current` where its version is above the one held.
/// A lower or equal version changes nothing.
pub fn publish(current: &mut Option<SharedTraffic>, next: PublishedTraffic) -> PublishReply {
    let held = current.as_ref().map(|held| held.version());
    let is_new = held.is_none_or(|held| next.version() > held);
    let in_force = if is_new {
        next.version()
    } else {
        held.unwrap_or_default()
    };
    if is_new {
        *current = Some(Arc::new(next));
    }
    PublishReply { in_force, is_new }
}
