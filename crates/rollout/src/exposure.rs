//! What a node may send to the candidate, bounded on the node itself.

use crate::order::Directive;

/// How much faster than its share a node that is behind by whole requests may send to the
/// candidate, as after the share was raised.
const CATCH_UP: f64 = 2.0;

/// What a process sent of one rollout since it began there, and what it may still send to the
/// candidate.
///
/// While only a share is allowed, one request in each `1 / share` goes to the candidate, drawn
/// evenly among them by its lot. So the expectation is the share itself from the first request
/// on, and no process is ever ahead by a whole request: the sum over any number of processes
/// and restarts keeps the share up to half a square root of their number, whoever is cut off
/// or late. A bound that gives each process its first request at once or only after `1 / share`
/// others would send one for each process that starts, or none at all where a hundred nodes
/// share a small service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ExposureBudget {
    sent_in_all: u64,
    sent_to_candidate: u64,
}

impl ExposureBudget {
    /// Of a process that has sent nothing yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether the next request of a route may go to the candidate. `lot` is a hash of the
    /// request's identifier and may use all 64 bits or fewer. Requests of moved routes count
    /// too: after a move a node first falls back to the share before other routes get more.
    pub fn may_send_to_candidate(&self, directive: &Directive, route: &str, lot: u64) -> bool {
        if directive.moved_routes.contains(route) {
            return true;
        }
        let share = f64::from(directive.canary_permille.min(1_000)) / 1_000.0;
        unit_interval(lot) < self.chance(share)
    }

    /// Counts a request that was sent.
    pub fn record_sent(&mut self, to_candidate: bool) {
        self.sent_in_all += 1;
        self.sent_to_candidate += u64::from(to_candidate);
    }

    /// Probability with which the next request goes to the candidate: the share, over what is
    /// left of the `1 / share` requests of which one does.
    fn chance(&self, share: f64) -> f64 {
        let behind = share * self.sent_in_all as f64 - self.sent_to_candidate as f64;
        if behind < 0.0 {
            return 0.0;
        }
        if behind >= 1.0 {
            return (CATCH_UP * share).min(1.0);
        }
        (share / (1.0 - behind)).min(1.0)
    }
}

/// Spreads a lot evenly over 0 to 1 (the finalizer of SplitMix64), also where callers draw from
/// few values.
fn unit_interval(lot: u64) -> f64 {
    let mut mixed = lot.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^= mixed >> 31;
    (mixed >> 11) as f64 / (1u64 << 53) as f64
}
