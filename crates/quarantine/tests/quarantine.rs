//! The replicated judgement.

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

fn request(name: &str) -> RequestFingerprint {
    RequestFingerprint::of(None, &ContentDigest::of(name, b""))
}

fn crash(quarantine: &mut Quarantine, backend: &str, at_ms: u64, requests: &[&str]) {
    let record = CrashRecord {
        backend: backend.to_owned(),
        at_ms,
        fingerprints: requests.iter().map(|name| request(name)).collect(),
    };
    quarantine.apply(QuarantineCommand::RecordCrashes {
        crashes: vec![record],
        limits: LIMITS,
    });
}

fn ended_well(quarantine: &mut Quarantine, name: &str) -> QuarantineReply {
    quarantine.apply(QuarantineCommand::RecordSuccesses {
        fingerprints: vec![request(name)],
        limits: LIMITS,
    })
}

fn is_refused(quarantine: &Quarantine, name: &str) -> bool {
    quarantine.list().refused.contains(&request(name))
}

fn is_watched(quarantine: &Quarantine, name: &str) -> bool {
    quarantine.list().watched.contains(&request(name))
}

#[test]
fn the_suspect_of_three_crashes_is_refused_and_those_of_one_are_not() {
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, "e1", 10_000, &["bad", "a", "b"]);
    assert_eq!(quarantine.list().revision, 0);
    crash(&mut quarantine, "e2", 20_000, &["bad", "c"]);
    assert!(is_watched(&quarantine, "bad") && !is_refused(&quarantine, "bad"));
    crash(&mut quarantine, "e3", 30_000, &["bad", "a"]);
    assert!(is_refused(&quarantine, "bad"));
    assert!(is_watched(&quarantine, "a") && !is_refused(&quarantine, "a"));
    let verdict = &quarantine.refused()[&request("bad")];
    let backends: Vec<&str> = verdict.crashes.iter().map(|one| &*one.backend).collect();
    assert_eq!(backends, ["e1", "e2", "e3"]);
}

#[test]
fn a_crash_that_is_told_again_counts_once() {
    let mut quarantine = Quarantine::default();
    for told in 0..5 {
        crash(&mut quarantine, "e1", 10_000 + told * 400, &["bad"]);
    }
    assert!(!is_watched(&quarantine, "bad"));
    // More of its requests are heard of.
    crash(&mut quarantine, "e1", 10_100, &["late"]);
    crash(&mut quarantine, "e2", 20_000, &["late"]);
    assert!(is_watched(&quarantine, "late"));
    // The back end is back under its name, and ends again.
    crash(&mut quarantine, "e1", 15_000, &["bad"]);
    assert!(is_watched(&quarantine, "bad"));
}

#[test]
fn a_crash_under_a_refused_request_says_nothing_against_others() {
    let mut quarantine = Quarantine::default();
    for at in 1..=3 {
        crash(&mut quarantine, &format!("e{at}"), at * 10_000, &["bad"]);
    }
    // It was under way at three more when the verdict came.
    for at in 4..=6 {
        crash(
            &mut quarantine,
            &format!("e{at}"),
            at * 10_000,
            &["bad", "a"],
        );
        crash(&mut quarantine, &format!("e{at}"), at * 10_000, &["a"]);
    }
    assert!(!is_watched(&quarantine, "a") && !is_refused(&quarantine, "a"));
    let until = quarantine.refused()[&request("bad")].until_ms;
    assert_eq!(until, 60_000 + LIMITS.refuse_for_ms);
}

#[test]
fn a_whole_answer_clears_a_suspect_and_releases_a_refused_request() {
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, "e1", 10_000, &["good"]);
    crash(&mut quarantine, "e2", 20_000, &["good"]);
    ended_well(&mut quarantine, "good");
    crash(&mut quarantine, "e3", 30_000, &["good"]);
    assert!(!is_watched(&quarantine, "good"));
    crash(&mut quarantine, "e4", 40_000, &["good"]);
    crash(&mut quarantine, "e5", 50_000, &["good"]);
    assert!(is_refused(&quarantine, "good"));
    // Its last attempt was under way all the time.
    let reply = ended_well(&mut quarantine, "good");
    let released = vec![request("good")];
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
fn an_operator_lifts_a_verdict_once() {
    let mut quarantine = Quarantine::default();
    for at in 1..=3 {
        crash(&mut quarantine, &format!("e{at}"), at * 10_000, &["bad"]);
    }
    let revision = quarantine.list().revision;
    let lift = || QuarantineCommand::Lift {
        fingerprint: request("bad"),
    };
    assert!(matches!(
        quarantine.apply(lift()),
        QuarantineReply::Applied { .. }
    ));
    assert!(!is_refused(&quarantine, "bad"));
    assert_eq!(quarantine.list().revision, revision + 1);
    assert_eq!(quarantine.apply(lift()), QuarantineReply::NotRefused);
}

#[test]
fn suspicions_and_verdicts_end_and_one_crash_more_renews_a_verdict() {
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, "e1", 10_000, &["slow"]);
    for at in 1..=3 {
        crash(&mut quarantine, &format!("f{at}"), at * 10_000, &["bad"]);
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
    crash(&mut quarantine, "f4", 140_000, &["bad"]);
    assert!(is_refused(&quarantine, "bad"));
}

#[test]
fn a_flood_of_suspects_displaces_neither_verdicts_nor_heavier_suspects() {
    let mut quarantine = Quarantine::default();
    for at in 1..=3 {
        crash(&mut quarantine, &format!("e{at}"), at * 1_000, &["bad"]);
    }
    crash(&mut quarantine, "e4", 5_000, &["heavy"]);
    crash(&mut quarantine, "e5", 9_000, &["heavy"]);
    for number in 0..50 {
        let name = format!("flood{number}");
        crash(&mut quarantine, &name, 20_000 + number, &[&name]);
    }
    assert_eq!(quarantine.suspect_count(), LIMITS.most_suspects);
    assert!(is_refused(&quarantine, "bad") && is_watched(&quarantine, "heavy"));
    // Of too many verdicts the oldest ends first.
    for name in ["bad2", "bad3", "bad4", "bad5"] {
        for at in 1..=3 {
            let backend = format!("{name}-{at}");
            crash(&mut quarantine, &backend, 30_000 + at * 10, &[name]);
        }
    }
    assert_eq!(quarantine.refused().len(), LIMITS.most_refused);
    assert!(!is_refused(&quarantine, "bad") && is_refused(&quarantine, "bad5"));
}

/// Three requests crash engines; one that many ask for was in flight at one crash of each.
#[test]
fn who_was_refused_under_other_verdicts_crashes_is_sent_again_once_it_is_calm() {
    let mut quarantine = Quarantine::default();
    for (number, bad) in ["bad1", "bad2", "bad3"].into_iter().enumerate() {
        let at = 1_000 + number as u64 * 100;
        crash(&mut quarantine, &format!("{bad}-1"), at, &[bad, "popular"]);
    }
    assert!(is_refused(&quarantine, "popular"));
    for (number, bad) in ["bad1", "bad2", "bad3"].into_iter().enumerate() {
        for again in 2..=3 {
            let at = again * 1_000 + number as u64 * 100;
            crash(&mut quarantine, &format!("{bad}-{again}"), at, &[bad]);
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
