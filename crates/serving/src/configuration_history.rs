//! When this node applied its latest configurations.

use crate::Millis;
use std::collections::VecDeque;

/// Time after which peers are expected to have applied a configuration that this node has applied,
/// in milliseconds. Shorter than the time for which callers may meet the configuration before it.
const PROPAGATION_TIME: Millis = 100;

/// Versions of the latest configurations, by the time at which this node applied them.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConfigurationHistory {
    applied: VecDeque<(Millis, u64)>,
}

impl ConfigurationHistory {
    /// Records that a version was applied.
    pub(crate) fn record(&mut self, version: u64, now: Millis) {
        self.applied.push_back((now, version));
        while self.applied.len() > 1 && has_propagated(self.applied[1].0, now) {
            self.applied.pop_front();
        }
    }

    /// The latest version that peers are expected to have applied too; 0 for none.
    pub(crate) fn propagated_version(&self, now: Millis) -> u64 {
        let mut latest_first = self.applied.iter().rev();
        let propagated = latest_first.find(|(applied_at, _)| has_propagated(*applied_at, now));
        propagated.map_or(0, |(_, version)| *version)
    }
}

fn has_propagated(applied_at: Millis, now: Millis) -> bool {
    now.saturating_sub(applied_at) >= PROPAGATION_TIME
}
