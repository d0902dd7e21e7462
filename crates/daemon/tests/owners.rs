//! Owners of shards, and ejection of owners that do not respond.

use rstest::rstest;
use silversail_control::batch_owners::{assign, rendezvous_owner, OwnerCandidate};
use silversail_control::{ClusterView, NodeStatus, ViewVersion};
use silversail_daemon::gateway::owners::{batch_owner, batch_owners, OwnerAction, OwnerMonitor};
use silversail_model::topology::Topology;
use silversail_model::{NodeName, Shard};
use std::collections::BTreeMap;

fn view(nodes: usize) -> ClusterView {
    let status = |number| NodeStatus {
        node: NodeName(format!("n{number}")),
        incarnation: 1,
        zone: "z".into(),
        caller_address: "127.0.0.1:1".into(),
        processor_percent: 100,
        usable: true,
    };
    ClusterView {
        version: ViewVersion::default(),
        nodes: (0..nodes).map(status).collect(),
        machines: Vec::new(),
        batch_owners: Default::default(),
    }
}

/// A view in which the leader has assigned `services`.
fn view_with_owners(nodes: usize, services: &[String]) -> ClusterView {
    let mut view = view(nodes);
    let candidates: Vec<OwnerCandidate> = view.nodes.iter().map(candidate).collect();
    assign(
        &mut view.batch_owners,
        services,
        &BTreeMap::new(),
        &candidates,
        &Topology::default(),
    );
    view
}

fn candidate(status: &NodeStatus) -> OwnerCandidate<'_> {
    OwnerCandidate {
        node: &status.node,
        zone: &status.zone,
        replicates: false,
        leads: false,
        processor_percent: 100,
        usable: status.usable,
    }
}

fn owner(view: &ClusterView, service: &str) -> NodeName {
    batch_owner(view, &Shard::whole_service(service), &"own".into(), |_| {
        false
    })
    .expect("the view has usable nodes")
}

#[test]
fn owners_are_balanced_and_only_shards_of_a_removed_node_move() {
    let services: Vec<String> = (0..200).map(|number| format!("s{number}")).collect();
    let before = view_with_owners(10, &services);
    let mut after = before.clone();
    after.nodes.remove(3);
    let mut counts: BTreeMap<NodeName, usize> = BTreeMap::new();
    for service in &services {
        let owner_before = owner(&before, service);
        let owner_after = owner(&after, service);
        assert!(owner_before == owner_after || owner_before == "n3".into());
        *counts.entry(owner_before).or_default() += 1;
    }
    assert_eq!(counts.len(), 10);
    assert!(counts.values().all(|count| *count < 50), "{counts:?}");
}

#[test]
fn a_node_owns_the_shard_itself_if_all_owners_are_ejected_but_not_without_a_view() {
    let services = ["s".to_owned()];
    let owner = batch_owner(
        &view_with_owners(2, &services),
        &Shard::whole_service("s"),
        &"own".into(),
        |_| true,
    );
    assert_eq!(owner, Some("own".into()));
    let mut empty = view_with_owners(2, &services);
    empty.nodes.clear();
    assert_eq!(
        batch_owner(&empty, &Shard::whole_service("s"), &"own".into(), |_| false),
        None
    );
}

/// Views of a new leader name few nodes at first: an owner chosen from them would differ from
/// node to node.
#[test]
fn a_service_without_an_assignment_has_no_owner() {
    assert_eq!(
        batch_owner(&view(4), &Shard::whole_service("s"), &"own".into(), |_| {
            false
        }),
        None
    );
}

#[test]
fn a_silent_owner_is_probed_first_and_then_ejected_temporarily() {
    let (mut monitor, node) = (OwnerMonitor::default(), NodeName::from("n1"));
    assert_eq!(monitor.check(&node, 1_000, 1_400), OwnerAction::Wait);
    assert_eq!(monitor.check(&node, 1_000, 1_460), OwnerAction::Probe);
    assert_eq!(monitor.check(&node, 1_000, 1_500), OwnerAction::Wait);
    assert_eq!(monitor.check(&node, 1_000, 1_900), OwnerAction::Eject);
    assert!(monitor.is_ejected(&node, 2_000));
    assert!(!monitor.expire(2_000));
    assert!(monitor.expire(4_400));
    assert!(!monitor.is_ejected(&node, 4_400));
}

