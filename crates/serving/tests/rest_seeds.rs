//! Seeded simulation of nodes and back ends that request a back-off or drain, with stale and
//! incomplete lists, changes of shard owners, paused nodes and requests in flight. A node must never
//! select a back end that is in back-off or drains according to the reports that it has received.
//!
//! `SEEDS=1000 cargo test --release -p silversail-serving --test rest_seeds`

mod common;

use common::batches::work;
use common::{batch_spec, call_of, in_zone, instances, list_of, traffic, LIMITS};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use silversail_decisions::DecisionLog;
use silversail_model::{AnswerEnd, Shard};
use silversail_peer::{BackendListEntry, ResultHandle};
use silversail_serving::batcher::{BatchCall, Batcher, CallOutcome, OrderKey};
use silversail_serving::dispatcher::{
    Action, Dispatcher, NotRunReason, SendOutcome, SendPlan, UnknownReason,
};
use silversail_serving::notices::ExchangeKind;
use silversail_serving::policy::Policy;
use silversail_serving::ports::SelfReport;
use silversail_serving::routes::RouteTable;
use std::collections::BTreeMap;
use std::time::Duration;

const NODES: usize = 3;
const STEPS: usize = 600;
/// Upper bound of the time between two steps, in milliseconds.
const STEP_MS: u64 = 40;
/// Number of seeds without the `SEEDS` variable.
const DEFAULT_SEEDS: u64 = 60;
const IDS: [&str; 7] = ["e1", "e2", "e3", "g1", "g2", "s1", "s2"];
const TARGETS: [&str; 3] = ["/gate/x", "/lookup/x", "/chat/x"];

/// State that a node has received from a back end.
#[derive(Clone, Copy, Default)]
struct ReceivedState {
    backoff_until: u64,
    is_draining: bool,
}

struct Node {
    dispatcher: Dispatcher,
    batcher: Batcher,
    received: BTreeMap<String, ReceivedState>,
    sends: Vec<(u64, SendPlan)>,
    calls: Vec<BatchCall>,
    /// End of the pause of this node.
    paused_until: u64,
}

impl Node {
    fn new() -> Self {
        let log = DecisionLog::disabled;
        let policy = Policy::default();
        let mut dispatcher = Dispatcher::new(in_zone("a"), LIMITS, policy, 1, log());
        dispatcher.set_routes(RouteTable::new(&traffic()), 0);
        dispatcher.apply_backend_list(&list_of(&instances()), 0);
        let mut batcher = Batcher::new(policy, log());
        batcher.set_specs([("encode".to_owned(), batch_spec())].into());
        Self {
            dispatcher,
            batcher,
            received: BTreeMap::new(),
            sends: Vec::new(),
            calls: Vec::new(),
            paused_until: 0,
        }
    }

    /// Records the state in an answer of a back end.
    fn record_report(&mut self, id: &str, path: ExchangeKind, report: &SelfReport, now: u64) {
        let notices = self.dispatcher.instances.notices();
        notices.record_report(id, path, report, now);
        let received = self.received.entry(id.to_owned()).or_default();
        if let Some(backoff) = report.backoff {
            received.backoff_until = received.backoff_until.max(now + backoff.as_millis() as u64);
        }
        received.is_draining |= report.is_draining;
    }

    fn check(&self, id: &str, now: u64, what: &str) {
        let received = self.received.get(id).copied().unwrap_or_default();
        assert!(
            !received.is_draining,
            "{what} to {id}, which drains, at {now}"
        );
        let until = received.backoff_until;
        assert!(
            now >= until,
            "{what} to {id} at {now}, in back-off until {until}"
        );
    }

    fn apply_actions(&mut self, actions: Vec<Action>, now: u64) {
        for action in actions {
            if let Action::Send { number, plan } = action {
                self.check(&plan.instance, now, "a send");
                self.sends.push((number, plan));
            }
        }
    }

    fn start_calls(&mut self, now: u64) {
        let calls = self.batcher.next_calls(&self.dispatcher.instances, now);
        for call in calls {
            self.check(&call.instance, now, "a call");
            self.calls.push(call);
        }
    }

    /// Runs the periodic work of the node.
    fn tick(&mut self, now: u64) {
        let expired = self.dispatcher.expire(now);
        self.apply_actions(expired, now);
        let waiting = self.dispatcher.send_waiting(now);
        self.apply_actions(waiting, now);
        self.batcher.expire(now);
        let table = &self.dispatcher.instances;
        self.batcher.reject_orders_without_backend(table, now);
        self.batcher.reject_orders_delayed_by_backoff(table, now);
        self.start_calls(now);
    }
}

/// Random state for an answer: mostly none, otherwise a back-off or draining.
fn random_report(random: &mut ChaCha8Rng) -> SelfReport {
    let mut report = SelfReport::default();
    match random.gen_range(0..100) {
        0..=14 => report.backoff = Some(Duration::from_millis(random.gen_range(1..3_000))),
        15 => report.backoff = Some(Duration::from_secs(random.gen_range(3..60))),
        16 => report.is_draining = true,
        _ => {}
    }
    report
}

