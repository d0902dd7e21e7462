//! Selects the back end of a pool that runs a stage.

use crate::average::MovingAverage;
use crate::Millis;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use silversail_model::BackendName;

/// Consecutive failures after which a back end is ejected.
const EJECTION_THRESHOLD: u32 = 3;
/// Duration of an ejection, in milliseconds.
const EJECTION_MS: Millis = 2_000;
/// Age from which a load report is ignored, in milliseconds.
const REPORT_MAX_AGE_MS: Millis = 3_000;
/// Age from which the free slots in a load report are ignored, in milliseconds,
/// as other nodes may have taken them since.
const FREE_SLOTS_MAX_AGE_MS: Millis = 300;
/// Age from which a measured service time is ignored, in milliseconds: a back
/// end that gets no calls may have recovered unnoticed.
const SERVICE_TIME_MAX_AGE_MS: Millis = 3_000;
/// Number of back ends sampled at random where none has a load report.
const SAMPLE_SIZE: usize = 3;
/// Service time assumed before the first measurement, in milliseconds.
const DEFAULT_SERVICE_MS: f64 = 50.0;
/// Factor on the service time of a prompt whose prefix is cached.
const CACHED_PREFIX_FACTOR: f64 = 0.5;

/// Policy by which a back end is selected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementPolicy {
    /// Any back end at random; for comparison only.
    Random,
    /// Round robin; for comparison only.
    RoundRobin,
    /// The back end that is expected to finish the call first.
    #[default]
    ExpectedFinish,
}

/// Load and health of one back end, as this node knows them.
#[derive(Clone, Debug)]
pub struct BackendLoad {
    /// Calls of this node in flight at the back end.
    pub in_flight: u32,
    /// Moving average of the service time of one call, in milliseconds.
    pub service_ms: MovingAverage,
    last_report: Option<(u32, Millis)>,
    /// Calls of this node in flight when the last report arrived.
    own_calls_at_report: u32,
    service_time_measured_at: Option<Millis>,
    consecutive_failures: u32,
    ejected_until: Millis,
}

impl Default for BackendLoad {
    fn default() -> Self {
        Self::new()
    }
}

impl BackendLoad {
    /// Creates the state of a back end without reports or measurements.
    pub fn new() -> Self {
        Self {
            in_flight: 0,
            service_ms: MovingAverage::new(DEFAULT_SERVICE_MS),
            last_report: None,
            own_calls_at_report: 0,
            service_time_measured_at: None,
            consecutive_failures: 0,
            ejected_until: 0,
        }
    }

    /// Records a load report, which counts the calls of all nodes at the back end.
    pub fn record_report(&mut self, load: u32, now: Millis) {
        self.last_report = Some((load, now));
        self.own_calls_at_report = self.in_flight;
    }

    /// Records a successful call and its service time in milliseconds.
    pub fn record_success(&mut self, service_ms: f64, now: Millis) {
        self.service_ms.add(service_ms);
        self.service_time_measured_at = Some(now);
        self.consecutive_failures = 0;
    }

    /// Records a failed call and ejects the back end after too many in a row.
    pub fn record_failure(&mut self, now: Millis) {
        self.consecutive_failures += 1;
        if self.consecutive_failures >= EJECTION_THRESHOLD {
            self.ejected_until = now + EJECTION_MS;
        }
    }

    /// Whether the back end is ejected because of consecutive failures.
    pub fn is_ejected(&self, now: Millis) -> bool {
        now < self.ejected_until
    }

    /// Average service time in milliseconds, if the last measurement is recent.
    fn recent_service_ms(&self, now: Millis) -> Option<f64> {
        let measured_at = self.service_time_measured_at?;
        let is_recent = now.saturating_sub(measured_at) < SERVICE_TIME_MAX_AGE_MS;
        is_recent.then(|| self.service_ms.value())
    }

    /// Number of free slots out of `slots` by the last report, less this node's calls
    /// since; `None` if the report is not recent.
    pub fn reported_free_slots(&self, slots: u32, now: Millis) -> Option<u32> {
        let (_, reported_at) = self.last_report?;
        let is_recent = now.saturating_sub(reported_at) < FREE_SLOTS_MAX_AGE_MS;
        is_recent.then(|| slots.saturating_sub(self.estimated_load(now)))
    }

