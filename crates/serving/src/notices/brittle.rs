//! Back ends that fail if they have to reject more than a number of requests per second, from all
//! nodes together.
//!
//! Each node keeps to its share of that number: after a rejection it sends nothing for the time in
//! which the others may have used theirs, and then one request first.

use super::{AnswerContext, BackendNotice, BackendNotices};
use crate::ports::SelfReport;
use crate::Millis;
use silversail_decisions::Event;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::atomic::Ordering;

/// Share of the number of rejections that the nodes use together; the rest covers requests that are
/// on their way when the first one is rejected.
const USED_SHARE: f64 = 0.5;
/// Maximum back-off after a rejection, in milliseconds.
const MAX_BACKOFF: Millis = 1_000;

impl BackendNotices {
    /// Sets the name of this node and the number of nodes that send to the back ends.
    pub fn set_senders(&self, local_node: &str, senders: usize) {
        let mut hasher = DefaultHasher::new();
        local_node.hash(&mut hasher);
        self.node_hash.store(hasher.finish(), Ordering::Release);
        self.senders.store(senders, Ordering::Release);
    }

    /// Records the number of rejections that a back end bears, which each answer states while it
    /// applies; a success without it ends it. Returns whether it changed.
    pub(super) fn record_brittleness(
        &self,
        id: &str,
        notice: &BackendNotice,
        answer: AnswerContext,
        report: &SelfReport,
    ) -> bool {
        let advertised = report.max_rejections_per_second.map(|number| number.max(1));
        let may_end = answer.is_success && !report.has_unreadable_max_rejections;
        if advertised.is_none() && !may_end {
            return false;
        }
        let after = advertised.unwrap_or_default();
        let before = notice.max_rejections.swap(after, Ordering::AcqRel);
        if before == after {
            return false;
        }
        self.log.record(Event::BrittlenessChanged {
            backend: id.to_owned(),
            max_rejections_per_second: advertised,
        });
        true
    }

    /// Back-off of this node after a rejection by a brittle back end, in milliseconds; none for
    /// other answers.
    pub(super) fn backoff_of_brittle(&self, report: &SelfReport, now: Millis) -> Option<Millis> {
        let max_rejections = report
            .max_rejections_per_second
            .filter(|_| report.is_full)?;
        let senders = self.senders.load(Ordering::Acquire).max(1) as f64;
        let per_second = f64::from(max_rejections.max(1)) * USED_SHARE / senders;
        let backoff = (1_000.0 / per_second).ceil() as Millis;
        let backoff = backoff.min(MAX_BACKOFF);
        // Nodes that were rejected at the same time must not return at the same time.
        let mut hasher = DefaultHasher::new();
        (self.node_hash.load(Ordering::Acquire), now).hash(&mut hasher);
        Some(backoff + hasher.finish() % backoff)
    }
}
