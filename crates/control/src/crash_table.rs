//! Aggregation of the nodes' crash reports on the leader.

use crate::view::NodeReport;
use silversail_consensus::Millis;
use silversail_model::{NodeName, RequestFingerprint};
use std::collections::BTreeSet;

/// Time after the first report of a crash for which reports of other nodes are collected, in
/// milliseconds. Relays forward reports within 100 ms.
const CRASH_SETTLE_DURATION: Millis = 200;
/// Maximum distance of the crash times in reports about the same crash of a back end, in
/// milliseconds.
const SAME_CRASH_WINDOW: Millis = 3_000;
/// Time for which a crash is retained, in milliseconds; longer than nodes report it.
const CRASH_RETENTION: Millis = 20_000;
/// Maximum number of retained crashes; the oldest are removed first.
const MAX_CRASHES: usize = 1_024;

/// A back-end crash that nodes reported.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedCrash {
    /// Back end that crashed.
    pub backend: String,
    /// Time of the crash on the leader's monotonic clock, in milliseconds.
    pub at: Millis,
    /// Time of the first report on the leader's monotonic clock, in milliseconds.
    first_reported_at: Millis,
    /// Requests that were interrupted by the crash.
    pub fingerprints: BTreeSet<RequestFingerprint>,
    /// Nodes that reported the crash.
    pub reported_by: BTreeSet<NodeName>,
    /// Requests of this crash that are already committed.
    committed_requests: BTreeSet<RequestFingerprint>,
}

impl ReportedCrash {
    fn has_uncommitted_requests(&self, now: Millis) -> bool {
        let has_settled = now.saturating_sub(self.first_reported_at) >= CRASH_SETTLE_DURATION;
        has_settled && self.fingerprints != self.committed_requests
    }
}

/// Recently reported crashes. Only the leader has this table; a new leader rebuilds it from the
/// next heartbeats, as nodes repeat their reports for several seconds.
#[derive(Debug, Default)]
pub struct CrashTable {
    crashes: Vec<ReportedCrash>,
    completed_requests: BTreeSet<RequestFingerprint>,
}

impl CrashTable {
    /// Records the crashes and completed requests of a heartbeat.
    pub fn record_report(&mut self, report: &NodeReport, now: Millis) {
        self.completed_requests.extend(&report.completed_requests);
        for reported in &report.crashes {
            let crashed_at = now.saturating_sub(reported.age_ms);
            let crash = self.find_or_insert_crash(&reported.backend, crashed_at, now);
            crash.fingerprints.extend(&reported.fingerprints);
            crash.reported_by.insert(report.node.clone());
        }
    }

    fn find_or_insert_crash(
        &mut self,
        backend: &str,
        crashed_at: Millis,
        now: Millis,
    ) -> &mut ReportedCrash {
        let is_same = |crash: &ReportedCrash| {
            crash.backend == backend && crash.at.abs_diff(crashed_at) < SAME_CRASH_WINDOW
        };
        let position = self.crashes.iter().position(is_same);
        let position = position.unwrap_or_else(|| {
            if self.crashes.len() == MAX_CRASHES {
                self.crashes.remove(0);
            }
            self.crashes.push(ReportedCrash {
                backend: backend.to_owned(),
                at: crashed_at,
                first_reported_at: now,
                fingerprints: BTreeSet::new(),
                reported_by: BTreeSet::new(),
                committed_requests: BTreeSet::new(),
            });
            self.crashes.len() - 1
        });
        &mut self.crashes[position]
    }

    /// Removes old crashes and returns those with requests that are not committed yet.
    pub fn uncommitted(&mut self, now: Millis) -> Vec<ReportedCrash> {
        self.crashes
            .retain(|crash| now.saturating_sub(crash.first_reported_at) < CRASH_RETENTION);
        let uncommitted = self
            .crashes
            .iter()
            .filter(|crash| crash.has_uncommitted_requests(now));
        uncommitted.cloned().collect()
    }

    /// Records that a crash was committed with the requests that `crash` contains.
    pub fn mark_committed(&mut self, crash: &ReportedCrash) {
        let is_same = |reported: &&mut ReportedCrash| {
            reported.backend == crash.backend && reported.at == crash.at
        };
        if let Some(reported) = self.crashes.iter_mut().find(is_same) {
            reported.committed_requests.extend(&crash.fingerprints);
        }
    }

    /// Returns and clears the quarantined requests that were nevertheless completed.
    pub fn take_completed_requests(&mut self) -> BTreeSet<RequestFingerprint> {
        std::mem::take(&mut self.completed_requests)
    }
}
