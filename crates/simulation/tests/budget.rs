//! The control budget of a node: counts of messages and bytes under virtual
//! time, so that a change that breaks the slope is seen.

use silversail_simulation::hollow::ConfigurationSize;
use silversail_simulation::run_hollow;

const SIZE: ConfigurationSize = ConfigurationSize {
    tenants: 50,
    engines: 40,
    pipelines: 5,
    models: 5,
};
/// Bytes a second that control may cost a node at the size to design for.
const NODE_BYTES: f64 = 15_000.0;

#[test]
fn control_costs_a_node_the_same_at_any_size() {
    let small = run_hollow(16, SIZE);
    let large = run_hollow(48, SIZE);
    assert!(large.busiest_node.bytes < NODE_BYTES / 10.0, "{large:?}");
    assert!(
        large.node.bytes < small.node.bytes * 1.1,
        "{small:?} {large:?}"
    );
    assert!(large.node.messages < small.node.messages * 1.1);
    // The leader's part grows by what a node adds, not by the number of pairs.
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
