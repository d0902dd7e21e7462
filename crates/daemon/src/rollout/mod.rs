//! Rollouts of versions: each node takes operators' orders; the leader of the control group
//! drives what is in progress.

mod clocks;
mod leader;
mod orders;
mod progress;
mod recording;

pub use clocks::ElapsedClocks;
pub use leader::{RolloutLeaderActor, RolloutLeaderSetup};
pub use orders::{RolloutActor, RolloutCaller, RolloutOutcome, RolloutRejection, RolloutSetup};
pub use recording::state_name;
