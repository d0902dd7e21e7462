//! Messages of the build with message version 6, in the bytes that it wrote; see `version6`.

use rstest::rstest;
use silversail_consensus::{MessageBody, Payload};
use silversail_control::TrafficUpdate;
use silversail_model::topology::RegionFilter;
use silversail_model::{NodeName, Shard};
use silversail_peer::message::PROTOCOL_VERSION;
use silversail_peer::peer_versions::{EncodedVersions, PeerVersions};
use silversail_peer::{
    decode, version6, DiscoveryMessage, Envelope, GroupMessage, PeerError, PeerMessage,
    SessionMessage, SessionReply, WorkMessage,
};
use std::path::PathBuf;

fn bytes(name: &str) -> Vec<u8> {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/version6");
    std::fs::read(folder.join(format!("{name}.message"))).expect("the file exists")
}

fn received(name: &str) -> Envelope {
    let envelope = decode(&bytes(name), "c").expect("a message");
    assert_eq!((envelope.version, envelope.from.as_str()), (6, "n1"));
    envelope
}

fn reply() -> SessionReply {
    match received("reply").message {
        PeerMessage::Session(SessionMessage::Reply(reply)) => *reply,
        other => panic!("{other:?}"),
    }
}

/// A field that is added to a type of a message must not change what an earlier build is sent.
#[rstest]
fn a_message_is_read_and_written_as_the_earlier_build_encodes_it(
    #[values(
        "append",
        "pre_vote_reply",
        "install_snapshot",
        "probe_reply",
        "propose",
        "propose_reply",
        "heartbeat",
        "reply",
        "push_traffic",
        "push_evacuations",
        "listing",
        "listing_confirmed",
        "reports",
        "view",
        "push_view",
        "hello",
        "known",
        "submit",
        "announce",
        "accepted",
        "done",
        "waits",
        "cancel",
        "release"
    )]
    name: &str,
) {
    let written = version6::encode(&received(name)).expect("has a form in version 6");
    assert_eq!(written, bytes(name));
    let again = decode(&written, "c").expect("a message");
    assert_eq!(again, received(name));
}

#[test]
fn a_reply_of_an_earlier_relay_carries_its_configuration_view_and_back_ends() {
    let reply = reply();
    let traffic = reply.traffic.expect("a configuration");
    let published = traffic.apply_to(None).expect("a full configuration");
    assert_eq!(
        (published.version(), published.traffic.routes.len()),
        (4, 2)
    );
    let view = reply.view.expect("a view");
    assert!(view.nodes[0].usable);
    let owners = view.batch_owners.expect("owners");
    let owner = owners
        .get(&Shard::in_zone("other", "z1"))
        .map(NodeName::as_str);
    assert_eq!(owner, Some("n2"));
    let list = reply.backend_list.expect("a list").apply_to(None);
    let list = list.expect("a full list");
    let entry = list.entries.iter().next().expect("an entry");
    assert_eq!(
        (entry.id.as_str(), entry.name.as_str(), entry.cold),
        ("e1", "e1", true)
    );
    assert_eq!((reply.rollouts_revision, reply.quarantine_revision), (0, 0));
    assert!(reply.rollouts.is_some() && reply.quarantine.is_some());
}

/// Its dictionary is the older configuration in the encoding of the earlier build.
#[test]
fn a_difference_of_an_earlier_relay_applies_to_the_configuration_held_here() {
    let held = reply().traffic.expect("a configuration").apply_to(None);
    let held = held.expect("a full configuration");
    let PeerMessage::Session(SessionMessage::PushTraffic(update)) =
        received("push_difference").message
    else {
        panic!("a pushed configuration");
    };
    assert!(matches!(update, TrafficUpdate::Difference(_)));
    let next = update.apply_to(Some(&held)).expect("applies");
    assert_eq!(
        (next.version(), next.document.as_slice()),
        (5, &b"document 5"[..])
    );
}

#[test]
fn entries_of_an_earlier_leader_are_kept_as_it_wrote_them() {
    let PeerMessage::Group {
        message: GroupMessage::Consensus { message, .. },
        ..
    } = received("append").message
    else {
        panic!("a consensus message");
    };
    let MessageBody::Append { entries, .. } = message.body else {
        panic!("an append");
    };
    assert!(entries
        .iter()
        .all(|entry| matches!(entry.payload, Payload::Command(_))));
}

#[test]
fn work_of_an_earlier_node_gets_a_fingerprint_of_its_own() {
    let PeerMessage::Work(WorkMessage::Submit { phase, .. }) = received("submit").message else {
        panic!("an order");
    };
    assert!(!phase.regions.is_restricted());
    assert_eq!(
        (phase.target_remaining_ms, phase.remaining_ms),
        (900, 1_000)
    );
    let mut other = received("submit");
    let PeerMessage::Work(WorkMessage::Submit { phase: changed, .. }) = &mut other.message else {
        panic!("an order");
    };
    changed.pieces[0].request = "other".to_owned();
    let again = decode(&version6::encode(&other).expect("a form"), "c").expect("a message");
    let PeerMessage::Work(WorkMessage::Submit { phase: again, .. }) = again.message else {
        panic!("an order");
    };
    assert_ne!(again.fingerprint, phase.fingerprint);
}

/// The earlier build would run it anywhere.
#[test]
fn work_that_is_restricted_to_regions_is_not_sent_to_an_earlier_node() {
    let mut envelope = received("submit");
    let PeerMessage::Work(WorkMessage::Submit { phase, .. }) = &mut envelope.message else {
        panic!("an order");
    };
    let allowed = ["r1".to_owned()].into();
    phase.regions = RegionFilter::intersection(Some(&allowed), None);
    assert_eq!(version6::encode(&envelope), None);
}

#[test]
fn messages_that_the_earlier_build_does_not_know_are_not_sent_to_it() {
    let mut envelope = received("hello");
    envelope.message = PeerMessage::Discovery(DiscoveryMessage::Probe);
    assert_eq!(version6::encode(&envelope), None);
    envelope.message = PeerMessage::Session(SessionMessage::PushRollouts(Default::default()));
    assert_eq!(version6::encode(&envelope), None);
}

#[test]
fn messages_of_other_versions_are_rejected_by_number() {
    let mut other = bytes("hello");
    other[0] = 7;
    assert!(matches!(
        decode(&other, "c"),
        Err(PeerError::UnknownVersion(7))
    ));
    let mut damaged = bytes("hello");
    damaged.push(0);
    assert!(matches!(decode(&damaged, "c"), Err(PeerError::Malformed)));
}

#[test]
fn the_version_of_a_peer_is_the_highest_that_its_process_sent() {
    let mut versions = PeerVersions::default();
    let node = NodeName::from("n1");
    assert_eq!(versions.for_node(&node), EncodedVersions::Both);
    assert!(versions.record(&node, 1, version6::VERSION));
    assert_eq!(versions.for_node(&node), EncodedVersions::Version6);
    assert!(versions.is_earlier(&node));
    assert!(versions.record(&node, 2, PROTOCOL_VERSION));
    // A process that does not know its peer's version sends both.
    assert!(!versions.record(&node, 2, version6::VERSION));
    // A delayed message of the former process.
    assert!(!versions.record(&node, 1, version6::VERSION));
    assert_eq!(versions.for_node(&node), EncodedVersions::Current);
    assert!(!versions.is_earlier(&node));
    // The former build starts again.
    assert!(versions.record(&node, 3, version6::VERSION));
    assert_eq!(versions.for_node(&node), EncodedVersions::Version6);
}
