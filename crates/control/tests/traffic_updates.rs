//! Updates that nodes get when the traffic configuration changes.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use silversail_control::{PublishedTraffic, TrafficUpdate, TrafficUpdateCache, TrafficUpdateError};
use silversail_model::traffic::{CallerLimits, PhaseSpec, Route, RouteKind, RouteTarget};
use silversail_model::TrafficConfiguration;
use std::sync::Arc;

/// Maximum size of a full update with 2,000 routes, in bytes: 0.1 s of a 10 Mbit/s link.
const MAX_FULL_UPDATE_BYTES: usize = 125_000;
/// Maximum size of an update that changes one of 2,000 routes, in bytes.
const MAX_ONE_ROUTE_UPDATE_BYTES: usize = 2_000;

fn random_name(random: &mut ChaCha8Rng) -> String {
    (0..7).map(|_| random.gen_range('a'..='z')).collect()
}

fn route(random: &mut ChaCha8Rng) -> Route {
    let phase = |after: Vec<usize>| PhaseSpec {
        service: "town-reports".into(),
        after,
        result_bytes: 60_000,
    };
    Route {
        name: format!("r-{}", random_name(random)),
        host: format!("{}.example", random_name(random)),
        path_prefix: format!("/{}/", random_name(random)),
        kind: RouteKind::Stream { resumable: true },
        timeout_ms: 20_000,
        objective_ms: 2_500,
        priority: 1,
        targets: vec![RouteTarget {
            service: "llm-pool".into(),
            weight: 1,
        }],
        max_attempts: 2,
        phases: vec![phase(Vec::new()), phase(vec![0])],
        open: false,
        has_prefix: true,
        allowed_regions: None,
    }
}

fn routes(count: usize) -> Vec<Route> {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    (0..count).map(|_| route(&mut random)).collect()
}

fn published(version: u64, routes: Vec<Route>) -> PublishedTraffic {
    PublishedTraffic {
        document: serde_json::to_vec(&routes).expect("a document"),
        traffic: TrafficConfiguration {
            version,
            routes,
            services: Vec::new(),
            tenants: Vec::new(),
            limits: CallerLimits {
                header_bytes: 1,
                body_bytes: 1,
                header_timeout_ms: 1,
                idle_timeout_ms: 1,
            },
        },
    }
}

fn size(update: &TrafficUpdate) -> usize {
    postcard::to_stdvec(update).expect("an encoding").len()
}

/// Two versions of a configuration with 2,000 routes that differ in one route, and their updates.
fn one_changed_route_of_two_thousand() -> (
    Arc<PublishedTraffic>,
    Arc<PublishedTraffic>,
    TrafficUpdateCache,
) {
    let before = Arc::new(published(7, routes(2_000)));
    let mut changed = routes(2_000);
    changed[999].timeout_ms = 5_000;
    let next = Arc::new(published(9, changed));
    let mut updates = TrafficUpdateCache::default();
    updates.set_latest(Some(&before));
    updates.set_latest(Some(&next));
    (before, next, updates)
}

#[test]
fn a_large_configuration_is_sent_compressed() {
    let (_, next, updates) = one_changed_route_of_two_thousand();
    assert!(next.document.len() > 500_000, "{}", next.document.len());
    let full = updates.update_since(None).expect("an update");
    assert!(size(&full) < MAX_FULL_UPDATE_BYTES, "{} bytes", size(&full));
    assert_eq!(full.apply_to(None), Ok(next));
}

#[test]
fn a_node_with_the_previous_version_gets_the_difference() {
    let (before, next, updates) = one_changed_route_of_two_thousand();
    let update = updates.update_since(Some(7)).expect("an update");
    assert!(
        size(&update) < MAX_ONE_ROUTE_UPDATE_BYTES,
        "{} bytes",
        size(&update)
    );
    let bytes = postcard::to_stdvec(&update).expect("an encoding");
    let received: TrafficUpdate = postcard::from_bytes(&bytes).expect("an update");
    assert_eq!(received.apply_to(Some(&before)), Ok(next));
}

#[rstest]
#[case::none(None)]
#[case::older(Some(6))]
fn a_node_without_the_previous_version_gets_the_full_configuration(
    #[case] current_version: Option<u64>,
) {
    let (_, next, updates) = one_changed_route_of_two_thousand();
    let update = updates.update_since(current_version).expect("an update");
    assert_eq!(update.apply_to(None), Ok(next));
}

#[rstest]
#[case(9)]
#[case(10)]
fn a_node_that_is_current_gets_nothing(#[case] current_version: u64) {
    assert_eq!(
        one_changed_route_of_two_thousand()
            .2
            .update_since(Some(current_version)),
        None
    );
}

#[test]
fn a_difference_is_rejected_for_any_other_version() {
    let (_, _, updates) = one_changed_route_of_two_thousand();
    let update = updates.update_since(Some(7)).expect("an update");
    let other = Arc::new(published(8, routes(3)));
    assert_eq!(
        update.apply_to(None),
        Err(TrafficUpdateError::BaseMismatch(7))
    );
    assert_eq!(
        update.apply_to(Some(&other)),
        Err(TrafficUpdateError::BaseMismatch(7))
    );
}

#[test]
fn a_difference_is_rejected_for_other_content_of_the_same_version() {
    let (_, _, updates) = one_changed_route_of_two_thousand();
    let update = updates.update_since(Some(7)).expect("an update");
    let other_content = Arc::new(published(7, routes(3)));
    let applied = update.apply_to(Some(&other_content));
    assert_eq!(applied, Err(TrafficUpdateError::Malformed));
}

#[test]
fn a_document_with_an_excessive_decompressed_size_is_rejected() {
    // A zstd frame whose header declares a decompressed size of 2^40 bytes.
    let frame: Vec<u8> = [0x28, 0xb5, 0x2f, 0xfd, 0xe0]
        .into_iter()
        .chain((1_u64 << 40).to_le_bytes())
        .chain([1, 0, 0])
        .collect();
    let bytes = postcard::to_stdvec(&frame).expect("an encoding");
    assert!(postcard::from_bytes::<PublishedTraffic>(&bytes).is_err());
}
