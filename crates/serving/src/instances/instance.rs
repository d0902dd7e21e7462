//! One back end with its load and health as this node sees it.

use super::resume::ResumePlan;
use crate::notices::BackendNotice;
use crate::ports::{BackendListEntry, ReportedLoad};
use crate::rollouts::VersionRole;
use crate::Millis;
use silversail_model::RequestRate;
use std::sync::Arc;

/// How long a load report is valid, in milliseconds.
const REPORT_LIFETIME: Millis = 4_000;
/// How long a reported processing time is valid, in milliseconds; it changes many times per second.
const PROCESSING_TIME_LIFETIME: Millis = 300;
/// How long the probe after a back-off keeps other requests of this node away while it is
/// unanswered, in milliseconds. Engines that accept work begin to answer within it.
const PROBE_TIMEOUT: Millis = 1_000;

/// How long the reported occupancy of a brittle back end counts, in milliseconds.
const OCCUPANCY_LIFETIME: Millis = 250;
/// Time after which a brittle back end that has this node's share of requests is looked at again, in
/// milliseconds.
const SHARE_CHECK_INTERVAL: Millis = 100;

/// A listed back end with its load and health.
#[derive(Clone, Debug)]
pub struct Instance {
    /// The entry in the list.
    pub listed: Arc<BackendListEntry>,
    /// Whether its zone is evacuated.
    pub(super) is_evacuated: bool,
    /// Role of its version in a rollout.
    pub(super) role: VersionRole,
    /// Until when it gets no requests unless a rollout order names its version.
    pub(super) held_back_until: Millis,
    /// Until when it counts as cold even if the list does not say so.
    pub(super) assumed_cold_until: Millis,
    /// When this node last sent a request to it while it was cold.
    pub(super) sent_cold_at: Option<Millis>,
    /// Number of this node's requests in flight there.
    pub in_flight: u32,
    /// Tokens of those requests.
    pub tokens_in_flight: u64,
    /// The latest load report with its arrival time.
    pub(super) load: Option<(ReportedLoad, Millis)>,
    /// Number of this node's requests sent since that report.
    pub(super) sent_since_report: u32,
    pub(super) failures: u32,
    pub(super) suspect_until: Millis,
    pub(super) full_until: Millis,
    /// Until when it counts as removed because another one answered at its address.
    pub(super) address_mismatch_until: Millis,
    /// Its self-reports.
    pub(super) notice: Arc<BackendNotice>,
    /// How this node resumes sending to it after a back-off.
    pub(super) resume_plan: ResumePlan,
    /// When this node sent the probe after a back-off; none if none was sent.
    pub(super) probe_sent_at: Option<Millis>,
    /// Number of nodes that send requests.
    pub(super) senders: u32,
    /// Whether this node may send to it while it is brittle.
    pub(super) is_brittle_sender: bool,
}

impl Instance {
    pub(super) fn new(
        listed: Arc<BackendListEntry>,
        notice: Arc<BackendNotice>,
        resume_plan: ResumePlan,
    ) -> Self {
        Self {
            address_mismatch_until: 0,
            notice,
            resume_plan,
            probe_sent_at: None,
            senders: 1,
            is_brittle_sender: true,
            listed,
            is_evacuated: false,
            role: VersionRole::Ordinary,
            held_back_until: 0,
            assumed_cold_until: 0,
            sent_cold_at: None,
            in_flight: 0,
            tokens_in_flight: 0,
            load: None,
            sent_since_report: 0,
            failures: 0,
            suspect_until: 0,
            full_until: 0,
        }
    }

    /// Whether it may get new work in principle: it is not shutting down, by the list or its own
    /// report, its zone is not evacuated and its version is not retired. A back end in back-off
    /// may, later.
    pub fn accepts_new_work(&self) -> bool {
        let is_draining = self.listed.draining || self.notice.is_draining();
        !is_draining && !self.is_evacuated && self.role != VersionRole::Retired
    }

