//! The replicated state of the quarantine.

use silversail_model::{ContentDigest, RequestFingerprint};
use silversail_quarantine::{
    CrashRecord, Quarantine, QuarantineCommand, QuarantineLimits, QuarantineReply,
};

const LIMITS: QuarantineLimits = QuarantineLimits {
    crashes: 3,
    suspect_for_ms: 60_000,
    refuse_for_ms: 100_000,
    most_suspects: 4,
    most_refused: 4,
};

fn fingerprint_of(name: &str) -> RequestFingerprint {
    RequestFingerprint::of(None, &ContentDigest::of(name, b""))
}

fn record_crash(quarantine: &mut Quarantine, backend: &str, at_ms: u64, requests: &[&str]) {
    let record = CrashRecord {
        backend: backend.to_owned(),
        at_ms,
        fingerprints: requests.iter().map(|name| fingerprint_of(name)).collect(),
    };
    quarantine.apply(QuarantineCommand::RecordCrashes {
        crashes: vec![record],
        limits: LIMITS,
    });
}

fn record_success(quarantine: &mut Quarantine, name: &str) -> QuarantineReply {
    quarantine.apply(QuarantineCommand::RecordSuccesses {
        fingerprints: vec![fingerprint_of(name)],
        limits: LIMITS,
    })
}

fn is_refused(quarantine: &Quarantine, name: &str) -> bool {
    quarantine.list().refused.contains(&fingerprint_of(name))
}

fn is_watched(quarantine: &Quarantine, name: &str) -> bool {
    quarantine.list().watched.contains(&fingerprint_of(name))
}

#[test]
fn a_request_is_refused_after_three_crashes_and_not_after_one() {
    let mut quarantine = Quarantine::default();
    record_crash(&mut quarantine, "e1", 10_000, &["bad", "a", "b"]);
    assert_eq!(quarantine.list().revision, 0);
    record_crash(&mut quarantine, "e2", 20_000, &["bad", "c"]);
    assert!(is_watched(&quarantine, "bad") && !is_refused(&quarantine, "bad"));
    record_crash(&mut quarantine, "e3", 30_000, &["bad", "a"]);
    assert!(is_refused(&quarantine, "bad"));
    assert!(is_watched(&quarantine, "a") && !is_refused(&quarantine, "a"));
    let refused_request = &quarantine.refused()[&fingerprint_of("bad")];
    let backends: Vec<&str> = refused_request
        .crashes
        .iter()
        .map(|crash| &*crash.backend)
        .collect();
    assert_eq!(backends, ["e1", "e2", "e3"]);
}

#[test]
fn a_crash_that_is_reported_repeatedly_counts_once() {
    let mut quarantine = Quarantine::default();
    for report in 0..5 {
        record_crash(&mut quarantine, "e1", 10_000 + report * 400, &["bad"]);
    }
    assert!(!is_watched(&quarantine, "bad"));
    // A later report of the same crash adds a request.
    record_crash(&mut quarantine, "e1", 10_100, &["late"]);
    record_crash(&mut quarantine, "e2", 20_000, &["late"]);
    assert!(is_watched(&quarantine, "late"));
    // The back end has restarted under the same name and crashes again.
    record_crash(&mut quarantine, "e1", 15_000, &["bad"]);
    assert!(is_watched(&quarantine, "bad"));
}

#[test]
fn a_crash_explained_by_a_refused_request_does_not_count_against_others() {
    let mut quarantine = Quarantine::default();
    for crash_number in 1..=3 {
        record_crash(
            &mut quarantine,
            &format!("e{crash_number}"),
            crash_number * 10_000,
            &["bad"],
        );
    }
    // The request was in flight at three more back ends when it was refused.
    for crash_number in 4..=6 {
        record_crash(
            &mut quarantine,
            &format!("e{crash_number}"),
            crash_number * 10_000,
            &["bad", "a"],
        );
        record_crash(
            &mut quarantine,
            &format!("e{crash_number}"),
            crash_number * 10_000,
            &["a"],
        );
    }
    assert!(!is_watched(&quarantine, "a") && !is_refused(&quarantine, "a"));
    let until = quarantine.refused()[&fingerprint_of("bad")].until_ms;
    assert_eq!(until, 60_000 + LIMITS.refuse_for_ms);
}

#[test]
fn a_complete_response_clears_a_suspect_and_releases_a_refused_request() {
    let mut quarantine = Quarantine::default();
    record_crash(&mut quarantine, "e1", 10_000, &["good"]);
    record_crash(&mut quarantine, "e2", 20_000, &["good"]);
    record_success(&mut quarantine, "good");
    record_crash(&mut quarantine, "e3", 30_000, &["good"]);
    assert!(!is_watched(&quarantine, "good"));
    record_crash(&mut quarantine, "e4", 40_000, &["good"]);
    record_crash(&mut quarantine, "e5", 50_000, &["good"]);
    assert!(is_refused(&quarantine, "good"));
    // An attempt from before the refusal completes.
    let reply = record_success(&mut quarantine, "good");
    let released = vec![fingerprint_of("good")];
    assert_eq!(
        reply,
        QuarantineReply::Applied {
            refused: Vec::new(),
            released
        }
    );
    assert!(!is_refused(&quarantine, "good"));
}

