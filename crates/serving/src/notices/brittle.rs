//! Back ends that fail if they have to reject more than a number of requests per second, from all
//! nodes together.
//!
//! Each node keeps to its share of that number: after a rejection it sends nothing for the time in
//! which the others may have used theirs, and then one request first. A back end with fewer slots
//! than there are nodes gets requests from some of them only; the others ask rarely whether it
//! still is brittle.

use super::{AnswerContext, BackendNotice, BackendNotices};
use crate::ports::SelfReport;
use crate::Millis;
use silversail_decisions::Event;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::atomic::Ordering;

/// Share of the number of rejections that the nodes use together; the rest covers requests that are
/// on their way when the first one is rejected.
const USED_SHARE: f64 = 0.5;
/// Share of the number of rejections that may be caused by nodes that ask whether the back end still
/// is brittle.
const ASKING_SHARE: f64 = 0.1;
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

    /// Whether any back end has been brittle since the process started.
    pub(crate) fn has_brittle(&self) -> bool {
        self.has_brittle.load(Ordering::Acquire)
    }

    /// Records the number of rejections that a back end bears, which each answer states while it
    /// applies; a success without it ends it. Returns whether it changed.
    pub(super) fn record_brittleness(
        &self,
        id: &str,
        notice: &BackendNotice,
        answer: AnswerContext,
        report: &SelfReport,
        now: Millis,
    ) -> bool {
        let advertised = report.max_rejections_per_second.map(|number| number.max(1));
        let may_end = answer.is_success && !report.has_unreadable_max_rejections;
        if advertised.is_none() && !may_end {
            return false;
        }
        let after = advertised.unwrap_or_default();
        let ask_at = now.saturating_add(self.asking_interval(after, now));
        notice.ask_brittleness_at.store(ask_at, Ordering::Release);
        let before = notice.max_rejections.swap(after, Ordering::AcqRel);
        if before == after {
            return false;
        }
        self.has_brittle.store(true, Ordering::Release);
        self.log.record(Event::BrittlenessChanged {
            backend: id.to_owned(),
            max_rejections_per_second: advertised,
        });
        true
    }

    /// Records that a request or call is sent to a back end, which its answer may show not to be brittle any
    /// more. The next question waits for its interval, also if this answer is lost.
    pub(crate) fn record_question(&self, notice: &BackendNotice, now: Millis) {
        let max_rejections = notice.max_rejections.load(Ordering::Acquire);
        if max_rejections == 0 {
            return;
        }
        let ask_at = now.saturating_add(self.asking_interval(max_rejections, now));
        notice.ask_brittleness_at.store(ask_at, Ordering::Release);
    }

    /// Back-off of this node after a rejection by a brittle back end, in milliseconds; none for
    /// other answers.
    pub(super) fn backoff_of_brittle(&self, report: &SelfReport, now: Millis) -> Option<Millis> {
        let max_rejections = report
            .max_rejections_per_second
            .filter(|_| report.is_full)?;
        let backoff = self.interval_of_share(max_rejections, USED_SHARE);
        let backoff = backoff.min(MAX_BACKOFF);
        // Nodes that were rejected at the same time must not return at the same time.
        Some(backoff + self.jitter(now) % backoff)
    }

    /// Time after which a node that does not send to a brittle back end asks whether it still is, in
    /// milliseconds.
    fn asking_interval(&self, max_rejections: u32, now: Millis) -> Millis {
        let interval = self.interval_of_share(max_rejections, ASKING_SHARE);
        interval + self.jitter(now) % interval
    }

    /// Interval between requests of one node if all nodes together send `share` of a number a
    /// second, in milliseconds.
    fn interval_of_share(&self, per_second: u32, share: f64) -> Millis {
        let senders = self.senders.load(Ordering::Acquire).max(1) as f64;
        let per_second = f64::from(per_second.max(1)) * share / senders;
        (1_000.0 / per_second).ceil() as Millis
    }

    fn jitter(&self, now: Millis) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.node_hash.load(Ordering::Acquire), now).hash(&mut hasher);
        hasher.finish()
    }
}
