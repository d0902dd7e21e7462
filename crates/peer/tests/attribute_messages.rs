//! Messages about attributes of requests: kept bytes, sizes, and what other builds do with them.

use rstest::rstest;
use silversail_model::{ContentDigest, NodeName, RequestAttribute, RequestFingerprint};
use silversail_peer::message::{ATTRIBUTES_VERSION, PROTOCOL_VERSION, STREAMS_VERSION};
use silversail_peer::peer_versions::{EncodedVersions, PeerVersions};
use silversail_peer::{decode, encode, version6, Envelope, PeerMessage};
use silversail_quarantine::{
    AnsweredAttributes, AttributeCrashReport, AttributeMessage, AttributeReport, BackendGroup,
    InterruptedRequest, WatchedAttributes,
};

/// Requests that one node has at a back end that crashes, and their shared parts.
const REQUESTS_OF_CRASH: usize = 64;
const PARTS: u64 = 5;
/// Maximum encoded size of a report of such a crash, in bytes.
const MAX_REPORT_BYTES: usize = 6_000;

fn fingerprint() -> RequestFingerprint {
    RequestFingerprint::of(Some("t1"), &ContentDigest::of("/x", b"body"))
}

fn group() -> BackendGroup {
    BackendGroup {
        service: "pool".into(),
        version: "v1.1".into(),
    }
}

fn crash(requests: usize, parts: u64) -> AttributeCrashReport {
    let request = InterruptedRequest {
        fingerprint: fingerprint(),
        tenant: Some("t1".into()),
        attributes: (0..parts)
            .map(|part| RequestAttribute::PromptPart(0x5c1e_07a2 + part))
            .collect(),
    };
    AttributeCrashReport {
        node: "n1".into(),
        backend: "i-9daa2b3326".into(),
        group: group(),
        age_ms: 300,
        requests: vec![request; requests],
    }
}

fn report() -> AttributeMessage {
    AttributeMessage::Report(AttributeReport {
        crashes: vec![crash(1, 2)],
        answers: vec![AnsweredAttributes {
            group: group(),
            age_ms: 20,
            attributes: vec![(RequestAttribute::PromptPart(0x5c1e_07a2), 700)],
        }],
        is_forwarded: false,
    })
}

fn watch() -> AttributeMessage {
    AttributeMessage::Watch(vec![WatchedAttributes {
        group: group(),
        attributes: vec![RequestAttribute::PromptPart(0x5c1e_07a2)],
    }])
}

fn envelope(message: AttributeMessage) -> Envelope {
    let message = PeerMessage::Attributes(message);
    Envelope {
        version: message.version(),
        cluster: "c".into(),
        from: NodeName("n1".into()),
        incarnation: 7,
        message,
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Bytes as the first build with these messages wrote them.
#[rstest]
#[case::report(report(), "0b0163026e3107060001026e310c692d3964616132623333323604706f6f6c0476312e31ac0201c2a10a3447e2b897737a3457dc92db45010274310200a28ff8e00500a38ff8e0050104706f6f6c0476312e31140100a28ff8e005bc0500")]
#[case::watch(watch(), "0b0163026e310706010104706f6f6c0476312e310100a28ff8e005")]
fn the_encoding_of_a_message_never_changes(#[case] message: AttributeMessage, #[case] kept: &str) {
    let envelope = envelope(message);
    let bytes = encode(&envelope);
    assert_eq!(hex(&bytes), kept);
    assert_eq!(decode(&bytes, "c").expect("decodes"), envelope);
}

#[test]
fn builds_of_earlier_versions_get_nothing_that_they_would_misread() {
    let envelope = envelope(report());
    assert_eq!(version6::encode(&envelope), None);
    // Builds of versions 9 and 10 drop a message by its first byte.
    assert_eq!(encode(&envelope).first(), Some(&ATTRIBUTES_VERSION));
    assert!(![PROTOCOL_VERSION, STREAMS_VERSION].contains(&ATTRIBUTES_VERSION));
}

#[test]
fn a_peer_that_sent_such_a_message_still_gets_all_others_in_one_encoding() {
    let mut versions = PeerVersions::default();
    let node = NodeName("n1".into());
    versions.record(&node, 7, ATTRIBUTES_VERSION);
    versions.record(&node, 7, PROTOCOL_VERSION);
    assert_eq!(versions.for_node(&node), EncodedVersions::Current);
    assert!(!versions.is_earlier(&node));
}

#[test]
fn a_report_of_a_full_back_end_stays_below_the_maximum_size() {
    let report = AttributeReport {
        crashes: vec![crash(REQUESTS_OF_CRASH, PARTS)],
        ..AttributeReport::default()
    };
    let bytes = encode(&envelope(AttributeMessage::Report(report)));
    assert!(bytes.len() <= MAX_REPORT_BYTES, "{} bytes", bytes.len());
}
