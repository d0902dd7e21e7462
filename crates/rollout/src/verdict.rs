//! Compares the candidate's responses with those of the baseline on the same routes in the same
//! period.
//!
//! Failures, slow first bytes and slow responses are compared on each route and on all routes
//! together, both since the order and over the last seconds, so that a late regression is detected
//! as fast as an early one. A response is slow if it takes more than twice the third quartile of
//! the baseline plus an allowance, and also if it has not finished after that time.
//!
//! Each comparison computes the probability of at least as many bad candidate responses if each is
//! bad with the upper bound of the baseline's share plus a tolerance (exact binomial tail). Faults
//! that affect both versions raise both shares.

use crate::evidence::{Evidence, ResponseCounts, RouteEvidence};
use crate::history::EvidenceHistory;
use crate::latency::LatencyHistogram;
use crate::order::Verdict;
use crate::statistics::{binomial_tail, upper_share};

/// Length of the period over which recent responses are assessed separately, in milliseconds. Long
/// enough for some hundred responses of the baseline, and short against the bound on a rollback.
const RECENT_PERIOD_MS: u64 = 3_000;
/// Probability of a false alarm in one assessment of all comparisons. A rollout has hundreds of
/// assessments, most of them of nearly the same responses.
const FALSE_ALARM_PROBABILITY: f64 = 5e-4;
/// Probability below which a comparison is suspicious, which pauses the rollout.
const SUSPICION_PROBABILITY: f64 = 0.05;
/// Probability below which a comparison is suspicious once the exposure bound is reached.
const STRICT_SUSPICION_PROBABILITY: f64 = 0.2;
/// Minimum number of bad responses for a rollback: fewer may come from one connection or node.
const MIN_BAD_FOR_ALARM: u64 = 5;
/// Minimum number of bad responses for a suspicion.
const MIN_BAD_FOR_SUSPICION: u64 = 3;
/// Share of failures beyond the allowed one that a proof rules out. Takes some 20 responses.
const PROOF_FAILURE_MARGIN: f64 = 0.18;
/// Share of slow responses beyond the allowed one that a proof rules out.
const PROOF_SLOW_MARGIN: f64 = 0.3;
/// Minimum number of baseline responses in a period to compare with. With fewer, as after a route
/// was moved, all baseline responses since the order are used.
const MIN_CONCURRENT_BASELINE_RESPONSES: u64 = 30;
/// Minimum number of baseline responses since the order for any comparison: below it, the quartile
/// and the upper bound of the share are too inexact.
pub const MIN_BASELINE_RESPONSES: u64 = 10;
/// Tolerated share of failures beyond the baseline's: one bad back end among many.
const FAILURE_TOLERANCE: f64 = 0.01;
/// Tolerated share of bad responses beyond the baseline's, as a fraction of the baseline's share:
/// back ends differ more while a service has faults.
const RELATIVE_TOLERANCE: f64 = 0.25;
/// Tolerated share of slow responses beyond the baseline's. A version that is several times slower
/// has most of its responses beyond the slowness threshold.
const SLOW_TOLERANCE: f64 = 0.15;
/// Additional tolerance if the baseline responses are from an earlier period.
const EARLIER_BASELINE_TOLERANCE: f64 = 0.03;
/// A time is slow beyond this multiple of the baseline's third quartile, plus an allowance.
const SLOW_FACTOR: f64 = 2.0;
/// Allowance for the time to first byte, in milliseconds: a new back end has no cached prompts.
/// Engines read 30 to 50 tokens of a prompt per millisecond, and prompts have some thousand.
const FIRST_BYTE_ALLOWANCE_MS: f64 = 250.0;
/// Allowance for the response time, in milliseconds, for the jitter of short responses.
const RESPONSE_TIME_ALLOWANCE_MS: f64 = 20.0;
/// Comparisons of a route, or of all routes together: three measures in two periods.
const COMPARISONS_PER_SCOPE: f64 = 6.0;

/// Property of responses that is compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Measure {
    /// Share of failed responses.
    Failures,
    /// Share of responses with a slow first byte.
    TimeToFirstByte,
    /// Share of slow responses.
    ResponseTime,
}

