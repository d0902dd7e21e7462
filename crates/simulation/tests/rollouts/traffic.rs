//! The made-up traffic: which requests go to the candidate, and what the answers come to.

use crate::harness::Candidate;
use silversail_daemon::session::NodeState;
use silversail_rollout::{Directive, Evidence, ResponseCounts, RolloutNumber};

const ROUTE: &str = "route";
/// Share of the requests above which a candidate is under load, in thousandths.
const LOADED_PERMILLE: u16 = 333;

pub fn evidence_of(state: &mut NodeState, number: RolloutNumber) -> &mut Evidence {
    let all = &mut state.rollout_evidence;
    let known = all.iter().position(|one| one.rollout == number);
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
    let seen = evidence.routes.get(ROUTE).cloned().unwrap_or_default();
    let sent = seen.candidate.sent + seen.baseline.sent + 1;
    (seen.candidate.sent + 1) * 1_000 <= u64::from(directive.canary_permille) * sent
}

/// Whether the candidate has more than a third of the requests.
pub fn is_loaded(directive: &Directive) -> bool {
    directive.moved_routes.contains(ROUTE) || directive.canary_permille > LOADED_PERMILLE
}

/// Counts an answer; false where it is bad.
pub fn count(
    evidence: &mut Evidence,
    to_candidate: bool,
    quality: Candidate,
    is_loaded: bool,
) -> bool {
    let seen = evidence.routes.entry(ROUTE.to_owned()).or_default();
    let answers: &mut ResponseCounts = match to_candidate {
        true => &mut seen.candidate,
        false => &mut seen.baseline,
    };
    answers.sent += 1;
    let fails = match quality {
        Candidate::Good => false,
        Candidate::Bad => answers.sent.is_multiple_of(2),
        Candidate::BadUnderLoad => is_loaded && answers.sent % 5 < 3,
    };
    if to_candidate && fails {
        answers.failed += 1;
        return false;
    }
    answers.succeeded += 1;
    answers.time_to_first_byte.record(20);
    answers.response_time.record(40);
    true
}
