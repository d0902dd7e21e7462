//! Seeded simulation of nodes before one back end with a limit, with message delay and loss,
//! diverging views, restarts and pauses of nodes, and reordered answers.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use silversail_limits::{
    issuer_of, Admission, LimitMessage, Millis, PermitIssuer, PermitPool, Serial,
};
use silversail_model::{NodeName, RequestRate};
use std::collections::{BTreeMap, VecDeque};

const BACKEND: &str = "e1";
const STEP: Millis = 5;
/// How long a request waits for a permit, in milliseconds.
const PERMIT_TIMEOUT: Millis = 4_000;
/// Length of the sliding window in which arrivals are counted, in milliseconds.
pub const WINDOW: Millis = 4_000;
/// Time from the first advertisement of a limit until arrivals are counted, in milliseconds.
const COUNTED_AFTER: Millis = 3_000;
/// How long arrivals from a node are not counted after its restart or pause, in milliseconds.
const EXCLUDED_AFTER_FAULT: Millis = 3_000;

/// Parameters of one simulation run.
#[derive(Clone)]
pub struct Plan {
    pub nodes: usize,
    /// Requests per second that the back end advertises, each with its start time; none for no
    /// limit.
    pub limits: Vec<(Millis, Option<f64>)>,
    /// Offered load of all nodes, in requests per second.
    pub offered_per_second: f64,
    /// Number of nodes that receive requests, capped at the number of nodes.
    pub entry_nodes: usize,
    pub length: Millis,
    /// Whether views diverge, nodes restart or pause, and messages are lost.
    pub injects_faults: bool,
}

struct Node {
    name: NodeName,
    pool: PermitPool,
    issuer: PermitIssuer,
    /// Whether this node's view contains each node.
    view: Vec<bool>,
    waiting: VecDeque<Millis>,
    inbox: BTreeMap<(Millis, u64), (NodeName, LimitMessage)>,
    paused_until: Millis,
    excluded_until: Millis,
}

/// A request that reached the back end.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at: Millis,
    /// Whether the arrival counts towards the limit.
    pub counts: bool,
}

struct Answer {
    node: usize,
    advertised: Option<RequestRate>,
    permit: Option<Serial>,
}

pub struct Run {
    plan: Plan,
    random: ChaCha8Rng,
    now: Millis,
    nodes: Vec<Node>,
    answers: BTreeMap<(Millis, u64), Answer>,
    views: BTreeMap<(Millis, u64), (usize, usize, bool)>,
    event_count: u64,
    first_advertised_at: Option<Millis>,
    pub arrivals: Vec<Arrival>,
    /// Number of protocol messages sent.
    pub messages: u64,
}

impl Run {
    pub fn simulate(plan: Plan, seed: u64) -> Self {
        let nodes = (0..plan.nodes).map(|number| Node {
            name: NodeName(format!("n{number}")),
            pool: PermitPool::default(),
            issuer: PermitIssuer::default(),
            view: vec![true; plan.nodes],
            waiting: VecDeque::new(),
            inbox: BTreeMap::new(),
            paused_until: 0,
            excluded_until: 0,
        });
        let mut run = Self {
            nodes: nodes.collect(),
            random: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            answers: BTreeMap::new(),
            views: BTreeMap::new(),
            event_count: 0,
            first_advertised_at: None,
            arrivals: Vec::new(),
            messages: 0,
            plan,
        };
        while run.now < run.plan.length {
            run.step();
        }
        run
    }

    fn schedule(&mut self, after: std::ops::Range<Millis>) -> (Millis, u64) {
        self.event_count += 1;
        (self.now + self.random.gen_range(after), self.event_count)
    }

    fn step(&mut self) {
        self.now += STEP;
        if self.plan.injects_faults {
            self.inject_fault();
        }
        self.apply_view_changes();
        self.deliver_answers();
        self.generate_requests();
        for node in 0..self.nodes.len() {
            if self.nodes[node].paused_until <= self.now {
                self.run_node(node);
            }
        }
    }

