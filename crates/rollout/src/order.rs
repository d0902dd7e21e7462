//! What operators order, what nodes obey, and how a rollout ends.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Numbers the rollouts of a cluster; a later one has a higher number.
pub type RolloutNumber = u64;

/// Stands for a route where the work is calls of a batched service, which hold pieces of
/// requests of many routes.
pub const BATCH_ROUTE: &str = "(batch)";

/// An operator's order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// The service.
    pub service: String,
    /// Version that its traffic is to move to.
    pub target_version: String,
    /// Time from the order within which the rollout is to end, in milliseconds.
    pub duration_ms: u64,
}

/// Why an order is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum RolloutOrderError {
    /// Another rollout of the service is under way, to another version.
    #[error("a rollout of service '{service}' to version '{target_version}' is under way")]
    Underway {
        /// The service.
        service: String,
        /// Version that it moves to.
        target_version: String,
    },
    /// The configuration in force has no such service.
    #[error("no service '{0}'")]
    UnknownService(String),
    /// The duration is 0 or longer than a day.
    #[error("a rollout takes 1 ms to a day")]
    Duration,
    /// A name is empty or too long.
    #[error("service and version take 1 to 128 characters")]
    Name,
}

/// What nodes obey while a rollout is in progress. A node that can't confirm lately that it
/// is the newest one sends nothing to the candidate.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Directive {
    /// Counts the directives of a rollout up.
    pub step: u32,
    /// Share of the requests of each route that may go to the candidate, in thousandths. Each
    /// node bounds it over all that it has taken since the rollout began.
    pub canary_permille: u16,
    /// Routes whose requests all go to the candidate, by name; [`BATCH_ROUTE`] for calls of a
    /// batched service.
    pub moved_routes: BTreeSet<String>,
}

/// What a rollout was judged by.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// Why, in a few words: `failures`, `slow`, `no_difference`, `no_evidence`, `aborted`, …
    pub reason: String,
    /// The route that decided; empty for all together.
    pub route: String,
    /// Answers of the candidate that were counted, and how many of them were bad.
    pub candidate: (u64, u64),
    /// Answers of the baseline that were counted, and how many of them were bad.
    pub baseline: (u64, u64),
    /// Milliseconds since the order.
    pub elapsed_ms: u64,
}

/// How far a rollout is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutState {
    /// The candidate gets what the directive says.
    InProgress(Directive),
    /// All traffic went to the candidate; versions named here get none any more.
    Completed {
        /// Versions that had the traffic before.
        former_versions: BTreeSet<String>,
        /// Why.
        verdict: Verdict,
    },
    /// The candidate gets nothing.
    RolledBack {
        /// Why.
        verdict: Verdict,
    },
}

/// A rollout, as it is replicated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// Its number.
    pub number: RolloutNumber,
    /// What was ordered.
    pub order: RolloutOrder,
    /// How far it is.
    pub state: RolloutState,
    /// Milliseconds since the order, as a leader last committed. Later leaders count on from
    /// there by their own steady clock.
    pub elapsed_ms: u64,
}

impl Rollout {
    /// Whether it has not ended.
    pub fn is_in_progress(&self) -> bool {
        matches!(self.state, RolloutState::InProgress(_))
    }
}

/// What a bad version may do at most; settings of the deployment.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RolloutLimits {
    /// Share of all requests that reach the service between the order and its deadline which
    /// may reach a bad version.
    pub exposure_share: f64,
    /// Requests that may reach it beyond that share.
    pub exposure_slack: f64,
    /// Longest time after its 50th bad answer in which it gets requests, in milliseconds.
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
