//! Settings of the gateway for pass-through requests.

use super::Settings;
use crate::session::{BackendListLease, DEFAULT_BACKEND_LIST_LEASE};
use serde::Deserialize;
use silversail_serving::policy::Policy;
use std::time::Duration;

/// Settings of the gateway for pass-through requests. Addresses are `IP:PORT`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Listen address for callers' requests.
    pub callers: String,
    /// Listen address of the readiness check.
    pub readiness: String,
    /// Listen address for the traffic configuration.
    pub control: String,
    /// Listen address for entry-point requests.
    pub entry_points: String,
    /// Address from which the backend list is read.
    pub backend_list: String,
    /// Maximum rate of calls to read the backend list, for all processes together, per second.
    #[serde(default = "default_list_rate")]
    pub backend_list_rate: f64,
    /// Longest time for which back ends may still get requests after the backend list marks them
    /// as draining, in milliseconds.
    #[serde(default = "default_leaving_bound")]
    pub leaving_bound_ms: u64,
    /// Time for which callers may use an entry-point answer, in milliseconds.
    #[serde(default = "default_answer_lifetime")]
    pub answer_lifetime_ms: u64,
    /// Time from the stop signal until the process is killed, in milliseconds.
    #[serde(default = "default_stop_grace")]
    pub stop_grace_ms: u64,
    /// Maximum age of the last confirmation at which reads of the traffic configuration are
    /// answered, in milliseconds.
    #[serde(default = "default_read_staleness")]
    pub read_staleness_ms: u64,
    /// Retries as a share of requests, over all processes.
    #[serde(default = "default_retry_ratio")]
    pub retry_ratio: f64,
    /// Retries that are allowed beyond the share, over all processes.
    #[serde(default)]
    pub retry_allowance: f64,
    /// Time window of the retry budget, in milliseconds.
    #[serde(default = "default_retry_window")]
    pub retry_window_ms: u64,
    /// Processor cores that this process may use. Nodes with the largest value are preferred as
    /// shard owners.
    #[serde(default = "default_processor_share")]
    pub processor_share: f64,
    /// Maximum memory for callers' request bodies, in bytes; requests beyond it are rejected.
    #[serde(default = "default_held_body_bytes")]
    pub held_body_bytes: usize,
    /// Maximum memory for answers that are buffered until their callers have read them, in bytes;
    /// answers beyond it are relayed as their callers read them.
    #[serde(default = "default_held_answer_bytes")]
    pub held_answer_bytes: usize,
    /// Parameters of routing and batching decisions.
    #[serde(default)]
    pub policy: Policy,
}

/// Share of the leaving bound for which a read of the backend list is trusted. In the rest another
/// node can take over from a failed reader, and read and distribute the list.
const BACKEND_LIST_LEASE_SHARE: f64 = 2.0 / 3.0;
/// Share of that lease after which a long list is read again, so that a failed read can be
/// repeated within the lease.
const LONG_LIST_INTERVAL_SHARE: f64 = 0.5;

impl GatewaySettings {
    /// Time for which nodes trust a read of the backend list.
    pub fn backend_list_lease(&self) -> BackendListLease {
        let lease = (self.leaving_bound_ms as f64 * BACKEND_LIST_LEASE_SHARE) as u64;
        BackendListLease(lease.max(DEFAULT_BACKEND_LIST_LEASE))
    }

    /// Interval of the reads of a backend list that needs many calls.
    pub fn long_list_interval(&self) -> Duration {
        Duration::from_millis(self.backend_list_lease().0).mul_f64(LONG_LIST_INTERVAL_SHARE)
    }
}

impl Settings {
    /// Time for which nodes trust a read of the backend list.
    pub fn backend_list_lease(&self) -> BackendListLease {
        let gateway = self.gateway.as_ref();
        gateway.map_or_else(
            BackendListLease::default,
            GatewaySettings::backend_list_lease,
        )
    }

    /// Processor cores that this process may use, in hundredths of a core.
    pub fn processor_percent(&self) -> u16 {
        let share = self
            .gateway
            .as_ref()
            .map_or(1.0, |gateway| gateway.processor_share);
        (share * 100.0).round() as u16
    }
}

fn default_processor_share() -> f64 {
    1.0
}

fn default_held_body_bytes() -> usize {
    32 << 20
}

fn default_held_answer_bytes() -> usize {
    16 << 20
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
