//! What one node saw itself.

use silversail_model::{ContentDigest, RequestFingerprint};
use silversail_quarantine::{LocalCrashEvidence, QuarantineLimits};

fn request(name: &str) -> RequestFingerprint {
    RequestFingerprint::of(None, &ContentDigest::of(name, b""))
}

fn crash(evidence: &mut LocalCrashEvidence, backend: &str, names: &[&str], now: u64) -> usize {
    let fingerprints = names.iter().map(|name| request(name));
    evidence.record_crash(backend, fingerprints, now).len()
}

#[test]
fn three_crashes_at_one_node_are_enough_there() {
    let mut evidence = LocalCrashEvidence::new(QuarantineLimits::default());
    for (count, backend) in ["e1", "e1", "e2", "e3"].into_iter().enumerate() {
        assert!(!evidence.is_refused(&request("bad")), "after {count}");
        assert_eq!(crash(&mut evidence, backend, &["bad"], 10), 1);
    }
    assert!(evidence.is_refused(&request("bad")));
    evidence.clear(&request("bad"));
    assert!(!evidence.is_refused(&request("bad")));
}

#[test]
fn a_request_that_got_a_whole_answer_is_no_suspect() {
    let mut evidence = LocalCrashEvidence::new(QuarantineLimits::default());
    crash(&mut evidence, "e1", &["popular"], 10);
    crash(&mut evidence, "e2", &["popular"], 20);
    evidence.record_success(request("popular"));
    assert_eq!(crash(&mut evidence, "e3", &["popular", "other"], 30), 1);
    assert!(!evidence.is_refused(&request("popular")));
}

#[test]
fn memory_is_bounded_and_old_crashes_are_forgotten() {
    let limits = QuarantineLimits::default();
    let mut evidence = LocalCrashEvidence::new(limits);
    crash(&mut evidence, "e1", &["bad"], 10);
    crash(&mut evidence, "e2", &["bad"], 20);
    for number in 0..10_000 {
        let name = format!("good{number}");
        evidence.record_success(request(&name));
    }
    crash(&mut evidence, "e3", &["good0", "good9999"], 30);
    let later = 21 + limits.suspect_for_ms;
    crash(&mut evidence, "e4", &["bad"], later);
    crash(&mut evidence, "e5", &["bad"], later);
    assert!(!evidence.is_refused(&request("bad")));
}
