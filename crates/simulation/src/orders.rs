//! Operators who order rollouts and evacuations of a simulated cluster, and what must become of
//! the orders that were acknowledged.

use crate::world::World;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use silversail_control::{
    ControlCommand, EvacuationOrder, EvacuationReply, RolloutCommand, RolloutReply, Rollouts,
};
use silversail_daemon::replica::ProposalOutcome;
use silversail_daemon::session::SharedNodeState;
use silversail_rollout::{RolloutNumber, RolloutOrder};
use stakker::{call, ret_some_do};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Longest wait of an operator.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);
/// Share of the steps in which an operator orders something: about 50 orders a minute.
const ORDERED: f64 = 0.06;
/// Services that have rollouts.
const SERVICES: u32 = 3;
/// Versions among which they move.
const VERSIONS: u32 = 3;
/// Durations of rollouts, in milliseconds: some end in the middle of the faults.
const DURATIONS: std::ops::Range<u64> = 1_000..20_000;
/// Zones that are evacuated, each at most once and never taken back, so that each that was
/// acknowledged must be evacuated at the end.
const ZONES: u32 = 8;

/// A rollout that was acknowledged.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Acknowledged {
    number: RolloutNumber,
    order: RolloutOrder,
}

/// The orders of one run.
pub struct OrderLog {
    /// Its own draws, so that the faults of a seed do not depend on the orders.
    random: ChaCha8Rng,
    rollouts: Rc<RefCell<Vec<Acknowledged>>>,
    zones: Rc<RefCell<Vec<String>>>,
    next_zone: u32,
    /// What each process had in force, by node: the state of the process and the rollouts.
    seen: BTreeMap<usize, (SharedNodeState, Rollouts)>,
    failures: Vec<String>,
}

