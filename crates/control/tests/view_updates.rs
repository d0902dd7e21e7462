//! Incremental view updates reproduce the views of the leader.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use silversail_control::{
    ClusterView, MachineState, NodeStatus, ViewBaseMismatch, ViewHistory, ViewUpdate, ViewVersion,
};
use silversail_model::{NodeName, Shard};

fn status(number: usize, usable: bool) -> NodeStatus {
    NodeStatus {
        node: NodeName(format!("n{number:03}")),
        incarnation: 1,
        zone: "z".into(),
        caller_address: "127.0.0.1:1".into(),
        processor_percent: 100,
        usable,
    }
}

fn view(sequence: u64, nodes: &[(usize, bool)]) -> ClusterView {
    ClusterView {
        version: ViewVersion { term: 1, sequence },
        nodes: nodes
            .iter()
            .map(|(number, usable)| status(*number, *usable))
            .collect(),
        machines: Vec::new(),
        batch_owners: Default::default(),
    }
}

fn history(views: &[ClusterView]) -> ViewHistory {
    let mut history = ViewHistory::default();
    for pair in views.windows(2) {
        history.record_change(&pair[0], &pair[1]);
    }
    history
}

#[test]
fn an_update_contains_only_added_changed_and_removed_nodes() {
    let views = [
        view(1, &[(1, true), (2, true), (3, true)]),
        view(2, &[(1, true), (2, false), (3, true)]),
        view(3, &[(1, true), (2, false), (4, true)]),
    ];
    let update = history(&views).update_since(views[0].version, &views[2]);
    assert_eq!(update.nodes, [status(2, false), status(4, true)]);
    assert_eq!(update.removed, ["n003".into()]);
    assert_eq!(
        (update.machines.is_none(), update.batch_owners.is_none()),
        (true, true)
    );
    assert_eq!(update.apply_to(&views[0]), Ok(Some(views[2].clone())));
    // A node that already has the view is not changed.
    assert_eq!(update.apply_to(&views[2]), Ok(None));
}

/// A partitioned leader may create views that the next leader does not know. Applying the update
/// from an older view to them would keep the changes of the partitioned leader.
#[test]
fn an_update_is_not_applied_to_a_later_view_of_a_partitioned_leader() {
    let common = view(5, &[(1, true), (2, true)]);
    let partitioned = view(9, &[(1, true), (2, false)]);
    let mut next = view(2, &[(1, false), (2, true)]);
    next.version.term = 2;
    let update = history(&[common.clone(), next.clone()]).update_since(common.version, &next);
    assert_eq!(update.apply_to(&common), Ok(Some(next.clone())));
    let mismatch = ViewBaseMismatch {
        current: partitioned.version,
        base: common.version,
    };
    assert_eq!(update.apply_to(&partitioned), Err(mismatch));
}

#[test]
fn an_update_is_not_applied_to_a_view_older_than_its_base() {
    let views = [
        view(1, &[(1, true)]),
        view(2, &[(2, true)]),
        view(3, &[(2, false)]),
    ];
    let update = history(&views).update_since(views[1].version, &views[2]);
    let mismatch = ViewBaseMismatch {
        current: views[0].version,
        base: views[1].version,
    };
    assert_eq!(update.apply_to(&views[0]), Err(mismatch));
}

#[test]
fn a_node_with_an_unknown_version_gets_the_full_view() {
    let views = [view(7, &[(1, true)]), view(8, &[(2, true)])];
    let former = view(3, &[(9, true)]);
    let update = history(&views).update_since(former.version, &views[1]);
    assert_eq!(update, ViewUpdate::full(&views[1]));
    assert_eq!(update.apply_to(&former), Ok(Some(views[1].clone())));
}

/// Nodes may lose updates or receive them pending_updates or out of order.
#[test]
fn lost_and_delayed_updates_lead_only_to_views_that_the_leader_created() {
    for seed in 0..200 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut created = vec![view(1, &[])];
        let mut history = ViewHistory::default();
        let mut current = ClusterView::default();
        let mut pending_updates: Vec<ViewUpdate> = Vec::new();
        for sequence in 2..300 {
            let mut next = created[created.len() - 1].clone();
            next.version = match random.gen_bool(0.02) {
                true => ViewVersion {
                    term: next.version.term + 1,
                    sequence: 1,
                },
                false => ViewVersion {
                    sequence,
                    ..next.version
                },
            };
            let number = random.gen_range(0..30);
            next.nodes
                .retain(|existing| existing.node != status(number, true).node);
            if random.gen_bool(0.7) {
                next.nodes.push(status(number, random.gen()));
                next.nodes.sort_by(|left, right| left.node.cmp(&right.node));
            }
            if random.gen_bool(0.1) {
                let owner = NodeName(format!("n{number:03}"));
                next.batch_owners
                    .insert(Shard::in_zone("s", &number.to_string()), owner);
            }
            if random.gen_bool(0.05) {
                next.machines.push(MachineState {
                    address: format!("127.0.0.1:{sequence}"),
                    leaving: true,
                    list_version: sequence,
                });
            }
            history.record_change(&created[created.len() - 1], &next);
            created.push(next.clone());
            pending_updates.push(history.update_since(current.version, &next));
            if random.gen_bool(0.5) {
                let update =
                    pending_updates.swap_remove(random.gen_range(0..pending_updates.len()));
                if let Ok(Some(view)) = update.apply_to(&current) {
                    current = view;
                    let created_view = created.iter().find(|view| view.version == current.version);
                    assert_eq!(created_view, Some(&current), "seed {seed}");
                }
            }
        }
        let update = history.update_since(current.version, &created[created.len() - 1]);
        let last = update.apply_to(&current).expect("a base that is current");
        assert_eq!(
            last.as_ref().unwrap_or(&current),
            &created[created.len() - 1],
            "seed {seed}"
        );
    }
}

/// The size of an update must depend on the change, not on the number of nodes.
#[test]
fn a_change_of_one_node_is_sent_as_one_node() {
    let all: Vec<(usize, bool)> = (0..300).map(|number| (number, true)).collect();
    let mut after = all.clone();
    after[150].1 = false;
    let views = [view(1, &all), view(2, &after)];
    let update = history(&views).update_since(views[0].version, &views[1]);
    assert_eq!((update.nodes.len(), update.removed.len()), (1, 0));
}
