//! What a leader sees of a rollout while it goes on: rates, and how long directives take.

use crate::controller::RolloutProgress;
use crate::evidence::Evidence;
use crate::history::History;
use crate::order::Directive;
use crate::plan::RouteLoad;
use std::collections::BTreeMap;

/// Time from a directive until it is known to be in force everywhere, in milliseconds, before
/// one was measured: a second to spread, two heartbeats to tell.
const PRESUMED_SPREAD_MS: f64 = 1_800.0;
/// Time from a node's count to the leader's sum, in milliseconds: two heartbeats, as nodes tell
/// relays and relays the leader.
const PRESUMED_REPORT_LAG_MS: u64 = 800;
/// Bounds of what is measured, in milliseconds: an answer that comes at once is of an older
/// directive, and one node that is slow doesn't make the plan of all.
const SPREAD_BOUNDS_MS: (f64, f64) = (300.0, 2_500.0);
/// Answers after the last move that are a proof, where none is bad.
const PROOF_ANSWERS: f64 = 16.0;
/// Shortest time in which they come, in milliseconds: the leader looks each 100.
const LEAST_PROOF_MS: f64 = 200.0;
/// Share of the requests that a route has whose answers the proof waits for.
const PROOF_ROUTE_SHARE: f64 = 0.25;
/// Requests a millisecond from which the answers since the last move are judged alone; of fewer
/// it takes seconds until enough have come.
pub(crate) const JUDGED_ALONE_PER_MS: f64 = 0.02;
/// Time in which a leader sees the rates before it plans by them, in milliseconds: totals tell
/// them too low where processes began to count anew, and moves planned so break the bound.
const OBSERVED_MS: u64 = 1_500;
/// Period over which rates are taken, in milliseconds.
const RATE_PERIOD_MS: u64 = 3_000;
/// Shortest time over which a rate is taken, in milliseconds.
const MIN_RATE_MS: u64 = 500;

/// Counts of the last seconds and what directives took to be in force.
#[derive(Clone, Debug)]
pub(crate) struct Watch {
    history: History,
    /// When each route was moved, in milliseconds since the order.
    moved_at_ms: BTreeMap<String, u64>,
    /// When the newest directive was decided, in milliseconds since the order.
    directed_at_ms: u64,
    /// Whether the newest directive is not in force everywhere yet.
    is_spreading: bool,
    spread_ms: Option<f64>,
    report_lag_ms: u64,
}

impl Watch {
    /// Of a leader that takes over with a committed directive; when that was decided is not
    /// known, so it counts as new.
    pub(crate) fn new(directive: &Directive, elapsed_ms: u64) -> Self {
        let routes = directive.moved_routes.iter();
        Self {
            history: History::default(),
            moved_at_ms: routes.map(|route| (route.clone(), elapsed_ms)).collect(),
            directed_at_ms: elapsed_ms,
            is_spreading: false,
            spread_ms: None,
            report_lag_ms: PRESUMED_REPORT_LAG_MS,
        }
    }

    pub(crate) fn set_report_lag_ms(&mut self, report_lag_ms: u64) {
        self.report_lag_ms = report_lag_ms;
    }

    pub(crate) fn report_lag_ms(&self) -> u64 {
        self.report_lag_ms
    }

    pub(crate) fn history(&self) -> &History {
        &self.history
    }

    pub(crate) fn directed_at_ms(&self) -> u64 {
        self.directed_at_ms
    }

    /// Whether this leader has given a directive itself.
    pub(crate) fn has_directed(&self) -> bool {
        self.is_spreading || self.spread_ms.is_some()
    }

    /// Longest time from a directive until it was known to be in force everywhere.
    pub(crate) fn spread_ms(&self) -> f64 {
        self.spread_ms.unwrap_or(PRESUMED_SPREAD_MS)
    }

    pub(crate) fn see(&mut self, evidence: &Evidence, progress: &RolloutProgress, elapsed_ms: u64) {
        self.history.keep(evidence, elapsed_ms);
        if !self.is_spreading || !progress.is_applied_everywhere {
            return;
        }
        self.is_spreading = false;
        let took = elapsed_ms.saturating_sub(self.directed_at_ms) as f64;
        let took = took.clamp(SPREAD_BOUNDS_MS.0, SPREAD_BOUNDS_MS.1);
        self.spread_ms = Some(self.spread_ms.map_or(took, |longest| longest.max(took)));
    }

    pub(crate) fn directed(&mut self, directive: &Directive, elapsed_ms: u64) {
        for route in &directive.moved_routes {
            self.moved_at_ms.entry(route.clone()).or_insert(elapsed_ms);
        }
        self.directed_at_ms = elapsed_ms;
        self.is_spreading = true;
    }

    /// Whether rates have been seen for long enough to plan by them.
    pub(crate) fn is_long_enough(&self) -> bool {
        self.history.span_ms() >= OBSERVED_MS
    }

    pub(crate) fn loads(
        &self,
        directive: &Directive,
        evidence: &Evidence,
        elapsed_ms: u64,
    ) -> Vec<RouteLoad> {
        evidence
            .routes
            .iter()
            .map(|(route, seen)| RouteLoad {
                route: route.clone(),
                per_ms: self.per_ms(route, evidence, elapsed_ms),
                usual_ms: seen.baseline.response_time.quantile_ms(0.5).unwrap_or(0.0),
                longest_ms: seen.baseline.response_time.quantile_ms(0.99).unwrap_or(0.0),
                moved_at_ms: self.moved_at(directive, route),
            })
            .collect()
    }

    fn moved_at(&self, directive: &Directive, route: &str) -> Option<u64> {
        directive
            .moved_routes
            .contains(route)
            .then(|| self.moved_at_ms.get(route).copied())
            .flatten()
    }

    /// Requests a millisecond of a route, lately.
    pub(crate) fn per_ms(&self, route: &str, evidence: &Evidence, elapsed_ms: u64) -> f64 {
        let sent = |of: &Evidence| of.routes.get(route).map_or(0, |seen| seen.sent());
        let counted_until = |ms: u64| ms.saturating_sub(self.report_lag_ms);
        let (then, at_ms) = self
            .history
            .at(elapsed_ms.saturating_sub(RATE_PERIOD_MS))
            .map_or((0, 0), |(then, at_ms)| (sent(then), at_ms));
        let time_ms = counted_until(elapsed_ms).saturating_sub(counted_until(at_ms));
        sent(evidence).saturating_sub(then) as f64 / time_ms.max(MIN_RATE_MS) as f64
    }
}

/// Time in which the first answers after the last move prove the candidate, in milliseconds:
/// until enough requests have come, and the frequent ones with the shortest answers have theirs.
pub(crate) fn proof_ms(routes: &[RouteLoad]) -> f64 {
    let per_ms: f64 = routes.iter().map(|load| load.per_ms).sum();
    let answered_ms = routes
        .iter()
        .filter(|load| load.per_ms >= PROOF_ROUTE_SHARE * per_ms)
        .map(|load| load.usual_ms)
        .fold(f64::INFINITY, f64::min);
    if per_ms < JUDGED_ALONE_PER_MS || !answered_ms.is_finite() {
        return LEAST_PROOF_MS;
    }
    (PROOF_ANSWERS / per_ms + answered_ms).max(LEAST_PROOF_MS)
}
