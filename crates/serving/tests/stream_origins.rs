//! Records of where streams began, and their lookups.

use rstest::rstest;
use silversail_model::{ContentDigest, NodeName, RequestFingerprint};
use silversail_peer::SeenVersions::{self, Several, Sole, Unsettled};
use silversail_peer::{BegunStream, StreamKey, StreamOrigin};
use silversail_serving::origin_lookup::{LookupStep, OriginLookups, Resolved, HOLDERS_TIMEOUT};
use silversail_serving::ports::SoleVersionEvidence;
use silversail_serving::stream_origins::{HolderCandidate, HolderRing, StreamOrigins, HOLDERS};
use std::collections::BTreeSet;

fn fingerprint(content: &str) -> RequestFingerprint {
    RequestFingerprint::of(None, &ContentDigest::of(content, b""))
}

fn begun(attempt: &str, content: &str, version: &str) -> BegunStream {
    BegunStream {
        attempt: attempt.into(),
        fingerprint: fingerprint(content),
        origin: origin(version),
        lifetime_ms: 10_000,
    }
}

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin {
        service: "pool".into(),
        version: version.into(),
        tenant: None,
    }
}

fn key(attempt: Option<&str>, content: &str) -> StreamKey {
    StreamKey {
        attempt: attempt.map(str::to_owned),
        fingerprint: fingerprint(content),
    }
}

fn node(name: &str) -> NodeName {
    NodeName(name.to_owned())
}

fn ring(zones: usize, nodes: usize) -> HolderRing {
    let candidates = (0..nodes).map(|number| HolderCandidate {
        node: node(&format!("n{number}")),
        zone: format!("z{}", number % zones),
    });
    HolderRing::new(candidates.collect())
}

#[test]
fn a_record_is_found_by_its_attempt_until_it_expires() {
    let mut origins = StreamOrigins::default();
    origins.insert(begun("s1", "a", "v1"), 100);
    assert_eq!(
        origins.get(&key(Some("s1"), "a"), 10_099),
        Some(&origin("v1"))
    );
    assert_eq!(origins.get(&key(Some("s1"), "a"), 10_100), None);
    assert_eq!(origins.get(&key(Some("s2"), "a"), 200), None);
    origins.insert(begun("s2", "a", "v2"), 10_100);
    assert_eq!(origins.len(), 1, "expired records are removed");
}

#[test]
fn a_stream_has_one_beginning() {
    let mut origins = StreamOrigins::default();
    origins.insert(begun("s1", "a", "v1"), 0);
    origins.insert(begun("s1", "a", "v2"), 0);
    assert_eq!(origins.get(&key(Some("s1"), "a"), 1), Some(&origin("v1")));
}

#[test]
fn a_caller_that_names_no_attempt_is_told_a_version_only_if_there_is_but_one() {
    let mut origins = StreamOrigins::default();
    origins.insert(begun("s1", "a", "v1"), 0);
    origins.insert(begun("s2", "a", "v1"), 0);
    assert_eq!(origins.get(&key(None, "a"), 1), Some(&origin("v1")));
    assert_eq!(origins.get(&key(None, "b"), 1), None);
    origins.insert(begun("s3", "a", "v2"), 0);
    assert_eq!(origins.get(&key(None, "a"), 1), None);
}

#[test]
fn records_of_one_tenant_are_bounded_and_leave_room_for_others() {
    let mut origins = StreamOrigins::default();
    for number in 0..20_000 {
        origins.insert(begun(&format!("s{number}"), "a", "v1"), 0);
    }
    assert!(origins.len() < 10_000, "{}", origins.len());
    let mut of_other = begun("other", "b", "v1");
    of_other.origin.tenant = Some("t2".into());
    origins.insert(of_other, 0);
    assert!(origins.get(&key(Some("other"), "b"), 1).is_some());
}

#[test]
fn holders_are_in_different_zones_and_the_same_whatever_the_order_of_nodes() {
    let ring = ring(3, 9);
    for number in 0..100 {
        let holders = ring.holders_of(&fingerprint(&number.to_string()));
        assert_eq!(holders.len(), HOLDERS);
        let zones: BTreeSet<usize> = holders
            .iter()
            .map(|node| node.as_str()[1..].parse::<usize>().expect("a number") % 3)
            .collect();
        assert_eq!(zones.len(), 3);
    }
    let reversed = (0..9).rev().map(|number| HolderCandidate {
        node: node(&format!("n{number}")),
        zone: format!("z{}", number % 3),
    });
    let reversed = HolderRing::new(reversed.collect());
    assert_eq!(
        ring.holders_of(&fingerprint("x")),
        reversed.holders_of(&fingerprint("x"))
    );
}