/// A stale list: it may lack entries, contain draining back ends as ready, or contain restarted ones.
fn stale_list(starts: &BTreeMap<&str, u32>, random: &mut ChaCha8Rng) -> Vec<BackendListEntry> {
    let mut listed = instances();
    for entry in &mut listed {
        let start = starts.get(entry.name.as_str()).copied().unwrap_or_default();
        if start > 0 {
            entry.id = format!("{}#{start}", entry.name);
        }
    }
    listed.retain(|_| random.gen_range(0..20) > 0);
    listed
}

fn outcome_of(report: &SelfReport, random: &mut ChaCha8Rng) -> SendOutcome {
    if report.backoff.is_some() {
        return SendOutcome::NotRun(NotRunReason::Full);
    }
    match random.gen_range(0..12) {
        0 => SendOutcome::Unknown(UnknownReason::Broken),
        1 => SendOutcome::NotRun(NotRunReason::Unreachable),
        2 => SendOutcome::NotRun(NotRunReason::Misplaced),
        3 => SendOutcome::Failed { status: 500 },
        _ => SendOutcome::Delivered {
            status: 200,
            end: AnswerEnd::Whole,
        },
    }
}

fn step(
    nodes: &mut [Node],
    starts: &mut BTreeMap<&str, u32>,
    number: u64,
    now: u64,
    random: &mut ChaCha8Rng,
) {
    let chosen = random.gen_range(0..nodes.len());
    if nodes[chosen].paused_until > now {
        return;
    }
    let node = &mut nodes[chosen];
    match random.gen_range(0..100) {
        0..=34 => {
            let target = TARGETS.choose(random).expect("some");
            let actions =
                node.dispatcher
                    .handle_request(number, call_of(&format!("r{number}"), target), now);
            node.apply_actions(actions, now);
        }
        35..=59 if !node.sends.is_empty() => {
            let (request, plan) = node
                .sends
                .swap_remove(random.gen_range(0..node.sends.len()));
            let report = random_report(random);
            let state = node
                .received
                .get(&plan.instance)
                .copied()
                .unwrap_or_default();
            let is_unavailable = state.is_draining || now < state.backoff_until;
            // Some sends still wait for a connection when another answer arrives.
            let outcome = match is_unavailable && random.gen() {
                true => SendOutcome::NotRun(NotRunReason::BackendUnavailable),
                false => {
                    node.record_report(&plan.instance, ExchangeKind::Request, &report, now);
                    outcome_of(&report, random)
                }
            };
            let actions = node.dispatcher.send_ended(request, outcome, None, now);
            node.apply_actions(actions, now);
        }
        60..=69 => {
            let key = OrderKey {
                node: "n1".into(),
                work: number,
            };
            let table = &node.dispatcher.instances;
            // A rejection is also a valid result.
            let _ = node.batcher.submit(key, work(number, 2), table, now);
            node.start_calls(now);
        }
        70..=81 if !node.calls.is_empty() => {
            let call = node
                .calls
                .swap_remove(random.gen_range(0..node.calls.len()));
            let report = random_report(random);
            node.record_report(&call.instance, ExchangeKind::Batch, &report, now);
            let outcome = match report.backoff {
                Some(_) => CallOutcome::NotRun,
                None if random.gen_range(0..8) == 0 => CallOutcome::BackendUnavailable,
                None => CallOutcome::Answered(
                    call.pieces
                        .iter()
                        .map(|(piece, _)| {
                            Ok(ResultHandle(format!("{}/{}", call.address, piece.request)))
                        })
                        .collect(),
                ),
            };
            node.batcher.call_ended(call.call, outcome, now);
            node.start_calls(now);
        }
        82..=87 => {
            let listed = stale_list(starts, random);
            node.dispatcher.apply_backend_list(&list_of(&listed), now);
        }
        88..=89 => {
            let name = IDS.choose(random).expect("some");
            *starts.entry(name).or_default() += 1;
        }
        90..=91 => {
            let shard = Shard::whole_service("encode");
            let table = &node.dispatcher.instances;
            node.batcher.take_over_shard(&shard, table, now);
        }
        92 => node.paused_until = now + random.gen_range(100..3_000),
        _ => {}
    }
}

fn simulate(seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut nodes: Vec<Node> = (0..NODES).map(|_| Node::new()).collect();
    let mut starts = BTreeMap::new();
    let mut now = 1_000;
    for number in 0..STEPS as u64 {
        now += random.gen_range(0..STEP_MS);
        step(&mut nodes, &mut starts, number, now, &mut random);
        for node in nodes.iter_mut().filter(|node| node.paused_until <= now) {
            node.tick(now);
        }
    }
}

#[test]
fn back_ends_in_backoff_or_draining_get_no_requests() {
    let seeds = std::env::var("SEEDS")
        .ok()
        .and_then(|text| text.parse().ok());
    for seed in 0..seeds.unwrap_or(DEFAULT_SEEDS) {
        simulate(seed);
    }
}
