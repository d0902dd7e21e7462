//! What the list of back ends says of a rollout.

use crate::session::NodeState;
use silversail_consensus::Millis;
use silversail_peer::BackendList;
use silversail_rollout::{Directive, RolloutOrder, RolloutProgress, Verdict};

/// How far the back ends of both versions are. Cold ones of the candidate count: they take few
/// requests, within a limit that all nodes keep.
pub(super) fn progress_of(
    order: &RolloutOrder,
    listing: Option<&BackendList>,
    is_applied_everywhere: bool,
) -> RolloutProgress {
    let entries = listing
        .into_iter()
        .flat_map(|listing| listing.entries.iter());
    let of_service = entries.filter(|one| one.service == order.service);
    let mut progress = RolloutProgress {
        is_applied_everywhere,
        ..RolloutProgress::default()
    };
    for instance in of_service {
        if instance.version != order.target_version {
            progress.baseline_versions.insert(instance.version.clone());
        } else if !instance.draining {
            progress.ready_candidate_backends += 1;
        }
    }
    progress
}

/// Reason of the verdict where a service has no other version.
const NO_OTHER_VERSION: &str = "no_other_version";

/// The verdict on an order of the version that a service runs already: it is complete at once, as
/// rolling it back would leave the service without back ends. Only before anything was directed:
/// later, old back ends that are gone say nothing of the new ones.
pub(super) fn verdict_without_baseline(
    state: &NodeState,
    directive: &Directive,
    progress: &RolloutProgress,
    now: Millis,
    elapsed_ms: u64,
) -> Option<Verdict> {
    let is_untouched = *directive == Directive::default();
    let has_only_candidates =
        progress.ready_candidate_backends > 0 && progress.baseline_versions.is_empty();
    let is_current = state.has_current_backend_list(now);
    (is_untouched && has_only_candidates && is_current).then(|| Verdict {
        reason: NO_OTHER_VERSION.to_owned(),
        route: String::new(),
        candidate: (0, 0),
        baseline: (0, 0),
        elapsed_ms,
    })
}
