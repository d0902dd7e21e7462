//! One back end, with what this node believes of it.

use super::returns::ReturnPlan;
use crate::notices::Notice;
use crate::ports::{ListedInstance, ReportedLoad};
use crate::rollouts::VersionRole;
use crate::Millis;
use silversail_model::RequestRate;
use std::sync::Arc;

/// How long a load report counts, in milliseconds.
const REPORT_LIFETIME: Millis = 4_000;
/// How long a told pace counts, in milliseconds: it changes many times a second.
const PACE_LIFETIME: Millis = 300;
/// How long the first request after a back end's rest keeps this node's others from it, in
/// milliseconds, while nothing is heard of it: engines that take work begin to answer within it.
const FIRST_AFTER_REST_FOR: Millis = 1_000;

/// A back end with what is believed of it.
#[derive(Clone, Debug)]
pub struct Instance {
    /// What the list says.
    pub listed: Arc<ListedInstance>,
    /// Whether its zone is evacuated.
    pub(super) is_evacuated: bool,
    /// The part of its version.
    pub(super) role: VersionRole,
    /// Until when it gets nothing unless an order names its version.
    pub(super) held_back_until: Millis,
    /// Until when it counts as cold, whatever the list says.
    pub(super) presumed_cold_until: Millis,
    /// When this node last sent to it while it was cold.
    pub(super) sent_cold_at: Option<Millis>,
    /// Requests of this node under way there.
    pub in_flight: u32,
    /// Tokens of those requests.
    pub tokens_in_flight: u64,
    /// The latest load report and when it came.
    pub(super) load: Option<(ReportedLoad, Millis)>,
    /// Requests of this node sent since that report.
    pub(super) sent_since_report: u32,
    pub(super) failures: u32,
    pub(super) suspect_until: Millis,
    pub(super) full_until: Millis,
    /// Until when it counts as gone, as another one answered at its address.
    pub(super) misplaced_until: Millis,
    /// What it said of itself.
    pub(super) notice: Arc<Notice>,
    /// How this node comes back to it after a rest.
    pub(super) return_plan: ReturnPlan,
    /// When this node last sent to it after a rest, before anything was heard of it.
    pub(super) first_sent_after_rest_at: Option<Millis>,
}

