//! A node's view of the limit of one back end, and the permits that the node holds.

use crate::messages::{KnownLimit, LimitState, PermitGrant, PermitRequest, Serial};
use crate::{Millis, PERMIT_LIFETIME};
use silversail_model::RequestRate;
use std::collections::VecDeque;

/// Interval at which an unanswered permit request is repeated, in milliseconds: the message may
/// be lost, or another node may have become the issuer.
const REQUEST_REPEAT_INTERVAL: Millis = 1_000;
/// How long the issuer's wait estimate stays valid, in milliseconds.
const WAIT_ESTIMATE_LIFETIME: Millis = 2_000;

/// Maximum age of the permit request that a grant answers, in milliseconds: a process that was
/// paused would otherwise receive all permits of the pause at once.
const MAX_GRANT_REQUEST_AGE: Millis = 3_000;

/// Permission to send one request to a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// Serial number that the issuer assigned.
    pub serial: Serial,
    /// Time from which the permit is no longer valid, in milliseconds of the local clock.
    pub expires_at: Millis,
}

/// Result of asking to send a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The back end has no limit.
    Unlimited,
    /// The request may be sent and consumes this permit.
    Permitted(Permit),
    /// The back end has a limit and no permit is available.
    Denied,
}

/// The limit before and after an update.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitUpdate {
    /// Limit before the update; none if there was none.
    pub before: Option<RequestRate>,
    /// Limit after the update; none if there is none.
    pub after: Option<RequestRate>,
}

impl LimitUpdate {
    /// Whether the update changed the rate, set a limit or lifted it.
    pub fn is_change(&self) -> bool {
        self.before != self.after
    }
}

/// The limit of one back end as known to this node, and the permits that the node holds.
#[derive(Debug, Default)]
pub struct PermitPool {
    limit: Option<KnownLimit>,
    limit_lifted_serial: Serial,
    highest_serial: Serial,
    permits: VecDeque<Permit>,
    /// Permits reserved for requests that are assigned to the back end but not yet sent.
    reserved: usize,
    /// Permits that the node lacks.
    wanted: u32,
    /// Value of `wanted` that was last reported to the issuer.
    reported_wanted: u32,
    reported_at: Option<Millis>,
    has_unreported_change: bool,
    /// When the last outstanding permit is expected, and when the issuer estimated that.
    expected: Option<(Millis, Millis)>,
    /// Until when one permit is requested for demand that went to other back ends.
    preferred_until: Millis,
}

impl PermitPool {
    /// The current rate limit; none if the back end has none.
    pub fn limit(&self) -> Option<RequestRate> {
        self.limit.map(|limit| limit.rate)
    }

    /// Records the limit `advertised` in an answer to a request that was sent with `permit`.
    ///
    /// An answer without a limit starts to lift a known limit only if it `is_success` and its
    /// request was sent after the limit was known; others may have been written before it.
    pub fn record_answer(
        &mut self,
        advertised: Option<RequestRate>,
        permit: Option<Serial>,
        is_success: bool,
    ) -> LimitUpdate {
        let before = self.limit();
        match advertised {
            Some(rate) => self.record_limit(rate, permit),
            None if is_success => self.record_no_limit(permit.unwrap_or(0)),
            None => {}
        }
        LimitUpdate {
            before,
            after: self.limit(),
        }
    }

    /// Applies a lower limit always, and a higher one only if it is newer than the known one.
    fn record_limit(&mut self, rate: RequestRate, permit: Option<Serial>) {
        let Some(known) = self.limit else {
            // After an earlier limit was lifted, this one must compare as newer than that.
            let serial = permit.unwrap_or(self.highest_serial + 1);
            self.limit = Some(KnownLimit { rate, serial });
            self.has_unreported_change = true;
            return;
        };
        let newer = permit.filter(|serial| *serial > known.serial);
        let serial = match newer {
            Some(serial) => serial,
            // Takes precedence over the limits known to other nodes.
            None if rate < known.rate => known.serial.max(self.highest_serial) + 1,
            None => return,
        };
        let is_reimposed = self.limit_lifted_serial > 0 && serial > self.limit_lifted_serial;
        self.has_unreported_change |= known.rate != rate || is_reimposed;
        self.limit = Some(KnownLimit { rate, serial });
        if is_reimposed {
            self.limit_lifted_serial = 0;
        }
    }

    /// Records that an answer carried no limit. The issuer then lifts it gradually for all nodes.
    fn record_no_limit(&mut self, serial: Serial) {
        let is_newer = |known: KnownLimit| serial > known.serial.max(self.limit_lifted_serial);
        if self.limit.is_some_and(is_newer) {
            self.limit_lifted_serial = serial;
            self.has_unreported_change = true;
        }
    }

    /// Drops expired permits.
    fn expire(&mut self, now: Millis) {
        while self
            .permits
            .front()
            .is_some_and(|permit| permit.expires_at <= now)
        {
            self.permits.pop_front();
        }
        self.reserved = self.reserved.min(self.permits.len());
    }

    /// Number of permits that are neither expired nor reserved.
    pub fn available(&mut self, now: Millis) -> usize {
        self.expire(now);
        self.permits.len() - self.reserved
    }

    /// Reserves a permit for a request that is assigned to the back end, if one is available.
    pub fn reserve(&mut self, now: Millis) {
        if self.available(now) > 0 {
            self.reserved += 1;
        }
    }

    /// Decides directly before a send whether the request may be sent, and consumes a permit. An
    /// earlier reservation does not guarantee one.
    pub fn admit(&mut self, now: Millis) -> Admission {
        if self.limit.is_none() {
            return Admission::Unlimited;
        }
        self.expire(now);
        self.reserved = self.reserved.saturating_sub(1);
        let permit = self.permits.pop_front();
        permit.map_or(Admission::Denied, Admission::Permitted)
    }

