//! When a connection to a peer is given up for a new one.

use rstest::rstest;
use silversail_peer::connection_monitor::ConnectionMonitor;
use std::time::{Duration, Instant};

fn at(start: Instant, milliseconds: u64) -> Instant {
    start + Duration::from_millis(milliseconds)
}

/// A connection to a peer that answers each message at once, until 1,000 ms.
fn answered(start: Instant) -> ConnectionMonitor {
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
#[case::a_cut(4_000, true)]
fn a_connection_is_renewed_after_a_peer_that_owed_an_answer_was_away(
    #[case] back_at: u64,
    #[case] expected: bool,
) {
    let start = Instant::now();
    let mut monitor = answered(start);
    monitor.record_send(at(start, 1_100));
    monitor.record_send(at(start, 1_400));
    assert_eq!(
        monitor.record_message(7, true, at(start, back_at)),
        expected
    );
    // Once is enough.
    monitor.record_dial(at(start, back_at));
    assert!(!monitor.record_message(7, true, at(start, back_at + 1)));
}

#[test]
fn a_peer_that_was_quiet_because_nothing_was_asked_keeps_its_connection() {
    let start = Instant::now();
    let mut monitor = answered(start);
    assert!(!monitor.record_message(7, true, at(start, 9_000)));
}

#[test]
fn a_connection_is_renewed_when_the_peer_has_a_new_process_and_not_for_late_messages_of_the_old() {
    let start = Instant::now();
    let mut monitor = answered(start);
    assert!(monitor.record_message(8, true, at(start, 1_100)));
    assert!(!monitor.record_message(7, true, at(start, 1_101)));
    assert!(!monitor.record_message(8, true, at(start, 1_102)));
}

#[rstest]
#[case::just_begun(50, false, false)]
#[case::the_first_packet_was_lost(300, false, true)]
#[case::up(300, true, false)]
fn a_connection_that_hangs_while_the_peer_speaks_is_begun_anew(
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
fn without_a_connection_there_is_nothing_to_renew() {
    let mut monitor = ConnectionMonitor::default();
    assert!(!monitor.record_message(7, false, Instant::now()));
}
