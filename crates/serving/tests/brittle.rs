//! Back ends that fail if all nodes together make them reject too many requests in a second.

mod common;

use common::{call_of, dispatcher};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use silversail_model::AnswerEnd;
use silversail_serving::dispatcher::{Action, Dispatcher, NotRunReason, SendOutcome};
use silversail_serving::notices::{AnswerContext, ExchangeKind};
use silversail_serving::ports::{RelativeProcessingTime, ReportedLoad, SelfReport};
use std::collections::{BTreeMap, VecDeque};

const NODES: usize = 9;
/// Requests that may wait at an engine.
const QUEUE: usize = 1;
const RUN_MS: u64 = 100;
const LATENCY_MS: u64 = 1;
const STEP_MS: u64 = 5;
const DURATION_MS: u64 = 12_000;
/// Time after which the engines may fail; they are brittle from the start.
const COUNTED_AFTER_MS: u64 = 3_000;
/// Mean time between pauses in the demand, and the longest pause.
const BETWEEN_PAUSES_MS: f64 = 2_000.0;
const LONGEST_PAUSE_MS: f64 = 600.0;

/// A service, and a demand above what its engines can run.
#[derive(Clone, Copy)]
struct Service {
    path: &'static str,
    engines: &'static [&'static str],
    slots: usize,
    demand_per_second: f64,
    seeds: u64,
}

/// Fewer slots at an engine than nodes.
const SMALL: Service = Service {
    path: "/gate/x",
    engines: &["g1", "g2"],
    slots: 4,
    demand_per_second: 200.0,
    seeds: 20,
};
const LARGE: Service = Service {
    path: "/chat/x",
    engines: &["e1", "e2", "e3"],
    slots: 64,
    demand_per_second: 3_000.0,
    seeds: 2,
};

