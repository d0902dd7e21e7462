//! Which back end of a pool runs a stage.

use crate::average::MovingAverage;
use crate::Millis;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use silversail_model::BackendName;

/// Failures in a row after which a back end is left out for a while.
const EJECT_AFTER_FAILURES: u32 = 3;
/// How long a failing back end is left out, in milliseconds.
const EJECT_FOR: Millis = 2_000;
/// A load report older than this says nothing, in milliseconds.
const REPORT_VALID_FOR: Millis = 3_000;
/// Slots that a report says are free are believed for so long, in milliseconds:
/// other nodes may have taken them.
const FREE_SLOTS_VALID_FOR: Millis = 300;
/// A measured service time older than this is doubted: the back end may have
/// become as fast as the others, which nobody sees while it gets no calls.
const SERVICE_TIME_VALID_FOR: Millis = 3_000;
/// How many back ends are compared for stages without a load report.
const SAMPLES: usize = 3;
/// Service time assumed while none was measured, in milliseconds.
const UNMEASURED_SERVICE_MS: f64 = 50.0;
/// Share of a prompt's service time that a held prefix saves.
const PREFIX_SAVING: f64 = 0.5;

/// How a back end is chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementPolicy {
    /// Any, by chance; a baseline.
    Random,
    /// Each in turn; a baseline.
    RoundRobin,
    /// The one that is expected to finish first.
    #[default]
    ExpectedFinish,
}

/// What this node knows of a back end's load.
#[derive(Clone, Debug)]
pub struct BackendLoad {
    /// Own calls in flight.
    pub in_flight: u32,
    /// Measured service time of one call, in milliseconds.
    pub service_ms: MovingAverage,
    reported: Option<(u32, Millis)>,
    /// Own calls in flight when the report was taken in.
    own_at_report: u32,
    measured_at: Option<Millis>,
    failures: u32,
    ejected_until: Millis,
}

impl Default for BackendLoad {
    fn default() -> Self {
        Self::new()
    }
}

impl BackendLoad {
    /// A back end of which nothing is known.
    pub fn new() -> Self {
        Self {
            in_flight: 0,
            service_ms: MovingAverage::new(UNMEASURED_SERVICE_MS),
            reported: None,
            own_at_report: 0,
            measured_at: None,
            failures: 0,
            ejected_until: 0,
        }
    }

    /// Takes in a report of all calls at the back end, others' included.
    pub fn record_report(&mut self, load: u32, now: Millis) {
        self.reported = Some((load, now));
        self.own_at_report = self.in_flight;
    }

    /// Notes that a call ended well.
    pub fn record_success(&mut self, service_ms: f64, now: Millis) {
        self.service_ms.add(service_ms);
        self.measured_at = Some(now);
        self.failures = 0;
    }

    /// Notes that a call failed.
    pub fn record_failure(&mut self, now: Millis) {
        self.failures += 1;
        if self.failures >= EJECT_AFTER_FAILURES {
            self.ejected_until = now + EJECT_FOR;
        }
    }

    /// Whether the back end is left out for its failures.
    pub fn is_ejected(&self, now: Millis) -> bool {
        now < self.ejected_until
    }

    /// The measured service time, where it is recent.
    fn recent_service_ms(&self, now: Millis) -> Option<f64> {
        let at = self.measured_at?;
        let is_recent = now.saturating_sub(at) < SERVICE_TIME_VALID_FOR;
        is_recent.then(|| self.service_ms.value())
    }

    /// Free slots of `slots` by the last report, where it is recent, less the
    /// own calls since.
    pub fn reported_free_slots(&self, slots: u32, now: Millis) -> Option<u32> {
        let (_, at) = self.reported?;
        let is_recent = now.saturating_sub(at) < FREE_SLOTS_VALID_FOR;
        is_recent.then(|| slots.saturating_sub(self.estimated_load(now)))
    }

