//! A simulated cluster whose nodes serve simulated requests by their rollout state: like the data
//! path they send to the candidate only with a permit and within the directive.

use crate::traffic::{evidence_of, goes_to_candidate, is_loaded, record_response};
use silversail_control::{ControlCommand, PublishedTraffic};
use silversail_daemon::metrics::Metrics;
use silversail_daemon::replica::ProposalOutcome;
use silversail_daemon::rollout::{RolloutActor, RolloutCaller, RolloutOutcome, RolloutSetup};
use silversail_decisions::DecisionLog;
use silversail_model::traffic::{CallerLimits, ServiceSpec};
use silversail_model::{NodeName, TrafficConfiguration};
use silversail_peer::{BackendListEntry, GroupId};
use silversail_rollout::{Evidence, Rollout, RolloutNumber, RolloutOrder, RolloutState};
use silversail_simulation::world::{NodeDiscovery, World, WorldSize};
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
    discovery: NodeDiscovery::Contacts([0, 1, 5]),
};
/// Longest time from an order to its acknowledgement, a leader election included, in
/// milliseconds.
pub const ACKNOWLEDGEMENT_TIMEOUT_MS: u64 = 5_000;
/// Service of most tests, one of `s0` to `s7`.
pub const SERVICE: &str = "s0";
/// Duration of the orders, in milliseconds.
pub const DURATION_MS: u64 = 12_000;
const SERVICES: usize = 8;

/// Interval between two rounds of simulated requests, in milliseconds.
const ROUND_MS: u64 = 50;
/// Interval between two reads of the backend list, in milliseconds.
const LIST_READ_INTERVAL_MS: u64 = 500;
/// Number of requests of a node in each round.
const REQUESTS_PER_ROUND: u64 = 2;

/// Quality of the candidate version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CandidateQuality {
    /// As good as the baseline.
    Good,
    /// Half of its responses fail.
    Bad,
    /// 60 in 100 of its responses fail while it has more than a third of the requests.
    BadUnderLoad,
}

/// Outcome of an operator request; none until it is answered.
pub type Answer = Rc<RefCell<Option<RolloutOutcome>>>;

/// Operator request that waits for its answer.
struct RecordedCaller(Answer);

impl RolloutCaller for RecordedCaller {
    fn is_waiting(&self) -> bool {
        true
    }

    fn answer(self: Box<Self>, outcome: RolloutOutcome) {
        *self.0.borrow_mut() = Some(outcome);
    }
}

pub struct Cluster {
    // Declared before the world, as actors must be dropped before the runtime of their node.
    actors: Vec<ActorOwn<RolloutActor>>,
    pub world: World,
    pub seed: u64,
    pub candidate: CandidateQuality,
    /// Whether the backend list has no back ends of the baseline version.
    pub is_candidate_alone: bool,
    /// Virtual time and sending node of each request to the candidate.
    pub candidate_requests: Vec<(u64, usize)>,
    /// Virtual time of each failed response of the candidate.
    pub candidate_failures: Vec<u64>,
}

