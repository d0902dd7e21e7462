//! A node keeps in step when its relay is cut off from the other voters but not
//! from the node.

use rstest::rstest;
use silversail_control::{ChangeRequest, ControlCommand};
use silversail_model::{ConfigurationDocument, NodeName};
use silversail_peer::GroupId;
use silversail_simulation::world::{Knowledge, World, WorldSize};
use stakker::{call, ret_nop};
use std::time::Duration;

const SIZE: WorldSize = WorldSize {
    nodes: 6,
    voters: 3,
    zones: 3,
    is_hollow: true,
    knowledge: Knowledge::Settings,
};

fn change(world: &mut World, position: usize) {
    let request = ChangeRequest {
        change_id: "c1".into(),
        base_revision: 0,
        operator: String::new(),
        document: ConfigurationDocument::default(),
    };
    let command = ControlCommand::Change(request).encode();
    let node = world.places[position].node.as_ref().expect("runs");
    call!(
        [node.actors.control_proposer],
        propose(command, Duration::from_secs(3), ret_nop!())
    );
    world.wake(position);
}

/// Cuts `behind` off from the other voters, then changes the configuration. The
/// nodes that do not vote all reach every voter.
fn change_behind_a_cut(seed: u64, behind: usize) {
    let mut world = World::new(seed, SIZE);
    world.run_for(4_000);
    let leader = world.leader(GroupId::Control).expect("a leader");
    if leader == behind {
        return;
    }
    // Started now, each node takes the relay of its zone; at the first start all
    // end up with the leader, which is the first to be confirmed.
    for node in SIZE.voters..SIZE.nodes {
        world.crash(node);
        world.start(node);
    }
    // Long enough that no former relay pushes to them any more.
    world.run_for(7_000);
    let names: Vec<NodeName> = world.places.iter().map(|one| one.name.clone()).collect();
    for other in (0..SIZE.voters).filter(|other| *other != behind) {
        let mut network = world.network.borrow_mut();
        let links = &mut network.faults.cut_links;
        links.insert((names[behind].clone(), names[other].clone()));
        links.insert((names[other].clone(), names[behind].clone()));
    }
    // The relay still answers from what it applied before the cut.
    world.run_for(500);
    change(&mut world, leader);
    world.run_for(2_000);
    for node in SIZE.voters..SIZE.nodes {
        assert_eq!(world.revision(node), Some(1), "node {node}, seed {seed}");
    }
}

#[rstest]
fn nodes_leave_a_relay_that_is_cut_off_from_the_other_voters(
    #[values(1, 2, 3, 4, 5)] seed: u64,
    #[values(0, 1, 2)] behind: usize,
) {
    change_behind_a_cut(seed, behind);
}