#[rstest]
#[case(1_470)]
#[case(1_899)]
fn a_message_prevents_the_ejection_of_a_slow_owner(#[case] answered_at: u64) {
    let (mut monitor, node) = (OwnerMonitor::default(), NodeName::from("n1"));
    assert_eq!(monitor.check(&node, 1_000, 1_460), OwnerAction::Probe);
    monitor.record_message(&node, answered_at);
    assert_eq!(monitor.check(&node, 1_000, 1_900), OwnerAction::Wait);
    // It is probed again before it is ejected.
    assert_eq!(monitor.check(&node, 1_000, 2_400), OwnerAction::Probe);
}

#[test]
fn the_assigned_owner_is_used_while_it_is_usable() {
    let mut view = view(4);
    let names = view.nodes.iter().map(|status| &status.node);
    let by_hash = rendezvous_owner(names, &Shard::whole_service("s"))
        .expect("nodes")
        .clone();
    let assigned: NodeName = if by_hash == "n0".into() { "n1" } else { "n0" }.into();
    view.batch_owners
        .insert(Shard::whole_service("s"), assigned.clone());
    assert_eq!(owner(&view, "s"), assigned);
    let replacement = batch_owner(&view, &Shard::whole_service("s"), &"own".into(), |node| {
        *node == assigned
    });
    assert_eq!(replacement, Some(by_hash.clone()));
    view.nodes.retain(|status| status.node != assigned);
    assert_eq!(owner(&view, "s"), by_hash);
}

#[test]
fn a_zone_shard_has_no_replacement_owner() {
    let mut view = view(4);
    let shard = Shard::in_zone("s", "z");
    view.batch_owners.insert(shard.clone(), "n2".into());
    let owner =
        |excluded: &str| batch_owner(&view, &shard, &"own".into(), |node| node.0 == excluded);
    assert_eq!(owner(""), Some("n2".into()));
    assert_eq!(owner("n2"), None);
}

#[test]
fn a_zone_shard_keeps_an_owner_whose_configuration_is_not_confirmed() {
    let mut view = view(4);
    let shard = Shard::in_zone("s", "z");
    view.batch_owners.insert(shard.clone(), "n2".into());
    // After a while without a leader no node is usable.
    for status in &mut view.nodes {
        status.usable = false;
    }
    let owner = |view: &ClusterView| batch_owner(view, &shard, &"own".into(), |_| false);
    assert_eq!(owner(&view), Some("n2".into()));
    view.nodes.remove(2);
    assert_eq!(owner(&view), None);
}

#[test]
fn the_ejection_time_doubles_until_the_owner_sends_a_message() {
    let (mut monitor, node) = (OwnerMonitor::default(), NodeName::from("n1"));
    let ejection_time_after = |monitor: &mut OwnerMonitor, since: u64| {
        assert_eq!(monitor.check(&node, since, since + 460), OwnerAction::Probe);
        assert_eq!(monitor.check(&node, since, since + 900), OwnerAction::Eject);
        let ejected = (0..20_000).filter(|span| monitor.is_ejected(&node, since + 900 + span));
        ejected.count()
    };
    let durations =
        [10_000, 30_000, 60_000, 90_000].map(|since| ejection_time_after(&mut monitor, since));
    assert_eq!(durations, [2_500, 5_000, 10_000, 10_000]);
    monitor.record_message(&"n1".into(), 120_000);
    assert_eq!(ejection_time_after(&mut monitor, 130_000), 2_500);
}

#[test]
fn silent_owners_are_kept_if_a_service_has_no_other() {
    let mut view = view(4);
    let shards = ["a", "b"].map(|zone| Shard::in_zone("s", zone));
    let assigned = [("n1", &shards[0]), ("n2", &shards[1])];
    for (node, shard) in assigned {
        view.batch_owners.insert(shard.clone(), node.into());
    }
    let owners = |excluded: &[&str]| {
        let owners = batch_owners(&view, &"own".into(), |node| {
            excluded.contains(&node.as_str())
        });
        owners.into_keys().collect::<Vec<Shard>>()
    };
    assert_eq!(owners(&[]), shards);
    assert_eq!(owners(&["n1"]), shards[1..]);
    assert_eq!(owners(&["n1", "n2"]), shards);
}
