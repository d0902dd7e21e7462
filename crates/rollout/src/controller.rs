//! Rollout controller, which decides on the leader on the next directive or the end of a rollout.

use crate::evidence::Evidence;
use crate::monitor::{proof_ms, RolloutMonitor, MIN_SEPARATE_RATE_PER_MS};
use crate::order::{Directive, Rollout, RolloutLimits, RolloutState, Verdict};
use crate::plan::{Plan, PlanInput};
use crate::verdict::{
    assess, assess_strictly, is_proved, Assessment, Comparison, MIN_BASELINE_RESPONSES,
};
use std::collections::BTreeSet;

/// Accepted probability that routes are moved to a clearly worse version; the exposure bound still
/// holds then.
const MOVE_ERROR_PROBABILITY: f64 = 0.3;
/// Accepted probability that a version is completed which is clearly worse over all responses since
/// the order.
const TOTAL_ERROR_PROBABILITY: f64 = 0.1;
/// Accepted probability that a version is completed which is clearly worse on one route.
const ROUTE_ERROR_PROBABILITY: f64 = 0.3;
/// Accepted probability that a version is completed which is clearly worse only under all traffic.
const FINAL_ERROR_PROBABILITY: f64 = 0.03;
/// Minimum number of candidate responses before any route moves.
const MIN_CANDIDATE_RESPONSES: u64 = 12;
/// Minimum number of candidate responses on a route before it moves, unless the route is rare.
const MIN_ROUTE_RESPONSES: u64 = 3;
/// Period whose requests decide whether a route is rare, in milliseconds.
const RARE_ROUTE_PERIOD_MS: f64 = 1_500.0;
/// A route is rare if its requests in [`RARE_ROUTE_PERIOD_MS`] are at most this fraction of the
/// exposure slack.
const RARE_ROUTE_SLACK_FRACTION: f64 = 0.5;
/// Routes due within this time move in one directive, in milliseconds: each directive costs a
/// commit and a message to each node.
const MOVE_BATCH_WINDOW_MS: u64 = 200;
/// Minimum time between changes of the canary share, in milliseconds.
const MIN_SHARE_CHANGE_INTERVAL_MS: u64 = 1_500;
/// The canary share changes only if the planned one differs by more than this factor.
const MIN_CANARY_CHANGE_FACTOR: f64 = 1.25;
/// Maximum factor by which one change increases the canary share.
const MAX_CANARY_GROWTH_FACTOR: f64 = 2.0;
/// Fraction of the allowed exposure share that the candidate gets before request rates are known.
/// With a larger one, the last move of a good version has less exposure left and may come late.
const INITIAL_CANARY_FRACTION: f64 = 0.2;
/// Time before the deadline at which the end is decided, in milliseconds, so that it can be
/// committed and distributed.
const COMPLETION_LEAD_MS: u64 = 200;
/// Maximum number of baseline requests that may be in flight at completion, as a share of all
/// requests since the order. They are mostly long streams, which can resume.
const MAX_ABANDONED_SHARE: f64 = 0.1;
/// Maximum time after the deadline and after the last directive to wait for more responses while a
/// comparison is suspicious, in milliseconds. All traffic clears a suspicion by chance in less.
const SUSPICION_EXTENSION_MS: u64 = 3_000;
/// Probability of a comparison up to which the deadline is not extended before a rollback.
const DEADLINE_ALARM_PROBABILITY: f64 = 1e-3;
/// Time after the deadline for which a healthy candidate may still be completed, in milliseconds.
const COMPLETION_GRACE_MS: u64 = 10_000;

/// State of a rollout that is not part of its [`Evidence`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RolloutProgress {
    /// Number of candidate back ends that accept requests.
    pub ready_candidate_backends: usize,
    /// Versions of all other back ends of the service.
    pub baseline_versions: BTreeSet<String>,
    /// Whether every reachable node has applied the newest directive.
    pub is_applied_everywhere: bool,
}

