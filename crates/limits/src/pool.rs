//! What one node knows of the limit of one back end, and the permits that it holds.

use crate::messages::{KnownLimit, LimitState, PermitGrant, PermitRequest, Serial};
use crate::{Millis, PERMIT_LIFETIME};
use silversail_model::RequestRate;
use std::collections::VecDeque;

/// How often the issuer is asked again while permits are wanted, in milliseconds: messages may
/// be lost, and another node may issue by now.
const ASKED_AGAIN_AFTER: Millis = 1_000;
/// How long a wait that the issuer told counts, in milliseconds.
const WAIT_TOLD_FOR: Millis = 2_000;

/// How old the request for permits may be that a grant answers, in milliseconds: a process that
/// stood still gets in one moment what was given in all that time.
const GRANT_CURRENT_FOR: Millis = 3_000;

/// The permission to send one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// Its number.
    pub serial: Serial,
    /// When it lapses.
    pub expires_at: Millis,
}

/// Whether a request may leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may: there is no limit.
    Unlimited,
    /// It may, with this permit.
    Permitted(Permit),
    /// It may not: there is no permit.
    Denied,
}

/// What was new in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitUpdate {
    /// The limit before.
    pub before: Option<RequestRate>,
    /// The limit now.
    pub after: Option<RequestRate>,
}

impl LimitUpdate {
    /// Whether the limit is another than before.
    pub fn is_change(&self) -> bool {
        self.before != self.after
    }
}

/// The limit of one back end, as one node knows it, with its permits.
#[derive(Debug, Default)]
pub struct PermitPool {
    limit: Option<KnownLimit>,
    lifted_by: Serial,
    highest: Serial,
    permits: VecDeque<Permit>,
    /// Permits that are meant for requests which were decided and not yet sent.
    chosen: usize,
    /// Permits that are waited for.
    wanted: u32,
    /// What the issuer was last told of that.
    told_wanted: u32,
    told_at: Option<Millis>,
    has_news: bool,
    /// When the last permit that is waited for is expected, and when that was told.
    expected: Option<(Millis, Millis)>,
    /// Until when one permit is wanted for requests that went elsewhere.
    preferred_until: Millis,
}

impl PermitPool {
    /// The limit; none where the back end has none.
    pub fn limit(&self) -> Option<RequestRate> {
        self.limit.map(|limit| limit.rate)
    }

    /// An answer came whose head named the limit `named`, to a request that was sent with the permit
    /// `permit`. One that names none takes the limit back only where the request was sent after
    /// the limit was known, and where the answer `is_success`: others may have been written before.
    pub fn record_answer(
        &mut self,
        named: Option<RequestRate>,
        permit: Option<Serial>,
        is_success: bool,
    ) -> LimitUpdate {
        let before = self.limit();
        match named {
            Some(rate) => self.named(rate, permit),
            None if is_success => self.named_none(permit.unwrap_or(0)),
            None => {}
        }
        LimitUpdate {
            before,
            after: self.limit(),
        }
    }

    /// A lower limit holds whenever it was named, a higher one only where it is the later word.
    fn named(&mut self, rate: RequestRate, permit: Option<Serial>) {
        let Some(known) = self.limit else {
            // Where an earlier limit was over, this one is later than all that is known.
            let serial = permit.unwrap_or(self.highest + 1);
            self.limit = Some(KnownLimit { rate, serial });
            self.has_news = true;
            return;
        };
        let later = permit.filter(|serial| *serial > known.serial);
        let serial = match later {
            Some(serial) => serial,
            // Held against what others know, it is the latest word.
            None if rate < known.rate => known.serial.max(self.highest) + 1,
            None => return,
        };
        let is_again = self.lifted_by > 0 && serial > self.lifted_by;
        self.has_news |= known.rate != rate || is_again;
        self.limit = Some(KnownLimit { rate, serial });
        if is_again {
            self.lifted_by = 0;
        }
    }

    /// The issuer takes the limit back, for all nodes and step by step.
    fn named_none(&mut self, serial: Serial) {
        let is_later = |known: KnownLimit| serial > known.serial.max(self.lifted_by);
        if self.limit.is_some_and(is_later) {
            self.lifted_by = serial;
            self.has_news = true;
        }
    }

    /// Forgets permits that lapsed.
    fn expire(&mut self, now: Millis) {
        while self
            .permits
            .front()
            .is_some_and(|one| one.expires_at <= now)
        {
            self.permits.pop_front();
        }
        self.chosen = self.chosen.min(self.permits.len());
    }

    /// Permits that no decided request is to have.
    pub fn available(&mut self, now: Millis) -> usize {
        self.expire(now);
        self.permits.len() - self.chosen
    }

    /// A request was decided that is to have a permit.
    pub fn reserve(&mut self, now: Millis) {
        if self.available(now) > 0 {
            self.chosen += 1;
        }
    }

    /// Whether a request may leave now, with the permit that it takes; asked directly before. What
    /// was decided earlier is no permission.
    pub fn admit(&mut self, now: Millis) -> Admission {
        if self.limit.is_none() {
            return Admission::Unlimited;
        }
        self.expire(now);
        self.chosen = self.chosen.saturating_sub(1);
        let permit = self.permits.pop_front();
        permit.map_or(Admission::Denied, Admission::Permitted)
    }

