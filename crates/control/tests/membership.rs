//! Views, machine marks and updates never go back.

use silversail_control::view::merge_machine;
use silversail_control::{
    AppliedConfiguration, ChangeOutcome, ChangeRequest, ClusterView, ConfigurationState,
    ConfigurationUpdate, MachineState, MembershipTable, NodeReport,
};
use silversail_model::topology::Topology;
use silversail_model::{ConfigurationDocument, Shard, Tenant, TenantLimits};
use std::collections::BTreeMap;

fn machine(leaving: bool, list_version: u64) -> MachineState {
    MachineState {
        address: "127.0.0.1:1".into(),
        leaving,
        list_version,
    }
}

fn report(incarnation: u64, stopping: bool) -> NodeReport {
    NodeReport {
        node: "n1".into(),
        incarnation,
        zone: "a".into(),
        caller_address: "127.0.0.1:2".into(),
        processor_percent: 100,
        stopping,
        serving: true,
        revision: Some(1),
        traffic: None,
        evacuations: None,
        rollouts: None,
        evidence: Vec::new(),
        quarantine: None,
        crashes: Vec::new(),
        completed_requests: Vec::new(),
        machines: Vec::new(),
    }
}

fn change(number: u64, base_revision: u64) -> ChangeRequest {
    ChangeRequest {
        change_id: format!("c{number}").as_str().into(),
        base_revision,
        operator: String::new(),
        document: ConfigurationDocument {
            tenants: vec![Tenant {
                name: format!("t{number}").as_str().into(),
                labels: Default::default(),
                weight: 1,
                limits: TenantLimits::default(),
            }],
            ..Default::default()
        },
    }
}

#[test]
fn an_older_list_never_undoes_a_mark() {
    let mut machines = Vec::new();
    assert!(merge_machine(&mut machines, &machine(true, 5)));
    assert!(!merge_machine(&mut machines, &machine(false, 4)));
    assert!(machines[0].leaving);
    assert!(merge_machine(&mut machines, &machine(false, 6)));
    assert!(!machines[0].leaving);
}

#[test]
fn a_lease_ends_without_heartbeats_and_a_former_process_does_not_renew_it() {
    let mut table = MembershipTable::new(1, &ClusterView::default(), 1_000, 0);
    table.record_report(&report(2, false), 0);
    assert_eq!(table.view().usable_nodes().count(), 1);
    table.record_report(&report(1, false), 900);
    table.expire(1_000);
    assert_eq!(table.view().nodes.len(), 0);
}

#[test]
fn a_stopping_node_is_not_usable() {
    let mut table = MembershipTable::new(1, &ClusterView::default(), 1_000, 0);
    table.record_report(&report(2, false), 0);
    let before = table.version();
    table.record_report(&report(2, true), 10);
    assert_eq!(table.view().usable_nodes().count(), 0);
    assert!(table.version() > before);
}

#[test]
fn a_new_leader_keeps_the_nodes_of_the_last_view_for_one_lease() {
    let mut first = MembershipTable::new(1, &ClusterView::default(), 1_000, 0);
    first.record_report(&report(2, false), 0);
    let mut second = MembershipTable::new(2, &first.view(), 1_000, 5_000);
    second.expire(5_500);
    assert_eq!(second.view().usable_nodes().count(), 1);
    assert!(second.view().version > first.view().version);
    second.expire(6_001);
    assert_eq!(second.view().usable_nodes().count(), 0);
}

#[test]
fn updates_bring_a_node_forward_and_never_back() {
    let mut state = ConfigurationState::default();
    for number in 0..5 {
        let outcome = state.apply_change(change(number, number));
        assert_eq!(
            outcome,
            ChangeOutcome::Accepted {
                revision: number + 1
            }
        );
    }
    let mut applied = AppliedConfiguration::default();
    let full = state.update_since(None).expect("everything");
    assert!(applied.apply(full.clone()));
    assert_eq!(applied.revision(), Some(5));
    let older = ConfigurationUpdate::Full {
        revision: 4,
        configuration: Default::default(),
    };
    assert!(!applied.apply(older));
    assert!(!applied.apply(full));
    state.apply_change(change(5, 5));
    let delta = state.update_since(Some(4)).expect("two changes");
    assert!(
        matches!(&delta, ConfigurationUpdate::Changes { documents, .. } if documents.len() == 2)
    );
    assert!(applied.apply(delta));
    assert_eq!(applied.configuration(), state.configuration());
    assert_eq!(state.update_since(Some(6)), None);
}

#[test]
fn a_gap_is_not_applied() {
    let mut applied = AppliedConfiguration::default();
    let ahead = ConfigurationUpdate::Changes {
        base: 3,
        documents: vec![change(1, 3).document],
    };
    assert!(!applied.apply(ahead));
    assert_eq!(applied.revision(), None);
}

fn report_of(node: &str, stopping: bool) -> NodeReport {
    NodeReport {
        node: node.into(),
        ..report(1, stopping)
    }
}

