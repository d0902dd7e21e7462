//! Random operator orders of rollouts and evacuations in a simulated cluster, and the check that
//! acknowledged orders are not lost.

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

/// Timeout of a proposal.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);
/// Probability that a step sends an order.
const ORDER_PROBABILITY: f64 = 0.06;
/// Number of services that have rollouts.
const SERVICES: u32 = 3;
/// Number of versions from which targets are drawn.
const VERSIONS: u32 = 3;
/// Range of rollout durations, in milliseconds; some end while faults are injected.
const DURATIONS: std::ops::Range<u64> = 1_000..20_000;
/// Number of zones to evacuate. No evacuation is undone, so that each acknowledged one must be
/// in force at the end.
const ZONES: u32 = 8;

/// A rollout order whose commit was acknowledged.
#[derive(Clone, Debug, PartialEq, Eq)]
struct AcknowledgedRollout {
    number: RolloutNumber,
    order: RolloutOrder,
}

/// The operator orders of one run.
pub struct OrderLog {
    /// Separate generator, so that the faults of a seed do not depend on the orders.
    random: ChaCha8Rng,
    rollouts: Rc<RefCell<Vec<AcknowledgedRollout>>>,
    zones: Rc<RefCell<Vec<String>>>,
    next_zone: u32,
    /// State and last observed rollouts of each process, by position of the node.
    observed: BTreeMap<usize, (SharedNodeState, Rollouts)>,
    failures: Vec<String>,
}

impl OrderLog {
    /// An empty log whose orders are drawn from `seed`.
    pub fn new(seed: u64) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            rollouts: Rc::default(),
            zones: Rc::default(),
            next_zone: 0,
            observed: BTreeMap::new(),
            failures: Vec::new(),
        }
    }

    /// Records an acknowledged rollout order.
    pub fn record_rollout(&mut self, number: RolloutNumber, order: RolloutOrder) {
        let acknowledged = AcknowledgedRollout { number, order };
        self.rollouts.borrow_mut().push(acknowledged);
    }

    /// Number of acknowledged orders of both kinds.
    pub fn acknowledged(&self) -> usize {
        self.rollouts.borrow().len() + self.zones.borrow().len()
    }

    /// Checks the state of all nodes and sends a random order with [`ORDER_PROBABILITY`].
    pub fn step(&mut self, world: &mut World) {
        self.check_regressions(world);
        if !self.random.gen_bool(ORDER_PROBABILITY) {
            return;
        }
        let position = self.random.gen_range(0..world.nodes.len());
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
        let Some(node) = &world.nodes[position].process else {
            return;
        };
        let known_number = {
            let state = node.state.borrow();
            let rollouts = state.rollouts.as_ref();
            let latest = rollouts.and_then(|rollouts| rollouts.latest_of_service(&order.service));
            latest.map_or(0, |rollout| rollout.number)
        };
        let begin = RolloutCommand::Begin {
            order: order.clone(),
            known_number,
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
                        .push(AcknowledgedRollout { number, order });
                }
            },
        );
    }

    fn evacuate(&mut self, world: &mut World, position: usize) {
        if self.next_zone == ZONES {
            return;
        }
        let Some(node) = &world.nodes[position].process else {
            return;
        };
        let known_revision = node.state.borrow().evacuations_revision();
        let zone = format!("zone-{}", self.next_zone);
        self.next_zone += 1;
        let order = EvacuationOrder {
            zone: zone.clone(),
            evacuated: true,
            known_revision: known_revision.unwrap_or_default(),
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

    /// Checks that no process returns to an older revision or changes the state of an ended
    /// rollout.
    fn check_regressions(&mut self, world: &World) {
        for (position, slot) in world.nodes.iter().enumerate() {
            let Some(node) = &slot.process else {
                continue;
            };
            let state = node.state.borrow();
            let Some(rollouts) = state.rollouts.as_deref() else {
                continue;
            };
            let former = self.observed.get(&position);
            let former = former.filter(|(process, _)| Rc::ptr_eq(process, &node.state));
            if former.is_some_and(|(_, former)| former.revision() == rollouts.revision()) {
                continue;
            }
            if let Some(problem) = former.and_then(|(_, former)| find_regression(former, rollouts))
            {
                let failure = format!("node {position}: {problem}");
                self.failures.push(failure);
            }
            self.observed
                .insert(position, (node.state.clone(), rollouts.clone()));
        }
    }

    /// Checks after recovery that every node has each acknowledged order; returns all failures.
    pub fn check(&mut self, world: &World) -> Vec<String> {
        let mut failures = std::mem::take(&mut self.failures);
        failures.extend(self.contradictions());
        for (position, slot) in world.nodes.iter().enumerate() {
            let Some(node) = &slot.process else {
                failures.push(format!("node {position} is not running"));
                continue;
            };
            let state = node.state.borrow();
            for acknowledged_rollout in self.rollouts.borrow().iter() {
                let service = &acknowledged_rollout.order.service;
                let rollouts = state.rollouts.as_ref();
                let current = rollouts.and_then(|rollouts| rollouts.latest_of_service(service));
                let is_preserved = current.is_some_and(|current| {
                    let is_later = current.number > acknowledged_rollout.number;
                    is_later
                        || (current.number == acknowledged_rollout.number
                            && is_same_order(&current.order, &acknowledged_rollout.order))
                });
                if !is_preserved {
                    failures.push(format!(
                        "node {position}: {acknowledged_rollout:?} was lost: {current:?}"
                    ));
                }
            }
            for zone in self.zones.borrow().iter() {
                let current = state.evacuations.as_ref();
                if !current.is_some_and(|current| current.contains(zone)) {
                    failures.push(format!("node {position}: {zone} is not evacuated"));
                }
            }
        }
        failures
    }

    /// Finds rollout numbers that were acknowledged for two different orders.
    fn contradictions(&self) -> Vec<String> {
        let mut by_number: BTreeMap<RolloutNumber, RolloutOrder> = BTreeMap::new();
        let mut failures = Vec::new();
        for acknowledged_rollout in self.rollouts.borrow().iter() {
            let first = by_number
                .entry(acknowledged_rollout.number)
                .or_insert_with(|| acknowledged_rollout.order.clone());
            if !is_same_order(first, &acknowledged_rollout.order) {
                failures.push(format!(
                    "rollout {}: {first:?}, then {acknowledged_rollout:?}",
                    acknowledged_rollout.number
                ));
            }
        }
        failures
    }
}

/// Whether two orders have the same service and version; a repeat may have another duration.
fn is_same_order(first: &RolloutOrder, second: &RolloutOrder) -> bool {
    first.service == second.service && first.target_version == second.target_version
}

fn find_regression(former: &Rollouts, now: &Rollouts) -> Option<String> {
    if now.revision() < former.revision() {
        return Some(format!(
            "revision {} follows revision {}",
            now.revision(),
            former.revision()
        ));
    }
    let mut ended = former.all().filter(|rollout| !rollout.is_in_progress());
    let resumed = ended.find(|rollout| {
        let present = now.by_number(rollout.number);
        present.is_some_and(|present| present.state != rollout.state)
    })?;
    Some(format!(
        "rollout {} changed its state after its end",
        resumed.number
    ))
}

fn propose<R: serde::de::DeserializeOwned>(
    world: &mut World,
    position: usize,
    command: ControlCommand,
    on_reply: impl FnOnce(Option<R>) + 'static,
) {
    let Some(node) = &world.nodes[position].process else {
        return;
    };
    let ret = ret_some_do!(move |outcome: ProposalOutcome| {
        on_reply(match outcome {
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
