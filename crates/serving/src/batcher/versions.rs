//! Rollouts of a batched service: which version gets the next call, how calls are counted, and
//! what still runs at the baseline.

use super::backend_health::FinishedCall;
use super::{Batcher, CallOutcome};
use crate::instances::{Instance, InstanceTable};
use crate::rollouts::{CountedAnswer, CountedSend, RolloutTracker, VersionChoice, VersionRole};
use crate::Millis;
use silversail_model::topology::RegionFilter;
use silversail_model::traffic::BatchSpec;
use silversail_model::Shard;
use silversail_peer::PieceFailure;
use silversail_rollout::BATCH_ROUTE;

/// Back ends with a free slot by version; in each list the one with the most free result memory
/// is last.
pub(super) struct IdleBackends {
    candidate: Vec<String>,
    others: Vec<String>,
}

impl IdleBackends {
    pub(super) fn is_empty(&self) -> bool {
        self.candidate.is_empty() && self.others.is_empty()
    }

    /// Excludes the candidate from the calls of this round; false if none of its back ends was
    /// left.
    pub(super) fn exclude_candidate(&mut self) -> bool {
        !std::mem::take(&mut self.candidate).is_empty()
    }
}

impl Batcher {
    /// Idle back ends of a shard by version.
    pub(super) fn idle_by_version(
        &self,
        shard: &Shard,
        spec: &BatchSpec,
        table: &InstanceTable,
        now: Millis,
    ) -> IdleBackends {
        let idle = |versions| self.idle_backends(shard, versions, spec, table, now);
        let is_in_progress = self.rollouts.is_in_progress(&shard.service);
        IdleBackends {
            candidate: match is_in_progress {
                true => idle(VersionChoice::Candidate),
                false => Vec::new(),
            },
            others: idle(VersionChoice::Baseline),
        }
    }

    /// Idle back ends that the next call may go to. A call that is part of a canary share does
    /// not wait for the candidate. Once all calls have moved there, they wait while a candidate
    /// is merely busy; otherwise the baseline would never become idle.
    pub(super) fn idle_for_next_call<'a>(
        &self,
        shard: &Shard,
        idle: &'a mut IdleBackends,
        table: &InstanceTable,
        now: Millis,
    ) -> &'a mut Vec<String> {
        let service = &shard.service;
        let sequence = || self.next_call;
        let choice = match self.rollouts.choose(service, BATCH_ROUTE, sequence) {
            VersionChoice::Candidate if idle.candidate.is_empty() => {
                let waits_for_candidate = self.rollouts.has_moved(service, BATCH_ROUTE)
                    && self.has_usable_candidate(shard, table, now);
                match waits_for_candidate {
                    true => VersionChoice::Candidate,
                    false => VersionChoice::Baseline,
                }
            }
            VersionChoice::Baseline if self.may_be_stopped(shard, table, now) => {
                VersionChoice::Candidate
            }
            choice => choice,
        };
        match choice {
            VersionChoice::Candidate => &mut idle.candidate,
            VersionChoice::Baseline | VersionChoice::Any => &mut idle.others,
        }
    }

    fn has_usable_candidate(&self, shard: &Shard, table: &InstanceTable, now: Millis) -> bool {
        let candidates = self
            .backends
            .usable(shard, VersionChoice::Candidate, table, now);
        !candidates.is_empty()
    }

    /// Whether the baseline may have been stopped: the rollout may have completed without this
    /// node having been informed.
    fn may_be_stopped(&self, shard: &Shard, table: &InstanceTable, now: Millis) -> bool {
        let is_ready = |instance: &Instance| {
            instance.role() == VersionRole::Baseline && instance.may_get_new_work(now)
        };
        !self.rollouts.is_permitted() && !table.of_shard(shard).any(is_ready)
    }

    /// The versions that get most calls now.
    pub(super) fn main_versions(&self, service: &str) -> VersionChoice {
        match self.rollouts.has_moved(service, BATCH_ROUTE) {
            true => VersionChoice::Candidate,
            false => VersionChoice::Baseline,
        }
    }

    /// Whether a shard has back ends that may get calls with pieces restricted to `regions`. A
    /// candidate that only gets a canary share does not count.
    pub(super) fn has_eligible_backend(
        &self,
        shard: &Shard,
        regions: &RegionFilter,
        table: &InstanceTable,
        now: Millis,
    ) -> bool {
        let has_moved = self.rollouts.has_moved(&shard.service, BATCH_ROUTE);
        let takes_candidate = has_moved || self.may_be_stopped(shard, table, now);
        let may_get_calls = |instance: &Instance| {
            instance.may_get_new_work(now)
                && (takes_candidate || instance.role() != VersionRole::Candidate)
                && self.allows(regions, &instance.listed.zone)
        };
        table.of_shard(shard).any(may_get_calls)
    }

    /// Counts a call for the rollout when it is sent.
    pub(super) fn count_call(
        &mut self,
        shard: &Shard,
        backend: &str,
        table: &InstanceTable,
    ) -> Option<CountedSend> {
        let role = table.get(backend).map(Instance::role).unwrap_or_default();
        self.rollouts.record_send(&shard.service, BATCH_ROUTE, role)
    }

    /// Number of calls in flight at a service's baseline, and of its results that are neither
    /// released nor expired.
    pub fn in_flight_at_baseline(&self, service: &str, table: &InstanceTable) -> u64 {
        let is_baseline = |backend: &str| {
            let backend = table.get(backend);
            backend.is_some_and(|instance| {
                instance.role() == VersionRole::Baseline && instance.listed.service == service
            })
        };
        let calls = self.calls.values();
        let calls = calls.filter(|call| is_baseline(&call.instance)).count();
        (calls + self.result_memory.unreleased_count(is_baseline)) as u64
    }
}

impl RolloutTracker {
    /// Counts the outcome of a call for the rollout. As calls differ in size, durations are
    /// scaled to a call that takes `normal_ms` by the configured cost model.
    pub(super) fn count_call_end(
        &mut self,
        counted: CountedSend,
        call: &FinishedCall<'_>,
        normal_ms: f64,
        outcome: &CallOutcome,
    ) {
        let answer = match outcome {
            CallOutcome::NotRun
            | CallOutcome::Unreachable
            | CallOutcome::BackendUnavailable
            | CallOutcome::AddressMismatch
            | CallOutcome::ForeignAnswer => return,
            CallOutcome::Unknown => CountedAnswer::Bad,
            CallOutcome::Answered(results) if results.contains(&Err(PieceFailure::Failed)) => {
                CountedAnswer::Bad
            }
            CallOutcome::Answered(_) => {
                let time_ms = (call.relative_duration() * normal_ms) as Millis;
                CountedAnswer::Good {
                    time_to_first_byte_ms: time_ms,
                    response_time_ms: time_ms,
                }
            }
        };
        self.record_answer(call.service, BATCH_ROUTE, counted, answer);
    }
}
