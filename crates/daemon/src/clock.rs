//! Milliseconds of the process's monotonic clock.

use silversail_consensus::Millis;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Counts milliseconds from the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

/// Where the count starts: above zero, so that differences from before the
/// start stay representable.
const START_MILLIS: Millis = 1_000_000;

impl Clock {
    /// A clock that starts at `start`.
    pub fn new(start: Instant) -> Self {
        Self { start }
    }

    /// The count at `instant`.
    pub fn millis(&self, instant: Instant) -> Millis {
        START_MILLIS + instant.saturating_duration_since(self.start).as_millis() as Millis
    }

    /// The instant of a count.
    pub fn instant(&self, millis: Millis) -> Instant {
        self.start + Duration::from_millis(millis.saturating_sub(START_MILLIS))
    }
}

/// Milliseconds since the Unix epoch; for retention and incarnations only.
pub fn wall_clock_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |passed| passed.as_millis() as u64)
}
