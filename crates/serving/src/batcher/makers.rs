//! What the batching node believes of the back ends that make pieces: which of them
//! refuse, fail or are slow.

use super::CallOutcome;
use crate::instances::{Instance, InstanceTable};
use crate::policy::Policy;
use crate::rollouts::VersionChoice;
use crate::Millis;
use silversail_decisions::{DecisionLog, Event};
use silversail_model::traffic::BatchSpec;
use silversail_model::Shard;
use std::collections::{BTreeMap, VecDeque};

/// How long a maker that refused a call, or had no room, gets none, in
/// milliseconds.
const REFUSED_FOR: Millis = 80;
/// How long a maker that failed a call gets none after the first failure, in
/// milliseconds; each further one doubles it.
const FAILED_FOR: Millis = 250;
/// Most doublings of it.
const MAX_DOUBLINGS: u32 = 4;
/// A call that took so many times what calls of the service take lately was made by
/// a slow maker.
const SLOW_FACTOR: f64 = 2.4;
/// Calls of a service that are remembered for that.
const REMEMBERED_CALLS: usize = 15;
/// How long a slow maker gets no call, in milliseconds, until it is tried again.
const SLOW_FOR: Millis = 2_000;

/// How long after a maker failed its calls count as at risk, in milliseconds.
const AT_RISK_FOR: Millis = 1_000;

/// Times of one maker.
#[derive(Default)]
struct Maker {
    failures: u32,
    refused_until: Millis,
    slow_until: Millis,
    at_risk_until: Millis,
}

/// A call that ended, as its maker is judged by it.
pub(super) struct EndedCall<'a> {
    pub(super) maker: &'a str,
    pub(super) service: &'a str,
    /// Version of the maker's software.
    pub(super) version: &'a str,
    pub(super) took_ms: Millis,
    /// How long it takes by the configuration, in milliseconds.
    pub(super) expected_ms: f64,
}

impl EndedCall<'_> {
    /// The time that it took as a share of what it takes by the configuration.
    pub(super) fn share(&self) -> f64 {
        self.took_ms as f64 / self.expected_ms
    }
}

/// How long the latest calls of a service took, each as a share of what its pieces
/// take by the configuration.
#[derive(Default)]
struct RecentCalls {
    shares: VecDeque<f64>,
}

impl RecentCalls {
    fn add(&mut self, share: f64) {
        if self.shares.len() == REMEMBERED_CALLS {
            self.shares.pop_front();
        }
        self.shares.push_back(share);
    }

    /// The median, at least the configuration's time. Two nodes that batch for a while,
    /// after a change of owner, make calls wait and all of them longer. Of few calls the
    /// median says little: a first slow call hides a second one.
    fn usual(&self) -> f64 {
        let mut sorted: Vec<f64> = self.shares.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        let median = sorted.get(sorted.len() / 2).copied();
        median.unwrap_or_default().max(1.0)
    }
}

/// All makers of which something is believed.
pub(super) struct MakerBook {
    policy: Policy,
    makers: BTreeMap<String, Maker>,
    recent: BTreeMap<String, RecentCalls>,
    log: DecisionLog,
}

impl MakerBook {
    pub(super) fn new(policy: Policy, log: DecisionLog) -> Self {
        Self {
            policy,
            makers: BTreeMap::new(),
            recent: BTreeMap::new(),
            log,
        }
    }

    /// A piece may have to be made a second time for `within` milliseconds from now.
    pub(super) fn put_at_risk(&mut self, id: &str, within: Millis, now: Millis) {
        let maker = self.makers.entry(id.to_owned()).or_default();
        maker.at_risk_until = maker.at_risk_until.max(now + within);
    }

    /// Whether pieces that a maker gets may well have to be made a second time.
    pub(super) fn is_at_risk(&self, id: &str, now: Millis) -> bool {
        let maker = self.makers.get(id);
        maker.is_some_and(|maker| maker.at_risk_until > now)
    }

    /// A maker refused a call, or had no room for a result.
    pub(super) fn refused(&mut self, id: &str, now: Millis) {
        let maker = self.makers.entry(id.to_owned()).or_default();
        maker.refused_until = maker.refused_until.max(now + REFUSED_FOR);
    }

    /// A maker could not be reached, or gave no whole answer.
    fn failed(&mut self, call: &EndedCall<'_>, now: Millis) {
        let id = call.maker;
        let maker = self.makers.entry(id.to_owned()).or_default();
        let doublings = maker.failures.min(MAX_DOUBLINGS);
        maker.at_risk_until = now + AT_RISK_FOR;
        if !self.policy.pass_over_failing {
            return;
        }
        maker.failures += 1;
        maker.refused_until = now + (FAILED_FOR << doublings);
        self.record(call, "suspect");
    }

    fn record(&self, call: &EndedCall<'_>, state: &str) {
        self.log.record(Event::Backend {
            backend: call.maker.to_owned(),
            service: call.service.to_owned(),
            version: call.version.to_owned(),
            state: state.to_owned(),
            source: "batch".to_owned(),
        });
    }

    /// A call to a maker ended.
    pub(super) fn call_ended(&mut self, call: &EndedCall<'_>, outcome: &CallOutcome, now: Millis) {
        let id = call.maker;
        match outcome {
            CallOutcome::Withheld => {}
            CallOutcome::NotRun => self.refused(id, now),
            CallOutcome::Unreachable | CallOutcome::Unknown => self.failed(call, now),
            CallOutcome::Answered(_) => {
                let share = call.share();
                let recent = self.recent.entry(call.service.to_owned()).or_default();
                let is_slow = self.policy.pass_over_slow && share > recent.usual() * SLOW_FACTOR;
                recent.add(share);
                if let Some(maker) = self.makers.get_mut(id) {
                    maker.failures = 0;
                }
                if is_slow {
                    let maker = self.makers.entry(id.to_owned()).or_default();
                    maker.slow_until = now + SLOW_FOR;
                    self.record(call, "slow");
                }
            }
        }
    }