impl Measure {
    const ALL: [Self; 3] = [Self::Failures, Self::TimeToFirstByte, Self::ResponseTime];

    /// Reason that a verdict states for this measure.
    pub fn reason(self) -> &'static str {
        match self {
            Self::Failures => "failures",
            Self::TimeToFirstByte => "slow_first_part",
            Self::ResponseTime => "slow",
        }
    }

    fn proof_margin(self) -> f64 {
        match self {
            Self::Failures => PROOF_FAILURE_MARGIN,
            Self::TimeToFirstByte | Self::ResponseTime => PROOF_SLOW_MARGIN,
        }
    }

    fn tolerance(self) -> f64 {
        match self {
            Self::Failures => FAILURE_TOLERANCE,
            Self::TimeToFirstByte | Self::ResponseTime => SLOW_TOLERANCE,
        }
    }
}

/// Number of responses, and how many of them were bad.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BadResponseCount {
    /// Number of responses.
    pub responses: u64,
    /// Number of failed or slow responses.
    pub bad: u64,
}

impl BadResponseCount {
    fn share(self) -> f64 {
        self.bad as f64 / self.responses.max(1) as f64
    }

    fn add(&mut self, other: Self) {
        self.responses += other.responses;
        self.bad += other.bad;
    }
}

/// One comparison of the candidate with the baseline.
#[derive(Clone, Debug, PartialEq)]
pub struct Comparison {
    /// Property that is compared.
    pub measure: Measure,
    /// Name of the route; empty for all routes together.
    pub route: String,
    /// Responses of the candidate.
    pub candidate: BadResponseCount,
    /// Responses of the baseline.
    pub baseline: BadResponseCount,
    /// Share of bad responses up to which the candidate counts as good as the baseline, from 0 to
    /// 1.
    pub allowed_share: f64,
    /// Probability of at least as many bad responses from a candidate as good as the baseline.
    pub probability: f64,
}

impl Comparison {
    /// Returns the verdict that states this comparison as its reason.
    pub fn verdict(&self, elapsed_ms: u64) -> Verdict {
        Verdict {
            reason: self.measure.reason().to_owned(),
            route: self.route.clone(),
            candidate: (self.candidate.responses, self.candidate.bad),
            baseline: (self.baseline.responses, self.baseline.bad),
            elapsed_ms,
        }
    }
}

/// Result of all comparisons.
#[derive(Clone, Debug, PartialEq)]
pub enum Assessment {
    /// No comparison is significant.
    Healthy,
    /// The named comparison is suspicious, but may be a random variation.
    Suspicious(Comparison),
    /// The named comparison shows a significant regression.
    Regressed(Comparison),
}

/// Assesses all comparisons and returns the most significant one.
pub fn assess(evidence: &Evidence, history: &EvidenceHistory, elapsed_ms: u64) -> Assessment {
    assess_with(SUSPICION_PROBABILITY, evidence, history, elapsed_ms)
}

/// Assesses like [`assess`] with a stricter threshold of suspicion, for a candidate that has
/// reached its exposure bound.
pub fn assess_strictly(
    evidence: &Evidence,
    history: &EvidenceHistory,
    elapsed_ms: u64,
) -> Assessment {
    assess_with(STRICT_SUSPICION_PROBABILITY, evidence, history, elapsed_ms)
}

