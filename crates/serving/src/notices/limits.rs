//! Rate limits of back ends and the permits of this node.

use super::{BackendNotices, Entries, UnavailableReason};
use crate::instances::InstanceId;
use crate::Millis;
use silversail_decisions::Event;
use silversail_limits::{
    Admission, LimitAnnouncement, LimitUpdate, Permit, PermitGrant, PermitRequest,
};
use silversail_model::RequestRate;
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;

/// Value of the log field `path` for limits that were learned from another node.
const PEER: &str = "peer";

impl BackendNotices {
    /// Updates the index of limited back ends after a change of a limit, and logs the change.
    pub(super) fn record_limit_update(
        &self,
        entries: &mut Entries,
        id: &str,
        limit_update: &LimitUpdate,
        path: &str,
        by: &str,
    ) {
        if !limit_update.is_change() {
            return;
        }
        let is_limited = limit_update.after.is_some();
        let notice = &entries.entry(id).notice;
        notice.is_limited.store(is_limited, Ordering::Release);
        match is_limited {
            true => entries.limited.insert(id.to_owned()),
            false => entries.limited.remove(id),
        };
        self.limits.store(entries.limited.len(), Ordering::Release);
        self.log.record(Event::LimitChanged {
            backend: id.to_owned(),
            before: limit_update.before.map(RequestRate::requests_per_second),
            per_second: limit_update.after.map(RequestRate::requests_per_second),
            path: path.to_owned(),
            told_by: by.to_owned(),
        });
    }

    /// Whether any back end has a rate limit.
    pub fn has_limits(&self) -> bool {
        self.limits.load(Ordering::Acquire) > 0
    }

    /// Decides whether a request may be sent to a back end at `now`. Consumes and returns a permit
    /// if the back end has a rate limit.
    ///
    /// # Errors
    ///
    /// If the back end is in back-off or drains, or no permit is available.
    pub fn admit(&self, id: &str, now: Millis) -> Result<Option<Permit>, UnavailableReason> {
        let notice = self.of(id);
        if let Some(reason) = notice.unavailable_reason(now) {
            return Err(reason);
        }
        if !notice.is_limited() {
            return Ok(None);
        }
        let admission = notice.permits().admit(now);
        match admission {
            Admission::Unlimited => Ok(None),
            Admission::Permitted(permit) => Ok(Some(permit)),
            Admission::Denied => Err(UnavailableReason::Limited),
        }
    }

    /// Returns the permit of a request that was not sent.
    pub fn return_permit(&self, id: &str, permit: Permit) {
        self.of(id).permits().return_permit(permit);
    }

    /// Returns the permit requests that are due at `now`, given the number of requests that wait
    /// for each back end.
    pub fn permit_requests(
        &self,
        waiting: &BTreeMap<InstanceId, u32>,
        now: Millis,
    ) -> Vec<PermitRequest> {
        if !self.has_limits() {
            return Vec::new();
        }
        let entries = self.lock();
        let limited = entries.limited.iter();
        let requests = limited.filter_map(|id| {
            let mut permits = entries.by_id.get(id)?.notice.permits();
            permits.set_waiting(waiting.get(id).copied().unwrap_or(0), now);
            permits.request_due(id, now)
        });
        requests.collect()
    }

    /// Applies a grant of the issuer `from`.
    pub fn apply_grant(&self, from: &str, grant: &PermitGrant, now: Millis) {
        let mut entries = self.lock();
        let id = &grant.backend;
        let notice = entries.entry(id).notice.clone();
        let limit_update = notice.permits().apply_grant(grant, now);
        self.record_limit_update(&mut entries, id, &limit_update, PEER, from);
    }

    /// Applies a limit that the node `from` announced.
    pub fn apply_announcement(&self, from: &str, announced: &LimitAnnouncement) {
        let mut entries = self.lock();
        let id = &announced.backend;
        let notice = entries.entry(id).notice.clone();
        let limit_update = notice.permits().apply_announcement(announced.limit);
        self.record_limit_update(&mut entries, id, &limit_update, PEER, from);
    }

    /// Back ends with a rate limit, each with its rate.
    pub fn limited(&self) -> Vec<(InstanceId, RequestRate)> {
        let entries = self.lock();
        let limited = entries.limited.iter();
        let with_limit = limited.filter_map(|id| {
            let limit = entries.by_id.get(id)?.notice.limit()?;
            Some((id.clone(), limit))
        });
        with_limit.collect()
    }
}