impl Instance {
    pub(super) fn new(
        listed: Arc<ListedInstance>,
        notice: Arc<Notice>,
        return_plan: ReturnPlan,
    ) -> Self {
        Self {
            misplaced_until: 0,
            notice,
            return_plan,
            first_sent_after_rest_at: None,
            listed,
            is_evacuated: false,
            role: VersionRole::Ordinary,
            held_back_until: 0,
            presumed_cold_until: 0,
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

    /// Whether it may get new work at all: it is not leaving, by the list or by its own word, its
    /// zone is not evacuated, and its version is not retired. One that rests does, later.
    pub fn takes_work(&self) -> bool {
        let is_leaving = self.listed.draining || self.notice.is_leaving();
        !is_leaving && !self.is_evacuated && self.role != VersionRole::Retired
    }

    /// Whether it said itself that it leaves.
    pub fn said_it_leaves(&self) -> bool {
        self.notice.is_leaving()
    }

    /// Whether it asked for a rest that is not over.
    pub fn is_resting(&self, now: Millis) -> bool {
        self.notice.is_resting(now)
    }

    /// Milliseconds until its rest is over; 0 where it is.
    pub fn rest_left(&self, now: Millis) -> Millis {
        self.notice.rest_until().saturating_sub(now)
    }

    /// When it may be chosen again by what it said of its load; none where it may be now.
    /// After a rest one request goes first: if it is turned away, the others were spared.
    pub fn back_at(&self, now: Millis) -> Option<Millis> {
        let rest_until = self.notice.rest_until().max(self.first_awaited_until(now));
        let permit_at = self.notice.permit_at(now).unwrap_or(0);
        let until = rest_until.max(self.full_until).max(permit_at);
        Some(until).filter(|until| now < *until)
    }

    /// Whether it takes only so many requests from all nodes together.
    pub fn is_limited(&self) -> bool {
        self.notice.is_limited()
    }

    /// How many requests it takes from all nodes together; none where it has no limit.
    pub fn limit(&self) -> Option<RequestRate> {
        self.notice.limit()
    }

    /// Milliseconds until its rest is over and this node has a permit for it; 0 where both is so.
    pub fn wait_left(&self, now: Millis) -> Millis {
        let permit_at = self.notice.permit_at(now).unwrap_or(0);
        self.rest_left(now).max(permit_at.saturating_sub(now))
    }

    /// A request of this node was decided that goes there.
    pub(crate) fn choose_permit(&self, now: Millis) {
        self.notice.reserve_permit(now);
    }

    /// Whether it would get a request if this node had a permit for it.
    pub(crate) fn lacks_only_a_permit(&self, now: Millis) -> bool {
        self.is_limited()
            && self.takes_work()
            && !self.is_passed_over(now)
            && !self.is_resting(now)
            && self.notice.permit_at(now).is_some()
    }

    /// A request would rather have gone there.
    pub(crate) fn prefer(&self, now: Millis) {
        self.notice.prefer(now);
    }

    /// When the `place`-th request of this node that waits for it gets a permit.
    pub(crate) fn permit_expected_at(&self, place: u32, now: Millis) -> Option<Millis> {
        self.notice.permit_expected_at(place, now)
    }

    /// Whether its rest is over and this node comes back to it a little later, as others do now:
    /// it may be chosen where no other can.
    pub fn is_return_delayed(&self, now: Millis) -> bool {
        let delay = self.return_plan.delay(self.notice.rest_ms());
        let returns_at = self.notice.rest_until().saturating_add(delay);
        self.notice.is_unproven(now) && now < returns_at
    }

    /// Until when others wait for the answer to the first request after a rest; 0 where none do.
    fn first_awaited_until(&self, now: Millis) -> Millis {
        let first_at = self.first_sent_after_rest_at;
        let awaits = self.return_plan.first_alone && self.notice.is_unproven(now);
        let awaited = first_at.filter(|_| awaits);
        awaited.map_or(0, |at| at + FIRST_AFTER_REST_FOR)
    }

    /// The part of its version.
    pub fn role(&self) -> VersionRole {
        self.role
    }

    /// Whether the first request after its rest is under way and nothing was heard of it.
    pub fn is_first_awaited(&self, now: Millis) -> bool {
        now < self.first_awaited_until(now)
    }

    /// Whether it may be chosen at `now`.
    pub fn is_usable(&self, now: Millis) -> bool {
        self.is_sound(now) && !self.is_held_back(now) && !self.is_return_delayed(now)
    }

    /// Whether it may be chosen at `now` where no other can.
    pub fn is_usable_at_last(&self, now: Millis) -> bool {
        self.is_sound(now) && (self.is_held_back(now) || self.is_return_delayed(now))
    }

    fn is_sound(&self, now: Millis) -> bool {
        self.takes_work() && !self.is_passed_over(now) && self.back_at(now).is_none()
    }

    /// Whether its version is new and no order names it yet.
    fn is_held_back(&self, now: Millis) -> bool {
        self.role == VersionRole::Ordinary && now < self.held_back_until
    }

    /// Whether it bears few requests only, by what is known.
    pub fn is_cold(&self, now: Millis) -> bool {
        self.listed.cold || now < self.presumed_cold_until
    }

    /// Whether it failed lately and is passed over.
    pub fn is_suspect(&self, now: Millis) -> bool {
        now < self.suspect_until
    }

    /// Whether it failed lately, or another one answered at its address.
    pub fn is_passed_over(&self, now: Millis) -> bool {
        self.is_suspect(now) || now < self.misplaced_until
    }

    /// Whether it may be tried where all failed: it failed lately itself, but did not ask to be
    /// left alone and is not gone.
    pub fn may_be_tried_again(&self, now: Millis) -> bool {
        self.takes_work()
            && self.is_suspect(now)
            && now >= self.misplaced_until
            && self.back_at(now).is_none()
    }

    /// The latest report with its age; none when it is too old to count.
    pub fn report(&self, now: Millis) -> Option<(ReportedLoad, Millis)> {
        let (load, at) = self.load?;
        let age = now.saturating_sub(at);
        (age < REPORT_LIFETIME).then_some((load, age))
    }

    /// How much longer than usual work takes there, as a share of the usual time; 0 where that was
    /// not told just now.
    pub fn slowness(&self, now: Millis) -> f64 {
        let told = self.report(now).filter(|(_, age)| *age <= PACE_LIFETIME);
        told.map_or(0.0, |(load, _)| load.pace.excess_over_normal())
    }

    /// Requests running and waiting there: what it reported and what this node
    /// sent since, or at least what this node has under way.
    pub fn expected_load(&self, now: Millis) -> u32 {
        let reported = self
            .report(now)
            .map_or(0, |(load, _)| load.running + load.waiting);
        (reported + self.sent_since_report).max(self.in_flight)
    }

    /// Expected load as a share of the slots.
    pub fn utilization(&self, now: Millis) -> f64 {
        f64::from(self.expected_load(now)) / f64::from(self.listed.slots.max(1))
    }
}
