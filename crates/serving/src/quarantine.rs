//! Quarantine of requests that crash the back ends that run them. Every send path checks it.

use crate::Millis;
use silversail_model::RequestFingerprint;
use silversail_quarantine::{Limits, OwnEvidence, SharedQuarantineList};
use std::collections::BTreeSet;

/// The cluster's quarantine list combined with the evidence of this node.
#[derive(Debug, Default)]
pub struct RequestQuarantine {
    list: SharedQuarantineList,
    own: OwnEvidence,
}

impl RequestQuarantine {
    /// Creates an empty quarantine with the given limits on evidence.
    pub fn new(limits: Limits) -> Self {
        Self {
            list: SharedQuarantineList::default(),
            own: OwnEvidence::new(limits),
        }
    }

    /// Replaces the cluster's list. Local evidence against released requests is dropped.
    pub fn take(&mut self, list: SharedQuarantineList) {
        for released in self.list.refused.difference(&list.refused) {
            self.own.forgive(released);
        }
        self.list = list;
    }

    /// Whether a request is quarantined.
    pub fn refuses(&self, fingerprint: &RequestFingerprint) -> bool {
        self.list.refused.contains(fingerprint) || self.own.refuses(fingerprint)
    }

    /// Records that a back end crashed while it ran these requests; returns the suspects among them.
    pub fn crashed(
        &mut self,
        backend: &str,
        fingerprints: impl IntoIterator<Item = RequestFingerprint>,
        now: Millis,
    ) -> BTreeSet<RequestFingerprint> {
        self.own.crashed(backend, fingerprints, now)
    }

    /// Records that a request was answered completely. True if other nodes must be informed.
    pub fn ended_well(&mut self, fingerprint: RequestFingerprint) -> bool {
        self.own.ended_well(fingerprint);
        self.list.names(&fingerprint)
    }
}
