//! An acknowledged evacuation holds on every node: through leaders that die, nodes that are
//! cut off and come back, and a restart of all.

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
use silversail_simulation::world::{Knowledge, World, WorldSize};
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
    knowledge: Knowledge::Contacts([0, 1, 5]),
};
/// Longest time from an order to its acknowledgement while a leader can be elected, in
/// milliseconds.
const ACKNOWLEDGED_WITHIN: u64 = 4_000;
/// Longest time from the acknowledgement until the order holds on every node that is not cut
/// off, in milliseconds: a push, or a heartbeat after a push that was lost.
const IN_FORCE_WITHIN: u64 = 1_500;

/// Orders the evacuation of zone `z` at a node; tells whether it was acknowledged.
fn order(world: &mut World, position: usize, evacuated: bool, seen: u64) -> Rc<Cell<bool>> {
    let zone = "z".to_owned();
    let order = EvacuationOrder {
        zone,
        evacuated,
        known_revision: seen,
    };
    let command = ControlCommand::Evacuate(order).encode();
    let acknowledged = Rc::new(Cell::new(false));
    let told = acknowledged.clone();
    let ret = ret_some_do!(move |outcome: ProposalOutcome| {
        told.set(matches!(outcome, ProposalOutcome::Applied(_)));
    });
    let node = world.places[position].node.as_ref().expect("runs");
    call!(
        [node.actors.control_proposer],
        propose(command, Duration::from_secs(6), ret)
    );
    world.wake(position);
    acknowledged
}

fn wait_for(world: &mut World, acknowledged: &Cell<bool>, seed: u64) {
    for _ in 0..ACKNOWLEDGED_WITHIN / 50 {
        if acknowledged.get() {
            return;
        }
        world.run_for(50);
    }
    panic!("no acknowledgement, seed {seed}");
}

/// Whether zone `z` is evacuated on a node; none before its first confirmed state.
fn is_evacuated(world: &World, position: usize) -> Option<bool> {
    let node = world.places[position].node.as_ref().expect("runs");
    let state = node.state.borrow();
    Some(state.evacuations.as_ref()?.contains("z"))
}

fn assert_everywhere(world: &World, nodes: impl Iterator<Item = usize>, expected: bool, seed: u64) {
    for node in nodes {
        let seen = is_evacuated(world, node);
        assert_eq!(seen, Some(expected), "node {node}, seed {seed}");
    }
}

#[rstest]
fn an_order_outlives_its_leader_and_holds_on_all_nodes(
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10)] seed: u64,
) {
    let mut world = World::new(seed, SIZE);
    world.run_for(4_000);
    let leader = world.leader(GroupId::Control).expect("a leader");
    let asked = (0..SIZE.nodes).find(|node| *node != leader).expect("one");
    let acknowledged = order(&mut world, asked, true, 0);
    world.run_for(seed % 4);
    world.crash(leader);
    wait_for(&mut world, &acknowledged, seed);
    world.start(leader);
    world.run_for(IN_FORCE_WITHIN);
    let live = (0..SIZE.nodes).filter(|node| *node != leader);
    assert_everywhere(&world, live, true, seed);
}

/// A node that is cut off goes on with what it holds; back in touch it takes what was ordered
/// meanwhile.
#[rstest]
fn a_node_that_was_cut_off_takes_the_order_when_it_is_back(#[values(1, 2, 3, 4)] seed: u64) {
    let mut world = World::new(seed, SIZE);
    world.run_for(4_000);
    let names: Vec<NodeName> = world.places.iter().map(|one| one.name.clone()).collect();
    let lost = SIZE.nodes - 1;
    for other in names.iter().filter(|name| **name != names[lost]) {
        let mut network = world.network.borrow_mut();
        let links = &mut network.faults.cut_links;
        links.insert((names[lost].clone(), other.clone()));
        links.insert((other.clone(), names[lost].clone()));
    }
    let acknowledged = order(&mut world, 3, true, 0);
    wait_for(&mut world, &acknowledged, seed);
    world.run_for(IN_FORCE_WITHIN);
    assert_eq!(is_evacuated(&world, lost), Some(false), "seed {seed}");
    world.network.borrow_mut().faults.cut_links.clear();
    world.run_for(2 * IN_FORCE_WITHIN);
    assert_everywhere(&world, 0..SIZE.nodes, true, seed);
}

