//! Latency histogram that is compact enough to be sent with each heartbeat.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Histogram with logarithmic buckets, four per doubling: bucket `i` counts times from `2^(i / 4)`
/// ms to below `2^((i + 1) / 4)` ms.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LatencyHistogram {
    /// Counts by bucket index; empty buckets are omitted.
    pub buckets: BTreeMap<u8, u32>,
}

/// Number of buckets per doubling of the time.
const BUCKETS_PER_OCTAVE: f64 = 4.0;

impl LatencyHistogram {
    /// Records a time in milliseconds.
    pub fn record(&mut self, ms: u64) {
        let count = self.buckets.entry(bucket_for(ms)).or_default();
        *count = count.saturating_add(1);
    }

    /// Adds the counts of another process.
    pub fn merge(&mut self, other: &Self) {
        for (bucket, count) in &other.buckets {
            let own_count = self.buckets.entry(*bucket).or_default();
            *own_count = own_count.saturating_add(*count);
        }
    }

    /// Number of recorded times.
    pub fn count(&self) -> u64 {
        self.buckets.values().map(|count| u64::from(*count)).sum()
    }

    /// Returns the difference to an earlier state of the same histogram.
    pub fn since(&self, earlier: &Self) -> Self {
        let mut difference = self.clone();
        for (bucket, count) in &earlier.buckets {
            if let Some(own_count) = difference.buckets.get_mut(bucket) {
                *own_count = own_count.saturating_sub(*count);
            }
        }
        difference.buckets.retain(|_, count| *count > 0);
        difference
    }

    /// Number of times in buckets that lie completely above `ms` milliseconds.
    pub fn count_above(&self, ms: f64) -> u64 {
        self.buckets
            .iter()
            .filter(|(bucket, _)| lower_bound_ms(**bucket) >= ms)
            .map(|(_, count)| u64::from(*count))
            .sum()
    }

    /// Returns the `q` quantile (0 to 1) in milliseconds, interpolated within its bucket, or `None`
    /// if the histogram is empty.
    pub fn quantile_ms(&self, q: f64) -> Option<f64> {
        let target_count = (q.clamp(0.0, 1.0) * self.count() as f64).max(1.0);
        let mut cumulative_count = 0.0;
        for (bucket, count) in &self.buckets {
            let count = f64::from(*count);
            if cumulative_count + count >= target_count {
                let bucket_fraction = (target_count - cumulative_count) / count;
                return Some(
                    lower_bound_ms(*bucket) * 2f64.powf(bucket_fraction / BUCKETS_PER_OCTAVE),
                );
            }
            cumulative_count += count;
        }
        None
    }
}

fn bucket_for(ms: u64) -> u8 {
    let octaves = (ms.max(1) as f64).log2();
    (octaves * BUCKETS_PER_OCTAVE) as u8
}

fn lower_bound_ms(bucket: u8) -> f64 {
    2f64.powf(f64::from(bucket) / BUCKETS_PER_OCTAVE)
}
