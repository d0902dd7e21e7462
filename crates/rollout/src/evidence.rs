//! What answers of the baseline and of the candidate came to, counted on each node since the
//! rollout began there, summed by the leader. Counts of a process only grow, so a message that
//! is lost or comes twice changes nothing.

use crate::latency::LatencyHistogram;
use crate::order::{RolloutNumber, Verdict};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Answers of one version on one route.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseCounts {
    /// Requests sent, those that were sent again included.
    pub sent: u64,
    /// Whole answers that are no failure.
    pub succeeded: u64,
    /// Failures: error statuses, answers that broke off, garbled ones, none in time.
    pub failed: u64,
    /// Milliseconds until the first part of good answers.
    pub time_to_first_byte: LatencyHistogram,
    /// Milliseconds until the end of good answers.
    pub response_time: LatencyHistogram,
}

impl ResponseCounts {
    /// Requests that have an answer, good or bad.
    pub fn completed(&self) -> u64 {
        self.succeeded + self.failed
    }

    /// What came after an earlier count of the same answers. A count that fell, as processes
    /// that held it are gone, gives 0.
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

/// Answers of both versions on one route.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteEvidence {
    /// Of the baseline.
    pub baseline: ResponseCounts,
    /// Of the candidate.
    pub candidate: ResponseCounts,
}

impl RouteEvidence {
    /// Requests sent to either version.
    pub fn sent(&self) -> u64 {
        self.baseline.sent + self.candidate.sent
    }
}

/// What one process, or all together, saw of a rollout.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// The rollout.
    pub rollout: RolloutNumber,
    /// The directive that the process obeys: its step. Of a sum, the lowest.
    pub step: u32,
    /// Requests under way at the baseline.
    pub baseline_in_flight: u64,
    /// By route.
    pub routes: BTreeMap<String, RouteEvidence>,
}

impl Evidence {
    /// What came after an earlier count of the same rollout.
    pub fn since(&self, earlier: &Self) -> Self {
        let mut later = self.clone();
        for (route, seen) in &mut later.routes {
            if let Some(before) = earlier.routes.get(route) {
                seen.baseline = seen.baseline.since(&before.baseline);
                seen.candidate = seen.candidate.since(&before.candidate);
            }
        }
        later
    }

    /// Requests sent to the candidate, on all routes.
    pub fn sent_to_candidate(&self) -> u64 {
        self.routes.values().map(|seen| seen.candidate.sent).sum()
    }

    /// Requests sent to either version, on all routes.
    pub fn total_sent(&self) -> u64 {
        self.routes.values().map(RouteEvidence::sent).sum()
    }

    /// A verdict that all answers together gave, with their failures.
    pub fn verdict(&self, reason: &str, elapsed_ms: u64) -> Verdict {
        let mut candidate = (0, 0);
        let mut baseline = (0, 0);
        for seen in self.routes.values() {
            candidate.0 += seen.candidate.completed();
            candidate.1 += seen.candidate.failed;
            baseline.0 += seen.baseline.completed();
            baseline.1 += seen.baseline.failed;
        }
        Verdict {
            reason: reason.to_owned(),
            route: String::new(),
            candidate,
            baseline,
            elapsed_ms,
        }
    }

    /// Answers of the candidate, on all routes.
    pub fn candidate_completed(&self) -> u64 {
        self.routes
            .values()
            .map(|seen| seen.candidate.completed())
            .sum()
    }

    /// Adds what another process saw of the same rollout: counts are summed, and the step is the
    /// lowest of both.
    pub fn merge(&mut self, other: &Self) {
        self.step = self.step.min(other.step);
        self.baseline_in_flight += other.baseline_in_flight;
        for (route, seen) in &other.routes {
            let own = self.routes.entry(route.clone()).or_default();
            own.baseline.merge(&seen.baseline);
            own.candidate.merge(&seen.candidate);
        }
    }
}
