//! Guards against split or missing cluster formation through three contact addresses, and
//! against members that cannot be replaced after a disk or machine is lost.

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use silversail_peer::GroupId;
use silversail_simulation::world::{discovering_settings, NodeDiscovery, World, WorldSize};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Time within which all nodes start, in milliseconds.
const MAX_START_SPREAD_MS: u64 = 300;

fn size(nodes: usize, disks: usize, contacts: [usize; 3]) -> WorldSize {
    WorldSize {
        nodes,
        voters: disks,
        zones: 3,
        is_hollow: true,
        discovery: NodeDiscovery::Contacts(contacts),
    }
}

/// Restarts all nodes but those in `down`, in a random order.
fn start_in_random_order(world: &mut World, down: &[usize], random: &mut ChaCha8Rng) {
    let nodes = world.nodes.len();
    for position in 0..nodes {
        world.crash(position);
    }
    let mut order: Vec<usize> = (0..nodes)
        .filter(|position| !down.contains(position))
        .collect();
    order.shuffle(random);
    for position in order {
        world.run_for(random.gen_range(0..=MAX_START_SPREAD_MS / nodes as u64));
        world.start(position);
    }
}

/// Voters of the control group, as each member of a formed group reports them.
fn reported_voters(world: &World) -> Vec<BTreeSet<String>> {
    let nodes = world.nodes.iter().filter_map(|slot| slot.process.as_ref());
    nodes
        .filter_map(|node| {
            let status = node.actors.statuses.get(&GroupId::Control)?.borrow();
            let report = status.report.as_ref().filter(|_| status.formed)?;
            Some(report.voters.iter().cloned().collect())
        })
        .collect()
}

fn leader_count(world: &World) -> usize {
    let nodes = world.nodes.iter().filter_map(|slot| slot.process.as_ref());
    nodes
        .filter(|node| {
            let status = node.actors.statuses.get(&GroupId::Control);
            status.is_some_and(|status| status.borrow().is_leader)
        })
        .count()
}

fn assert_converged(world: &World, down: &[usize], seed: u64) {
    assert_eq!(leader_count(world), 1, "seed {seed}");
    for position in (0..world.nodes.len()).filter(|position| !down.contains(position)) {
        assert_eq!(
            world.revision(position),
            Some(0),
            "node {position}, seed {seed}"
        );
    }
}

/// Checks that `voters` members report the same number of voters.
fn assert_one_group(world: &World, voters: usize, seed: u64) {
    let groups = reported_voters(world);
    assert_eq!(groups.len(), voters, "seed {seed}");
    assert!(
        groups.iter().all(|reported| reported.len() == voters),
        "seed {seed}: {groups:?}"
    );
}

#[rstest]
#[case(3, 3)]
#[case(10, 4)]
#[case(9, 3)]
#[case(30, 5)]
#[case(90, 8)]
fn one_group_forms_whatever_the_start_order(#[case] nodes: usize, #[case] disks: usize) {
    let seeds = if nodes > 20 { 4 } else { 25 };
    for seed in 0..seeds {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut all: Vec<usize> = (0..nodes).collect();
        all.shuffle(&mut random);
        // A contact may be a node with or without a disk.
        let contacts = [all[0], all[1], all[2]];
        let mut world = World::new(seed, size(nodes, disks, contacts));
        start_in_random_order(&mut world, &[], &mut random);
        world.run_for(6_000);
        assert_converged(&world, &[], seed);
        assert_one_group(&world, disks, seed);
    }
}

#[rstest]
fn a_cluster_forms_while_one_contact_is_down(#[values(0, 5)] down: usize) {
    for seed in 0..10 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let contacts = [down, 1, 6];
        let mut world = World::new(seed, size(10, 4, contacts));
        start_in_random_order(&mut world, &[down], &mut random);
        world.run_for(6_000);
        assert_converged(&world, &[down], seed);
        // It starts later and joins the same cluster.
        world.start(down);
        world.run_for(4_000);
        assert_converged(&world, &[], seed);
    }
}