impl Cluster {
    /// A formed cluster with eight services, and back ends of versions `v1` and `v2`.
    pub fn start(seed: u64, candidate: CandidateQuality) -> Self {
        let mut cluster = Self {
            actors: Vec::new(),
            world: World::new(seed, SIZE),
            seed,
            candidate,
            is_candidate_alone: false,
            candidate_requests: Vec::new(),
            candidate_failures: Vec::new(),
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
        let is_recorded = is_done.clone();
        let ret = ret_some_do!(move |outcome: ProposalOutcome| {
            is_recorded.set(matches!(outcome, ProposalOutcome::Applied(_)));
        });
        let node = self.world.nodes[0].process.as_ref().expect("runs");
        let proposer = &node.actors.control_proposer;
        call!([proposer], propose(command, Duration::from_secs(6), ret));
        self.world.wake(0);
        self.world.run_for(2_000);
        assert!(is_done.get(), "no configuration, seed {}", self.seed);
    }

    /// Runs for `duration` milliseconds, with simulated requests and reads of the list.
    pub fn run_for(&mut self, duration: u64) {
        let end = self.world.now() + duration;
        while self.world.now() < end {
            let now = self.world.now();
            let next = (now / ROUND_MS + 1) * ROUND_MS;
            self.world.run_until(next.min(end));
            if self.world.now() == next {
                self.run_round(next);
            }
        }
    }

    /// Runs until `condition` holds; false when it does not within `timeout` milliseconds.
    pub fn run_until(&mut self, timeout: u64, mut condition: impl FnMut(&Cluster) -> bool) -> bool {
        let end = self.world.now() + timeout;
        while self.world.now() < end {
            if condition(self) {
                return true;
            }
            self.run_for(5);
        }
        condition(self)
    }

    fn run_round(&mut self, now: u64) {
        for position in 0..SIZE.nodes {
            self.serve(position, now);
        }
        let leader = self.leader();
        if let (Some(leader), true) = (leader, now.is_multiple_of(LIST_READ_INTERVAL_MS)) {
            let node = self.world.nodes[leader].process.as_ref().expect("runs");
            node.actors.list_read(self.backend_list());
            self.world.wake(leader);
        }
    }

    fn serve(&mut self, position: usize, now: u64) {
        let instant = self.world.instant();
        let slot = &self.world.nodes[position];
        let (Some(node), None) = (&slot.process, slot.frozen_until) else {
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
            rollouts.any(|rollout| rollout.number == evidence.rollout && rollout.is_in_progress())
        };
        state.rollout_evidence.retain(is_current);
        for rollout in &rollouts {
            let RolloutState::InProgress(directive) = &rollout.state else {
                continue;
            };
            let evidence = evidence_of(&mut state, rollout.number);
            evidence.step = directive.step;
            for _ in 0..REQUESTS_PER_ROUND {
                let to_candidate = is_permitted && goes_to_candidate(evidence, directive);
                if to_candidate {
                    self.candidate_requests.push((now, position));
                }
                let is_loaded = is_loaded(directive);
                if !record_response(evidence, to_candidate, self.candidate, is_loaded) {
                    self.candidate_failures.push(now);
                }
            }
        }
    }

    pub fn leader(&self) -> Option<usize> {
        self.world.leader(GroupId::Control)
    }

    /// Position of the leader.
    ///
    /// # Panics
    /// When there is no leader.
    pub fn expect_leader(&self) -> usize {
        self.leader().expect("a leader")
    }

    /// A node that does not vote.
    pub fn other_node(&self) -> usize {
        SIZE.voters + (self.seed as usize % (SIZE.nodes - SIZE.voters))
    }

    /// Orders a rollout at a node, as its operator API does.
    pub fn order(&mut self, position: usize, service: &str, version: &str) -> Answer {
        self.order_with_duration(position, service, version, DURATION_MS)
    }

    pub fn order_with_duration(
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

    /// Aborts a rollout at a node.
    pub fn abort(&mut self, position: usize, service: &str) -> Answer {
        let service = service.to_owned();
        self.call(position, |actor, caller| {
            call!([actor], abort(service, caller));
        })
    }

    fn call(
        &mut self,
        position: usize,
        send: impl FnOnce(&ActorOwn<RolloutActor>, Box<RecordedCaller>),
    ) -> Answer {
        let answer = Answer::default();
        let node = self.world.nodes[position].process.as_mut().expect("runs");
        let setup = RolloutSetup {
            state: node.state.clone(),
            proposer: (*node.actors.control_proposer).clone(),
            log: DecisionLog::disabled(),
            metrics: Arc::new(Metrics::new()),
            clock: node.clock,
        };
        let stakker = &mut node.stakker;
        let actor = actor!(stakker, RolloutActor::init(setup), ret_nop!());
        send(&actor, Box::new(RecordedCaller(answer.clone())));
        self.actors.push(actor);
        self.world.wake(position);
        answer
    }

    /// Waits for the acknowledgement of an order; returns the number of the rollout.
    pub fn wait_for_acknowledgement(&mut self, answer: &Answer) -> RolloutNumber {
        self.run_until(ACKNOWLEDGEMENT_TIMEOUT_MS, |_| answer.borrow().is_some());
        match answer.borrow().as_ref() {
            Some(Ok(number)) => *number,
            other => panic!(
                "{other:?} instead of an acknowledgement, seed {}",
                self.seed
            ),
        }
    }

    /// Sends an order to one node after another, with a timeout of a second, until it is
    /// acknowledged.
    pub fn order_until_acknowledged(&mut self, service: &str, version: &str) -> RolloutNumber {
        let first = self.other_node();
        for attempt in 0..ACKNOWLEDGEMENT_TIMEOUT_MS / 1_000 {
            let position = (first + attempt as usize) % SIZE.nodes;
            if self.world.nodes[position].process.is_none() {
                continue;
            }
            let answer = self.order(position, service, version);
            if self.run_until(1_000, |_| matches!(&*answer.borrow(), Some(Ok(_)))) {
                return self.wait_for_acknowledgement(&answer);
            }
        }
        panic!("no acknowledgement, seed {}", self.seed);
    }

    /// Latest rollout of a service in the state of a running node.
    pub fn rollout_at(&self, position: usize, service: &str) -> Option<Rollout> {
        let node = self.world.nodes[position].process.as_ref()?;
        let state = node.state.borrow();
        state.rollouts.as_ref()?.latest_of_service(service).cloned()
    }

    /// Whether a running node may send to candidates.
    pub fn is_permitted(&self, position: usize) -> bool {
        let instant = self.world.instant();
        let node = self.world.nodes[position].process.as_ref().expect("runs");
        let now = node.clock.millis(instant);
        node.state.borrow().has_rollout_permit(now)
    }

    /// Whether a service's latest rollout has a state on all running nodes.
    pub fn is_everywhere(
        &self,
        service: &str,
        is_expected: impl Fn(&RolloutState) -> bool,
    ) -> bool {
        let running = (0..SIZE.nodes).filter(|node| self.world.nodes[*node].process.is_some());
        running
            .filter(|node| self.world.nodes[*node].frozen_until.is_none())
            .all(|node| {
                self.rollout_at(node, service)
                    .is_some_and(|rollout| is_expected(&rollout.state))
            })
    }

    fn backend_list(&self) -> Vec<BackendListEntry> {
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

    /// Isolates a node from all others, or ends its isolation.
    pub fn set_isolated(&mut self, position: usize, is_isolated: bool) {
        let name: NodeName = self.world.nodes[position].name.clone();
        let isolated_nodes = &mut self.world.network.borrow_mut().faults.isolated_nodes;
        match is_isolated {
            true => isolated_nodes.insert(name),
            false => isolated_nodes.remove(&name),
        };
    }
}

pub fn is_completed(state: &RolloutState) -> bool {
    matches!(state, RolloutState::Completed { .. })
}

pub fn is_rolled_back(state: &RolloutState) -> bool {
    matches!(state, RolloutState::RolledBack { .. })
}
