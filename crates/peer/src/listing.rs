//! The list of back ends, read by one node for all.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A back end on the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Identity of this start of the back end.
    pub id: String,
    /// Its service.
    pub service: String,
    /// IP address and port.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub draining: bool,
}

/// Orders listings: a later leader's is newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ListingVersion {
    /// Term of the leader that read it.
    pub term: u64,
    /// Counts its changes up in that term.
    pub sequence: u64,
}

/// The list as the leader of the control group read it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Its version.
    pub version: ListingVersion,
    /// All entries.
    pub entries: Vec<ListedInstance>,
}

/// A listing shared inside a process.
pub type SharedListing = Arc<Listing>;
