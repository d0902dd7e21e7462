//! Simulated requests: whether one goes to the candidate, and whether it succeeds.

use crate::harness::CandidateQuality;
use silversail_daemon::session::NodeState;
use silversail_rollout::{Directive, Evidence, ResponseCounts, RolloutNumber};

const ROUTE: &str = "route";
/// Share of the requests above which a candidate counts as loaded, in thousandths.
const LOADED_PERMILLE: u16 = 333;

pub fn evidence_of(state: &mut NodeState, number: RolloutNumber) -> &mut Evidence {
    let all = &mut state.rollout_evidence;
    let known = all.iter().position(|evidence| evidence.rollout == number);
    let position = known.unwrap_or(all.len());
    if known.is_none() {
        all.push(Evidence {
            rollout: number,
            ..Evidence::default()
        });
    }
    &mut all[position]
}

pub fn goes_to_candidate(evidence: &Evidence, directive: &Directive) -> bool {
    if directive.moved_routes.contains(ROUTE) {
        return true;
    }
    let route = evidence.routes.get(ROUTE).cloned().unwrap_or_default();
    let sent = route.candidate.sent + route.baseline.sent + 1;
    (route.candidate.sent + 1) * 1_000 <= u64::from(directive.canary_permille) * sent
}

/// Whether the candidate has more than a third of the requests.
pub fn is_loaded(directive: &Directive) -> bool {
    directive.moved_routes.contains(ROUTE) || directive.canary_permille > LOADED_PERMILLE
}

/// Records a response; false where it has failed.
pub fn record_response(
    evidence: &mut Evidence,
    to_candidate: bool,
    quality: CandidateQuality,
    is_loaded: bool,
) -> bool {
    let route = evidence.routes.entry(ROUTE.to_owned()).or_default();
    let counts: &mut ResponseCounts = match to_candidate {
        true => &mut route.candidate,
        false => &mut route.baseline,
    };
    counts.sent += 1;
    let fails = match quality {
        CandidateQuality::Good => false,
        CandidateQuality::Bad => counts.sent.is_multiple_of(2),
        CandidateQuality::BadUnderLoad => is_loaded && counts.sent % 5 < 3,
    };
    if to_candidate && fails {
        counts.failed += 1;
        return false;
    }
    counts.succeeded += 1;
    counts.time_to_first_byte.record(20);
    counts.response_time.record(40);
    true
}