/// Decision that the leader commits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutDecision {
    /// Nodes have to apply this directive.
    Issue(Directive),
    /// The rollout ends with all traffic on the candidate.
    Complete {
        /// Versions that served the traffic before.
        former_versions: BTreeSet<String>,
        /// Evidence that the decision rests on.
        verdict: Verdict,
    },
    /// The rollout ends with no traffic on the candidate, for the reason in the verdict.
    RollBack(Verdict),
}

/// Assesses and plans one rollout. A new leader creates a controller from the committed state. It
/// assesses the totals immediately, and recent responses once it has a history of them.
#[derive(Clone, Debug)]
pub struct RolloutController {
    duration_ms: u64,
    limits: RolloutLimits,
    directive: Directive,
    is_in_progress: bool,
    monitor: RolloutMonitor,
}

impl RolloutController {
    /// Creates a controller that continues a rollout from its committed state.
    pub fn new(rollout: &Rollout, limits: RolloutLimits) -> Self {
        let directive = match &rollout.state {
            RolloutState::InProgress(directive) => directive.clone(),
            _ => Directive::default(),
        };
        let monitor = RolloutMonitor::new(&directive, rollout.elapsed_ms);
        Self {
            duration_ms: rollout.order.duration_ms,
            limits,
            directive,
            is_in_progress: rollout.is_in_progress(),
            monitor,
        }
    }

    /// Sets the maximum delay from a count on a node to the sum on the leader, in milliseconds,
    /// which depends on the heartbeat interval.
    pub fn with_report_lag_ms(mut self, report_lag_ms: u64) -> Self {
        self.monitor.set_report_lag_ms(report_lag_ms);
        self
    }

    /// Returns the next decision to commit, if any. `evidence` is the sum over all processes since
    /// the rollout began, and `elapsed_ms` the time since the order in milliseconds.
    pub fn decide(
        &mut self,
        evidence: &Evidence,
        progress: &RolloutProgress,
        elapsed_ms: u64,
    ) -> Option<RolloutDecision> {
        if !self.is_in_progress {
            return None;
        }
        self.monitor.observe(evidence, progress, elapsed_ms);
        let decision = self.next_decision(evidence, progress, elapsed_ms)?;
        if let RolloutDecision::Issue(directive) = &decision {
            self.monitor.record_directive(directive, elapsed_ms);
            self.directive = directive.clone();
        } else {
            self.is_in_progress = false;
        }
        Some(decision)
    }

    /// Returns the plan for the rest of the rollout.
    pub fn plan(&self, evidence: &Evidence, elapsed_ms: u64) -> Plan {
        let routes = self
            .monitor
            .route_loads(&self.directive, evidence, elapsed_ms);
        Plan::make(&PlanInput {
            elapsed_ms,
            duration_ms: self.duration_ms,
            limits: self.limits,
            total_sent: evidence.total_sent(),
            sent_to_candidate: evidence.sent_to_candidate(),
            canary_share: f64::from(self.directive.canary_permille) / 1_000.0,
            proof_ms: proof_ms(&routes),
            routes,
            spread_ms: self.monitor.spread_ms(),
            report_lag_ms: self.monitor.report_lag_ms(),
        })
    }

