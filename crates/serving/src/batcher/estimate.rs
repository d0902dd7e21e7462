//! Estimates how long orders wait for a shard.

use super::backend_health::call_ms;
use super::order::Order;
use super::Batcher;
use crate::instances::InstanceTable;
use crate::Millis;
use silversail_model::topology::RegionFilter;
use silversail_model::traffic::BatchSpec;
use silversail_model::Shard;
use silversail_peer::{PieceFailure, ShardWaitEstimates, PRIORITY_LEVELS};

/// Lower bound of the fill ratio of calls.
const MIN_FILL_RATIO: f64 = 0.2;
/// Weight of a new call in the moving average of pieces per call.
const SIZE_WEIGHT: f64 = 0.05;

/// Moving averages over the calls of a shard.
#[derive(Clone, Copy)]
pub(super) struct CallAverages {
    /// Fill ratio of calls while more pieces wait than they take.
    fill_ratio: f64,
    /// Average number of pieces in a call.
    pieces: f64,
}

impl Default for CallAverages {
    fn default() -> Self {
        Self {
            fill_ratio: 1.0,
            pieces: 1.0,
        }
    }
}

/// Current throughput of the back ends of a shard.
struct Throughput {
    /// Milliseconds until a back end can start a call.
    until_free: f64,
    pieces_per_ms: f64,
}

impl Throughput {
    /// Milliseconds until this many pieces have been started.
    fn time_of(&self, pieces: usize) -> u32 {
        (self.until_free + pieces as f64 / self.pieces_per_ms) as u32
    }
}

impl Batcher {
    /// Expected time in milliseconds to process `pieces` more pieces of a shard for a request of
    /// this priority, behind everything that is at least as urgent.
    pub fn expected_ms(
        &self,
        shard: &Shard,
        pieces: usize,
        priority: u8,
        table: &InstanceTable,
        now: Millis,
    ) -> Result<u64, PieceFailure> {
        let spec = self.specs.get(&shard.service);
        let spec = spec.ok_or(PieceFailure::NoBackend)?;
        if !self.has_eligible_backend(shard, &RegionFilter::any(), table, now) {
            return Err(PieceFailure::NoBackend);
        }
        let level = usize::from(priority).min(PRIORITY_LEVELS - 1);
        let backlog = self.backlogs_ms(shard, table, now)[level];
        Ok(u64::from(backlog) + call_ms(spec, pieces) as u64)
    }

    /// Milliseconds until a new order is started, by priority. Orders that can no longer meet
    /// their objective are deferred and do not count.
    fn backlogs_ms(
        &self,
        shard: &Shard,
        table: &InstanceTable,
        now: Millis,
    ) -> [u32; PRIORITY_LEVELS] {
        let Some(spec) = self.specs.get(&shard.service) else {
            return [0; PRIORITY_LEVELS];
        };
        let throughput = self.throughput_of(shard, spec, table, now);
        let mut pieces = self.announced.pieces_by_priority(shard, now);
        for order in self.waiting_of(shard).filter(|order| order.is_waiting()) {
            let call_duration = call_ms(spec, order.work.pieces.len()) as Millis;
            if !order.is_late(now + call_duration) {
                pieces[order.priority()] += order.waiting_pieces();
            }
        }
        let mut before = 0;
        pieces.map(|of_priority| {
            before += of_priority;
            throughput.time_of(before)
        })
    }

    /// Milliseconds to start everything that waits, including late and less urgent orders. If
    /// all back ends of the shard reject calls or fail, the time until one may be used again is
    /// added.
    fn queue_ms(&self, shard: &Shard, table: &InstanceTable, now: Millis) -> u32 {
        let Some(spec) = self.specs.get(&shard.service) else {
            return 0;
        };
        let waiting = self.waiting_of(shard).map(Order::waiting_pieces).sum();
        let rejecting_ms = self.backends.rejecting_ms(shard, table, now);
        let queue = self.throughput_of(shard, spec, table, now).time_of(waiting);
        queue.saturating_add(rejecting_ms)
    }

    fn throughput_of(
        &self,
        shard: &Shard,
        spec: &BatchSpec,
        table: &InstanceTable,
        now: Millis,
    ) -> Throughput {
        let versions = self.main_versions(&shard.service);
        let working_count = self.backends.working_count(shard, versions, table, now);
        let backends = working_count.max(1);
        let busy = self.calls.values().filter(|call| call.shard == *shard);
        let until_free = match busy.count() >= backends {
            true => call_ms(spec, spec.pieces) / (backends + 1) as f64,
            false => 0.0,
        };
        let backoff_ms = self.backends.backoff_ms(shard, table, now) as f64;
        let until_free = until_free.max(backoff_ms);
        let pieces_of_call = spec.pieces as f64 * self.averages_of(shard).fill_ratio;
        let call = spec.call_ms + spec.piece_ms * pieces_of_call;
        let of_limited = self.backends.limited_calls_per_ms(shard, call, table, now);
        let calls_per_ms = match working_count == 0 && of_limited > 0.0 {
            true => of_limited,
            false => backends as f64 / call + of_limited,
        };
        Throughput {
            until_free,
            pieces_per_ms: calls_per_ms * pieces_of_call,
        }
    }

    fn averages_of(&self, shard: &Shard) -> CallAverages {
        self.call_averages.get(shard).copied().unwrap_or_default()
    }

    /// Updates the averages with the size of a call. `is_limited` tells that more pieces were
    /// waiting, so that result memory may have limited the call.
    pub(super) fn record_call_size(&mut self, shard: &Shard, pieces: usize, is_limited: bool) {
        let max_pieces = self.specs[&shard.service].pieces.max(1);
        let fill_ratio = match is_limited {
            true => (pieces as f64 / max_pieces as f64).clamp(MIN_FILL_RATIO, 1.0),
            false => 1.0,
        };
        let weight = if is_limited { 0.2 } else { 0.05 };
        let mut averages = self.averages_of(shard);
        averages.fill_ratio += weight * (fill_ratio - averages.fill_ratio);
        averages.pieces += SIZE_WEIGHT * (pieces as f64 - averages.pieces);
        self.call_averages.insert(shard.clone(), averages);
    }

    /// Current wait estimates of a shard, by priority.
    pub fn waits(&self, shard: &Shard, table: &InstanceTable, now: Millis) -> ShardWaitEstimates {
        let pieces = self.averages_of(shard).pieces;
        let spec = self.specs.get(&shard.service);
        let call = spec.map_or(0.0, |spec| spec.call_ms + spec.piece_ms * pieces);
        ShardWaitEstimates {
            shard: shard.clone(),
            age_ms: 0,
            backlog_ms: self.backlogs_ms(shard, table, now),
            call_ms: call as u32,
            queue_ms: self.queue_ms(shard, table, now),
        }
    }
}
