//! Rollouts, and back ends of two versions.

use super::instance;
use silversail_peer::BackendListEntry;
use silversail_rollout::{Directive, Rollout, RolloutNumber, RolloutOrder, RolloutState, Verdict};

/// A back end of a version.
pub fn of_version(id: &str, service: &str, version: &str) -> BackendListEntry {
    let mut listed = instance(id, service, "a");
    listed.version = version.to_owned();
    listed
}

/// What a directive allows: a share in thousandths, and routes that moved.
pub fn directive(step: u32, canary_permille: u16, moved_routes: &[&str]) -> Directive {
    Directive {
        step,
        canary_permille,
        moved_routes: moved_routes
            .iter()
            .map(|route| (*route).to_owned())
            .collect(),
    }
}

/// A rollout of `service` to `target`.
pub fn rollout(number: RolloutNumber, service: &str, target: &str, state: RolloutState) -> Rollout {
    Rollout {
        number,
        order: RolloutOrder {
            service: service.to_owned(),
            target_version: target.to_owned(),
            duration_ms: 12_000,
        },
        state,
        elapsed_ms: 0,
    }
}

/// Rollout 1 of `service` to `v2`, with this directive.
pub fn in_progress(service: &str, directive: Directive) -> Rollout {
    rollout(1, service, "v2", RolloutState::InProgress(directive))
}

pub fn verdict() -> Verdict {
    Verdict {
        reason: "test".to_owned(),
        route: String::new(),
        candidate: (0, 0),
        baseline: (0, 0),
        elapsed_ms: 0,
    }
}

pub fn rolled_back() -> RolloutState {
    RolloutState::RolledBack { verdict: verdict() }
}

pub fn completed(former: &[&str]) -> RolloutState {
    RolloutState::Completed {
        former_versions: former.iter().map(|version| (*version).to_owned()).collect(),
        verdict: verdict(),
    }
}
