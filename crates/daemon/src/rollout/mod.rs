//! Rollouts of service versions: each node handles operators' orders; the leader of the control
//! group controls the rollouts in progress.

mod clocks;
mod leader;
mod orders;
mod progress;
mod recording;

pub use clocks::ElapsedClocks;
pub use leader::{RolloutLeaderActor, RolloutLeaderSetup};
pub use orders::{RolloutActor, RolloutCaller, RolloutOutcome, RolloutRejection, RolloutSetup};
pub use recording::state_name;
