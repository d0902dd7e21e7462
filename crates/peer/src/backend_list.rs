//! The list of back ends, read by one node for all.

use crate::backend_list_entries::BackendListEntries;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A back end on the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendListEntry {
    /// Identity of this start of the back end: its name, and its time of start where that is
    /// known. All that is kept of a back end is kept under this, so that a new start, also under
    /// the same name, begins with nothing.
    pub id: String,
    /// What the back end calls itself; it may start again under this name.
    pub name: String,
    /// Its service.
    pub service: String,
    /// IP address and port.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Version of its software; empty where the list does not tell.
    pub version: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub draining: bool,
    /// Whether it is cold: it bears few requests until a later list says that it is warm.
    /// How long its spell lasts is not kept, as that differs in each read of the list.
    pub cold: bool,
    /// When it started, in milliseconds since the Unix epoch by its own clock; none where the
    /// list does not tell.
    pub started_at_ms: Option<u64>,
}

/// Orders listings: a later leader's is newer. What another node read while the leader's
/// reads did not arrive comes after the leader's listing that it held.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct BackendListVersion {
    /// Term of the leader that read it.
    pub term: u64,
    /// Counts its changes up in that term.
    pub sequence: u64,
    /// Of a read of another node: the change since the leader's listing, counted in the
    /// high half, and its process, so that two nodes do not give the same number to
    /// different entries. 0 for the leader's.
    pub fallback: u64,
}

impl BackendListVersion {
    /// The version that the process `incarnation` gives to other entries that it read
    /// while the leader's reads did not arrive.
    pub fn fallback_of(former: Self, incarnation: u64) -> Self {
        let changes = (former.fallback >> 32) + 1;
        Self {
            fallback: (changes << 32) | (incarnation & 0xFFFF_FFFF),
            ..former
        }
    }
}

/// The list as one node read it for all.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendList {
    /// Its version.
    pub version: BackendListVersion,
    /// All entries.
    pub entries: BackendListEntries,
}

/// A listing shared inside a process.
pub type SharedBackendList = Arc<BackendList>;
