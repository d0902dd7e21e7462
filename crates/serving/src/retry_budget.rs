//! Retry budget: retries are limited to a share of the requests to a service in a sliding window,
//! plus an allowance that all nodes share.

use crate::Millis;
use std::collections::{BTreeMap, VecDeque};

/// Limits on retries over all nodes.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimits {
    /// Maximum retries as a fraction of requests.
    pub ratio: f64,
    /// Additional retries per window, over all nodes.
    pub allowance: f64,
    /// Length of the sliding window, in milliseconds.
    pub window: Millis,
}

/// Fraction of the limits that a node uses; the rest covers nodes whose counts lag.
const SAFETY_FACTOR: f64 = 0.6;

#[derive(Default)]
struct Counts {
    requests: VecDeque<Millis>,
    retries: VecDeque<Millis>,
}

/// Sliding-window counts of requests and retries by service.
pub struct RetryBudget {
    limits: RetryLimits,
    services: BTreeMap<String, Counts>,
}

impl RetryBudget {
    /// Creates a budget without recorded requests.
    pub fn new(limits: RetryLimits) -> Self {
        Self {
            limits,
            services: BTreeMap::new(),
        }
    }

    /// Records the arrival of a request for `service`.
    pub fn record_first_attempt(&mut self, service: &str, now: Millis) {
        let counts = self.counts(service, now);
        counts.requests.push_back(now);
    }

    /// Consumes one retry; false if the budget is exhausted. The allowance is divided by `nodes`.
    pub fn try_take_retry(&mut self, service: &str, nodes: usize, now: Millis) -> bool {
        let limits = self.limits;
        let counts = self.counts(service, now);
        let share = limits.ratio * counts.requests.len() as f64;
        let allowance = limits.allowance / nodes.max(1) as f64;
        let allowed = (share + allowance) * SAFETY_FACTOR;
        if counts.retries.len() as f64 + 1.0 > allowed {
            return false;
        }
        counts.retries.push_back(now);
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
        for times in [&mut counts.requests, &mut counts.retries] {
            while times.front().is_some_and(|at| at + window < now) {
                times.pop_front();
            }
        }
        counts
    }
}
