//! Nodes by chance before one back end that names a limit: messages that take their time or are
//! lost, views that differ, nodes that start again or stand still, answers that cross.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use silversail_limits::{
    issuer_of, Admission, LimitMessage, Millis, PermitIssuer, PermitPool, Serial,
};
use silversail_model::{NodeName, RequestRate};
use std::collections::{BTreeMap, VecDeque};

const BACKEND: &str = "e1";
const STEP: Millis = 5;
/// How long a request waits for a permit.
const PATIENCE: Millis = 4_000;
/// Span in which arrivals are counted, in any place.
pub const WINDOW: Millis = 4_000;
/// Time after a limit was first named from which arrivals are counted.
const COUNTED_AFTER: Millis = 3_000;
/// How long a node that started again or stood still is not counted.
const EXCUSED_FOR: Millis = 3_000;

/// What one run is made of.
#[derive(Clone)]
pub struct Plan {
    pub nodes: usize,
    /// Requests a second that the back end names, by the time from which it does; none where it
    /// names no limit.
    pub limits: Vec<(Millis, Option<f64>)>,
    /// Requests a second from callers of all nodes.
    pub asked: f64,
    /// Nodes at which callers ask; all where there are fewer.
    pub asking_nodes: usize,
    pub length: Millis,
    /// Whether views differ, nodes start again or stand still, and messages are lost.
    pub trouble: bool,
}

struct Node {
    name: NodeName,
    pool: PermitPool,
    issuer: PermitIssuer,
    /// Nodes that it takes for usable.
    view: Vec<bool>,
    waiting: VecDeque<Millis>,
    inbox: BTreeMap<(Millis, u64), (NodeName, LimitMessage)>,
    frozen_until: Millis,
    excused_until: Millis,
}

/// A request that reached the back end.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at: Millis,
    /// Whether it counts: also where its node was told of the limit by other nodes only, which is
    /// more than the users' rule counts.
    pub counts: bool,
}

struct Answer {
    node: usize,
    named: Option<RequestRate>,
    permit: Option<Serial>,
}

pub struct Run {
    plan: Plan,
    random: ChaCha8Rng,
    now: Millis,
    nodes: Vec<Node>,
    answers: BTreeMap<(Millis, u64), Answer>,
    views: BTreeMap<(Millis, u64), (usize, usize, bool)>,
    next_event: u64,
    first_named: Option<Millis>,
    pub arrivals: Vec<Arrival>,
    /// Messages of limits that were sent.
    pub messages: u64,
}

impl Run {
    pub fn play(plan: Plan, seed: u64) -> Self {
        let nodes = (0..plan.nodes).map(|number| Node {
            name: NodeName(format!("n{number}")),
            pool: PermitPool::default(),
            issuer: PermitIssuer::default(),
            view: vec![true; plan.nodes],
            waiting: VecDeque::new(),
            inbox: BTreeMap::new(),
            frozen_until: 0,
            excused_until: 0,
        });
        let mut run = Self {
            nodes: nodes.collect(),
            random: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            answers: BTreeMap::new(),
            views: BTreeMap::new(),
            next_event: 0,
            first_named: None,
            arrivals: Vec::new(),
            messages: 0,
            plan,
        };
        while run.now < run.plan.length {
            run.step();
        }
        run
    }

    fn event(&mut self, after: std::ops::Range<Millis>) -> (Millis, u64) {
        self.next_event += 1;
        (self.now + self.random.gen_range(after), self.next_event)
    }

    fn step(&mut self) {
        self.now += STEP;
        if self.plan.trouble {
            self.make_trouble();
        }
        self.take_views();
        self.take_answers();
        self.callers_ask();
        for node in 0..self.nodes.len() {
            if self.nodes[node].frozen_until <= self.now {
                self.run_node(node);
            }
        }
    }

    /// One in so many steps something happens to one node.
    fn make_trouble(&mut self) {
        const ONE_IN: u32 = 400;
        if !self.random.gen_ratio(1, ONE_IN) {
            return;
        }
        let node = self.random.gen_range(0..self.nodes.len());
        match self.random.gen_range(0..3) {
            // It stops as planned: the others learn so at different times, and of its return.
            0 => {
                for other in 0..self.nodes.len() {
                    let left = self.event(1..1_200);
                    self.views.insert(left, (other, node, false));
                    let back = self.event(4_000..5_200);
                    self.views.insert(back, (other, node, true));
                }
            }
            // It starts again and knows nothing.
            1 => {
                let now = self.now;
                let one = &mut self.nodes[node];
                one.pool = PermitPool::default();
                one.issuer = PermitIssuer::default();
                one.waiting.clear();
                one.excused_until = now + EXCUSED_FOR;
            }
            _ => {
                let length = self.random.gen_range(200..3_000);
                let one = &mut self.nodes[node];
                one.frozen_until = self.now + length;
                one.excused_until = one.frozen_until + EXCUSED_FOR;
            }
        }
    }

