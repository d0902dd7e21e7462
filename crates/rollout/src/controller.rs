//! Decides on the leader how a rollout goes on: the next directive, or its end.

use crate::evidence::Evidence;
use crate::order::{Directive, Rollout, RolloutLimits, RolloutState, Verdict};
use crate::plan::{Plan, Situation};
use crate::verdict::{assess, assess_strictly, is_proved, Comparison, Finding, FEWEST_BASELINE};
use crate::watch::{proof_ms, Watch, JUDGED_ALONE_PER_MS};
use std::collections::BTreeSet;

/// Probability that a version which is clearly worse is moved: the bound holds then too.
const WRONG_MOVE: f64 = 0.3;
/// Probability that one which is so on all traffic since the order is completed.
const WRONG_IN_ALL: f64 = 0.1;
/// Probability that one which is so on one route is completed.
const WRONG_ON_A_ROUTE: f64 = 0.3;
/// Probability that one which is so only with all of the traffic is completed.
const WRONG_END: f64 = 0.03;
/// Answers of the candidate without which nothing moves: half of them fail, and it shows.
const FEWEST_ANSWERS: u64 = 12;
/// The same on each route that is not rare.
const FEWEST_ROUTE_ANSWERS: u64 = 3;
/// A route is rare where this time of all its requests, in milliseconds, ...
const RARE_TIME_MS: f64 = 1_500.0;
/// ... is at most this part of the slack: so many meet a bad version until it is rolled back.
const RARE_SLACK_PART: f64 = 0.5;
/// Routes that are due within this time move together, in milliseconds: each directive costs a
/// commit and a message to each node.
const MOVE_TOGETHER_MS: u64 = 200;
/// Shortest time between changes of the share, in milliseconds: until one is seen.
const SETTLED_MS: u64 = 1_500;
/// The share changes if it is off by this factor.
const CANARY_CHANGE: f64 = 1.25;
/// The share grows by this factor at most at a time.
const CANARY_GROWTH: f64 = 2.0;
/// Part of the allowed exposure that the candidate gets before rates are known. With 0.3 two of
/// 100 good versions of 160 streams a second came late in 12 s, as the last move has less left.
const FIRST_CANARY_PART: f64 = 0.2;
/// Time before the deadline at which the end is decided, in milliseconds: it has to be
/// committed and told.
const END_BEFORE_MS: u64 = 200;
/// Requests that may still be under way at the baseline when it is stopped at the deadline, as
/// a share of all since the order. They are the ends of long streams, which mostly resume.
const CUT_SHARE: f64 = 0.1;
/// Longest time after the deadline and after the last directive, in milliseconds, in which more
/// answers are waited for while a comparison may be chance: all traffic clears it in less.
const DOUBT_MS: u64 = 3_000;
/// Probability of a comparison that condemns at the deadline all the same.
const CONDEMNED: f64 = 1e-3;
/// Time after the deadline in which a candidate without fault may still be completed, in
/// milliseconds.
const GRACE_MS: u64 = 10_000;

/// What the leader knows of a rollout beside the counts of its answers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RolloutProgress {
    /// Back ends of the candidate that can take requests.
    pub ready_candidate_backends: usize,
    /// Versions of the other back ends of the service.
    pub baseline_versions: BTreeSet<String>,
    /// Whether every node in touch obeys the newest directive.
    pub is_applied_everywhere: bool,
}

/// What is to be committed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutDecision {
    /// Nodes are to obey this directive.
    Issue(Directive),
    /// All traffic goes to the candidate and stays there.
    Complete {
        /// Versions that had the traffic before.
        former_versions: BTreeSet<String>,
        /// Why.
        verdict: Verdict,
    },
    /// The candidate gets nothing any more.
    RollBack(Verdict),
}

/// Judges one rollout and plans its course. A new leader makes one from the committed state; it
/// judges by the totals at once, and by the last seconds as soon as it has seen some.
#[derive(Clone, Debug)]
pub struct RolloutController {
    duration_ms: u64,
    limits: RolloutLimits,
    directive: Directive,
    is_in_progress: bool,
    watch: Watch,
}

