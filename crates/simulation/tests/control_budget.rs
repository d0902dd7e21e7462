//! Guards against control traffic of a node that grows with the size of the cluster, by
//! counting messages and bytes under virtual time.

use silversail_simulation::hollow::ConfigurationSize;
use silversail_simulation::run_hollow;

const SIZE: ConfigurationSize = ConfigurationSize {
    tenants: 50,
    engines: 40,
    pipelines: 5,
    models: 5,
};
/// Limit of the control traffic of a node in a large cluster, in bytes per second.
const MAX_NODE_BYTES_PER_SECOND: f64 = 15_000.0;

#[test]
fn control_traffic_of_a_node_does_not_grow_with_the_cluster() {
    let small = run_hollow(16, SIZE);
    let large = run_hollow(48, SIZE);
    assert!(
        large.busiest_node.bytes < MAX_NODE_BYTES_PER_SECOND / 10.0,
        "{large:?}"
    );
    assert!(
        large.node.bytes < small.node.bytes * 1.1,
        "{small:?} {large:?}"
    );
    assert!(large.node.messages < small.node.messages * 1.1);
    // The leader's traffic grows linearly with the nodes, not with the pairs of nodes.
    assert!(
        large.leader.bytes < small.leader.bytes * 3.0,
        "{small:?} {large:?}"
    );
    for report in [small, large] {
        assert!(report.in_force_worst_ms < 5_000, "{report:?}");
        assert!(report.after_region_ms < 30_000, "{report:?}");
        assert!(report.after_full_restart_ms < 30_000, "{report:?}");
    }
}