    /// Whether it accepts new work and has not ended, as far as is known at `now`.
    pub fn may_get_new_work(&self, now: Millis) -> bool {
        self.accepts_new_work() && !self.has_address_mismatch(now)
    }

    /// Whether it has reported that it shuts down.
    pub fn announced_shutdown(&self) -> bool {
        self.notice.is_draining()
    }

    /// Whether it has requested a back-off that has not ended.
    pub fn is_in_backoff(&self, now: Millis) -> bool {
        self.notice.is_in_backoff(now)
    }

    /// Milliseconds until its back-off ends; 0 if it is not in back-off.
    pub fn backoff_ms_left(&self, now: Millis) -> Millis {
        self.notice.backoff_until().saturating_sub(now)
    }

    /// When it can be selected again, by its own reports; none if it can be now. After a back-off
    /// a probe goes first, so that a rejection costs one request only.
    pub fn available_at(&self, now: Millis) -> Option<Millis> {
        let backoff_until = self
            .notice
            .backoff_until()
            .max(self.probe_pending_until(now));
        let permit_at = self.notice.permit_at(now).unwrap_or(0);
        let share_at = match self.has_full_share(now) {
            true => now + SHARE_CHECK_INTERVAL,
            false => 0,
        };
        let until = backoff_until
            .max(self.full_until)
            .max(permit_at)
            .max(share_at);
        Some(until).filter(|until| now < *until)
    }

    /// Whether it limits the rate of requests from all nodes together.
    pub fn is_limited(&self) -> bool {
        self.notice.is_limited()
    }

    /// Its limit on the rate of requests from all nodes together.
    pub fn limit(&self) -> Option<RequestRate> {
        self.notice.limit()
    }

    /// Milliseconds until its back-off has ended and this node has a permit for it; 0 if both hold.
    pub fn wait_ms(&self, now: Millis) -> Millis {
        let permit_at = self.notice.permit_at(now).unwrap_or(0);
        self.backoff_ms_left(now).max(permit_at.saturating_sub(now))
    }

    /// Reserves a permit for a request that will be sent there.
    pub(crate) fn reserve_permit(&self, now: Millis) {
        self.notice.reserve_permit(now);
    }

    /// Whether a permit of this node is all that is missing to send a request there.
    pub(crate) fn needs_only_permit(&self, now: Millis) -> bool {
        self.is_limited()
            && self.accepts_new_work()
            && !self.is_ejected(now)
            && !self.is_in_backoff(now)
            && self.notice.permit_at(now).is_some()
    }

    /// Records that a request would have gone there with a permit.
    pub(crate) fn request_permit(&self, now: Millis) {
        self.notice.request_permit(now);
    }

    /// When the `place`-th waiting request of this node is expected to get a permit.
    pub(crate) fn permit_expected_at(&self, place: u32, now: Millis) -> Option<Millis> {
        self.notice.permit_expected_at(place, now)
    }

    /// Whether its back-off has ended but this node still delays its resumption, to spread the
    /// nodes. It may then be used as a last resort.
    pub fn is_return_delayed(&self, now: Millis) -> bool {
        let delay = self.resume_plan.delay(self.notice.backoff_ms());
        let returns_at = self.notice.backoff_until().saturating_add(delay);
        self.notice.is_unproven(now) && now < returns_at
    }

    /// Until when other requests wait for the answer to the probe; 0 if no probe is pending.
    fn probe_pending_until(&self, now: Millis) -> Millis {
        let sent_at = self.probe_sent_at;
        let probes = self.resume_plan.first_alone && self.notice.is_unproven(now);
        let pending_since = sent_at.filter(|_| probes);
        pending_since.map_or(0, |at| at + PROBE_TIMEOUT)
    }

    /// The role of its version in a rollout.
    pub fn role(&self) -> VersionRole {
        self.role
    }

    /// Whether a probe after a back-off is unanswered.
    pub fn is_probe_pending(&self, now: Millis) -> bool {
        now < self.probe_pending_until(now)
    }

