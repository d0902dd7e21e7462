//! Which requests count as repeated attempts of the same request.

use rstest::rstest;
use silversail_model::fingerprint::{ContentDigest, FingerprintError, RequestFingerprint};

fn fingerprint(tenant: Option<&str>, target: &str, body: &[u8]) -> RequestFingerprint {
    RequestFingerprint::of(tenant, &ContentDigest::of(target, body))
}

#[test]
fn the_same_target_body_and_tenant_give_the_same_fingerprint() {
    let first = fingerprint(Some("t1"), "/a/1?x=2", b"body");
    assert_eq!(first, fingerprint(Some("t1"), "/a/1?x=2", b"body"));
}

#[rstest]
#[case::other_tenant(Some("t2"), "/a/1", b"body")]
#[case::no_tenant(None, "/a/1", b"body")]
#[case::empty_tenant(Some(""), "/a/1", b"body")]
#[case::other_target(Some("t1"), "/a/2", b"body")]
#[case::a_query(Some("t1"), "/a/1?x", b"body")]
#[case::other_body(Some("t1"), "/a/1", b"body2")]
#[case::target_and_body_split_differently(Some("t1"), "/a/1b", b"ody")]
fn another_tenant_target_or_body_gives_another_fingerprint(
    #[case] tenant: Option<&str>,
    #[case] target: &str,
    #[case] body: &[u8],
) {
    let first = fingerprint(Some("t1"), "/a/1", b"body");
    assert_ne!(first, fingerprint(tenant, target, body));
}

#[test]
fn a_fingerprint_parses_from_its_text() {
    let original = fingerprint(Some("t1"), "/a/1", b"body");
    assert_eq!(original.to_string().parse(), Ok(original));
    for text in ["", "12", &"g".repeat(32), &"é".repeat(16)] {
        assert_eq!(text.parse::<RequestFingerprint>(), Err(FingerprintError));
    }
}
