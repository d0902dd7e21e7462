//! A service in virtual time, with nodes that obey late, answers that take their time, and a
//! leader that hears late: enough to play a rollout against [`Controller`].
#![allow(dead_code)]

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use silversail_rollout::{
    Directive, Evidence, ExposureBudget, Rollout, RolloutController, RolloutDecision,
    RolloutLimits, RolloutOrder, RolloutProgress, RolloutState,
};
use std::collections::{BTreeMap, VecDeque};

const STEP_MS: u64 = 10;
const LEADER_STEP_MS: u64 = 100;
const LEADERLESS_MS: u64 = 500;
const RETRY_AFTER_MS: u64 = 100;
const NODES: usize = 94;

/// Requests of one route: name, how many a second, and bounds in milliseconds between which
/// first parts and whole answers take.
pub type Route = (&'static str, f64, (f64, f64), (f64, f64));

/// Streams of three kinds.
pub const STREAMS: &[Route] = &[
    ("summary", 36.3, (80.0, 160.0), (300.0, 700.0)),
    ("report", 84.5, (60.0, 120.0), (150.0, 400.0)),
    ("subtitles", 39.5, (40.0, 80.0), (500.0, 6_000.0)),
];
/// Short answers of two kinds.
pub const PLAIN: &[Route] = &[
    ("booking", 54.0, (20.0, 45.0), (20.0, 45.0)),
    ("lookup", 12.5, (20.0, 45.0), (20.0, 45.0)),
];
/// Calls of a batched service.
pub const BATCHED: &[Route] = &[("(batch)", 60.0, (220.0, 420.0), (220.0, 420.0))];

/// How a candidate is bad.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    pub failing: f64,
    pub times_slower: f64,
    pub from_part: f64,
    pub above_share: f64,
    pub route: Option<usize>,
}

pub const GOOD: Fault = Fault {
    failing: 0.0,
    times_slower: 1.0,
    from_part: 0.0,
    above_share: 0.0,
    route: None,
};

/// What happens to the system in the middle of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Upset {
    None,
    /// Another leader takes over half a second after this time, in milliseconds.
    NewLeader(u64),
    /// All processes are killed at this time, are back half a second later with no counts.
    AllRestart(u64),
}

impl Upset {
    fn at_ms(self) -> Option<u64> {
        match self {
            Self::None => None,
            Self::NewLeader(at) | Self::AllRestart(at) => Some(at),
        }
    }
}

/// One run.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    pub routes: &'static [Route],
    pub fault: Fault,
    pub has_background: bool,
    pub upset: Upset,
    pub duration_ms: u64,
    /// Times between which a directive reaches a node.
    pub directive_delay_ms: (u64, u64),
    /// Time until the leader has a node's counts.
    pub report_delay_ms: u64,
}

/// What came of it.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub decision: Option<RolloutDecision>,
    pub decided_at_ms: u64,
    /// Requests in all, and those of the candidate, until the deadline.
    pub until_deadline: (u64, u64),
    /// Requests of the candidate until the last one.
    pub to_candidate: u64,
    pub bad_answers: u64,
    pub bad_answers_at_decision: u64,
    /// From the 50th bad answer to the last request of a candidate that was rolled back.
    pub last_after_50th_ms: Option<u64>,
    pub left_at_baseline: u64,
    /// When each directive was decided.
    pub directives: Vec<(u64, Directive)>,
}

impl Outcome {
    pub fn is_completed(&self) -> bool {
        matches!(self.decision, Some(RolloutDecision::Complete { .. }))
    }

    /// Bound of the settings, by the requests until the deadline.
    pub fn bound(&self) -> f64 {
        let limits = RolloutLimits::default();
        limits.exposure_share * self.until_deadline.0 as f64 + limits.exposure_slack
    }
}

#[derive(Clone)]
struct Call {
    route: usize,
    is_candidate: bool,
    is_bad: bool,
    is_slower: bool,
    first_ms: u64,
    whole_ms: u64,
    is_repeat: bool,
}

#[derive(Default)]
struct Node {
    budget: ExposureBudget,
    directive: Directive,
    coming: VecDeque<(u64, Directive)>,
}

struct Fake {
    setting: Setting,
    random: ChaCha8Rng,
    nodes: Vec<Node>,
    calls: BTreeMap<u64, Vec<Call>>,
    repeats: BTreeMap<u64, Vec<usize>>,
    evidence: Evidence,
    reports: VecDeque<(u64, Evidence)>,
    last_sends: VecDeque<(u64, bool)>,
    is_rolled_back: Vec<bool>,
    last_to_candidate_ms: u64,
    fiftieth_bad_ms: Option<u64>,
    outcome: Outcome,
}

