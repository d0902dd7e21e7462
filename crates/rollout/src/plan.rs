//! When each route moves to the candidate.
//!
//! Answers that the baseline has begun should end there before it may be stopped, so the routes
//! whose answers last longest move first. A route that has moved sends everything to the
//! candidate though, and a version may turn bad at any time: what is expected to reach it until
//! the deadline stays under the bound of [`Limits`]. Where both don't fit, the bound wins: all
//! routes move later by one limit on the time that is left for answers to end.

use crate::order::RolloutLimits;
use std::collections::BTreeMap;

/// Deviations that are kept free of the bound: arrivals are random, and counts lag.
const RESERVED_DEVIATIONS: f64 = 2.0;
/// Share of requests that come again, of those that a bad version has answered which nobody has
/// noticed yet: one that fails more is noticed before routes move.
const REPEATED_SHARE: f64 = 0.35;
/// Time until callers repeat a request that failed, in milliseconds, at least.
const REPEATED_AFTER_MS: f64 = 100.0;
/// Part of the time until the last node obeys a directive at which the middle one does, at
/// least.
const MIDDLE_NODE_PART: f64 = 0.65;
/// Answers of the candidate that a share is chosen for: of 150, ten in 100 that fail stand out.
const WANTED_ANSWERS: f64 = 150.0;
/// Answers without which there is hardly a verdict: of 30, 30 in 100 that fail stand out.
const LEAST_ANSWERS: f64 = 30.0;
/// Least and largest part of the allowed exposure's share that goes to all routes alike.
const CANARY_PART: (f64, f64) = (0.2, 0.5);
/// Largest part of the slack that does, where few requests come.
const CANARY_SLACK_PART: f64 = 0.5;
/// Largest share of requests that a candidate gets before routes move.
const LARGEST_CANARY: f64 = 0.5;
/// Time that routes with short answers move sooner too where the bound allows it, in
/// milliseconds: a version that is bad under load is then rolled back before the deadline.
const WATCHED_MS: f64 = 1_000.0;
/// Halvings in the search for the limit: to a millisecond in a day.
const SEARCH_STEPS: u32 = 27;

/// A route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteLoad {
    /// Its name.
    pub route: String,
    /// Requests a millisecond, to both versions.
    pub per_ms: f64,
    /// Time that half of its answers take, in milliseconds.
    pub usual_ms: f64,
    /// Time that nearly all of its answers take, in milliseconds.
    pub longest_ms: f64,
    /// When it was moved, in milliseconds since the order.
    pub moved_at_ms: Option<u64>,
}

/// What a plan is made from.
#[derive(Clone, Debug, PartialEq)]
pub struct Situation {
    /// Time since the order, in milliseconds.
    pub elapsed_ms: u64,
    /// Time from the order to the deadline, in milliseconds.
    pub duration_ms: u64,
    /// What a bad version may do.
    pub limits: RolloutLimits,
    /// Requests sent to both versions.
    pub sent_in_all: u64,
    /// Requests sent to the candidate.
    pub sent_to_candidate: u64,
    /// Share that the candidate gets of routes that are not moved.
    pub canary_share: f64,
    /// Routes that have requests.
    pub routes: Vec<RouteLoad>,
    /// Time from a directive until it is known to be in force everywhere, in milliseconds.
    pub spread_ms: f64,
    /// Time from a node's count to the leader's sum, in milliseconds.
    pub report_lag_ms: u64,
    /// Time for the last directive's first answers, in milliseconds, beyond that.
    pub proof_ms: f64,
}

/// What a plan can't give.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortfall {
    /// Answers that the baseline has begun will not all have ended at the deadline.
    LongAnswers,
    /// Moving in time would expose too many requests: the last routes move so late that they
    /// are known to have moved only after the deadline.
    Exposure,
}

/// When each route moves.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Share of all requests for the candidate until routes move, in thousandths.
    pub canary_permille: u16,
    /// The same while it is in doubt whether the candidate is good, and nothing moves.
    pub doubted_permille: u16,
    /// When the routes that are not moved yet move, in milliseconds since the order.
    pub moves_at_ms: BTreeMap<String, u64>,
    /// Requests that the candidate is expected to get until the deadline.
    pub expected_exposure: f64,
    /// Requests that it may get until then, as expected.
    pub bound: f64,
    /// What can't be had, if anything.
    pub shortfall: Option<Shortfall>,
}

impl Plan {
    /// Makes the plan for the rest of a rollout.
    pub fn make(situation: &Situation) -> Self {
        let bound = situation.bound();
        let planned = (bound - RESERVED_DEVIATIONS * bound.sqrt()).max(0.0);
        let time_to_end = situation.time_to_end_ms(planned);
        Self {
            canary_permille: situation.canary_permille(planned),
            doubted_permille: situation.most_permille(),
            moves_at_ms: situation.moves(time_to_end),
            expected_exposure: situation.exposure(time_to_end),
            bound,
            shortfall: situation.shortfall(time_to_end),
        }
    }

    /// Whether all routes are expected to be moved and known to be so by the deadline.
    pub fn keeps_deadline(&self) -> bool {
        self.shortfall != Some(Shortfall::Exposure)
    }
}

