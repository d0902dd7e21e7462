//! Messages about the beginnings of streams: kept bytes, sizes, and what other builds do with them.

use rstest::rstest;
use silversail_model::{ContentDigest, NodeName, RequestFingerprint};
use silversail_peer::message::{PROTOCOL_VERSION, STREAMS_VERSION};
use silversail_peer::peer_versions::{EncodedVersions, PeerVersions};
use silversail_peer::{
    decode, encode, version6, BegunStream, Envelope, PeerMessage, SeenVersions, StreamKey,
    StreamMessage, StreamOrigin,
};

/// Maximum encoded size of a record with identifiers of usual length, in bytes.
const MAX_RECORD_BYTES: usize = 100;

fn fingerprint() -> RequestFingerprint {
    RequestFingerprint::of(Some("t1"), &ContentDigest::of("/x", b"body"))
}

fn origin() -> StreamOrigin {
    StreamOrigin {
        service: "pool".into(),
        version: "v1.1".into(),
        tenant: Some("t1".into()),
    }
}

fn key() -> StreamKey {
    StreamKey {
        attempt: Some("9c41d07be2a35f68".into()),
        fingerprint: fingerprint(),
    }
}

fn began() -> StreamMessage {
    StreamMessage::Began(BegunStream {
        attempt: "9c41d07be2a35f68".into(),
        fingerprint: fingerprint(),
        origin: origin(),
        lifetime_ms: 17_000,
    })
}

fn reply() -> StreamMessage {
    StreamMessage::Reply {
        key: key(),
        origin: Some(origin()),
        versions: SeenVersions::Sole("v1.1".into()),
    }
}

fn envelope(message: StreamMessage) -> Envelope {
    let message = PeerMessage::Streams(message);
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
#[case::began(began(), "0a0163026e310705001039633431643037626532613335663638c2a10a3447e2b897737a3457dc92db4504706f6f6c0476312e3101027431e88401")]
#[case::query(StreamMessage::Query { key: key(), service: "pool".into() }, "0a0163026e31070501011039633431643037626532613335663638c2a10a3447e2b897737a3457dc92db4504706f6f6c")]
#[case::reply(reply(), "0a0163026e31070502011039633431643037626532613335663638c2a10a3447e2b897737a3457dc92db450104706f6f6c0476312e3101027431000476312e31")]
fn the_encoding_of_a_message_never_changes(#[case] message: StreamMessage, #[case] kept: &str) {
    let envelope = envelope(message);
    let bytes = encode(&envelope);
    assert_eq!(hex(&bytes), kept);
    assert_eq!(decode(&bytes, "c").expect("decodes"), envelope);
}

#[test]
fn builds_of_earlier_versions_get_nothing_that_they_would_misread() {
    let envelope = envelope(began());
    assert_eq!(version6::encode(&envelope), None);
    // A build of version 9 drops a message by its first byte.
    assert_eq!(encode(&envelope).first(), Some(&STREAMS_VERSION));
    assert_ne!(STREAMS_VERSION, PROTOCOL_VERSION);
}

#[test]
fn a_peer_that_sent_such_a_message_still_gets_all_others_in_one_encoding() {
    let mut versions = PeerVersions::default();
    let node = NodeName("n1".into());
    versions.record(&node, 7, STREAMS_VERSION);
    versions.record(&node, 7, PROTOCOL_VERSION);
    assert_eq!(versions.for_node(&node), EncodedVersions::Current);
    assert!(!versions.is_earlier(&node));
}

#[test]
fn a_record_stays_below_the_maximum_size() {
    let bytes = encode(&envelope(began()));
    assert!(bytes.len() <= MAX_RECORD_BYTES, "{} bytes", bytes.len());
}
