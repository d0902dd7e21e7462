//! Simulation of a service in virtual time, with delayed directives, reports and responses, to run
//! rollouts with [`RolloutController`].
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
const ELECTION_MS: u64 = 500;
const RETRY_AFTER_MS: u64 = 100;
const NODES: usize = 94;

/// Load of one route: name, requests per second, and the bounds of the time to first byte and of
/// the response time, in milliseconds.
pub type Route = (&'static str, f64, (f64, f64), (f64, f64));

/// Routes with streamed responses.
pub const STREAMS: &[Route] = &[
    ("summary", 36.3, (80.0, 160.0), (300.0, 700.0)),
    ("report", 84.5, (60.0, 120.0), (150.0, 400.0)),
    ("subtitles", 39.5, (40.0, 80.0), (500.0, 6_000.0)),
];
/// Routes with short responses.
pub const PLAIN: &[Route] = &[
    ("booking", 54.0, (20.0, 45.0), (20.0, 45.0)),
    ("lookup", 12.5, (20.0, 45.0), (20.0, 45.0)),
];
/// Calls of a batched service.
pub const BATCHED: &[Route] = &[("(batch)", 60.0, (220.0, 420.0), (220.0, 420.0))];

/// Fault of a candidate.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    pub failure_probability: f64,
    pub slowdown_factor: f64,
    pub active_after_fraction: f64,
    pub min_candidate_share: f64,
    pub route: Option<usize>,
}

pub const GOOD: Fault = Fault {
    failure_probability: 0.0,
    slowdown_factor: 1.0,
    active_after_fraction: 0.0,
    min_candidate_share: 0.0,
    route: None,
};

/// Disturbance of the cluster during a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disturbance {
    None,
    /// A new leader takes over half a second after this time, in milliseconds.
    NewLeader(u64),
    /// All processes are killed at this time, in milliseconds, and restart half a second later
    /// without counts.
    RestartAll(u64),
}

impl Disturbance {
    fn at_ms(self) -> Option<u64> {
        match self {
            Self::None => None,
            Self::NewLeader(at_ms) | Self::RestartAll(at_ms) => Some(at_ms),
        }
    }
}

/// Configuration of one simulation run.
#[derive(Clone, Copy, Debug)]
pub struct SimulationConfig {
    pub routes: &'static [Route],
    pub fault: Fault,
    pub has_background_failures: bool,
    pub disturbance: Disturbance,
    pub duration_ms: u64,
    /// Bounds of the time until a directive reaches a node, in milliseconds.
    pub directive_delay_ms: (u64, u64),
    /// Time until the leader receives the counts of a node, in milliseconds.
    pub report_delay_ms: u64,
}

/// Result of one simulation run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub decision: Option<RolloutDecision>,
    pub decided_at_ms: u64,
    /// Number of all requests and of candidate requests until the deadline.
    pub requests_until_deadline: (u64, u64),
    /// Number of candidate requests in the whole run.
    pub candidate_requests: u64,
    pub bad_responses: u64,
    pub bad_responses_at_decision: u64,
    /// Time from the 50th bad response to the last request of a candidate that was rolled back, in
    /// milliseconds.
    pub last_request_after_50th_bad_ms: Option<u64>,
    pub baseline_in_flight_at_decision: u64,
    /// Directives, each with the time at which it was issued.
    pub directives: Vec<(u64, Directive)>,
}

impl Outcome {
    pub fn is_completed(&self) -> bool {
        matches!(self.decision, Some(RolloutDecision::Complete { .. }))
    }

    /// Exposure bound of the default limits for the requests until the deadline.
    pub fn bound(&self) -> f64 {
        let limits = RolloutLimits::default();
        limits.exposure_share * self.requests_until_deadline.0 as f64 + limits.exposure_slack
    }
}

#[derive(Clone)]
struct Call {
    route: usize,
    is_candidate: bool,
    is_bad: bool,
    is_slow: bool,
    first_byte_ms: u64,
    response_ms: u64,
    is_retry: bool,
}

#[derive(Default)]
struct Node {
    budget: ExposureBudget,
    directive: Directive,
    pending_directives: VecDeque<(u64, Directive)>,
}

struct SimulatedService {
    config: SimulationConfig,
    random: ChaCha8Rng,
    nodes: Vec<Node>,
    calls: BTreeMap<u64, Vec<Call>>,
    retries: BTreeMap<u64, Vec<usize>>,
    evidence: Evidence,
    reports: VecDeque<(u64, Evidence)>,
    last_sends: VecDeque<(u64, bool)>,
    is_rolled_back: Vec<bool>,
    last_to_candidate_ms: u64,
    fiftieth_bad_ms: Option<u64>,
    outcome: Outcome,
}

