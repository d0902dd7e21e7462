//! Tests of advertised back-end state: updates, retention and removal.

use rstest::rstest;
use silversail_decisions::DecisionLog;
use silversail_model::{AdvertisedRateLimit, RequestRate};
use silversail_serving::notices::{BackendNotices, ExchangeKind, SelfReportChanges};
use silversail_serving::ports::SelfReport;
use std::time::Duration;

fn notices() -> BackendNotices {
    BackendNotices::new(DecisionLog::disabled())
}

fn backoff(millis: u64) -> SelfReport {
    SelfReport {
        backoff: Some(Duration::from_millis(millis)),
        ..SelfReport::default()
    }
}

fn draining() -> SelfReport {
    SelfReport {
        is_draining: true,
        ..SelfReport::default()
    }
}

#[rstest]
#[case::a_later_end(2_000, 5_500, true)]
#[case::an_earlier_end(500, 4_000, false)]
fn the_rest_that_ends_later_applies(
    #[case] second: u64,
    #[case] until: u64,
    #[case] is_longer: bool,
) {
    let notices = notices();
    notices.record_report("e1", ExchangeKind::Request, &backoff(3_000), 1_000);
    let changes = notices.record_report("e1", ExchangeKind::Batch, &backoff(second), 3_500);
    assert_eq!(changes.is_longer_backoff, is_longer);
    let notice = notices.of("e1");
    assert!(notice.is_in_backoff(until - 1));
    assert!(!notice.is_in_backoff(until));
    assert!(!notices.of("e2").is_in_backoff(1_000));
}

#[test]
fn an_answer_without_state_clears_nothing() {
    let notices = notices();
    notices.record_report("e1", ExchangeKind::Request, &backoff(3_000), 1_000);
    notices.record_report("e1", ExchangeKind::Request, &draining(), 1_000);
    let nothing = SelfReport::default();
    let changes = notices.record_report("e1", ExchangeKind::Request, &nothing, 1_500);
    assert_eq!(changes, SelfReportChanges::default());
    assert!(notices.of("e1").is_in_backoff(3_999));
    assert!(notices.of("e1").is_draining());
    let again = notices.record_report("e1", ExchangeKind::Free, &draining(), 1_600);
    assert!(!again.is_draining, "draining is a change only once");
}

#[test]
fn an_unbounded_rest_does_not_overflow() {
    let notices = notices();
    notices.record_report("e1", ExchangeKind::Request, &backoff(u64::MAX), 1_000);
    let longest = SelfReport {
        backoff: Some(Duration::MAX),
        ..SelfReport::default()
    };
    notices.record_report("e2", ExchangeKind::Request, &longest, 1_000);
    for id in ["e1", "e2"] {
        assert!(notices.of(id).is_in_backoff(u64::MAX - 1), "{id}");
    }
}

#[test]
fn a_fraction_of_a_millisecond_is_rounded_up() {
    let notices = notices();
    let report = SelfReport {
        backoff: Some(Duration::from_micros(1_200)),
        ..SelfReport::default()
    };
    notices.record_report("e1", ExchangeKind::Request, &report, 1_000);
    assert_eq!(notices.of("e1").backoff_until(), 1_002);
}

#[test]
fn state_survives_a_temporary_absence_from_the_list() {
    let notices = notices();
    notices.record_report("e1", ExchangeKind::Request, &draining(), 1_000);
    notices.record_report("e2", ExchangeKind::Request, &backoff(3_000), 1_000);
    notices.of("e3");
    for id in ["e1", "e2", "e3"] {
        notices.mark_unlisted(id, 2_000);
    }
    notices.remove_unlisted(2_000);
    for id in ["e1", "e2", "e3"] {
        notices.mark_listed(id);
    }
    notices.remove_unlisted(3_000);
    assert!(notices.of("e1").is_draining());
    assert!(notices.of("e2").is_in_backoff(3_999));
}

#[test]
fn state_of_unlisted_back_ends_expires() {
    const AFTER_RETENTION: u64 = 3_600_000;
    let notices = notices();
    notices.record_report("e1", ExchangeKind::Request, &draining(), 1_000);
    notices.mark_listed("e1");
    notices.mark_unlisted("e1", 2_000);
    notices.remove_unlisted(AFTER_RETENTION);
    assert!(!notices.of("e1").is_draining());
}

#[test]
fn state_of_never_listed_back_ends_expires() {
    const AFTER_RETENTION: u64 = 3_600_000;
    let notices = notices();
    notices.record_report("e1", ExchangeKind::Request, &draining(), 1_000);
    notices.remove_unlisted(2_000);
    assert!(notices.of("e1").is_draining());
    notices.remove_unlisted(AFTER_RETENTION);
    assert!(!notices.of("e1").is_draining());
}

#[test]
fn a_limit_is_a_change_only_if_it_differs_from_the_last_advertised() {
    let with_limit = |requests| SelfReport {
        limit: AdvertisedRateLimit {
            lowest: RequestRate::per_second(requests),
            is_unreadable: false,
        },
        ..SelfReport::default()
    };
    let notices = notices();
    let changes_limit = |report: &SelfReport| {
        let changes = notices.record_report("e1", ExchangeKind::Request, report, 1_000);
        changes.is_limit_changed
    };
    assert!(changes_limit(&with_limit(1.0)));
    assert!(!changes_limit(&with_limit(1.0)));
    assert!(!changes_limit(&SelfReport::default()));
    assert!(changes_limit(&with_limit(0.5)));
}
