//! Counts of times, small enough for each heartbeat.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Times counted in buckets whose bounds grow by a quarter of an octave: bucket `i` holds times
/// below `2^((i + 1) / 4)` ms that no bucket before it holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LatencyHistogram {
    /// Counts by bucket; buckets that hold nothing are left out.
    pub buckets: BTreeMap<u8, u32>,
}

/// Buckets in which a time doubles.
const BUCKETS_PER_OCTAVE: f64 = 4.0;

impl LatencyHistogram {
    /// Counts a time in milliseconds.
    pub fn record(&mut self, ms: u64) {
        let count = self.buckets.entry(bucket_of(ms)).or_default();
        *count = count.saturating_add(1);
    }

    /// Adds the counts of another process.
    pub fn merge(&mut self, other: &Self) {
        for (bucket, count) in &other.buckets {
            let own = self.buckets.entry(*bucket).or_default();
            *own = own.saturating_add(*count);
        }
    }

    /// Times counted.
    pub fn count(&self) -> u64 {
        self.buckets.values().map(|count| u64::from(*count)).sum()
    }

    /// What came after an earlier count of the same times.
    pub fn since(&self, earlier: &Self) -> Self {
        let mut later = self.clone();
        for (bucket, count) in &earlier.buckets {
            if let Some(own) = later.buckets.get_mut(bucket) {
                *own = own.saturating_sub(*count);
            }
        }
        later.buckets.retain(|_, count| *count > 0);
        later
    }

    /// Times that lie in buckets wholly above `ms` milliseconds.
    pub fn count_above(&self, ms: f64) -> u64 {
        self.buckets
            .iter()
            .filter(|(bucket, _)| lower_bound_ms(**bucket) >= ms)
            .map(|(_, count)| u64::from(*count))
            .sum()
    }

    /// Time in milliseconds that the share `q` (0 to 1) of all times does not exceed, exact to
    /// a bucket; none where nothing was counted.
    pub fn quantile_ms(&self, q: f64) -> Option<f64> {
        let wanted = (q.clamp(0.0, 1.0) * self.count() as f64).max(1.0);
        let mut passed = 0.0;
        for (bucket, count) in &self.buckets {
            let count = f64::from(*count);
            if passed + count >= wanted {
                let within = (wanted - passed) / count;
                return Some(lower_bound_ms(*bucket) * 2f64.powf(within / BUCKETS_PER_OCTAVE));
            }
            passed += count;
        }
        None
    }
}

fn bucket_of(ms: u64) -> u8 {
    let octaves = (ms.max(1) as f64).log2();
    (octaves * BUCKETS_PER_OCTAVE) as u8
}

fn lower_bound_ms(bucket: u8) -> f64 {
    2f64.powf(f64::from(bucket) / BUCKETS_PER_OCTAVE)
}
