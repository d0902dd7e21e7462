//! Crashes that one node observed itself. They apply on that node without waiting for the leader.

use crate::limits::QuarantineLimits;
use silversail_model::RequestFingerprint;
use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};

/// Milliseconds of the node's own monotonic clock.
type Millis = u64;

/// Number of requests that are remembered as having received a complete response.
const MAX_REMEMBERED_SUCCESSES: usize = 4_096;
/// Number of requests whose crashes are counted; those with the oldest crashes are dropped first.
const MAX_COUNTED_REQUESTS: usize = 1_024;

/// Crashes that this node observed while it had one request in flight.
#[derive(Debug, Default)]
struct ObservedCrashes {
    backends: BTreeSet<String>,
    last_crash_at: Millis,
}

/// Crashes and successes of requests, as this node observed them.
#[derive(Debug, Default)]
pub struct LocalCrashEvidence {
    limits: QuarantineLimits,
    crashes: BTreeMap<RequestFingerprint, ObservedCrashes>,
    succeeded: HashSet<RequestFingerprint>,
    successes_by_age: VecDeque<RequestFingerprint>,
}

impl LocalCrashEvidence {
    /// Creates a state without evidence.
    pub fn new(limits: QuarantineLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Records a crash that interrupted these requests. Returns the suspects among them, which are
    /// those without a recent complete response.
    pub fn record_crash(
        &mut self,
        backend: &str,
        fingerprints: impl IntoIterator<Item = RequestFingerprint>,
        now: Millis,
    ) -> BTreeSet<RequestFingerprint> {
        self.drop_expired(now);
        let fingerprints = fingerprints.into_iter();
        let suspects: BTreeSet<RequestFingerprint> = fingerprints
            .filter(|fingerprint| !self.succeeded.contains(fingerprint))
            .collect();
        for fingerprint in &suspects {
            let observed = self.crashes.entry(*fingerprint).or_default();
            observed.backends.insert(backend.to_owned());
            observed.last_crash_at = now;
        }
        suspects
    }

    /// Records that a request received a complete response, which clears it.
    pub fn record_success(&mut self, fingerprint: RequestFingerprint) {
        self.crashes.remove(&fingerprint);
        if !self.succeeded.insert(fingerprint) {
            return;
        }
        self.successes_by_age.push_back(fingerprint);
        if self.successes_by_age.len() > MAX_REMEMBERED_SUCCESSES {
            if let Some(oldest) = self.successes_by_age.pop_front() {
                self.succeeded.remove(&oldest);
            }
        }
    }

    /// Discards the crashes observed for a request, as when an operator ends its refusal.
    pub fn clear(&mut self, fingerprint: &RequestFingerprint) {
        self.crashes.remove(fingerprint);
    }

    /// Whether this node alone observed enough crashes to refuse a request.
    pub fn is_refused(&self, fingerprint: &RequestFingerprint) -> bool {
        let observed = self.crashes.get(fingerprint);
        observed
            .is_some_and(|observed| observed.backends.len() >= self.limits.crashes.max(1) as usize)
    }

    fn drop_expired(&mut self, now: Millis) {
        let kept_for = self.limits.suspect_for_ms;
        self.crashes
            .retain(|_, observed| now.saturating_sub(observed.last_crash_at) < kept_for);
        while self.crashes.len() > MAX_COUNTED_REQUESTS {
            let all = self.crashes.iter();
            let oldest = all.min_by_key(|(_, observed)| observed.last_crash_at);
            let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) else {
                return;
            };
            self.crashes.remove(&oldest);
        }
    }
}