    /// Returns the permit of a request that was not sent.
    pub fn return_permit(&mut self, permit: Permit) {
        let is_known = self.limit.is_some();
        if is_known
            && !self
                .permits
                .iter()
                .any(|pooled| pooled.serial == permit.serial)
        {
            self.permits.push_front(permit);
        }
    }

    /// When a permit that is requested now can be expected; none if one is available or none is
    /// needed.
    pub fn next_permit_at(&mut self, now: Millis) -> Option<Millis> {
        let interval = interval_of(self.limit?.rate);
        if self.available(now) > 0 {
            return None;
        }
        let estimate = self
            .expected
            .filter(|(_, estimated_at)| now.saturating_sub(*estimated_at) < WAIT_ESTIMATE_LIFETIME);
        let last = estimate.map_or(now, |(at, _)| at.max(now));
        Some(last.saturating_add(interval).max(now + 1))
    }

    /// When the outstanding permit at queue position `position`, counted from 1, is expected; none
    /// without a valid estimate from the issuer.
    pub fn permit_expected_at(&self, position: u32, now: Millis) -> Option<Millis> {
        let (last, estimated_at) = self.expected?;
        let is_current = now.saturating_sub(estimated_at) < WAIT_ESTIMATE_LIFETIME && last > now;
        let wanted = u64::from(self.wanted.max(1));
        is_current.then(|| now + (last - now) * u64::from(position).min(wanted) / wanted)
    }

    /// Requests one permit because a request would have preferred this back end.
    pub fn request_permit(&mut self, now: Millis) {
        self.preferred_until = now + PERMIT_LIFETIME;
    }

    /// Sets the number of requests that wait for this back end.
    pub fn set_waiting(&mut self, waiting: u32, now: Millis) {
        let preferred = u32::from(now < self.preferred_until);
        let available = u32::try_from(self.available(now)).unwrap_or(u32::MAX);
        self.wanted = waiting.max(preferred).saturating_sub(available);
        if self.wanted == 0 {
            self.expected = None;
        }
    }

    /// Returns the request that is due to be sent to the issuer; none if nothing has changed.
    pub fn request_due(&mut self, backend: &str, now: Millis) -> Option<PermitRequest> {
        let limit = self.limit?;
        let is_repeat_due = self
            .reported_at
            .is_none_or(|at| now.saturating_sub(at) >= REQUEST_REPEAT_INTERVAL);
        let is_due = self.has_unreported_change
            || self.wanted != self.reported_wanted
            || (self.wanted > 0 && is_repeat_due);
        if !is_due {
            return None;
        }
        self.has_unreported_change = false;
        self.reported_wanted = self.wanted;
        self.reported_at = Some(now);
        Some(PermitRequest {
            backend: backend.to_owned(),
            limit,
            limit_lifted_serial: self.limit_lifted_serial,
            highest_serial: self.highest_serial,
            wanted: self.wanted,
            sent_at: now,
        })
    }

    /// Applies a grant from the issuer: its limit, and its permits if they are current.
    pub fn apply_grant(&mut self, grant: &PermitGrant, now: Millis) -> LimitUpdate {
        let before = self.limit();
        match grant.state {
            LimitState::Limited(limit) => self.adopt_limit(limit),
            LimitState::Lifted(serial) => self.lift_limit(serial),
        }
        // The grant may answer a former process of this node, or an outdated request.
        let is_recent = now.saturating_sub(grant.request_sent_at) < MAX_GRANT_REQUEST_AGE;
        if self.limit.is_some() && self.reported_at.is_some() && is_recent {
            self.store_permits(grant, now);
        }
        LimitUpdate {
            before,
            after: self.limit(),
        }
    }

    /// Applies a limit that was announced by another node.
    pub fn apply_announcement(&mut self, announced: KnownLimit) -> LimitUpdate {
        let before = self.limit();
        self.adopt_limit(announced);
        LimitUpdate {
            before,
            after: self.limit(),
        }
    }

    fn adopt_limit(&mut self, announced: KnownLimit) {
        if self.limit.is_none_or(|known| announced.replaces(&known)) {
            self.limit = Some(announced);
        }
        self.highest_serial = self.highest_serial.max(announced.serial);
    }

    fn lift_limit(&mut self, serial: Serial) {
        if self.limit.is_some_and(|known| serial <= known.serial) {
            return;
        }
        let highest_serial = self.highest_serial.max(serial);
        *self = Self {
            highest_serial,
            ..Self::default()
        };
    }

    fn store_permits(&mut self, grant: &PermitGrant, now: Millis) {
        let expires_at = now + PERMIT_LIFETIME;
        for serial in grant.first_serial..grant.first_serial + u64::from(grant.count) {
            self.permits.push_back(Permit { serial, expires_at });
            self.highest_serial = self.highest_serial.max(serial);
        }
        self.wanted = self.wanted.saturating_sub(grant.count);
        self.reported_wanted = self.reported_wanted.saturating_sub(grant.count);
        self.expected = (self.reported_wanted > 0).then(|| (now + grant.wait_ms, now));
    }
}

/// Interval between two requests at a rate, in milliseconds.
pub(crate) fn interval_of(rate: RequestRate) -> Millis {
    (1_000.0 / effective_per_second(rate)).ceil() as Millis
}

/// Requests per second that are sent at a rate. It has a lower bound, so that a back end with a
/// rate near zero still gets probes whose answers show when the limit is lifted.
pub(crate) fn effective_per_second(rate: RequestRate) -> f64 {
    const MIN_REQUESTS_PER_SECOND: f64 = 0.1;
    rate.requests_per_second().max(MIN_REQUESTS_PER_SECOND)
}