impl RolloutController {
    /// Goes on with a rollout from where it was committed.
    pub fn new(rollout: &Rollout, limits: RolloutLimits) -> Self {
        let directive = match &rollout.state {
            RolloutState::InProgress(directive) => directive.clone(),
            _ => Directive::default(),
        };
        let watch = Watch::new(&directive, rollout.elapsed_ms);
        Self {
            duration_ms: rollout.order.duration_ms,
            limits,
            directive,
            is_in_progress: rollout.is_in_progress(),
            watch,
        }
    }

    /// Tells the longest time from a node's count to the leader's sum, in milliseconds, as the
    /// settings of heartbeats make it.
    pub fn with_report_lag_ms(mut self, report_lag_ms: u64) -> Self {
        self.watch.set_report_lag_ms(report_lag_ms);
        self
    }

    /// What to commit next, if anything. `evidence` is the sum over all processes since the
    /// rollout began, `elapsed_ms` the time since the order.
    pub fn decide(
        &mut self,
        evidence: &Evidence,
        progress: &RolloutProgress,
        elapsed_ms: u64,
    ) -> Option<RolloutDecision> {
        if !self.is_in_progress {
            return None;
        }
        self.watch.see(evidence, progress, elapsed_ms);
        let decision = self.next(evidence, progress, elapsed_ms)?;
        if let RolloutDecision::Issue(directive) = &decision {
            self.watch.directed(directive, elapsed_ms);
            self.directive = directive.clone();
        } else {
            self.is_in_progress = false;
        }
        Some(decision)
    }

    /// The plan for the rest of the rollout, for operators.
    pub fn plan(&self, evidence: &Evidence, elapsed_ms: u64) -> Plan {
        let routes = self.watch.loads(&self.directive, evidence, elapsed_ms);
        Plan::make(&Situation {
            elapsed_ms,
            duration_ms: self.duration_ms,
            limits: self.limits,
            sent_in_all: evidence.total_sent(),
            sent_to_candidate: evidence.sent_to_candidate(),
            canary_share: f64::from(self.directive.canary_permille) / 1_000.0,
            proof_ms: proof_ms(&routes),
            routes,
            spread_ms: self.watch.spread_ms(),
            report_lag_ms: self.watch.report_lag_ms(),
        })
    }

    fn next(
        &self,
        evidence: &Evidence,
        progress: &RolloutProgress,
        elapsed_ms: u64,
    ) -> Option<RolloutDecision> {
        let finding = assess(evidence, self.watch.history(), elapsed_ms);
        if let Finding::Bad(comparison) = &finding {
            return Some(RolloutDecision::RollBack(comparison.verdict(elapsed_ms)));
        }
        if self.is_beyond_comparison(evidence, elapsed_ms) {
            return Some(RolloutDecision::RollBack(
                evidence.verdict("no_evidence", elapsed_ms),
            ));
        }
        if let Some(verdict) = self.overdue(&finding, evidence, progress, elapsed_ms) {
            return Some(verdict);
        }
        if progress.ready_candidate_backends == 0 {
            return None;
        }
        let plan = self.plan(evidence, elapsed_ms);
        if finding != Finding::Sound {
            let is_less = plan.doubted_permille <= self.directive.canary_permille;
            return (!is_less)
                .then(|| self.set_share(plan.doubted_permille, elapsed_ms))
                .flatten();
        }
        self.set_share(plan.canary_permille, elapsed_ms)
            .or_else(|| self.move_routes(&plan, evidence, elapsed_ms))
            .or_else(|| self.complete(evidence, progress, elapsed_ms))
    }

    /// Whether the candidate has all requests of a route and nothing tells how the baseline
    /// answered them, as after a restart of all processes: a bad version would go unnoticed, and
    /// what it got before isn't known any more.
    fn is_beyond_comparison(&self, evidence: &Evidence, elapsed_ms: u64) -> bool {
        let moved = evidence
            .routes
            .iter()
            .filter(|(route, _)| self.directive.moved_routes.contains(*route));
        let mut frequent = moved.filter(|(route, _)| {
            self.watch.per_ms(route, evidence, elapsed_ms) >= JUDGED_ALONE_PER_MS
        });
        frequent.any(|(_, seen)| {
            seen.candidate.completed() >= FEWEST_ANSWERS
                && seen.baseline.completed() < FEWEST_BASELINE
        })
    }