fn assess_with(
    suspicion_probability: f64,
    evidence: &Evidence,
    history: &EvidenceHistory,
    elapsed_ms: u64,
) -> Assessment {
    let mut comparisons = compare(evidence, evidence, history, elapsed_ms);
    if let Some((earlier, _)) =
        history.latest_at_or_first(elapsed_ms.saturating_sub(RECENT_PERIOD_MS))
    {
        let recent = evidence.since(earlier);
        comparisons.extend(compare(&recent, evidence, history, elapsed_ms));
    }
    let scopes = evidence.routes.len() as f64 + 1.0;
    let alarm_probability = FALSE_ALARM_PROBABILITY / (COMPARISONS_PER_SCOPE * scopes);
    let lowest_probability = |min_bad: u64| {
        comparisons
            .iter()
            .filter(|comparison| comparison.candidate.bad >= min_bad)
            .min_by(|left, other| left.probability.total_cmp(&other.probability))
            .cloned()
    };
    if let Some(bad) = lowest_probability(MIN_BAD_FOR_ALARM)
        .filter(|comparison| comparison.probability < alarm_probability)
    {
        return Assessment::Regressed(bad);
    }
    lowest_probability(MIN_BAD_FOR_SUSPICION)
        .filter(|comparison| comparison.probability < suspicion_probability / scopes)
        .map_or(Assessment::Healthy, Assessment::Suspicious)
}

/// Whether the responses of a period rule out that the candidate fails or is slow clearly more
/// often than allowed. `error_probability` is the accepted probability of a wrong proof. Checks the
/// route of that name, or all routes together if it is empty. Routes without baseline responses are
/// not compared.
pub fn is_proved(
    route: &str,
    period: &Evidence,
    totals: &Evidence,
    history: &EvidenceHistory,
    elapsed_ms: u64,
    error_probability: f64,
) -> bool {
    compare(period, totals, history, elapsed_ms)
        .iter()
        .filter(|comparison| {
            comparison.route == route && comparison.measure != Measure::TimeToFirstByte
        })
        .all(|comparison| {
            let proof_margin = comparison.allowed_share + comparison.measure.proof_margin();
            let probability_of_more = binomial_tail(
                comparison.candidate.responses,
                comparison.candidate.bad + 1,
                proof_margin,
            );
            1.0 - probability_of_more <= error_probability
        })
}

/// Returns all comparisons of a period. `totals` is the evidence since the order.
fn compare(
    period: &Evidence,
    totals: &Evidence,
    history: &EvidenceHistory,
    elapsed_ms: u64,
) -> Vec<Comparison> {
    let mut comparisons = Vec::new();
    for measure in Measure::ALL {
        let mut all_routes = AllRoutes::default();
        for (route, route_evidence) in &period.routes {
            let Some(total) = totals.routes.get(route) else {
                continue;
            };
            let unfinished = Unfinished::for_route(route, total, history, elapsed_ms);
            let Some(route_comparison) =
                RouteComparison::for_measure(measure, route_evidence, total, unfinished)
            else {
                continue;
            };
            all_routes.add(&route_comparison);
            comparisons.push(route_comparison.comparison(measure, route));
        }
        comparisons.push(all_routes.comparison(measure));
    }
    comparisons
}

/// Number of responses that are unfinished after the time from which they count as slow.
#[derive(Clone, Copy, Debug, Default)]
struct Unfinished {
    candidate: u64,
    baseline: u64,
}

impl Unfinished {
    fn for_route(
        route: &str,
        total: &RouteEvidence,
        history: &EvidenceHistory,
        elapsed_ms: u64,
    ) -> Self {
        let Some(limit_ms) =
            slow_from_ms(&total.baseline.response_time, RESPONSE_TIME_ALLOWANCE_MS)
        else {
            return Self::default();
        };
        let Some(earlier) = history
            .latest_before(elapsed_ms.saturating_sub(limit_ms as u64 + 1))
            .and_then(|earlier| earlier.routes.get(route))
        else {
            return Self::default();
        };
        let unfinished_since =
            |sent: &ResponseCounts, now: &ResponseCounts| sent.sent.saturating_sub(now.completed());
        Self {
            candidate: unfinished_since(&earlier.candidate, &total.candidate),
            baseline: unfinished_since(&earlier.baseline, &total.baseline),
        }
    }
}

/// Counts of both versions on one route, and the allowed share of bad responses.
struct RouteComparison {
    candidate: BadResponseCount,
    baseline: BadResponseCount,
    allowed_share: f64,
}