    /// Whether it can be selected at `now`.
    pub fn is_usable(&self, now: Millis) -> bool {
        self.is_healthy(now) && !self.is_held_back(now) && !self.is_return_delayed(now)
    }

    /// Whether it can be selected at `now` if no other back end can.
    pub fn is_usable_as_last_resort(&self, now: Millis) -> bool {
        self.is_healthy(now) && (self.is_held_back(now) || self.is_return_delayed(now))
    }

    /// Whether it is brittle and either has this node's share of requests or has just reported that
    /// all its slots are in use. Nodes that keep to their shares of many slots never fill it.
    pub(crate) fn has_full_share(&self, now: Millis) -> bool {
        if !self.notice.is_brittle() {
            return false;
        }
        if self.is_left_to_other_nodes(now) {
            return true;
        }
        let share = (self.listed.slots / self.senders).max(1);
        let recent = self
            .report(now)
            .filter(|(_, age)| *age <= OCCUPANCY_LIFETIME);
        let is_occupied = recent.is_some() && self.expected_load(now) >= self.listed.slots.max(1);
        self.in_flight >= share || is_occupied
    }

    /// Whether it is brittle and other nodes are chosen to send to it.
    pub(crate) fn is_left_to_other_nodes(&self, now: Millis) -> bool {
        let is_left = self.notice.is_brittle() && !self.is_brittle_sender;
        is_left && !self.notice.is_brittleness_due(now)
    }

    fn is_healthy(&self, now: Millis) -> bool {
        self.accepts_new_work() && !self.is_ejected(now) && self.available_at(now).is_none()
    }

    /// Whether its version is new and no rollout order names it yet.
    fn is_held_back(&self, now: Millis) -> bool {
        self.role == VersionRole::Ordinary && now < self.held_back_until
    }

    /// Whether it is cold, by the list or by assumption.
    pub fn is_cold(&self, now: Millis) -> bool {
        self.listed.cold || now < self.assumed_cold_until
    }

    /// Whether it is ejected because of recent failures.
    pub fn is_suspect(&self, now: Millis) -> bool {
        now < self.suspect_until
    }

    /// Whether it is ejected because of recent failures, or because another one answered at its
    /// address.
    pub fn is_ejected(&self, now: Millis) -> bool {
        self.is_suspect(now) || self.has_address_mismatch(now)
    }

    /// Whether another back end answered at its address: it has ended.
    pub fn has_address_mismatch(&self, now: Millis) -> bool {
        now < self.address_mismatch_until
    }

    /// Whether it may be retried when all back ends have failed: it is ejected only because of
    /// its failures, and did not ask to be left alone.
    pub fn may_be_retried(&self, now: Millis) -> bool {
        self.accepts_new_work()
            && self.is_suspect(now)
            && !self.has_address_mismatch(now)
            && self.available_at(now).is_none()
    }

    /// The latest load report with its age in milliseconds; none if it has expired.
    pub fn report(&self, now: Millis) -> Option<(ReportedLoad, Millis)> {
        let (load, at) = self.load?;
        let age = now.saturating_sub(at);
        (age < REPORT_LIFETIME).then_some((load, age))
    }

    /// By how much work takes longer there than normal, relative to the normal duration; 0
    /// without a recent report.
    pub fn slowness(&self, now: Millis) -> f64 {
        let recent = self
            .report(now)
            .filter(|(_, age)| *age <= PROCESSING_TIME_LIFETIME);
        recent.map_or(0.0, |(load, _)| load.processing_time.excess_over_normal())
    }

    /// Estimated number of requests running and waiting there: the reported number plus requests
    /// of this node sent since, but at least this node's requests in flight.
    pub fn expected_load(&self, now: Millis) -> u32 {
        let reported = self
            .report(now)
            .map_or(0, |(load, _)| load.running + load.waiting);
        (reported + self.sent_since_report).max(self.in_flight)
    }

    /// Expected load relative to the number of slots.
    pub fn utilization(&self, now: Millis) -> f64 {
        f64::from(self.expected_load(now)) / f64::from(self.listed.slots.max(1))
    }
}
