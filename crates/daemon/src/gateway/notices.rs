//! Where every path that reads an answer's head tells what the back end says of itself.

use crate::clock::{self, Clock};
use crate::metrics::Metrics;
use silversail_serving::notices::{AnswerPath, BackendNotices, Withheld};
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
    /// Why nothing may be sent to a back end now; none where it may get what is to be sent. Asked
    /// directly before bytes leave: since the choice a request may have waited for a connection.
    pub fn withheld(&self, instance: &str, path: AnswerPath) -> Option<Withheld> {
        let now = self.clock.millis(clock::now());
        let reason = self.notices.of(instance).withheld(now)?;
        let counted = &self.metrics.sends_withheld;
        let labels = [reason.name(), path.name()];
        counted.with_label_values(&labels).inc();
        Some(reason)
    }

    /// A back end said something of itself in an answer.
    pub fn heard(&self, instance: &str, path: AnswerPath, said: &SelfReport) {
        let now = self.clock.millis(clock::now());
        let news = self.notices.hear(instance, path, said, now);
        let counted = &self.metrics.backend_notices;
        let count = |kind| counted.with_label_values(&[kind, path.name()]).inc();
        if said.has_unreadable_rest {
            count("unreadable_rest");
        }
        if said.has_unreadable_pace {
            count("unreadable_pace");
        }
        if news.is_longer_rest {
            count("rest");
        }
        if news.is_leaving {
            count("leaving");
        }
        if news.is_other_limit {
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
