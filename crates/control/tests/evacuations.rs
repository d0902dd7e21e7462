//! Replicated evacuated zones: idempotent and delayed orders.

use rstest::rstest;
use silversail_consensus::StateMachine;
use silversail_control::{ControlCommand, ControlState, EvacuationOrder, EvacuationReply};

fn order(
    state: &mut ControlState,
    zone: &str,
    evacuated: bool,
    known_revision: u64,
) -> EvacuationReply {
    let zone = zone.to_owned();
    let order = EvacuationOrder {
        zone,
        evacuated,
        known_revision,
    };
    let command = ControlCommand::Evacuate(order).encode();
    postcard::from_bytes(&state.apply(1, &command)).expect("a reply")
}

fn zones(state: &ControlState) -> Vec<&str> {
    let zones = state.evacuations.zones().iter();
    zones.map(String::as_str).collect()
}

#[test]
fn a_zone_is_evacuated_and_used_again() {
    let mut state = ControlState::default();
    let begun = order(&mut state, "a", true, 0);
    assert_eq!(begun, EvacuationReply::InForce { revision: 1 });
    assert_eq!(zones(&state), ["a"]);
    let ended = order(&mut state, "a", false, 1);
    assert_eq!(ended, EvacuationReply::InForce { revision: 2 });
    assert!(zones(&state).is_empty());
}

/// An order that matches the current state is acknowledged, whatever revision it names.
#[rstest]
#[case::begin_again("a", true)]
#[case::end_without_a_begin("b", false)]
fn an_order_that_changes_nothing_is_acknowledged(#[case] zone: &str, #[case] evacuated: bool) {
    let mut state = ControlState::default();
    order(&mut state, "a", true, 0);
    for known_revision in [0, 1] {
        let reply = order(&mut state, zone, evacuated, known_revision);
        assert_eq!(reply, EvacuationReply::InForce { revision: 1 });
    }
    assert_eq!(zones(&state), ["a"]);
}

/// A copy of the begin, sent to another node, is committed after the end was acknowledged.
#[test]
fn a_delayed_copy_of_a_begin_does_not_undo_the_end() {
    let mut state = ControlState::default();
    order(&mut state, "a", true, 0);
    order(&mut state, "a", false, 1);
    let delayed = order(&mut state, "a", true, 0);
    assert_eq!(delayed, EvacuationReply::Outdated { revision: 2 });
    assert!(zones(&state).is_empty());
}

/// The second of two concurrent orders gets the current revision, with which it is proposed again.
#[test]
fn of_two_concurrent_orders_the_later_in_the_log_prevails() {
    let mut state = ControlState::default();
    order(&mut state, "a", true, 0);
    let first = order(&mut state, "a", false, 1);
    assert_eq!(first, EvacuationReply::InForce { revision: 2 });
    let second = order(&mut state, "a", true, 1);
    assert_eq!(second, EvacuationReply::Outdated { revision: 2 });
    let again = order(&mut state, "a", true, 2);
    assert_eq!(again, EvacuationReply::InForce { revision: 3 });
    assert_eq!(zones(&state), ["a"]);
}

#[test]
fn all_zones_may_be_evacuated() {
    let mut state = ControlState::default();
    for (known_revision, zone) in ["a", "b", "c"].into_iter().enumerate() {
        order(&mut state, zone, true, known_revision as u64);
    }
    assert_eq!(zones(&state), ["a", "b", "c"]);
}

#[test]
fn a_snapshot_keeps_the_evacuated_zones() {
    let mut state = ControlState::default();
    order(&mut state, "a", true, 0);
    order(&mut state, "b", true, 1);
    let mut restored = ControlState::default();
    assert!(restored.restore(&state.snapshot()));
    assert_eq!(restored.evacuations, state.evacuations);
    let delayed = order(&mut restored, "a", false, 1);
    assert_eq!(delayed, EvacuationReply::Outdated { revision: 2 });
}
