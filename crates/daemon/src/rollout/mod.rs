//! Rollouts of service versions: each node handles operators' orders; the leader of the control
//! group controls the rollouts in progress.

mod elapsed_times;
mod leader;
mod orders;
mod progress;
mod recording;

pub use elapsed_times::ElapsedTimes;
pub use leader::{RolloutLeaderActor, RolloutLeaderSetup};
pub use orders::{RolloutActor, RolloutCaller, RolloutOutcome, RolloutRejection, RolloutSetup};
pub use recording::state_name;
