//! Quarantine of requests that crash back ends: the leader of the control group commits the
//! reported crashes, which determine the requests that all nodes refuse.

mod attributes;
mod leader;

pub use leader::{QuarantineLeaderActor, QuarantineLeaderSetup};
