//! What a process tells the leader of crashes, heartbeat after heartbeat for a while: any message
//! may be lost, and a new leader knows nothing of it.

use silversail_consensus::Millis;
use silversail_model::RequestFingerprint;
use silversail_quarantine::{CrashReport, QuarantineList};
use std::collections::{BTreeSet, VecDeque};

/// How long a crash is told, in milliseconds: an election takes two seconds at most, and three
/// heartbeats in a row may be lost after it.
const TOLD_FOR: Millis = 6_000;
/// Requests in the crashes that are told at most: 1 KB a heartbeat. The oldest crashes go first.
const MOST_TOLD: usize = 64;
/// Whole answers to listed requests that are told at most.
const MOST_ENDED_WELL: usize = 64;

struct Seen {
    backend: String,
    at: Millis,
    fingerprints: BTreeSet<RequestFingerprint>,
}

/// What is to be told.
#[derive(Default)]
pub struct PendingCrashReports {
    seen: VecDeque<Seen>,
    ended_well: BTreeSet<RequestFingerprint>,
}

impl PendingCrashReports {
    /// This process saw a back end end, at `at`, with these requests.
    pub fn record_crash(
        &mut self,
        backend: &str,
        at: Millis,
        fingerprints: BTreeSet<RequestFingerprint>,
        now: Millis,
    ) {
        self.seen
            .retain(|one| now.saturating_sub(one.at) < TOLD_FOR);
        let same = |one: &&mut Seen| one.backend == backend && one.at == at;
        match self.seen.iter_mut().find(same) {
            Some(known) => known.fingerprints.extend(fingerprints),
            None => self.seen.push_back(Seen {
                backend: backend.to_owned(),
                at,
                fingerprints,
            }),
        }
        while self.told() > MOST_TOLD && self.seen.len() > 1 {
            self.seen.pop_front();
        }
    }

    fn told(&self) -> usize {
        self.seen.iter().map(|one| one.fingerprints.len()).sum()
    }

    /// A request on the list got a whole answer.
    pub fn record_completed_request(&mut self, fingerprint: RequestFingerprint) {
        if self.ended_well.len() < MOST_ENDED_WELL {
            self.ended_well.insert(fingerprint);
        }
    }

    /// Another list is in force: what it names no more need not be told.
    pub fn retain_quarantined(&mut self, list: &QuarantineList) {
        self.ended_well.retain(|one| list.contains(one));
    }

    /// The crashes to be told at `now`.
    pub fn crash_reports(&self, now: Millis) -> Vec<CrashReport> {
        let told = self.seen.iter();
        told.map(|one| CrashReport {
            backend: one.backend.clone(),
            age_ms: now.saturating_sub(one.at),
            fingerprints: one.fingerprints.iter().copied().collect(),
        })
        .filter(|one| one.age_ms < TOLD_FOR)
        .collect()
    }

    /// The whole answers to be told.
    pub fn completed_requests(&self) -> Vec<RequestFingerprint> {
        self.ended_well.iter().copied().collect()
    }
}
