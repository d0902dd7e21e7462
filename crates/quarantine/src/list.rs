//! What nodes have to know of the judgement.

use serde::{Deserialize, Serialize};
use silversail_model::RequestFingerprint;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Counts the changes of [`QuarantineList`]; a higher one is newer.
pub type QuarantineRevision = u64;

/// Requests that are refused, and those that one crash more would have refused.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineList {
    /// Counts the changes.
    pub revision: QuarantineRevision,
    /// No node sends these to a back end.
    pub refused: BTreeSet<RequestFingerprint>,
    /// A whole answer to one of these, at any node, clears it.
    pub watched: BTreeSet<RequestFingerprint>,
}

/// A list shared inside a process.
pub type SharedQuarantineList = Arc<QuarantineList>;

impl QuarantineList {
    /// Whether a whole answer to this request is news for the judgement.
    pub fn contains(&self, fingerprint: &RequestFingerprint) -> bool {
        self.refused.contains(fingerprint) || self.watched.contains(fingerprint)
    }
}
