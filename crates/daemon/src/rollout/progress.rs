//! Progress of a rollout according to the backend list.

use crate::session::NodeState;
use silversail_consensus::Millis;
use silversail_peer::BackendList;
use silversail_rollout::{Directive, RolloutOrder, RolloutProgress, Verdict};

/// Counts the back ends of both versions. Cold back ends of the candidate count as ready, as they
/// accept requests within a limit.
pub(super) fn progress_of(
    order: &RolloutOrder,
    backend_list: Option<&BackendList>,
    is_applied_everywhere: bool,
) -> RolloutProgress {
    let entries = backend_list
        .into_iter()
        .flat_map(|backend_list| backend_list.entries.iter());
    let service_backends = entries.filter(|backend| backend.service == order.service);
    let mut progress = RolloutProgress {
        is_applied_everywhere,
        ..RolloutProgress::default()
    };
    for backend in service_backends {
        if backend.version != order.target_version {
            progress.baseline_versions.insert(backend.version.clone());
        } else if !backend.draining {
            progress.ready_candidate_backends += 1;
        }
    }
    progress
}

/// Reason of the verdict if all back ends of the service already run the target version.
const NO_OTHER_VERSION: &str = "no_other_version";

/// The verdict on a rollout to the version that a service already runs: it completes at once, as
/// rolling it back would leave the service without back ends. Applies only before the first
/// directive; later, the removal of the old back ends tells nothing about the new version.
pub(super) fn verdict_without_baseline(
    state: &NodeState,
    directive: &Directive,
    progress: &RolloutProgress,
    now: Millis,
    elapsed_ms: u64,
) -> Option<Verdict> {
    let has_no_directive = *directive == Directive::default();
    let has_only_candidates =
        progress.ready_candidate_backends > 0 && progress.baseline_versions.is_empty();
    let is_current = state.has_current_backend_list(now);
    (has_no_directive && has_only_candidates && is_current).then(|| Verdict {
        reason: NO_OTHER_VERSION.to_owned(),
        route: String::new(),
        candidate: (0, 0),
        baseline: (0, 0),
        elapsed_ms,
    })
}
