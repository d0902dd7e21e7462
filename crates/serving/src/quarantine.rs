//! Quarantine of requests that crash the back ends that run them. Every send path checks it.

use crate::Millis;
use silversail_model::RequestFingerprint;
use silversail_quarantine::{LocalCrashEvidence, QuarantineLimits, SharedQuarantineList};
use std::collections::BTreeSet;

/// The cluster's quarantine list combined with the evidence of this node.
#[derive(Debug, Default)]
pub struct RequestQuarantine {
    list: SharedQuarantineList,
    local_evidence: LocalCrashEvidence,
}

impl RequestQuarantine {
    /// Creates an empty quarantine with the given limits on evidence.
    pub fn new(limits: QuarantineLimits) -> Self {
        Self {
            list: SharedQuarantineList::default(),
            local_evidence: LocalCrashEvidence::new(limits),
        }
    }

    /// Replaces the cluster's list. Local evidence against released requests is dropped.
    pub fn update(&mut self, list: SharedQuarantineList) {
        for released in self.list.refused.difference(&list.refused) {
            self.local_evidence.clear(released);
        }
        self.list = list;
    }

    /// Whether a request is quarantined.
    pub fn refuses(&self, fingerprint: &RequestFingerprint) -> bool {
        self.list.refused.contains(fingerprint) || self.local_evidence.is_refused(fingerprint)
    }

    /// Whether one crash more would have a request or an attribute refused.
    pub fn watches(&self, fingerprint: &RequestFingerprint) -> bool {
        self.list.watched.contains(fingerprint)
    }

    /// Records that a back end crashed while it ran these requests; returns the suspects among
    /// them.
    pub fn record_crash(
        &mut self,
        backend: &str,
        fingerprints: impl IntoIterator<Item = RequestFingerprint>,
        now: Millis,
    ) -> BTreeSet<RequestFingerprint> {
        self.local_evidence.record_crash(backend, fingerprints, now)
    }

    /// Records that a request was answered completely. True if other nodes must be informed.
    pub fn record_success(&mut self, fingerprint: RequestFingerprint) -> bool {
        self.local_evidence.record_success(fingerprint);
        self.list.contains(&fingerprint)
    }
}