    fn next_decision(
        &self,
        evidence: &Evidence,
        progress: &RolloutProgress,
        elapsed_ms: u64,
    ) -> Option<RolloutDecision> {
        let assessment = assess(evidence, self.monitor.history(), elapsed_ms);
        if let Assessment::Regressed(comparison) = &assessment {
            return Some(RolloutDecision::RollBack(comparison.verdict(elapsed_ms)));
        }
        if self.lacks_baseline_responses(evidence, elapsed_ms) {
            return Some(RolloutDecision::RollBack(
                evidence.verdict("no_evidence", elapsed_ms),
            ));
        }
        if let Some(verdict) =
            self.decide_after_deadline(&assessment, evidence, progress, elapsed_ms)
        {
            return Some(verdict);
        }
        if progress.ready_candidate_backends == 0 {
            return None;
        }
        let plan = self.plan(evidence, elapsed_ms);
        if assessment != Assessment::Healthy {
            let is_not_larger = plan.doubted_permille <= self.directive.canary_permille;
            return (!is_not_larger)
                .then(|| self.set_share(plan.doubted_permille, elapsed_ms))
                .flatten();
        }
        self.set_share(plan.canary_permille, elapsed_ms)
            .or_else(|| self.move_routes(&plan, evidence, elapsed_ms))
            .or_else(|| self.complete(evidence, progress, elapsed_ms))
    }

    /// Whether the candidate serves all requests of a route without baseline responses to compare
    /// with, as after a restart of all processes. A regression would go unnoticed then.
    fn lacks_baseline_responses(&self, evidence: &Evidence, elapsed_ms: u64) -> bool {
        let moved_routes = evidence
            .routes
            .iter()
            .filter(|(route, _)| self.directive.moved_routes.contains(*route));
        let mut frequent_routes = moved_routes.filter(|(route, _)| {
            self.monitor.per_ms(route, evidence, elapsed_ms) >= MIN_SEPARATE_RATE_PER_MS
        });
        frequent_routes.any(|(_, route_evidence)| {
            route_evidence.candidate.completed() >= MIN_CANDIDATE_RESPONSES
                && route_evidence.baseline.completed() < MIN_BASELINE_RESPONSES
        })
    }

    /// Decides on a rollout that has reached its deadline without a verdict.
    fn decide_after_deadline(
        &self,
        assessment: &Assessment,
        evidence: &Evidence,
        progress: &RolloutProgress,
        elapsed_ms: u64,
    ) -> Option<RolloutDecision> {
        if elapsed_ms + COMPLETION_LEAD_MS < self.duration_ms {
            return None;
        }
        if let Assessment::Suspicious(comparison) = assessment {
            let plan = self.plan(evidence, elapsed_ms);
            let is_extended = elapsed_ms < self.duration_ms + SUSPICION_EXTENSION_MS
                && elapsed_ms < self.monitor.directive_issued_at_ms() + SUSPICION_EXTENSION_MS
                && comparison.probability > DEADLINE_ALARM_PROBABILITY
                && plan.expected_exposure < plan.bound;
            return (!is_extended)
                .then(|| RolloutDecision::RollBack(comparison.verdict(elapsed_ms)));
        }
        if elapsed_ms < self.duration_ms {
            return None;
        }
        if let Some(comparison) = self.suspicion_at_exposure_bound(evidence, elapsed_ms) {
            return Some(RolloutDecision::RollBack(comparison.verdict(elapsed_ms)));
        }
        let roll_back = |reason: &str| {
            Some(RolloutDecision::RollBack(
                evidence.verdict(reason, elapsed_ms),
            ))
        };
        let is_grace_over = elapsed_ms >= self.duration_ms + COMPLETION_GRACE_MS;
        let is_waiting_for_backends = progress.ready_candidate_backends == 0 && !is_grace_over;
        if evidence.candidate_completed() < MIN_CANDIDATE_RESPONSES && !is_waiting_for_backends {
            return roll_back("no_evidence");
        }
        let is_ready = progress.ready_candidate_backends > 0
            && self.is_ready_to_complete(evidence, progress, elapsed_ms);
        if is_grace_over && !is_ready {
            return roll_back("overdue");
        }
        None
    }

