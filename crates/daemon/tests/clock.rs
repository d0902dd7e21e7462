//! Suspensions of the machine, by the lead of the clock that counts them.

use rstest::rstest;
use silversail_daemon::clock::{Clock, SuspensionDetector};
use std::time::{Duration, Instant};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn a_suspension_is_counted_once_and_what_was_before_the_start_is_not() {
    // The machine was suspended for an hour before this process started.
    let before = ms(3_600_000);
    let mut detector = SuspensionDetector::new(before);
    assert_eq!(detector.detect(before), None);
    assert_eq!(detector.detect(before + ms(5_000)), Some(ms(5_000)));
    assert_eq!(detector.detect(before + ms(5_000)), None);
    assert_eq!(detector.detect(before + ms(7_500)), Some(ms(2_500)));
}

/// The clocks are read one after the other; a step of one of them back counts nothing.
#[rstest]
#[case(1_000, None)]
#[case(1_099, None)]
#[case(1_100, Some(100))]
#[case(0, None)]
fn small_and_negative_leads_are_no_suspension(#[case] lead: u64, #[case] counted: Option<u64>) {
    let mut detector = SuspensionDetector::new(ms(1_000));
    assert_eq!(detector.detect(ms(lead)), counted.map(ms));
}

/// Many small leads in a row are not lost: what was not counted yet stays in the lead.
#[test]
fn small_leads_add_up() {
    let mut detector = SuspensionDetector::new(ms(0));
    let counted: Duration = (1..=30)
        .filter_map(|step| detector.detect(ms(step * 10)))
        .sum();
    assert_eq!(counted, ms(300));
}

#[test]
fn the_time_of_day_follows_the_count_from_the_start_on() {
    let start = Instant::now();
    let clock = Clock::at(start, 1_700_000_000_000);
    let later = clock.millis(start + ms(1_500));
    assert_eq!(clock.unix_millis(later), 1_700_000_001_500);
}
