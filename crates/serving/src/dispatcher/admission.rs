//! Whether a request's whole chain of phases can be expected to end in time, by
//! what the batching nodes last told.

use super::request::ActiveRequest;
use crate::Millis;
use silversail_peer::{ServiceWaits, RANKS};
use std::collections::BTreeMap;

/// How long what a batching node told counts, in milliseconds.
const WAITS_LIFETIME: Millis = 1_500;
/// What comes between the last phase and the first part of an answer, in
/// milliseconds.
const TIME_TO_FIRST_PART: u64 = 150;
/// Share of the objective within which the chain must be expected to end, by rank:
/// waits are told late, and bursts come between. What is less urgent is refused
/// first.
const ADMITTED_SHARE: [f64; RANKS] = [0.9, 0.8, 0.65, 0.6];
/// A refused caller is told to come back within these bounds, in milliseconds.
const SOONEST_RETURN: u64 = 300;
const LATEST_RETURN: u64 = 3_000;

/// What the batching nodes told.
#[derive(Default)]
pub(super) struct Admission {
    waits: BTreeMap<String, ([u32; RANKS], Millis)>,
}

impl Admission {
    pub(super) fn set_waits(&mut self, waits: ServiceWaits, now: Millis) {
        self.waits.insert(waits.service, (waits.by_rank, now));
    }

    /// How long a phase of a service takes a request of `rank`; 0 where nothing is
    /// known, so that the first request finds out.
    fn wait(&self, service: &str, rank: u8, now: Millis) -> u64 {
        let Some((by_rank, at)) = self.waits.get(service) else {
            return 0;
        };
        if now.saturating_sub(*at) > WAITS_LIFETIME {
            return 0;
        }
        let rank = usize::from(rank).min(RANKS - 1);
        u64::from(by_rank[rank])
    }

    /// When a request shall come back that can't be expected to keep its
    /// objective; none where it is admitted.
    pub(super) fn refuses(&self, request: &ActiveRequest, now: Millis) -> Option<u64> {
        let rank = request.routed.priority;
        let specs = &request.routed.route.phases;
        let time_of = |phase: usize| self.wait(&specs[phase].service, rank, now);
        let phases = request.phases.present();
        let chains = phases
            .iter()
            .map(|phase| request.phases.chain_ms(*phase, &time_of));
        let expected = chains.max()? + TIME_TO_FIRST_PART;
        let share = ADMITTED_SHARE[usize::from(rank).min(RANKS - 1)];
        let objective = (request.routed.route.objective_ms as f64 * share) as u64;
        if expected <= objective {
            return None;
        }
        let excess = expected - objective;
        Some((SOONEST_RETURN + excess).min(LATEST_RETURN))
    }
}
