//! Guards against the loss of acknowledged evacuations through leader crashes, isolated nodes and
//! full restarts.

use rstest::rstest;
use silversail_control::{ControlCommand, EvacuationOrder};
use silversail_daemon::evacuation::{
    EvacuationActor, EvacuationCaller, EvacuationRequest, EvacuationSetup,
};
use silversail_daemon::replica::ProposalOutcome;
use silversail_decisions::DecisionLog;
use silversail_model::topology::RoundTrips;
use silversail_model::{NodeName, ResultCode, Topology};
use silversail_peer::GroupId;
use silversail_simulation::world::{NodeDiscovery, World, WorldSize};
use stakker::{actor, call, ret_nop, ret_some_do};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

const SIZE: WorldSize = WorldSize {
    nodes: 9,
    voters: 3,
    zones: 3,
    is_hollow: true,
    discovery: NodeDiscovery::Contacts([0, 1, 5]),
};
/// Longest time from an order to its acknowledgement, a leader election included, in
/// milliseconds.
const ACKNOWLEDGEMENT_TIMEOUT_MS: u64 = 4_000;
/// Longest time from the acknowledgement until every connected node has the order, in
/// milliseconds. It covers a heartbeat after a lost push.
const PROPAGATION_TIMEOUT_MS: u64 = 1_500;

/// Proposes an evacuation order for zone `z` at a node. The returned flag is set by its
/// acknowledgement.
fn order(
    world: &mut World,
    position: usize,
    evacuated: bool,
    known_revision: u64,
) -> Rc<Cell<bool>> {
    let zone = "z".to_owned();
    let order = EvacuationOrder {
        zone,
        evacuated,
        known_revision,
    };
    let command = ControlCommand::Evacuate(order).encode();
    let acknowledged = Rc::new(Cell::new(false));
    let recorded = acknowledged.clone();
    let ret = ret_some_do!(move |outcome: ProposalOutcome| {
        recorded.set(matches!(outcome, ProposalOutcome::Applied(_)));
    });
    let node = world.nodes[position].process.as_ref().expect("runs");
    call!(
        [node.actors.control_proposer],
        propose(command, Duration::from_secs(6), ret)
    );
    world.wake(position);
    acknowledged
}

fn wait_for_acknowledgement(world: &mut World, acknowledged: &Cell<bool>, seed: u64) {
    for _ in 0..ACKNOWLEDGEMENT_TIMEOUT_MS / 50 {
        if acknowledged.get() {
            return;
        }
        world.run_for(50);
    }
    panic!("no acknowledgement, seed {seed}");
}

/// Whether a node has zone `z` as evacuated; none before its first confirmed state.
fn is_evacuated(world: &World, position: usize) -> Option<bool> {
    let node = world.nodes[position].process.as_ref().expect("runs");
    let state = node.state.borrow();
    Some(state.evacuations.as_ref()?.contains("z"))
}

fn assert_evacuated_everywhere(
    world: &World,
    nodes: impl Iterator<Item = usize>,
    expected: bool,
    seed: u64,
) {
    for node in nodes {
        let seen = is_evacuated(world, node);
        assert_eq!(seen, Some(expected), "node {node}, seed {seed}");
    }
}

#[rstest]
fn an_order_survives_a_leader_crash_and_reaches_all_nodes(
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10)] seed: u64,
) {
    let mut world = World::new(seed, SIZE);
    world.run_for(4_000);
    let leader = world.leader(GroupId::Control).expect("a leader");
    let ordering_node = (0..SIZE.nodes).find(|node| *node != leader).expect("one");
    let acknowledged = order(&mut world, ordering_node, true, 0);
    world.run_for(seed % 4);
    world.crash(leader);
    wait_for_acknowledgement(&mut world, &acknowledged, seed);
    world.start(leader);
    world.run_for(PROPAGATION_TIMEOUT_MS);
    let live = (0..SIZE.nodes).filter(|node| *node != leader);
    assert_evacuated_everywhere(&world, live, true, seed);
}

/// An isolated node keeps its last state and applies missed orders once it is reconnected.
#[rstest]
fn an_isolated_node_applies_the_order_after_reconnection(#[values(1, 2, 3, 4)] seed: u64) {
    let mut world = World::new(seed, SIZE);
    world.run_for(4_000);
    let names: Vec<NodeName> = world.nodes.iter().map(|slot| slot.name.clone()).collect();
    let isolated = SIZE.nodes - 1;
    for other in names.iter().filter(|name| **name != names[isolated]) {
        let mut network = world.network.borrow_mut();
        let links = &mut network.faults.blocked_links;
        links.insert((names[isolated].clone(), other.clone()));
        links.insert((other.clone(), names[isolated].clone()));
    }
    let acknowledged = order(&mut world, 3, true, 0);
    wait_for_acknowledgement(&mut world, &acknowledged, seed);
    world.run_for(PROPAGATION_TIMEOUT_MS);
    assert_eq!(is_evacuated(&world, isolated), Some(false), "seed {seed}");
    world.network.borrow_mut().faults.blocked_links.clear();
    world.run_for(2 * PROPAGATION_TIMEOUT_MS);
    assert_evacuated_everywhere(&world, 0..SIZE.nodes, true, seed);
}

