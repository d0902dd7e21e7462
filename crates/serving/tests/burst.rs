//! A burst of requests with three consecutive phases, at several nodes and at twice the capacity
//! of the back ends: admitted requests must meet their objective.

mod common;

use common::{batch_spec, call_of, in_zone, instance, made, phase, route, traffic, LIMITS};
use silversail_decisions::DecisionLog;
use silversail_model::traffic::{RouteKind, ServiceSpec};
use silversail_model::{AnswerEnd, Shard};
use silversail_serving::batcher::{BatchCall, Batcher, OrderKey};
use silversail_serving::dispatcher::{Action, Dispatcher, SendOutcome};
use silversail_serving::policy::Policy;
use silversail_serving::routes::RouteTable;
use std::collections::{BTreeMap, VecDeque};

const SERVICES: [&str; 3] = ["one", "two", "three"];
const BACKENDS_PER_SERVICE: usize = 4;
const NODES: usize = 8;
const OBJECTIVE: u64 = 2_000;

/// Nodes that accept requests, and one batcher for all of them.
struct SimulatedNodes {
    nodes: Vec<Dispatcher>,
    batcher: Batcher,
    now: u64,
    running: Vec<(u64, BatchCall)>,
    arrived_at: BTreeMap<u64, u64>,
    in_time: usize,
    late: usize,
    refused: usize,
}

impl SimulatedNodes {
    fn new() -> Self {
        let mut configuration = traffic();
        let mut chain = route("chain", "/chain/", "pool", RouteKind::Repeatable);
        chain.objective_ms = OBJECTIVE;
        chain.timeout_ms = 15_000;
        chain.phases = vec![
            phase("one", &[], 100),
            phase("two", &[0], 100),
            phase("three", &[1], 100),
        ];
        configuration.routes.push(chain);
        for name in SERVICES {
            configuration.services.push(ServiceSpec {
                name: name.into(),
                health_path: "/health".into(),
                max_connections: 100,
                engine: None,
                cold: None,
                batch: Some(batch_spec()),
            });
        }
        let mut listed = vec![instance("e1", "pool", "a")];
        for service in SERVICES {
            let backends = (0..BACKENDS_PER_SERVICE)
                .map(|number| instance(&format!("{service}{number}"), service, "a"));
            listed.extend(backends);
        }
        let node = || {
            let mut node = Dispatcher::new(
                in_zone("a"),
                LIMITS,
                Policy::default(),
                1,
                DecisionLog::disabled(),
            );
            node.set_routes(RouteTable::new(&configuration), 0);
            node.instances.replace_list(&listed);
            node
        };
        let nodes = (0..NODES).map(|_| node()).collect();
        let mut batcher = Batcher::new(Policy::default(), DecisionLog::disabled());
        let specs = SERVICES.map(|name| (name.to_owned(), batch_spec()));
        batcher.set_specs(specs.into());
        Self {
            nodes,
            batcher,
            now: 0,
            running: Vec::new(),
            arrived_at: BTreeMap::new(),
            in_time: 0,
            late: 0,
            refused: 0,
        }
    }

    fn submit_request(&mut self, number: u64) {
        let mut call = call_of(&format!("r{number}"), "/chain/x");
        call.pieces = vec![1, 4, 4];
        call.piece_key = "k".into();
        call.deadline_ms = Some(15_000);
        self.arrived_at.insert(number, self.now);
        let node = number as usize % NODES;
        let actions = self.nodes[node].handle_request(number, call, self.now);
        self.carry_out(node, actions);
    }

    fn carry_out(&mut self, node: usize, actions: Vec<Action>) {
        let mut queue: VecDeque<Action> = actions.into();
        while let Some(action) = queue.pop_front() {
            match action {
                Action::Answer { .. } => self.refused += 1,
                Action::Send { number, .. } => {
                    let took = self.now - self.arrived_at[&number];
                    if took <= OBJECTIVE {
                        self.in_time += 1;
                    } else {
                        self.late += 1;
                    }
                    queue.extend(self.nodes[node].head_received(number, None, self.now));
                    let whole = SendOutcome::Delivered {
                        status: 200,
                        end: AnswerEnd::Whole,
                    };
                    queue.extend(self.nodes[node].send_ended(number, whole, None, self.now));
                }
                Action::Submit { work, phase, .. } => {
                    let shard = phase.shard.clone();
                    let table = &self.nodes[node].instances;
                    self.batcher
                        .submit(key(node, work), phase, table, self.now)
                        .expect("taken");
                    self.update_wait_estimates(node, &shard);
                }
                Action::Announce { work, order, .. } => {
                    let shard = order.shard.clone();
                    self.batcher.announce(key(node, work), order, self.now);
                    self.update_wait_estimates(node, &shard);
                }
                Action::Cancel { work } => self.batcher.cancel(&key(node, work)),
                Action::Diagnose { .. } => unreachable!("nothing breaks off"),
                Action::Forward { .. } => unreachable!("all back ends are reachable"),
                Action::Release { handles, .. } => self.batcher.release(&handles),
            }
        }
    }

    fn update_wait_estimates(&mut self, node: usize, shard: &Shard) {
        let table = &self.nodes[node].instances;
        let waits = self.batcher.waits(shard, table, self.now);
        self.nodes[node].set_waits([waits], self.now);
    }

    fn step(&mut self) {
        self.now += 1;
        let now = self.now;
        let (ended, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|(until, _)| *until <= now);
        self.running = running;
        for (_, call) in ended {
            for order in self.batcher.call_ended(call.call, made(&call), now) {
                let node: usize = order.key.node.as_str().parse().expect("a number");
                self.update_wait_estimates(node, &order.shard);
                let actions = self.nodes[node].phase_done(order.key.work, order.result, now);
                self.carry_out(node, actions);
            }
        }
        let table = &self.nodes[0].instances;
        for call in self.batcher.next_calls(table, now) {
            let takes = 240 + 10 * call.pieces.len() as u64;
            self.running.push((now + takes, call));
        }
    }
}

fn key(node: usize, work: u64) -> OrderKey {
    OrderKey {
        node: node.to_string().as_str().into(),
        work,
    }
}

#[test]
fn requests_admitted_during_a_burst_meet_their_objective() {
    let mut simulation = SimulatedNodes::new();
    let mut number = 0;
    // Four back ends can process 25 requests per second; 50 arrive per second for 5 seconds.
    while simulation.now < 8_000 {
        if simulation.now < 5_000 && simulation.now.is_multiple_of(20) {
            simulation.submit_request(number);
            number += 1;
        }
        simulation.step();
    }
    let (in_time, late, refused) = (simulation.in_time, simulation.late, simulation.refused);
    let figures = format!("in time {in_time}, late {late}, refused {refused}");
    assert_eq!(in_time + late + refused, 250, "{figures}");
    assert!(late * 20 <= in_time, "{figures}");
    // The back ends are not left idle.
    assert!(in_time >= 120, "{figures}");
}
