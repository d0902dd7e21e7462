//! Canary rollouts, which move the traffic of a service from the back ends of one version (the
//! baseline) to those of another (the candidate), and back if the candidate is worse.
//!
//! The crate has no clock and does no I/O. The control leader runs one [`controller`] per rollout.
//! Nodes apply its [`order::Directive`], limit the requests that they send to the candidate
//! ([`exposure`]) and count the results ([`evidence`]).

pub mod controller;
pub mod evidence;
pub mod exposure;
pub mod history;
pub mod latency;
mod monitor;
pub mod order;
pub mod plan;
pub mod statistics;
pub mod verdict;

pub use controller::{RolloutController, RolloutDecision, RolloutProgress};
pub use evidence::{Evidence, ResponseCounts, RouteEvidence};
pub use exposure::ExposureBudget;
pub use latency::LatencyHistogram;
pub use order::{
    Directive, Rollout, RolloutLimits, RolloutNumber, RolloutOrder, RolloutOrderError,
    RolloutState, Verdict, BATCH_ROUTE,
};