/// A restarted process must not load a state that precedes the acknowledged order.
#[rstest]
fn an_acknowledged_order_survives_a_full_restart(#[values(1, 2, 3, 4)] seed: u64) {
    let mut world = World::new(seed, SIZE);
    world.run_for(4_000);
    let acknowledged = order(&mut world, 4, true, 0);
    wait_for_acknowledgement(&mut world, &acknowledged, seed);
    for node in 0..SIZE.nodes {
        world.crash(node);
    }
    for node in 0..SIZE.nodes {
        world.start(node);
    }
    for _ in 0..100 {
        world.run_for(50);
        for node in 0..SIZE.nodes {
            let seen = is_evacuated(&world, node);
            assert_ne!(seen, Some(false), "node {node}, seed {seed}");
        }
    }
    assert_evacuated_everywhere(&world, 0..SIZE.nodes, true, seed);
}

/// Operator request that stores its answer.
struct RecordedCaller {
    is_waiting: bool,
    answer: Rc<RefCell<Option<Result<u64, ResultCode>>>>,
}

impl EvacuationCaller for RecordedCaller {
    fn is_waiting(&self) -> bool {
        self.is_waiting
    }

    fn answer(self: Box<Self>, result: Result<u64, ResultCode>) {
        *self.answer.borrow_mut() = Some(result);
    }
}

/// Sends an order to the evacuation actor of a node, as its operator API does, and returns the
/// answer.
fn order_at_node(
    world: &mut World,
    position: usize,
    zone: &str,
    evacuated: bool,
    is_waiting: bool,
) -> Option<Result<u64, ResultCode>> {
    let answer = Rc::new(RefCell::new(None));
    let recorded = answer.clone();
    let node = world.nodes[position].process.as_mut().expect("runs");
    let regions = [("z".to_owned(), "r".to_owned())];
    let topology = Topology::new("z", regions.into(), RoundTrips::default());
    let setup = EvacuationSetup {
        topology: Arc::new(topology.expect("a valid topology")),
        state: node.state.clone(),
        proposer: (*node.actors.control_proposer).clone(),
        log: DecisionLog::disabled(),
    };
    let stakker = &mut node.stakker;
    let actor = actor!(stakker, EvacuationActor::init(setup), ret_nop!());
    let order = EvacuationRequest {
        zone: zone.to_owned(),
        evacuated,
    };
    let caller = Box::new(RecordedCaller {
        is_waiting,
        answer: recorded,
    });
    call!([actor], submit(order, caller));
    world.wake(position);
    world.run_for(2_000);
    let answered = *answer.borrow();
    answered
}

/// A cluster with an evacuated zone, and a node whose outdated state does not contain it.
fn cluster_with_an_outdated_node(seed: u64) -> (World, usize) {
    let mut world = World::new(seed, SIZE);
    world.run_for(4_000);
    let acknowledged = order(&mut world, 3, true, 0);
    wait_for_acknowledgement(&mut world, &acknowledged, seed);
    world.run_for(PROPAGATION_TIMEOUT_MS);
    let position = SIZE.nodes - 1;
    let node = world.nodes[position].process.as_ref().expect("runs");
    node.state.borrow_mut().evacuations = None;
    (world, position)
}

#[test]
fn an_order_from_an_outdated_node_is_proposed_again_while_its_operator_waits() {
    let (mut world, position) = cluster_with_an_outdated_node(5);
    let answer = order_at_node(&mut world, position, "z", false, true);
    assert_eq!(answer, Some(Ok(2)));
    world.run_for(PROPAGATION_TIMEOUT_MS);
    assert_evacuated_everywhere(&world, 0..SIZE.nodes, false, 5);
}

/// An operator that disconnected may have retried at another node, whose order must not be
/// overwritten.
#[test]
fn an_order_of_a_disconnected_operator_is_not_proposed_again() {
    let (mut world, position) = cluster_with_an_outdated_node(5);
    let answer = order_at_node(&mut world, position, "z", false, false);
    assert_eq!(answer, Some(Err(ResultCode::NoLeader)));
    world.run_for(PROPAGATION_TIMEOUT_MS);
    assert_evacuated_everywhere(&world, 0..SIZE.nodes, true, 5);
}

#[rstest]
#[case::unknown("hall", ResultCode::UnknownZone)]
#[case::malformed("a zone", ResultCode::InvalidName)]
fn an_invalid_zone_is_rejected_without_a_proposal(#[case] zone: &str, #[case] code: ResultCode) {
    let mut world = World::new(5, SIZE);
    world.run_for(4_000);
    let answer = order_at_node(&mut world, 4, zone, true, true);
    assert_eq!(answer, Some(Err(code)));
}
