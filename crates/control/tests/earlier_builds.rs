//! Log entries and snapshots that the build with message version 6 wrote. The files in `version6`
//! come from that build; `peer/tests/version6/write_messages.rs.txt` is its example that wrote them.

use silversail_consensus::StateMachine;
use silversail_control::earlier_builds::{convert_command, convert_snapshot};
use silversail_control::{ControlCommand, ControlState, PublishedTraffic};

const PUBLISH: &[u8] = include_bytes!("version6/publish.command");
const EVACUATE: &[u8] = include_bytes!("version6/evacuate.command");
const SNAPSHOT: &[u8] = include_bytes!("version6/state.snapshot");

fn assert_state(state: &ControlState) {
    let published = state
        .published
        .as_ref()
        .expect("a configuration is published");
    assert_eq!(published.document, b"document 5");
    assert_eq!(published.version(), 5);
    let routes = &published.traffic.routes;
    let prefixes: Vec<&str> = routes
        .iter()
        .map(|route| route.path_prefix.as_str())
        .collect();
    assert_eq!(prefixes, ["/chat/", "/deep/"]);
    assert!(routes.iter().all(|route| route.allowed_regions.is_none()));
    assert_eq!(published.traffic.tenants[0].priority, Some(1));
    assert!(state.evacuations.zones().contains("z1"));
}

#[test]
fn a_log_of_an_earlier_build_is_applied_with_its_published_configuration() {
    let mut state = ControlState::default();
    for (index, command) in [PUBLISH, EVACUATE].into_iter().enumerate() {
        assert!(!state.apply(index as u64 + 1, command).is_empty());
    }
    assert_state(&state);
}

#[test]
fn a_snapshot_of_an_earlier_build_is_restored() {
    let mut state = ControlState::default();
    assert!(state.restore(SNAPSHOT));
    assert_state(&state);
    let mut again = ControlState::default();
    assert!(again.restore(&state.snapshot()));
    assert_state(&again);
}

fn published() -> PublishedTraffic {
    let mut state = ControlState::default();
    state.apply(1, PUBLISH);
    let published = state.published.expect("a configuration is published");
    (*published).clone()
}

#[test]
fn commands_and_snapshots_are_converted_to_the_bytes_of_the_earlier_build() {
    let command = ControlCommand::Publish(published()).encode();
    assert_ne!(command, PUBLISH);
    assert_eq!(convert_command(&command).as_deref(), Some(PUBLISH));
    assert_eq!(convert_command(PUBLISH).as_deref(), Some(PUBLISH));
    assert_eq!(convert_command(EVACUATE).as_deref(), Some(EVACUATE));
    let mut state = ControlState::default();
    state.apply(1, &command);
    state.apply(2, EVACUATE);
    let snapshot = convert_snapshot(&state.snapshot());
    assert_eq!(snapshot.as_deref(), Some(SNAPSHOT));
}

/// The earlier build would serve requests in regions where they may not be.
#[test]
fn a_configuration_that_restricts_regions_has_no_form_for_the_earlier_build() {
    let mut restricted = published();
    restricted.traffic.routes[1].allowed_regions = Some(["r1".to_owned()].into());
    let command = ControlCommand::Publish(restricted).encode();
    assert_eq!(convert_command(&command), None);
    let mut state = ControlState::default();
    state.apply(1, &command);
    assert_eq!(convert_snapshot(&state.snapshot()), None);
}
