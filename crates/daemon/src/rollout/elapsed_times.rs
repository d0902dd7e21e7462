//! Elapsed time of rollouts, measured with this process's monotonic clock.

use silversail_consensus::Millis;
use silversail_control::rollouts::needs_elapsed_time;
use silversail_control::Rollouts;
use silversail_rollout::RolloutNumber;
use std::collections::BTreeMap;

/// An elapsed time and the process time at which it was taken.
#[derive(Clone, Copy, Debug)]
struct Measurement {
    elapsed_ms: u64,
    measured_at: Millis,
}

/// Time since the order of each rollout. Every voter measures it, so that a new leader continues
/// from its own measurement and the duration of an election is included. Uncommitted time is lost
/// only while no voter runs.
#[derive(Debug, Default)]
pub struct ElapsedTimes {
    measurements: BTreeMap<RolloutNumber, Measurement>,
}

impl ElapsedTimes {
    /// Follows the committed rollouts; a measurement behind the committed time is advanced to it.
    pub fn update(&mut self, rollouts: &Rollouts, now: Millis) {
        self.measurements.retain(|number, _| {
            let rollout = rollouts.by_number(*number);
            rollout.is_some_and(needs_elapsed_time)
        });
        for rollout in rollouts.all().filter(|rollout| needs_elapsed_time(rollout)) {
            let committed = rollout.elapsed_ms;
            if self.elapsed(rollout.number, now) < Some(committed) {
                let measurement = Measurement {
                    elapsed_ms: committed,
                    measured_at: now,
                };
                self.measurements.insert(rollout.number, measurement);
            }
        }
    }

    /// Milliseconds since the rollout was ordered; none if they are not measured.
    pub fn elapsed(&self, number: RolloutNumber, now: Millis) -> Option<u64> {
        let measurement = self.measurements.get(&number)?;
        Some(measurement.elapsed_ms + now.saturating_sub(measurement.measured_at))
    }
}