/// Assigns services whose back ends are not known.
fn assign(table: &mut MembershipTable, services: &[String], now: u64) {
    let (makers, leader) = (BTreeMap::new(), "n0".into());
    table.assign_services(services, &makers, &[], &leader, &Topology::default(), now);
}

#[test]
fn a_node_keeps_its_services_until_it_leaves_and_does_not_get_them_back() {
    let services: Vec<String> = ["s1", "s2", "s3"].map(str::to_owned).into();
    let mut table = MembershipTable::new(1, &ClusterView::default(), 1_000, 0);
    let all = ["n1", "n2", "n3", "n4"];
    for node in all {
        table.record_report(&report_of(node, false), 200);
    }
    assign(&mut table, &services, 299);
    assert!(table.view().batch_owners.is_empty(), "it listens first");
    assign(&mut table, &services, 300);
    let assigned = table.view().batch_owners;
    assert_eq!(assigned.len(), 3);
    let version = table.version();
    assign(&mut table, &services, 1_100);
    assert_eq!(table.version(), version);
    // One stops: only its services move, and they stay when it is back.
    let stopped = assigned[&Shard::whole("s1")].clone();
    table.record_report(&report_of(stopped.as_str(), true), 1_200);
    assign(&mut table, &services, 1_200);
    let moved = table.view().batch_owners;
    assert!(moved.values().all(|owner| *owner != stopped));
    for (shard, owner) in &assigned {
        assert!(*owner == stopped || moved[shard] == *owner);
    }
    table.record_report(&report_of(stopped.as_str(), false), 1_300);
    assign(&mut table, &services, 1_300);
    assert_eq!(table.view().batch_owners, moved);
    // The next leader keeps them.
    let mut next = MembershipTable::new(2, &table.view(), 1_000, 2_000);
    assign(&mut next, &services, 2_000);
    assert_eq!(next.view().batch_owners, moved);
}

/// Before, all shards moved when no leader had confirmed the nodes' configuration for long.
#[test]
fn a_zones_shard_moves_when_its_owner_stops_and_not_when_it_is_unconfirmed() {
    let services = vec!["s".to_owned()];
    let makers: BTreeMap<String, usize> = [("a".to_owned(), 20), ("b".to_owned(), 20)].into();
    let makers = BTreeMap::from([("s".to_owned(), makers)]);
    let mut table = MembershipTable::new(1, &ClusterView::default(), 1_000, 0);
    let tell = |table: &mut MembershipTable, serving: bool, stopping: &str, now| {
        for node in ["n1", "n2", "n3", "n4"] {
            let told = report_of(node, node == stopping);
            table.record_report(&NodeReport { serving, ..told }, now);
        }
        table.assign_services(
            &services,
            &makers,
            &[],
            &"n0".into(),
            &Topology::default(),
            now,
        );
        table.view().batch_owners
    };
    let assigned = tell(&mut table, true, "", 300);
    assert_eq!(assigned.len(), 2);
    assert_eq!(tell(&mut table, false, "", 700), assigned);
    let (shard, owner) = assigned.first_key_value().expect("assigned");
    let moved = tell(&mut table, true, owner.as_str(), 1_100);
    assert_ne!(moved[shard], *owner);
}

/// After a restart of all nodes the first one that is usable got all shards, and kept them.
#[test]
fn parts_of_a_service_wait_for_nodes_in_them_that_have_just_started() {
    let services = vec!["s".to_owned()];
    let zones = ["a", "b"];
    let makers: BTreeMap<String, usize> = zones.map(|zone| (zone.to_owned(), 20)).into();
    let makers = BTreeMap::from([("s".to_owned(), makers)]);
    let mut table = MembershipTable::new(1, &ClusterView::default(), 2_000, 0);
    let tell = |table: &mut MembershipTable, usable: &[&str], now| {
        for node in ["a1", "a2", "b1", "b2"] {
            let told = NodeReport {
                serving: usable.contains(&node),
                zone: node[..1].to_owned(),
                ..report_of(node, false)
            };
            table.record_report(&told, now);
        }
        let topology = Topology::default();
        table.assign_services(&services, &makers, &[], &"n0".into(), &topology, now);
        table.view().batch_owners
    };
    let owner_in = |owners: &silversail_control::BatchOwners, zone: &str| {
        let owner = owners.get(&Shard::in_zone("s", zone));
        owner.map(|owner| owner.as_str().to_owned())
    };
    let first = tell(&mut table, &["a1"], 400);
    assert_eq!(owner_in(&first, "a").as_deref(), Some("a1"));
    assert_eq!(owner_in(&first, "b"), None, "b1 and b2 will be usable soon");
    let later = tell(&mut table, &["a1", "b2"], 600);
    assert_eq!(owner_in(&later, "b").as_deref(), Some("b2"));
    // One that is not usable in time is not waited for.
    let mut table = MembershipTable::new(1, &ClusterView::default(), 2_000, 0);
    let waiting = tell(&mut table, &["a1"], 1_200);
    assert_eq!(owner_in(&waiting, "b"), None);
    let given = tell(&mut table, &["a1"], 1_300);
    assert_eq!(owner_in(&given, "b").as_deref(), Some("a1"));
}
