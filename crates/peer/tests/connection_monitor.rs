//! Conditions under which the connection to a peer is replaced.

use rstest::rstest;
use silversail_peer::connection_monitor::ConnectionMonitor;
use std::time::{Duration, Instant};

fn at(start: Instant, milliseconds: u64) -> Instant {
    start + Duration::from_millis(milliseconds)
}

/// Monitor of a peer that answers each message immediately, until 1,000 ms.
fn monitor_of_responsive_peer(start: Instant) -> ConnectionMonitor {
    let mut monitor = ConnectionMonitor::default();
    monitor.record_dial(start);
    for time in (0..=1_000).step_by(100) {
        monitor.record_send(at(start, time));
        assert!(!monitor.record_message(7, true, at(start, time + 1)));
    }
    monitor
}

#[rstest]
#[case::a_short_pause(1_500, false)]
#[case::a_partition(4_000, true)]
fn a_connection_is_replaced_when_an_unresponsive_peer_returns(
    #[case] returned_at: u64,
    #[case] expected: bool,
) {
    let start = Instant::now();
    let mut monitor = monitor_of_responsive_peer(start);
    monitor.record_send(at(start, 1_100));
    monitor.record_send(at(start, 1_400));
    assert_eq!(
        monitor.record_message(7, true, at(start, returned_at)),
        expected
    );
    // The replacement is not replaced again.
    monitor.record_dial(at(start, returned_at));
    assert!(!monitor.record_message(7, true, at(start, returned_at + 1)));
}

#[test]
fn an_idle_peer_without_unanswered_messages_keeps_its_connection() {
    let start = Instant::now();
    let mut monitor = monitor_of_responsive_peer(start);
    assert!(!monitor.record_message(7, true, at(start, 9_000)));
}

#[test]
fn a_connection_is_replaced_for_a_restarted_peer_but_not_for_late_messages_of_the_old_process() {
    let start = Instant::now();
    let mut monitor = monitor_of_responsive_peer(start);
    assert!(monitor.record_message(8, true, at(start, 1_100)));
    assert!(!monitor.record_message(7, true, at(start, 1_101)));
    assert!(!monitor.record_message(8, true, at(start, 1_102)));
}

#[rstest]
#[case::within_the_timeout(50, false, false)]
#[case::the_first_packet_was_lost(300, false, true)]
#[case::connected(300, true, false)]
fn a_connection_attempt_past_its_timeout_is_repeated_when_the_peer_is_reachable(
    #[case] age: u64,
    #[case] is_connected: bool,
    #[case] expected: bool,
) {
    let start = Instant::now();
    let mut monitor = ConnectionMonitor::default();
    monitor.record_dial(start);
    assert_eq!(
        monitor.record_message(7, is_connected, at(start, age)),
        expected
    );
}

#[test]
fn a_peer_without_a_connection_needs_no_replacement() {
    let mut monitor = ConnectionMonitor::default();
    assert!(!monitor.record_message(7, false, Instant::now()));
}
