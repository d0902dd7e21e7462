//! Plans when each route moves to the candidate.
//!
//! Responses that the baseline has started should finish before it is stopped, so the routes with
//! the longest responses move first. A moved route sends all its requests to the candidate, which
//! may turn out to be bad at any time, so the expected exposure until the deadline stays below the
//! bound of [`RolloutLimits`]. If both goals conflict, the bound takes precedence: one limit on the
//! time for responses to finish delays all moves.

use crate::order::RolloutLimits;
use std::collections::BTreeMap;

/// Standard deviations reserved below the bound for random arrivals and delayed counts.
const RESERVED_STANDARD_DEVIATIONS: f64 = 2.0;
/// Assumed share of requests that are retried, of those answered by a bad version that is not yet
/// detected. A version that fails more often is detected before routes move.
const RETRY_SHARE: f64 = 0.35;
/// Minimum time until callers retry a failed request, in milliseconds.
const RETRY_DELAY_MS: f64 = 100.0;
/// Time until the median node applies a directive, as a fraction of the time until the last one
/// does.
const MEDIAN_NODE_FRACTION: f64 = 0.65;
/// Number of candidate responses that the canary share aims for: enough to detect a failure rate of
/// 10 %.
const TARGET_RESPONSES: f64 = 150.0;
/// Minimum number of candidate responses for a verdict: enough to detect a failure rate of 30 %.
const MIN_RESPONSES: f64 = 30.0;
/// Minimum and maximum canary share, as fractions of the allowed exposure share.
const CANARY_FRACTION_BOUNDS: (f64, f64) = (0.2, 0.5);
/// Maximum fraction of the exposure slack for the canary share, where there are few requests.
const MAX_CANARY_SLACK_FRACTION: f64 = 0.5;
/// Maximum canary share of requests before routes move.
const MAX_CANARY_SHARE: f64 = 0.5;
/// Minimum time for which moved routes are observed if the bound allows it, in milliseconds, so
/// that a version that fails under load is rolled back before the deadline.
const MIN_OBSERVED_MS: f64 = 1_000.0;
/// Steps of the binary search for the time limit: a precision of one millisecond in a day.
const SEARCH_STEPS: u32 = 27;

/// Request rate and response times of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteLoad {
    /// Name of the route.
    pub route: String,
    /// Request rate of both versions together, in requests per millisecond.
    pub per_ms: f64,
    /// Median response time, in milliseconds.
    pub median_ms: f64,
    /// 99th percentile of the response time, in milliseconds.
    pub p99_ms: f64,
    /// Time at which the route was moved, in milliseconds since the order; `None` if it is not.
    pub moved_at_ms: Option<u64>,
}

/// Input of [`Plan::make`].
#[derive(Clone, Debug, PartialEq)]
pub struct PlanInput {
    /// Time since the order, in milliseconds.
    pub elapsed_ms: u64,
    /// Time from the order to the deadline, in milliseconds.
    pub duration_ms: u64,
    /// Limits on the exposure to the candidate.
    pub limits: RolloutLimits,
    /// Number of requests sent to both versions.
    pub total_sent: u64,
    /// Number of requests sent to the candidate.
    pub sent_to_candidate: u64,
    /// Share of the requests of unmoved routes that the candidate gets, from 0 to 1.
    pub canary_share: f64,
    /// Loads of all routes that have requests.
    pub routes: Vec<RouteLoad>,
    /// Time until a directive is known to be applied everywhere, in milliseconds.
    pub spread_ms: f64,
    /// Delay from a count on a node to the sum on the leader, in milliseconds.
    pub report_lag_ms: u64,
    /// Additional time until responses after the last directive prove the candidate, in
    /// milliseconds.
    pub proof_ms: f64,
}

/// Goal that a plan cannot meet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlanShortfall {
    /// Some responses of the baseline will not have finished by the deadline.
    LongResponses,
    /// Moving in time would exceed the exposure bound: the last moves are confirmed only after the
    /// deadline.
    Exposure,
}

/// Plan of the canary share and of the move of each route.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Share of all requests that goes to the candidate until routes move, in thousandths.
    pub canary_permille: u16,
    /// The same share while the candidate is suspicious and no route moves.
    pub doubted_permille: u16,
    /// Time at which each unmoved route moves, in milliseconds since the order.
    pub moves_at_ms: BTreeMap<String, u64>,
    /// Expected number of requests to the candidate until the deadline.
    pub expected_exposure: f64,
    /// Expected limit on the number of requests to the candidate until the deadline.
    pub bound: f64,
    /// Goal that the plan cannot meet, if any.
    pub shortfall: Option<PlanShortfall>,
}

impl Plan {
    /// Computes the plan for the rest of a rollout.
    pub fn make(input: &PlanInput) -> Self {
        let bound = input.bound();
        let planned_exposure = (bound - RESERVED_STANDARD_DEVIATIONS * bound.sqrt()).max(0.0);
        let time_to_end = input.time_to_end_ms(planned_exposure);
        Self {
            canary_permille: input.canary_permille(planned_exposure),
            doubted_permille: input.max_canary_permille(),
            moves_at_ms: input.moves(time_to_end),
            expected_exposure: input.exposure(time_to_end),
            bound,
            shortfall: input.shortfall(time_to_end),
        }
    }

    /// Whether the moves of all routes are expected to be confirmed by the deadline.
    pub fn keeps_deadline(&self) -> bool {
        self.shortfall != Some(PlanShortfall::Exposure)
    }
}

impl PlanInput {
    fn remaining_ms(&self) -> f64 {
        self.duration_ms.saturating_sub(self.elapsed_ms) as f64
    }

