//! The membership table and configuration updates: leases, shard owners, monotonic revisions.

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

fn report(incarnation: u64, withdrawn: bool) -> NodeReport {
    NodeReport {
        node: "n1".into(),
        incarnation,
        zone: "a".into(),
        caller_address: "127.0.0.1:2".into(),
        processor_percent: 100,
        withdrawn,
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
fn a_state_from_an_older_machine_list_is_ignored() {
    let mut machines = Vec::new();
    assert!(merge_machine(&mut machines, &machine(true, 5)));
    assert!(!merge_machine(&mut machines, &machine(false, 4)));
    assert!(machines[0].leaving);
    assert!(merge_machine(&mut machines, &machine(false, 6)));
    assert!(!machines[0].leaving);
}

#[test]
fn a_lease_expires_and_a_former_process_does_not_renew_it() {
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
fn updates_never_lower_the_revision_of_a_node() {
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
fn an_update_with_a_newer_base_is_not_applied() {
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
    let (backends, leader) = (BTreeMap::new(), "n0".into());
    table.assign_services(services, &backends, &[], &leader, &Topology::default(), now);
}

#[test]
fn a_node_keeps_its_services_until_it_stops_and_does_not_get_them_back() {
    let services: Vec<String> = ["s1", "s2", "s3"].map(str::to_owned).into();
    let mut table = MembershipTable::new(1, &ClusterView::default(), 1_000, 0);
    let all = ["n1", "n2", "n3", "n4"];
    for node in all {
        table.record_report(&report_of(node, false), 200);
    }
    assign(&mut table, &services, 299);
    assert!(
        table.view().batch_owners.is_empty(),
        "assignment is delayed"
    );
    assign(&mut table, &services, 300);
    let assigned = table.view().batch_owners;
    assert_eq!(assigned.len(), 3);
    let version = table.version();
    assign(&mut table, &services, 1_100);
    assert_eq!(table.version(), version);
    // When a node stops, only its services move, and they do not return with it.
    let stopped = assigned[&Shard::whole_service("s1")].clone();
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
    // The next leader keeps the owners.
    let mut next = MembershipTable::new(2, &table.view(), 1_000, 2_000);
    assign(&mut next, &services, 2_000);
    assert_eq!(next.view().batch_owners, moved);
}

/// An outage of the control group leaves all configurations unconfirmed; no shard may move then.
#[test]
fn a_zone_shard_moves_when_its_owner_stops_but_not_when_it_is_unconfirmed() {
    let services = vec!["s".to_owned()];
    let backends: BTreeMap<String, usize> = [("a".to_owned(), 20), ("b".to_owned(), 20)].into();
    let backends = BTreeMap::from([("s".to_owned(), backends)]);
    let mut table = MembershipTable::new(1, &ClusterView::default(), 1_000, 0);
    let report_and_assign = |table: &mut MembershipTable, serving: bool, stopping: &str, now| {
        for node in ["n1", "n2", "n3", "n4"] {
            let report = report_of(node, node == stopping);
            table.record_report(&NodeReport { serving, ..report }, now);
        }
        table.assign_services(
            &services,
            &backends,
            &[],
            &"n0".into(),
            &Topology::default(),
            now,
        );
        table.view().batch_owners
    };
    let assigned = report_and_assign(&mut table, true, "", 300);
    assert_eq!(assigned.len(), 2);
    assert_eq!(report_and_assign(&mut table, false, "", 700), assigned);
    let (shard, owner) = assigned.first_key_value().expect("assigned");
    let moved = report_and_assign(&mut table, true, owner.as_str(), 1_100);
    assert_ne!(moved[shard], *owner);
}

/// After a restart of all nodes the first usable node must not get all shards.
#[test]
fn zone_shards_wait_for_local_nodes_after_a_start() {
    let services = vec!["s".to_owned()];
    let zones = ["a", "b"];
    let backends: BTreeMap<String, usize> = zones.map(|zone| (zone.to_owned(), 20)).into();
    let backends = BTreeMap::from([("s".to_owned(), backends)]);
    let mut table = MembershipTable::new(1, &ClusterView::default(), 2_000, 0);
    let report_and_assign = |table: &mut MembershipTable, usable: &[&str], now| {
        for node in ["a1", "a2", "b1", "b2"] {
            let report = NodeReport {
                serving: usable.contains(&node),
                zone: node[..1].to_owned(),
                ..report_of(node, false)
            };
            table.record_report(&report, now);
        }
        let topology = Topology::default();
        table.assign_services(&services, &backends, &[], &"n0".into(), &topology, now);
        table.view().batch_owners
    };
    let owner_in = |owners: &silversail_control::BatchOwners, zone: &str| {
        let owner = owners.get(&Shard::in_zone("s", zone));
        owner.map(|owner| owner.as_str().to_owned())
    };
    let first = report_and_assign(&mut table, &["a1"], 400);
    assert_eq!(owner_in(&first, "a").as_deref(), Some("a1"));
    assert_eq!(owner_in(&first, "b"), None, "b1 and b2 will be usable soon");
    let later = report_and_assign(&mut table, &["a1", "b2"], 600);
    assert_eq!(owner_in(&later, "b").as_deref(), Some("b2"));
    // Nodes that are not usable in time get no shard.
    let mut table = MembershipTable::new(1, &ClusterView::default(), 2_000, 0);
    let waiting = report_and_assign(&mut table, &["a1"], 1_200);
    assert_eq!(owner_in(&waiting, "b"), None);
    let assigned = report_and_assign(&mut table, &["a1"], 1_300);
    assert_eq!(owner_in(&assigned, "b").as_deref(), Some("a1"));
}
