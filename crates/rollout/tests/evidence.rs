//! Counts of answers: buckets of times, sums, differences.

use rstest::rstest;
use silversail_rollout::{Evidence, LatencyHistogram, ResponseCounts, RouteEvidence};

fn times(each: &[u64]) -> LatencyHistogram {
    let mut counts = LatencyHistogram::default();
    each.iter().for_each(|ms| counts.record(*ms));
    counts
}

#[rstest]
#[case(0, 0)]
#[case(1, 0)]
#[case(2, 4)]
#[case(1_000, 39)]
#[case(1_024, 40)]
#[case(u64::MAX, 255)]
fn a_time_is_in_the_bucket_below_whose_bound_it_lies(#[case] ms: u64, #[case] bucket: u8) {
    assert_eq!(times(&[ms]).buckets.keys().next(), Some(&bucket));
}

#[test]
fn quantiles_are_exact_to_a_bucket() {
    let counts = times(&(1..=1_000).collect::<Vec<_>>());
    for (share, wanted) in [(0.25, 250.0), (0.5, 500.0), (0.9, 900.0), (0.99, 990.0)] {
        let found = counts.quantile_ms(share).unwrap();
        assert!((found / wanted).log2().abs() < 0.25, "{share}: {found}");
    }
    assert_eq!(LatencyHistogram::default().quantile_ms(0.5), None);
}

#[test]
fn above_counts_only_what_is_surely_above() {
    let counts = times(&[10, 100, 100, 1_000]);
    assert_eq!(counts.count_above(110.0), 1);
    assert_eq!(counts.count_above(20.0), 3);
    assert_eq!(counts.count_above(2_000.0), 0);
}

#[test]
fn a_later_count_less_an_earlier_one_is_what_came_between() {
    let earlier = times(&[10, 100]);
    let mut later = earlier.clone();
    later.record(100);
    assert_eq!(later.since(&earlier), times(&[100]));
    assert_eq!(earlier.since(&later), LatencyHistogram::default());
}

fn evidence(step: u32, sent: u64, bad: u64) -> Evidence {
    let answers = ResponseCounts {
        sent,
        failed: bad,
        succeeded: sent - bad,
        response_time: times(&[10]),
        ..ResponseCounts::default()
    };
    let route = RouteEvidence {
        baseline: answers.clone(),
        candidate: answers,
    };
    Evidence {
        rollout: 1,
        step,
        baseline_in_flight: sent,
        routes: [("route".to_owned(), route)].into(),
    }
}

#[test]
fn a_sum_has_the_lowest_step_and_all_counts() {
    let mut sum = evidence(5, 10, 1);
    sum.merge(&evidence(3, 20, 2));
    sum.merge(&Evidence {
        step: 4,
        ..Evidence::default()
    });
    assert_eq!((sum.step, sum.baseline_in_flight), (3, 30));
    let candidate = &sum.routes["route"].candidate;
    assert_eq!(
        (candidate.sent, candidate.succeeded, candidate.failed),
        (30, 27, 3)
    );
    assert_eq!(candidate.response_time.count(), 2);
    assert_eq!(sum.total_sent(), 60);
}

#[test]
fn counts_that_fell_with_a_process_give_nothing_rather_than_less() {
    let since = evidence(1, 10, 1).since(&evidence(1, 50, 20));
    assert_eq!(since.total_sent(), 0);
    assert_eq!(since.candidate_completed(), 0);
}
