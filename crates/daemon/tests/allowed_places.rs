//! Which shards may have the orders of a request that is restricted to regions.

use rstest::rstest;
use silversail_control::{ClusterView, NodeStatus, ViewVersion};
use silversail_daemon::gateway::allowed::AllowedPlaces;
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

/// A node in each zone, named after it.
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

fn only(regions: &[&str]) -> RegionFilter {
    let allowed = regions.iter().map(|region| (*region).to_owned()).collect();
    RegionFilter::intersection(Some(&allowed), None)
}

/// A request that came to the node in `n1`, and may be served in the south.
#[rstest]
#[case::makers_and_node_allowed("s1", "node-s1", true)]
#[case::node_in_the_callers_region("s1", "node-n1", true)]
#[case::node_elsewhere("s1", "node-e1", false)]
#[case::node_unknown("s1", "node-gone", false)]
#[case::makers_in_the_callers_region_only("n1", "node-n1", false)]
#[case::makers_elsewhere("e1", "node-s1", false)]
#[case::makers_of_an_unknown_zone("x1", "node-s1", false)]
fn a_shard_is_used_if_its_makers_and_its_node_may(
    #[case] zone: &str,
    #[case] owner: &str,
    #[case] expected: bool,
) {
    let (topology, view) = (topology("n1"), view());
    let (own, regions) = (NodeName::from("node-n1"), only(&["south"]));
    let places = AllowedPlaces {
        topology: &topology,
        view: &view,
        own: &own,
        regions: &regions,
    };
    let owner = NodeName::from(owner);
    assert_eq!(
        places.has_shard(&Shard::in_zone("s", zone), &owner),
        expected
    );
    let unrestricted = AllowedPlaces {
        regions: &RegionFilter::any(),
        ..places
    };
    assert!(unrestricted.has_shard(&Shard::in_zone("s", zone), &owner));
}

/// Also where one node batches for the back ends of all zones.
#[rstest]
#[case::allowed(&["south"], true)]
#[case::none_there(&["east"], false)]
fn a_shard_without_allowed_makers_is_not_staffed(#[case] regions: &[&str], #[case] expected: bool) {
    let mut instances = InstanceTable::new(DecisionLog::disabled());
    let listed = ["n1", "s1"].map(|zone| BackendListEntry {
        version: "v1".to_owned(),
        id: format!("maker-{zone}"),
        name: format!("maker-{zone}"),
        service: "s".into(),
        address: format!("{zone}:80"),
        zone: zone.into(),
        slots: 1,
        draining: false,
        cold: false,
        started_at_ms: None,
    });
    instances.replace_list(&listed);
    let (topology, view) = (topology("n1"), view());
    let (own, regions) = (NodeName::from("node-n1"), only(regions));
    let places = AllowedPlaces {
        topology: &topology,
        view: &view,
        own: &own,
        regions: &regions,
    };
    assert_eq!(
        places.has_makers(&Shard::whole_service("s"), &instances),
        expected
    );
    assert!(!places.has_makers(&Shard::in_zone("s", "n1"), &instances));
}
