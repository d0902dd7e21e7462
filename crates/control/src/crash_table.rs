//! What the nodes told of crashes, as the leader puts it together.

use crate::view::NodeReport;
use silversail_consensus::Millis;
use silversail_model::{NodeName, RequestFingerprint};
use std::collections::BTreeSet;

/// How long after the first node told of a crash the others are waited for, in milliseconds, so
/// that its requests are judged together: nodes tell at once, and relays pass it on within 100.
const SETTLES_AFTER: Millis = 200;
/// Tellings of one back end's end are of the same crash within this time, in milliseconds.
const SAME_CRASH_WITHIN: Millis = 3_000;
/// How long a crash is held, in milliseconds: longer than nodes tell of it.
const HELD_FOR: Millis = 20_000;
/// Crashes held at most; the oldest are dropped first.
const MOST_HELD: usize = 1_024;

/// A crash that nodes told of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedCrash {
    /// The back end that ended.
    pub backend: String,
    /// When, by the leader's monotonic clock.
    pub at: Millis,
    /// When it was first told of.
    told_at: Millis,
    /// The requests that broke off there.
    pub fingerprints: BTreeSet<RequestFingerprint>,
    /// The nodes that told of it.
    pub reported_by: BTreeSet<NodeName>,
    /// Those of the requests that are committed.
    committed: BTreeSet<RequestFingerprint>,
}

impl ReportedCrash {
    fn is_due(&self, now: Millis) -> bool {
        let has_settled = now.saturating_sub(self.told_at) >= SETTLES_AFTER;
        has_settled && self.fingerprints != self.committed
    }
}

/// Crashes that nodes told of lately. Held by the leader; a new leader has it within a heartbeat
/// of all nodes, as these tell each crash for seconds.
#[derive(Debug, Default)]
pub struct CrashTable {
    crashes: Vec<ReportedCrash>,
    completed_requests: BTreeSet<RequestFingerprint>,
}

impl CrashTable {
    /// Takes in a heartbeat.
    pub fn record_report(&mut self, report: &NodeReport, now: Millis) {
        self.completed_requests.extend(&report.completed_requests);
        for sighting in &report.crashes {
            let at = now.saturating_sub(sighting.age_ms);
            let crash = self.crash_of(&sighting.backend, at, now);
            crash.fingerprints.extend(&sighting.fingerprints);
            crash.reported_by.insert(report.node.clone());
        }
    }

    fn crash_of(&mut self, backend: &str, at: Millis, now: Millis) -> &mut ReportedCrash {
        let is_same =
            |one: &ReportedCrash| one.backend == backend && one.at.abs_diff(at) < SAME_CRASH_WITHIN;
        let position = self.crashes.iter().position(is_same);
        let position = position.unwrap_or_else(|| {
            if self.crashes.len() == MOST_HELD {
                self.crashes.remove(0);
            }
            self.crashes.push(ReportedCrash {
                backend: backend.to_owned(),
                at,
                told_at: now,
                fingerprints: BTreeSet::new(),
                reported_by: BTreeSet::new(),
                committed: BTreeSet::new(),
            });
            self.crashes.len() - 1
        });
        &mut self.crashes[position]
    }

    /// Crashes of which something is to be committed.
    pub fn uncommitted(&mut self, now: Millis) -> Vec<ReportedCrash> {
        self.crashes
            .retain(|one| now.saturating_sub(one.told_at) < HELD_FOR);
        let due = self.crashes.iter().filter(|one| one.is_due(now));
        due.cloned().collect()
    }

    /// A crash is committed with the requests that were known of it.
    pub fn mark_committed(&mut self, crash: &ReportedCrash) {
        let is_same = |one: &&mut ReportedCrash| one.backend == crash.backend && one.at == crash.at;
        if let Some(known) = self.crashes.iter_mut().find(is_same) {
            known.committed.extend(&crash.fingerprints);
        }
    }

    /// Takes the requests that got whole answers.
    pub fn take_completed_requests(&mut self) -> BTreeSet<RequestFingerprint> {
        std::mem::take(&mut self.completed_requests)
    }
}
