//! Crashes and successes that one node observed itself.

use silversail_model::{ContentDigest, RequestFingerprint};
use silversail_quarantine::{LocalCrashEvidence, QuarantineLimits};

fn fingerprint_of(name: &str) -> RequestFingerprint {
    RequestFingerprint::of(None, &ContentDigest::of(name, b""))
}

fn record_crash(
    evidence: &mut LocalCrashEvidence,
    backend: &str,
    request_names: &[&str],
    now: u64,
) -> usize {
    let fingerprints = request_names.iter().map(|name| fingerprint_of(name));
    evidence.record_crash(backend, fingerprints, now).len()
}

#[test]
fn a_node_refuses_a_request_after_three_crashes_it_observed() {
    let mut evidence = LocalCrashEvidence::new(QuarantineLimits::default());
    for (count, backend) in ["e1", "e1", "e2", "e3"].into_iter().enumerate() {
        assert!(
            !evidence.is_refused(&fingerprint_of("bad")),
            "after {count}"
        );
        assert_eq!(record_crash(&mut evidence, backend, &["bad"], 10), 1);
    }
    assert!(evidence.is_refused(&fingerprint_of("bad")));
    evidence.clear(&fingerprint_of("bad"));
    assert!(!evidence.is_refused(&fingerprint_of("bad")));
}

#[test]
fn a_request_with_a_complete_response_is_not_a_suspect() {
    let mut evidence = LocalCrashEvidence::new(QuarantineLimits::default());
    record_crash(&mut evidence, "e1", &["popular"], 10);
    record_crash(&mut evidence, "e2", &["popular"], 20);
    evidence.record_success(fingerprint_of("popular"));
    assert_eq!(
        record_crash(&mut evidence, "e3", &["popular", "other"], 30),
        1
    );
    assert!(!evidence.is_refused(&fingerprint_of("popular")));
}

#[test]
fn memory_is_bounded_and_old_crashes_expire() {
    let limits = QuarantineLimits::default();
    let mut evidence = LocalCrashEvidence::new(limits);
    record_crash(&mut evidence, "e1", &["bad"], 10);
    record_crash(&mut evidence, "e2", &["bad"], 20);
    for number in 0..10_000 {
        let name = format!("good{number}");
        evidence.record_success(fingerprint_of(&name));
    }
    record_crash(&mut evidence, "e3", &["good0", "good9999"], 30);
    let after_expiry = 21 + limits.suspect_for_ms;
    record_crash(&mut evidence, "e4", &["bad"], after_expiry);
    record_crash(&mut evidence, "e5", &["bad"], after_expiry);
    assert!(!evidence.is_refused(&fingerprint_of("bad")));
}
