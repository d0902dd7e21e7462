//! Compares the candidate's answers with those that the baseline gave to the same routes in the
//! same period.
//!
//! Three things are compared: failures, slow first parts and slow whole answers, on each route
//! and on all together, since the order and in the last seconds alone, so that a version that
//! turns bad late is seen as soon as one that is bad from the start. An answer is slow where
//! it took over twice what three quarters of the baseline's answers needed, and so is one that
//! has no end after that time.
//!
//! Of each comparison the probability is computed that so many of the candidate's answers are
//! bad where each is with the upper bound of the baseline's share and a tolerance more (exact
//! binomial tail). Trouble that hits both sides raises both shares.

use crate::evidence::{Evidence, ResponseCounts, RouteEvidence};
use crate::history::History;
use crate::latency::LatencyHistogram;
use crate::order::Verdict;
use crate::statistics::{binomial_tail, upper_share};

/// Length of the period in which what came lately is judged alone, in milliseconds: long enough
/// for some hundred answers of the baseline, short against a roll-back's bound of seconds.
const RECENT_MS: u64 = 3_000;
/// Probability of a false alarm in one look at all comparisons. A leader looks some hundred
/// times in a rollout, most of them at nearly the same answers.
const FALSE_ALARM: f64 = 5e-4;
/// Probability below which a comparison is suspicious: no step is taken while one is.
const SUSPICION: f64 = 0.05;
/// The same where the bound on what a bad version may get is reached.
const STRICT_SUSPICION: f64 = 0.2;
/// Fewest bad answers that condemn: less may be one connection or one node.
const FEWEST_BAD: u64 = 5;
/// Fewest bad answers that are suspicious.
const FEWEST_SUSPICIOUS: u64 = 3;
/// Share of failures beyond what is allowed that a proof rules out: it takes some 20 answers,
/// which a service gets in a fraction of a second.
const RULED_OUT_FAILURES: f64 = 0.18;
/// Share of slow answers beyond what is allowed that a proof rules out.
const RULED_OUT_SLOW: f64 = 0.3;
/// Answers of the baseline from which its share of a period is taken; with fewer, as after the
/// route was moved, its share since the order is.
const ENOUGH_BASELINE: u64 = 30;
/// Answers of the baseline since the order without which nothing is compared: its third quartile
/// and the bound on its share say nothing.
pub const FEWEST_BASELINE: u64 = 10;
/// Share of failures beyond the baseline's that is let pass: one bad back end among many.
const FAILURE_TOLERANCE: f64 = 0.01;
/// Part of the baseline's share of bad answers that is let pass beyond it: in trouble back ends
/// differ more. Of 200 good versions of streams amid trouble 2 were rolled back instead of 12.
const TROUBLE_TOLERANCE: f64 = 0.25;
/// Share of slow answers beyond the baseline's that is let pass: a version that is several
/// times slower has most of its answers beyond twice the baseline's third quartile.
const SLOW_TOLERANCE: f64 = 0.15;
/// What is let pass beyond it where the baseline's answers are of an earlier time.
const OTHER_TIME_TOLERANCE: f64 = 0.03;
/// A time is slow beyond this many times the baseline's third quartile.
const SLOW_FACTOR: f64 = 2.0;
/// Beyond that, what a first part may take longer, in milliseconds: a new back end reads each
/// prompt anew, some thousand tokens at 30 to 50 a millisecond.
const FIRST_PART_ALLOWANCE_MS: f64 = 250.0;
/// Beyond that, what a whole answer may take longer, in milliseconds: jitter of short answers.
const WHOLE_ALLOWANCE_MS: f64 = 20.0;
/// Comparisons of a route: two periods, three things.
const COMPARISONS: f64 = 6.0;

/// What is compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Measure {
    /// Share of answers that failed.
    Failures,
    /// Share of answers whose first part was late.
    FirstPart,
    /// Share of answers whose end was late.
    Whole,
}

impl Measure {
    const ALL: [Self; 3] = [Self::Failures, Self::FirstPart, Self::Whole];

    /// The word for it in a verdict.
    pub fn reason(self) -> &'static str {
        match self {
            Self::Failures => "failures",
            Self::FirstPart => "slow_first_part",
            Self::Whole => "slow",
        }
    }

    fn ruled_out(self) -> f64 {
        match self {
            Self::Failures => RULED_OUT_FAILURES,
            Self::FirstPart | Self::Whole => RULED_OUT_SLOW,
        }
    }

    fn tolerance(self) -> f64 {
        match self {
            Self::Failures => FAILURE_TOLERANCE,
            Self::FirstPart | Self::Whole => SLOW_TOLERANCE,
        }
    }
}

