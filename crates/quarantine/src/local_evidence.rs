//! What one node saw itself: it counts there at once, whatever the others know.

use crate::limits::QuarantineLimits;
use silversail_model::RequestFingerprint;
use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};

/// Milliseconds of the node's own monotonic clock.
type Millis = u64;

/// Requests that are remembered as having got a whole answer: about a quarter of an hour at the
/// five requests a second of a node at the size to design for.
const REMEMBERED_GOOD: usize = 4_096;
/// Requests whose crashes are counted; the oldest are forgotten first.
const MOST_COUNTED: usize = 1_024;

/// Crashes that this node saw under one request.
#[derive(Debug, Default)]
struct SeenCrashes {
    backends: BTreeSet<String>,
    last_at: Millis,
}

/// What one node saw of requests that break off and of those that end well.
#[derive(Debug, Default)]
pub struct LocalCrashEvidence {
    limits: QuarantineLimits,
    crashes: BTreeMap<RequestFingerprint, SeenCrashes>,
    good: HashSet<RequestFingerprint>,
    good_in_order: VecDeque<RequestFingerprint>,
}

impl LocalCrashEvidence {
    /// No evidence yet.
    pub fn new(limits: QuarantineLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// A back end ended with these requests. Returns those that are suspects: one that got a
    /// whole answer lately crashes nothing.
    pub fn record_crash(
        &mut self,
        backend: &str,
        fingerprints: impl IntoIterator<Item = RequestFingerprint>,
        now: Millis,
    ) -> BTreeSet<RequestFingerprint> {
        self.forget(now);
        let fingerprints = fingerprints.into_iter();
        let suspects: BTreeSet<RequestFingerprint> = fingerprints
            .filter(|one| !self.good.contains(one))
            .collect();
        for fingerprint in &suspects {
            let seen = self.crashes.entry(*fingerprint).or_default();
            seen.backends.insert(backend.to_owned());
            seen.last_at = now;
        }
        suspects
    }

    /// A request got a whole answer.
    pub fn record_success(&mut self, fingerprint: RequestFingerprint) {
        self.crashes.remove(&fingerprint);
        if !self.good.insert(fingerprint) {
            return;
        }
        self.good_in_order.push_back(fingerprint);
        if self.good_in_order.len() > REMEMBERED_GOOD {
            if let Some(oldest) = self.good_in_order.pop_front() {
                self.good.remove(&oldest);
            }
        }
    }

    /// An operator lifted the verdict on a request: what this node saw counts no more.
    pub fn clear(&mut self, fingerprint: &RequestFingerprint) {
        self.crashes.remove(fingerprint);
    }

    /// Whether this node alone saw enough crashes under a request.
    pub fn is_refused(&self, fingerprint: &RequestFingerprint) -> bool {
        let seen = self.crashes.get(fingerprint);
        seen.is_some_and(|seen| seen.backends.len() >= self.limits.crashes.max(1) as usize)
    }

    fn forget(&mut self, now: Millis) {
        let kept_for = self.limits.suspect_for_ms;
        self.crashes
            .retain(|_, seen| now.saturating_sub(seen.last_at) < kept_for);
        while self.crashes.len() > MOST_COUNTED {
            let all = self.crashes.iter();
            let oldest = all.min_by_key(|(_, seen)| seen.last_at);
            let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) else {
                return;
            };
            self.crashes.remove(&oldest);
        }
    }
}
