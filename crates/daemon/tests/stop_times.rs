//! Times of the steps of a graceful shutdown.

use rstest::rstest;
use silversail_daemon::stop::StopTimes;
use std::time::Duration;

/// Requests accepted later than this after the stop signal would have to complete whatever their
/// engine does, so none may be accepted.
const MAX_ACCEPTING_DURATION: Duration = Duration::from_secs(3);

#[rstest]
#[case(2_000)]
#[case(8_000)]
#[case(30_000)]
fn a_stop_refuses_requests_in_time_and_ends_before_the_kill(#[case] grace_ms: u64) {
    let grace = Duration::from_millis(grace_ms);
    let times = StopTimes::new(grace);
    assert!(times.refuse_after < MAX_ACCEPTING_DURATION, "{times:?}");
    assert!(times.refuse_after < times.drained_by, "{times:?}");
    // Sending the last responses and transferring leadership takes up to 0.4 s.
    let time_before_kill = grace - times.drained_by;
    assert!(time_before_kill > Duration::from_millis(400), "{times:?}");
    assert!(time_before_kill < grace / 3, "{times:?}");
}