#[test]
fn lifting_a_refusal_succeeds_once() {
    let mut quarantine = Quarantine::default();
    for crash_number in 1..=3 {
        record_crash(
            &mut quarantine,
            &format!("e{crash_number}"),
            crash_number * 10_000,
            &["bad"],
        );
    }
    let revision = quarantine.list().revision;
    let lift_command = || QuarantineCommand::Lift {
        fingerprint: fingerprint_of("bad"),
    };
    assert!(matches!(
        quarantine.apply(lift_command()),
        QuarantineReply::Applied { .. }
    ));
    assert!(!is_refused(&quarantine, "bad"));
    assert_eq!(quarantine.list().revision, revision + 1);
    assert_eq!(
        quarantine.apply(lift_command()),
        QuarantineReply::NotRefused
    );
}

#[test]
fn suspects_and_refusals_expire_and_one_more_crash_renews_a_refusal() {
    let mut quarantine = Quarantine::default();
    record_crash(&mut quarantine, "e1", 10_000, &["slow"]);
    for crash_number in 1..=3 {
        record_crash(
            &mut quarantine,
            &format!("f{crash_number}"),
            crash_number * 10_000,
            &["bad"],
        );
    }
    assert!(!quarantine.needs_expiry(69_999, &LIMITS) && quarantine.needs_expiry(70_000, &LIMITS));
    let expire = |now_ms| QuarantineCommand::Expire {
        now_ms,
        limits: LIMITS,
    };
    quarantine.apply(expire(70_000));
    assert_eq!(quarantine.suspect_count(), 0);
    assert!(is_refused(&quarantine, "bad"));
    quarantine.apply(expire(130_000));
    assert!(!is_refused(&quarantine, "bad") && is_watched(&quarantine, "bad"));
    record_crash(&mut quarantine, "f4", 140_000, &["bad"]);
    assert!(is_refused(&quarantine, "bad"));
}

#[test]
fn many_suspects_displace_neither_refused_requests_nor_suspects_with_more_crashes() {
    let mut quarantine = Quarantine::default();
    for crash_number in 1..=3 {
        record_crash(
            &mut quarantine,
            &format!("e{crash_number}"),
            crash_number * 1_000,
            &["bad"],
        );
    }
    record_crash(&mut quarantine, "e4", 5_000, &["repeated"]);
    record_crash(&mut quarantine, "e5", 9_000, &["repeated"]);
    for number in 0..50 {
        let name = format!("flood{number}");
        record_crash(&mut quarantine, &name, 20_000 + number, &[&name]);
    }
    assert_eq!(quarantine.suspect_count(), LIMITS.most_suspects);
    assert!(is_refused(&quarantine, "bad") && is_watched(&quarantine, "repeated"));
    // Beyond the limit, the refusal that expires first is dropped first.
    for name in ["bad2", "bad3", "bad4", "bad5"] {
        for crash_number in 1..=3 {
            let backend = format!("{name}-{crash_number}");
            record_crash(
                &mut quarantine,
                &backend,
                30_000 + crash_number * 10,
                &[name],
            );
        }
    }
    assert_eq!(quarantine.refused().len(), LIMITS.most_refused);
    assert!(!is_refused(&quarantine, "bad") && is_refused(&quarantine, "bad5"));
}

/// Three requests crash back ends; a popular one was in flight at one crash of each.
#[test]
fn a_request_refused_for_crashes_of_others_is_released_after_a_quiet_period() {
    let mut quarantine = Quarantine::default();
    for (number, bad) in ["bad1", "bad2", "bad3"].into_iter().enumerate() {
        let at_ms = 1_000 + number as u64 * 100;
        record_crash(
            &mut quarantine,
            &format!("{bad}-1"),
            at_ms,
            &[bad, "popular"],
        );
    }
    assert!(is_refused(&quarantine, "popular"));
    for (number, bad) in ["bad1", "bad2", "bad3"].into_iter().enumerate() {
        for occurrence in 2..=3 {
            let at_ms = occurrence * 1_000 + number as u64 * 100;
            record_crash(
                &mut quarantine,
                &format!("{bad}-{occurrence}"),
                at_ms,
                &[bad],
            );
        }
    }
    let expire = |now_ms| QuarantineCommand::Expire {
        now_ms,
        limits: LIMITS,
    };
    quarantine.apply(expire(13_000));
    assert!(!quarantine.needs_expiry(13_000, &LIMITS));
    quarantine.apply(expire(13_300));
    assert!(!is_refused(&quarantine, "popular") && is_watched(&quarantine, "popular"));
    assert!(is_refused(&quarantine, "bad3"));
}
