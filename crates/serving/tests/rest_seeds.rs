//! Nodes before engines and makers that ask for rest and say that they leave, by chance, amid lists
//! that lag and lack entries, owners that move, nodes that stand still, and requests under way.
//! Nothing may be chosen that rests or leaves by its own word as its node has heard it, whatever
//! else happens.
//!
//! `SEEDS=1000 cargo test --release -p silversail-serving --test rest_seeds`

mod common;

use common::batches::work;
use common::{batch_spec, call_of, in_zone, instances, list_of, traffic, LIMITS};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use silversail_decisions::DecisionLog;
use silversail_model::Shard;
use silversail_peer::{ListedInstance, ResultHandle};
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
/// Longest time between two steps, in milliseconds.
const STEP_MS: u64 = 40;
/// Seeds that every run of the tests plays.
const FEW_SEEDS: u64 = 60;
const IDS: [&str; 7] = ["e1", "e2", "e3", "g1", "g2", "s1", "s2"];
const TARGETS: [&str; 3] = ["/gate/x", "/lookup/x", "/chat/x"];

/// What a node was told by a back end itself.
#[derive(Clone, Copy, Default)]
struct Told {
    rest_until: u64,
    leaves: bool,
}

struct Node {
    dispatcher: Dispatcher,
    batcher: Batcher,
    told: BTreeMap<String, Told>,
    sends: Vec<(u64, SendPlan)>,
    calls: Vec<BatchCall>,
    /// It does nothing until then.
    stands_still_until: u64,
}

impl Node {
    fn new() -> Self {
        let log = DecisionLog::off;
        let policy = Policy::default();
        let mut dispatcher = Dispatcher::new(in_zone("a"), LIMITS, policy, 1, log());
        dispatcher.set_routes(RouteTable::new(&traffic()));
        dispatcher.take_listing(&list_of(&instances()), 0);
        let mut batcher = Batcher::new(policy, log());
        batcher.set_specs([("encode".to_owned(), batch_spec())].into());
        Self {
            dispatcher,
            batcher,
            told: BTreeMap::new(),
            sends: Vec::new(),
            calls: Vec::new(),
            stands_still_until: 0,
        }
    }

    /// An answer comes from a back end, on any path.
    fn hear(&mut self, id: &str, path: ExchangeKind, said: &SelfReport, now: u64) {
        let notices = self.dispatcher.instances.notices();
        notices.record_report(id, path, said, now);
        let told = self.told.entry(id.to_owned()).or_default();
        if let Some(rest) = said.rest {
            told.rest_until = told.rest_until.max(now + rest.as_millis() as u64);
        }
        told.leaves |= said.is_leaving;
    }

    fn check(&self, id: &str, now: u64, what: &str) {
        let told = self.told.get(id).copied().unwrap_or_default();
        assert!(!told.leaves, "{what} to {id}, which leaves, at {now}");
        let until = told.rest_until;
        assert!(now >= until, "{what} to {id} at {now}, rests until {until}");
    }

