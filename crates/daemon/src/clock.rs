//! The time of the process: steady, and counting the time for which its machine was suspended.
//!
//! The steady clock of the system stands still while a machine is suspended, so that a lease, a
//! permit or a confirmation would seem as fresh after it as before, on that machine only. What
//! bounds trust is measured by [`now`]; waits for sockets may use the steady clock, where waking
//! up late does no harm.

use nix::time::{clock_gettime, ClockId};
use silversail_consensus::Millis;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time for which the machine was suspended while this process lived, in milliseconds.
static SUSPENDED_MS: AtomicU64 = AtomicU64::new(0);

/// The steady time, and the time for which the machine was suspended as far as
/// [`SuspensionMonitor::poll`] has seen it.
pub fn now() -> Instant {
    Instant::now() + Duration::from_millis(SUSPENDED_MS.load(Ordering::Relaxed))
}

/// A time of [`now`] by the steady clock, for waits for sockets.
pub fn to_monotonic(instant: Instant) -> Instant {
    let suspended = Duration::from_millis(SUSPENDED_MS.load(Ordering::Relaxed));
    instant.checked_sub(suspended).unwrap_or(instant)
}

/// Shortest suspension that is counted, in milliseconds: the two clocks are read one after the
/// other, and a thread may lose the processor in between.
const SHORTEST_SUSPENSION_MS: u64 = 100;

/// How far the clock that counts suspended time is ahead of the steady one.
#[derive(Debug)]
pub struct SuspensionDetector {
    counted_lead: Duration,
}

impl SuspensionDetector {
    /// A detector that starts now; `lead` is how far the clock that counts suspended time is ahead.
    pub fn new(lead: Duration) -> Self {
        Self { counted_lead: lead }
    }

    /// The time for which the machine was suspended since the last one that was counted; none
    /// where the clocks went on alike.
    pub fn detect(&mut self, lead: Duration) -> Option<Duration> {
        let grown = lead.saturating_sub(self.counted_lead);
        if grown < Duration::from_millis(SHORTEST_SUSPENSION_MS) {
            return None;
        }
        self.counted_lead = lead;
        Some(grown)
    }
}

/// Looks for suspensions, once a turn of the process's loop and before it handles anything.
pub struct SuspensionMonitor {
    /// None where the system has no clock that counts suspended time.
    detector: Option<SuspensionDetector>,
}

impl SuspensionMonitor {
    /// Starts looking.
    pub fn start() -> Self {
        Self {
            detector: lead_of_boot_clock().map(SuspensionDetector::new),
        }
    }

    /// Counts a suspension since the last look, so that [`now`] is past it; returns how long it
    /// was.
    pub fn poll(&mut self) -> Option<Duration> {
        let suspended = self.detector.as_mut()?.detect(lead_of_boot_clock()?)?;
        SUSPENDED_MS.fetch_add(suspended.as_millis() as u64, Ordering::Relaxed);
        Some(suspended)
    }
}

/// How far the clock that counts suspended time is ahead of the steady one.
fn lead_of_boot_clock() -> Option<Duration> {
    let steady = clock_gettime(ClockId::CLOCK_MONOTONIC).ok()?;
    let boot = clock_gettime(ClockId::CLOCK_BOOTTIME).ok()?;
    Some(Duration::from(boot).saturating_sub(Duration::from(steady)))
}

/// Counts milliseconds from the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    /// The time of day at `start`, in milliseconds since the Unix epoch.
    started_at_unix: u64,
}

/// Where the count starts: above zero, so that differences from before the
/// start stay representable.
const START_MILLIS: Millis = 1_000_000;

impl Clock {
    /// A clock that starts at `start`, which is now.
    pub fn new(start: Instant) -> Self {
        Self::at(start, wall_clock_ms())
    }

    /// A clock that starts at `start`, so many milliseconds after the Unix epoch.
    pub fn at(start: Instant, started_at_unix: u64) -> Self {
        Self {
            start,
            started_at_unix,
        }
    }

    /// A count as milliseconds since the Unix epoch, by the time of day at the start: later steps
    /// of that clock do not show.
    pub fn unix_millis(&self, millis: Millis) -> u64 {
        (self.started_at_unix + millis).saturating_sub(START_MILLIS)
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
