//! A cluster whose nodes serve a small made-up traffic by what they hold of rollouts, as the data
//! path does: they send to the candidate only with a permit and within the directive.

use crate::traffic::{count, evidence_of, goes_to_candidate, is_loaded};
use silversail_control::{ControlCommand, PublishedTraffic};
use silversail_daemon::metrics::Metrics;
use silversail_daemon::replica::ProposalOutcome;
use silversail_daemon::rollout::{RolloutActor, RolloutCaller, RolloutOutcome, RolloutSetup};
use silversail_decisions::DecisionLog;
use silversail_model::traffic::{CallerLimits, ServiceSpec};
use silversail_model::{NodeName, TrafficConfiguration};
use silversail_peer::{BackendListEntry, GroupId};
use silversail_rollout::{Evidence, Rollout, RolloutNumber, RolloutOrder, RolloutState};
use silversail_simulation::world::{Knowledge, World, WorldSize};
use stakker::{actor, call, ret_nop, ret_some_do, ActorOwn};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

pub const SIZE: WorldSize = WorldSize {
    nodes: 9,
    voters: 3,
    zones: 3,
    is_hollow: true,
    knowledge: Knowledge::Contacts([0, 1, 5]),
};
/// Longest time from an order to its acknowledgement while a leader can be elected, in
/// milliseconds.
pub const ACKNOWLEDGED_WITHIN: u64 = 5_000;
/// The service of most tests; there are `s0` to `s7`.
pub const SERVICE: &str = "s0";
/// Duration of the orders, in milliseconds.
pub const DURATION_MS: u64 = 12_000;
const SERVICES: usize = 8;

/// Between two turns of the made-up traffic, in milliseconds.
const TURN_MS: u64 = 50;
/// Between two reads of the list of back ends, in milliseconds.
const LIST_READ_EVERY_MS: u64 = 500;
/// Requests of a node in a turn.
const REQUESTS_PER_TURN: u64 = 2;

/// How good the candidate is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Candidate {
    /// As good as the baseline.
    Good,
    /// Half of its answers fail.
    Bad,
    /// 60 in 100 of its answers fail while it has more than a third of the requests.
    BadUnderLoad,
}

/// What an operator's call came to.
pub type Answer = Rc<RefCell<Option<RolloutOutcome>>>;

/// An operator who waits.
struct Call(Answer);

impl RolloutCaller for Call {
    fn is_waiting(&self) -> bool {
        true
    }

    fn answer(self: Box<Self>, outcome: RolloutOutcome) {
        *self.0.borrow_mut() = Some(outcome);
    }
}

pub struct Cluster {
    // Before the world, as actors must end before the runtime of their node.
    actors: Vec<ActorOwn<RolloutActor>>,
    pub world: World,
    pub seed: u64,
    pub candidate: Candidate,
    /// Whether the list names no back ends of the old version.
    pub is_candidate_alone: bool,
    /// Requests sent to the candidate: when, and by which node.
    pub exposed: Vec<(u64, usize)>,
    /// When answers of the candidate failed.
    pub bad_answers: Vec<u64>,
}

impl Cluster {
    /// A formed cluster with eight services, and back ends of versions `v1` and `v2`.
    pub fn start(seed: u64, candidate: Candidate) -> Self {
        let mut cluster = Self {
            actors: Vec::new(),
            world: World::new(seed, SIZE),
            seed,
            candidate,
            is_candidate_alone: false,
            exposed: Vec::new(),
            bad_answers: Vec::new(),
        };
        cluster.world.run_for(4_000);
        cluster.publish();
        cluster.run_for(1_000);
        cluster
    }

    fn publish(&mut self) {
        let services = (0..SERVICES).map(|number| ServiceSpec {
            name: format!("s{number}"),
            health_path: "/".to_owned(),
            max_connections: 100,
            engine: None,
            batch: None,
            cold: None,
        });
        let traffic = TrafficConfiguration {
            version: 1,
            routes: Vec::new(),
            services: services.collect(),
            tenants: Vec::new(),
            limits: CallerLimits {
                header_bytes: 1,
                body_bytes: 1,
                header_timeout_ms: 1,
                idle_timeout_ms: 1,
            },
        };
        let document = b"{}".to_vec();
        let published = PublishedTraffic { document, traffic };
        let command = ControlCommand::Publish(published).encode();
        let is_done = Rc::new(Cell::new(false));
        let told = is_done.clone();
        let ret = ret_some_do!(move |outcome: ProposalOutcome| {
            told.set(matches!(outcome, ProposalOutcome::Applied(_)));
        });
        let node = self.world.places[0].node.as_ref().expect("runs");
        let proposer = &node.actors.control_proposer;
        call!([proposer], propose(command, Duration::from_secs(6), ret));
        self.world.wake(0);
        self.world.run_for(2_000);
        assert!(is_done.get(), "no configuration, seed {}", self.seed);
    }

