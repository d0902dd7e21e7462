//! How long a service takes now.

use super::makers::call_ms;
use super::order::Order;
use super::Batcher;
use crate::instances::InstanceTable;
use crate::Millis;
use silversail_model::topology::RegionFilter;
use silversail_model::traffic::BatchSpec;
use silversail_model::Shard;
use silversail_peer::{PieceFailure, ShardWaitEstimates, PRIORITY_LEVELS};

/// Least share of a full call that is expected of a service.
const LEAST_FULLNESS: f64 = 0.2;
/// Weight of a call in the mean size of calls.
const SIZE_WEIGHT: f64 = 0.05;

/// What the calls of a shard were like lately.
#[derive(Clone, Copy)]
pub(super) struct Pace {
    /// Share of a full call that calls hold while more waits than they take.
    fullness: f64,
    /// Mean number of pieces in a call.
    pieces: f64,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            fullness: 1.0,
            pieces: 1.0,
        }
    }
}

/// How fast the makers of a shard take pieces now.
struct Flow {
    /// Milliseconds until one of them can begin a call.
    until_free: f64,
    pieces_per_ms: f64,
}

impl Flow {
    /// Milliseconds until so many pieces have their turn.
    fn time_of(&self, pieces: usize) -> u32 {
        (self.until_free + pieces as f64 / self.pieces_per_ms) as u32
    }
}

impl Batcher {
    /// How long `pieces` more pieces of a shard can be expected to take for a
    /// request of `rank`, in milliseconds: what is at least as urgent goes first.
    pub fn expected_ms(
        &self,
        shard: &Shard,
        pieces: usize,
        rank: u8,
        table: &InstanceTable,
        now: Millis,
    ) -> Result<u64, PieceFailure> {
        let spec = self.specs.get(&shard.service);
        let spec = spec.ok_or(PieceFailure::NoBackend)?;
        if !self.is_staffed(shard, &RegionFilter::any(), table) {
            return Err(PieceFailure::NoBackend);
        }
        let rank = usize::from(rank).min(PRIORITY_LEVELS - 1);
        let backlog = self.backlogs_ms(shard, table, now)[rank];
        Ok(u64::from(backlog) + call_ms(spec, pieces) as u64)
    }

    /// How long it takes until an order has its turn, in milliseconds, by rank. Orders
    /// too late for their objective stand back and do not count.
    fn backlogs_ms(
        &self,
        shard: &Shard,
        table: &InstanceTable,
        now: Millis,
    ) -> [u32; PRIORITY_LEVELS] {
        let Some(spec) = self.specs.get(&shard.service) else {
            return [0; PRIORITY_LEVELS];
        };
        let flow = self.flow_of(shard, spec, table, now);
        let mut pieces = self.announced.pieces_by_rank(shard, now);
        for order in self.waiting_of(shard).filter(|order| order.is_waiting()) {
            let own_call = call_ms(spec, order.work.pieces.len()) as Millis;
            if !order.is_late(now + own_call) {
                pieces[order.rank()] += order.waiting_pieces();
            }
        }
        let mut before = 0;
        pieces.map(|of_rank| {
            before += of_rank;
            flow.time_of(before)
        })
    }

    /// How long what waits now takes, late and less urgent orders included. A shard whose
    /// makers all refuse or fail has no turn for anybody, however little waits.
    fn queue_ms(&self, shard: &Shard, table: &InstanceTable, now: Millis) -> u32 {
        let Some(spec) = self.specs.get(&shard.service) else {
            return 0;
        };
        let waiting = self.waiting_of(shard).map(Order::waiting_pieces).sum();
        let refusing = self.makers.refusing_ms(shard, table, now);
        let queue = self.flow_of(shard, spec, table, now).time_of(waiting);
        queue.saturating_add(refusing)
    }

    fn flow_of(&self, shard: &Shard, spec: &BatchSpec, table: &InstanceTable, now: Millis) -> Flow {
        let versions = self.main_versions(&shard.service);
        let working = self.makers.working(shard, versions, table, now);
        let makers = working.max(1);
        let busy = self.calls.values().filter(|one| one.shard == *shard);
        let until_free = match busy.count() >= makers {
            true => call_ms(spec, spec.pieces) / (makers + 1) as f64,
            false => 0.0,
        };
        let rest = self.makers.rest_ms(shard, table, now) as f64;
        let until_free = until_free.max(rest);
        let pieces_of_call = spec.pieces as f64 * self.pace_of(shard).fullness;
        let call = spec.call_ms + spec.piece_ms * pieces_of_call;
        let of_limited = self.makers.limited_calls_per_ms(shard, call, table);
        let calls_per_ms = match working == 0 && of_limited > 0.0 {
            true => of_limited,
            false => makers as f64 / call + of_limited,
        };
        Flow {
            until_free,
            pieces_per_ms: calls_per_ms * pieces_of_call,
        }
    }

    fn pace_of(&self, shard: &Shard) -> Pace {
        self.paces.get(shard).copied().unwrap_or_default()
    }

    /// Takes in how many pieces a call took. While more waits than it took, room at
    /// the makers may limit calls.
    pub(super) fn note_call(&mut self, shard: &Shard, taken: usize, is_limited: bool) {
        let most = self.specs[&shard.service].pieces.max(1);
        let seen = match is_limited {
            true => (taken as f64 / most as f64).clamp(LEAST_FULLNESS, 1.0),
            false => 1.0,
        };
        let weight = if is_limited { 0.2 } else { 0.05 };
        let mut pace = self.pace_of(shard);
        pace.fullness += weight * (seen - pace.fullness);
        pace.pieces += SIZE_WEIGHT * (taken as f64 - pace.pieces);
        self.paces.insert(shard.clone(), pace);
    }

    /// How long a phase takes at a shard now, by rank.
    pub fn waits(&self, shard: &Shard, table: &InstanceTable, now: Millis) -> ShardWaitEstimates {
        let pieces = self.pace_of(shard).pieces;
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