    fn carry_out(&mut self, actions: Vec<Action>, now: u64) {
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

    /// What its timer does.
    fn tick(&mut self, now: u64) {
        let expired = self.dispatcher.expire(now);
        self.carry_out(expired, now);
        let waiting = self.dispatcher.send_waiting(now);
        self.carry_out(waiting, now);
        self.batcher.expire(now);
        let table = &self.dispatcher.instances;
        self.batcher.end_unstaffed(table);
        self.batcher.end_late_by_rests(table, now);
        self.start_calls(now);
    }
}

/// What an answer says: mostly nothing, else a rest, or that its sender leaves.
fn said(random: &mut ChaCha8Rng) -> SelfReport {
    let mut said = SelfReport::default();
    match random.gen_range(0..100) {
        0..=14 => said.rest = Some(Duration::from_millis(random.gen_range(1..3_000))),
        15 => said.rest = Some(Duration::from_secs(random.gen_range(3..60))),
        16 => said.is_leaving = true,
        _ => {}
    }
    said
}

/// A list that another node read: it may lack entries, call a back end that leaves ready, or name
/// a new start of one.
fn list(starts: &BTreeMap<&str, u32>, random: &mut ChaCha8Rng) -> Vec<ListedInstance> {
    let mut listed = instances();
    for one in &mut listed {
        let start = starts.get(one.name.as_str()).copied().unwrap_or_default();
        if start > 0 {
            one.id = format!("{}#{start}", one.name);
        }
    }
    listed.retain(|_| random.gen_range(0..20) > 0);
    listed
}

fn outcome_of(said: &SelfReport, random: &mut ChaCha8Rng) -> SendOutcome {
    if said.rest.is_some() {
        return SendOutcome::NotRun(NotRunReason::Full);
    }
    match random.gen_range(0..12) {
        0 => SendOutcome::Unknown(UnknownReason::Broken),
        1 => SendOutcome::NotRun(NotRunReason::Unreachable),
        2 => SendOutcome::NotRun(NotRunReason::Misplaced),
        3 => SendOutcome::Failed { status: 500 },
        _ => SendOutcome::Delivered {
            status: 200,
            is_whole: true,
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
    if nodes[chosen].stands_still_until > now {
        return;
    }
    let node = &mut nodes[chosen];
    match random.gen_range(0..100) {
        0..=34 => {
            let target = TARGETS.choose(random).expect("some");
            let actions =
                node.dispatcher
                    .arrive(number, call_of(&format!("r{number}"), target), now);
            node.carry_out(actions, now);
        }
        35..=59 if !node.sends.is_empty() => {
            let (request, plan) = node
                .sends
                .swap_remove(random.gen_range(0..node.sends.len()));
            let said = said(random);
            let withheld = node.told.get(&plan.instance).copied().unwrap_or_default();
            let is_withheld = withheld.leaves || now < withheld.rest_until;
            // Some wait for a connection while another answer comes.
            let outcome = match is_withheld && random.gen() {
                true => SendOutcome::NotRun(NotRunReason::Withheld),
                false => {
                    node.hear(&plan.instance, ExchangeKind::Request, &said, now);
                    outcome_of(&said, random)
                }
            };
            let actions = node.dispatcher.send_ended(request, outcome, None, now);
            node.carry_out(actions, now);
        }
        60..=69 => {
            let key = OrderKey {
                node: "n1".into(),
                work: number,
            };
            let table = &node.dispatcher.instances;
            // A refusal is an answer too.
            let _ = node.batcher.submit(key, work(number, 2), table, now);
            node.start_calls(now);
        }
        70..=81 if !node.calls.is_empty() => {
            let call = node
                .calls
                .swap_remove(random.gen_range(0..node.calls.len()));
            let said = said(random);
            node.hear(&call.instance, ExchangeKind::Batch, &said, now);
            let outcome = match said.rest {
                Some(_) => CallOutcome::NotRun,
                None if random.gen_range(0..8) == 0 => CallOutcome::Withheld,
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
            let listed = list(starts, random);
            node.dispatcher.take_listing(&list_of(&listed), now);
        }
        88..=89 => {
            let name = IDS.choose(random).expect("some");
            *starts.entry(name).or_default() += 1;
        }
        90..=91 => {
            let shard = Shard::whole("encode");
            let table = &node.dispatcher.instances;
            node.batcher.take_over(&shard, table, now);
        }
        92 => node.stands_still_until = now + random.gen_range(100..3_000),
        _ => {}
    }
}

fn play(seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut nodes: Vec<Node> = (0..NODES).map(|_| Node::new()).collect();
    let mut starts = BTreeMap::new();
    let mut now = 1_000;
    for number in 0..STEPS as u64 {
        now += random.gen_range(0..STEP_MS);
        step(&mut nodes, &mut starts, number, now, &mut random);
        for node in nodes.iter_mut().filter(|one| one.stands_still_until <= now) {
            node.tick(now);
        }
    }
}

#[test]
fn nothing_goes_to_who_rests_or_leaves_by_its_own_word() {
    let seeds = std::env::var("SEEDS")
        .ok()
        .and_then(|text| text.parse().ok());
    for seed in 0..seeds.unwrap_or(FEW_SEEDS) {
        play(seed);
    }
}
