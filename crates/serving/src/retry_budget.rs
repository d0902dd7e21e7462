//! How often requests may be sent again: a share of the requests to a service in
//! a sliding window, and an allowance beyond it that all nodes share.

use crate::Millis;
use std::collections::{BTreeMap, VecDeque};

/// Limits over all nodes.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimits {
    /// Second sends as a share of requests.
    pub ratio: f64,
    /// Second sends beyond the share, over all nodes.
    pub allowance: f64,
    /// The window, in milliseconds.
    pub window: Millis,
}

/// Share of the limits that is used, so that counts that lag on other machines do
/// not carry the sum over them.
const USED_SHARE: f64 = 0.6;

#[derive(Default)]
struct Counts {
    requests: VecDeque<Millis>,
    repeats: VecDeque<Millis>,
}

/// Counts requests and second sends by service.
pub struct RetryBudget {
    limits: RetryLimits,
    services: BTreeMap<String, Counts>,
}

impl RetryBudget {
    /// An unused budget.
    pub fn new(limits: RetryLimits) -> Self {
        Self {
            limits,
            services: BTreeMap::new(),
        }
    }

    /// A request for `service` arrived.
    pub fn record_first_attempt(&mut self, service: &str, now: Millis) {
        let counts = self.counts(service, now);
        counts.requests.push_back(now);
    }

    /// Takes a second send out of the budget; false when it is used up. `nodes`
    /// share the allowance.
    pub fn try_take_retry(&mut self, service: &str, nodes: usize, now: Millis) -> bool {
        let limits = self.limits;
        let counts = self.counts(service, now);
        let share = limits.ratio * counts.requests.len() as f64;
        let allowance = limits.allowance / nodes.max(1) as f64;
        let allowed = (share + allowance) * USED_SHARE;
        if counts.repeats.len() as f64 + 1.0 > allowed {
            return false;
        }
        counts.repeats.push_back(now);
        true
    }

    fn counts(&mut self, service: &str, now: Millis) -> &mut Counts {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), Counts::default());
        }
        let window = self.limits.window;
        let counts = self
            .services
            .get_mut(service)
            .expect("inserted above where it was absent");
        for times in [&mut counts.requests, &mut counts.repeats] {
            while times.front().is_some_and(|at| at + window < now) {
                times.pop_front();
            }
        }
        counts
    }
}