    /// Injects a fault into a random node, on average every `STEPS_PER_FAULT` steps.
    fn inject_fault(&mut self) {
        const STEPS_PER_FAULT: u32 = 400;
        if !self.random.gen_ratio(1, STEPS_PER_FAULT) {
            return;
        }
        let node = self.random.gen_range(0..self.nodes.len());
        match self.random.gen_range(0..3) {
            // Planned stop and return: the other nodes see both at different times.
            0 => {
                for other in 0..self.nodes.len() {
                    let leave = self.schedule(1..1_200);
                    self.views.insert(leave, (other, node, false));
                    let rejoin = self.schedule(4_000..5_200);
                    self.views.insert(rejoin, (other, node, true));
                }
            }
            // Restart with loss of all state.
            1 => {
                let now = self.now;
                let member = &mut self.nodes[node];
                member.pool = PermitPool::default();
                member.issuer = PermitIssuer::default();
                member.waiting.clear();
                member.excluded_until = now + EXCLUDED_AFTER_FAULT;
            }
            _ => {
                let length = self.random.gen_range(200..3_000);
                let member = &mut self.nodes[node];
                member.paused_until = self.now + length;
                member.excluded_until = member.paused_until + EXCLUDED_AFTER_FAULT;
            }
        }
    }

    fn apply_view_changes(&mut self) {
        while let Some(entry) = self
            .views
            .first_entry()
            .filter(|entry| entry.key().0 <= self.now)
        {
            let (observer, node, is_usable) = entry.remove();
            self.nodes[observer].view[node] = is_usable;
            if self.issuer_in_view_of(observer) != Some(observer) {
                self.nodes[observer].issuer.keep_only(|_| false);
            }
        }
    }

    fn issuer_in_view_of(&self, node: usize) -> Option<usize> {
        let usable = (0..self.nodes.len()).filter(|other| self.nodes[node].view[*other]);
        let names = usable.map(|other| self.nodes[other].name.as_str());
        let issuer = issuer_of(names, BACKEND)?;
        self.nodes
            .iter()
            .position(|node| node.name.as_str() == issuer)
    }

    fn deliver_answers(&mut self) {
        while let Some(entry) = self
            .answers
            .first_entry()
            .filter(|entry| entry.key().0 <= self.now)
        {
            let answer = entry.remove();
            let node = &mut self.nodes[answer.node];
            node.pool
                .record_answer(answer.advertised, answer.permit, true);
        }
    }

    fn generate_requests(&mut self) {
        let expected = self.plan.offered_per_second * STEP as f64 / 1_000.0;
        let mut count = expected as u64;
        count += u64::from(self.random.gen_bool(expected.fract()));
        let entry_nodes = self.plan.entry_nodes.min(self.nodes.len());
        for _ in 0..count {
            let node = self.random.gen_range(0..entry_nodes);
            self.nodes[node].waiting.push_back(self.now);
        }
    }