    fn take_views(&mut self) {
        while let Some(entry) = self
            .views
            .first_entry()
            .filter(|one| one.key().0 <= self.now)
        {
            let (seen_by, node, is_usable) = entry.remove();
            self.nodes[seen_by].view[node] = is_usable;
            if self.issuer_by(seen_by) != Some(seen_by) {
                self.nodes[seen_by].issuer.keep_only(|_| false);
            }
        }
    }

    fn issuer_by(&self, node: usize) -> Option<usize> {
        let usable = (0..self.nodes.len()).filter(|other| self.nodes[node].view[*other]);
        let names = usable.map(|other| self.nodes[other].name.as_str());
        let issuer = issuer_of(names, BACKEND)?;
        self.nodes
            .iter()
            .position(|one| one.name.as_str() == issuer)
    }

    fn take_answers(&mut self) {
        while let Some(entry) = self
            .answers
            .first_entry()
            .filter(|one| one.key().0 <= self.now)
        {
            let answer = entry.remove();
            let node = &mut self.nodes[answer.node];
            node.pool.record_answer(answer.named, answer.permit, true);
        }
    }

    fn callers_ask(&mut self) {
        let expected = self.plan.asked * STEP as f64 / 1_000.0;
        let mut count = expected as u64;
        count += u64::from(self.random.gen_bool(expected.fract()));
        let asking = self.plan.asking_nodes.min(self.nodes.len());
        for _ in 0..count {
            let node = self.random.gen_range(0..asking);
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
            self.take_message(node, &from, message);
        }
        let one = &mut self.nodes[node];
        one.waiting.retain(|since| now - since < PATIENCE);
        self.send_waiting(node);
        let one = &mut self.nodes[node];
        one.pool.set_waiting(one.waiting.len() as u32, now);
        if let Some(request) = one.pool.request_due(BACKEND, now) {
            if let Some(issuer) = self.issuer_by(node) {
                self.send(node, issuer, LimitMessage::Request(request));
            }
        }
        if self.nodes[node].issuer.has_waiting() {
            let grants = self.nodes[node].issuer.issue_due(now);
            self.send_grants(node, grants);
        }
    }

    fn take_message(&mut self, node: usize, from: &NodeName, message: LimitMessage) {
        let now = self.now;
        match message {
            LimitMessage::Request(request) => {
                if self.issuer_by(node) == Some(node) {
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

    /// Relays pass it on to all nodes.
    fn announce(&mut self, node: usize) {
        let announcements = self.nodes[node].issuer.take_announcements();
        for announced in announcements {
            for other in 0..self.nodes.len() {
                let at = self.event(2..100);
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
        let is_lost = self.plan.trouble && self.random.gen_ratio(1, 50);
        if is_lost {
            return;
        }
        let at = match from == to {
            true => self.event(0..1),
            false => self.event(1..6),
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
            self.arrive(node, permit);
        }
    }

    fn named_now(&self) -> Option<RequestRate> {
        let began = self.plan.limits.iter().rev();
        let mut began = began.filter(|(from, _)| *from <= self.now);
        began.next()?.1.and_then(RequestRate::per_second)
    }

    fn arrive(&mut self, node: usize, permit: Option<Serial>) {
        let named = self.named_now();
        let now = self.now;
        if named.is_some() {
            self.first_named.get_or_insert(now);
        }
        let one = &self.nodes[node];
        let is_late = self.first_named.is_some_and(|at| at + COUNTED_AFTER <= now);
        self.arrivals.push(Arrival {
            at: now,
            counts: is_late && one.excused_until <= now,
        });
        // The head of a stream or of a slow answer comes late, and crosses others.
        let longest = if self.random.gen_ratio(1, 5) {
            1_500
        } else {
            60
        };
        let at = self.event(5..longest);
        self.answers.insert(
            at,
            Answer {
                node,
                named,
                permit,
            },
        );
    }
}

/// The most arrivals that count in any window.
pub fn most_in_a_window(arrivals: &[Arrival]) -> usize {
    let counted = arrivals.iter().filter(|one| one.counts);
    let times: Vec<Millis> = counted.map(|one| one.at).collect();
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
