//! Who reads the list of back ends at which time, and how many calls that makes.

use rstest::rstest;
use silversail_daemon::gateway::list_reader::{ListKnowledge, ReaderPlace};
use silversail_daemon::session::{ListingLease, NodeState, LISTING_LEASE};
use silversail_daemon::settings::GatewaySettings;
use silversail_model::NodeName;
use silversail_peer::{BackendList, BackendListVersion};
use std::sync::Arc;

const NODES: usize = 300;
const REPLICATING: usize = 6;
/// Pages of the list, and calls a second that its source allows.
const PAGES: usize = 10;
const RATE: f64 = 42.0;

fn names() -> Vec<NodeName> {
    (0..NODES)
        .map(|number| NodeName(format!("n{number}")))
        .collect()
}

fn places() -> Vec<ReaderPlace> {
    let names = names();
    let (replicating, others) = names.split_at(REPLICATING);
    let place = |own| ReaderPlace::of(own, replicating, others.iter());
    names.iter().map(place).collect()
}

fn knowledge(place: ReaderPlace, age: u64) -> ListKnowledge {
    ListKnowledge {
        leads: false,
        age,
        place,
        calls_of_read: PAGES,
        calls_per_second: RATE,
        lease: ListingLease::default(),
    }
}

/// Calls in each second, where each of `places` reads for itself only.
fn calls_each_second(places: &[ReaderPlace], seconds: u64) -> Vec<usize> {
    let mut calls = vec![0; seconds as usize];
    let mut read_at = vec![0; places.len()];
    for now in (0..seconds * 1_000).step_by(100) {
        for (place, read_at) in places.iter().zip(&mut read_at) {
            if knowledge(*place, now - *read_at).reads() {
                calls[(now / 1_000) as usize] += PAGES;
                *read_at = now;
            }
        }
    }
    calls
}

#[test]
fn the_leader_reads_always_and_no_other_while_its_reads_arrive() {
    for place in places() {
        let mut known = knowledge(place, LISTING_LEASE);
        assert!(!known.reads(), "{place:?}");
        known.leads = true;
        assert!(known.reads());
    }
}

#[test]
fn each_node_has_a_place_of_its_own() {
    let mut places: Vec<(bool, usize)> = places()
        .into_iter()
        .map(|place| match place {
            ReaderPlace::Replicating(place) => (true, place),
            ReaderPlace::Other(place) => (false, place),
        })
        .collect();
    places.sort_unstable();
    places.dedup();
    assert_eq!(places.len(), NODES);
}

#[test]
fn a_replicating_node_steps_in_before_all_that_do_not_replicate() {
    let reads_at = |age: u64| {
        places()
            .into_iter()
            .filter(move |place| knowledge(*place, age).reads())
    };
    let first: Vec<ReaderPlace> = reads_at(LISTING_LEASE + 100).collect();
    assert_eq!(first, [ReaderPlace::Replicating(0)]);
    assert!(
        reads_at(LISTING_LEASE + 1_400).all(|place| matches!(place, ReaderPlace::Replicating(_)))
    );
}

/// Before, each of the 294 nodes read every 0.7 to 0.9 s: 3,600 calls a second.
#[rstest]
#[case::started_together(REPLICATING)]
#[case::half_of_them(150)]
fn nodes_that_are_all_cut_off_keep_within_the_rate_together(#[case] first: usize) {
    let calls = calls_each_second(&places()[first..], 120);
    let mean = calls.iter().sum::<usize>() as f64 / calls.len() as f64;
    assert!(mean <= RATE, "{mean} calls a second");
    // The source refuses what comes at once; such pages are asked for again later.
    let most = calls
        .windows(5)
        .map(|five| five.iter().sum::<usize>())
        .max();
    assert!(
        most.unwrap_or_default() as f64 <= 5.0 * RATE * 1.5,
        "{most:?} in five seconds"
    );
}

fn listing(term: u64, sequence: u64, substitute: u64) -> Arc<BackendList> {
    let version = BackendListVersion {
        term,
        sequence,
        fallback: substitute,
    };
    Arc::new(BackendList {
        version,
        entries: Default::default(),
    })
}

#[test]
fn the_leaders_listing_comes_back_after_another_node_read_in_its_place() {
    let mut state = NodeState::default();
    assert!(state.take_listing(listing(3, 7, 0), 1_000));
    let substitute = BackendListVersion::fallback_of(listing(3, 7, 0).version, 99);
    assert!(substitute > listing(3, 7, 0).version);
    assert!(substitute < listing(3, 8, 0).version);
    assert!(state.take_listing(listing(3, 7, substitute.fallback), 4_000));
    // While the substitute is read, an older version does not displace it.
    assert!(!state.take_listing(listing(3, 7, 0), 5_000));
    assert!(state.take_listing(listing(3, 7, 0), 4_001 + LISTING_LEASE));
    assert!(state.take_listing(listing(3, 8, 0), 4_002 + LISTING_LEASE));
}

#[test]
fn two_nodes_that_read_other_entries_give_other_versions() {
    let former = listing(3, 7, 0).version;
    let first = BackendListVersion::fallback_of(former, 1);
    assert_ne!(first, BackendListVersion::fallback_of(former, 2));
    assert!(BackendListVersion::fallback_of(first, 1) > BackendListVersion::fallback_of(former, 2));
}

fn gateway(leaving_bound_ms: u64) -> GatewaySettings {
    let settings = serde_json::json!({
        "callers": "127.0.0.1:1",
        "readiness": "127.0.0.1:2",
        "control": "127.0.0.1:3",
        "entry_points": "127.0.0.1:4",
        "backend_list": "127.0.0.1:5",
        "leaving_bound_ms": leaving_bound_ms,
    });
    serde_json::from_value(settings).expect("complete")
}

/// A read of a long list costs its source hundreds of calls: where back ends that leave may get
/// requests for longer, it is read less often, and nodes rely on it for longer.
#[rstest]
#[case::as_without_the_setting(3_000, 2_000)]
#[case::longer(5_000, 3_333)]
#[case::never_below_two_reads(1_000, 2_000)]
fn reads_are_relied_on_for_part_of_the_time_in_which_leaving_back_ends_get_requests(
    #[case] leaving_bound_ms: u64,
    #[case] lease_ms: u64,
) {
    let settings = gateway(leaving_bound_ms);
    assert_eq!(settings.backend_list_lease(), ListingLease(lease_ms));
    let interval = settings.long_list_interval().as_millis() as u64;
    // With the spread of the interval, the read itself and a heartbeat.
    assert!(interval * 13 / 10 + 300 + 400 <= lease_ms, "{interval} ms");
}

/// The reader dies just before it would have read that a back end leaves.
#[rstest]
fn the_next_reader_steps_in_with_time_to_read_and_spread_the_list(
    #[values(3_000, 4_000, 5_000)] leaving_bound_ms: u64,
) {
    const READ_AND_SPREAD: u64 = 800;
    let lease = gateway(leaving_bound_ms).backend_list_lease();
    let first = ListKnowledge {
        lease,
        ..knowledge(
            ReaderPlace::Replicating(0),
            leaving_bound_ms - READ_AND_SPREAD,
        )
    };
    assert!(first.reads(), "{lease:?}");
}
