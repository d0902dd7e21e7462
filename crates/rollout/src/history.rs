//! History of evidence over the last seconds, from which recent periods are computed.

use crate::evidence::Evidence;
use std::collections::VecDeque;

/// Minimum time between two samples, in milliseconds. As often as the leader evaluates a rollout.
const MIN_SAMPLE_INTERVAL_MS: u64 = 100;
/// Time for which samples are kept, in milliseconds: longer than the responses of most routes.
const RETENTION_MS: u64 = 12_000;

/// Evidence at one time.
#[derive(Clone, Debug)]
struct Sample {
    elapsed_ms: u64,
    evidence: Evidence,
}

/// Samples of the summed evidence over the last seconds, oldest first.
#[derive(Clone, Debug, Default)]
pub struct EvidenceHistory {
    samples: VecDeque<Sample>,
}

impl EvidenceHistory {
    /// Records a sample. If time has gone back, as after a restart of all processes, later samples
    /// are dropped.
    pub fn record(&mut self, evidence: &Evidence, elapsed_ms: u64) {
        self.samples
            .retain(|sample| sample.elapsed_ms <= elapsed_ms);
        let is_due = self
            .samples
            .back()
            .is_none_or(|last| elapsed_ms >= last.elapsed_ms + MIN_SAMPLE_INTERVAL_MS);
        if is_due {
            self.samples.push_back(Sample {
                elapsed_ms,
                evidence: evidence.clone(),
            });
        }
        let oldest_ms = elapsed_ms.saturating_sub(RETENTION_MS);
        self.samples.retain(|sample| sample.elapsed_ms >= oldest_ms);
    }

    /// Returns the last sample at or before a time with its own time, or else the first sample.
    pub fn latest_at_or_first(&self, elapsed_ms: u64) -> Option<(&Evidence, u64)> {
        self.samples
            .iter()
            .rev()
            .find(|sample| sample.elapsed_ms <= elapsed_ms)
            .or(self.samples.front())
            .map(|sample| (&sample.evidence, sample.elapsed_ms))
    }

    /// Time between the first and the last sample, in milliseconds.
    pub fn span_ms(&self) -> u64 {
        match (self.samples.front(), self.samples.back()) {
            (Some(first), Some(last)) => last.elapsed_ms - first.elapsed_ms,
            _ => 0,
        }
    }

    /// Returns the last sample at or before a time, if there is one.
    pub fn latest_before(&self, elapsed_ms: u64) -> Option<&Evidence> {
        self.samples
            .iter()
            .rev()
            .find(|sample| sample.elapsed_ms <= elapsed_ms)
            .map(|sample| &sample.evidence)
    }
}
