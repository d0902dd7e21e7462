//! Monitors a rollout on the leader: request rates, and how long directives take to be applied.

use crate::controller::RolloutProgress;
use crate::evidence::Evidence;
use crate::history::EvidenceHistory;
use crate::order::Directive;
use crate::plan::RouteLoad;
use std::collections::BTreeMap;

/// Assumed time until a directive is known to be applied everywhere, in milliseconds, before the
/// first measurement: one second to distribute it and two heartbeats to report it.
const DEFAULT_SPREAD_MS: f64 = 1_800.0;
/// Assumed delay from a count on a node to the sum on the leader, in milliseconds: two heartbeats,
/// from node to relay and from relay to leader.
const DEFAULT_REPORT_LAG_MS: u64 = 800;
/// Bounds of the measured time, in milliseconds: an immediate confirmation belongs to an older
/// directive, and one slow node must not determine the plan.
const SPREAD_BOUNDS_MS: (f64, f64) = (300.0, 2_500.0);
/// Number of responses after the last move that prove a candidate if none has failed.
const PROOF_RESPONSES: f64 = 16.0;
/// Minimum time for a proof, in milliseconds.
const MIN_PROOF_MS: f64 = 200.0;
/// Minimum share of all requests that a route must have for its responses to count for the proof.
const PROOF_ROUTE_SHARE: f64 = 0.25;
/// Minimum request rate at which responses since the last move are assessed separately, in requests
/// per millisecond. At lower rates it takes seconds to collect enough.
pub(crate) const MIN_SEPARATE_RATE_PER_MS: f64 = 0.02;
/// Minimum time for which a leader observes rates before it plans by them, in milliseconds. Totals
/// underestimate the rates after a restart of processes, and the plan would exceed the bound.
const MIN_OBSERVATION_MS: u64 = 1_500;
/// Period over which rates are measured, in milliseconds.
const RATE_PERIOD_MS: u64 = 3_000;
/// Minimum divisor of a rate, in milliseconds.
const MIN_RATE_MS: u64 = 500;

/// Recent evidence and the measured propagation time of directives.
#[derive(Clone, Debug)]
pub(crate) struct RolloutMonitor {
    history: EvidenceHistory,
    /// Time at which each route was moved, in milliseconds since the order.
    moved_at_ms: BTreeMap<String, u64>,
    /// Time at which the newest directive was issued, in milliseconds since the order.
    directive_issued_at_ms: u64,
    /// Whether the newest directive is not yet applied everywhere.
    is_directive_pending: bool,
    spread_ms: Option<f64>,
    report_lag_ms: u64,
}

impl RolloutMonitor {
    /// Creates the monitor of a leader that takes over with a committed directive. The time at
    /// which that was issued is unknown, so it counts as issued now.
    pub(crate) fn new(directive: &Directive, elapsed_ms: u64) -> Self {
        let routes = directive.moved_routes.iter();
        Self {
            history: EvidenceHistory::default(),
            moved_at_ms: routes.map(|route| (route.clone(), elapsed_ms)).collect(),
            directive_issued_at_ms: elapsed_ms,
            is_directive_pending: false,
            spread_ms: None,
            report_lag_ms: DEFAULT_REPORT_LAG_MS,
        }
    }

    pub(crate) fn set_report_lag_ms(&mut self, report_lag_ms: u64) {
        self.report_lag_ms = report_lag_ms;
    }

    pub(crate) fn report_lag_ms(&self) -> u64 {
        self.report_lag_ms
    }

    pub(crate) fn history(&self) -> &EvidenceHistory {
        &self.history
    }

    pub(crate) fn directive_issued_at_ms(&self) -> u64 {
        self.directive_issued_at_ms
    }

    /// Whether this leader has issued a directive itself.
    pub(crate) fn has_issued_directive(&self) -> bool {
        self.is_directive_pending || self.spread_ms.is_some()
    }