/// Simulates a rollout to its end, and until no node sends requests to a candidate that was rolled
/// back.
pub fn simulate(config: SimulationConfig, seed: u64) -> Outcome {
    let mut service = SimulatedService::new(config, seed);
    let new_controller = |service: &SimulatedService, directive: &Directive, elapsed_ms: u64| {
        RolloutController::new(
            &service.rollout(directive, elapsed_ms),
            RolloutLimits::default(),
        )
        .with_report_lag_ms(config.report_delay_ms)
    };
    let mut controller = new_controller(&service, &Directive::default(), 0);
    let mut directive = Directive::default();
    let mut now = 0;
    let mut end_ms = config.duration_ms + 15_000;
    while now < end_ms {
        service.step(now);
        let is_leaderless = config
            .disturbance
            .at_ms()
            .is_some_and(|at_ms| (at_ms..at_ms + ELECTION_MS).contains(&now));
        if config.disturbance.at_ms() == Some(now) && service.outcome.decision.is_none() {
            let committed_elapsed_ms = now / 1_000 * 1_000;
            controller = new_controller(&service, &directive, committed_elapsed_ms);
            service.apply_disturbance(&directive);
        }
        let is_decision_due = now.is_multiple_of(LEADER_STEP_MS) && !is_leaderless;
        if is_decision_due && service.outcome.decision.is_none() {
            let (evidence, progress) = service.reported_state();
            match controller.decide(&evidence, &progress, now) {
                Some(RolloutDecision::Issue(next)) => {
                    directive = next.clone();
                    service.outcome.directives.push((now, next.clone()));
                    service.distribute_directive(now, next);
                }
                Some(decision) => {
                    service.record_decision(now, decision);
                    end_ms = (now + 1_500).max(config.duration_ms);
                }
                None => {}
            }
        }
        now += STEP_MS;
    }
    service.finish()
}

