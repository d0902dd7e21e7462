//! Large updates are not repeated while they may be in transit to a node.

use silversail_daemon::session::large_updates::{LargeUpdateTracker, UpdateKind};

const LARGE_BYTES: usize = 100_000;
const SMALL_BYTES: usize = 1_000;

#[test]
fn a_large_update_is_repeated_only_after_the_transfer_window() {
    let mut tracker = LargeUpdateTracker::default();
    tracker.record_incarnation(7);
    assert!(tracker.try_start_send(UpdateKind::BackendList, LARGE_BYTES, 1_000));
    assert!(!tracker.try_start_send(UpdateKind::BackendList, LARGE_BYTES, 1_100));
    assert!(!tracker.try_start_send(UpdateKind::BackendList, LARGE_BYTES, 2_400));
    assert!(tracker.try_start_send(UpdateKind::BackendList, LARGE_BYTES, 2_500));
}

#[test]
fn small_updates_and_other_kinds_are_sent_at_once() {
    let mut tracker = LargeUpdateTracker::default();
    tracker.record_incarnation(7);
    assert!(tracker.try_start_send(UpdateKind::BackendList, LARGE_BYTES, 1_000));
    assert!(tracker.try_start_send(UpdateKind::BackendList, SMALL_BYTES, 1_001));
    assert!(tracker.try_start_send(UpdateKind::View, LARGE_BYTES, 1_002));
}

/// Updates in transit to the former process are lost.
#[test]
fn a_new_process_gets_a_large_update_at_once() {
    let mut tracker = LargeUpdateTracker::default();
    tracker.record_incarnation(7);
    assert!(tracker.try_start_send(UpdateKind::View, LARGE_BYTES, 1_000));
    tracker.record_incarnation(8);
    assert!(tracker.try_start_send(UpdateKind::View, LARGE_BYTES, 1_100));
    tracker.record_incarnation(8);
    assert!(!tracker.try_start_send(UpdateKind::View, LARGE_BYTES, 1_200));
}
