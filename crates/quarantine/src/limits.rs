//! After how many crashes a request is refused, and what is remembered for how long.

use serde::{Deserialize, Serialize};

/// Settings of the quarantine; the leader's hold for all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct QuarantineLimits {
    /// Crashes of back ends until a request that ran at each of them is refused; at least 1. The
    /// users' rule on retries counts from the third crash on; fewer would refuse requests that
    /// two racks took with them.
    pub crashes: u32,
    /// How long a suspect is remembered after its last crash, in milliseconds.
    pub suspect_for_ms: u64,
    /// How long a request is refused after the last crash under it, in milliseconds. When it
    /// comes again after that, one crash more is enough.
    pub refuse_for_ms: u64,
    /// Most suspects; those with the fewest crashes, then the oldest, are forgotten first. A
    /// crash of an engine with 32 streams brings 32.
    pub most_suspects: usize,
    /// Most refused requests; the oldest are forgotten first. Suspects never displace them. 512
    /// are a list of 8 KB, which each node is sent when it changes.
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