impl RouteComparison {
    /// Returns `None` if the baseline has too few responses to compare with.
    fn for_measure(
        measure: Measure,
        period: &RouteEvidence,
        total: &RouteEvidence,
        unfinished: Unfinished,
    ) -> Option<Self> {
        let is_concurrent = period.baseline.completed() >= MIN_CONCURRENT_BASELINE_RESPONSES;
        let reference = if is_concurrent { period } else { total };
        if reference.baseline.completed() < MIN_BASELINE_RESPONSES {
            return None;
        }
        let limit_ms = match measure {
            Measure::Failures => 0.0,
            Measure::TimeToFirstByte => slow_from_ms(
                &reference.baseline.time_to_first_byte,
                FIRST_BYTE_ALLOWANCE_MS,
            )?,
            Measure::ResponseTime => slow_from_ms(
                &reference.baseline.response_time,
                RESPONSE_TIME_ALLOWANCE_MS,
            )?,
        };
        let mut candidate = count_bad_responses(measure, &period.candidate, limit_ms);
        let mut baseline = count_bad_responses(measure, &reference.baseline, limit_ms);
        if measure == Measure::ResponseTime {
            candidate.add(all_bad(unfinished.candidate));
            baseline.add(all_bad(unfinished.baseline));
        }
        let earlier_tolerance = if is_concurrent {
            0.0
        } else {
            EARLIER_BASELINE_TOLERANCE
        };
        let baseline_upper_share = upper_share(baseline.responses, baseline.bad);
        let allowed_share = baseline_upper_share
            + measure.tolerance()
            + RELATIVE_TOLERANCE * baseline.share()
            + earlier_tolerance;
        Some(Self {
            candidate,
            baseline,
            allowed_share,
        })
    }

    fn comparison(&self, measure: Measure, route: &str) -> Comparison {
        Comparison {
            measure,
            route: route.to_owned(),
            candidate: self.candidate,
            baseline: self.baseline,
            allowed_share: self.allowed_share,
            probability: probability(self.candidate, self.allowed_share),
        }
    }
}

/// Sum over all routes, each weighted with its allowed share: a version that gets more requests of
/// a route with many failures must not look worse for it.
#[derive(Default)]
struct AllRoutes {
    candidate: BadResponseCount,
    baseline: BadResponseCount,
    allowed_bad: f64,
}

impl AllRoutes {
    fn add(&mut self, route_comparison: &RouteComparison) {
        self.candidate.add(route_comparison.candidate);
        self.baseline.add(route_comparison.baseline);
        self.allowed_bad +=
            route_comparison.allowed_share * route_comparison.candidate.responses as f64;
    }

    fn comparison(&self, measure: Measure) -> Comparison {
        let allowed_share = self.allowed_bad / self.candidate.responses.max(1) as f64;
        Comparison {
            measure,
            route: String::new(),
            candidate: self.candidate,
            baseline: self.baseline,
            allowed_share,
            probability: probability(self.candidate, allowed_share),
        }
    }
}

fn probability(candidate: BadResponseCount, allowed_share: f64) -> f64 {
    binomial_tail(candidate.responses, candidate.bad, allowed_share)
}

fn count_bad_responses(
    measure: Measure,
    responses: &ResponseCounts,
    limit_ms: f64,
) -> BadResponseCount {
    match measure {
        Measure::Failures => BadResponseCount {
            responses: responses.completed(),
            bad: responses.failed,
        },
        Measure::TimeToFirstByte => count_slow(&responses.time_to_first_byte, limit_ms),
        Measure::ResponseTime => count_slow(&responses.response_time, limit_ms),
    }
}

fn count_slow(histogram: &LatencyHistogram, limit_ms: f64) -> BadResponseCount {
    BadResponseCount {
        responses: histogram.count(),
        bad: histogram.count_above(limit_ms),
    }
}

fn all_bad(responses: u64) -> BadResponseCount {
    BadResponseCount {
        responses,
        bad: responses,
    }
}

/// Time from which a response counts as slow, in milliseconds; `None` without baseline responses.
fn slow_from_ms(baseline: &LatencyHistogram, allowance_ms: f64) -> Option<f64> {
    baseline
        .quantile_ms(0.75)
        .map(|quartile| SLOW_FACTOR * quartile + allowance_ms)
}
