//! What a node tells of a crash.

use serde::{Deserialize, Serialize};
use silversail_model::RequestFingerprint;

/// A back end that ended, and the requests of this node that broke off there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The back end.
    pub backend: String,
    /// Milliseconds since the first of them broke off.
    pub age_ms: u64,
    /// What they are.
    pub fingerprints: Vec<RequestFingerprint>,
}
