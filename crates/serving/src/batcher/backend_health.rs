//! Health of back ends as the batching node sees it: which of them reject calls, fail or are
//! slow.

use super::CallOutcome;
use crate::instances::{Instance, InstanceTable};
use crate::policy::Policy;
use crate::rollouts::VersionChoice;
use crate::Millis;
use silversail_decisions::{DecisionLog, Event};
use silversail_model::traffic::BatchSpec;
use silversail_model::Shard;
use std::collections::{BTreeMap, VecDeque};

/// How long a back end that rejected a call, or lacked memory for a result, gets no calls, in
/// milliseconds.
const REJECTION_TIMEOUT: Millis = 80;
/// How long a back end gets no calls after its first failure, in milliseconds; doubles with each
/// further failure.
const FAILURE_TIMEOUT: Millis = 250;
/// Maximum number of times that `FAILURE_TIMEOUT` doubles.
const MAX_DOUBLINGS: u32 = 4;
/// A call whose relative duration exceeds the recent median by this factor marks the back end as
/// slow.
const SLOW_FACTOR: f64 = 2.4;
/// Number of recent calls of a service from which the median is taken.
const MEDIAN_CALLS: usize = 15;
/// How long a slow back end gets no calls, in milliseconds.
const SLOW_TIMEOUT: Millis = 2_000;

/// How long calls to a back end count as at risk after a failure, in milliseconds.
const AT_RISK_PERIOD: Millis = 1_000;

/// Health of one back end.
#[derive(Default)]
struct BackendHealth {
    failures: u32,
    rejects_until: Millis,
    slow_until: Millis,
    at_risk_until: Millis,
}

/// A finished call, from which the back end's health is updated.
pub(super) struct FinishedCall<'a> {
    pub(super) backend: &'a str,
    pub(super) service: &'a str,
    /// Software version of the back end.
    pub(super) version: &'a str,
    pub(super) took_ms: Millis,
    /// Duration by the configured cost model, in milliseconds.
    pub(super) expected_ms: f64,
}

impl FinishedCall<'_> {
    /// Measured duration relative to the configured one.
    pub(super) fn relative_duration(&self) -> f64 {
        self.took_ms as f64 / self.expected_ms
    }
}

/// Relative durations of the latest calls of a service.
#[derive(Default)]
struct RecentCalls {
    relative_durations: VecDeque<f64>,
}

impl RecentCalls {
    fn add(&mut self, relative_duration: f64) {
        if self.relative_durations.len() == MEDIAN_CALLS {
            self.relative_durations.pop_front();
        }
        self.relative_durations.push_back(relative_duration);
    }

    /// The median, but at least 1. While two nodes batch for a shard after a change of owner,
    /// calls queue and all get slower; and the median of a few calls could hide a second slow
    /// back end.
    fn normal_duration(&self) -> f64 {
        let mut sorted: Vec<f64> = self.relative_durations.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        let median = sorted.get(sorted.len() / 2).copied();
        median.unwrap_or_default().max(1.0)
    }
}

/// Health of the back ends that are not known to be well.
pub(super) struct BackendHealthTable {
    policy: Policy,
    backends: BTreeMap<String, BackendHealth>,
    recent: BTreeMap<String, RecentCalls>,
    log: DecisionLog,
}

impl BackendHealthTable {
    pub(super) fn new(policy: Policy, log: DecisionLog) -> Self {
        Self {
            policy,
            backends: BTreeMap::new(),
            recent: BTreeMap::new(),
            log,
        }
    }

    /// Marks the pieces of a back end as likely to be run again during the next `within`
    /// milliseconds.
    pub(super) fn mark_at_risk(&mut self, id: &str, within: Millis, now: Millis) {
        let backend = self.backends.entry(id.to_owned()).or_default();
        backend.at_risk_until = backend.at_risk_until.max(now + within);
    }

    /// Whether pieces sent to a back end are likely to be run again.
    pub(super) fn is_at_risk(&self, id: &str, now: Millis) -> bool {
        let backend = self.backends.get(id);
        backend.is_some_and(|backend| backend.at_risk_until > now)
    }

