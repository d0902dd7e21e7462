//! How long ago rollouts were ordered, by this process's steady clock.

use silversail_consensus::Millis;
use silversail_control::rollouts::needs_elapsed_time;
use silversail_control::Rollouts;
use silversail_rollout::RolloutNumber;
use std::collections::BTreeMap;

/// A time since the order, and when it was that.
#[derive(Clone, Copy, Debug)]
struct Reading {
    elapsed_ms: u64,
    at: Millis,
}

/// The time since the order of each rollout. Every voter counts, whether it leads or not, so that
/// the time of an election is not lost: a new leader goes on from its own count. Only where no
/// voter ran is the time lost that was not committed.
#[derive(Debug, Default)]
pub struct ElapsedClocks {
    readings: BTreeMap<RolloutNumber, Reading>,
}

impl ElapsedClocks {
    /// Takes in what is committed; a count that is behind it goes on from there.
    pub fn follow(&mut self, rollouts: &Rollouts, now: Millis) {
        self.readings.retain(|number, _| {
            let rollout = rollouts.by_number(*number);
            rollout.is_some_and(needs_elapsed_time)
        });
        for rollout in rollouts.all().filter(|rollout| needs_elapsed_time(rollout)) {
            let committed = rollout.elapsed_ms;
            if self.elapsed(rollout.number, now) < Some(committed) {
                let reading = Reading {
                    elapsed_ms: committed,
                    at: now,
                };
                self.readings.insert(rollout.number, reading);
            }
        }
    }

    /// Milliseconds since the order; none where they are not counted.
    pub fn elapsed(&self, number: RolloutNumber, now: Millis) -> Option<u64> {
        let reading = self.readings.get(&number)?;
        Some(reading.elapsed_ms + now.saturating_sub(reading.at))
    }
}
