//! Advertised state of one back end.

use super::UnavailableReason;
use crate::Millis;
use silversail_limits::PermitPool;
use silversail_model::RequestRate;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};

/// Advertised state of one back end. Only its permits need a lock to read.
#[derive(Debug, Default)]
pub struct BackendNotice {
    pub(super) is_limited: AtomicBool,
    permits: Mutex<PermitPool>,
    pub(super) backoff_until: AtomicU64,
    pub(super) backoff_ms: AtomicU64,
    pub(super) had_backoff: AtomicBool,
    pub(super) is_draining: AtomicBool,
    /// Rejections per second above which it fails; 0 for any number.
    pub(super) max_rejections: AtomicU32,
    /// When a node that does not send to it while it is brittle asks again, by one request.
    pub(super) ask_brittleness_at: AtomicU64,
}

impl BackendNotice {
    /// End of its back-off in milliseconds of the local clock; in the past if it is not in
    /// back-off.
    pub fn backoff_until(&self) -> Millis {
        self.backoff_until.load(Ordering::Acquire)
    }

    /// Length of the back-off that ends last, in milliseconds; 0 if it never requested one.
    pub fn backoff_ms(&self) -> Millis {
        self.backoff_ms.load(Ordering::Acquire)
    }

    /// Whether its back-off period is active at `now`.
    pub fn is_in_backoff(&self, now: Millis) -> bool {
        now < self.backoff_until()
    }

    /// Whether it requested a back-off and has not answered since the end of it.
    pub fn had_backoff(&self) -> bool {
        self.had_backoff.load(Ordering::Acquire)
    }

    /// Whether its back-off has ended and it has not answered since.
    pub fn is_unproven(&self, now: Millis) -> bool {
        self.had_backoff() && !self.is_in_backoff(now)
    }

    /// Whether it fails if it has to reject more requests per second than it advertises.
    pub fn is_brittle(&self) -> bool {
        self.max_rejections.load(Ordering::Acquire) > 0
    }

    /// Takes over the number of rejections that another back end of its service bears, until it
    /// reports for itself.
    pub(crate) fn inherit_brittleness(&self, other: &BackendNotice) {
        let max_rejections = other.max_rejections.load(Ordering::Acquire);
        let is_unknown = |known: u32| (known == 0).then_some(max_rejections);
        let order = Ordering::AcqRel;
        let inherited = self
            .max_rejections
            .fetch_update(order, Ordering::Acquire, is_unknown);
        if inherited.is_ok() {
            let ask_at = other.ask_brittleness_at.load(Ordering::Acquire);
            self.ask_brittleness_at.store(ask_at, Ordering::Release);
        }
    }

    /// Whether a node that does not send to it has to find out whether it still is brittle.
    pub(crate) fn is_brittleness_due(&self, now: Millis) -> bool {
        now >= self.ask_brittleness_at.load(Ordering::Acquire)
    }

    /// Whether it announced that it is draining.
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Acquire)
    }

    pub(super) fn permits(&self) -> MutexGuard<'_, PermitPool> {
        // Every update leaves the pool consistent, so a poisoned lock is safe to use.
        self.permits
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Whether it has a rate limit for all nodes together.
    pub fn is_limited(&self) -> bool {
        self.is_limited.load(Ordering::Acquire)
    }

    /// Rate limit for all nodes together; none without a limit.
    pub fn limit(&self) -> Option<RequestRate> {
        self.is_limited().then(|| self.permits().limit())?
    }

    /// When this node can expect a permit that it requests now; none if one is available or none
    /// is needed.
    pub fn permit_at(&self, now: Millis) -> Option<Millis> {
        self.is_limited()
            .then(|| self.permits().next_permit_at(now))?
    }

    /// When the request at queue position `position`, counted from 1, can expect a permit; none
    /// without a valid estimate.
    pub fn permit_expected_at(&self, position: u32, now: Millis) -> Option<Millis> {
        self.permits().permit_expected_at(position, now)
    }

    /// Reserves a permit for a request that is assigned to the back end.
    pub fn reserve_permit(&self, now: Millis) {
        if self.is_limited() {
            self.permits().reserve(now);
        }
    }

    /// Requests a permit because a request would have preferred this back end.
    pub fn request_permit(&self, now: Millis) {
        self.permits().request_permit(now);
    }

    /// State because of which nothing may be sent at `now`; none if it accepts requests, subject
    /// to permits.
    pub fn unavailable_reason(&self, now: Millis) -> Option<UnavailableReason> {
        if self.is_draining() {
            return Some(UnavailableReason::Draining);
        }
        self.is_in_backoff(now)
            .then_some(UnavailableReason::InBackoff)
    }
}
