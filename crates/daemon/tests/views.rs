//! How a node applies the views of successive leaders.

use silversail_control::{ClusterView, NodeStatus, ViewVersion};
use silversail_daemon::gateway::owners::batch_owner;
use silversail_daemon::session::NodeState;
use silversail_model::Shard;

fn view(term: u64, sequence: u64, nodes: &[(&str, bool)]) -> ClusterView {
    let status = |(name, usable): &(&str, bool)| NodeStatus {
        node: (*name).into(),
        incarnation: 1,
        zone: "z".into(),
        caller_address: "127.0.0.1:1".into(),
        processor_percent: 100,
        usable: *usable,
    };
    ClusterView {
        version: ViewVersion { term, sequence },
        nodes: nodes.iter().map(status).collect(),
        machines: Vec::new(),
        batch_owners: Default::default(),
    }
}

fn usable_nodes(state: &NodeState) -> Vec<&str> {
    let mut names: Vec<&str> = state
        .view
        .usable_nodes()
        .map(|status| status.node.as_str())
        .collect();
    names.sort_unstable();
    names
}

const ALL: [(&str, bool); 3] = [("n1", true), ("n2", true), ("n3", true)];

#[test]
fn a_new_leader_without_state_removes_no_node_at_once() {
    let mut state = NodeState::default();
    assert!(state.apply_view(view(2, 9, &ALL), 1_000));
    let owner = |state: &NodeState| {
        batch_owner(
            &state.view,
            &Shard::whole_service("s"),
            &"own".into(),
            |_| false,
        )
    };
    let before = owner(&state);
    assert!(state.apply_view(view(3, 1, &[]), 5_000));
    assert_eq!(usable_nodes(&state), ["n1", "n2", "n3"]);
    assert_eq!(owner(&state), before);
    // The new leader's status of a node takes precedence.
    assert!(state.apply_view(view(3, 2, &[("n2", false)]), 5_400));
    assert_eq!(usable_nodes(&state), ["n1", "n3"]);
    assert!(!state.expire_retained_nodes(7_000));
    assert!(state.expire_retained_nodes(7_500));
    assert!(usable_nodes(&state).is_empty());
    assert!(!state.expire_retained_nodes(7_600));
}

#[test]
fn a_node_that_the_same_leader_removes_is_removed_at_once() {
    let mut state = NodeState::default();
    assert!(state.apply_view(view(2, 9, &ALL), 1_000));
    assert!(state.apply_view(view(2, 10, &ALL[..2]), 2_000));
    assert_eq!(usable_nodes(&state), ["n1", "n2"]);
    assert!(!state.apply_view(view(2, 9, &ALL), 2_100));
    // This also holds for a node that a later leader knew and then removed.
    assert!(state.apply_view(view(3, 1, &ALL[..2]), 3_000));
    assert!(state.apply_view(view(3, 2, &ALL[..1]), 3_100));
    assert_eq!(usable_nodes(&state), ["n1"]);
}

#[test]
fn shard_owners_stay_until_a_new_leader_assigns_others() {
    let mut state = NodeState::default();
    let mut first = view(2, 9, &ALL);
    first
        .batch_owners
        .insert(Shard::whole_service("s"), "n3".into());
    assert!(state.apply_view(first, 1_000));
    assert!(state.apply_view(view(3, 1, &ALL[..1]), 5_000));
    let owner = |state: &NodeState| {
        batch_owner(
            &state.view,
            &Shard::whole_service("s"),
            &"own".into(),
            |_| false,
        )
    };
    assert_eq!(owner(&state), Some("n3".into()));
    let mut next = view(3, 2, &ALL);
    next.batch_owners
        .insert(Shard::whole_service("s"), "n1".into());
    assert!(state.apply_view(next, 6_000));
    assert_eq!(owner(&state), Some("n1".into()));
}
