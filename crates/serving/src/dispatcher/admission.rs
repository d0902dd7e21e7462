//! Whether a request's whole chain of phases can be expected to end in time, by
//! what the batching nodes last told.

use super::request::ActiveRequest;
use crate::policy::Policy;
use crate::waits::ShardWaitTable;
use crate::Millis;
use silversail_model::Topology;
use silversail_peer::RANKS;
use std::collections::BTreeMap;
use std::sync::Arc;

/// What comes between the last phase and the first part of an answer, in
/// milliseconds, before any answer of a route was seen.
const FIRST_PART_AT_FIRST: f64 = 150.0;
/// Weight of an answer in the mean of that time.
const FIRST_PART_WEIGHT: f64 = 0.1;
/// Most that an answer counts in that mean, in milliseconds: one that is stuck says
/// nothing of others.
const FIRST_PART_MOST: f64 = 1_000.0;

/// Weight of a phase in the mean error of its service's forecasts: about the last seven.
const ERROR_WEIGHT: f64 = 0.15;
/// Most that one phase counts in that mean, in milliseconds.
const ERROR_MOST: f64 = 1_000.0;
/// Time after which half of that mean is forgotten, in milliseconds: where all are refused,
/// nothing corrects it.
const ERROR_HALF_LIFE: f64 = 2_000.0;

/// By how much phases of a service lately took longer than was forecast for them when their
/// requests were admitted, in milliseconds.
#[derive(Clone, Copy)]
struct ForecastError {
    mean: f64,
    at: Millis,
}

impl ForecastError {
    fn present(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.at) as f64;
        self.mean * 0.5_f64.powf(age / ERROR_HALF_LIFE)
    }
}

/// What the batching nodes told.
pub(super) struct Admission {
    policy: Policy,
    errors: BTreeMap<String, ForecastError>,
    pub(super) waits: ShardWaitTable,
    first_parts: BTreeMap<String, f64>,
}

impl Admission {
    pub(super) fn new(topology: Arc<Topology>, policy: Policy) -> Self {
        Self {
            policy,
            errors: BTreeMap::new(),
            waits: ShardWaitTable::new(topology, policy.near_shards),
            first_parts: BTreeMap::new(),
        }
    }

    /// The first part of an answer of a route came so long after its send.
    pub(super) fn saw_first_part(&mut self, route: &str, after: Millis) {
        let mean = self.first_parts.get(route).copied();
        let mean = mean.unwrap_or(FIRST_PART_AT_FIRST);
        let seen = (after as f64).min(FIRST_PART_MOST);
        let next = mean + FIRST_PART_WEIGHT * (seen - mean);
        self.first_parts.insert(route.to_owned(), next);
    }

    /// How long a route's answers take from the send to their first part, in
    /// milliseconds.
    pub(super) fn first_part_ms(&self, route: &str) -> u64 {
        let mean = self.first_parts.get(route).copied();
        mean.unwrap_or(FIRST_PART_AT_FIRST) as u64
    }

    /// When an order of `rank` that is given in `begin` milliseconds ends. The backlog
    /// gets smaller until then. Nothing is added where nothing is known, so that the
    /// first request finds out.
    fn end_of(&self, service: &str, rank: u8, begin: u64, now: Millis) -> u64 {
        let Some(expected) = self.waits.expected(service, rank, now) else {
            return begin;
        };
        let turn = begin.max(expected.backlog_ms);
        turn + expected.call_ms + self.error_ms(service, now)
    }

    /// What phases of a service take longer than is forecast, in milliseconds.
    fn error_ms(&self, service: &str, now: Millis) -> u64 {
        if !self.policy.corrected_forecasts {
            return 0;
        }
        let error = self.errors.get(service).map(|error| error.present(now));
        error.unwrap_or_default().max(0.0) as u64
    }

    /// A phase of a service took so long, after `forecast` was expected.
    pub(super) fn saw_phase(&mut self, service: &str, forecast: u64, took: u64, now: Millis) {
        let known = self.errors.get(service).copied();
        let mean = known.map_or(0.0, |error| error.present(now));
        // The forecast held the error that was known then.
        let seen = took as f64 - forecast as f64;
        let seen = seen.clamp(-ERROR_MOST, ERROR_MOST);
        let next = ForecastError {
            mean: (mean + ERROR_WEIGHT * seen).clamp(0.0, ERROR_MOST),
            at: now,
        };
        self.errors.insert(service.to_owned(), next);
    }

    /// Notes what is expected of each phase of an admitted request.
    pub(super) fn note_forecasts(&self, request: &mut ActiveRequest, now: Millis) {
        let rank = request.routed.priority;
        let specs = &request.routed.route.phases;
        let end_of =
            |phase: usize, begin: u64| self.end_of(&specs[phase].service, rank, begin, now);
        request.phases.set_forecasts(end_of);
    }

    /// When a request shall come back that can't be expected to keep its
    /// objective; none where it is admitted.
    pub(super) fn refuses(&self, request: &ActiveRequest, now: Millis) -> Option<u64> {
        if !self.policy.chain_admission {
            return None;
        }
        let rank = request.routed.priority;
        let specs = &request.routed.route.phases;
        let end_of =
            |phase: usize, begin: u64| self.end_of(&specs[phase].service, rank, begin, now);
        let first_part = self.first_part_ms(&request.routed.route.name);
        let expected = request.phases.expected_end(end_of)? + first_part;
        let share = self.policy.admitted_shares[usize::from(rank).min(RANKS - 1)];
        let objective = (request.routed.route.objective_ms as f64 * share) as u64;
        if expected <= objective {
            return None;
        }
        let excess = expected - objective;
        let return_in = self.policy.return_after_ms + excess;
        Some(return_in.min(self.policy.return_latest_ms))
    }
}
