//! Sizes of crash reports and quarantine lists, which `docs/CAPACITY.md` relies on.

use silversail_model::{ContentDigest, RequestFingerprint};
use silversail_quarantine::{CrashReport, QuarantineList};

fn fingerprints(count: usize) -> impl Iterator<Item = RequestFingerprint> {
    (0..count).map(|number| {
        let content = ContentDigest::of("/x", &number.to_le_bytes());
        RequestFingerprint::of(Some("t1"), &content)
    })
}

fn encoded_size(value: &impl serde::Serialize) -> usize {
    postcard::to_stdvec(value)
        .expect("encoding into memory does not fail")
        .len()
}

/// Report of a crashed engine with 32 streams, all from one node.
#[test]
fn a_crash_report_of_32_requests_has_under_600_bytes() {
    let report = CrashReport {
        backend: "i-7f3a91c2@1700000000000".into(),
        age_ms: 6_000,
        fingerprints: fingerprints(32).collect(),
    };
    let bytes = encoded_size(&report);
    assert!((32 * 16..600).contains(&bytes), "{bytes} bytes");
}

/// Maximum size of the message that a node gets when the list changes.
#[test]
fn a_full_quarantine_list_has_under_9_kilobytes() {
    let list = QuarantineList {
        revision: 1_000,
        refused: fingerprints(512).collect(),
        watched: fingerprints(32).collect(),
    };
    let bytes = encoded_size(&list);
    assert!((512 * 16..9_000).contains(&bytes), "{bytes} bytes");
}
