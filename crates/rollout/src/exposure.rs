//! Limits on each node how many requests it sends to the candidate.

use crate::order::Directive;

/// Maximum factor on the share for a node that has sent at least one request too few to the
/// candidate, as after an increase of the share.
const MAX_CATCH_UP_FACTOR: f64 = 2.0;

/// Counts the requests that a process has sent since the rollout began there, and decides which of
/// the next ones go to the candidate.
///
/// One request in each `1 / share` goes to the candidate, at a uniformly random position. The
/// expected number thus equals the share from the first request on, and no process ever exceeds
/// it by a whole request, so that the sum over many processes and restarts also keeps the share.
/// A deterministic position would send either one request per started process or, with many nodes
/// and few requests, none at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ExposureBudget {
    total_sent: u64,
    sent_to_candidate: u64,
}

impl ExposureBudget {
    /// Creates the budget of a process that has not sent any request.
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether the next request of a route goes to the candidate. `sampling_key` is a hash of the
    /// request identifier and may use fewer than 64 bits. Requests of moved routes count towards
    /// the share, so other routes pause until the node is back within it.
    pub fn may_send_to_candidate(
        &self,
        directive: &Directive,
        route: &str,
        sampling_key: u64,
    ) -> bool {
        if directive.moved_routes.contains(route) {
            return true;
        }
        let share = f64::from(directive.canary_permille.min(1_000)) / 1_000.0;
        unit_interval(sampling_key) < self.candidate_probability(share)
    }

    /// Records a request that was sent to the candidate or to the baseline.
    pub fn record_sent(&mut self, to_candidate: bool) {
        self.total_sent += 1;
        self.sent_to_candidate += u64::from(to_candidate);
    }

    /// Probability that the next request goes to the candidate: the share divided by the remaining
    /// fraction of the current interval of `1 / share` requests.
    fn candidate_probability(&self, share: f64) -> f64 {
        let deficit = share * self.total_sent as f64 - self.sent_to_candidate as f64;
        if deficit < 0.0 {
            return 0.0;
        }
        if deficit >= 1.0 {
            return (MAX_CATCH_UP_FACTOR * share).min(1.0);
        }
        (share / (1.0 - deficit)).min(1.0)
    }
}

/// Maps a sampling key uniformly to 0..1 with the finalizer of SplitMix64, even if callers use only
/// few distinct values.
fn unit_interval(sampling_key: u64) -> f64 {
    let mut mixed = sampling_key.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^= mixed >> 31;
    (mixed >> 11) as f64 / (1u64 << 53) as f64
}