    /// Milliseconds until one of a shard's makers may get a call again; 0 where one may now.
    pub(super) fn refusing_ms(&self, shard: &Shard, table: &InstanceTable, now: Millis) -> u32 {
        let staying = table.of_shard(shard).filter(|one| one.accepts_new_work());
        let until = staying.map(|one| {
            let maker = self.makers.get(&one.listed.id);
            maker.map_or(0, |maker| maker.refused_until.saturating_sub(now))
        });
        until.min().unwrap_or_default() as u32
    }

    /// Milliseconds until the first of a shard's makers is back from its rest, or this node has a
    /// permit for it; 0 where there is one to which neither applies.
    pub(super) fn rest_ms(&self, shard: &Shard, table: &InstanceTable, now: Millis) -> Millis {
        let mut first_back = None;
        for maker in table.of_shard(shard).filter(|one| one.accepts_new_work()) {
            match maker.wait_ms(now) {
                0 => return 0,
                left => first_back = Some(first_back.map_or(left, |known: Millis| known.min(left))),
            }
        }
        first_back.unwrap_or_default()
    }

    fn is_refusing(&self, id: &str, now: Millis) -> bool {
        let maker = self.makers.get(id);
        maker.is_some_and(|maker| maker.refused_until > now)
    }

    fn is_slow(&self, id: &str, now: Millis) -> bool {
        let maker = self.makers.get(id);
        maker.is_some_and(|maker| maker.slow_until > now)
    }

    fn has_failed(&self, id: &str) -> bool {
        self.makers.get(id).is_some_and(|maker| maker.failures > 0)
    }

    /// Makers of a shard of the versions chosen that may get a call at `now`, busy ones
    /// included. Slow ones are passed over while they are the fewer.
    pub(super) fn usable<'a>(
        &self,
        shard: &'a Shard,
        versions: VersionChoice,
        table: &'a InstanceTable,
        now: Millis,
    ) -> Vec<&'a str> {
        let admitted = || {
            let of_shard = table.of_shard(shard);
            of_shard.filter(|one| versions.admits(one.role()))
        };
        let usable = admitted().filter(|one| one.is_usable(now));
        let mut all: Vec<&str> = usable.map(|one| one.listed.id.as_str()).collect();
        if all.is_empty() {
            let at_last = admitted().filter(|one| one.is_usable_as_last_resort(now));
            all.extend(at_last.map(|one| one.listed.id.as_str()));
        }
        let quick = all.iter().copied().filter(|id| !self.is_slow(id, now));
        let quick: Vec<&str> = quick.collect();
        let considered = if quick.len() * 2 >= all.len() {
            quick
        } else {
            all
        };
        let mut usable = considered;
        usable.retain(|id| !self.is_refusing(id, now));
        usable
    }

    /// Limited makers for which this node has no permit.
    pub(super) fn without_permit<'a>(
        &self,
        shard: &'a Shard,
        table: &'a InstanceTable,
        now: Millis,
    ) -> impl Iterator<Item = &'a str> {
        let lacking = table.of_shard(shard);
        let lacking = lacking.filter(move |one| one.needs_only_permit(now));
        lacking.map(|one| one.listed.id.as_str())
    }

    /// Calls a millisecond that the limited makers of a shard take, where a call takes `call`
    /// milliseconds.
    pub(super) fn limited_calls_per_ms(
        &self,
        shard: &Shard,
        call: f64,
        table: &InstanceTable,
    ) -> f64 {
        // A look at each maker for each message would cost as much as the service has makers.
        if !table.notices().has_limits() {
            return 0.0;
        }
        let limited = table.of_shard(shard).filter(|one| one.accepts_new_work());
        let rates = limited.filter_map(Instance::limit);
        let per_ms = rates.map(|rate| rate.requests_per_second() / 1_000.0);
        per_ms.map(|rate| rate.min(1.0 / call)).sum()
    }

    /// How many makers of a shard of the versions chosen work by what is known, without a limit.
    pub(super) fn working(
        &self,
        shard: &Shard,
        versions: VersionChoice,
        table: &InstanceTable,
        now: Millis,
    ) -> usize {
        let usable = table.of_shard(shard).filter(|one| {
            let id = &one.listed.id;
            versions.admits(one.role())
                && one.accepts_new_work()
                && !one.is_resting(now)
                && !one.is_limited()
                && !self.has_failed(id)
                && !self.is_slow(id, now)
        });
        usable.count()
    }

    /// Forgets makers that the list names no more, and those of which nothing is to be heeded:
    /// each choice among hundreds of makers looks here for each of them.
    pub(super) fn forget_well(&mut self, table: &InstanceTable, now: Millis) {
        let is_heeded = |maker: &Maker| {
            let until = maker.refused_until.max(maker.slow_until);
            maker.failures > 0 || until.max(maker.at_risk_until) > now
        };
        self.makers
            .retain(|id, maker| is_heeded(maker) && table.get(id).is_some());
    }
}

/// How long a call of so many pieces takes by the configuration, in milliseconds.
pub(super) fn call_ms(spec: &BatchSpec, pieces: usize) -> f64 {
    spec.call_ms + spec.piece_ms * pieces as f64
}