/// The hash is part of the protocol: all builds must choose the same holders.
#[test]
fn the_holders_of_a_request_never_change() {
    let holders = ring(3, 9).holders_of(&fingerprint("kept"));
    let names: Vec<&str> = holders.iter().map(NodeName::as_str).collect();
    assert_eq!(names, KEPT_HOLDERS);
}

const KEPT_HOLDERS: [&str; 3] = ["n6", "n5", "n7"];

#[test]
fn each_node_of_a_large_cluster_connects_to_a_bounded_number_of_holders() {
    let ring = ring(8, 1_000);
    let holders = (0..5_000).flat_map(|number| ring.holders_of(&fingerprint(&number.to_string())));
    let distinct: BTreeSet<NodeName> = holders.collect();
    assert!(distinct.len() <= 48, "{}", distinct.len());
}

fn ended(step: Option<LookupStep>) -> Resolved {
    match step {
        Some(LookupStep::Ended(resolved)) => resolved,
        other => panic!("not ended: {other:?}"),
    }
}

#[test]
fn the_first_reply_that_knows_ends_a_lookup_for_all_that_wait() {
    let mut lookups = OriginLookups::default();
    let stream = key(Some("s1"), "a");
    let holders = vec![node("n1"), node("n2")];
    let step = lookups.begin(&stream, "pool", 1, holders, vec![node("n3")], 0);
    assert!(matches!(step, Some(LookupStep::Ask(question)) if question.nodes.len() == 2));
    assert_eq!(
        lookups.begin(&stream, "pool", 2, Vec::new(), Vec::new(), 1),
        None
    );
    assert_eq!(
        lookups.reply(&node("n1"), &stream, None, Unsettled, 2),
        None
    );
    let resolved = ended(lookups.reply(&node("n2"), &stream, Some(origin("v1")), Unsettled, 3));
    assert_eq!(resolved.requests, [1, 2]);
    assert_eq!(resolved.origin, Some(origin("v1")));
    assert!(lookups.is_empty());
}

#[test]
fn all_other_nodes_are_asked_before_a_stream_is_unknown() {
    let mut lookups = OriginLookups::default();
    let stream = key(Some("s1"), "a");
    lookups.begin(&stream, "pool", 1, vec![node("n1")], vec![node("n2")], 0);
    assert!(lookups.expire(HOLDERS_TIMEOUT - 1).is_empty());
    let steps = lookups.expire(HOLDERS_TIMEOUT);
    assert!(
        matches!(&steps[..], [LookupStep::Ask(question)] if question.nodes == [node("n2")]),
        "{steps:?}"
    );
    let resolved = ended(lookups.reply(&node("n2"), &stream, None, Unsettled, HOLDERS_TIMEOUT + 1));
    assert_eq!(resolved.origin, None);
}

#[rstest]
#[case::all_agree([Sole("v1".into()), Sole("v1".into())], SoleVersionEvidence::Confirmed("v1".into()))]
#[case::one_is_new([Sole("v1".into()), Unsettled], SoleVersionEvidence::Confirmed("v1".into()))]
#[case::one_saw_several([Several, Sole("v1".into())], SoleVersionEvidence::Unconfirmed)]
#[case::they_differ([Sole("v1".into()), Sole("v2".into())], SoleVersionEvidence::Unconfirmed)]
#[case::all_are_new([Unsettled, Unsettled], SoleVersionEvidence::Unconfirmed)]
fn the_nodes_that_are_asked_tell_which_versions_they_saw(
    #[case] seen: [SeenVersions; 2],
    #[case] expected: SoleVersionEvidence,
) {
    let mut lookups = OriginLookups::default();
    let stream = key(Some("s1"), "a");
    let holders = vec![node("n0"), node("n1")];
    lookups.begin(&stream, "pool", 1, holders, Vec::new(), 0);
    let mut step = None;
    for (number, versions) in seen.into_iter().enumerate() {
        let from = node(&format!("n{number}"));
        step = lookups.reply(&from, &stream, None, versions, 1);
    }
    assert_eq!(ended(step).sole_version, expected);
}

#[test]
fn a_lookup_ends_when_its_callers_are_gone() {
    let mut lookups = OriginLookups::default();
    let stream = key(Some("s1"), "a");
    lookups.begin(&stream, "pool", 1, vec![node("n1")], Vec::new(), 0);
    lookups.remove(1);
    assert!(lookups.is_empty());
    assert_eq!(
        lookups.reply(&node("n1"), &stream, Some(origin("v1")), Unsettled, 1),
        None
    );
}