    /// After the deadline a candidate continues to receive requests until it is proved. Returns the
    /// suspicious comparison if the exposure bound would be exceeded before a rollback takes
    /// effect.
    fn suspicion_at_exposure_bound(
        &self,
        evidence: &Evidence,
        elapsed_ms: u64,
    ) -> Option<Comparison> {
        let plan = self.plan(evidence, elapsed_ms);
        let moved_routes = self.directive.moved_routes.iter();
        let per_ms: f64 = moved_routes
            .map(|route| self.monitor.per_ms(route, evidence, elapsed_ms))
            .sum();
        let sent = evidence.sent_to_candidate() as f64 + per_ms * self.monitor.spread_ms();
        if sent < plan.bound {
            return None;
        }
        match assess_strictly(evidence, self.monitor.history(), elapsed_ms) {
            Assessment::Healthy => None,
            Assessment::Suspicious(comparison) | Assessment::Regressed(comparison) => {
                Some(comparison)
            }
        }
    }

    fn set_share(&self, target_permille: u16, elapsed_ms: u64) -> Option<RolloutDecision> {
        let current_permille = self.directive.canary_permille;
        let is_new_leader = current_permille > 0 && !self.monitor.has_issued_directive();
        if is_new_leader && self.directive.moved_routes.is_empty() {
            // Reissuing the share measures how long a directive takes to be applied everywhere.
            return Some(self.issue(current_permille, BTreeSet::new()));
        }
        if current_permille == 0 {
            let first = self.limits.exposure_share * INITIAL_CANARY_FRACTION * 1_000.0;
            return Some(self.issue(first.max(1.0) as u16, BTreeSet::new()));
        }
        let may_change =
            elapsed_ms >= self.monitor.directive_issued_at_ms() + MIN_SHARE_CHANGE_INTERVAL_MS;
        if !may_change
            || !self.monitor.has_observed_rates()
            || !self.directive.moved_routes.is_empty()
        {
            return None;
        }
        let maximum = (f64::from(current_permille) * MAX_CANARY_GROWTH_FACTOR) as u16;
        let target_permille = target_permille.min(maximum);
        let change = f64::from(target_permille) / f64::from(current_permille);
        let needs_change =
            !(1.0 / MIN_CANARY_CHANGE_FACTOR..=MIN_CANARY_CHANGE_FACTOR).contains(&change);
        needs_change.then(|| self.issue(target_permille, BTreeSet::new()))
    }

    fn move_routes(
        &self,
        plan: &Plan,
        evidence: &Evidence,
        elapsed_ms: u64,
    ) -> Option<RolloutDecision> {
        let is_proved =
            self.is_proved_in("", evidence, evidence, elapsed_ms, MOVE_ERROR_PROBABILITY);
        let has_enough_responses = evidence.candidate_completed() >= MIN_CANDIDATE_RESPONSES;
        if !self.monitor.has_observed_rates() || !has_enough_responses || !is_proved {
            return None;
        }
        let due: BTreeSet<String> = plan
            .moves_at_ms
            .iter()
            .filter(|(_, at)| **at <= elapsed_ms)
            .map(|(route, _)| route.clone())
            .filter(|route| self.is_sampled(route, evidence, elapsed_ms))
            .collect();
        if due.is_empty() {
            return None;
        }
        let due_soon = plan
            .moves_at_ms
            .iter()
            .filter(|(_, at)| **at <= elapsed_ms + MOVE_BATCH_WINDOW_MS)
            .map(|(route, _)| route.clone())
            .filter(|route| self.is_sampled(route, evidence, elapsed_ms));
        Some(self.issue(self.directive.canary_permille, due_soon.collect()))
    }

    /// Whether a route has enough candidate responses to move. Rare routes move without, and after
    /// the deadline all routes do.
    fn is_sampled(&self, route: &str, evidence: &Evidence, elapsed_ms: u64) -> bool {
        let has_responses = evidence.routes.get(route).is_some_and(|route_evidence| {
            route_evidence.candidate.completed() >= MIN_ROUTE_RESPONSES
        });
        let rare_route_requests = RARE_ROUTE_SLACK_FRACTION * self.limits.exposure_slack;
        has_responses
            || elapsed_ms >= self.duration_ms
            || self.monitor.per_ms(route, evidence, elapsed_ms) * RARE_ROUTE_PERIOD_MS
                <= rare_route_requests
    }

