//! Which node batches a service, and what happens when it gives no sign.

use rstest::rstest;
use silversail_control::batch_owners::{assign, rendezvous_owner, OwnerCandidate};
use silversail_control::{ClusterView, NodeStatus, ViewVersion};
use silversail_daemon::gateway::owners::{batch_owner, batch_owners, OwnerStep, OwnerWatch};
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
fn assigned(nodes: usize, services: &[String]) -> ClusterView {
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
    .expect("the view names nodes")
}

#[test]
fn owners_are_spread_and_only_those_of_a_node_that_left_move() {
    let services: Vec<String> = (0..200).map(|number| format!("s{number}")).collect();
    let before = assigned(10, &services);
    let mut after = before.clone();
    after.nodes.remove(3);
    let mut counts: BTreeMap<NodeName, usize> = BTreeMap::new();
    for service in &services {
        let known = owner(&before, service);
        let moved = owner(&after, service);
        assert!(known == moved || known == "n3".into());
        *counts.entry(known).or_default() += 1;
    }
    assert_eq!(counts.len(), 10);
    assert!(counts.values().all(|count| *count < 50), "{counts:?}");
}

#[test]
fn where_all_are_passed_over_a_node_batches_for_itself_and_without_a_view_none_does() {
    let services = ["s".to_owned()];
    let passed_over = batch_owner(
        &assigned(2, &services),
        &Shard::whole_service("s"),
        &"own".into(),
        |_| true,
    );
    assert_eq!(passed_over, Some("own".into()));
    let mut empty = assigned(2, &services);
    empty.nodes.clear();
    assert_eq!(
        batch_owner(&empty, &Shard::whole_service("s"), &"own".into(), |_| false),
        None
    );
}

/// Views of a new leader name few nodes at first: taking the first of them would give
/// each node another owner.
#[test]
fn before_the_leader_has_assigned_a_service_nobody_batches_it() {
    assert_eq!(
        batch_owner(&view(4), &Shard::whole_service("s"), &"own".into(), |_| {
            false
        }),
        None
    );
}

#[test]
fn a_silent_owner_is_asked_first_and_then_passed_over_for_a_while() {
    let (mut watch, node) = (OwnerWatch::default(), NodeName::from("n1"));
    assert_eq!(watch.look(&node, 1_000, 1_400), OwnerStep::Wait);
    assert_eq!(watch.look(&node, 1_000, 1_460), OwnerStep::Ask);
    assert_eq!(watch.look(&node, 1_000, 1_500), OwnerStep::Wait);
    assert_eq!(watch.look(&node, 1_000, 1_900), OwnerStep::PassOver);
    assert!(watch.is_passed_over(&node, 2_000));
    assert!(!watch.expire(2_000));
    assert!(watch.expire(4_400));
    assert!(!watch.is_passed_over(&node, 4_400));
}

#[rstest]
#[case(1_470)]
#[case(1_899)]
fn a_sign_clears_an_owner_that_only_takes_long(#[case] answered_at: u64) {
    let (mut watch, node) = (OwnerWatch::default(), NodeName::from("n1"));
    assert_eq!(watch.look(&node, 1_000, 1_460), OwnerStep::Ask);
    watch.heard(&node, answered_at);
    assert_eq!(watch.look(&node, 1_000, 1_900), OwnerStep::Wait);
    // It is asked again before it is passed over.
    assert_eq!(watch.look(&node, 1_000, 2_400), OwnerStep::Ask);
}

#[test]
fn the_owner_that_the_leader_named_is_taken_while_it_may_be_used() {
    let mut view = view(4);
    let names = view.nodes.iter().map(|status| &status.node);
    let by_hash = rendezvous_owner(names, &Shard::whole_service("s"))
        .expect("nodes")
        .clone();
    let named: NodeName = if by_hash == "n0".into() { "n1" } else { "n0" }.into();
    view.batch_owners
        .insert(Shard::whole_service("s"), named.clone());
    assert_eq!(owner(&view, "s"), named);
    let others = batch_owner(&view, &Shard::whole_service("s"), &"own".into(), |node| {
        *node == named
    });
    assert_eq!(others, Some(by_hash.clone()));
    view.nodes.retain(|status| status.node != named);
    assert_eq!(owner(&view, "s"), by_hash);
}

#[test]
fn a_zones_shard_has_no_substitute_for_its_owner() {
    let mut view = view(4);
    let shard = Shard::in_zone("s", "z");
    view.batch_owners.insert(shard.clone(), "n2".into());
    let owner =
        |excluded: &str| batch_owner(&view, &shard, &"own".into(), |node| node.0 == excluded);
    assert_eq!(owner(""), Some("n2".into()));
    assert_eq!(owner("n2"), None);
}

#[test]
fn a_zones_shard_stays_with_an_owner_whose_configuration_is_not_confirmed() {
    let mut view = view(4);
    let shard = Shard::in_zone("s", "z");
    view.batch_owners.insert(shard.clone(), "n2".into());
    // After a while without a leader all nodes are so.
    for status in &mut view.nodes {
        status.usable = false;
    }
    let owner = |view: &ClusterView| batch_owner(view, &shard, &"own".into(), |_| false);
    assert_eq!(owner(&view), Some("n2".into()));
    view.nodes.remove(2);
    assert_eq!(owner(&view), None);
}

#[test]
fn an_owner_that_stays_silent_is_passed_over_longer_each_time_until_it_gives_a_sign() {
    let (mut watch, node) = (OwnerWatch::default(), NodeName::from("n1"));
    let pass_over_at = |watch: &mut OwnerWatch, since: u64| {
        assert_eq!(watch.look(&node, since, since + 460), OwnerStep::Ask);
        assert_eq!(watch.look(&node, since, since + 900), OwnerStep::PassOver);
        let spans = (0..20_000).filter(|span| watch.is_passed_over(&node, since + 900 + span));
        spans.count()
    };
    let spans = [10_000, 30_000, 60_000, 90_000].map(|since| pass_over_at(&mut watch, since));
    assert_eq!(spans, [2_500, 5_000, 10_000, 10_000]);
    watch.heard(&"n1".into(), 120_000);
    assert_eq!(pass_over_at(&mut watch, 130_000), 2_500);
}

#[test]
fn where_all_owners_of_a_service_are_silent_orders_wait_for_them() {
    let mut view = view(4);
    let shards = ["a", "b"].map(|zone| Shard::in_zone("s", zone));
    let named = [("n1", &shards[0]), ("n2", &shards[1])];
    for (node, shard) in named {
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
