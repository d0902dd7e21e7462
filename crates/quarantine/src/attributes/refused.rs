//! Which attributes the fingerprints on the quarantine list stand for, and where they crashed back
//! ends.

use super::evidence::AttributeCrash;
use super::{attribute_fingerprints, BackendGroup};
use crate::list::QuarantineList;
use silversail_model::{RequestAttribute, RequestFingerprint};
use std::collections::{BTreeMap, BTreeSet};

/// Milliseconds of the voter's own monotonic clock.
type Millis = u64;

/// An attribute that is refused, or released on probation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct RefusedAttribute {
    pub(super) attribute: RequestAttribute,
    /// Groups of the back ends that crashed.
    pub(super) groups: BTreeSet<BackendGroup>,
    /// When it was released on probation; none while it is refused.
    pub(super) released_at: Option<Millis>,
}

/// Attributes on the quarantine list whose crashes this voter has seen. Those refused before it
/// started are missing, as the list has fingerprints only.
#[derive(Debug, Default)]
pub(super) struct RefusedAttributes {
    by_fingerprint: BTreeMap<RequestFingerprint, RefusedAttribute>,
}

impl RefusedAttributes {
    /// Records the refused attributes of a crash that `list` explains.
    pub(super) fn record_crash(&mut self, crash: &AttributeCrash, list: &QuarantineList) {
        for request in &crash.requests {
            let attributes = request.attributes.iter().copied();
            let tenant = request.tenant.as_deref();
            let known = attribute_fingerprints(&crash.group.service, tenant, attributes);
            let refused = known.into_iter();
            let refused = refused.filter(|(_, fingerprint)| list.refused.contains(fingerprint));
            for (attribute, fingerprint) in refused {
                let entry = self.by_fingerprint.entry(fingerprint);
                let refused = entry.or_insert_with(|| RefusedAttribute {
                    attribute,
                    groups: BTreeSet::new(),
                    released_at: None,
                });
                refused.groups.insert(crash.group.clone());
            }
        }
    }

    /// Follows `list`: attributes are released on probation, refused again and forgotten.
    pub(super) fn update(&mut self, list: &QuarantineList, now: Millis) {
        self.by_fingerprint
            .retain(|fingerprint, _| list.contains(fingerprint));
        for (fingerprint, refused) in &mut self.by_fingerprint {
            let is_released = !list.refused.contains(fingerprint);
            refused.released_at = is_released.then(|| refused.released_at.unwrap_or(now));
        }
    }

    pub(super) fn get(&self, fingerprint: &RequestFingerprint) -> Option<&RefusedAttribute> {
        self.by_fingerprint.get(fingerprint)
    }

    /// Attributes on probation, each with its fingerprint and the time of its release.
    pub(super) fn on_probation(
        &self,
    ) -> impl Iterator<Item = (RequestFingerprint, &RefusedAttribute, Millis)> {
        let all = self.by_fingerprint.iter();
        all.filter_map(|(fingerprint, refused)| Some((*fingerprint, refused, refused.released_at?)))
    }
}
