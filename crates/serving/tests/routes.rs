//! Tests of routes, traffic weights and API keys.

mod common;

use common::{call, traffic};
use rstest::rstest;
use silversail_model::traffic::{hash_key, RouteTarget, TenantKeys};
use silversail_serving::routes::{RouteError, RouteTable};
use std::collections::BTreeMap;

#[rstest]
#[case("a.example", "/chat/x", Ok("chat"))]
#[case("A.Example:8080", "/chat/x", Ok("chat"))]
#[case("a.example", "/chat/deep/x", Ok("deep"))]
#[case("a.example", "/chatter", Err(RouteError::NoRoute))]
#[case("b.example", "/chat/x", Err(RouteError::NoRoute))]
fn the_longest_matching_path_prefix_of_the_host_applies(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Result<&str, RouteError>,
) {
    let table = RouteTable::new(&traffic());
    let mut request = call("r1");
    request.host = host.to_owned();
    request.path = path.to_owned();
    let routed = table.route(&request);
    assert_eq!(
        routed.as_ref().map(|routed| routed.route.name.as_str()),
        expected.as_ref().map(|name| *name)
    );
}

#[test]
fn weights_split_requests_the_same_way_on_every_node() {
    let mut traffic = traffic();
    traffic.routes[0].targets = vec![
        RouteTarget {
            service: "pool".into(),
            weight: 90,
        },
        RouteTarget {
            service: "gate".into(),
            weight: 10,
        },
    ];
    let (first_table, second_table) = (RouteTable::new(&traffic), RouteTable::new(&traffic));
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for number in 0..2_000 {
        let request = call(&format!("r{number}"));
        let service = first_table.route(&request).expect("a route").service;
        assert_eq!(
            second_table.route(&request).expect("a route").service,
            service
        );
        *counts.entry(service).or_default() += 1;
    }
    assert!((100..300).contains(&counts["gate"]), "{counts:?}");
}

#[test]
fn a_key_identifies_its_tenant_whose_priority_overrides_that_of_the_route() {
    let mut traffic = traffic();
    traffic.tenants = vec![TenantKeys {
        tenant: "t1".into(),
        key_hashes: vec![hash_key("secret")],
        priority: Some(0),
        allowed_regions: None,
    }];
    let table = RouteTable::new(&traffic);
    let mut request = call("r1");
    assert_eq!(table.route(&request).err(), Some(RouteError::UnknownKey));
    request.key = Some("other".into());
    assert_eq!(table.route(&request).err(), Some(RouteError::UnknownKey));
    request.key = Some("secret".into());
    let routed = table.route(&request).expect("a route");
    assert_eq!(routed.tenant.as_deref(), Some("t1"));
    assert_eq!(routed.priority, 0);
    // A later configuration without the key revokes it.
    traffic.tenants[0].key_hashes.clear();
    let later = RouteTable::new(&traffic);
    assert_eq!(later.route(&request).err(), Some(RouteError::UnknownKey));
    traffic.routes[0].open = true;
    assert!(RouteTable::new(&traffic).route(&request).is_ok());
}
