//! Which nodes read the backend list at which age, and how many calls that makes.

use rstest::rstest;
use silversail_daemon::gateway::list_reader::{ListReaderInput, ReaderPosition};
use silversail_daemon::session::{BackendListLease, NodeState, DEFAULT_BACKEND_LIST_LEASE};
use silversail_daemon::settings::GatewaySettings;
use silversail_model::NodeName;
use silversail_peer::{BackendList, BackendListVersion};
use std::sync::Arc;

const NODES: usize = 300;
const REPLICATING_NODES: usize = 6;
/// Pages of the list, and calls per second that its source allows.
const PAGE_COUNT: usize = 10;
const CALLS_PER_SECOND: f64 = 42.0;

fn node_names() -> Vec<NodeName> {
    (0..NODES)
        .map(|number| NodeName(format!("n{number}")))
        .collect()
}

fn positions() -> Vec<ReaderPosition> {
    let names = node_names();
    let (replicating, others) = names.split_at(REPLICATING_NODES);
    let position = |own| ReaderPosition::of(own, replicating, others.iter());
    names.iter().map(position).collect()
}

fn reader_input(position: ReaderPosition, age: u64) -> ListReaderInput {
    ListReaderInput {
        is_leader: false,
        age,
        position,
        calls_per_read: PAGE_COUNT,
        calls_per_second: CALLS_PER_SECOND,
        lease: BackendListLease::default(),
    }
}

/// Calls in each second if each node reads only for itself.
fn calls_each_second(positions: &[ReaderPosition], seconds: u64) -> Vec<usize> {
    let mut calls = vec![0; seconds as usize];
    let mut read_at = vec![0; positions.len()];
    for now in (0..seconds * 1_000).step_by(100) {
        for (position, read_at) in positions.iter().zip(&mut read_at) {
            if reader_input(*position, now - *read_at).should_read() {
                calls[(now / 1_000) as usize] += PAGE_COUNT;
                *read_at = now;
            }
        }
    }
    calls
}

#[test]
fn the_leader_always_reads_and_other_nodes_only_without_its_reads() {
    for position in positions() {
        let mut input = reader_input(position, DEFAULT_BACKEND_LIST_LEASE);
        assert!(!input.should_read(), "{position:?}");
        input.is_leader = true;
        assert!(input.should_read());
    }
}

#[test]
fn each_node_has_a_unique_position() {
    let mut positions: Vec<(bool, usize)> = positions()
        .into_iter()
        .map(|position| match position {
            ReaderPosition::Replicating(position) => (true, position),
            ReaderPosition::Other(position) => (false, position),
        })
        .collect();
    positions.sort_unstable();
    positions.dedup();
    assert_eq!(positions.len(), NODES);
}

#[test]
fn replicating_nodes_take_over_before_other_nodes() {
    let reads_at = |age: u64| {
        positions()
            .into_iter()
            .filter(move |position| reader_input(*position, age).should_read())
    };
    let first: Vec<ReaderPosition> = reads_at(DEFAULT_BACKEND_LIST_LEASE + 100).collect();
    assert_eq!(first, [ReaderPosition::Replicating(0)]);
    assert!(reads_at(DEFAULT_BACKEND_LIST_LEASE + 1_400)
        .all(|position| matches!(position, ReaderPosition::Replicating(_))));
}

/// Guards against isolated nodes that together exceed the rate of the list's source.
#[rstest]
#[case::all_that_do_not_replicate(REPLICATING_NODES)]
#[case::half_of_the_nodes(150)]
fn isolated_nodes_together_stay_within_the_call_rate(#[case] first: usize) {
    let calls = calls_each_second(&positions()[first..], 120);
    let mean = calls.iter().sum::<usize>() as f64 / calls.len() as f64;
    assert!(mean <= CALLS_PER_SECOND, "{mean} calls a second");
    // The source refuses bursts; refused pages are retried later.
    let max_calls = calls
        .windows(5)
        .map(|window| window.iter().sum::<usize>())
        .max();
    assert!(
        max_calls.unwrap_or_default() as f64 <= 5.0 * CALLS_PER_SECOND * 1.5,
        "{max_calls:?} in five seconds"
    );
}

