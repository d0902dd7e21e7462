//! The limits that back ends named, and the permits of this node.

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

/// Stands in the log in the place of a kind of exchange where another node told.
const PEER: &str = "peer";

impl BackendNotices {
    /// Keeps and tells that a back end has another limit than before, or none any more.
    pub(super) fn note_limit(
        &self,
        entries: &mut Entries,
        id: &str,
        heard: &LimitUpdate,
        path: &str,
        by: &str,
    ) {
        if !heard.is_change() {
            return;
        }
        let is_limited = heard.after.is_some();
        let notice = &entries.entry(id).notice;
        notice.is_limited.store(is_limited, Ordering::Release);
        match is_limited {
            true => entries.limited.insert(id.to_owned()),
            false => entries.limited.remove(id),
        };
        self.limits.store(entries.limited.len(), Ordering::Release);
        self.log.record(Event::LimitChanged {
            backend: id.to_owned(),
            before: heard.before.map(RequestRate::requests_per_second),
            per_second: heard.after.map(RequestRate::requests_per_second),
            path: path.to_owned(),
            told_by: by.to_owned(),
        });
    }

    /// Whether back ends have limits.
    pub fn has_limits(&self) -> bool {
        self.limits.load(Ordering::Acquire) > 0
    }

    /// Whether a request may leave for a back end at `now`, with the permit that it takes where
    /// the back end has a limit.
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

    /// A request that took a permit was not sent.
    pub fn return_permit(&self, id: &str, permit: Permit) {
        self.of(id).permits().return_permit(permit);
    }

    /// What is to be told to the issuers of permits at `now`, where so many requests wait for
    /// each back end.
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

    /// Takes what the issuer `from` sent.
    pub fn apply_grant(&self, from: &str, grant: &PermitGrant, now: Millis) {
        let mut entries = self.lock();
        let id = &grant.backend;
        let notice = entries.entry(id).notice.clone();
        let heard = notice.permits().apply_grant(grant, now);
        self.note_limit(&mut entries, id, &heard, PEER, from);
    }

    /// Takes a limit that the node `from` told of.
    pub fn apply_announcement(&self, from: &str, announced: &LimitAnnouncement) {
        let mut entries = self.lock();
        let id = &announced.backend;
        let notice = entries.entry(id).notice.clone();
        let heard = notice.permits().apply_announcement(announced.limit);
        self.note_limit(&mut entries, id, &heard, PEER, from);
    }

    /// Those that have a limit, each with it.
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
