//! Policy settings: switches and parameters of the decision mechanisms. All mechanisms are enabled
//! by default.

use crate::cold::ColdBackendPolicy;
use crate::instances::ResumePolicy;
use crate::regions::RegionAffinity;
use serde::Deserialize;
use silversail_peer::PRIORITY_LEVELS;

/// Valid range of `admitted_shares`.
const ADMITTED_SHARES: std::ops::RangeInclusive<f64> = 0.1..=2.0;
/// Valid range of `room_share`.
const ROOM_SHARES: std::ops::RangeInclusive<f64> = 0.2..=1.0;
/// Upper bound of `inputs_read_after_ms`, in milliseconds.
const MAX_INPUTS_READ_MS: u64 = 2_000;
/// Upper bound of `zone_wait_ms`, in milliseconds.
const MAX_ZONE_WAIT_MS: u64 = 2_000;
/// Valid range of `prefill_tokens_per_ms`, in tokens per millisecond.
const PREFILL_SPEEDS: std::ops::RangeInclusive<f64> = 0.1..=10_000.0;
/// Valid range of `returns.spread`, as a fraction of the back-off.
const SPREADS: std::ops::RangeInclusive<f64> = 0.0..=3.0;
/// Upper bound of `return_latest_ms`, in milliseconds.
const MAX_RETURN_MS: u64 = 10_000;

/// Settings of the decisions on requests and batches.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// Send requests with the same prompt prefix to the same engine.
    pub prefix_affinity: bool,
    /// Run phases with large transfers in the zone of their inputs, or of the engine.
    pub zone_of_results: bool,
    /// Let orders with large inputs wait for a back end in their zone.
    pub wait_for_zone: bool,
    /// Maximum length of that wait, in milliseconds.
    pub zone_wait_ms: u64,
    /// Delay phases off the critical path until the remaining critical path is as short.
    pub late_start: bool,
    /// Do not split orders that fit into one call.
    pub whole_orders: bool,
    /// Announce the later phases of admitted requests to batching nodes.
    pub announced_orders: bool,
    /// Reject requests whose chain of phases is not expected to end in time.
    pub chain_admission: bool,
    /// Correct forecasts by the recent forecast errors of the service.
    pub corrected_forecasts: bool,
    /// Process orders by the priority of their requests.
    pub rank_order: bool,
    /// Give precedence over orders that can no longer meet their objective.
    pub late_orders_stand_back: bool,
    /// Temporarily exclude slow back ends from calls.
    pub pass_over_slow: bool,
    /// Temporarily exclude failing back ends from calls.
    pub pass_over_failing: bool,
    /// Free the inputs of a phase once its calls have started.
    pub early_freeing: bool,
    /// Place orders in their preferred region unless the gain elsewhere exceeds the cost.
    pub near_shards: bool,
    /// Policy for the choice between regions.
    pub region_affinity: RegionAffinity,
    /// Prefill speed of engines, in tokens per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Policy for cold back ends.
    pub cold_use: ColdBackendPolicy,
    /// Spreading of the nodes' return to a back end after its back-off, which avoids a burst.
    pub returns: ResumePolicy,
    /// Fraction of the back ends' capacity that calls fill.
    pub room_share: f64,
    /// Time after which a call that started without delay has read its inputs, in milliseconds.
    pub inputs_read_after_ms: u64,
    /// Fraction of the objective within which a chain must be expected to end, by priority. Lower
    /// fractions reject less urgent requests first.
    pub admitted_shares: [f64; PRIORITY_LEVELS],
    /// Delay that is added to the expected time of free capacity when a rejected caller is told to
    /// retry, in milliseconds.
    pub return_after_ms: u64,
    /// Maximum retry delay that a caller is told, in milliseconds.
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
            returns: ResumePolicy::default(),
            room_share: 1.0,
            inputs_read_after_ms: 100,
            admitted_shares: [1.0, 0.9, 0.7, 0.6],
            return_after_ms: 3_000,
            return_latest_ms: 4_000,
        }
    }
}

/// A setting that is out of its valid range.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field} {problem}")]
pub struct PolicyError {
    /// Name of the setting.
    pub field: &'static str,
    /// Description of the problem with the valid range.
    pub problem: &'static str,
}

impl Policy {
    /// Checks that all settings are within their valid ranges.
    ///
    /// # Errors
    ///
    /// The first setting that is out of range.
    pub fn validate(&self) -> Result<(), PolicyError> {
        let error = |field, problem| Err(PolicyError { field, problem });
        if !self
            .admitted_shares
            .iter()
            .all(|share| ADMITTED_SHARES.contains(share))
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
