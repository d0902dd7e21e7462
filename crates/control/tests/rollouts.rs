//! Replicated rollouts: repeated and delayed orders, stale commands, repeated ends.

use rstest::rstest;
use silversail_consensus::StateMachine;
use silversail_control::rollouts::REPEATED_ORDER_WINDOW_MS;
use silversail_control::{ControlCommand, ControlState, PublishedTraffic};
use silversail_control::{RolloutCommand, RolloutReply};
use silversail_model::traffic::{CallerLimits, ServiceSpec};
use silversail_model::TrafficConfiguration;
use silversail_rollout::{
    Directive, Rollout, RolloutOrder, RolloutOrderError, RolloutState, Verdict,
};
use std::collections::BTreeSet;

const SERVICE: &str = "chat";

fn apply(state: &mut ControlState, command: RolloutCommand) -> RolloutReply {
    let command = ControlCommand::Rollout(command).encode();
    postcard::from_bytes(&state.apply(1, &command)).expect("a reply")
}

fn order(service: &str, version: &str) -> RolloutOrder {
    RolloutOrder {
        service: service.to_owned(),
        target_version: version.to_owned(),
        duration_ms: 12_000,
    }
}

fn begin(state: &mut ControlState, version: &str, known_number: u64) -> RolloutReply {
    let order = order(SERVICE, version);
    apply(
        state,
        RolloutCommand::Begin {
            order,
            known_number,
        },
    )
}

fn directive(step: u32) -> Directive {
    Directive {
        step,
        canary_permille: 50,
        moved_routes: BTreeSet::new(),
    }
}

fn verdict(elapsed_ms: u64) -> Verdict {
    Verdict {
        reason: "failures".to_owned(),
        route: String::new(),
        candidate: (100, 50),
        baseline: (900, 1),
        elapsed_ms,
    }
}

fn rolled_back(elapsed_ms: u64) -> RolloutState {
    let verdict = verdict(elapsed_ms);
    RolloutState::RolledBack { verdict }
}

fn completed(elapsed_ms: u64) -> RolloutState {
    RolloutState::Completed {
        former_versions: BTreeSet::from(["v1".to_owned()]),
        verdict: verdict(elapsed_ms),
    }
}

fn end(state: &mut ControlState, number: u64, end: RolloutState, elapsed_ms: u64) -> RolloutReply {
    let command = RolloutCommand::End {
        number,
        state: end,
        elapsed_ms,
    };
    apply(state, command)
}

fn latest(state: &ControlState) -> &Rollout {
    state
        .rollouts
        .latest_of_service(SERVICE)
        .expect("a rollout")
}

fn in_force(number: u64) -> RolloutReply {
    RolloutReply::InForce { number }
}

#[test]
fn an_order_starts_a_rollout_and_its_repeat_is_acknowledged() {
    let mut state = ControlState::default();
    assert_eq!(begin(&mut state, "v2", 0), in_force(1));
    let revision = state.rollouts.revision();
    for known_number in [0, 1] {
        assert_eq!(begin(&mut state, "v2", known_number), in_force(1));
    }
    assert_eq!(state.rollouts.revision(), revision);
    assert!(latest(&state).is_in_progress());
}

#[test]
fn another_version_is_refused_while_a_rollout_is_in_progress() {
    let mut state = ControlState::default();
    begin(&mut state, "v2", 0);
    let refused = RolloutReply::Refused(RolloutOrderError::Underway {
        service: SERVICE.to_owned(),
        target_version: "v2".to_owned(),
    });
    for known_number in [0, 1] {
        assert_eq!(begin(&mut state, "v3", known_number), refused);
    }
}

#[test]
fn services_have_independent_rollouts() {
    let mut state = ControlState::default();
    for (position, service) in ["a", "b", "c"].into_iter().enumerate() {
        let order = order(service, "v2");
        let reply = apply(
            &mut state,
            RolloutCommand::Begin {
                order,
                known_number: 0,
            },
        );
        assert_eq!(reply, in_force(position as u64 + 1));
    }
    end(&mut state, 2, rolled_back(500), 500);
    let in_progress = state
        .rollouts
        .all()
        .filter(|rollout| rollout.is_in_progress());
    assert_eq!(in_progress.count(), 2);
}

/// An operator whose response was lost retries; a completed or recently rolled back rollout
/// acknowledges the retry.
#[rstest]
#[case::completed(completed(9_000), 3_600_000)]
#[case::rolled_back_recently(rolled_back(9_000), 9_000 + REPEATED_ORDER_WINDOW_MS - 1)]
fn a_repeated_order_after_the_end_starts_no_second_rollout(
    #[case] ended: RolloutState,
    #[case] elapsed_ms: u64,
) {
    let mut state = ControlState::default();
    begin(&mut state, "v2", 0);
    assert_eq!(
        end(&mut state, 1, ended.clone(), 9_000),
        RolloutReply::Changed
    );
    let number = 1;
    apply(&mut state, RolloutCommand::Elapsed { number, elapsed_ms });
    for known_number in [0, 1] {
        assert_eq!(begin(&mut state, "v2", known_number), in_force(1));
    }
    assert_eq!(latest(&state).state, ended);
}

#[test]
fn a_version_that_was_rolled_back_may_be_ordered_again_later() {
    let mut state = ControlState::default();
    begin(&mut state, "v2", 0);
    end(&mut state, 1, rolled_back(9_000), 9_000);
    let elapsed_ms = 9_000 + REPEATED_ORDER_WINDOW_MS;
    let elapsed = RolloutCommand::Elapsed {
        number: 1,
        elapsed_ms,
    };
    apply(&mut state, elapsed);
    // A delayed copy of the first order.
    let delayed = begin(&mut state, "v2", 0);
    assert_eq!(delayed, RolloutReply::Outdated { number: 1 });
    assert_eq!(begin(&mut state, "v2", 1), in_force(2));
    assert_eq!(latest(&state).elapsed_ms, 0);
}