    /// Runs for a while, with traffic and reads of the list.
    pub fn run_for(&mut self, duration: u64) {
        let end = self.world.now() + duration;
        while self.world.now() < end {
            let now = self.world.now();
            let next = (now / TURN_MS + 1) * TURN_MS;
            self.world.run_until(next.min(end));
            if self.world.now() == next {
                self.turn(next);
            }
        }
    }

    /// Runs until a condition holds; false when it does not in time.
    pub fn run_until(&mut self, timeout: u64, mut holds: impl FnMut(&Cluster) -> bool) -> bool {
        let end = self.world.now() + timeout;
        while self.world.now() < end {
            if holds(self) {
                return true;
            }
            self.run_for(5);
        }
        holds(self)
    }

    fn turn(&mut self, now: u64) {
        for position in 0..SIZE.nodes {
            self.serve(position, now);
        }
        let leader = self.leader();
        if let (Some(leader), true) = (leader, now.is_multiple_of(LIST_READ_EVERY_MS)) {
            let node = self.world.places[leader].node.as_ref().expect("runs");
            node.actors.list_read(self.listing());
            self.world.wake(leader);
        }
    }

    fn serve(&mut self, position: usize, now: u64) {
        let instant = self.world.instant();
        let place = &self.world.places[position];
        let (Some(node), None) = (&place.node, place.frozen_until) else {
            return;
        };
        let mut state = node.state.borrow_mut();
        let is_permitted = state.has_rollout_permit(node.clock.millis(instant));
        let rollouts: Vec<Rollout> = match &state.rollouts {
            Some(rollouts) => rollouts.all().cloned().collect(),
            None => return,
        };
        let is_current = |evidence: &Evidence| {
            let mut rollouts = rollouts.iter();
            rollouts.any(|one| one.number == evidence.rollout && one.is_in_progress())
        };
        state.rollout_evidence.retain(is_current);
        for rollout in &rollouts {
            let RolloutState::InProgress(directive) = &rollout.state else {
                continue;
            };
            let evidence = evidence_of(&mut state, rollout.number);
            evidence.step = directive.step;
            for _ in 0..REQUESTS_PER_TURN {
                let to_candidate = is_permitted && goes_to_candidate(evidence, directive);
                if to_candidate {
                    self.exposed.push((now, position));
                }
                let is_loaded = is_loaded(directive);
                if !count(evidence, to_candidate, self.candidate, is_loaded) {
                    self.bad_answers.push(now);
                }
            }
        }
    }

    pub fn leader(&self) -> Option<usize> {
        self.world.leader(GroupId::Control)
    }

    /// The leader's position; there must be one.
    pub fn present_leader(&self) -> usize {
        self.leader().expect("a leader")
    }

    /// Another node than the leader, that does not vote.
    pub fn other_node(&self) -> usize {
        SIZE.voters + (self.seed as usize % (SIZE.nodes - SIZE.voters))
    }

    /// Orders a rollout at a node, as its surfaces do.
    pub fn order(&mut self, position: usize, service: &str, version: &str) -> Answer {
        self.order_in(position, service, version, DURATION_MS)
    }

    pub fn order_in(
        &mut self,
        position: usize,
        service: &str,
        version: &str,
        duration_ms: u64,
    ) -> Answer {
        let order = RolloutOrder {
            service: service.to_owned(),
            target_version: version.to_owned(),
            duration_ms,
        };
        self.call(position, |actor, caller| {
            call!([actor], begin(order, caller));
        })
    }

    /// Takes a rollout back at a node.
    pub fn abort(&mut self, position: usize, service: &str) -> Answer {
        let service = service.to_owned();
        self.call(position, |actor, caller| {
            call!([actor], abort(service, caller));
        })
    }

