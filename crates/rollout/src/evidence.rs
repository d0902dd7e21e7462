//! Evidence of a rollout: counts of the responses of baseline and candidate, kept by each node
//! since the rollout began there and summed by the leader. The counts of a process only increase,
//! so lost or repeated messages do not change the sum.

use crate::latency::LatencyHistogram;
use crate::order::{RolloutNumber, Verdict};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Counts of the responses of one version on one route.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseCounts {
    /// Number of requests sent, including retries.
    pub sent: u64,
    /// Number of complete responses without a failure.
    pub succeeded: u64,
    /// Number of failures: error statuses, interrupted or malformed responses, and timeouts.
    pub failed: u64,
    /// Time to the first byte of successful responses, in milliseconds.
    pub time_to_first_byte: LatencyHistogram,
    /// Time to the end of successful responses, in milliseconds.
    pub response_time: LatencyHistogram,
}

impl ResponseCounts {
    /// Number of requests that have succeeded or failed.
    pub fn completed(&self) -> u64 {
        self.succeeded + self.failed
    }

    /// Returns the difference to an earlier count. A count that has decreased because processes
    /// ended gives 0.
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            sent: self.sent.saturating_sub(earlier.sent),
            succeeded: self.succeeded.saturating_sub(earlier.succeeded),
            failed: self.failed.saturating_sub(earlier.failed),
            time_to_first_byte: self.time_to_first_byte.since(&earlier.time_to_first_byte),
            response_time: self.response_time.since(&earlier.response_time),
        }
    }

    /// Adds the counts of another process.
    pub fn merge(&mut self, other: &Self) {
        self.sent += other.sent;
        self.succeeded += other.succeeded;
        self.failed += other.failed;
        self.time_to_first_byte.merge(&other.time_to_first_byte);
        self.response_time.merge(&other.response_time);
    }
}

/// Counts of the responses of both versions on one route.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteEvidence {
    /// Responses of the baseline.
    pub baseline: ResponseCounts,
    /// Responses of the candidate.
    pub candidate: ResponseCounts,
}

impl RouteEvidence {
    /// Number of requests sent to both versions.
    pub fn sent(&self) -> u64 {
        self.baseline.sent + self.candidate.sent
    }
}

/// Evidence of one process, or the sum over all processes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Number of the rollout.
    pub rollout: RolloutNumber,
    /// Step of the directive that the process applies; the lowest one in a sum.
    pub step: u32,
    /// Number of requests in flight at the baseline.
    pub baseline_in_flight: u64,
    /// Counts by route name.
    pub routes: BTreeMap<String, RouteEvidence>,
}

impl Evidence {
    /// Returns the difference to earlier evidence of the same rollout.
    pub fn since(&self, earlier: &Self) -> Self {
        let mut difference = self.clone();
        for (route, route_evidence) in &mut difference.routes {
            if let Some(earlier_route) = earlier.routes.get(route) {
                route_evidence.baseline = route_evidence.baseline.since(&earlier_route.baseline);
                route_evidence.candidate = route_evidence.candidate.since(&earlier_route.candidate);
            }
        }
        difference
    }

    /// Number of requests sent to the candidate, on all routes.
    pub fn sent_to_candidate(&self) -> u64 {
        self.routes
            .values()
            .map(|route_evidence| route_evidence.candidate.sent)
            .sum()
    }

    /// Number of requests sent to both versions, on all routes.
    pub fn total_sent(&self) -> u64 {
        self.routes.values().map(RouteEvidence::sent).sum()
    }

    /// Returns a verdict with the given reason and the counts over all routes.
    pub fn verdict(&self, reason: &str, elapsed_ms: u64) -> Verdict {
        let mut candidate = (0, 0);
        let mut baseline = (0, 0);
        for route_evidence in self.routes.values() {
            candidate.0 += route_evidence.candidate.completed();
            candidate.1 += route_evidence.candidate.failed;
            baseline.0 += route_evidence.baseline.completed();
            baseline.1 += route_evidence.baseline.failed;
        }
        Verdict {
            reason: reason.to_owned(),
            route: String::new(),
            candidate,
            baseline,
            elapsed_ms,
        }
    }

    /// Number of completed candidate requests, on all routes.
    pub fn candidate_completed(&self) -> u64 {
        self.routes
            .values()
            .map(|route_evidence| route_evidence.candidate.completed())
            .sum()
    }

    /// Adds the evidence of another process: counts are summed, and the step is the lower of both.
    pub fn merge(&mut self, other: &Self) {
        self.step = self.step.min(other.step);
        self.baseline_in_flight += other.baseline_in_flight;
        for (route, route_evidence) in &other.routes {
            let own_route = self.routes.entry(route.clone()).or_default();
            own_route.baseline.merge(&route_evidence.baseline);
            own_route.candidate.merge(&route_evidence.candidate);
        }
    }
}