impl OrderLog {
    /// No orders yet.
    pub fn new(seed: u64) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            rollouts: Rc::default(),
            zones: Rc::default(),
            next_zone: 0,
            seen: BTreeMap::new(),
            failures: Vec::new(),
        }
    }

    /// Notes an acknowledgement that an operator got.
    pub fn note_rollout(&mut self, number: RolloutNumber, order: RolloutOrder) {
        let acknowledged = Acknowledged { number, order };
        self.rollouts.borrow_mut().push(acknowledged);
    }

    /// How many orders were acknowledged.
    pub fn acknowledged(&self) -> usize {
        self.rollouts.borrow().len() + self.zones.borrow().len()
    }

    /// Now and then an operator orders something; what all nodes have in force is looked at.
    pub fn step(&mut self, world: &mut World) {
        self.watch(world);
        if !self.random.gen_bool(ORDERED) {
            return;
        }
        let position = self.random.gen_range(0..world.places.len());
        match self.random.gen_bool(0.7) {
            true => self.begin_rollout(world, position),
            false => self.evacuate(world, position),
        }
    }

    fn begin_rollout(&mut self, world: &mut World, position: usize) {
        let order = RolloutOrder {
            service: format!("service-{}", self.random.gen_range(0..SERVICES)),
            target_version: format!("v{}", self.random.gen_range(0..VERSIONS)),
            duration_ms: self.random.gen_range(DURATIONS),
        };
        let Some(node) = &world.places[position].node else {
            return;
        };
        let seen = {
            let state = node.state.borrow();
            let rollouts = state.rollouts.as_ref();
            let latest = rollouts.and_then(|one| one.latest_of_service(&order.service));
            latest.map_or(0, |rollout| rollout.number)
        };
        let begin = RolloutCommand::Begin {
            order: order.clone(),
            known_number: seen,
        };
        let acknowledged = self.rollouts.clone();
        propose(
            world,
            position,
            ControlCommand::Rollout(begin),
            move |reply| {
                if let Some(RolloutReply::InForce { number }) = reply {
                    acknowledged
                        .borrow_mut()
                        .push(Acknowledged { number, order });
                }
            },
        );
    }

    fn evacuate(&mut self, world: &mut World, position: usize) {
        if self.next_zone == ZONES {
            return;
        }
        let Some(node) = &world.places[position].node else {
            return;
        };
        let seen = node.state.borrow().evacuations_revision();
        let zone = format!("zone-{}", self.next_zone);
        self.next_zone += 1;
        let order = EvacuationOrder {
            zone: zone.clone(),
            evacuated: true,
            known_revision: seen.unwrap_or_default(),
        };
        let acknowledged = self.zones.clone();
        propose(
            world,
            position,
            ControlCommand::Evacuate(order),
            move |reply| {
                if let Some(EvacuationReply::InForce { .. }) = reply {
                    acknowledged.borrow_mut().push(zone);
                }
            },
        );
    }

    /// No process goes back: neither to an older revision nor from an end to a rollout in
    /// progress.
    fn watch(&mut self, world: &World) {
        for (position, place) in world.places.iter().enumerate() {
            let Some(node) = &place.node else {
                continue;
            };
            let state = node.state.borrow();
            let Some(rollouts) = state.rollouts.as_deref() else {
                continue;
            };
            let former = self.seen.get(&position);
            let former = former.filter(|(process, _)| Rc::ptr_eq(process, &node.state));
            if former.is_some_and(|(_, former)| former.revision() == rollouts.revision()) {
                continue;
            }
            if let Some(problem) = former.and_then(|(_, former)| goes_back(former, rollouts)) {
                let failure = format!("node {position}: {problem}");
                self.failures.push(failure);
            }
            self.seen
                .insert(position, (node.state.clone(), rollouts.clone()));
        }
    }

    /// After recovery each acknowledged order is in force on every node; returns what is not.
    pub fn check(&mut self, world: &World) -> Vec<String> {
        let mut failures = std::mem::take(&mut self.failures);
        failures.extend(self.contradictions());
        for (position, place) in world.places.iter().enumerate() {
            let Some(node) = &place.node else {
                failures.push(format!("node {position} does not run"));
                continue;
            };
            let state = node.state.borrow();
            for one in self.rollouts.borrow().iter() {
                let service = &one.order.service;
                let rollouts = state.rollouts.as_ref();
                let held = rollouts.and_then(|rollouts| rollouts.latest_of_service(service));
                let is_kept = held.is_some_and(|held| {
                    let is_later = held.number > one.number;
                    is_later || (held.number == one.number && is_same(&held.order, &one.order))
                });
                if !is_kept {
                    failures.push(format!("node {position}: {one:?} was lost: {held:?}"));
                }
            }
            for zone in self.zones.borrow().iter() {
                let held = state.evacuations.as_ref();
                if !held.is_some_and(|held| held.contains(zone)) {
                    failures.push(format!("node {position}: {zone} is not evacuated"));
                }
            }
        }
        failures
    }

    /// One number stands for one order only.
    fn contradictions(&self) -> Vec<String> {
        let mut by_number: BTreeMap<RolloutNumber, RolloutOrder> = BTreeMap::new();
        let mut failures = Vec::new();
        for one in self.rollouts.borrow().iter() {
            let first = by_number
                .entry(one.number)
                .or_insert_with(|| one.order.clone());
            if !is_same(first, &one.order) {
                failures.push(format!("rollout {}: {first:?}, then {one:?}", one.number));
            }
        }
        failures
    }
}

/// Whether two orders ask for the same; a repeat may tell another duration.
fn is_same(first: &RolloutOrder, second: &RolloutOrder) -> bool {
    first.service == second.service && first.target_version == second.target_version
}

fn goes_back(former: &Rollouts, now: &Rollouts) -> Option<String> {
    if now.revision() < former.revision() {
        return Some(format!("{} after {}", now.revision(), former.revision()));
    }
    let mut ended = former.all().filter(|rollout| !rollout.is_in_progress());
    let revived = ended.find(|rollout| {
        let present = now.by_number(rollout.number);
        present.is_some_and(|present| present.state != rollout.state)
    })?;
    Some(format!("rollout {} goes on after its end", revived.number))
}

fn propose<R: serde::de::DeserializeOwned>(
    world: &mut World,
    position: usize,
    command: ControlCommand,
    told: impl FnOnce(Option<R>) + 'static,
) {
    let Some(node) = &world.places[position].node else {
        return;
    };
    let ret = ret_some_do!(move |outcome: ProposalOutcome| {
        told(match outcome {
            ProposalOutcome::Applied(bytes) => postcard::from_bytes(&bytes).ok(),
            ProposalOutcome::Unavailable => None,
        });
    });
    call!(
        [node.actors.control_proposer],
        propose(command.encode(), ORDER_TIMEOUT, ret)
    );
    world.wake(position);
}