#[test]
fn another_version_may_follow_at_once_but_not_by_a_delayed_order() {
    let mut state = ControlState::default();
    begin(&mut state, "v2", 0);
    end(&mut state, 1, completed(9_000), 9_000);
    let delayed = begin(&mut state, "v3", 0);
    assert_eq!(delayed, RolloutReply::Outdated { number: 1 });
    assert_eq!(begin(&mut state, "v3", 1), in_force(2));
}

#[test]
fn stale_commands_have_no_effect() {
    let mut state = ControlState::default();
    begin(&mut state, "v2", 0);
    let advance = |number, step| RolloutCommand::Advance {
        number,
        directive: directive(step),
        elapsed_ms: 1_000,
    };
    assert_eq!(apply(&mut state, advance(1, 2)), RolloutReply::Changed);
    let before = state.rollouts.clone();
    let stale = [
        advance(1, 2),
        advance(1, 1),
        advance(7, 9),
        RolloutCommand::Elapsed {
            number: 1,
            elapsed_ms: 999,
        },
        RolloutCommand::End {
            number: 7,
            state: rolled_back(1_000),
            elapsed_ms: 1_000,
        },
        RolloutCommand::End {
            number: 1,
            state: RolloutState::InProgress(directive(9)),
            elapsed_ms: 1_000,
        },
    ];
    for command in stale {
        assert_eq!(apply(&mut state, command), RolloutReply::Unchanged);
        assert_eq!(state.rollouts, before);
    }
    end(&mut state, 1, completed(2_000), 2_000);
    let ended = state.rollouts.clone();
    assert_eq!(apply(&mut state, advance(1, 3)), RolloutReply::Unchanged);
    let undone = end(&mut state, 1, rolled_back(3_000), 3_000);
    assert_eq!(undone, RolloutReply::Unchanged);
    assert_eq!(state.rollouts, ended);
}

/// A proposal may be committed twice; both copies get the same reply.
#[test]
fn a_repeated_rollback_is_acknowledged() {
    let mut state = ControlState::default();
    begin(&mut state, "v2", 0);
    end(&mut state, 1, rolled_back(2_000), 2_000);
    let ended = state.rollouts.clone();
    assert_eq!(end(&mut state, 1, rolled_back(2_500), 2_500), in_force(1));
    assert_eq!(state.rollouts, ended);
}

/// The proposer of a rollback may have an older elapsed time than the committed one.
#[test]
fn the_elapsed_time_of_an_end_is_at_least_the_committed_time() {
    let mut state = ControlState::default();
    begin(&mut state, "v2", 0);
    let elapsed = RolloutCommand::Elapsed {
        number: 1,
        elapsed_ms: 30_000,
    };
    apply(&mut state, elapsed);
    end(&mut state, 1, rolled_back(0), 0);
    assert_eq!(latest(&state).state, rolled_back(30_000));
    assert_eq!(begin(&mut state, "v2", 1), in_force(1));
}

#[test]
fn a_snapshot_keeps_the_rollouts_and_their_numbers() {
    let mut state = ControlState::default();
    begin(&mut state, "v2", 0);
    end(&mut state, 1, completed(9_000), 9_000);
    begin(&mut state, "v3", 1);
    let mut restored = ControlState::default();
    assert!(restored.restore(&state.snapshot()));
    assert_eq!(restored.rollouts, state.rollouts);
    let refused = begin(&mut restored, "v4", 2);
    assert!(matches!(refused, RolloutReply::Refused(_)));
}

fn publish(state: &mut ControlState, version: u64, services: &[String]) {
    let specs = services.iter().map(|name| ServiceSpec {
        name: name.clone(),
        health_path: "/".to_owned(),
        max_connections: 0,
        engine: None,
        batch: None,
        cold: None,
    });
    let traffic = TrafficConfiguration {
        version,
        services: specs.collect(),
        routes: Vec::new(),
        tenants: Vec::new(),
        limits: CallerLimits {
            header_bytes: 1,
            body_bytes: 1,
            header_timeout_ms: 1,
            idle_timeout_ms: 1,
        },
    };
    let published = PublishedTraffic {
        document: Vec::new(),
        traffic,
    };
    state.apply(1, &ControlCommand::Publish(published).encode());
}

/// Ended rollouts of removed services must not accumulate; those of configured services and those
/// in progress are retained.
#[test]
fn rollouts_of_removed_services_are_bounded() {
    let mut state = ControlState::default();
    let names: Vec<String> = (0..300).map(|number| format!("s{number}")).collect();
    for (position, name) in names.iter().enumerate() {
        let order = order(name, "v2");
        apply(
            &mut state,
            RolloutCommand::Begin {
                order,
                known_number: 0,
            },
        );
        if position != 5 {
            end(&mut state, position as u64 + 1, completed(10), 10);
        }
    }
    publish(&mut state, 1, &names);
    assert_eq!(state.rollouts.all().count(), 300);
    publish(&mut state, 2, &names[..2]);
    assert!(state.rollouts.all().count() <= 70);
    for retained in ["s0", "s1", "s5", "s299"] {
        assert!(
            state.rollouts.latest_of_service(retained).is_some(),
            "{retained}"
        );
    }
}
