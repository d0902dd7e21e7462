//! Records what back ends report about themselves in the heads of their answers.

use crate::clock::{self, Clock};
use crate::metrics::Metrics;
use silversail_limits::{Permit, Serial};
use silversail_serving::notices::{AnswerContext, BackendNotices, ExchangeKind, UnavailableReason};
use silversail_serving::ports::SelfReport;
use std::sync::Arc;

/// Updates [`BackendNotices`] with the current time, and counts the reports.
#[derive(Clone)]
pub struct NoticeRecorder {
    /// Latest reports of the back ends.
    pub notices: BackendNotices,
    /// Counters of reports, withheld sends and permits.
    pub metrics: Arc<Metrics>,
    /// Clock by which reports are timestamped.
    pub clock: Clock,
}

impl NoticeRecorder {
    /// Reason why the back end is unavailable by its own reports; `None` if it is available.
    pub fn unavailable_reason(
        &self,
        instance: &str,
        path: ExchangeKind,
    ) -> Option<UnavailableReason> {
        let now = self.clock.millis(clock::now());
        let reason = self.notices.of(instance).unavailable_reason(now)?;
        self.count_withheld(reason, path);
        Some(reason)
    }

    fn count_withheld(&self, reason: UnavailableReason, path: ExchangeKind) {
        let counter = &self.metrics.unavailable_sends;
        let labels = [reason.name(), path.name()];
        counter.with_label_values(&labels).inc();
    }

    /// Checks whether a request may be sent to a back end, and takes a permit for it. Must be
    /// called just before the send, as the request may have waited for a connection since the
    /// back end was selected.
    pub fn admit(
        &self,
        instance: &str,
        path: ExchangeKind,
    ) -> Result<SendPermit, UnavailableReason> {
        let now = self.clock.millis(clock::now());
        let permit = self.notices.admit(instance, now);
        let permit = permit.inspect_err(|reason| self.count_withheld(*reason, path))?;
        Ok(SendPermit {
            notice_recorder: self.clone(),
            instance: instance.to_owned(),
            path,
            permit,
            is_spent: false,
        })
    }

    /// Records what a back end reported about itself in an answer.
    pub fn record_report(
        &self,
        instance: &str,
        answer: impl Into<AnswerContext>,
        report: &SelfReport,
    ) {
        let now = self.clock.millis(clock::now());
        let answer = answer.into();
        let path = answer.path;
        let changes = self.notices.record_report(instance, answer, report, now);
        let counter = &self.metrics.backend_notices;
        let count = |kind| counter.with_label_values(&[kind, path.name()]).inc();
        if report.has_unreadable_backoff {
            count("unreadable_rest");
        }
        if report.has_unreadable_processing_time {
            count("unreadable_pace");
        }
        if changes.is_longer_backoff {
            count("rest");
        }
        if changes.is_draining {
            count("leaving");
        }
        if changes.is_limit_changed {
            count("limit");
        }
        if changes.is_brittleness_changed {
            count("brittle");
        }
        if report.has_unreadable_max_rejections {
            count("unreadable_brittle");
        }
        if report.limit.is_unreadable {
            count("unreadable_limit");
        }
        if !report.unknown.is_empty() {
            count("unknown_header");
        }
    }
}

/// Permission to send one request to a back end. Returns its permit when it is dropped unused.
pub struct SendPermit {
    notice_recorder: NoticeRecorder,
    instance: String,
    path: ExchangeKind,
    /// `None` if the back end has no rate limit.
    permit: Option<Permit>,
    is_spent: bool,
}

impl SendPermit {
    /// Checks again, after a wait, that the back end is available and that the permit has not
    /// expired.
    pub fn renew(self) -> Result<Self, UnavailableReason> {
        let now = self.notice_recorder.clock.millis(clock::now());
        let has_expired = self.permit.is_some_and(|permit| permit.expires_at <= now);
        let reason = self
            .notice_recorder
            .unavailable_reason(&self.instance, self.path);
        let has_new_limit =
            self.permit.is_none() && self.notice_recorder.notices.of(&self.instance).is_limited();
        match reason {
            Some(reason) => Err(reason),
            None if has_expired || has_new_limit => {
                self.notice_recorder.admit(&self.instance, self.path)
            }
            None => Ok(self),
        }
    }

    /// Marks the permit as used; call it just before the request is sent.
    pub fn spend(&mut self) {
        self.is_spent = true;
    }

    /// Marks the permit as unused because the request was not sent.
    pub fn unspend(&mut self) {
        self.is_spent = false;
    }

    /// Serial number of the permit.
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
            let counter = &self.notice_recorder.metrics.permits_spent;
            counter.with_label_values(&[self.path.name()]).inc();
        } else {
            self.notice_recorder
                .notices
                .return_permit(&self.instance, permit);
        }
    }
}