    /// Calls believed to be at the back end: the last report with the own calls
    /// since then put right, and never less than the own ones.
    pub fn estimated_load(&self, now: Millis) -> u32 {
        let own = self.in_flight;
        match self.reported {
            Some((load, at)) if now.saturating_sub(at) < REPORT_VALID_FOR => {
                let others = load.saturating_sub(self.own_at_report);
                others + own
            }
            _ => own,
        }
    }
}

/// A back end that may run a stage now.
#[derive(Clone, Debug)]
pub struct EligibleBackend<'a> {
    /// Its name.
    pub name: &'a BackendName,
    /// Calls that it runs side by side.
    pub slots: u32,
    /// Whether it is believed to hold the prompt's prefix.
    pub has_cached_prefix: bool,
    /// Its load.
    pub load: &'a BackendLoad,
}

/// Chooses back ends by a policy.
pub struct BackendSelector {
    policy: PlacementPolicy,
    random: ChaCha8Rng,
    turn: usize,
}

impl BackendSelector {
    /// A placer; `seed` breaks ties differently on each node.
    pub fn new(policy: PlacementPolicy, seed: u64) -> Self {
        Self {
            policy,
            random: ChaCha8Rng::seed_from_u64(seed),
            turn: 0,
        }
    }

    /// The position of the chosen candidate.
    pub fn select(&mut self, candidates: &[EligibleBackend<'_>], now: Millis) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        match self.policy {
            PlacementPolicy::Random => Some(self.random.gen_range(0..candidates.len())),
            PlacementPolicy::RoundRobin => {
                self.turn = self.turn.wrapping_add(1);
                Some(self.turn % candidates.len())
            }
            PlacementPolicy::ExpectedFinish => self.choose_first_to_finish(candidates, now),
        }
    }

    fn choose_first_to_finish(
        &mut self,
        candidates: &[EligibleBackend<'_>],
        now: Millis,
    ) -> Option<usize> {
        let has_reports = candidates.iter().any(|one| one.load.reported.is_some());
        let has_prefix = candidates.iter().any(|one| one.has_cached_prefix);
        let compared: Vec<usize> = if has_reports || has_prefix || candidates.len() <= SAMPLES {
            (0..candidates.len()).collect()
        } else {
            rand::seq::index::sample(&mut self.random, candidates.len(), SAMPLES).into_vec()
        };
        let fastest = fastest_service_ms(candidates, now);
        let random = &mut self.random;
        compared
            .into_iter()
            .map(|position| {
                let cost = expected_finish_ms(&candidates[position], fastest, now);
                // Equal costs are told apart by chance, else all nodes herd.
                (position, cost * random.gen_range(1.0..1.05))
            })
            .min_by(|left, right| left.1.total_cmp(&right.1))
            .map(|(position, _)| position)
    }
}

/// The shortest recently measured service time, in milliseconds; what a back
/// end is taken for until it was measured itself, so that new and recovered
/// ones get calls.
fn fastest_service_ms(candidates: &[EligibleBackend<'_>], now: Millis) -> f64 {
    candidates
        .iter()
        .filter_map(|candidate| candidate.load.recent_service_ms(now))
        .min_by(f64::total_cmp)
        .unwrap_or(UNMEASURED_SERVICE_MS)
}

/// Expected time until a call started now would finish, in milliseconds.
/// `fastest_ms` stands for a service time that was not measured lately.
pub fn expected_finish_ms(candidate: &EligibleBackend<'_>, fastest_ms: f64, now: Millis) -> f64 {
    let service = candidate.load.recent_service_ms(now).unwrap_or(fastest_ms);
    let load = f64::from(candidate.load.estimated_load(now));
    let slots = f64::from(candidate.slots.max(1));
    let waiting = (load + 1.0 - slots).max(0.0) / slots * service;
    // A fuller batch makes each step a little longer, long before it is full.
    let crowding = 1.0 + 0.25 * (load / slots).min(1.0);
    let own = if candidate.has_cached_prefix {
        service * crowding * PREFIX_SAVING
    } else {
        service * crowding
    };
    waiting + own
}