#[test]
fn no_group_forms_without_the_first_start_setting() {
    let contacts = [0, 1, 2];
    let size = size(6, 3, contacts);
    let mut world = World::new(1, size);
    for position in 0..6 {
        world.crash(position);
        world.wipe(position);
        let settings = discovering_settings(position, size, contacts, false);
        world.nodes[position].parts.settings = Arc::new(settings);
    }
    for position in 0..6 {
        world.start(position);
    }
    world.run_for(10_000);
    assert_eq!(reported_voters(&world).len(), 0);
}

#[test]
fn a_voter_with_a_wiped_disk_rejoins_the_same_group() {
    for seed in 0..10 {
        let contacts = [0, 1, 5];
        let mut world = World::new(seed, size(9, 3, contacts));
        world.run_for(5_000);
        let wiped = (seed % 3) as usize;
        world.crash(wiped);
        world.wipe(wiped);
        let settings = discovering_settings(wiped, size(9, 3, contacts), contacts, false);
        world.nodes[wiped].parts.settings = Arc::new(settings);
        world.run_for(700);
        world.start(wiped);
        world.run_for(4_000);
        assert_converged(&world, &[], seed);
        let groups = reported_voters(&world);
        assert!(
            groups.iter().all(|voters| voters.len() == 3),
            "seed {seed}: {groups:?}"
        );
    }
}

#[test]
fn a_new_node_replaces_a_failed_voter() {
    for seed in 0..10 {
        let contacts = [0, 1, 5];
        // Node 3 has a disk and starts only after node `removed` has failed.
        let all = size(9, 4, contacts);
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut world = World::new(seed, all);
        start_in_random_order(&mut world, &[3], &mut random);
        world.run_for(5_000);
        let removed = (seed % 3) as usize;
        world.crash(removed);
        world.run_for(1_000);
        let settings = discovering_settings(3, all, contacts, false);
        world.nodes[3].parts.settings = Arc::new(settings);
        world.start(3);
        world.run_for(6_000);
        assert_converged(&world, &[removed], seed);
        let expected: BTreeSet<String> = (0..4)
            .filter(|node| *node != removed)
            .map(|node| format!("n{node:03}"))
            .collect();
        let groups = reported_voters(&world);
        assert!(
            groups.iter().all(|voters| *voters == expected),
            "seed {seed}: {groups:?}"
        );
        // The repaired group survives the failure of another voter.
        let next = (removed + 1) % 3;
        world.crash(next);
        world.run_for(5_000);
        assert_eq!(leader_count(&world), 1, "seed {seed}");
    }
}

/// A first start that nobody completes: the node that was to form the group has started again, after
/// which it may form none.
#[rstest]
fn a_group_forms_though_its_first_voters_start_again_before_it_has(
    #[values(1, 2)] restarted: usize,
    #[values(100, 500, 900)] killed_after_ms: u64,
) {
    for seed in 0..seeds_or(20) {
        let contacts = [0, 1, 5];
        let size = size(9, 3, contacts);
        let mut world = World::new(seed, size);
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        start_in_random_order(&mut world, &[], &mut random);
        world.run_for(killed_after_ms);
        for position in 0..restarted {
            world.crash(position);
            let settings = discovering_settings(position, size, contacts, false);
            world.nodes[position].parts.settings = Arc::new(settings);
        }
        world.run_for(random.gen_range(100..=1_500));
        for position in 0..restarted {
            world.start(position);
        }
        world.run_for(10_000);
        assert_converged(&world, &[], seed);
        assert_one_group(&world, 3, seed);
    }
}

/// Two nodes that form a group each, as one takes the place of another that was only waiting.
#[test]
fn one_group_forms_though_a_voter_starts_late() {
    for seed in 0..seeds_or(40) {
        let contacts = [0, 1, 5];
        let mut world = World::new(seed, size(9, 3, contacts));
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let late = random.gen_range(0..3);
        start_in_random_order(&mut world, &[late], &mut random);
        world.run_for(random.gen_range(1_000..=8_000));
        world.start(late);
        world.run_for(8_000);
        assert_converged(&world, &[], seed);
        assert_one_group(&world, 3, seed);
    }
}

/// Number of seeds, which `FORMATION_SEEDS` may set.
fn seeds_or(default: u64) -> u64 {
    let set = std::env::var("FORMATION_SEEDS").ok();
    set.and_then(|seeds| seeds.parse().ok()).unwrap_or(default)
}