    /// Records that a back end rejected a call or lacked memory for a result.
    pub(super) fn record_rejection(&mut self, id: &str, now: Millis) {
        let backend = self.backends.entry(id.to_owned()).or_default();
        backend.rejects_until = backend.rejects_until.max(now + REJECTION_TIMEOUT);
    }

    /// Records that a back end was unreachable, or its answer was incomplete or another call's.
    fn record_failure(&mut self, call: &FinishedCall<'_>, now: Millis) {
        let id = call.backend;
        let backend = self.backends.entry(id.to_owned()).or_default();
        let doublings = backend.failures.min(MAX_DOUBLINGS);
        backend.at_risk_until = now + AT_RISK_PERIOD;
        if !self.policy.pass_over_failing {
            return;
        }
        backend.failures += 1;
        backend.rejects_until = now + (FAILURE_TIMEOUT << doublings);
        self.record(call, "suspect");
    }

    fn record(&self, call: &FinishedCall<'_>, state: &str) {
        self.log.record(Event::Backend {
            backend: call.backend.to_owned(),
            service: call.service.to_owned(),
            version: call.version.to_owned(),
            state: state.to_owned(),
            source: "batch".to_owned(),
        });
    }

    /// Updates the health of a back end from a finished call.
    pub(super) fn call_ended(
        &mut self,
        call: &FinishedCall<'_>,
        outcome: &CallOutcome,
        now: Millis,
    ) {
        let id = call.backend;
        match outcome {
            CallOutcome::BackendUnavailable | CallOutcome::AddressMismatch => {}
            CallOutcome::NotRun => self.record_rejection(id, now),
            CallOutcome::Unreachable | CallOutcome::ForeignAnswer | CallOutcome::Unknown => {
                self.record_failure(call, now)
            }
            CallOutcome::Answered(_) => {
                let relative_duration = call.relative_duration();
                let recent = self.recent.entry(call.service.to_owned()).or_default();
                let is_slow = self.policy.pass_over_slow
                    && relative_duration > recent.normal_duration() * SLOW_FACTOR;
                recent.add(relative_duration);
                if let Some(backend) = self.backends.get_mut(id) {
                    backend.failures = 0;
                }
                if is_slow {
                    let backend = self.backends.entry(id.to_owned()).or_default();
                    backend.slow_until = now + SLOW_TIMEOUT;
                    self.record(call, "slow");
                }
            }
        }
    }

    /// Forgets all failures, which were recorded while this node was cut off from all back ends.
    pub(super) fn forget_failures(&mut self) {
        self.backends.clear();
    }

    /// Milliseconds until the first back end of a shard may get calls again; 0 if one may now.
    pub(super) fn rejecting_ms(&self, shard: &Shard, table: &InstanceTable, now: Millis) -> u32 {
        let accepting = table
            .of_shard(shard)
            .filter(|instance| instance.may_get_new_work(now));
        let until = accepting.map(|instance| {
            let backend = self.backends.get(&instance.listed.id);
            backend.map_or(0, |backend| backend.rejects_until.saturating_sub(now))
        });
        until.min().unwrap_or_default() as u32
    }

    /// Milliseconds until the first back end of a shard has ended its back-off and this node has a
    /// permit for it; 0 if one is available.
    pub(super) fn backoff_ms(&self, shard: &Shard, table: &InstanceTable, now: Millis) -> Millis {
        let mut earliest_ms = None;
        for backend in table
            .of_shard(shard)
            .filter(|instance| instance.may_get_new_work(now))
        {
            match backend.wait_ms(now) {
                0 => return 0,
                remaining => {
                    earliest_ms =
                        Some(earliest_ms.map_or(remaining, |known: Millis| known.min(remaining)))
                }
            }
        }
        earliest_ms.unwrap_or_default()
    }

    fn is_rejecting(&self, id: &str, now: Millis) -> bool {
        let backend = self.backends.get(id);
        backend.is_some_and(|backend| backend.rejects_until > now)
    }

