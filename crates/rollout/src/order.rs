//! Rollout orders, the directives that nodes apply, and the state of rollouts.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Identifies a rollout in the cluster; a later one has a higher number.
pub type RolloutNumber = u64;

/// Route name under which calls of a batched service are counted, as one call serves requests of
/// several routes.
pub const BATCH_ROUTE: &str = "(batch)";

/// An operator's order to roll out a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// Name of the service.
    pub service: String,
    /// Version that the traffic is to move to.
    pub target_version: String,
    /// Time from the order to the deadline of the rollout, in milliseconds.
    pub duration_ms: u64,
}

/// Reason why an order is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum RolloutOrderError {
    /// A rollout of the service to another version is in progress.
    #[error("a rollout of service '{service}' to version '{target_version}' is under way")]
    Underway {
        /// Name of the service.
        service: String,
        /// Target version of the rollout in progress.
        target_version: String,
    },
    /// The current configuration does not contain the service.
    #[error("service '{0}' is not in the configuration")]
    UnknownService(String),
    /// The duration is zero or longer than a day.
    #[error("the duration of a rollout must be from 1 ms to 24 h")]
    Duration,
    /// The service name or the version is empty or too long.
    #[error("the names of the service and the version must have 1 to 128 characters")]
    Name,
}

/// Traffic split that nodes apply while a rollout is in progress. A node without a recent
/// confirmation that its directive is the newest one sends no requests to the candidate.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Directive {
    /// Sequence number of the directive within the rollout.
    pub step: u32,
    /// Share of the requests of each route that may go to the candidate, in thousandths. Each node
    /// enforces it over all requests that it has sent since the rollout began.
    pub canary_permille: u16,
    /// Names of the routes whose requests all go to the candidate; [`BATCH_ROUTE`] stands for the
    /// calls of a batched service.
    pub moved_routes: BTreeSet<String>,
}

/// Evidence for the end of a rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// Reason code: `failures`, `slow`, `no_difference`, `no_evidence`, `aborted`, …
    pub reason: String,
    /// Route that the reason refers to; empty for all routes together.
    pub route: String,
    /// Number of candidate responses, and how many of them were bad.
    pub candidate: (u64, u64),
    /// Number of baseline responses, and how many of them were bad.
    pub baseline: (u64, u64),
    /// Time since the order, in milliseconds.
    pub elapsed_ms: u64,
}

/// State of a rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutState {
    /// The candidate gets the traffic that the directive allows.
    InProgress(Directive),
    /// All traffic goes to the candidate, and none to the former versions.
    Completed {
        /// Versions that served the traffic before.
        former_versions: BTreeSet<String>,
        /// Evidence for this end.
        verdict: Verdict,
    },
    /// The candidate gets no traffic.
    RolledBack {
        /// Evidence for this end.
        verdict: Verdict,
    },
}

/// Replicated state of a rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// Number of the rollout.
    pub number: RolloutNumber,
    /// Order that started the rollout.
    pub order: RolloutOrder,
    /// Current state.
    pub state: RolloutState,
    /// Time since the order when a leader last committed it, in milliseconds. Later leaders
    /// continue from there by their own monotonic clock.
    pub elapsed_ms: u64,
}

impl Rollout {
    /// Whether the rollout has not ended.
    pub fn is_in_progress(&self) -> bool {
        matches!(self.state, RolloutState::InProgress(_))
    }
}

/// Limits on the effect of a bad version, set for the deployment.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RolloutLimits {
    /// Maximum share of the requests between the order and its deadline that may reach a bad
    /// version.
    pub exposure_share: f64,
    /// Number of requests that may reach a bad version beyond that share.
    pub exposure_slack: f64,
    /// Maximum time after its 50th bad response for which a bad version gets requests, in
    /// milliseconds.
    pub rollback_ms: u64,
}

impl Default for RolloutLimits {
    fn default() -> Self {
        Self {
            exposure_share: 0.1,
            exposure_slack: 50.0,
            rollback_ms: 5_000,
        }
    }
}