/// Answers counted and how many of them were bad.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Answers.
    pub answers: u64,
    /// Bad ones.
    pub bad: u64,
}

impl Tally {
    fn share(self) -> f64 {
        self.bad as f64 / self.answers.max(1) as f64
    }

    fn add(&mut self, other: Self) {
        self.answers += other.answers;
        self.bad += other.bad;
    }
}

/// One comparison of the candidate with the baseline.
#[derive(Clone, Debug, PartialEq)]
pub struct Comparison {
    /// What is compared.
    pub measure: Measure,
    /// The route; empty for all together.
    pub route: String,
    /// Of the candidate.
    pub candidate: Tally,
    /// Of the baseline.
    pub baseline: Tally,
    /// Share of bad answers up to which the candidate is as good as the baseline.
    pub allowed_share: f64,
    /// Probability of so many bad answers of a candidate that is as good as the baseline.
    pub probability: f64,
}

impl Comparison {
    /// The verdict that it gives.
    pub fn verdict(&self, elapsed_ms: u64) -> Verdict {
        Verdict {
            reason: self.measure.reason().to_owned(),
            route: self.route.clone(),
            candidate: (self.candidate.answers, self.candidate.bad),
            baseline: (self.baseline.answers, self.baseline.bad),
            elapsed_ms,
        }
    }
}

/// What all comparisons come to.
#[derive(Clone, Debug, PartialEq)]
pub enum Finding {
    /// None stands out.
    Sound,
    /// This one may be chance.
    Suspicious(Comparison),
    /// This one is not chance.
    Bad(Comparison),
}

/// Looks at all comparisons and tells the worst.
pub fn assess(evidence: &Evidence, history: &History, elapsed_ms: u64) -> Finding {
    assess_with(SUSPICION, evidence, history, elapsed_ms)
}

/// The same where the candidate may get no more requests without proof, and less is suspicious.
pub fn assess_strictly(evidence: &Evidence, history: &History, elapsed_ms: u64) -> Finding {
    assess_with(STRICT_SUSPICION, evidence, history, elapsed_ms)
}

fn assess_with(suspicion: f64, evidence: &Evidence, history: &History, elapsed_ms: u64) -> Finding {
    let mut comparisons = compare(evidence, evidence, history, elapsed_ms);
    if let Some((earlier, _)) = history.at(elapsed_ms.saturating_sub(RECENT_MS)) {
        let recent = evidence.since(earlier);
        comparisons.extend(compare(&recent, evidence, history, elapsed_ms));
    }
    let scopes = evidence.routes.len() as f64 + 1.0;
    let alarm = FALSE_ALARM / (COMPARISONS * scopes);
    let worst = |fewest: u64| {
        comparisons
            .iter()
            .filter(|seen| seen.candidate.bad >= fewest)
            .min_by(|one, other| one.probability.total_cmp(&other.probability))
            .cloned()
    };
    if let Some(bad) = worst(FEWEST_BAD).filter(|seen| seen.probability < alarm) {
        return Finding::Bad(bad);
    }
    worst(FEWEST_SUSPICIOUS)
        .filter(|seen| seen.probability < suspicion / scopes)
        .map_or(Finding::Sound, Finding::Suspicious)
}

/// Whether the answers of a period rule out that the candidate fails or is slow clearly more
/// often than allowed; `chance` is the probability to err for one that does. Looks at one route,
/// or at all together where it is empty. Nothing is ruled out where the baseline has no answers.
pub fn is_proved(
    route: &str,
    period: &Evidence,
    totals: &Evidence,
    history: &History,
    elapsed_ms: u64,
    chance: f64,
) -> bool {
    compare(period, totals, history, elapsed_ms)
        .iter()
        .filter(|seen| seen.route == route && seen.measure != Measure::FirstPart)
        .all(|seen| {
            let ruled_out = seen.allowed_share + seen.measure.ruled_out();
            let more = binomial_tail(seen.candidate.answers, seen.candidate.bad + 1, ruled_out);
            1.0 - more <= chance
        })
}

/// All comparisons of a period. `totals` is what was counted since the order.
fn compare(
    period: &Evidence,
    totals: &Evidence,
    history: &History,
    elapsed_ms: u64,
) -> Vec<Comparison> {
    let mut comparisons = Vec::new();
    for measure in Measure::ALL {
        let mut together = Together::default();
        for (route, seen) in &period.routes {
            let Some(total) = totals.routes.get(route) else {
                continue;
            };
            let overdue = Overdue::of(route, total, history, elapsed_ms);
            let Some(sides) = Sides::of(measure, seen, total, overdue) else {
                continue;
            };
            together.add(&sides);
            comparisons.push(sides.comparison(measure, route));
        }
        comparisons.push(together.comparison(measure));
    }
    comparisons
}

