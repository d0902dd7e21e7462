//! Distances between zones and filters of allowed regions.

use rstest::rstest;
use silversail_model::topology::{Distance, RegionFilter, RoundTrips, Topology, TopologyError};
use std::collections::BTreeMap;

fn regions(pairs: &[(&str, &str)]) -> BTreeMap<String, String> {
    let owned = |(zone, region): &(&str, &str)| ((*zone).to_owned(), (*region).to_owned());
    pairs.iter().map(owned).collect()
}

#[rstest]
#[case("a1", "a1", Distance::SameZone)]
#[case("a1", "a2", Distance::SameRegion)]
#[case("a1", "b1", Distance::OtherRegion)]
#[case("a1", "unknown", Distance::SameRegion)]
fn distances_depend_on_zones_and_regions(
    #[case] from: &str,
    #[case] to: &str,
    #[case] expected: Distance,
) {
    let zones = regions(&[("a1", "a"), ("a2", "a"), ("b1", "b")]);
    let topology = Topology::new("a1", zones, RoundTrips::default()).expect("valid");
    assert_eq!(topology.distance(from, to), expected);
    assert_eq!(topology.distance(to, from), expected);
}

#[test]
fn zones_without_declared_regions_are_in_one_region() {
    let topology = Topology::new("a1", BTreeMap::new(), RoundTrips::default()).expect("valid");
    assert_eq!(topology.distance_to("b1"), Distance::SameRegion);
    assert_eq!(topology.local_region(), None);
}

#[rstest]
#[case(&[("a1", "")], TopologyError::ZoneWithoutRegion("a1".into()))]
#[case(&[("b1", "b")], TopologyError::UnknownLocalZone("a1".into()))]
fn invalid_zones_are_rejected(#[case] zones: &[(&str, &str)], #[case] expected: TopologyError) {
    let result = Topology::new("a1", regions(zones), RoundTrips::default());
    assert_eq!(result, Err(expected));
}

#[rstest]
#[case(-1.0, 2.0, 40.0)]
#[case(1.0, 0.5, 40.0)]
#[case(1.0, 2.0, f64::NAN)]
fn round_trip_times_must_not_decrease_with_the_distance(
    #[case] same_zone: f64,
    #[case] same_region: f64,
    #[case] other_region: f64,
) {
    let round_trips = RoundTrips {
        same_zone,
        same_region,
        other_region,
    };
    let result = Topology::new("a1", BTreeMap::new(), round_trips);
    assert_eq!(result, Err(TopologyError::RoundTrips));
}

#[rstest]
#[case(None, None, "a", true)]
#[case(Some("a"), None, "a", true)]
#[case(Some("a"), None, "b", false)]
#[case(None, Some("b"), "b", true)]
#[case(Some("a"), Some("b"), "a", false)]
fn a_region_must_be_allowed_by_route_and_tenant(
    #[case] route_region: Option<&str>,
    #[case] tenant_region: Option<&str>,
    #[case] region: &str,
    #[case] expected: bool,
) {
    let list = |name: Option<&str>| name.map(|region| [region.to_owned()].into());
    let (route_list, tenant_list) = (list(route_region), list(tenant_region));
    let filter = RegionFilter::intersection(route_list.as_ref(), tenant_list.as_ref());
    assert_eq!(filter.allows(Some(region)), expected);
    let is_unrestricted = route_region.is_none() && tenant_region.is_none();
    assert_eq!(filter.allows(None), is_unrestricted);
}
