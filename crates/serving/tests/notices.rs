//! What back ends said of themselves: what is kept, for how long, and what takes it back.

use rstest::rstest;
use silversail_decisions::DecisionLog;
use silversail_model::{NamedLimit, RequestRate};
use silversail_serving::notices::{BackendNotices, ExchangeKind, SelfReportChanges};
use silversail_serving::ports::SelfReport;
use std::time::Duration;

fn notices() -> BackendNotices {
    BackendNotices::new(DecisionLog::off())
}

fn rest(millis: u64) -> SelfReport {
    SelfReport {
        rest: Some(Duration::from_millis(millis)),
        ..SelfReport::default()
    }
}

fn leaving() -> SelfReport {
    SelfReport {
        is_leaving: true,
        ..SelfReport::default()
    }
}

#[rstest]
#[case::a_later_end(2_000, 5_500, true)]
#[case::an_earlier_end(500, 4_000, false)]
fn of_two_rests_the_later_end_holds(
    #[case] second: u64,
    #[case] until: u64,
    #[case] is_longer: bool,
) {
    let notices = notices();
    notices.record_report("e1", ExchangeKind::Request, &rest(3_000), 1_000);
    let news = notices.record_report("e1", ExchangeKind::Batch, &rest(second), 3_500);
    assert_eq!(news.is_longer_rest, is_longer);
    let notice = notices.of("e1");
    assert!(notice.is_resting(until - 1));
    assert!(!notice.is_resting(until));
    assert!(!notices.of("e2").is_resting(1_000));
}

#[test]
fn an_answer_that_says_nothing_takes_nothing_back() {
    let notices = notices();
    notices.record_report("e1", ExchangeKind::Request, &rest(3_000), 1_000);
    notices.record_report("e1", ExchangeKind::Request, &leaving(), 1_000);
    let nothing = SelfReport::default();
    let news = notices.record_report("e1", ExchangeKind::Request, &nothing, 1_500);
    assert_eq!(news, SelfReportChanges::default());
    assert!(notices.of("e1").is_resting(3_999));
    assert!(notices.of("e1").is_leaving());
    let again = notices.record_report("e1", ExchangeKind::Free, &leaving(), 1_600);
    assert!(!again.is_leaving, "told once");
}

#[test]
fn a_rest_without_end_does_not_overflow() {
    let notices = notices();
    notices.record_report("e1", ExchangeKind::Request, &rest(u64::MAX), 1_000);
    let longest = SelfReport {
        rest: Some(Duration::MAX),
        ..SelfReport::default()
    };
    notices.record_report("e2", ExchangeKind::Request, &longest, 1_000);
    for id in ["e1", "e2"] {
        assert!(notices.of(id).is_resting(u64::MAX - 1), "{id}");
    }
}

#[test]
fn a_part_of_a_millisecond_is_rounded_up() {
    let notices = notices();
    let said = SelfReport {
        rest: Some(Duration::from_micros(1_200)),
        ..SelfReport::default()
    };
    notices.record_report("e1", ExchangeKind::Request, &said, 1_000);
    assert_eq!(notices.of("e1").rest_until(), 1_002);
}

#[test]
fn lists_that_lack_a_back_end_for_a_while_make_nothing_forgotten() {
    let notices = notices();
    notices.record_report("e1", ExchangeKind::Request, &leaving(), 1_000);
    notices.record_report("e2", ExchangeKind::Request, &rest(3_000), 1_000);
    notices.of("e3");
    for id in ["e1", "e2", "e3"] {
        notices.unlisted(id, 2_000);
    }
    notices.forget_unlisted(2_000);
    for id in ["e1", "e2", "e3"] {
        notices.listed(id);
    }
    notices.forget_unlisted(3_000);
    assert!(notices.of("e1").is_leaving());
    assert!(notices.of("e2").is_resting(3_999));
}

#[test]
fn what_long_gone_back_ends_said_is_forgotten() {
    const LONG: u64 = 3_600_000;
    let notices = notices();
    notices.record_report("e1", ExchangeKind::Request, &leaving(), 1_000);
    notices.listed("e1");
    notices.unlisted("e1", 2_000);
    notices.forget_unlisted(LONG);
    assert!(!notices.of("e1").is_leaving());
}

#[test]
fn what_back_ends_said_that_no_list_named_is_forgotten_in_time_too() {
    const LONG: u64 = 3_600_000;
    let notices = notices();
    notices.record_report("e1", ExchangeKind::Request, &leaving(), 1_000);
    notices.forget_unlisted(2_000);
    assert!(notices.of("e1").is_leaving());
    notices.forget_unlisted(LONG);
    assert!(!notices.of("e1").is_leaving());
}

#[test]
fn a_limit_is_news_where_it_is_another_than_the_one_named_before() {
    let named = |requests| SelfReport {
        limit: NamedLimit {
            lowest: RequestRate::per_second(requests),
            is_unreadable: false,
        },
        ..SelfReport::default()
    };
    let notices = notices();
    let hear = |said: &SelfReport| {
        let news = notices.record_report("e1", ExchangeKind::Request, said, 1_000);
        news.is_other_limit
    };
    assert!(hear(&named(1.0)));
    assert!(!hear(&named(1.0)));
    assert!(!hear(&SelfReport::default()));
    assert!(hear(&named(0.5)));
}