    fn per_ms(&self) -> f64 {
        self.routes.iter().map(|load| load.per_ms).sum()
    }

    fn expected_total(&self) -> f64 {
        self.total_sent as f64 + self.per_ms() * (self.remaining_ms() + self.report_lag_ms as f64)
    }

    fn bound(&self) -> f64 {
        self.limits.exposure_share * self.expected_total() + self.limits.exposure_slack
    }

    /// Time until the median node applies a directive, in milliseconds.
    fn propagation_ms(&self) -> f64 {
        MEDIAN_NODE_FRACTION * (self.spread_ms - self.report_lag_ms as f64).max(0.0)
    }

    /// Time before the deadline at which a route moves, in milliseconds.
    fn lead_ms(&self, load: &RouteLoad, time_to_end: f64) -> f64 {
        let required_ms =
            self.spread_ms + self.proof_ms + load.p99_ms.max(MIN_OBSERVED_MS).min(time_to_end);
        required_ms.clamp(0.0, self.remaining_ms())
    }

    fn moves(&self, time_to_end: f64) -> BTreeMap<String, u64> {
        self.unmoved()
            .map(|load| {
                let lead_ms = self.lead_ms(load, time_to_end) as u64;
                (load.route.clone(), self.duration_ms.saturating_sub(lead_ms))
            })
            .collect()
    }

    fn unmoved(&self) -> impl Iterator<Item = &RouteLoad> {
        self.routes.iter().filter(|load| load.moved_at_ms.is_none())
    }

    /// Expected number of requests to the candidate until the deadline.
    fn exposure(&self, time_to_end: f64) -> f64 {
        let sent_so_far = self.sent_to_candidate as f64;
        let expected_of_routes: f64 = self
            .routes
            .iter()
            .map(|load| load.per_ms * self.exposed_ms(load, time_to_end))
            .sum();
        sent_so_far + expected_of_routes
    }

    /// Time for which all requests of a route go to the candidate until the deadline, in
    /// milliseconds, plus the equivalent of the canary share before.
    fn exposed_ms(&self, load: &RouteLoad, time_to_end: f64) -> f64 {
        let Some(moved_at) = load.moved_at_ms else {
            let lead_ms = (self.lead_ms(load, time_to_end) - self.propagation_ms()).max(0.0);
            return with_retries_ms(load, lead_ms)
                + self.canary_share * (self.remaining_ms() - lead_ms);
        };
        let uncounted_from = self.elapsed_ms.saturating_sub(self.report_lag_ms) as f64;
        let from = uncounted_from.max(moved_at as f64 + self.propagation_ms());
        with_retries_ms(load, (self.duration_ms as f64 - from).max(0.0))
    }

    /// Longest time for responses of the baseline to finish that keeps the exposure within the
    /// bound, in milliseconds; negative if even the confirmation of the moves exceeds it.
    fn time_to_end_ms(&self, bound: f64) -> f64 {
        let longest_ms = self
            .unmoved()
            .map(|load| load.p99_ms)
            .fold(MIN_OBSERVED_MS, f64::max);
        if self.exposure(longest_ms) <= bound {
            return longest_ms;
        }
        let (mut fitting_ms, mut exceeding_ms) = (-self.spread_ms - self.proof_ms, longest_ms);
        for _ in 0..SEARCH_STEPS {
            let middle_ms = (fitting_ms + exceeding_ms) / 2.0;
            if self.exposure(middle_ms) <= bound {
                fitting_ms = middle_ms;
            } else {
                exceeding_ms = middle_ms;
            }
        }
        fitting_ms
    }

    fn shortfall(&self, time_to_end: f64) -> Option<PlanShortfall> {
        if time_to_end < 0.0 {
            return Some(PlanShortfall::Exposure);
        }
        self.unmoved()
            .any(|load| load.p99_ms > time_to_end)
            .then_some(PlanShortfall::LongResponses)
    }

    /// Canary share of all routes until they move, in thousandths: enough for the target number of
    /// responses, within the part of the bound that the last move leaves.
    fn canary_permille(&self, bound: f64) -> u16 {
        let expected = self.expected_total().max(1.0);
        let last_move_ms = self.spread_ms + self.proof_ms - self.propagation_ms();
        let last_move: f64 = self
            .routes
            .iter()
            .map(|load| load.per_ms * with_retries_ms(load, last_move_ms))
            .sum();
        let target_share = (bound - last_move).min(TARGET_RESPONSES) / expected;
        let share = self.limits.exposure_share;
        let minimum_share = (CANARY_FRACTION_BOUNDS.0 * share).max(MIN_RESPONSES / expected);
        let canary_share = target_share.max(minimum_share).min(MAX_CANARY_SHARE);
        ((canary_share * 1_000.0) as u16).min(self.max_canary_permille())
    }

    fn max_canary_permille(&self) -> u16 {
        let slack = self.limits.exposure_slack / self.expected_total().max(1.0);
        let maximum_share = (CANARY_FRACTION_BOUNDS.1 * self.limits.exposure_share)
            .max(MAX_CANARY_SLACK_FRACTION * slack);
        (maximum_share.min(MAX_CANARY_SHARE) * 1_000.0) as u16
    }
}

/// Returns `moved_ms` extended by the equivalent of the retries of failed requests, in
/// milliseconds.
fn with_retries_ms(load: &RouteLoad, moved_ms: f64) -> f64 {
    let retried_ms = (moved_ms - load.median_ms - RETRY_DELAY_MS).max(0.0);
    moved_ms + RETRY_SHARE * retried_ms
}