    fn is_slow(&self, id: &str, now: Millis) -> bool {
        let backend = self.backends.get(id);
        backend.is_some_and(|backend| backend.slow_until > now)
    }

    fn has_failed(&self, id: &str) -> bool {
        self.backends
            .get(id)
            .is_some_and(|backend| backend.failures > 0)
    }

    /// Back ends of a shard, of the selected versions, that may get a call at `now`, including
    /// busy ones. Slow ones are excluded while they are the minority.
    pub(super) fn usable<'a>(
        &self,
        shard: &'a Shard,
        versions: VersionChoice,
        table: &'a InstanceTable,
        now: Millis,
    ) -> Vec<&'a str> {
        let admitted = || {
            let of_shard = table.of_shard(shard);
            of_shard.filter(|instance| versions.admits(instance.role()))
        };
        let usable = admitted().filter(|instance| instance.is_usable(now));
        let mut all: Vec<&str> = usable.map(|instance| instance.listed.id.as_str()).collect();
        if all.is_empty() {
            let last_resort = admitted().filter(|instance| instance.is_usable_as_last_resort(now));
            all.extend(last_resort.map(|instance| instance.listed.id.as_str()));
        }
        let not_slow = all.iter().copied().filter(|id| !self.is_slow(id, now));
        let not_slow: Vec<&str> = not_slow.collect();
        let considered = if not_slow.len() * 2 >= all.len() {
            not_slow
        } else {
            all
        };
        let mut usable = considered;
        usable.retain(|id| !self.is_rejecting(id, now));
        usable
    }

    /// Rate-limited back ends for which this node has no permit.
    pub(super) fn without_permit<'a>(
        &self,
        shard: &'a Shard,
        table: &'a InstanceTable,
        now: Millis,
    ) -> impl Iterator<Item = &'a str> {
        let lacking = table.of_shard(shard);
        let lacking = lacking.filter(move |instance| instance.needs_only_permit(now));
        lacking.map(|instance| instance.listed.id.as_str())
    }

    /// Calls per millisecond that the rate-limited back ends of a shard accept, if a call takes
    /// `call` milliseconds.
    pub(super) fn limited_calls_per_ms(
        &self,
        shard: &Shard,
        call: f64,
        table: &InstanceTable,
        now: Millis,
    ) -> f64 {
        // Skips the scan of all back ends of the shard.
        if !table.notices().has_limits() {
            return 0.0;
        }
        let limited = table
            .of_shard(shard)
            .filter(|instance| instance.may_get_new_work(now));
        let rates = limited.filter_map(Instance::limit);
        let per_ms = rates.map(|rate| rate.requests_per_second() / 1_000.0);
        per_ms.map(|rate| rate.min(1.0 / call)).sum()
    }

    /// Number of healthy back ends of a shard, of the selected versions, without a rate limit.
    pub(super) fn working_count(
        &self,
        shard: &Shard,
        versions: VersionChoice,
        table: &InstanceTable,
        now: Millis,
    ) -> usize {
        let usable = table.of_shard(shard).filter(|instance| {
            let id = &instance.listed.id;
            versions.admits(instance.role())
                && instance.may_get_new_work(now)
                && !instance.is_in_backoff(now)
                && !instance.is_limited()
                && !self.has_failed(id)
                && !self.is_slow(id, now)
        });
        usable.count()
    }

    /// Removes back ends that are unlisted or healthy, to keep lookups cheap.
    pub(super) fn forget_healthy(&mut self, table: &InstanceTable, now: Millis) {
        let is_relevant = |backend: &BackendHealth| {
            let until = backend.rejects_until.max(backend.slow_until);
            backend.failures > 0 || until.max(backend.at_risk_until) > now
        };
        self.backends
            .retain(|id, backend| is_relevant(backend) && table.get(id).is_some());
    }
}

/// Duration of a call with so many pieces by the configured cost model, in milliseconds.
pub(super) fn call_ms(spec: &BatchSpec, pieces: usize) -> f64 {
    spec.call_ms + spec.piece_ms * pieces as f64
}
