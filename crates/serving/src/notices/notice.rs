//! What one back end said of itself.

use super::UnavailableReason;
use crate::Millis;
use silversail_limits::PermitPool;
use silversail_model::RequestRate;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};

/// What one back end said of itself. Read without a lock, but for its permits.
#[derive(Debug, Default)]
pub struct Notice {
    pub(super) is_limited: AtomicBool,
    permits: Mutex<PermitPool>,
    pub(super) rest_until: AtomicU64,
    pub(super) rest_ms: AtomicU64,
    pub(super) has_rested: AtomicBool,
    pub(super) is_leaving: AtomicBool,
}

impl Notice {
    /// When its rest ends; in the past where it wants none.
    pub fn rest_until(&self) -> Millis {
        self.rest_until.load(Ordering::Acquire)
    }

    /// Length of the rest that ends last, in milliseconds; 0 where it never wanted one.
    pub fn rest_ms(&self) -> Millis {
        self.rest_ms.load(Ordering::Acquire)
    }

    /// Whether it wants nothing at `now`.
    pub fn is_resting(&self, now: Millis) -> bool {
        now < self.rest_until()
    }

    /// Whether it asked for rest and nothing was heard of it since the end of that.
    pub fn has_rested(&self) -> bool {
        self.has_rested.load(Ordering::Acquire)
    }

    /// Whether its rest is over and nothing was heard of it since.
    pub fn is_unproven(&self, now: Millis) -> bool {
        self.has_rested() && !self.is_resting(now)
    }

    /// Whether it said that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Acquire)
    }

    pub(super) fn permits(&self) -> MutexGuard<'_, PermitPool> {
        // Each step leaves the pool whole, also where a thread ended.
        self.permits
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Whether it takes only so many requests from all nodes together.
    pub fn is_limited(&self) -> bool {
        self.is_limited.load(Ordering::Acquire)
    }

    /// How many requests it takes from all nodes together; none where it has no limit.
    pub fn limit(&self) -> Option<RequestRate> {
        self.is_limited().then(|| self.permits().limit())?
    }

    /// When this node can have a permit that it asks for now; none where it has one or needs none.
    pub fn permit_at(&self, now: Millis) -> Option<Millis> {
        self.is_limited()
            .then(|| self.permits().next_permit_at(now))?
    }

    /// When the `place`-th request that waits for a permit gets one, counted from 1; none where
    /// that is not known.
    pub fn permit_expected_at(&self, place: u32, now: Millis) -> Option<Millis> {
        self.permits().permit_expected_at(place, now)
    }

    /// A request was decided that goes there.
    pub fn reserve_permit(&self, now: Millis) {
        if self.is_limited() {
            self.permits().reserve(now);
        }
    }

    /// A request would rather have gone there.
    pub fn prefer(&self, now: Millis) {
        self.permits().request_preferred(now);
    }

    /// Why nothing may be sent to it at `now`; none where it may get work.
    pub fn unavailable_reason(&self, now: Millis) -> Option<UnavailableReason> {
        if self.is_leaving() {
            return Some(UnavailableReason::Leaving);
        }
        self.is_resting(now).then_some(UnavailableReason::Resting)
    }
}
