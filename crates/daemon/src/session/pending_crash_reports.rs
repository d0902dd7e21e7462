//! Crashes that a process reports to the leader. Each is repeated in several heartbeats, because
//! messages may be lost and a new leader has no earlier reports.

use silversail_consensus::Millis;
use silversail_model::RequestFingerprint;
use silversail_quarantine::{CrashReport, QuarantineList};
use std::collections::{BTreeSet, VecDeque};

/// How long a crash is reported, in milliseconds: the longest election and three lost heartbeats.
const REPORT_DURATION: Millis = 6_000;
/// Maximum request fingerprints in the reported crashes, which bounds the size of a heartbeat. The
/// oldest crashes are dropped first.
const MAX_REPORTED_FINGERPRINTS: usize = 64;
/// Maximum completed requests that are reported.
const MAX_COMPLETED_REQUESTS: usize = 64;

struct PendingCrash {
    backend: String,
    crashed_at: Millis,
    fingerprints: BTreeSet<RequestFingerprint>,
}

/// Crashes and completed requests that the next heartbeats report.
#[derive(Default)]
pub struct PendingCrashReports {
    crashes: VecDeque<PendingCrash>,
    completed: BTreeSet<RequestFingerprint>,
}

impl PendingCrashReports {
    /// Records that `backend` crashed at `crashed_at` while it ran these requests.
    pub fn record_crash(
        &mut self,
        backend: &str,
        crashed_at: Millis,
        fingerprints: BTreeSet<RequestFingerprint>,
        now: Millis,
    ) {
        self.crashes
            .retain(|crash| now.saturating_sub(crash.crashed_at) < REPORT_DURATION);
        let is_same_crash =
            |crash: &&mut PendingCrash| crash.backend == backend && crash.crashed_at == crashed_at;
        match self.crashes.iter_mut().find(is_same_crash) {
            Some(known) => known.fingerprints.extend(fingerprints),
            None => self.crashes.push_back(PendingCrash {
                backend: backend.to_owned(),
                crashed_at,
                fingerprints,
            }),
        }
        while self.fingerprint_count() > MAX_REPORTED_FINGERPRINTS && self.crashes.len() > 1 {
            self.crashes.pop_front();
        }
    }

    fn fingerprint_count(&self) -> usize {
        self.crashes
            .iter()
            .map(|crash| crash.fingerprints.len())
            .sum()
    }

    /// Records that a quarantined request was completed.
    pub fn record_completed_request(&mut self, fingerprint: RequestFingerprint) {
        if self.completed.len() < MAX_COMPLETED_REQUESTS {
            self.completed.insert(fingerprint);
        }
    }

    /// Drops completed requests that are no longer quarantined.
    pub fn retain_quarantined(&mut self, list: &QuarantineList) {
        self.completed
            .retain(|fingerprint| list.contains(fingerprint));
    }

    /// Crashes to report at `now`.
    pub fn crash_reports(&self, now: Millis) -> Vec<CrashReport> {
        let crashes = self.crashes.iter();
        crashes
            .map(|crash| CrashReport {
                backend: crash.backend.clone(),
                age_ms: now.saturating_sub(crash.crashed_at),
                fingerprints: crash.fingerprints.iter().copied().collect(),
            })
            .filter(|report| report.age_ms < REPORT_DURATION)
            .collect()
    }

    /// Fingerprints of quarantined requests that were completed.
    pub fn completed_requests(&self) -> Vec<RequestFingerprint> {
        self.completed.iter().copied().collect()
    }
}
