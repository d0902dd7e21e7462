//! Where every path that reads an answer's head tells what the back end says of itself.

use crate::clock::{self, Clock};
use crate::metrics::Metrics;
use silversail_limits::{Permit, Serial};
use silversail_serving::notices::{AnswerContext, BackendNotices, ExchangeKind, UnavailableReason};
use silversail_serving::ports::SelfReport;
use std::sync::Arc;

/// Takes what back ends say of themselves, at the moment at which it is read.
#[derive(Clone)]
pub struct NoticeListener {
    /// What they said.
    pub notices: BackendNotices,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// Time.
    pub clock: Clock,
}

impl NoticeListener {
    /// Why nothing may be sent to a back end now by its own word; none where it may get what is
    /// to be sent.
    pub fn withheld(&self, instance: &str, path: ExchangeKind) -> Option<UnavailableReason> {
        let now = self.clock.millis(clock::now());
        let reason = self.notices.of(instance).unavailable_reason(now)?;
        self.count_withheld(reason, path);
        Some(reason)
    }

    fn count_withheld(&self, reason: UnavailableReason, path: ExchangeKind) {
        let counted = &self.metrics.sends_withheld;
        let labels = [reason.name(), path.name()];
        counted.with_label_values(&labels).inc();
    }

    /// Whether a request may leave for a back end, with the permit that it takes. Asked directly
    /// before bytes leave: since the choice a request may have waited for a connection.
    pub fn admit(
        &self,
        instance: &str,
        path: ExchangeKind,
    ) -> Result<SendPermit, UnavailableReason> {
        let now = self.clock.millis(clock::now());
        let admitted = self.notices.admit(instance, now);
        let permit = admitted.inspect_err(|reason| self.count_withheld(*reason, path))?;
        Ok(SendPermit {
            listener: self.clone(),
            instance: instance.to_owned(),
            path,
            permit,
            is_spent: false,
        })
    }

    /// A back end said something of itself in an answer.
    pub fn heard(&self, instance: &str, answer: impl Into<AnswerContext>, said: &SelfReport) {
        let now = self.clock.millis(clock::now());
        let answer = answer.into();
        let path = answer.path;
        let news = self.notices.record_report(instance, answer, said, now);
        let counted = &self.metrics.backend_notices;
        let count = |kind| counted.with_label_values(&[kind, path.name()]).inc();
        if said.has_unreadable_backoff {
            count("unreadable_rest");
        }
        if said.has_unreadable_processing_time {
            count("unreadable_pace");
        }
        if news.is_longer_backoff {
            count("rest");
        }
        if news.is_draining {
            count("leaving");
        }
        if news.is_limit_changed {
            count("limit");
        }
        if said.limit.is_unreadable {
            count("unreadable_limit");
        }
        if !said.unknown.is_empty() {
            count("unknown_header");
        }
    }
}

/// The permission to send one request to a back end. Dropped before the request was sent, it gives
/// its permit back.
pub struct SendPermit {
    listener: NoticeListener,
    instance: String,
    path: ExchangeKind,
    /// None where the back end has no limit.
    permit: Option<Permit>,
    is_spent: bool,
}

impl SendPermit {
    /// Asks once more, after a wait: whether the back end still takes the request, and whether the
    /// permit still holds.
    pub fn renew(self) -> Result<Self, UnavailableReason> {
        let now = self.listener.clock.millis(clock::now());
        let is_lapsed = self.permit.is_some_and(|permit| permit.expires_at <= now);
        let reason = self.listener.withheld(&self.instance, self.path);
        let is_limited_since =
            self.permit.is_none() && self.listener.notices.of(&self.instance).is_limited();
        match reason {
            Some(reason) => Err(reason),
            None if is_lapsed || is_limited_since => self.listener.admit(&self.instance, self.path),
            None => Ok(self),
        }
    }

    /// The request leaves now.
    pub fn spend(&mut self) {
        self.is_spent = true;
    }

    /// The request did not leave after all.
    pub fn unspend(&mut self) {
        self.is_spent = false;
    }

    /// The serial of the permit that was spent.
    pub fn serial(&self) -> Option<Serial> {
        self.permit.map(|permit| permit.serial)
    }
}

impl Drop for SendPermit {
    fn drop(&mut self) {
        let Some(permit) = self.permit else {
            return;
        };
        if self.is_spent {
            let counted = &self.listener.metrics.permits_spent;
            counted.with_label_values(&[self.path.name()]).inc();
        } else {
            self.listener.notices.return_permit(&self.instance, permit);
        }
    }
}