fn backend_list(term: u64, sequence: u64, fallback: u64) -> Arc<BackendList> {
    let version = BackendListVersion {
        term,
        sequence,
        fallback,
    };
    Arc::new(BackendList {
        version,
        entries: Default::default(),
    })
}

#[test]
fn the_leaders_list_replaces_a_fallback_after_the_lease() {
    let mut state = NodeState::default();
    assert!(state.apply_backend_list(backend_list(3, 7, 0), 1_000));
    let fallback = BackendListVersion::fallback_of(backend_list(3, 7, 0).version, 99);
    assert!(fallback > backend_list(3, 7, 0).version);
    assert!(fallback < backend_list(3, 8, 0).version);
    assert!(state.apply_backend_list(backend_list(3, 7, fallback.fallback), 4_000));
    // While the fallback is valid, an older version does not replace it.
    assert!(!state.apply_backend_list(backend_list(3, 7, 0), 5_000));
    assert!(state.apply_backend_list(backend_list(3, 7, 0), 4_001 + DEFAULT_BACKEND_LIST_LEASE));
    assert!(state.apply_backend_list(backend_list(3, 8, 0), 4_002 + DEFAULT_BACKEND_LIST_LEASE));
}

#[test]
fn fallbacks_with_different_entries_have_different_versions() {
    let replaced = backend_list(3, 7, 0).version;
    let first = BackendListVersion::fallback_of(replaced, 1);
    assert_ne!(first, BackendListVersion::fallback_of(replaced, 2));
    assert!(
        BackendListVersion::fallback_of(first, 1) > BackendListVersion::fallback_of(replaced, 2)
    );
}

fn gateway_settings(leaving_bound_ms: u64) -> GatewaySettings {
    let settings = serde_json::json!({
        "callers": "127.0.0.1:1",
        "readiness": "127.0.0.1:2",
        "control": "127.0.0.1:3",
        "entry_points": "127.0.0.1:4",
        "backend_list": "127.0.0.1:5",
        "leaving_bound_ms": leaving_bound_ms,
    });
    serde_json::from_value(settings).expect("valid settings")
}

/// If back ends may get requests for longer after they leave, the list is read less often and
/// stays valid for longer.
#[rstest]
#[case::default_setting(3_000, 2_000)]
#[case::longer(5_000, 3_333)]
#[case::at_least_the_minimum_lease(1_000, 2_000)]
fn the_list_lease_is_a_share_of_the_leaving_bound(
    #[case] leaving_bound_ms: u64,
    #[case] lease_ms: u64,
) {
    let settings = gateway_settings(leaving_bound_ms);
    assert_eq!(settings.backend_list_lease(), BackendListLease(lease_ms));
    let interval = settings.long_list_interval().as_millis() as u64;
    // With jitter of the interval, the read itself and a heartbeat.
    assert!(interval * 13 / 10 + 300 + 400 <= lease_ms, "{interval} ms");
}

/// The reader fails just before it would have read that a back end is draining.
#[rstest]
fn the_next_reader_takes_over_in_time_to_distribute_the_list(
    #[values(3_000, 4_000, 5_000)] leaving_bound_ms: u64,
) {
    const READ_AND_DISTRIBUTE_MS: u64 = 800;
    let lease = gateway_settings(leaving_bound_ms).backend_list_lease();
    let input = ListReaderInput {
        lease,
        ..reader_input(
            ReaderPosition::Replicating(0),
            leaving_bound_ms - READ_AND_DISTRIBUTE_MS,
        )
    };
    assert!(input.should_read(), "{lease:?}");
}