/// No process that starts again takes a state from before the acknowledged order.
#[rstest]
fn an_acknowledged_order_outlives_the_restart_of_all(#[values(1, 2, 3, 4)] seed: u64) {
    let mut world = World::new(seed, SIZE);
    world.run_for(4_000);
    let acknowledged = order(&mut world, 4, true, 0);
    wait_for(&mut world, &acknowledged, seed);
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
    assert_everywhere(&world, 0..SIZE.nodes, true, seed);
}

/// An operator's call at a node.
struct Call {
    is_waiting: bool,
    answer: Rc<RefCell<Option<Result<u64, ResultCode>>>>,
}

impl EvacuationCaller for Call {
    fn is_waiting(&self) -> bool {
        self.is_waiting
    }

    fn answer(self: Box<Self>, result: Result<u64, ResultCode>) {
        *self.answer.borrow_mut() = Some(result);
    }
}

/// Sends an order to a node's actor, as its surfaces do, and runs until it is answered.
fn call_node(
    world: &mut World,
    position: usize,
    zone: &str,
    evacuated: bool,
    is_waiting: bool,
) -> Option<Result<u64, ResultCode>> {
    let answer = Rc::new(RefCell::new(None));
    let told = answer.clone();
    let node = world.places[position].node.as_mut().expect("runs");
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
    let caller = Box::new(Call {
        is_waiting,
        answer: told,
    });
    call!([actor], submit(order, caller));
    world.wake(position);
    world.run_for(2_000);
    let answered = *answer.borrow();
    answered
}

/// A node that knows an old state: what it proposes first is outdated.
fn with_a_node_that_knows_nothing(seed: u64) -> (World, usize) {
    let mut world = World::new(seed, SIZE);
    world.run_for(4_000);
    let acknowledged = order(&mut world, 3, true, 0);
    wait_for(&mut world, &acknowledged, seed);
    world.run_for(IN_FORCE_WITHIN);
    let position = SIZE.nodes - 1;
    let node = world.places[position].node.as_ref().expect("runs");
    node.state.borrow_mut().evacuations = None;
    (world, position)
}

#[test]
fn an_order_at_a_node_with_an_old_state_is_proposed_again_while_its_operator_waits() {
    let (mut world, position) = with_a_node_that_knows_nothing(5);
    let answer = call_node(&mut world, position, "z", false, true);
    assert_eq!(answer, Some(Ok(2)));
    world.run_for(IN_FORCE_WITHIN);
    assert_everywhere(&world, 0..SIZE.nodes, false, 5);
}

/// The operator gave up here and went on elsewhere: the copy must not be the last word.
#[test]
fn an_order_whose_operator_left_is_not_proposed_again() {
    let (mut world, position) = with_a_node_that_knows_nothing(5);
    let answer = call_node(&mut world, position, "z", false, false);
    assert_eq!(answer, Some(Err(ResultCode::NoLeader)));
    world.run_for(IN_FORCE_WITHIN);
    assert_everywhere(&world, 0..SIZE.nodes, true, 5);
}

#[rstest]
#[case::unknown("hall", ResultCode::UnknownZone)]
#[case::malformed("a zone", ResultCode::InvalidName)]
fn a_bad_zone_is_refused_before_anything_is_proposed(#[case] zone: &str, #[case] code: ResultCode) {
    let mut world = World::new(5, SIZE);
    world.run_for(4_000);
    let answer = call_node(&mut world, 4, zone, true, true);
    assert_eq!(answer, Some(Err(code)));
}