    /// How a rollout ends that has no verdict at its deadline.
    fn overdue(
        &self,
        finding: &Finding,
        evidence: &Evidence,
        progress: &RolloutProgress,
        elapsed_ms: u64,
    ) -> Option<RolloutDecision> {
        if elapsed_ms + END_BEFORE_MS < self.duration_ms {
            return None;
        }
        if let Finding::Suspicious(comparison) = finding {
            let plan = self.plan(evidence, elapsed_ms);
            let is_doubted = elapsed_ms < self.duration_ms + DOUBT_MS
                && elapsed_ms < self.watch.directed_at_ms() + DOUBT_MS
                && comparison.probability > CONDEMNED
                && plan.expected_exposure < plan.bound;
            return (!is_doubted)
                .then(|| RolloutDecision::RollBack(comparison.verdict(elapsed_ms)));
        }
        if elapsed_ms < self.duration_ms {
            return None;
        }
        if let Some(comparison) = self.doubt_at_the_bound(evidence, elapsed_ms) {
            return Some(RolloutDecision::RollBack(comparison.verdict(elapsed_ms)));
        }
        let roll_back = |reason: &str| {
            Some(RolloutDecision::RollBack(
                evidence.verdict(reason, elapsed_ms),
            ))
        };
        let is_given_up = elapsed_ms >= self.duration_ms + GRACE_MS;
        let is_waited_for = progress.ready_candidate_backends == 0 && !is_given_up;
        if evidence.candidate_completed() < FEWEST_ANSWERS && !is_waited_for {
            return roll_back("no_evidence");
        }
        let is_ready = progress.ready_candidate_backends > 0
            && self.is_ready_to_end(evidence, progress, elapsed_ms);
        if is_given_up && !is_ready {
            return roll_back("overdue");
        }
        None
    }

    /// After the deadline a candidate goes on to get requests until it is proved. One that looks
    /// worse than the baseline at all gets no more than the bound, with what it still gets until
    /// a roll-back is in force.
    fn doubt_at_the_bound(&self, evidence: &Evidence, elapsed_ms: u64) -> Option<Comparison> {
        let plan = self.plan(evidence, elapsed_ms);
        let moved = self.directive.moved_routes.iter();
        let per_ms: f64 = moved
            .map(|route| self.watch.per_ms(route, evidence, elapsed_ms))
            .sum();
        let sent = evidence.sent_to_candidate() as f64 + per_ms * self.watch.spread_ms();
        if sent < plan.bound {
            return None;
        }
        match assess_strictly(evidence, self.watch.history(), elapsed_ms) {
            Finding::Sound => None,
            Finding::Suspicious(comparison) | Finding::Bad(comparison) => Some(comparison),
        }
    }

    fn set_share(&self, wanted: u16, elapsed_ms: u64) -> Option<RolloutDecision> {
        let now = self.directive.canary_permille;
        let is_new_leader = now > 0 && !self.watch.has_directed();
        if is_new_leader && self.directive.moved_routes.is_empty() {
            // It can't plan the moves before it knows how long one takes to be in force.
            return Some(self.direct(now, BTreeSet::new()));
        }
        if now == 0 {
            let first = self.limits.exposure_share * FIRST_CANARY_PART * 1_000.0;
            return Some(self.direct(first.max(1.0) as u16, BTreeSet::new()));
        }
        let is_settled = elapsed_ms >= self.watch.directed_at_ms() + SETTLED_MS;
        if !is_settled || !self.watch.is_long_enough() || !self.directive.moved_routes.is_empty() {
            return None;
        }
        let largest = (f64::from(now) * CANARY_GROWTH) as u16;
        let wanted = wanted.min(largest);
        let change = f64::from(wanted) / f64::from(now);
        let is_off = !(1.0 / CANARY_CHANGE..=CANARY_CHANGE).contains(&change);
        is_off.then(|| self.direct(wanted, BTreeSet::new()))
    }

