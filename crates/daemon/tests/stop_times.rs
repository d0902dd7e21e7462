//! When the steps of a planned stop come.

use rstest::rstest;
use silversail_daemon::stop::StopTimes;
use std::time::Duration;

/// Requests taken later than this after the order to stop must end whatever their
/// engine does, so none may be taken.
const LATEST_TAKING: Duration = Duration::from_secs(3);

#[rstest]
#[case(2_000)]
#[case(8_000)]
#[case(30_000)]
fn a_stop_refuses_in_time_and_leaves_before_the_kill(#[case] grace_ms: u64) {
    let grace = Duration::from_millis(grace_ms);
    let times = StopTimes::new(grace);
    assert!(times.refuse_after < LATEST_TAKING, "{times:?}");
    assert!(times.refuse_after < times.drained_by, "{times:?}");
    // The last answers and the handed-over leadership take 0.4 s to leave.
    let left = grace - times.drained_by;
    assert!(left > Duration::from_millis(400), "{times:?}");
    assert!(left < grace / 3, "{times:?}");
}
