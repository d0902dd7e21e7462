//! Versions of a batched service's makers: which of them get the next call, what is counted of
//! calls, and what is still wanted of the baseline.

use super::makers::EndedCall;
use super::{Batcher, CallOutcome};
use crate::instances::{Instance, InstanceTable};
use crate::rollouts::{CountedAnswer, CountedSend, RolloutTracker, VersionChoice, VersionRole};
use crate::Millis;
use silversail_model::topology::RegionFilter;
use silversail_model::traffic::BatchSpec;
use silversail_model::Shard;
use silversail_peer::PieceFailure;
use silversail_rollout::BATCH_ROUTE;

/// Makers with a free place, each kind with the one with most room last.
pub(super) struct IdleMakers {
    candidate: Vec<String>,
    others: Vec<String>,
}

impl IdleMakers {
    pub(super) fn is_empty(&self) -> bool {
        self.candidate.is_empty() && self.others.is_empty()
    }

    /// Leaves the candidate out of the calls made now; false where none of it is left.
    pub(super) fn pass_over_candidate(&mut self) -> bool {
        !std::mem::take(&mut self.candidate).is_empty()
    }
}

impl Batcher {
    /// The idle makers of a shard.
    pub(super) fn idle_by_version(
        &self,
        shard: &Shard,
        spec: &BatchSpec,
        table: &InstanceTable,
        now: Millis,
    ) -> IdleMakers {
        let idle = |versions| self.idle_makers(shard, versions, spec, table, now);
        let is_in_progress = self.rollouts.is_in_progress(&shard.service);
        IdleMakers {
            candidate: match is_in_progress {
                true => idle(VersionChoice::Candidate),
                false => Vec::new(),
            },
            others: idle(VersionChoice::Baseline),
        }
    }

    /// Those of the idle makers that the next call may go to. A call of a share that may go to
    /// the candidate does not wait for it; where all calls are to go there they wait while a
    /// maker of it is only busy, as the baseline would never come to rest else.
    pub(super) fn idle_for_next_call<'a>(
        &self,
        shard: &Shard,
        idle: &'a mut IdleMakers,
        table: &InstanceTable,
        now: Millis,
    ) -> &'a mut Vec<String> {
        let service = &shard.service;
        let lot = || self.next_call;
        let choice = match self.rollouts.choose(service, BATCH_ROUTE, lot) {
            VersionChoice::Candidate if idle.candidate.is_empty() => {
                let waits_for_candidate = self.rollouts.has_moved(service, BATCH_ROUTE)
                    && self.has_usable_candidate(shard, table, now);
                match waits_for_candidate {
                    true => VersionChoice::Candidate,
                    false => VersionChoice::Baseline,
                }
            }
            VersionChoice::Baseline if self.may_be_stopped(shard, table) => {
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
            .makers
            .usable(shard, VersionChoice::Candidate, table, now);
        !candidates.is_empty()
    }

    /// Whether the baseline's makers may have been stopped, as the rollout may have completed
    /// since this node last heard of it.
    fn may_be_stopped(&self, shard: &Shard, table: &InstanceTable) -> bool {
        let is_ready = |one: &Instance| one.role() == VersionRole::Baseline && one.takes_work();
        !self.rollouts.is_permitted() && !table.of_shard(shard).any(is_ready)
    }

    /// The versions whose makers take most calls now.
    pub(super) fn main_versions(&self, service: &str) -> VersionChoice {
        match self.rollouts.has_moved(service, BATCH_ROUTE) {
            true => VersionChoice::Candidate,
            false => VersionChoice::Baseline,
        }
    }

    /// Whether a shard has makers that may get calls with pieces restricted to `regions`: a
    /// candidate that only gets a share is none to wait for.
    pub(super) fn is_staffed(
        &self,
        shard: &Shard,
        regions: &RegionFilter,
        table: &InstanceTable,
    ) -> bool {
        let has_moved = self.rollouts.has_moved(&shard.service, BATCH_ROUTE);
        let takes_candidate = has_moved || self.may_be_stopped(shard, table);
        let may_get_calls = |one: &Instance| {
            one.takes_work()
                && (takes_candidate || one.role() != VersionRole::Candidate)
                && self.allows(regions, &one.listed.zone)
        };
        table.of_shard(shard).any(may_get_calls)
    }

    /// Counts a call that leaves.
    pub(super) fn count_call(
        &mut self,
        shard: &Shard,
        maker: &str,
        table: &InstanceTable,
    ) -> Option<CountedSend> {
        let role = table.get(maker).map(Instance::role).unwrap_or_default();
        self.rollouts.record_send(&shard.service, BATCH_ROUTE, role)
    }

    /// What is under way or still wanted at a service's baseline: its calls, and results that
    /// nobody released yet, for as long as makers keep them.
    pub fn in_flight_at_baseline(&self, service: &str, table: &InstanceTable) -> u64 {
        let is_baseline = |maker: &str| {
            let maker = table.get(maker);
            maker.is_some_and(|one| {
                one.role() == VersionRole::Baseline && one.listed.service == service
            })
        };
        let calls = self.calls.values();
        let calls = calls.filter(|call| is_baseline(&call.instance)).count();
        (calls + self.room.wanted_at(is_baseline)) as u64
    }
}

impl RolloutTracker {
    /// Counts what came of a call to a maker. Calls hold different numbers of pieces: their
    /// times are told as if each took `usual_ms` by the configuration.
    pub(super) fn count_call_end(
        &mut self,
        counted: CountedSend,
        call: &EndedCall<'_>,
        usual_ms: f64,
        outcome: &CallOutcome,
    ) {
        let answer = match outcome {
            CallOutcome::NotRun | CallOutcome::Unreachable | CallOutcome::Withheld => return,
            CallOutcome::Unknown => CountedAnswer::Bad,
            CallOutcome::Answered(results) if results.contains(&Err(PieceFailure::Failed)) => {
                CountedAnswer::Bad
            }
            CallOutcome::Answered(_) => {
                let time_ms = (call.share() * usual_ms) as Millis;
                CountedAnswer::Good {
                    first_part_ms: time_ms,
                    whole_ms: time_ms,
                }
            }
        };
        self.record_answer(call.service, BATCH_ROUTE, counted, answer);
    }
}