    fn run_node(&mut self, node: usize) {
        let now = self.now;
        while let Some(entry) = self.nodes[node].inbox.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let (from, message) = entry.remove();
            self.handle_message(node, &from, message);
        }
        let member = &mut self.nodes[node];
        member.waiting.retain(|since| now - since < PERMIT_TIMEOUT);
        self.send_waiting(node);
        let member = &mut self.nodes[node];
        member.pool.set_waiting(member.waiting.len() as u32, now);
        if let Some(request) = member.pool.request_due(BACKEND, now) {
            if let Some(issuer) = self.issuer_in_view_of(node) {
                self.send(node, issuer, LimitMessage::Request(request));
            }
        }
        if self.nodes[node].issuer.has_waiting() {
            let grants = self.nodes[node].issuer.issue_due(now);
            self.send_grants(node, grants);
        }
    }

    fn handle_message(&mut self, node: usize, from: &NodeName, message: LimitMessage) {
        let now = self.now;
        match message {
            LimitMessage::Request(request) => {
                if self.issuer_in_view_of(node) == Some(node) {
                    let grants = self.nodes[node].issuer.handle_request(from, &request, now);
                    self.send_grants(node, grants);
                    self.announce(node);
                }
            }
            LimitMessage::Grant(grant) => {
                self.nodes[node].pool.apply_grant(&grant, now);
            }
            LimitMessage::Announced(announced) => {
                self.nodes[node].pool.apply_announcement(announced.limit);
            }
            LimitMessage::Announce(_) => {}
        }
    }

    /// Announces new limits to all nodes, as the relays do.
    fn announce(&mut self, node: usize) {
        let announcements = self.nodes[node].issuer.take_announcements();
        for announced in announcements {
            for other in 0..self.nodes.len() {
                let at = self.schedule(2..100);
                let message = LimitMessage::Announced(announced.clone());
                let from = self.nodes[node].name.clone();
                self.nodes[other].inbox.insert(at, (from, message));
            }
        }
    }

    fn send_grants(
        &mut self,
        node: usize,
        grants: Vec<(NodeName, silversail_limits::PermitGrant)>,
    ) {
        for (to, grant) in grants {
            let number = to.as_str()[1..].parse().expect("a node's number");
            self.send(node, number, LimitMessage::Grant(grant));
        }
    }

    fn send(&mut self, from: usize, to: usize, message: LimitMessage) {
        self.messages += 1;
        let is_lost = self.plan.injects_faults && self.random.gen_ratio(1, 50);
        if is_lost {
            return;
        }
        let at = match from == to {
            true => self.schedule(0..1),
            false => self.schedule(1..6),
        };
        let name = self.nodes[from].name.clone();
        self.nodes[to].inbox.insert(at, (name, message));
    }

    fn send_waiting(&mut self, node: usize) {
        while !self.nodes[node].waiting.is_empty() {
            let permit = match self.nodes[node].pool.admit(self.now) {
                Admission::Unlimited => None,
                Admission::Permitted(permit) => Some(permit.serial),
                Admission::Denied => return,
            };
            self.nodes[node].waiting.pop_front();
            self.record_arrival(node, permit);
        }
    }

    fn advertised_limit(&self) -> Option<RequestRate> {
        let began = self.plan.limits.iter().rev();
        let mut began = began.filter(|(from, _)| *from <= self.now);
        began.next()?.1.and_then(RequestRate::per_second)
    }

    fn record_arrival(&mut self, node: usize, permit: Option<Serial>) {
        let advertised = self.advertised_limit();
        let now = self.now;
        if advertised.is_some() {
            self.first_advertised_at.get_or_insert(now);
        }
        let member = &self.nodes[node];
        let is_late = self
            .first_advertised_at
            .is_some_and(|at| at + COUNTED_AFTER <= now);
        self.arrivals.push(Arrival {
            at: now,
            counts: is_late && member.excluded_until <= now,
        });
        // Some answers are slow, so that answers arrive out of order.
        let longest = if self.random.gen_ratio(1, 5) {
            1_500
        } else {
            60
        };
        let at = self.schedule(5..longest);
        self.answers.insert(
            at,
            Answer {
                node,
                advertised,
                permit,
            },
        );
    }
}

/// Maximum number of counted arrivals in any window.
pub fn most_in_a_window(arrivals: &[Arrival]) -> usize {
    let counted = arrivals.iter().filter(|arrival| arrival.counts);
    let times: Vec<Millis> = counted.map(|arrival| arrival.at).collect();
    let mut first = 0;
    let mut most = 0;
    for (last, at) in times.iter().enumerate() {
        while times[first] + WINDOW <= *at {
            first += 1;
        }
        most = most.max(last + 1 - first);
    }
    most
}
