//! Suspects: requests that broke off at back ends which ended.

use crate::limits::QuarantineLimits;
use crate::UnixMillis;
use serde::{Deserialize, Serialize};
use silversail_model::RequestFingerprint;
use std::collections::{BTreeMap, BTreeSet};

/// Numbers a crash.
pub(crate) type CrashNumber = u64;

/// A crash that counts against a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashEvidence {
    pub(crate) number: CrashNumber,
    /// The back end that ended.
    pub backend: String,
    /// When.
    pub at_ms: UnixMillis,
}

/// What counts against one request; never empty.
type Crashes = Vec<CrashEvidence>;

/// All suspects.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Suspects {
    by_fingerprint: BTreeMap<RequestFingerprint, Crashes>,
}

impl Suspects {
    /// How many crashes count against a request.
    pub(crate) fn count(&self, fingerprint: &RequestFingerprint) -> usize {
        self.by_fingerprint.get(fingerprint).map_or(0, Vec::len)
    }

    /// Counts a crash against a request, once.
    pub(crate) fn add(&mut self, fingerprint: RequestFingerprint, crash: CrashEvidence) {
        let crashes = self.by_fingerprint.entry(fingerprint).or_default();
        if crashes.iter().all(|known| known.number != crash.number) {
            crashes.push(crash);
        }
    }

    pub(crate) fn remove(&mut self, fingerprint: &RequestFingerprint) -> Option<Crashes> {
        self.by_fingerprint.remove(fingerprint)
    }

    /// Those that one crash more would have refused.
    pub(crate) fn watched(&self, limits: &QuarantineLimits) -> BTreeSet<RequestFingerprint> {
        let is_near = |crashes: &Crashes| crashes.len() + 1 >= limits.crashes as usize;
        let all = self.by_fingerprint.iter();
        all.filter(|(_, crashes)| is_near(crashes))
            .map(|(fingerprint, _)| *fingerprint)
            .collect()
    }

    /// Forgets those whose last crash is long ago, and the weakest of too many.
    pub(crate) fn forget(&mut self, now_ms: UnixMillis, limits: &QuarantineLimits) {
        let is_kept = |crashes: &Crashes| last_at(crashes) + limits.suspect_for_ms > now_ms;
        self.by_fingerprint.retain(|_, crashes| is_kept(crashes));
        let excess = self
            .by_fingerprint
            .len()
            .saturating_sub(limits.most_suspects);
        if excess == 0 {
            return;
        }
        let all = self.by_fingerprint.iter();
        let mut by_weight: Vec<(usize, UnixMillis, RequestFingerprint)> = all
            .map(|(fingerprint, crashes)| (crashes.len(), last_at(crashes), *fingerprint))
            .collect();
        by_weight.sort_unstable();
        for (_, _, fingerprint) in &by_weight[..excess] {
            self.by_fingerprint.remove(fingerprint);
        }
    }

    /// When the next one is to be forgotten.
    pub(crate) fn next_end(&self, limits: &QuarantineLimits) -> Option<UnixMillis> {
        let ends = self.by_fingerprint.values();
        ends.map(|crashes| last_at(crashes) + limits.suspect_for_ms)
            .min()
    }

    pub(crate) fn len(&self) -> usize {
        self.by_fingerprint.len()
    }
}

fn last_at(crashes: &Crashes) -> UnixMillis {
    let times = crashes.iter().map(|crash| crash.at_ms);
    times.max().unwrap_or_default()
}
