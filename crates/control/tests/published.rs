//! The published traffic configuration and its versions.

use rstest::rstest;
use silversail_consensus::StateMachine;
use silversail_control::{ControlCommand, ControlState, PublishReply, PublishedTraffic};
use silversail_model::traffic::CallerLimits;
use silversail_model::TrafficConfiguration;

fn published(version: u64, document: &str) -> PublishedTraffic {
    PublishedTraffic {
        document: document.as_bytes().to_vec(),
        traffic: TrafficConfiguration {
            version,
            routes: Vec::new(),
            services: Vec::new(),
            tenants: Vec::new(),
            limits: CallerLimits {
                header_bytes: 1,
                body_bytes: 1,
                header_timeout_ms: 1,
                idle_timeout_ms: 1,
            },
        },
    }
}

fn publish(state: &mut ControlState, version: u64, document: &str) -> PublishReply {
    let command = ControlCommand::Publish(published(version, document)).encode();
    postcard::from_bytes(&state.apply(1, &command)).expect("a reply")
}

fn in_force(state: &ControlState) -> Option<(u64, String)> {
    let published = state.published.as_ref()?;
    let document = String::from_utf8(published.document.clone()).expect("text");
    Some((published.version(), document))
}

/// In whatever order versions arrive, the first document of the highest version is in force.
#[rstest]
#[case(&[1, 2, 3])]
#[case(&[3, 1, 2])]
#[case(&[2, 3, 3, 1])]
#[case(&[3, 2, 1, 3])]
fn the_highest_version_wins(#[case] versions: &[u64]) {
    let mut state = ControlState::default();
    for version in versions {
        publish(&mut state, *version, &format!("v{version}"));
    }
    assert_eq!(in_force(&state), Some((3, "v3".into())));
}

#[test]
fn lower_and_equal_versions_are_acknowledged_and_change_nothing() {
    let mut state = ControlState::default();
    let first = publish(&mut state, 5, "first");
    assert!(first.is_new);
    for (version, document) in [(5, "first"), (5, "other content"), (4, "older")] {
        let reply = publish(&mut state, version, document);
        assert_eq!((reply.in_force, reply.is_new), (5, false));
        assert_eq!(in_force(&state), Some((5, "first".into())));
    }
}

#[test]
fn a_snapshot_includes_the_published_configuration() {
    let mut state = ControlState::default();
    publish(&mut state, 5, "kept");
    let mut restored = ControlState::default();
    assert!(restored.restore(&state.snapshot()));
    assert_eq!(in_force(&restored), Some((5, "kept".into())));
    assert!(!publish(&mut restored, 5, "again").is_new);
}
