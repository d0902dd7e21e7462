//! The report that a node sends to the leader on a back end crash.

use serde::{Deserialize, Serialize};
use silversail_model::RequestFingerprint;

/// A back end crash and the requests of the reporting node that it interrupted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Name of the back end that crashed.
    pub backend: String,
    /// Time since the first of the requests was interrupted, in milliseconds.
    pub age_ms: u64,
    /// Requests that the crash interrupted.
    pub fingerprints: Vec<RequestFingerprint>,
}
