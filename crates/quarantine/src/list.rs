//! The list of refused requests that nodes enforce.

use serde::{Deserialize, Serialize};
use silversail_model::RequestFingerprint;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Revision number of a [`QuarantineList`]; a higher one is newer.
pub type QuarantineRevision = u64;

/// Refused requests, and suspects that would be refused after one more crash.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineList {
    /// Increases with each change of the list.
    pub revision: QuarantineRevision,
    /// Requests that no node may send to a back end.
    pub refused: BTreeSet<RequestFingerprint>,
    /// Suspects whose successes nodes report, as one complete response clears a suspect.
    pub watched: BTreeSet<RequestFingerprint>,
}

/// A list that is shared within a process without copying.
pub type SharedQuarantineList = Arc<QuarantineList>;

impl QuarantineList {
    /// Whether the list has the request as refused or watched, so that its success is reported.
    pub fn contains(&self, fingerprint: &RequestFingerprint) -> bool {
        self.refused.contains(fingerprint) || self.watched.contains(fingerprint)
    }
}
