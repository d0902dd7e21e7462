//! Nodes that know three contact addresses form exactly one cluster, whatever the
//! order of their starts, and come back into it with empty disks, at new places
//! and for machines that are gone for good.

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use silversail_peer::GroupId;
use silversail_simulation::world::{discovering_settings, Knowledge, World, WorldSize};
use std::collections::BTreeSet;
use std::sync::Arc;

/// All start within this time, in milliseconds.
const STARTS_WITHIN: u64 = 300;

fn size(nodes: usize, disks: usize, contacts: [usize; 3]) -> WorldSize {
    WorldSize {
        nodes,
        voters: disks,
        zones: 3,
        is_hollow: true,
        knowledge: Knowledge::Contacts(contacts),
    }
}

/// Starts a world in a random order; some may stay down.
fn start_in_any_order(world: &mut World, down: &[usize], random: &mut ChaCha8Rng) {
    let nodes = world.places.len();
    for position in 0..nodes {
        world.crash(position);
    }
    let mut order: Vec<usize> = (0..nodes).filter(|one| !down.contains(one)).collect();
    order.shuffle(random);
    for position in order {
        world.run_for(random.gen_range(0..=STARTS_WITHIN / nodes as u64));
        world.start(position);
    }
}

/// Identities of the groups that were formed.
fn voters_seen(world: &World) -> Vec<BTreeSet<String>> {
    let nodes = world.places.iter().filter_map(|place| place.node.as_ref());
    nodes
        .filter_map(|node| {
            let status = node.actors.statuses.get(&GroupId::Control)?.borrow();
            let report = status.report.as_ref().filter(|_| status.formed)?;
            Some(report.voters.iter().cloned().collect())
        })
        .collect()
}

fn leaders(world: &World) -> usize {
    let nodes = world.places.iter().filter_map(|place| place.node.as_ref());
    nodes
        .filter(|node| {
            let status = node.actors.statuses.get(&GroupId::Control);
            status.is_some_and(|status| status.borrow().is_leader)
        })
        .count()
}

fn assert_in_step(world: &World, down: &[usize], seed: u64) {
    assert_eq!(leaders(world), 1, "seed {seed}");
    for position in (0..world.places.len()).filter(|one| !down.contains(one)) {
        assert_eq!(
            world.revision(position),
            Some(0),
            "node {position}, seed {seed}"
        );
    }
}

#[rstest]
#[case(3, 3)]
#[case(10, 4)]
#[case(9, 3)]
#[case(30, 5)]
#[case(90, 8)]
fn one_group_forms_in_any_order_of_starts(#[case] nodes: usize, #[case] disks: usize) {
    let seeds = if nodes > 20 { 4 } else { 25 };
    for seed in 0..seeds {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut all: Vec<usize> = (0..nodes).collect();
        all.shuffle(&mut random);
        // Contact addresses may be of nodes with or without a disk.
        let contacts = [all[0], all[1], all[2]];
        let mut world = World::new(seed, size(nodes, disks, contacts));
        start_in_any_order(&mut world, &[], &mut random);
        world.run_for(6_000);
        assert_in_step(&world, &[], seed);
        let groups = voters_seen(&world);
        assert_eq!(groups.len(), disks, "seed {seed}");
        assert!(
            groups.iter().all(|voters| voters.len() == disks),
            "seed {seed}: {groups:?}"
        );
    }
}

#[rstest]
fn one_contact_address_may_be_of_a_node_that_is_down(#[values(0, 5)] down: usize) {
    for seed in 0..10 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let contacts = [down, 1, 6];
        let mut world = World::new(seed, size(10, 4, contacts));
        start_in_any_order(&mut world, &[down], &mut random);
        world.run_for(6_000);
        assert_in_step(&world, &[down], seed);
        // It comes later, and into the same cluster.
        world.start(down);
        world.run_for(4_000);
        assert_in_step(&world, &[], seed);
    }
}

#[test]
fn without_the_flag_of_a_first_start_no_group_forms() {
    let contacts = [0, 1, 2];
    let size = size(6, 3, contacts);
    let mut world = World::new(1, size);
    for position in 0..6 {
        world.crash(position);
        world.wipe(position);
        let settings = discovering_settings(position, size, contacts, false);
        world.places[position].parts.settings = Arc::new(settings);
    }
    for position in 0..6 {
        world.start(position);
    }
    world.run_for(10_000);
    assert_eq!(voters_seen(&world).len(), 0);
}

#[test]
fn an_emptied_disk_comes_back_as_a_new_member_of_the_same_group() {
    for seed in 0..10 {
        let contacts = [0, 1, 5];
        let mut world = World::new(seed, size(9, 3, contacts));
        world.run_for(5_000);
        let wiped = (seed % 3) as usize;
        world.crash(wiped);
        world.wipe(wiped);
        let settings = discovering_settings(wiped, size(9, 3, contacts), contacts, false);
        world.places[wiped].parts.settings = Arc::new(settings);
        world.run_for(700);
        world.start(wiped);
        world.run_for(4_000);
        assert_in_step(&world, &[], seed);
        let groups = voters_seen(&world);
        assert!(
            groups.iter().all(|voters| voters.len() == 3),
            "seed {seed}: {groups:?}"
        );
    }
}

#[test]
fn a_machine_gone_for_good_gives_its_place_to_its_successor() {
    for seed in 0..10 {
        let contacts = [0, 1, 5];
        // Node 3 has a disk and starts when node `gone` is gone.
        let all = size(9, 4, contacts);
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut world = World::new(seed, all);
        start_in_any_order(&mut world, &[3], &mut random);
        world.run_for(5_000);
        let gone = (seed % 3) as usize;
        world.crash(gone);
        world.run_for(1_000);
        let settings = discovering_settings(3, all, contacts, false);
        world.places[3].parts.settings = Arc::new(settings);
        world.start(3);
        world.run_for(6_000);
        assert_in_step(&world, &[gone], seed);
        let expected: BTreeSet<String> = (0..4)
            .filter(|node| *node != gone)
            .map(|node| format!("n{node:03}"))
            .collect();
        let groups = voters_seen(&world);
        assert!(
            groups.iter().all(|voters| *voters == expected),
            "seed {seed}: {groups:?}"
        );
        // The repaired group bears the next loss.
        let next = (gone + 1) % 3;
        world.crash(next);
        world.run_for(5_000);
        assert_eq!(leaders(&world), 1, "seed {seed}");
    }
}