    /// The request that took a permit was not sent.
    pub fn return_permit(&mut self, permit: Permit) {
        let is_known = self.limit.is_some();
        if is_known && !self.permits.iter().any(|one| one.serial == permit.serial) {
            self.permits.push_front(permit);
        }
    }

    /// When a permit can be had that is asked for now; none where one is there or none is needed.
    pub fn next_permit_at(&mut self, now: Millis) -> Option<Millis> {
        let interval = interval_of(self.limit?.rate);
        if self.available(now) > 0 {
            return None;
        }
        let told = self
            .expected
            .filter(|(_, told_at)| now.saturating_sub(*told_at) < WAIT_TOLD_FOR);
        let last = told.map_or(now, |(at, _)| at.max(now));
        Some(last.saturating_add(interval).max(now + 1))
    }

    /// When the `place`-th of the `wanted` permits that are waited for is expected, counted from
    /// 1; none where the issuer told nothing of it lately.
    pub fn permit_expected_at(&self, place: u32, now: Millis) -> Option<Millis> {
        let (last, told_at) = self.expected?;
        let is_current = now.saturating_sub(told_at) < WAIT_TOLD_FOR && last > now;
        let wanted = u64::from(self.wanted.max(1));
        is_current.then(|| now + (last - now) * u64::from(place).min(wanted) / wanted)
    }

    /// A request would rather have gone to this back end: one permit is wanted for the next one.
    pub fn request_preferred(&mut self, now: Millis) {
        self.preferred_until = now + PERMIT_LIFETIME;
    }

    /// Takes how many requests wait for this back end.
    pub fn set_waiting(&mut self, waiting: u32, now: Millis) {
        let preferred = u32::from(now < self.preferred_until);
        let held = u32::try_from(self.available(now)).unwrap_or(u32::MAX);
        self.wanted = waiting.max(preferred).saturating_sub(held);
        if self.wanted == 0 {
            self.expected = None;
        }
    }

    /// What is to be told to the issuer now, where something is.
    pub fn request_due(&mut self, backend: &str, now: Millis) -> Option<PermitRequest> {
        let limit = self.limit?;
        let is_silent = self
            .told_at
            .is_none_or(|at| now.saturating_sub(at) >= ASKED_AGAIN_AFTER);
        let is_due =
            self.has_news || self.wanted != self.told_wanted || (self.wanted > 0 && is_silent);
        if !is_due {
            return None;
        }
        self.has_news = false;
        self.told_wanted = self.wanted;
        self.told_at = Some(now);
        Some(PermitRequest {
            backend: backend.to_owned(),
            limit,
            lifted_by: self.lifted_by,
            highest: self.highest,
            wanted: self.wanted,
            sent_at: now,
        })
    }

    /// Takes what the issuer sent. Tells the limit before and after.
    pub fn apply_grant(&mut self, grant: &PermitGrant, now: Millis) -> LimitUpdate {
        let before = self.limit();
        match grant.state {
            LimitState::Limited(limit) => self.follow(limit),
            LimitState::Lifted(serial) => self.lift(serial),
        }
        // A former process of this node may have asked, or this one long ago.
        let is_recent = now.saturating_sub(grant.echo) < GRANT_CURRENT_FOR;
        if self.limit.is_some() && self.told_at.is_some() && is_recent {
            self.take_permits(grant, now);
        }
        LimitUpdate {
            before,
            after: self.limit(),
        }
    }

    /// Takes a limit that another node heard of.
    pub fn apply_announcement(&mut self, told: KnownLimit) -> LimitUpdate {
        let before = self.limit();
        self.follow(told);
        LimitUpdate {
            before,
            after: self.limit(),
        }
    }

    fn follow(&mut self, told: KnownLimit) {
        if self.limit.is_none_or(|known| told.replaces(&known)) {
            self.limit = Some(told);
        }
        self.highest = self.highest.max(told.serial);
    }

    fn lift(&mut self, serial: Serial) {
        if self.limit.is_some_and(|known| serial <= known.serial) {
            return;
        }
        let highest = self.highest.max(serial);
        *self = Self {
            highest,
            ..Self::default()
        };
    }

    fn take_permits(&mut self, grant: &PermitGrant, now: Millis) {
        let expires_at = now + PERMIT_LIFETIME;
        for serial in grant.first..grant.first + u64::from(grant.count) {
            self.permits.push_back(Permit { serial, expires_at });
            self.highest = self.highest.max(serial);
        }
        self.wanted = self.wanted.saturating_sub(grant.count);
        self.told_wanted = self.told_wanted.saturating_sub(grant.count);
        self.expected = (self.told_wanted > 0).then(|| (now + grant.wait_ms, now));
    }
}

/// Milliseconds between two requests at a rate.
pub(crate) fn interval_of(rate: RequestRate) -> Millis {
    (1_000.0 / effective_per_second(rate)).ceil() as Millis
}

/// Requests a second that are sent at a rate: a back end that takes none, or next to none, is
/// asked now and then, as nobody would hear that its limit is over else.
pub(crate) fn effective_per_second(rate: RequestRate) -> f64 {
    const LEAST: f64 = 0.1;
    rate.requests_per_second().max(LEAST)
}