impl SimulatedService {
    fn new(config: SimulationConfig, seed: u64) -> Self {
        Self {
            config,
            random: ChaCha8Rng::seed_from_u64(seed),
            nodes: (0..NODES).map(|_| Node::default()).collect(),
            calls: BTreeMap::new(),
            retries: BTreeMap::new(),
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
                duration_ms: self.config.duration_ms,
            },
            state: RolloutState::InProgress(directive.clone()),
            elapsed_ms,
        }
    }

    /// Restarted processes apply the committed directive with empty counts; requests in flight are
    /// lost.
    fn apply_disturbance(&mut self, directive: &Directive) {
        if !matches!(self.config.disturbance, Disturbance::RestartAll(_)) {
            return;
        }
        for node in &mut self.nodes {
            node.budget = ExposureBudget::new();
            node.directive = directive.clone();
            node.pending_directives.clear();
        }
        self.calls.clear();
        self.evidence = Evidence::default();
        self.reports = VecDeque::from([(0, Evidence::default())]);
    }

    fn step(&mut self, now: u64) {
        for node in &mut self.nodes {
            while node
                .pending_directives
                .front()
                .is_some_and(|(at_ms, _)| *at_ms <= now)
            {
                node.directive = node.pending_directives.pop_front().unwrap().1;
            }
        }
        for call in self.calls.remove(&now).unwrap_or_default() {
            self.complete_call(now, &call);
        }
        for route in self.retries.remove(&now).unwrap_or_default() {
            self.send_request(now, route, true);
        }
        let is_down = matches!(self.config.disturbance, Disturbance::RestartAll(at_ms) if (at_ms..at_ms + ELECTION_MS).contains(&now));
        for route in 0..self.config.routes.len() {
            if is_down {
                break;
            }
            let mut expected_arrivals = self.config.routes[route].1 * STEP_MS as f64 / 1_000.0;
            while expected_arrivals > 0.0 {
                if self.random.gen::<f64>() < expected_arrivals.min(0.5) {
                    self.send_request(now, route, false);
                }
                expected_arrivals -= 0.5;
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
        while self.reports.len() > 2 && self.reports[1].0 + self.config.report_delay_ms <= now {
            self.reports.pop_front();
        }
    }

    fn reported_state(&self) -> (Evidence, RolloutProgress) {
        let evidence = self.reports[0].1.clone();
        let newest = self
            .nodes
            .iter()
            .filter_map(|node| {
                node.pending_directives
                    .back()
                    .map(|(_, directive)| directive.step)
            })
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
        let (min_ms, max_ms) = self.config.directive_delay_ms;
        self.random.gen_range(min_ms..=max_ms) / STEP_MS * STEP_MS
    }

    fn distribute_directive(&mut self, now: u64, directive: Directive) {
        for node in 0..NODES {
            let mut at_ms = now + self.delay();
            if let Some((previous_at, _)) = self.nodes[node].pending_directives.back() {
                at_ms = at_ms.max(*previous_at);
            }
            self.nodes[node]
                .pending_directives
                .push_back((at_ms, directive.clone()));
        }
    }

    fn record_decision(&mut self, now: u64, decision: RolloutDecision) {
        if matches!(decision, RolloutDecision::RollBack(_)) {
            self.distribute_directive(
                now,
                Directive {
                    step: u32::MAX,
                    ..Directive::default()
                },
            );
        }
        self.outcome.baseline_in_flight_at_decision = self.evidence.baseline_in_flight;
        self.outcome.bad_responses_at_decision = self.outcome.bad_responses;
        self.outcome.decided_at_ms = now;
        self.outcome.decision = Some(decision);
    }

    fn send_request(&mut self, now: u64, route: usize, is_retry: bool) {
        let name = self.config.routes[route].0;
        let sampling_key = self.random.gen();
        let node = self.random.gen_range(0..NODES);
        let node = &mut self.nodes[node];
        let is_candidate = self.outcome.is_completed()
            || node
                .budget
                .may_send_to_candidate(&node.directive, name, sampling_key);
        node.budget.record_sent(is_candidate);
        self.count_send(now, route, is_candidate);
        let call = self.call(now, route, is_candidate, is_retry);
        let completed_at_ms = now + (call.response_ms / STEP_MS).max(1) * STEP_MS;
        self.calls.entry(completed_at_ms).or_default().push(call);
    }

    fn count_send(&mut self, now: u64, route: usize, is_candidate: bool) {
        let name = self.config.routes[route].0.to_owned();
        let route_evidence = self.evidence.routes.entry(name).or_default();
        if is_candidate {
            route_evidence.candidate.sent += 1;
            self.last_to_candidate_ms = now;
            self.outcome.candidate_requests += 1;
        } else {
            route_evidence.baseline.sent += 1;
            self.evidence.baseline_in_flight += 1;
        }
        if now < self.config.duration_ms {
            self.outcome.requests_until_deadline.0 += 1;
            self.outcome.requests_until_deadline.1 += u64::from(is_candidate);
        }
        self.last_sends.push_back((now, is_candidate));
        while self.last_sends[0].0 + 300 < now {
            self.last_sends.pop_front();
        }
    }

    fn is_faulty(&self, now: u64, route: usize) -> bool {
        let fault = self.config.fault;
        let candidate_requests = self
            .last_sends
            .iter()
            .filter(|(_, candidate)| *candidate)
            .count();
        let share = candidate_requests as f64 / self.last_sends.len() as f64;
        now as f64 >= fault.active_after_fraction * self.config.duration_ms as f64
            && share >= fault.min_candidate_share
            && fault.route.is_none_or(|faulty_route| faulty_route == route)
    }

    fn call(&mut self, now: u64, route: usize, is_candidate: bool, is_retry: bool) -> Call {
        let (_, _, first_byte_bounds, response_bounds) = self.config.routes[route];
        let random_fraction = self.random.gen::<f64>();
        let mut slowdown = 1.0;
        let mut failure_probability = 0.0;
        if self.config.has_background_failures {
            failure_probability = 0.05;
            slowdown *= if self.random.gen_bool(0.1) { 4.0 } else { 1.0 };
        }
        let is_faulty = is_candidate && self.is_faulty(now, route);
        if is_faulty {
            failure_probability += self.config.fault.failure_probability;
            slowdown *= self.config.fault.slowdown_factor;
        }
        let is_bad = self.random.gen_bool(failure_probability.min(1.0));
        let response_ms = slowdown
            * (response_bounds.0 + random_fraction * (response_bounds.1 - response_bounds.0));
        let response_ms = if is_bad {
            response_ms / 2.0
        } else {
            response_ms
        };
        Call {
            route,
            is_candidate,
            is_bad,
            is_slow: is_faulty && self.config.fault.slowdown_factor > 1.0,
            first_byte_ms: (slowdown
                * (first_byte_bounds.0
                    + random_fraction * (first_byte_bounds.1 - first_byte_bounds.0)))
                as u64,
            response_ms: response_ms as u64,
            is_retry,
        }
    }

    fn complete_call(&mut self, now: u64, call: &Call) {
        let name = self.config.routes[call.route].0;
        let route_evidence = self.evidence.routes.get_mut(name).unwrap();
        let counts = if call.is_candidate {
            &mut route_evidence.candidate
        } else {
            self.evidence.baseline_in_flight -= 1;
            &mut route_evidence.baseline
        };
        if call.is_bad {
            counts.failed += 1;
        } else {
            counts.succeeded += 1;
            counts.time_to_first_byte.record(call.first_byte_ms);
            counts.response_time.record(call.response_ms);
        }
        if call.is_candidate && (call.is_bad || call.is_slow) {
            self.outcome.bad_responses += 1;
            if self.outcome.bad_responses == 50 {
                self.fiftieth_bad_ms = Some(now);
            }
        }
        if call.is_bad && !call.is_retry {
            self.retries
                .entry(now + RETRY_AFTER_MS)
                .or_default()
                .push(call.route);
        }
    }

    fn finish(mut self) -> Outcome {
        if matches!(self.outcome.decision, Some(RolloutDecision::RollBack(_))) {
            self.outcome.last_request_after_50th_bad_ms = self
                .fiftieth_bad_ms
                .map(|at_ms| self.last_to_candidate_ms.saturating_sub(at_ms));
        }
        self.outcome
    }
}
