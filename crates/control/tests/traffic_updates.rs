//! What nodes are sent when the traffic configuration changes.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use silversail_control::{PublishedTraffic, TrafficUpdate, TrafficUpdateCache, UpdateError};
use silversail_model::traffic::{CallerLimits, PhaseSpec, Route, RouteKind, RouteTarget};
use silversail_model::TrafficConfiguration;
use std::sync::Arc;

/// Bytes that the whole of 2,000 routes may take: a tenth of a second of a link of
/// 10 Mbit/s.
const MOST_OF_WHOLE: usize = 125_000;
/// Bytes that a change of one route among 2,000 may take.
const MOST_OF_ONE_ROUTE: usize = 2_000;

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

/// Updates to a configuration of 2,000 routes in which one has changed.
fn one_of_two_thousand() -> (
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
fn a_large_configuration_is_sent_packed() {
    let (_, next, updates) = one_of_two_thousand();
    assert!(next.document.len() > 500_000, "{}", next.document.len());
    let whole = updates.update_since(None).expect("an update");
    assert!(size(&whole) < MOST_OF_WHOLE, "{} bytes", size(&whole));
    assert_eq!(whole.apply(None), Ok(next));
}

#[test]
fn a_node_with_the_version_before_gets_what_changed() {
    let (before, next, updates) = one_of_two_thousand();
    let update = updates.update_since(Some(7)).expect("an update");
    assert!(size(&update) < MOST_OF_ONE_ROUTE, "{} bytes", size(&update));
    let bytes = postcard::to_stdvec(&update).expect("an encoding");
    let received: TrafficUpdate = postcard::from_bytes(&bytes).expect("an update");
    assert_eq!(received.apply(Some(&before)), Ok(next));
}

#[rstest]
#[case::none(None)]
#[case::an_older(Some(6))]
fn a_node_without_the_version_before_gets_the_whole(#[case] have: Option<u64>) {
    let (_, next, updates) = one_of_two_thousand();
    let update = updates.update_since(have).expect("an update");
    assert_eq!(update.apply(None), Ok(next));
}

#[rstest]
#[case(9)]
#[case(10)]
fn a_node_that_is_current_gets_nothing(#[case] have: u64) {
    assert_eq!(one_of_two_thousand().2.update_since(Some(have)), None);
}

#[test]
fn what_changed_is_refused_on_any_other_version() {
    let (_, _, updates) = one_of_two_thousand();
    let update = updates.update_since(Some(7)).expect("an update");
    let other = Arc::new(published(8, routes(3)));
    assert_eq!(update.apply(None), Err(UpdateError::OtherBase(7)));
    assert_eq!(update.apply(Some(&other)), Err(UpdateError::OtherBase(7)));
}

#[test]
fn a_difference_on_other_content_of_the_same_version_is_refused() {
    let (_, _, updates) = one_of_two_thousand();
    let update = updates.update_since(Some(7)).expect("an update");
    let impostor = Arc::new(published(7, routes(3)));
    let applied = update.apply(Some(&impostor));
    assert_eq!(applied, Err(UpdateError::Malformed));
}

#[test]
fn a_packed_document_of_any_size_is_not_unpacked() {
    // A frame of the packing whose header promises 2^40 bytes.
    let frame: Vec<u8> = [0x28, 0xb5, 0x2f, 0xfd, 0xe0]
        .into_iter()
        .chain((1_u64 << 40).to_le_bytes())
        .chain([1, 0, 0])
        .collect();
    let bytes = postcard::to_stdvec(&frame).expect("an encoding");
    assert!(postcard::from_bytes::<PublishedTraffic>(&bytes).is_err());
}
