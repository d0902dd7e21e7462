//! Detection of machine suspensions from the lead of the boot-time clock.

use rstest::rstest;
use silversail_daemon::clock::{Clock, SuspensionDetector};
use std::time::{Duration, Instant};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn a_suspension_is_detected_once_and_earlier_ones_are_ignored() {
    // The machine was suspended for an hour before this process started.
    let lead_at_start = ms(3_600_000);
    let mut detector = SuspensionDetector::new(lead_at_start);
    assert_eq!(detector.detect(lead_at_start), None);
    assert_eq!(detector.detect(lead_at_start + ms(5_000)), Some(ms(5_000)));
    assert_eq!(detector.detect(lead_at_start + ms(5_000)), None);
    assert_eq!(detector.detect(lead_at_start + ms(7_500)), Some(ms(2_500)));
}

/// The clocks are not read at the same instant, so a small or negative difference is no suspension.
#[rstest]
#[case(1_000, None)]
#[case(1_099, None)]
#[case(1_100, Some(100))]
#[case(0, None)]
fn small_and_negative_lead_changes_are_no_suspension(
    #[case] lead: u64,
    #[case] detected: Option<u64>,
) {
    let mut detector = SuspensionDetector::new(ms(1_000));
    assert_eq!(detector.detect(ms(lead)), detected.map(ms));
}

/// Growth below the minimum is not lost; it counts once the sum reaches the minimum.
#[test]
fn small_lead_increases_add_up() {
    let mut detector = SuspensionDetector::new(ms(0));
    let detected: Duration = (1..=30)
        .filter_map(|step| detector.detect(ms(step * 10)))
        .sum();
    assert_eq!(detected, ms(300));
}

#[test]
fn process_milliseconds_convert_to_unix_time_from_the_start() {
    let start = Instant::now();
    let clock = Clock::at(start, 1_700_000_000_000);
    let later = clock.millis(start + ms(1_500));
    assert_eq!(clock.unix_millis(later), 1_700_000_001_500);
}
