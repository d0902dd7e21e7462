//! Admission control: whether all phases of a request are expected to finish in time, by the
//! wait estimates of the batching nodes.

use super::request::ActiveRequest;
use crate::policy::Policy;
use crate::waits::ShardWaitTable;
use crate::Millis;
use silversail_model::Topology;
use silversail_peer::PRIORITY_LEVELS;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Initial estimate of the time from the send to the first byte of an answer, in milliseconds.
const INITIAL_TIME_TO_FIRST_BYTE_MS: f64 = 150.0;
/// Weight of a new answer in the moving average of that time.
const TIME_TO_FIRST_BYTE_WEIGHT: f64 = 0.1;
/// Cap on the time of one answer in that average, in milliseconds, so that a stuck one does not
/// distort it.
const MAX_TIME_TO_FIRST_BYTE_MS: f64 = 1_000.0;

/// Weight of a phase in the moving average of a service's forecast errors.
const ERROR_WEIGHT: f64 = 0.15;
/// Cap on the error of one phase in that average, in milliseconds.
const MAX_ERROR_MS: f64 = 1_000.0;
/// Half-life of that average in milliseconds. Without it, a service that rejects everything
/// would never be corrected.
const ERROR_HALF_LIFE_MS: f64 = 2_000.0;

/// Average time in milliseconds by which the phases of a service exceeded their forecasts.
#[derive(Clone, Copy)]
struct ForecastError {
    mean: f64,
    at: Millis,
}

impl ForecastError {
    fn present(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.at) as f64;
        self.mean * 0.5_f64.powf(age / ERROR_HALF_LIFE_MS)
    }
}

/// Wait estimates and their corrections.
pub(super) struct Admission {
    policy: Policy,
    errors: BTreeMap<String, ForecastError>,
    pub(super) waits: ShardWaitTable,
    time_to_first_byte_averages: BTreeMap<String, f64>,
}

impl Admission {
    pub(super) fn new(topology: Arc<Topology>, policy: Policy) -> Self {
        Self {
            policy,
            errors: BTreeMap::new(),
            waits: ShardWaitTable::new(topology, policy.near_shards),
            time_to_first_byte_averages: BTreeMap::new(),
        }
    }

    /// Records the time from a send to the first byte of the answer, in milliseconds.
    pub(super) fn record_time_to_first_byte(&mut self, route: &str, after: Millis) {
        let mean = self.time_to_first_byte_averages.get(route).copied();
        let mean = mean.unwrap_or(INITIAL_TIME_TO_FIRST_BYTE_MS);
        let measured = (after as f64).min(MAX_TIME_TO_FIRST_BYTE_MS);
        let next = mean + TIME_TO_FIRST_BYTE_WEIGHT * (measured - mean);
        self.time_to_first_byte_averages
            .insert(route.to_owned(), next);
    }

    /// Average time from a send to the first byte of an answer of a route, in milliseconds.
    pub(super) fn time_to_first_byte_ms(&self, route: &str) -> u64 {
        let mean = self.time_to_first_byte_averages.get(route).copied();
        mean.unwrap_or(INITIAL_TIME_TO_FIRST_BYTE_MS) as u64
    }

    /// When an order that is submitted in `begin` milliseconds ends, in milliseconds from now.
    /// The backlog shrinks until then. Without an estimate nothing is added, so that the first
    /// request is admitted and yields one.
    fn end_of(&self, service: &str, priority: u8, begin: u64, now: Millis) -> u64 {
        let Some(expected) = self.waits.expected(service, priority, now) else {
            return begin;
        };
        let turn = begin.max(expected.backlog_ms);
        turn + expected.call_ms + self.error_ms(service, now)
    }

    /// Expected excess of a phase of a service over its forecast, in milliseconds.
    fn error_ms(&self, service: &str, now: Millis) -> u64 {
        if !self.policy.corrected_forecasts {
            return 0;
        }
        let error = self.errors.get(service).map(|error| error.present(now));
        error.unwrap_or_default().max(0.0) as u64
    }

    /// Records the duration of a phase for which `forecast` was expected, both in milliseconds.
    pub(super) fn record_phase(&mut self, service: &str, forecast: u64, took: u64, now: Millis) {
        let known = self.errors.get(service).copied();
        let mean = known.map_or(0.0, |error| error.present(now));
        // The forecast included the error known at that time.
        let error = took as f64 - forecast as f64;
        let error = error.clamp(-MAX_ERROR_MS, MAX_ERROR_MS);
        let next = ForecastError {
            mean: (mean + ERROR_WEIGHT * error).clamp(0.0, MAX_ERROR_MS),
            at: now,
        };
        self.errors.insert(service.to_owned(), next);
    }

    /// Stores the forecast of each phase in an admitted request.
    pub(super) fn store_forecasts(&self, request: &mut ActiveRequest, now: Millis) {
        let priority = request.resolved_route.priority;
        let specs = &request.resolved_route.route.phases;
        let end_of =
            |phase: usize, begin: u64| self.end_of(&specs[phase].service, priority, begin, now);
        request.phases.set_forecasts(end_of);
    }

    /// `Retry-After` in milliseconds of a request that is expected to miss its objective; none
    /// if it is admitted.
    pub(super) fn rejects(&self, request: &ActiveRequest, now: Millis) -> Option<u64> {
        if !self.policy.chain_admission {
            return None;
        }
        let priority = request.resolved_route.priority;
        let specs = &request.resolved_route.route.phases;
        let end_of =
            |phase: usize, begin: u64| self.end_of(&specs[phase].service, priority, begin, now);
        let time_to_first_byte = self.time_to_first_byte_ms(&request.resolved_route.route.name);
        let expected = request.phases.expected_end(end_of)? + time_to_first_byte;
        let share = self.policy.admitted_shares[usize::from(priority).min(PRIORITY_LEVELS - 1)];
        let objective = (request.resolved_route.route.objective_ms as f64 * share) as u64;
        if expected <= objective {
            return None;
        }
        let excess = expected - objective;
        let return_in = self.policy.return_after_ms + excess;
        Some(return_in.min(self.policy.return_latest_ms))
    }
}
