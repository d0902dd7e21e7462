//! Monotonic time of the process that includes the time for which the machine was suspended.
//!
//! The system's monotonic clock stops while a machine is suspended, so that leases and permits
//! would not expire on that machine. Leases, permits and freshness are measured with [`now`];
//! socket timeouts may use the monotonic clock, as waking up late does no harm there.

use nix::time::{clock_gettime, ClockId};
use silversail_consensus::Millis;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time for which the machine was suspended since this process started, in milliseconds.
static SUSPENDED_MS: AtomicU64 = AtomicU64::new(0);

/// The monotonic time plus the suspended time that [`SuspensionMonitor::poll`] has detected.
pub fn now() -> Instant {
    Instant::now() + Duration::from_millis(SUSPENDED_MS.load(Ordering::Relaxed))
}

/// Converts a time of [`now`] to the monotonic clock, for socket timeouts.
pub fn to_monotonic(instant: Instant) -> Instant {
    let suspended = Duration::from_millis(SUSPENDED_MS.load(Ordering::Relaxed));
    instant.checked_sub(suspended).unwrap_or(instant)
}

/// Shortest suspension that is detected, in milliseconds. The two clocks are not read at the
/// same instant, as a thread may be preempted in between.
const MIN_SUSPENSION_MS: u64 = 100;

/// Detects suspensions from the lead of the boot-time clock, which includes suspended time,
/// over the monotonic clock.
#[derive(Debug)]
pub struct SuspensionDetector {
    accounted_lead: Duration,
}

impl SuspensionDetector {
    /// A detector that starts at the present `lead` of the boot-time clock.
    pub fn new(lead: Duration) -> Self {
        Self {
            accounted_lead: lead,
        }
    }

    /// Time for which the machine was suspended since the last detected suspension; none if the
    /// lead has grown by less than the minimum.
    pub fn detect(&mut self, lead: Duration) -> Option<Duration> {
        let growth = lead.saturating_sub(self.accounted_lead);
        if growth < Duration::from_millis(MIN_SUSPENSION_MS) {
            return None;
        }
        self.accounted_lead = lead;
        Some(growth)
    }
}

/// Monitors the machine for suspensions; polled in each iteration of the main loop before events
/// are handled.
pub struct SuspensionMonitor {
    /// None if the system has no boot-time clock.
    detector: Option<SuspensionDetector>,
}

impl SuspensionMonitor {
    /// Starts monitoring; earlier suspensions are not counted.
    pub fn start() -> Self {
        Self {
            detector: boot_clock_lead().map(SuspensionDetector::new),
        }
    }

    /// Adds a suspension since the last call to the time of [`now`], and returns its duration.
    pub fn poll(&mut self) -> Option<Duration> {
        let suspended = self.detector.as_mut()?.detect(boot_clock_lead()?)?;
        SUSPENDED_MS.fetch_add(suspended.as_millis() as u64, Ordering::Relaxed);
        Some(suspended)
    }
}

/// Lead of the boot-time clock, which includes suspended time, over the monotonic clock.
fn boot_clock_lead() -> Option<Duration> {
    let monotonic = clock_gettime(ClockId::CLOCK_MONOTONIC).ok()?;
    let boot = clock_gettime(ClockId::CLOCK_BOOTTIME).ok()?;
    Some(Duration::from(boot).saturating_sub(Duration::from(monotonic)))
}

/// Converts instants to milliseconds since the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    /// Wall-clock time at `start`, in milliseconds since the Unix epoch.
    started_at_unix: u64,
}

/// Milliseconds at the start of the process. Above zero, so that times before the start can be
/// represented.
const INITIAL_MILLIS: Millis = 1_000_000;

impl Clock {
    /// A clock that starts at `start`, which has to be the present time.
    pub fn new(start: Instant) -> Self {
        Self::at(start, wall_clock_ms())
    }

    /// A clock that starts at `start`, which is `started_at_unix` milliseconds after the Unix
    /// epoch.
    pub fn at(start: Instant, started_at_unix: u64) -> Self {
        Self {
            start,
            started_at_unix,
        }
    }

    /// Converts process milliseconds to milliseconds since the Unix epoch, based on the
    /// wall-clock time at the start; later steps of the wall clock have no effect.
    pub fn unix_millis(&self, millis: Millis) -> u64 {
        (self.started_at_unix + millis).saturating_sub(INITIAL_MILLIS)
    }

    /// Process milliseconds at `instant`.
    pub fn millis(&self, instant: Instant) -> Millis {
        INITIAL_MILLIS + instant.saturating_duration_since(self.start).as_millis() as Millis
    }

    /// Instant at the given process milliseconds.
    pub fn instant(&self, millis: Millis) -> Instant {
        self.start + Duration::from_millis(millis.saturating_sub(INITIAL_MILLIS))
    }
}

/// Wall-clock time in milliseconds since the Unix epoch; for retention and incarnations only.
pub fn wall_clock_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |passed| passed.as_millis() as u64)
}
