//! Zones, regions and the way between them.

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
fn distances_follow_regions(#[case] from: &str, #[case] to: &str, #[case] expected: Distance) {
    let zones = regions(&[("a1", "a"), ("a2", "a"), ("b1", "b")]);
    let topology = Topology::new("a1", zones, RoundTrips::default()).expect("valid");
    assert_eq!(topology.distance(from, to), expected);
    assert_eq!(topology.distance(to, from), expected);
}

#[test]
fn without_zones_all_is_one_region() {
    let topology = Topology::new("a1", BTreeMap::new(), RoundTrips::default()).expect("valid");
    assert_eq!(topology.distance_to("b1"), Distance::SameRegion);
    assert_eq!(topology.own_region(), None);
}

#[rstest]
#[case(&[("a1", "")], TopologyError::ZoneWithoutRegion("a1".into()))]
#[case(&[("b1", "b")], TopologyError::UnknownOwnZone("a1".into()))]
fn zones_that_make_no_sense_are_refused(
    #[case] zones: &[(&str, &str)],
    #[case] expected: TopologyError,
) {
    let result = Topology::new("a1", regions(zones), RoundTrips::default());
    assert_eq!(result, Err(expected));
}

#[rstest]
#[case(-1.0, 2.0, 40.0)]
#[case(1.0, 0.5, 40.0)]
#[case(1.0, 2.0, f64::NAN)]
fn round_trips_grow_with_the_distance(#[case] zone: f64, #[case] region: f64, #[case] far: f64) {
    let round_trips = RoundTrips {
        same_zone: zone,
        same_region: region,
        other_region: far,
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
fn both_lists_of_regions_bind(
    #[case] of_route: Option<&str>,
    #[case] of_tenant: Option<&str>,
    #[case] region: &str,
    #[case] expected: bool,
) {
    let list = |name: Option<&str>| name.map(|one| [one.to_owned()].into());
    let (first, second) = (list(of_route), list(of_tenant));
    let filter = RegionFilter::intersection(first.as_ref(), second.as_ref());
    assert_eq!(filter.allows(Some(region)), expected);
    let is_open = of_route.is_none() && of_tenant.is_none();
    assert_eq!(filter.allows(None), is_open);
}
