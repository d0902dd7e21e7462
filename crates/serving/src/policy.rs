//! The mechanisms of deciding, each with a switch, so that what each is worth can be
//! measured. All are on by default.

use crate::cold::ColdBackendPolicy;
use crate::instances::ReturnPolicy;
use crate::regions::RegionAffinity;
use serde::Deserialize;
use silversail_peer::RANKS;

/// Least and greatest share of an objective that may be admitted on.
const SHARES: std::ops::RangeInclusive<f64> = 0.1..=2.0;
/// Least and greatest share of the makers' room that may be filled.
const ROOM_SHARES: std::ops::RangeInclusive<f64> = 0.2..=1.0;
/// Longest time until a call has read its inputs, in milliseconds.
const MAX_INPUTS_READ_MS: u64 = 2_000;
/// Longest wait of an order for a maker in its zone, in milliseconds.
const MAX_ZONE_WAIT_MS: u64 = 2_000;
/// Least and greatest speed at which engines may be said to read prompts, in tokens a
/// millisecond.
const PREFILL_SPEEDS: std::ops::RangeInclusive<f64> = 0.1..=10_000.0;
/// Least and greatest share of a rest over which nodes come back.
const SPREADS: std::ops::RangeInclusive<f64> = 0.0..=3.0;
/// Greatest time after which a caller may be told to come back, in milliseconds.
const MAX_RETURN_MS: u64 = 10_000;

/// Switches and figures of the decisions on requests and batches.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// Requests that share the beginning of their prompt go to the same engine.
    pub prefix_affinity: bool,
    /// Phases with much to move are made in the zone of what they fetch, or of the
    /// engine.
    pub zone_of_results: bool,
    /// Orders with much to fetch wait a while for a maker in their zone.
    pub wait_for_zone: bool,
    /// How long they wait for it, in milliseconds: about half of a call.
    pub zone_wait_ms: u64,
    /// A phase off the longest chain starts when the rest of that chain is as short.
    pub late_start: bool,
    /// Orders that a call can hold are kept whole.
    pub whole_orders: bool,
    /// Batching nodes are told of the later phases of admitted requests.
    pub announced_orders: bool,
    /// Requests whose chain can't be expected to end in time are refused.
    pub chain_admission: bool,
    /// Forecasts are corrected by how far the last ones of a service were off.
    pub corrected_forecasts: bool,
    /// Orders of more urgent requests go first.
    pub rank_order: bool,
    /// Orders too late for their objective stand back.
    pub late_orders_stand_back: bool,
    /// Slow makers get no calls for a while.
    pub pass_over_slow: bool,
    /// Makers that fail get no calls for a while.
    pub pass_over_failing: bool,
    /// Inputs of a phase are freed once its calls have begun.
    pub early_freeing: bool,
    /// Orders of phases go to shards of the region where they had better be made, unless
    /// leaving it pays.
    pub near_shards: bool,
    /// How requests choose between the back ends of regions.
    pub region_affinity: RegionAffinity,
    /// How fast engines read prompts, in tokens a millisecond: a model of 70 billion weights
    /// on eight accelerators reads some 50.
    pub prefill_tokens_per_ms: f64,
    /// How cold back ends are used.
    pub cold_use: ColdBackendPolicy,
    /// How this node comes back to back ends that asked for rest: what all nodes send at once is
    /// turned away.
    pub returns: ReturnPolicy,
    /// Share of the makers' room that calls fill.
    pub room_share: f64,
    /// Time after which a call that did not wait has read its inputs, in milliseconds.
    pub inputs_read_after_ms: u64,
    /// Share of the objective within which a chain must be expected to end, by rank: waits
    /// are told late, and bursts come between. What is less urgent is refused first.
    pub admitted_shares: [f64; RANKS],
    /// A caller refused under load is told to come back this much later than its chain is
    /// expected to have room, in milliseconds: bursts last some seconds.
    pub return_after_ms: u64,
    /// The latest return that a caller is told, in milliseconds.
    pub return_latest_ms: u64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            prefix_affinity: true,
            zone_of_results: true,
            wait_for_zone: true,
            zone_wait_ms: 200,
            late_start: true,
            whole_orders: true,
            announced_orders: true,
            chain_admission: true,
            corrected_forecasts: true,
            rank_order: true,
            late_orders_stand_back: true,
            pass_over_slow: true,
            pass_over_failing: true,
            early_freeing: true,
            near_shards: true,
            region_affinity: RegionAffinity::Popular,
            prefill_tokens_per_ms: 50.0,
            cold_use: ColdBackendPolicy::Limited,
            returns: ReturnPolicy::default(),
            room_share: 1.0,
            inputs_read_after_ms: 100,
            admitted_shares: [1.0, 0.9, 0.7, 0.6],
            return_after_ms: 3_000,
            return_latest_ms: 4_000,
        }
    }
}

/// A figure that is out of its range.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field} {problem}")]
pub struct PolicyError {
    /// The setting.
    pub field: &'static str,
    /// What is wrong, with the range.
    pub problem: &'static str,
}

impl Policy {
    /// Checks the figures.
    pub fn validate(&self) -> Result<(), PolicyError> {
        let error = |field, problem| Err(PolicyError { field, problem });
        if !self
            .admitted_shares
            .iter()
            .all(|share| SHARES.contains(share))
        {
            return error("admitted_shares", "must lie between 0.1 and 2.0");
        }
        if self.zone_wait_ms > MAX_ZONE_WAIT_MS {
            return error("zone_wait_ms", "must be at most 2000");
        }
        if !ROOM_SHARES.contains(&self.room_share) {
            return error("room_share", "must lie between 0.2 and 1.0");
        }
        if !SPREADS.contains(&self.returns.spread) {
            return error("returns.spread", "must lie between 0 and 3");
        }
        if !PREFILL_SPEEDS.contains(&self.prefill_tokens_per_ms) {
            return error("prefill_tokens_per_ms", "must lie between 0.1 and 10000");
        }
        if self.inputs_read_after_ms > MAX_INPUTS_READ_MS {
            return error("inputs_read_after_ms", "must be at most 2000");
        }
        let most = self.return_latest_ms;
        if most > MAX_RETURN_MS {
            return error("return_latest_ms", "must be at most 10000");
        }
        if self.return_after_ms > most {
            return error("return_after_ms", "must be at most return_latest_ms");
        }
        Ok(())
    }
}