    /// Estimated number of calls at the back end: the last report, corrected by the
    /// change of this node's calls since, and at least this node's calls.
    pub fn estimated_load(&self, now: Millis) -> u32 {
        let own_calls = self.in_flight;
        match self.last_report {
            Some((load, reported_at)) if now.saturating_sub(reported_at) < REPORT_MAX_AGE_MS => {
                let other_calls = load.saturating_sub(self.own_calls_at_report);
                other_calls + own_calls
            }
            _ => own_calls,
        }
    }
}

/// A back end that can run a stage now.
#[derive(Clone, Debug)]
pub struct EligibleBackend<'a> {
    /// Name of the back end.
    pub name: &'a BackendName,
    /// Maximum number of concurrent calls.
    pub slots: u32,
    /// Whether the back end is expected to have the prompt's prefix cached.
    pub has_cached_prefix: bool,
    /// Load and health of the back end.
    pub load: &'a BackendLoad,
}

/// Selects back ends by a [`PlacementPolicy`].
pub struct BackendSelector {
    policy: PlacementPolicy,
    random: ChaCha8Rng,
    round_robin_counter: usize,
}

impl BackendSelector {
    /// Creates a selector; a different `seed` on each node breaks ties differently.
    pub fn new(policy: PlacementPolicy, seed: u64) -> Self {
        Self {
            policy,
            random: ChaCha8Rng::seed_from_u64(seed),
            round_robin_counter: 0,
        }
    }

    /// Returns the index of the selected back end, or `None` if the slice is empty.
    pub fn select(&mut self, backends: &[EligibleBackend<'_>], now: Millis) -> Option<usize> {
        if backends.is_empty() {
            return None;
        }
        match self.policy {
            PlacementPolicy::Random => Some(self.random.gen_range(0..backends.len())),
            PlacementPolicy::RoundRobin => {
                self.round_robin_counter = self.round_robin_counter.wrapping_add(1);
                Some(self.round_robin_counter % backends.len())
            }
            PlacementPolicy::ExpectedFinish => self.select_by_expected_finish(backends, now),
        }
    }

    fn select_by_expected_finish(
        &mut self,
        backends: &[EligibleBackend<'_>],
        now: Millis,
    ) -> Option<usize> {
        let has_reports = backends
            .iter()
            .any(|backend| backend.load.last_report.is_some());
        let has_prefix = backends.iter().any(|backend| backend.has_cached_prefix);
        let compared_indexes: Vec<usize> =
            if has_reports || has_prefix || backends.len() <= SAMPLE_SIZE {
                (0..backends.len()).collect()
            } else {
                rand::seq::index::sample(&mut self.random, backends.len(), SAMPLE_SIZE).into_vec()
            };
        let fastest_ms = fastest_service_ms(backends, now);
        let random = &mut self.random;
        compared_indexes
            .into_iter()
            .map(|index| {
                let expected_ms = expected_finish_ms(&backends[index], fastest_ms, now);
                // Random tie-breaking keeps the nodes from all selecting the same back end.
                (index, expected_ms * random.gen_range(1.0..1.05))
            })
            .min_by(|left, right| left.1.total_cmp(&right.1))
            .map(|(index, _)| index)
    }
}

/// Shortest recently measured service time, in milliseconds. It is assumed for
/// back ends without a recent measurement, so that new and recovered ones get calls.
fn fastest_service_ms(backends: &[EligibleBackend<'_>], now: Millis) -> f64 {
    backends
        .iter()
        .filter_map(|backend| backend.load.recent_service_ms(now))
        .min_by(f64::total_cmp)
        .unwrap_or(DEFAULT_SERVICE_MS)
}

/// Expected time until a call started now would finish, in milliseconds.
/// `fastest_ms` is assumed where no service time was measured recently.
pub fn expected_finish_ms(backend: &EligibleBackend<'_>, fastest_ms: f64, now: Millis) -> f64 {
    let service_ms = backend.load.recent_service_ms(now).unwrap_or(fastest_ms);
    let load = f64::from(backend.load.estimated_load(now));
    let slots = f64::from(backend.slots.max(1));
    let wait_ms = (load + 1.0 - slots).max(0.0) / slots * service_ms;
    // Each step of a batch takes longer the fuller the batch is.
    let batch_slowdown = 1.0 + 0.25 * (load / slots).min(1.0);
    let call_ms = if backend.has_cached_prefix {
        service_ms * batch_slowdown * CACHED_PREFIX_FACTOR
    } else {
        service_ms * batch_slowdown
    };
    wait_ms + call_ms
}
