//! Rollouts: a service's traffic moves from the back ends of one version (the baseline) to
//! those of another (the candidate), and back when the candidate is bad.
//!
//! Pure: no clock, no I/O. The control leader drives one [`controller`] for each rollout; nodes
//! obey its [`order::Directive`], bound what the candidate gets by themselves ([`exposure`])
//! and count what answers came to ([`evidence`]).

pub mod controller;
pub mod evidence;
pub mod exposure;
pub mod history;
pub mod latency;
pub mod order;
pub mod plan;
pub mod statistics;
pub mod verdict;
mod watch;

pub use controller::{RolloutController, RolloutDecision, RolloutProgress};
pub use evidence::{Evidence, ResponseCounts, RouteEvidence};
pub use exposure::ExposureBudget;
pub use latency::LatencyHistogram;
pub use order::{
    Directive, Rollout, RolloutLimits, RolloutNumber, RolloutOrder, RolloutOrderError,
    RolloutState, Verdict, BATCH_ROUTE,
};
