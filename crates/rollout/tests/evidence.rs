//! Evidence and latency histograms: buckets, sums and differences.

use rstest::rstest;
use silversail_rollout::{Evidence, LatencyHistogram, ResponseCounts, RouteEvidence};

fn histogram_of(times_ms: &[u64]) -> LatencyHistogram {
    let mut histogram = LatencyHistogram::default();
    times_ms.iter().for_each(|ms| histogram.record(*ms));
    histogram
}

#[rstest]
#[case(0, 0)]
#[case(1, 0)]
#[case(2, 4)]
#[case(1_000, 39)]
#[case(1_024, 40)]
#[case(u64::MAX, 255)]
fn a_time_is_counted_in_the_bucket_that_contains_it(#[case] ms: u64, #[case] bucket: u8) {
    assert_eq!(histogram_of(&[ms]).buckets.keys().next(), Some(&bucket));
}

#[test]
fn quantiles_are_accurate_to_one_bucket() {
    let histogram = histogram_of(&(1..=1_000).collect::<Vec<_>>());
    for (share, expected_ms) in [(0.25, 250.0), (0.5, 500.0), (0.9, 900.0), (0.99, 990.0)] {
        let quantile_ms = histogram.quantile_ms(share).unwrap();
        assert!(
            (quantile_ms / expected_ms).log2().abs() < 0.25,
            "{share}: {quantile_ms}"
        );
    }
    assert_eq!(LatencyHistogram::default().quantile_ms(0.5), None);
}

#[test]
fn count_above_excludes_buckets_that_are_only_partly_above() {
    let histogram = histogram_of(&[10, 100, 100, 1_000]);
    assert_eq!(histogram.count_above(110.0), 1);
    assert_eq!(histogram.count_above(20.0), 3);
    assert_eq!(histogram.count_above(2_000.0), 0);
}

#[test]
fn since_returns_the_difference_of_two_histograms() {
    let earlier = histogram_of(&[10, 100]);
    let mut later = earlier.clone();
    later.record(100);
    assert_eq!(later.since(&earlier), histogram_of(&[100]));
    assert_eq!(earlier.since(&later), LatencyHistogram::default());
}

fn evidence(step: u32, sent: u64, failed: u64) -> Evidence {
    let response_counts = ResponseCounts {
        sent,
        failed,
        succeeded: sent - failed,
        response_time: histogram_of(&[10]),
        ..ResponseCounts::default()
    };
    let route = RouteEvidence {
        baseline: response_counts.clone(),
        candidate: response_counts,
    };
    Evidence {
        rollout: 1,
        step,
        baseline_in_flight: sent,
        routes: [("route".to_owned(), route)].into(),
    }
}

#[test]
fn merged_evidence_has_the_lowest_step_and_the_sum_of_counts() {
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
fn decreased_counts_give_a_difference_of_zero() {
    let since = evidence(1, 10, 1).since(&evidence(1, 50, 20));
    assert_eq!(since.total_sent(), 0);
    assert_eq!(since.candidate_completed(), 0);
}
