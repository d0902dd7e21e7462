//! Settings that decide when a request is refused, and how much is remembered for how long.

use serde::{Deserialize, Serialize};

/// Settings of the quarantine. Those of the leader apply to the replicated decisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct QuarantineLimits {
    /// Number of crashes after which a request that was in flight at each of them is refused, at
    /// least 1. Values below 3 refuse requests that were interrupted by the loss of two racks.
    pub crashes: u32,
    /// Time after its last crash for which a suspect is remembered, in milliseconds.
    pub suspect_for_ms: u64,
    /// Time for which a request is refused after its last crash, in milliseconds. After that, one
    /// more crash has it refused again.
    pub refuse_for_ms: u64,
    /// Maximum number of suspects. Those with the fewest crashes, then the oldest, are dropped
    /// first.
    pub most_suspects: usize,
    /// Maximum number of refused requests, which bounds the list that each node receives. Those
    /// whose refusal expires first are dropped first.
    pub most_refused: usize,
}

impl Default for QuarantineLimits {
    fn default() -> Self {
        Self {
            crashes: 3,
            suspect_for_ms: 30 * 60_000,
            refuse_for_ms: 60 * 60_000,
            most_suspects: 2_048,
            most_refused: 512,
        }
    }
}