    fn move_routes(
        &self,
        plan: &Plan,
        evidence: &Evidence,
        elapsed_ms: u64,
    ) -> Option<RolloutDecision> {
        let is_proved = self.proves("", evidence, evidence, elapsed_ms, WRONG_MOVE);
        let is_enough = evidence.candidate_completed() >= FEWEST_ANSWERS;
        if !self.watch.is_long_enough() || !is_enough || !is_proved {
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
        let soon = plan
            .moves_at_ms
            .iter()
            .filter(|(_, at)| **at <= elapsed_ms + MOVE_TOGETHER_MS)
            .map(|(route, _)| route.clone())
            .filter(|route| self.is_sampled(route, evidence, elapsed_ms));
        Some(self.direct(self.directive.canary_permille, soon.collect()))
    }

    /// Whether a route has answers of the candidate, or may do without: rare ones, and, past
    /// the deadline, any, as all others are without fault.
    fn is_sampled(&self, route: &str, evidence: &Evidence, elapsed_ms: u64) -> bool {
        let has_answers = evidence
            .routes
            .get(route)
            .is_some_and(|seen| seen.candidate.completed() >= FEWEST_ROUTE_ANSWERS);
        let rare = RARE_SLACK_PART * self.limits.exposure_slack;
        has_answers
            || elapsed_ms >= self.duration_ms
            || self.watch.per_ms(route, evidence, elapsed_ms) * RARE_TIME_MS <= rare
    }

    fn complete(
        &self,
        evidence: &Evidence,
        progress: &RolloutProgress,
        elapsed_ms: u64,
    ) -> Option<RolloutDecision> {
        if !self.is_ready_to_end(evidence, progress, elapsed_ms) {
            return None;
        }
        let left = evidence.baseline_in_flight as f64;
        let is_few = left <= CUT_SHARE * evidence.total_sent() as f64;
        let is_end = elapsed_ms + END_BEFORE_MS >= self.duration_ms;
        let is_late = elapsed_ms >= self.duration_ms + GRACE_MS;
        (left == 0.0 || is_end && is_few || is_late).then(|| RolloutDecision::Complete {
            former_versions: progress.baseline_versions.clone(),
            verdict: evidence.verdict("no_difference", elapsed_ms),
        })
    }

    /// Whether only the baseline's last answers are waited for.
    fn is_ready_to_end(
        &self,
        evidence: &Evidence,
        progress: &RolloutProgress,
        elapsed_ms: u64,
    ) -> bool {
        self.is_all_moved(evidence)
            && progress.is_applied_everywhere
            && self.is_proved(evidence, elapsed_ms)
    }

    /// Whether all routes that have requests are moved; never before one has.
    fn is_all_moved(&self, evidence: &Evidence) -> bool {
        let moved = &self.directive.moved_routes;
        !moved.is_empty() && evidence.routes.keys().all(|route| moved.contains(route))
    }

    /// Whether the candidate proved as good as the baseline since the order, and since the last
    /// move, with all of the traffic.
    fn is_proved(&self, evidence: &Evidence, elapsed_ms: u64) -> bool {
        let Some((then, _)) = self.watch.history().at(self.watch.directed_at_ms()) else {
            return false;
        };
        let since_move = evidence.since(then);
        let rate = |route: &str| self.watch.per_ms(route, evidence, elapsed_ms);
        let per_ms: f64 = evidence.routes.keys().map(|route| rate(route)).sum();
        let is_judged_alone = per_ms >= JUDGED_ALONE_PER_MS;
        let mut frequent = evidence
            .routes
            .keys()
            .filter(|route| rate(route) >= JUDGED_ALONE_PER_MS);
        self.proves("", evidence, evidence, elapsed_ms, WRONG_IN_ALL)
            && (!is_judged_alone || self.proves("", &since_move, evidence, elapsed_ms, WRONG_END))
            && frequent
                .all(|route| self.proves(route, evidence, evidence, elapsed_ms, WRONG_ON_A_ROUTE))
    }

    fn proves(
        &self,
        route: &str,
        period: &Evidence,
        totals: &Evidence,
        elapsed_ms: u64,
        chance: f64,
    ) -> bool {
        is_proved(
            route,
            period,
            totals,
            self.watch.history(),
            elapsed_ms,
            chance,
        )
    }

    fn direct(&self, canary_permille: u16, moved: BTreeSet<String>) -> RolloutDecision {
        RolloutDecision::Issue(Directive {
            step: self.directive.step + 1,
            canary_permille,
            moved_routes: &self.directive.moved_routes | &moved,
        })
    }
}
