//! The back-end list, which one node reads from its source and distributes to all nodes.

use crate::backend_list_entries::BackendListEntries;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// An entry of the back-end list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendListEntry {
    /// Identity of one run of the back end: its name and, if known, its start time. All state of
    /// a back end is stored under this identity, so that a restart under the same name begins
    /// without state.
    pub id: String,
    /// Name of the back end, which stays the same after a restart.
    pub name: String,
    /// Service that the back end belongs to.
    pub service: String,
    /// IP address and port for requests.
    pub address: String,
    /// Zone of the back end.
    pub zone: String,
    /// Software version; empty if the source of the list has none.
    pub version: String,
    /// Number of requests that the back end processes concurrently.
    pub slots: u32,
    /// Whether the back end is shutting down and accepts no new requests.
    pub draining: bool,
    /// Whether the back end is warming up and accepts only few requests. The remaining warm-up
    /// time is not stored, because it would change the entry in each read of the list.
    pub cold: bool,
    /// Start time in milliseconds since the Unix epoch, by the back end's clock; none if the
    /// source of the list has none.
    pub started_at_ms: Option<u64>,
}

/// Version of a back-end list. A list of a later leader is newer. A list that another node read
/// itself, because it received none from the leader, is newer than the leader's list that the
/// node had before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct BackendListVersion {
    /// Consensus term of the leader that read the list.
    pub term: u64,
    /// Number of changes of the list in that term.
    pub sequence: u64,
    /// 0 for a list of the leader. For a list that another node read: the number of changes
    /// since the leader's list in the upper 32 bits and the node's incarnation in the lower 32
    /// bits, so that two nodes do not use the same version for different entries.
    pub fallback: u64,
}

impl BackendListVersion {
    /// Version of a changed list that process `incarnation` read itself, while it received none
    /// from the leader.
    pub fn fallback_of(previous: Self, incarnation: u64) -> Self {
        let changes = (previous.fallback >> 32) + 1;
        Self {
            fallback: (changes << 32) | (incarnation & 0xFFFF_FFFF),
            ..previous
        }
    }
}

/// The back-end list at one version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendList {
    /// Version of the list.
    pub version: BackendListVersion,
    /// Entries by identity.
    pub entries: BackendListEntries,
}

/// A back-end list that is shared inside a process.
pub type SharedBackendList = Arc<BackendList>;
