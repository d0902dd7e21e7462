//! Guards against the loss of acknowledged orders under random faults.
//! `silversail simulate --orders --seeds N` runs more seeds.

use rstest::rstest;
use silversail_rollout::RolloutOrder;
use silversail_simulation::orders::OrderLog;
use silversail_simulation::run_seed_with_orders;
use silversail_simulation::world::{NodeDiscovery, World, WorldSize};

/// Number of seeds in each test case; they cover all severities with three and five voters.
const SEEDS_PER_CASE: u64 = 8;

#[rstest]
#[case(0)]
#[case(1)]
#[case(2)]
fn acknowledged_orders_survive_faults(#[case] case: u64) {
    let mut acknowledged = 0;
    for seed in case * SEEDS_PER_CASE..(case + 1) * SEEDS_PER_CASE {
        let report = run_seed_with_orders(seed);
        assert!(
            report.failures.is_empty(),
            "repeat with: silversail simulate --orders --first-seed {seed} --seeds 1\n{report:#?}"
        );
        acknowledged += report.orders;
    }
    // The checks are only meaningful if enough orders succeed.
    assert!(acknowledged > 60, "{acknowledged} orders acknowledged");
}

fn order(target_version: &str) -> RolloutOrder {
    RolloutOrder {
        service: "service-0".to_owned(),
        target_version: target_version.to_owned(),
        duration_ms: 10_000,
    }
}

#[test]
fn the_check_finds_lost_orders_and_reused_numbers() {
    let size = WorldSize {
        nodes: 3,
        voters: 3,
        zones: 3,
        is_hollow: true,
        discovery: NodeDiscovery::StaticSettings,
    };
    let mut world = World::new(1, size);
    world.run_for(2_000);
    let mut orders = OrderLog::new(1);
    assert_eq!(orders.check(&world), Vec::<String>::new());
    orders.record_rollout(1, order("v1"));
    let lost_on_all = orders.check(&world);
    assert_eq!(lost_on_all.len(), size.nodes, "{lost_on_all:?}");
    orders.record_rollout(1, order("v2"));
    let failures = orders.check(&world);
    assert!(failures[0].contains("then"), "{failures:?}");
}