/// Answers that have no end after the time from which they are slow.
#[derive(Clone, Copy, Debug, Default)]
struct Overdue {
    candidate: u64,
    baseline: u64,
}

impl Overdue {
    fn of(route: &str, total: &RouteEvidence, history: &History, elapsed_ms: u64) -> Self {
        let Some(limit_ms) = slow_from_ms(&total.baseline.response_time, WHOLE_ALLOWANCE_MS) else {
            return Self::default();
        };
        let Some(then) = history
            .before(elapsed_ms.saturating_sub(limit_ms as u64 + 1))
            .and_then(|earlier| earlier.routes.get(route))
        else {
            return Self::default();
        };
        let open =
            |sent: &ResponseCounts, now: &ResponseCounts| sent.sent.saturating_sub(now.completed());
        Self {
            candidate: open(&then.candidate, &total.candidate),
            baseline: open(&then.baseline, &total.baseline),
        }
    }
}

/// Both versions on one route, and the share of bad answers that a good candidate may have.
struct Sides {
    candidate: Tally,
    baseline: Tally,
    allowed_share: f64,
}

impl Sides {
    /// None where the baseline has too few answers to compare with.
    fn of(
        measure: Measure,
        period: &RouteEvidence,
        total: &RouteEvidence,
        overdue: Overdue,
    ) -> Option<Self> {
        let is_same_time = period.baseline.completed() >= ENOUGH_BASELINE;
        let reference = if is_same_time { period } else { total };
        if reference.baseline.completed() < FEWEST_BASELINE {
            return None;
        }
        let limit_ms = match measure {
            Measure::Failures => 0.0,
            Measure::FirstPart => slow_from_ms(
                &reference.baseline.time_to_first_byte,
                FIRST_PART_ALLOWANCE_MS,
            )?,
            Measure::Whole => slow_from_ms(&reference.baseline.response_time, WHOLE_ALLOWANCE_MS)?,
        };
        let mut candidate = tally(measure, &period.candidate, limit_ms);
        let mut baseline = tally(measure, &reference.baseline, limit_ms);
        if measure == Measure::Whole {
            candidate.add(all_bad(overdue.candidate));
            baseline.add(all_bad(overdue.baseline));
        }
        let other_time = if is_same_time {
            0.0
        } else {
            OTHER_TIME_TOLERANCE
        };
        let upper = upper_share(baseline.answers, baseline.bad);
        let allowed_share =
            upper + measure.tolerance() + TROUBLE_TOLERANCE * baseline.share() + other_time;
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

/// All routes, each with what is allowed on it: a version that has more of the requests of a
/// route that fails more anyway isn't the worse for it.
#[derive(Default)]
struct Together {
    candidate: Tally,
    baseline: Tally,
    allowed: f64,
}

impl Together {
    fn add(&mut self, sides: &Sides) {
        self.candidate.add(sides.candidate);
        self.baseline.add(sides.baseline);
        self.allowed += sides.allowed_share * sides.candidate.answers as f64;
    }

    fn comparison(&self, measure: Measure) -> Comparison {
        let allowed_share = self.allowed / self.candidate.answers.max(1) as f64;
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

fn probability(candidate: Tally, allowed_share: f64) -> f64 {
    binomial_tail(candidate.answers, candidate.bad, allowed_share)
}

fn tally(measure: Measure, answers: &ResponseCounts, limit_ms: f64) -> Tally {
    match measure {
        Measure::Failures => Tally {
            answers: answers.completed(),
            bad: answers.failed,
        },
        Measure::FirstPart => slow_tally(&answers.time_to_first_byte, limit_ms),
        Measure::Whole => slow_tally(&answers.response_time, limit_ms),
    }
}

fn slow_tally(times: &LatencyHistogram, limit_ms: f64) -> Tally {
    Tally {
        answers: times.count(),
        bad: times.count_above(limit_ms),
    }
}

fn all_bad(answers: u64) -> Tally {
    Tally {
        answers,
        bad: answers,
    }
}

/// Time from which an answer is slow, in milliseconds.
fn slow_from_ms(baseline: &LatencyHistogram, allowance_ms: f64) -> Option<f64> {
    baseline
        .quantile_ms(0.75)
        .map(|quartile| SLOW_FACTOR * quartile + allowance_ms)
}
