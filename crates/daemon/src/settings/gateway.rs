//! Settings of the surface for pass-through requests.

use super::Settings;
use crate::session::{ListingLease, LISTING_LEASE};
use serde::Deserialize;
use silversail_serving::policy::Policy;
use std::time::Duration;

/// The surface for pass-through requests. Addresses are IP numbers and ports.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// For callers' requests.
    pub callers: String,
    /// For the question whether this process is ready.
    pub readiness: String,
    /// For the traffic configuration.
    pub control: String,
    /// For the question which addresses to use.
    pub entry_points: String,
    /// Where the list of back ends is read.
    pub backend_list: String,
    /// Calls of the list that all processes together may make in a second.
    #[serde(default = "default_list_rate")]
    pub backend_list_rate: f64,
    /// Longest time in which back ends that the list says leave may still get requests, in
    /// milliseconds.
    #[serde(default = "default_leaving_bound")]
    pub leaving_bound_ms: u64,
    /// How long callers keep an entry-point answer, in milliseconds.
    #[serde(default = "default_answer_lifetime")]
    pub answer_lifetime_ms: u64,
    /// Time from the order to stop until the process is killed, in
    /// milliseconds.
    #[serde(default = "default_stop_grace")]
    pub stop_grace_ms: u64,
    /// Oldest confirmation on which a read of the traffic configuration is
    /// answered, in milliseconds.
    #[serde(default = "default_read_staleness")]
    pub read_staleness_ms: u64,
    /// Second sends of a request, as a share of requests, over all processes.
    #[serde(default = "default_retry_ratio")]
    pub retry_ratio: f64,
    /// Second sends that are allowed beyond the share, over all processes.
    #[serde(default)]
    pub retry_allowance: f64,
    /// The time over which both are counted, in milliseconds.
    #[serde(default = "default_retry_window")]
    pub retry_window_ms: u64,
    /// Share of a core that this process may use. Nodes with the largest share batch for
    /// services.
    #[serde(default = "default_processor_share")]
    pub processor_share: f64,
    /// Bytes of callers' bodies that this process holds at most; what comes beyond is refused.
    #[serde(default = "default_held_body_bytes")]
    pub held_body_bytes: usize,
    /// Switches and figures of the decisions.
    #[serde(default)]
    pub policy: Policy,
}

/// Part of the time in which leaving back ends may get requests that a read of the list is relied
/// on: another node steps in for its reader, reads and spreads what it read in the rest.
const LEASE_PART: f64 = 2.0 / 3.0;
/// Part of that lease after which a long list is read again: a read that fails leaves time for
/// another.
const LONG_LIST_PART: f64 = 0.5;

impl GatewaySettings {
    /// For how long nodes rely on a read of the list of back ends.
    pub fn backend_list_lease(&self) -> ListingLease {
        let lease = (self.leaving_bound_ms as f64 * LEASE_PART) as u64;
        ListingLease(lease.max(LISTING_LEASE))
    }

    /// Time between the reads of a list that takes many calls.
    pub fn long_list_interval(&self) -> Duration {
        Duration::from_millis(self.backend_list_lease().0).mul_f64(LONG_LIST_PART)
    }
}

impl Settings {
    /// For how long nodes rely on a read of the list of back ends.
    pub fn backend_list_lease(&self) -> ListingLease {
        let gateway = self.gateway.as_ref();
        gateway.map_or_else(ListingLease::default, GatewaySettings::backend_list_lease)
    }

    /// Share of a core that this process may use, in hundredths.
    pub fn processor_percent(&self) -> u16 {
        let share = self.gateway.as_ref().map_or(1.0, |one| one.processor_share);
        (share * 100.0).round() as u16
    }
}

fn default_processor_share() -> f64 {
    1.0
}

/// A fifth of the memory of a small node.
fn default_held_body_bytes() -> usize {
    32 << 20
}

fn default_list_rate() -> f64 {
    10.0
}

fn default_leaving_bound() -> u64 {
    3_000
}

fn default_answer_lifetime() -> u64 {
    2_000
}

fn default_stop_grace() -> u64 {
    8_000
}

fn default_read_staleness() -> u64 {
    1_500
}

fn default_retry_ratio() -> f64 {
    0.1
}

fn default_retry_window() -> u64 {
    10_000
}
