//! Guards against stale nodes whose relay still answers them but has lost its connection to
//! the other voters.

use rstest::rstest;
use silversail_control::{ChangeRequest, ControlCommand};
use silversail_model::{ConfigurationDocument, NodeName};
use silversail_peer::GroupId;
use silversail_simulation::world::{NodeDiscovery, World, WorldSize};
use stakker::{call, ret_nop};
use std::time::Duration;

const SIZE: WorldSize = WorldSize {
    nodes: 6,
    voters: 3,
    zones: 3,
    is_hollow: true,
    discovery: NodeDiscovery::StaticSettings,
};

fn propose_change(world: &mut World, position: usize) {
    let request = ChangeRequest {
        change_id: "c1".into(),
        base_revision: 0,
        operator: String::new(),
        document: ConfigurationDocument::default(),
    };
    let command = ControlCommand::Change(request).encode();
    let node = world.nodes[position].process.as_ref().expect("runs");
    call!(
        [node.actors.control_proposer],
        propose(command, Duration::from_secs(3), ret_nop!())
    );
    world.wake(position);
}

/// Disconnects the relay `disconnected` from the other voters and changes the configuration.
/// The nodes that do not vote keep their connections to every voter.
fn check_disconnected_relay(seed: u64, disconnected: usize) {
    let mut world = World::new(seed, SIZE);
    world.run_for(4_000);
    let leader = world.leader(GroupId::Control).expect("a leader");
    if leader == disconnected {
        return;
    }
    // After a restart each node uses the relay of its zone; at the first start all use the
    // leader, which is confirmed first.
    for node in SIZE.voters..SIZE.nodes {
        world.crash(node);
        world.start(node);
    }
    // Former relays have stopped their pushes after this time.
    world.run_for(7_000);
    let names: Vec<NodeName> = world.nodes.iter().map(|slot| slot.name.clone()).collect();
    for other in (0..SIZE.voters).filter(|other| *other != disconnected) {
        let mut network = world.network.borrow_mut();
        let links = &mut network.faults.blocked_links;
        links.insert((names[disconnected].clone(), names[other].clone()));
        links.insert((names[other].clone(), names[disconnected].clone()));
    }
    // The relay still answers with the state from before the disconnection.
    world.run_for(500);
    propose_change(&mut world, leader);
    world.run_for(2_000);
    for node in SIZE.voters..SIZE.nodes {
        assert_eq!(world.revision(node), Some(1), "node {node}, seed {seed}");
    }
}

#[rstest]
fn nodes_leave_a_relay_that_is_disconnected_from_the_other_voters(
    #[values(1, 2, 3, 4, 5)] seed: u64,
    #[values(0, 1, 2)] disconnected: usize,
) {
    check_disconnected_relay(seed, disconnected);
}