    fn complete(
        &self,
        evidence: &Evidence,
        progress: &RolloutProgress,
        elapsed_ms: u64,
    ) -> Option<RolloutDecision> {
        if !self.is_ready_to_complete(evidence, progress, elapsed_ms) {
            return None;
        }
        let in_flight = evidence.baseline_in_flight as f64;
        let is_small = in_flight <= MAX_ABANDONED_SHARE * evidence.total_sent() as f64;
        let is_at_deadline = elapsed_ms + COMPLETION_LEAD_MS >= self.duration_ms;
        let is_grace_over = elapsed_ms >= self.duration_ms + COMPLETION_GRACE_MS;
        (in_flight == 0.0 || is_at_deadline && is_small || is_grace_over).then(|| {
            RolloutDecision::Complete {
                former_versions: progress.baseline_versions.clone(),
                verdict: evidence.verdict("no_difference", elapsed_ms),
            }
        })
    }

    /// Whether only responses of the baseline remain to be waited for.
    fn is_ready_to_complete(
        &self,
        evidence: &Evidence,
        progress: &RolloutProgress,
        elapsed_ms: u64,
    ) -> bool {
        self.are_all_routes_moved(evidence)
            && progress.is_applied_everywhere
            && self.is_proved(evidence, elapsed_ms)
    }

    /// Whether all routes with requests are moved; false while there are none.
    fn are_all_routes_moved(&self, evidence: &Evidence) -> bool {
        let moved_routes = &self.directive.moved_routes;
        !moved_routes.is_empty()
            && evidence
                .routes
                .keys()
                .all(|route| moved_routes.contains(route))
    }

    /// Whether the candidate is proved as good as the baseline, over all responses since the order
    /// and over those since the last move, when it served all traffic.
    fn is_proved(&self, evidence: &Evidence, elapsed_ms: u64) -> bool {
        let Some((earlier, _)) = self
            .monitor
            .history()
            .latest_at_or_first(self.monitor.directive_issued_at_ms())
        else {
            return false;
        };
        let since_move = evidence.since(earlier);
        let rate = |route: &str| self.monitor.per_ms(route, evidence, elapsed_ms);
        let per_ms: f64 = evidence.routes.keys().map(|route| rate(route)).sum();
        let is_rate_sufficient = per_ms >= MIN_SEPARATE_RATE_PER_MS;
        let mut frequent_routes = evidence
            .routes
            .keys()
            .filter(|route| rate(route) >= MIN_SEPARATE_RATE_PER_MS);
        self.is_proved_in("", evidence, evidence, elapsed_ms, TOTAL_ERROR_PROBABILITY)
            && (!is_rate_sufficient
                || self.is_proved_in(
                    "",
                    &since_move,
                    evidence,
                    elapsed_ms,
                    FINAL_ERROR_PROBABILITY,
                ))
            && frequent_routes.all(|route| {
                self.is_proved_in(
                    route,
                    evidence,
                    evidence,
                    elapsed_ms,
                    ROUTE_ERROR_PROBABILITY,
                )
            })
    }

    fn is_proved_in(
        &self,
        route: &str,
        period: &Evidence,
        totals: &Evidence,
        elapsed_ms: u64,
        error_probability: f64,
    ) -> bool {
        is_proved(
            route,
            period,
            totals,
            self.monitor.history(),
            elapsed_ms,
            error_probability,
        )
    }

    fn issue(&self, canary_permille: u16, newly_moved_routes: BTreeSet<String>) -> RolloutDecision {
        RolloutDecision::Issue(Directive {
            step: self.directive.step + 1,
            canary_permille,
            moved_routes: &self.directive.moved_routes | &newly_moved_routes,
        })
    }
}