    fn call(
        &mut self,
        position: usize,
        send: impl FnOnce(&ActorOwn<RolloutActor>, Box<Call>),
    ) -> Answer {
        let answer = Answer::default();
        let node = self.world.places[position].node.as_mut().expect("runs");
        let setup = RolloutSetup {
            state: node.state.clone(),
            proposer: (*node.actors.control_proposer).clone(),
            log: DecisionLog::disabled(),
            metrics: Arc::new(Metrics::new()),
            clock: node.clock,
        };
        let stakker = &mut node.stakker;
        let actor = actor!(stakker, RolloutActor::init(setup), ret_nop!());
        send(&actor, Box::new(Call(answer.clone())));
        self.actors.push(actor);
        self.world.wake(position);
        answer
    }

    /// Waits for an acknowledgement and tells the rollout's number.
    pub fn acknowledged(&mut self, answer: &Answer) -> RolloutNumber {
        self.run_until(ACKNOWLEDGED_WITHIN, |_| answer.borrow().is_some());
        match answer.borrow().as_ref() {
            Some(Ok(number)) => *number,
            other => panic!(
                "{other:?} in place of an acknowledgement, seed {}",
                self.seed
            ),
        }
    }

    /// Sends an order to node after node, each for a second, until it is acknowledged, as
    /// operators do.
    pub fn order_until_acknowledged(&mut self, service: &str, version: &str) -> RolloutNumber {
        let first = self.other_node();
        for attempt in 0..ACKNOWLEDGED_WITHIN / 1_000 {
            let position = (first + attempt as usize) % SIZE.nodes;
            if self.world.places[position].node.is_none() {
                continue;
            }
            let answer = self.order(position, service, version);
            if self.run_until(1_000, |_| matches!(&*answer.borrow(), Some(Ok(_)))) {
                return self.acknowledged(&answer);
            }
        }
        panic!("no acknowledgement, seed {}", self.seed);
    }

    /// What a running node holds of a service's rollout.
    pub fn held(&self, position: usize, service: &str) -> Option<Rollout> {
        let node = self.world.places[position].node.as_ref()?;
        let state = node.state.borrow();
        state.rollouts.as_ref()?.latest_of_service(service).cloned()
    }

    /// Whether a running node may send to candidates.
    pub fn is_permitted(&self, position: usize) -> bool {
        let instant = self.world.instant();
        let node = self.world.places[position].node.as_ref().expect("runs");
        let now = node.clock.millis(instant);
        node.state.borrow().has_rollout_permit(now)
    }

    /// Whether a service's latest rollout has a state on all running nodes.
    pub fn is_everywhere(&self, service: &str, is_wanted: impl Fn(&RolloutState) -> bool) -> bool {
        let running = (0..SIZE.nodes).filter(|node| self.world.places[*node].node.is_some());
        running
            .filter(|node| self.world.places[*node].frozen_until.is_none())
            .all(|node| {
                self.held(node, service)
                    .is_some_and(|one| is_wanted(&one.state))
            })
    }

    fn listing(&self) -> Vec<BackendListEntry> {
        let versions: &[&str] = match self.is_candidate_alone {
            true => &["v2"],
            false => &["v1", "v2"],
        };
        let services = (0..SERVICES).map(|number| format!("s{number}"));
        services
            .flat_map(|service| {
                versions
                    .iter()
                    .map(move |version| (service.clone(), *version))
            })
            .enumerate()
            .map(|(number, (service, version))| BackendListEntry {
                id: format!("i{number}-{version}"),
                name: format!("i{number}-{version}"),
                service,
                version: version.to_owned(),
                address: format!("127.0.0.1:{}", 20_000 + number),
                zone: "z0".to_owned(),
                slots: 4,
                draining: false,
                cold: false,
                started_at_ms: None,
            })
            .collect()
    }

    /// Cuts a node off from all others, or ends that.
    pub fn cut(&mut self, position: usize, is_cut: bool) {
        let name: NodeName = self.world.places[position].name.clone();
        let cut_off = &mut self.world.network.borrow_mut().faults.cut_off;
        match is_cut {
            true => cut_off.insert(name),
            false => cut_off.remove(&name),
        };
    }
}

pub fn is_completed(state: &RolloutState) -> bool {
    matches!(state, RolloutState::Completed { .. })
}

pub fn is_rolled_back(state: &RolloutState) -> bool {
    matches!(state, RolloutState::RolledBack { .. })
}
