//! Whether this node reaches any back end. A node whose links to all back ends are cut would
//! otherwise take them all for failed, while the other nodes use them.
//!
//! Failures at several back ends start a check: probes of back ends of different services. If none
//! accepts a connection, the node is cut off. While it is, probes go on; it has returned once most
//! of them succeed in consecutive rounds.

use crate::instances::{Instance, InstanceId};
use crate::Millis;
use std::collections::{BTreeMap, BTreeSet};

/// Number of back ends that must fail before a check. A single one may have crashed.
const FAILED_BEFORE_CHECK: usize = 2;
/// Time within which these failures must occur, in milliseconds.
const FAILURE_WINDOW: Millis = 2_000;
/// Number of back ends that are probed in a check.
const PROBES_PER_CHECK: usize = 6;
/// Number of back ends that are probed in a round while the node is cut off.
const PROBES_PER_ROUND: usize = 3;
/// Time between two rounds while the node is cut off, in milliseconds.
const ROUND_INTERVAL: Millis = 500;
/// Time for which the result of a check counts, in milliseconds.
const CHECK_LIFETIME: Millis = 1_000;
/// Consecutive successful rounds after which the node is no longer cut off, so that an unstable
/// link does not make it leave and return repeatedly.
const ROUNDS_TO_RETURN: u32 = 2;

/// Probes whose results are outstanding.
#[derive(Default)]
struct ProbeRound {
    pending: BTreeSet<InstanceId>,
    accepted: usize,
    failed: usize,
}

/// Change of the reachability of all back ends together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachabilityChange {
    /// No back end is reachable any more.
    CutOff,
    /// Back ends are reachable again.
    Returned,
}

/// Decides whether this node reaches any back end. Times are in milliseconds of the local clock.
#[derive(Default)]
pub struct ReachabilityMonitor {
    /// Back ends at which a connection failed, with the time of the last failure.
    failed: BTreeMap<InstanceId, Millis>,
    round: Option<ProbeRound>,
    is_check_requested: bool,
    /// Time at which the last round began.
    probed_at: Option<Millis>,
    /// Time at which a probe last succeeded.
    reached_at: Option<Millis>,
    is_cut_off: bool,
    good_rounds: u32,
}

impl ReachabilityMonitor {
    /// Whether no back end is reachable.
    pub fn is_cut_off(&self) -> bool {
        self.is_cut_off
    }

    /// Whether a check has been requested or is in progress.
    pub fn is_checking(&self) -> bool {
        !self.is_cut_off && (self.round.is_some() || self.is_check_requested)
    }

    /// Back ends at which connections failed recently.
    pub fn failed(&self) -> impl Iterator<Item = &InstanceId> {
        self.failed.keys()
    }

    /// Records that a connection to a back end failed or was lost.
    pub fn record_failure(&mut self, instance: &str, now: Millis) {
        self.failed
            .retain(|_, failed_at| now.saturating_sub(*failed_at) <= FAILURE_WINDOW);
        self.failed.insert(instance.to_owned(), now);
        if self.failed.len() >= FAILED_BEFORE_CHECK {
            self.request_check(now);
        }
    }

    /// Records an answer of a back end.
    pub fn record_answer(&mut self, instance: &str) {
        self.failed.remove(instance);
    }

    /// Requests a check, unless a probe has succeeded recently.
    pub fn request_check(&mut self, now: Millis) {
        let was_reached = self
            .reached_at
            .is_some_and(|reached_at| now.saturating_sub(reached_at) < CHECK_LIFETIME);
        self.is_check_requested |= !was_reached && !self.is_cut_off && self.round.is_none();
    }

    /// Number of probes to start now; none if no round is due.
    pub fn due_probes(&self, now: Millis) -> Option<usize> {
        if self.round.is_some() {
            return None;
        }
        if !self.is_cut_off {
            return self.is_check_requested.then_some(PROBES_PER_CHECK);
        }
        let is_due = self
            .probed_at
            .is_none_or(|probed_at| now.saturating_sub(probed_at) >= ROUND_INTERVAL);
        is_due.then_some(PROBES_PER_ROUND)
    }

    /// Records that `instances` are being probed. Without any, the check ends without a result.
    pub fn probes_started(&mut self, instances: impl IntoIterator<Item = InstanceId>, now: Millis) {
        self.is_check_requested = false;
        self.probed_at = Some(now);
        let pending: BTreeSet<InstanceId> = instances.into_iter().collect();
        self.round = (!pending.is_empty()).then(|| ProbeRound {
            pending,
            ..ProbeRound::default()
        });
    }

    /// Records the result of a probe of the current round; others are ignored.
    pub fn probe_finished(
        &mut self,
        instance: &str,
        is_accepted: bool,
        now: Millis,
    ) -> Option<ReachabilityChange> {
        let round = self.round.as_mut()?;
        if !round.pending.remove(instance) {
            return None;
        }
        match is_accepted {
            true => round.accepted += 1,
            false => round.failed += 1,
        }
        if is_accepted {
            self.reached_at = Some(now);
        }
        match self.is_cut_off {
            true => self.finish_round(),
            false => self.finish_check(),
        }
    }

    fn finish_check(&mut self) -> Option<ReachabilityChange> {
        let round = self.round.as_ref()?;
        if round.accepted > 0 {
            self.round = None;
            self.failed.clear();
            return None;
        }
        if !round.pending.is_empty() {
            return None;
        }
        self.round = None;
        self.is_cut_off = true;
        self.good_rounds = 0;
        Some(ReachabilityChange::CutOff)
    }

    fn finish_round(&mut self) -> Option<ReachabilityChange> {
        let round = self.round.as_ref()?;
        if !round.pending.is_empty() {
            return None;
        }
        let is_good = round.accepted > round.failed;
        self.round = None;
        self.good_rounds = if is_good { self.good_rounds + 1 } else { 0 };
        if self.good_rounds < ROUNDS_TO_RETURN {
            return None;
        }
        self.is_cut_off = false;
        self.failed.clear();
        Some(ReachabilityChange::Returned)
    }
}

/// Chooses at most `count` back ends to probe: in turn from each service, starting at a place that
/// depends on `seed`.
pub fn probe_targets<'a>(
    candidates: impl Iterator<Item = &'a Instance>,
    count: usize,
    seed: u64,
) -> Vec<&'a Instance> {
    let mut by_service: BTreeMap<&str, Vec<&Instance>> = BTreeMap::new();
    for instance in candidates {
        let service = instance.listed.service.as_str();
        by_service.entry(service).or_default().push(instance);
    }
    let mut targets = Vec::new();
    let longest = by_service.values().map(Vec::len).max().unwrap_or(0);
    for place in 0..longest {
        for instances in by_service.values() {
            if place < instances.len() && targets.len() < count {
                let start = (seed % instances.len() as u64) as usize;
                targets.push(instances[(start + place) % instances.len()]);
            }
        }
    }
    targets
}
