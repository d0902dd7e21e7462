//! Suspects: requests that were interrupted by crashes of back ends.

use crate::limits::QuarantineLimits;
use crate::UnixMillis;
use serde::{Deserialize, Serialize};
use silversail_model::RequestFingerprint;
use std::collections::{BTreeMap, BTreeSet};

/// Identifies a crash within the replicated state.
pub(crate) type CrashNumber = u64;

/// A crash that is counted against a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashEvidence {
    pub(crate) number: CrashNumber,
    /// Name of the back end that crashed.
    pub backend: String,
    /// Time of the crash.
    pub at_ms: UnixMillis,
}

/// Crashes counted against one request; never empty.
type CrashesOfRequest = Vec<CrashEvidence>;

/// All suspects with the crashes counted against each.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Suspects {
    by_fingerprint: BTreeMap<RequestFingerprint, CrashesOfRequest>,
}

impl Suspects {
    /// Number of crashes counted against a request.
    pub(crate) fn crash_count(&self, fingerprint: &RequestFingerprint) -> usize {
        self.by_fingerprint.get(fingerprint).map_or(0, Vec::len)
    }

    /// Counts a crash against a request; a crash that is already counted is ignored.
    pub(crate) fn add(&mut self, fingerprint: RequestFingerprint, crash: CrashEvidence) {
        let crashes = self.by_fingerprint.entry(fingerprint).or_default();
        if crashes.iter().all(|known| known.number != crash.number) {
            crashes.push(crash);
        }
    }

    pub(crate) fn remove(&mut self, fingerprint: &RequestFingerprint) -> Option<CrashesOfRequest> {
        self.by_fingerprint.remove(fingerprint)
    }

    /// Suspects that would be refused after one more crash.
    pub(crate) fn one_crash_below_limit(
        &self,
        limits: &QuarantineLimits,
    ) -> BTreeSet<RequestFingerprint> {
        let is_one_crash_below_limit =
            |crashes: &CrashesOfRequest| crashes.len() + 1 >= limits.crashes as usize;
        let all = self.by_fingerprint.iter();
        all.filter(|(_, crashes)| is_one_crash_below_limit(crashes))
            .map(|(fingerprint, _)| *fingerprint)
            .collect()
    }

    /// Drops suspects whose last crash is too old, and the least suspicious beyond the limit.
    pub(crate) fn drop_expired(&mut self, now_ms: UnixMillis, limits: &QuarantineLimits) {
        let is_kept =
            |crashes: &CrashesOfRequest| last_crash_ms(crashes) + limits.suspect_for_ms > now_ms;
        self.by_fingerprint.retain(|_, crashes| is_kept(crashes));
        let excess = self
            .by_fingerprint
            .len()
            .saturating_sub(limits.most_suspects);
        if excess == 0 {
            return;
        }
        let all = self.by_fingerprint.iter();
        let mut by_crash_count: Vec<(usize, UnixMillis, RequestFingerprint)> = all
            .map(|(fingerprint, crashes)| (crashes.len(), last_crash_ms(crashes), *fingerprint))
            .collect();
        by_crash_count.sort_unstable();
        for (_, _, fingerprint) in &by_crash_count[..excess] {
            self.by_fingerprint.remove(fingerprint);
        }
    }

    /// Time at which the next suspect is to be dropped.
    pub(crate) fn next_expiry_ms(&self, limits: &QuarantineLimits) -> Option<UnixMillis> {
        let ends = self.by_fingerprint.values();
        ends.map(|crashes| last_crash_ms(crashes) + limits.suspect_for_ms)
            .min()
    }

    pub(crate) fn len(&self) -> usize {
        self.by_fingerprint.len()
    }
}

fn last_crash_ms(crashes: &CrashesOfRequest) -> UnixMillis {
    let times = crashes.iter().map(|crash| crash.at_ms);
    times.max().unwrap_or_default()
}
