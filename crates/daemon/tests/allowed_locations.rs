//! Shards that may process a request which is restricted to regions.

use rstest::rstest;
use silversail_control::{ClusterView, NodeStatus, ViewVersion};
use silversail_daemon::gateway::allowed_locations::AllowedLocations;
use silversail_decisions::DecisionLog;
use silversail_model::topology::RegionFilter;
use silversail_model::{NodeName, Shard, Topology};
use silversail_peer::BackendListEntry;
use silversail_serving::instances::InstanceTable;

/// Zones `n1`, `s1` and `e1` of regions `north`, `south` and `east`.
fn topology(own_zone: &str) -> Topology {
    let regions = [("n1", "north"), ("s1", "south"), ("e1", "east")];
    let regions = regions.map(|(zone, region)| (zone.to_owned(), region.to_owned()));
    Topology::new(own_zone, regions.into(), Default::default()).expect("valid")
}

/// One node per zone.
fn view() -> ClusterView {
    let status = |zone: &str| NodeStatus {
        node: NodeName(format!("node-{zone}")),
        incarnation: 1,
        zone: zone.to_owned(),
        caller_address: "127.0.0.1:1".into(),
        processor_percent: 100,
        usable: true,
    };
    ClusterView {
        version: ViewVersion::default(),
        nodes: ["n1", "s1", "e1"].map(status).into(),
        machines: Vec::new(),
        batch_owners: Default::default(),
    }
}

fn only_regions(regions: &[&str]) -> RegionFilter {
    let allowed = regions.iter().map(|region| (*region).to_owned()).collect();
    RegionFilter::intersection(Some(&allowed), None)
}

/// The request arrives at the node in `n1` and may be served in the south.
#[rstest]
#[case::backends_and_owner_allowed("s1", "node-s1", true)]
#[case::owner_in_the_receiving_region("s1", "node-n1", true)]
#[case::owner_elsewhere("s1", "node-e1", false)]
#[case::owner_unknown("s1", "node-gone", false)]
#[case::backends_in_the_receiving_region_only("n1", "node-n1", false)]
#[case::backends_elsewhere("e1", "node-s1", false)]
#[case::backends_in_an_unknown_zone("x1", "node-s1", false)]
fn a_shard_is_allowed_if_its_backends_and_its_owner_are(
    #[case] zone: &str,
    #[case] owner: &str,
    #[case] expected: bool,
) {
    let (topology, view) = (topology("n1"), view());
    let (own, regions) = (NodeName::from("node-n1"), only_regions(&["south"]));
    let locations = AllowedLocations {
        topology: &topology,
        view: &view,
        own: &own,
        regions: &regions,
    };
    let owner = NodeName::from(owner);
    assert_eq!(
        locations.allows_shard(&Shard::in_zone("s", zone), &owner),
        expected
    );
    let unrestricted = AllowedLocations {
        regions: &RegionFilter::any(),
        ..locations
    };
    assert!(unrestricted.allows_shard(&Shard::in_zone("s", zone), &owner));
}

/// The owner of a whole service batches for back ends of all zones.
#[rstest]
#[case::allowed(&["south"], true)]
#[case::none_in_the_region(&["east"], false)]
fn a_shard_without_allowed_backends_is_not_preferred(
    #[case] regions: &[&str],
    #[case] expected: bool,
) {
    let mut instances = InstanceTable::new(DecisionLog::disabled());
    let entries = ["n1", "s1"].map(|zone| BackendListEntry {
        version: "v1".to_owned(),
        id: format!("backend-{zone}"),
        name: format!("backend-{zone}"),
        service: "s".into(),
        address: format!("{zone}:80"),
        zone: zone.into(),
        slots: 1,
        draining: false,
        cold: false,
        started_at_ms: None,
    });
    instances.replace_list(&entries);
    let (topology, view) = (topology("n1"), view());
    let (own, regions) = (NodeName::from("node-n1"), only_regions(regions));
    let locations = AllowedLocations {
        topology: &topology,
        view: &view,
        own: &own,
        regions: &regions,
    };
    assert_eq!(
        locations.has_allowed_backend(&Shard::whole_service("s"), &instances),
        expected
    );
    assert!(!locations.has_allowed_backend(&Shard::in_zone("s", "n1"), &instances));
}