enum Happening {
    Arrives(usize, u64),
    ReachesEngine(usize, u64, &'static str),
    EngineEnds(usize, u64, &'static str),
}

#[derive(Default)]
struct EngineState {
    running: usize,
    waiting: VecDeque<(usize, u64)>,
    rejected_at: Vec<u64>,
    completed: usize,
}

struct Cluster {
    service: Service,
    nodes: Vec<Dispatcher>,
    engines: BTreeMap<&'static str, EngineState>,
    happenings: BTreeMap<(u64, u64), Happening>,
    next_happening: u64,
    now: u64,
}

impl Cluster {
    fn new(service: Service) -> Self {
        let names: Vec<String> = (0..NODES).map(|node| format!("n{node}")).collect();
        let node = |name: &String| {
            let mut dispatcher = dispatcher();
            dispatcher.set_nodes(name, names.clone());
            dispatcher
        };
        Self {
            nodes: names.iter().map(node).collect(),
            engines: service
                .engines
                .iter()
                .map(|engine| (*engine, EngineState::default()))
                .collect(),
            service,
            happenings: BTreeMap::new(),
            next_happening: 0,
            now: 0,
        }
    }

    fn schedule(&mut self, at: u64, happening: Happening) {
        self.next_happening += 1;
        self.happenings.insert((at, self.next_happening), happening);
    }

    fn carry_out(&mut self, node: usize, actions: Vec<Action>) {
        for action in actions {
            if let Action::Send { number, plan } = action {
                let mut engines = self.service.engines.iter();
                let engine = engines.find(|name| **name == plan.instance).copied();
                let engine = engine.expect("a known engine");
                let reaches = Happening::ReachesEngine(node, number, engine);
                self.schedule(self.now + LATENCY_MS, reaches);
            }
        }
    }

    fn answer(&mut self, node: usize, number: u64, engine: &str, is_full: bool, limit: u32) {
        let state = &self.engines[engine];
        let load = ReportedLoad {
            running: state.running as u32,
            waiting: state.waiting.len() as u32,
            slots: self.service.slots as u32,
            processing_time: RelativeProcessingTime::NORMAL,
        };
        let report = SelfReport {
            load: Some(load),
            max_rejections_per_second: Some(limit),
            is_full,
            ..SelfReport::default()
        };
        let answer = AnswerContext {
            path: ExchangeKind::Request,
            permit: None,
            is_success: !is_full,
        };
        let outcome = match is_full {
            true => SendOutcome::NotRun(NotRunReason::Full),
            false => SendOutcome::Delivered {
                status: 200,
                end: AnswerEnd::Whole,
            },
        };
        let dispatcher = &mut self.nodes[node];
        let notices = dispatcher.instances.notices();
        notices.record_report(engine, answer, &report, self.now);
        let actions = dispatcher.send_ended(number, outcome, Some(load), self.now);
        self.carry_out(node, actions);
    }

    fn handle(&mut self, happening: Happening, limit: u32) {
        match happening {
            Happening::Arrives(node, number) => {
                let call = call_of(&format!("r{number}"), self.service.path);
                let actions = self.nodes[node].handle_request(number, call, self.now);
                self.carry_out(node, actions);
            }
            Happening::ReachesEngine(node, number, engine) => {
                let now = self.now;
                let state = self.engines.get_mut(engine).expect("a known engine");
                if state.running < self.service.slots {
                    state.running += 1;
                    self.schedule(now + RUN_MS, Happening::EngineEnds(node, number, engine));
                } else if state.waiting.len() < QUEUE {
                    state.waiting.push_back((node, number));
                } else {
                    state.rejected_at.push(now);
                    self.answer(node, number, engine, true, limit);
                }
            }
            Happening::EngineEnds(node, number, engine) => {
                let now = self.now;
                let state = self.engines.get_mut(engine).expect("a known engine");
                state.completed += 1;
                match state.waiting.pop_front() {
                    Some((node, number)) => {
                        let ends = Happening::EngineEnds(node, number, engine);
                        self.schedule(now + RUN_MS, ends);
                    }
                    None => state.running -= 1,
                }
                self.answer(node, number, engine, false, limit);
            }
        }
    }

    fn run(&mut self, limit: u32) {
        while self.now < DURATION_MS {
            self.now += STEP_MS;
            while let Some(entry) = self.happenings.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let happening = entry.remove();
                self.handle(happening, limit);
            }
            for node in 0..NODES {
                let now = self.now;
                let mut actions = self.nodes[node].expire(now);
                actions.extend(self.nodes[node].send_waiting(now));
                self.carry_out(node, actions);
            }
        }
    }
}

fn most_in_a_second(rejected_at: &[u64]) -> usize {
    let counted = rejected_at.iter().filter(|at| **at >= COUNTED_AFTER_MS);
    let counted: Vec<u64> = counted.copied().collect();
    let from = |start: &u64| {
        let within = counted
            .iter()
            .filter(|at| **at >= *start && **at < start + 1_000);
        within.count()
    };
    counted.iter().map(from).max().unwrap_or(0)
}

/// Demand comes in bursts from all nodes at once, after pauses in which requests pile up.
fn assert_rejections_are_borne(service: Service, limit: u32) {
    let (mut worst, mut least_used) = (0, f64::INFINITY);
    for seed in 0..service.seeds {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut cluster = Cluster::new(service);
        let mut number = 0;
        let (mut at, mut pause_at) = (0.0, BETWEEN_PAUSES_MS);
        while at < DURATION_MS as f64 {
            at += random.gen_range(0.0..2.0) * 1_000.0 / service.demand_per_second;
            if at > pause_at {
                at += random.gen_range(0.0..LONGEST_PAUSE_MS);
                pause_at = at + random.gen_range(0.0..2.0) * BETWEEN_PAUSES_MS;
            }
            number += 1;
            let node = random.gen_range(0..NODES);
            cluster.schedule(at as u64, Happening::Arrives(node, number));
        }
        cluster.run(limit);
        for state in cluster.engines.values() {
            worst = worst.max(most_in_a_second(&state.rejected_at));
            let capacity = (service.slots as u64 * DURATION_MS / RUN_MS) as f64;
            least_used = least_used.min(state.completed as f64 / capacity);
        }
    }
    println!(
        "{} slots, limit {limit}: at most {worst} rejections in a second, {least_used:.2} used",
        service.slots
    );
    assert!(worst <= limit as usize, "{worst} rejections in a second");
    assert!(least_used >= 0.6, "{least_used:.2} used");
}

#[rstest]
#[case::small_5(SMALL, 5)]
#[case::small_20(SMALL, 20)]
#[case::large_2(LARGE, 2)]
#[case::large_5(LARGE, 5)]
#[case::large_20(LARGE, 20)]
fn all_nodes_together_keep_to_the_rejections_that_a_back_end_bears(
    #[case] service: Service,
    #[case] limit: u32,
) {
    assert_rejections_are_borne(service, limit);
}

#[test]
fn nine_nodes_keep_to_two_rejections_at_a_back_end_of_four_slots() {
    assert_rejections_are_borne(SMALL, 2);
}
