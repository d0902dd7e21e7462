//! Which requests are not sent any more, as they crash the back ends which run them. All paths
//! that send ask here.

use crate::Millis;
use silversail_model::RequestFingerprint;
use silversail_quarantine::{LocalCrashEvidence, QuarantineLimits, SharedQuarantineList};
use std::collections::BTreeSet;

/// What the nodes together decided, and what this one saw itself.
#[derive(Debug, Default)]
pub struct RequestQuarantine {
    list: SharedQuarantineList,
    own: LocalCrashEvidence,
}

impl RequestQuarantine {
    /// Refuses nothing yet.
    pub fn new(limits: QuarantineLimits) -> Self {
        Self {
            list: SharedQuarantineList::default(),
            own: LocalCrashEvidence::new(limits),
        }
    }

    /// Takes the list in force. What it refuses no more is sent again, whatever was seen here.
    pub fn take(&mut self, list: SharedQuarantineList) {
        for released in self.list.refused.difference(&list.refused) {
            self.own.clear(released);
        }
        self.list = list;
    }

    /// Whether a request is not to be sent.
    pub fn refuses(&self, fingerprint: &RequestFingerprint) -> bool {
        self.list.refused.contains(fingerprint) || self.own.is_refused(fingerprint)
    }

    /// A back end ended with these requests; returns the suspects among them.
    pub fn crashed(
        &mut self,
        backend: &str,
        fingerprints: impl IntoIterator<Item = RequestFingerprint>,
        now: Millis,
    ) -> BTreeSet<RequestFingerprint> {
        self.own.record_crash(backend, fingerprints, now)
    }

    /// A request got a whole answer. True where the other nodes are to know.
    pub fn ended_well(&mut self, fingerprint: RequestFingerprint) -> bool {
        self.own.record_success(fingerprint);
        self.list.contains(&fingerprint)
    }
}