    /// Longest measured time until a directive was known to be applied everywhere, in milliseconds.
    pub(crate) fn spread_ms(&self) -> f64 {
        self.spread_ms.unwrap_or(DEFAULT_SPREAD_MS)
    }

    pub(crate) fn observe(
        &mut self,
        evidence: &Evidence,
        progress: &RolloutProgress,
        elapsed_ms: u64,
    ) {
        self.history.record(evidence, elapsed_ms);
        if !self.is_directive_pending || !progress.is_applied_everywhere {
            return;
        }
        self.is_directive_pending = false;
        let spread_ms = elapsed_ms.saturating_sub(self.directive_issued_at_ms) as f64;
        let spread_ms = spread_ms.clamp(SPREAD_BOUNDS_MS.0, SPREAD_BOUNDS_MS.1);
        self.spread_ms = Some(
            self.spread_ms
                .map_or(spread_ms, |longest| longest.max(spread_ms)),
        );
    }

    pub(crate) fn record_directive(&mut self, directive: &Directive, elapsed_ms: u64) {
        for route in &directive.moved_routes {
            self.moved_at_ms.entry(route.clone()).or_insert(elapsed_ms);
        }
        self.directive_issued_at_ms = elapsed_ms;
        self.is_directive_pending = true;
    }

    /// Whether rates have been observed for long enough to plan by them.
    pub(crate) fn has_observed_rates(&self) -> bool {
        self.history.span_ms() >= MIN_OBSERVATION_MS
    }

    pub(crate) fn route_loads(
        &self,
        directive: &Directive,
        evidence: &Evidence,
        elapsed_ms: u64,
    ) -> Vec<RouteLoad> {
        evidence
            .routes
            .iter()
            .map(|(route, route_evidence)| RouteLoad {
                route: route.clone(),
                per_ms: self.per_ms(route, evidence, elapsed_ms),
                median_ms: route_evidence
                    .baseline
                    .response_time
                    .quantile_ms(0.5)
                    .unwrap_or(0.0),
                p99_ms: route_evidence
                    .baseline
                    .response_time
                    .quantile_ms(0.99)
                    .unwrap_or(0.0),
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

    /// Recent request rate of a route, in requests per millisecond.
    pub(crate) fn per_ms(&self, route: &str, evidence: &Evidence, elapsed_ms: u64) -> f64 {
        let sent = |evidence: &Evidence| {
            evidence
                .routes
                .get(route)
                .map_or(0, |route_evidence| route_evidence.sent())
        };
        let counted_until = |ms: u64| ms.saturating_sub(self.report_lag_ms);
        let (earlier, at_ms) = self
            .history
            .latest_at_or_first(elapsed_ms.saturating_sub(RATE_PERIOD_MS))
            .map_or((0, 0), |(earlier, at_ms)| (sent(earlier), at_ms));
        let time_ms = counted_until(elapsed_ms).saturating_sub(counted_until(at_ms));
        sent(evidence).saturating_sub(earlier) as f64 / time_ms.max(MIN_RATE_MS) as f64
    }
}

/// Expected time after the last move until the candidate is proved, in milliseconds: the time for
/// enough requests to arrive, and the shortest median response time of the frequent routes.
pub(crate) fn proof_ms(routes: &[RouteLoad]) -> f64 {
    let per_ms: f64 = routes.iter().map(|load| load.per_ms).sum();
    let shortest_median_ms = routes
        .iter()
        .filter(|load| load.per_ms >= PROOF_ROUTE_SHARE * per_ms)
        .map(|load| load.median_ms)
        .fold(f64::INFINITY, f64::min);
    if per_ms < MIN_SEPARATE_RATE_PER_MS || !shortest_median_ms.is_finite() {
        return MIN_PROOF_MS;
    }
    (PROOF_RESPONSES / per_ms + shortest_median_ms).max(MIN_PROOF_MS)
}