/// Plays a rollout to its end, and on until no node sends to a candidate that was rolled back.
pub fn play(setting: Setting, seed: u64) -> Outcome {
    let mut fake = Fake::new(setting, seed);
    let leader = |fake: &Fake, directive: &Directive, elapsed_ms: u64| {
        RolloutController::new(
            &fake.rollout(directive, elapsed_ms),
            RolloutLimits::default(),
        )
        .with_report_lag_ms(setting.report_delay_ms)
    };
    let mut controller = leader(&fake, &Directive::default(), 0);
    let mut directive = Directive::default();
    let mut now = 0;
    let mut end = setting.duration_ms + 15_000;
    while now < end {
        fake.step(now);
        let is_leaderless = setting
            .upset
            .at_ms()
            .is_some_and(|at| (at..at + LEADERLESS_MS).contains(&now));
        if setting.upset.at_ms() == Some(now) && fake.outcome.decision.is_none() {
            let committed = now / 1_000 * 1_000;
            controller = leader(&fake, &directive, committed);
            fake.upset(&directive);
        }
        let is_asked = now.is_multiple_of(LEADER_STEP_MS) && !is_leaderless;
        if is_asked && fake.outcome.decision.is_none() {
            let (evidence, progress) = fake.heard();
            match controller.decide(&evidence, &progress, now) {
                Some(RolloutDecision::Issue(next)) => {
                    directive = next.clone();
                    fake.outcome.directives.push((now, next.clone()));
                    fake.direct(now, next);
                }
                Some(decided) => {
                    fake.end(now, decided);
                    end = (now + 1_500).max(setting.duration_ms);
                }
                None => {}
            }
        }
        now += STEP_MS;
    }
    fake.finish()
}

impl Fake {
    fn new(setting: Setting, seed: u64) -> Self {
        Self {
            setting,
            random: ChaCha8Rng::seed_from_u64(seed),
            nodes: (0..NODES).map(|_| Node::default()).collect(),
            calls: BTreeMap::new(),
            repeats: BTreeMap::new(),
            evidence: Evidence::default(),
            reports: VecDeque::from([(0, Evidence::default())]),
            last_sends: VecDeque::new(),
            is_rolled_back: vec![false; NODES],
            last_to_candidate_ms: 0,
            fiftieth_bad_ms: None,
            outcome: Outcome::default(),
        }
    }

    fn rollout(&self, directive: &Directive, elapsed_ms: u64) -> Rollout {
        Rollout {
            number: 1,
            order: RolloutOrder {
                service: "service".into(),
                target_version: "next".into(),
                duration_ms: self.setting.duration_ms,
            },
            state: RolloutState::InProgress(directive.clone()),
            elapsed_ms,
        }
    }

    /// Processes that start again take the committed directive and count anew; what was under
    /// way is lost.
    fn upset(&mut self, directive: &Directive) {
        if !matches!(self.setting.upset, Upset::AllRestart(_)) {
            return;
        }
        for node in &mut self.nodes {
            node.budget = ExposureBudget::new();
            node.directive = directive.clone();
            node.coming.clear();
        }
        self.calls.clear();
        self.evidence = Evidence::default();
        self.reports = VecDeque::from([(0, Evidence::default())]);
    }

    fn step(&mut self, now: u64) {
        for node in &mut self.nodes {
            while node.coming.front().is_some_and(|(at, _)| *at <= now) {
                node.directive = node.coming.pop_front().unwrap().1;
            }
        }
        for call in self.calls.remove(&now).unwrap_or_default() {
            self.answer(now, &call);
        }
        for route in self.repeats.remove(&now).unwrap_or_default() {
            self.arrive(now, route, true);
        }
        let is_down = matches!(self.setting.upset, Upset::AllRestart(at) if (at..at + LEADERLESS_MS).contains(&now));
        for route in 0..self.setting.routes.len() {
            if is_down {
                break;
            }
            let mut left = self.setting.routes[route].1 * STEP_MS as f64 / 1_000.0;
            while left > 0.0 {
                if self.random.gen::<f64>() < left.min(0.5) {
                    self.arrive(now, route, false);
                }
                left -= 0.5;
            }
        }
        if now.is_multiple_of(LEADER_STEP_MS) {
            self.report(now);
        }
    }

    fn report(&mut self, now: u64) {
        self.evidence.step = self
            .nodes
            .iter()
            .map(|node| node.directive.step)
            .min()
            .unwrap();
        self.reports.push_back((now, self.evidence.clone()));
        while self.reports.len() > 2 && self.reports[1].0 + self.setting.report_delay_ms <= now {
            self.reports.pop_front();
        }
    }

    fn heard(&self) -> (Evidence, RolloutProgress) {
        let evidence = self.reports[0].1.clone();
        let newest = self
            .nodes
            .iter()
            .filter_map(|node| node.coming.back().map(|(_, directive)| directive.step))
            .chain(self.nodes.iter().map(|node| node.directive.step))
            .max();
        let progress = RolloutProgress {
            ready_candidate_backends: 60,
            baseline_versions: ["last".to_owned()].into(),
            is_applied_everywhere: Some(evidence.step) == newest,
        };
        (evidence, progress)
    }

    fn delay(&mut self) -> u64 {
        let (least, most) = self.setting.directive_delay_ms;
        self.random.gen_range(least..=most) / STEP_MS * STEP_MS
    }

