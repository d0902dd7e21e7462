//! What the nodes told of rollouts in progress, as the leader sums it.

use crate::rollouts::Rollouts;
use crate::view::NodeReport;
use silversail_model::NodeName;
use silversail_rollout::{Evidence, RolloutNumber};
use std::collections::BTreeMap;

/// What was told of one rollout.
#[derive(Debug, Default)]
struct Told {
    /// By node: its present process, and what that one told last.
    processes: BTreeMap<NodeName, (u64, Evidence)>,
    /// Counts of processes that another one of their node has followed.
    gone: Evidence,
}

impl Told {
    /// Takes what a process told. An older message of it, that another relay passed on late, and
    /// one of a former process change nothing: counts of a process only grow.
    fn take(&mut self, node: &NodeName, incarnation: u64, evidence: &Evidence) {
        let Some((known_incarnation, known)) = self.processes.get_mut(node) else {
            let entry = (incarnation, evidence.clone());
            self.processes.insert(node.clone(), entry);
            return;
        };
        if incarnation < *known_incarnation {
            return;
        }
        if incarnation == *known_incarnation {
            if progress_of(evidence) >= progress_of(known) {
                *known = evidence.clone();
            }
            return;
        }
        let former = std::mem::replace(known, evidence.clone());
        *known_incarnation = incarnation;
        self.gone.merge(&former);
    }
}

/// Orders what one process tells: the directive that it obeys, then requests sent and ended.
fn progress_of(evidence: &Evidence) -> (u32, u64) {
    let versions = evidence
        .routes
        .values()
        .flat_map(|seen| [&seen.baseline, &seen.candidate]);
    let counted = versions.map(|answers| answers.sent + answers.succeeded + answers.failed);
    (evidence.step, counted.sum())
}

/// The latest evidence of each process by rollout in progress, and which nodes are live. Held by
/// the leader; a new leader has it within a heartbeat of all nodes, but for what processes told
/// that have ended since.
#[derive(Debug, Default)]
pub struct EvidenceTable {
    rollouts: BTreeMap<RolloutNumber, Told>,
    /// The processes that hold a lease.
    live: BTreeMap<NodeName, u64>,
}

impl EvidenceTable {
    /// Takes in a heartbeat.
    pub fn report(&mut self, report: &NodeReport, rollouts: &Rollouts) {
        for evidence in &report.evidence {
            let number = evidence.rollout;
            let is_in_progress = rollouts
                .numbered(number)
                .is_some_and(|rollout| rollout.is_in_progress());
            if is_in_progress {
                let told = self.rollouts.entry(number).or_default();
                told.take(&report.node, report.incarnation, evidence);
            }
        }
    }

    /// Takes the live processes, and drops what was told of rollouts that have ended.
    pub fn follow<'a>(
        &mut self,
        live: impl Iterator<Item = (&'a NodeName, u64)>,
        rollouts: &Rollouts,
    ) {
        if self.rollouts.is_empty() {
            self.live.clear();
            return;
        }
        self.live = live
            .map(|(node, incarnation)| (node.clone(), incarnation))
            .collect();
        self.rollouts.retain(|number, _| {
            let rollout = rollouts.numbered(*number);
            rollout.is_some_and(|rollout| rollout.is_in_progress())
        });
    }

    /// The sum over all processes. Of those that are gone, what they had under way and the step
    /// that they obeyed do not count.
    pub fn sum(&self, number: RolloutNumber) -> Evidence {
        let mut sum = Evidence {
            rollout: number,
            step: u32::MAX,
            ..Evidence::default()
        };
        let Some(told) = self.rollouts.get(&number) else {
            sum.step = 0;
            return sum;
        };
        let mut has_live = false;
        for (node, (incarnation, evidence)) in &told.processes {
            match self.live.get(node) == Some(incarnation) {
                true => {
                    has_live = true;
                    sum.merge(evidence);
                }
                false => sum.merge(&counts_of(evidence)),
            }
        }
        sum.merge(&counts_of(&told.gone));
        if !has_live {
            sum.step = 0;
        }
        sum
    }

    /// Whether every live node told that it obeys the directive of this step, or a later one.
    pub fn is_in_force(&self, number: RolloutNumber, step: u32) -> bool {
        let Some(told) = self.rollouts.get(&number) else {
            return false;
        };
        let obeys = |node: &NodeName, incarnation: u64| {
            let process = told.processes.get(node);
            process.is_some_and(|(known, evidence)| *known == incarnation && evidence.step >= step)
        };
        !self.live.is_empty()
            && self
                .live
                .iter()
                .all(|(node, incarnation)| obeys(node, *incarnation))
    }
}

/// What a process that is gone counted.
fn counts_of(evidence: &Evidence) -> Evidence {
    Evidence {
        rollout: evidence.rollout,
        step: u32::MAX,
        baseline_in_flight: 0,
        routes: evidence.routes.clone(),
    }
}