impl Situation {
    fn left_ms(&self) -> f64 {
        self.duration_ms.saturating_sub(self.elapsed_ms) as f64
    }

    fn per_ms(&self) -> f64 {
        self.routes.iter().map(|load| load.per_ms).sum()
    }

    fn expected_in_all(&self) -> f64 {
        self.sent_in_all as f64 + self.per_ms() * (self.left_ms() + self.report_lag_ms as f64)
    }

    fn bound(&self) -> f64 {
        self.limits.exposure_share * self.expected_in_all() + self.limits.exposure_slack
    }

    /// Time from a directive until nodes obey it, in milliseconds.
    fn unheard_ms(&self) -> f64 {
        MIDDLE_NODE_PART * (self.spread_ms - self.report_lag_ms as f64).max(0.0)
    }

    /// Time before the deadline at which a route moves.
    fn lead_ms(&self, load: &RouteLoad, time_to_end: f64) -> f64 {
        let needed =
            self.spread_ms + self.proof_ms + load.longest_ms.max(WATCHED_MS).min(time_to_end);
        needed.clamp(0.0, self.left_ms())
    }

    fn moves(&self, time_to_end: f64) -> BTreeMap<String, u64> {
        self.unmoved()
            .map(|load| {
                let lead = self.lead_ms(load, time_to_end) as u64;
                (load.route.clone(), self.duration_ms.saturating_sub(lead))
            })
            .collect()
    }

    fn unmoved(&self) -> impl Iterator<Item = &RouteLoad> {
        self.routes.iter().filter(|load| load.moved_at_ms.is_none())
    }

    /// Requests that the candidate is expected to have got at the deadline.
    fn exposure(&self, time_to_end: f64) -> f64 {
        let already = self.sent_to_candidate as f64;
        let of_routes: f64 = self
            .routes
            .iter()
            .map(|load| load.per_ms * self.exposed_ms(load, time_to_end))
            .sum();
        already + of_routes
    }

    /// Time that all requests of a route go to the candidate from now to the deadline, and
    /// what a share of them before comes to.
    fn exposed_ms(&self, load: &RouteLoad, time_to_end: f64) -> f64 {
        let Some(moved_at) = load.moved_at_ms else {
            let lead = (self.lead_ms(load, time_to_end) - self.unheard_ms()).max(0.0);
            return with_repeats(load, lead) + self.canary_share * (self.left_ms() - lead);
        };
        let uncounted_from = self.elapsed_ms.saturating_sub(self.report_lag_ms) as f64;
        let from = uncounted_from.max(moved_at as f64 + self.unheard_ms());
        with_repeats(load, (self.duration_ms as f64 - from).max(0.0))
    }

    /// Longest time for answers at the baseline to end with which the exposure stays in the
    /// bound; negative where even those that are known at once to have moved are too many.
    fn time_to_end_ms(&self, bound: f64) -> f64 {
        let longest = self
            .unmoved()
            .map(|load| load.longest_ms)
            .fold(WATCHED_MS, f64::max);
        if self.exposure(longest) <= bound {
            return longest;
        }
        let (mut fits, mut exceeds) = (-self.spread_ms - self.proof_ms, longest);
        for _ in 0..SEARCH_STEPS {
            let middle = (fits + exceeds) / 2.0;
            if self.exposure(middle) <= bound {
                fits = middle;
            } else {
                exceeds = middle;
            }
        }
        fits
    }

    fn shortfall(&self, time_to_end: f64) -> Option<Shortfall> {
        if time_to_end < 0.0 {
            return Some(Shortfall::Exposure);
        }
        self.unmoved()
            .any(|load| load.longest_ms > time_to_end)
            .then_some(Shortfall::LongAnswers)
    }

    /// The share that all routes get until they move: what the last move leaves of the bound,
    /// for as many answers as a verdict wants.
    fn canary_permille(&self, bound: f64) -> u16 {
        let expected = self.expected_in_all().max(1.0);
        let last_move_ms = self.spread_ms + self.proof_ms - self.unheard_ms();
        let last_move: f64 = self
            .routes
            .iter()
            .map(|load| load.per_ms * with_repeats(load, last_move_ms))
            .sum();
        let wanted = (bound - last_move).min(WANTED_ANSWERS) / expected;
        let share = self.limits.exposure_share;
        let least = (CANARY_PART.0 * share).max(LEAST_ANSWERS / expected);
        let chosen = wanted.max(least).min(LARGEST_CANARY);
        ((chosen * 1_000.0) as u16).min(self.most_permille())
    }

    fn most_permille(&self) -> u16 {
        let slack = self.limits.exposure_slack / self.expected_in_all().max(1.0);
        let most = (CANARY_PART.1 * self.limits.exposure_share).max(CANARY_SLACK_PART * slack);
        (most.min(LARGEST_CANARY) * 1_000.0) as u16
    }
}

/// Time in which as many requests come as in a time in which a route goes to a candidate that
/// fails some, with those that come again, in milliseconds.
fn with_repeats(load: &RouteLoad, moved_ms: f64) -> f64 {
    let answered_ms = (moved_ms - load.usual_ms - REPEATED_AFTER_MS).max(0.0);
    moved_ms + REPEATED_SHARE * answered_ms
}