    fn direct(&mut self, now: u64, directive: Directive) {
        for node in 0..NODES {
            let mut at = now + self.delay();
            if let Some((last, _)) = self.nodes[node].coming.back() {
                at = at.max(*last);
            }
            self.nodes[node].coming.push_back((at, directive.clone()));
        }
    }

    fn end(&mut self, now: u64, decision: RolloutDecision) {
        if matches!(decision, RolloutDecision::RollBack(_)) {
            self.direct(
                now,
                Directive {
                    step: u32::MAX,
                    ..Directive::default()
                },
            );
        }
        self.outcome.left_at_baseline = self.evidence.baseline_in_flight;
        self.outcome.bad_answers_at_decision = self.outcome.bad_answers;
        self.outcome.decided_at_ms = now;
        self.outcome.decision = Some(decision);
    }

    fn arrive(&mut self, now: u64, route: usize, is_repeat: bool) {
        let name = self.setting.routes[route].0;
        let lot = self.random.gen();
        let node = self.random.gen_range(0..NODES);
        let node = &mut self.nodes[node];
        let is_candidate = self.outcome.is_completed()
            || node
                .budget
                .may_send_to_candidate(&node.directive, name, lot);
        node.budget.record_sent(is_candidate);
        self.count_send(now, route, is_candidate);
        let call = self.call(now, route, is_candidate, is_repeat);
        let ends = now + (call.whole_ms / STEP_MS).max(1) * STEP_MS;
        self.calls.entry(ends).or_default().push(call);
    }

    fn count_send(&mut self, now: u64, route: usize, is_candidate: bool) {
        let name = self.setting.routes[route].0.to_owned();
        let seen = self.evidence.routes.entry(name).or_default();
        if is_candidate {
            seen.candidate.sent += 1;
            self.last_to_candidate_ms = now;
            self.outcome.to_candidate += 1;
        } else {
            seen.baseline.sent += 1;
            self.evidence.baseline_in_flight += 1;
        }
        if now < self.setting.duration_ms {
            self.outcome.until_deadline.0 += 1;
            self.outcome.until_deadline.1 += u64::from(is_candidate);
        }
        self.last_sends.push_back((now, is_candidate));
        while self.last_sends[0].0 + 300 < now {
            self.last_sends.pop_front();
        }
    }

    fn is_faulty(&self, now: u64, route: usize) -> bool {
        let fault = self.setting.fault;
        let to_candidate = self
            .last_sends
            .iter()
            .filter(|(_, candidate)| *candidate)
            .count();
        let share = to_candidate as f64 / self.last_sends.len() as f64;
        now as f64 >= fault.from_part * self.setting.duration_ms as f64
            && share >= fault.above_share
            && fault.route.is_none_or(|only| only == route)
    }

    fn call(&mut self, now: u64, route: usize, is_candidate: bool, is_repeat: bool) -> Call {
        let (_, _, first, whole) = self.setting.routes[route];
        let part = self.random.gen::<f64>();
        let mut factor = 1.0;
        let mut failing = 0.0;
        if self.setting.has_background {
            failing = 0.05;
            factor *= if self.random.gen_bool(0.1) { 4.0 } else { 1.0 };
        }
        let is_faulty = is_candidate && self.is_faulty(now, route);
        if is_faulty {
            failing += self.setting.fault.failing;
            factor *= self.setting.fault.times_slower;
        }
        let is_bad = self.random.gen_bool(failing.min(1.0));
        let whole_ms = factor * (whole.0 + part * (whole.1 - whole.0));
        let whole_ms = if is_bad { whole_ms / 2.0 } else { whole_ms };
        Call {
            route,
            is_candidate,
            is_bad,
            is_slower: is_faulty && self.setting.fault.times_slower > 1.0,
            first_ms: (factor * (first.0 + part * (first.1 - first.0))) as u64,
            whole_ms: whole_ms as u64,
            is_repeat,
        }
    }

    fn answer(&mut self, now: u64, call: &Call) {
        let name = self.setting.routes[call.route].0;
        let seen = self.evidence.routes.get_mut(name).unwrap();
        let answers = if call.is_candidate {
            &mut seen.candidate
        } else {
            self.evidence.baseline_in_flight -= 1;
            &mut seen.baseline
        };
        if call.is_bad {
            answers.failed += 1;
        } else {
            answers.succeeded += 1;
            answers.time_to_first_byte.record(call.first_ms);
            answers.response_time.record(call.whole_ms);
        }
        if call.is_candidate && (call.is_bad || call.is_slower) {
            self.outcome.bad_answers += 1;
            if self.outcome.bad_answers == 50 {
                self.fiftieth_bad_ms = Some(now);
            }
        }
        if call.is_bad && !call.is_repeat {
            self.repeats
                .entry(now + RETRY_AFTER_MS)
                .or_default()
                .push(call.route);
        }
    }

    fn finish(mut self) -> Outcome {
        if matches!(self.outcome.decision, Some(RolloutDecision::RollBack(_))) {
            self.outcome.last_after_50th_ms = self
                .fiftieth_bad_ms
                .map(|at| self.last_to_candidate_ms.saturating_sub(at));
        }
        self.outcome
    }
}
