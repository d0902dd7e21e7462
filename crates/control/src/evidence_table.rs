//! Aggregation of the nodes' evidence about rollouts in progress, on the leader.

use crate::rollouts::Rollouts;
use crate::view::NodeReport;
use silversail_model::NodeName;
use silversail_rollout::{Evidence, RolloutNumber};
use std::collections::BTreeMap;

/// Reports about one rollout.
#[derive(Debug, Default)]
struct RolloutReports {
    /// Incarnation and latest evidence of the current process of each node.
    processes: BTreeMap<NodeName, (u64, Evidence)>,
    /// Sum of the counts of earlier processes of the same nodes.
    ended_processes: Evidence,
}

impl RolloutReports {
    /// Records the evidence of a process. Delayed evidence, of the same or an earlier process, is
    /// ignored; it is recognized by its counts, which only grow within a process.
    fn record(&mut self, node: &NodeName, incarnation: u64, evidence: &Evidence) {
        let Some((latest_incarnation, latest)) = self.processes.get_mut(node) else {
            let entry = (incarnation, evidence.clone());
            self.processes.insert(node.clone(), entry);
            return;
        };
        if incarnation < *latest_incarnation {
            return;
        }
        if incarnation == *latest_incarnation {
            if progress_key(evidence) >= progress_key(latest) {
                *latest = evidence.clone();
            }
            return;
        }
        let former = std::mem::replace(latest, evidence.clone());
        *latest_incarnation = incarnation;
        self.ended_processes.merge(&former);
    }
}

/// Sort key for the evidence of one process: the step of its directive, then its request counts.
fn progress_key(evidence: &Evidence) -> (u32, u64) {
    let versions = evidence
        .routes
        .values()
        .flat_map(|route| [&route.baseline, &route.candidate]);
    let counted = versions.map(|answers| answers.sent + answers.succeeded + answers.failed);
    (evidence.step, counted.sum())
}

/// The latest evidence of each process for each rollout in progress, and the live processes. Only
/// the leader has this table. A new leader rebuilds it from the next heartbeats, without the
/// evidence of processes that have ended.
#[derive(Debug, Default)]
pub struct EvidenceTable {
    rollouts: BTreeMap<RolloutNumber, RolloutReports>,
    /// Incarnations of the processes with a lease, by node.
    live: BTreeMap<NodeName, u64>,
}

impl EvidenceTable {
    /// Records the evidence of a heartbeat.
    pub fn record_report(&mut self, report: &NodeReport, rollouts: &Rollouts) {
        for evidence in &report.evidence {
            let number = evidence.rollout;
            let is_in_progress = rollouts
                .by_number(number)
                .is_some_and(|rollout| rollout.is_in_progress());
            if is_in_progress {
                let reports = self.rollouts.entry(number).or_default();
                reports.record(&report.node, report.incarnation, evidence);
            }
        }
    }

    /// Sets the live processes and removes the evidence of rollouts that have ended.
    pub fn update_live_processes<'a>(
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
            let rollout = rollouts.by_number(*number);
            rollout.is_some_and(|rollout| rollout.is_in_progress())
        });
    }

    /// Sums the evidence of all processes. In-flight requests and directive steps of processes that
    /// are no longer live are excluded.
    pub fn sum(&self, number: RolloutNumber) -> Evidence {
        let mut sum = Evidence {
            rollout: number,
            step: u32::MAX,
            ..Evidence::default()
        };
        let Some(reports) = self.rollouts.get(&number) else {
            sum.step = 0;
            return sum;
        };
        let mut has_live = false;
        for (node, (incarnation, evidence)) in &reports.processes {
            match self.live.get(node) == Some(incarnation) {
                true => {
                    has_live = true;
                    sum.merge(evidence);
                }
                false => sum.merge(&retained_counts(evidence)),
            }
        }
        sum.merge(&retained_counts(&reports.ended_processes));
        if !has_live {
            sum.step = 0;
        }
        sum
    }

    /// Whether every live process reported that it follows the directive of this or a later step.
    pub fn is_in_force(&self, number: RolloutNumber, step: u32) -> bool {
        let Some(reports) = self.rollouts.get(&number) else {
            return false;
        };
        let has_applied_step = |node: &NodeName, incarnation: u64| {
            let process = reports.processes.get(node);
            process
                .is_some_and(|(latest, evidence)| *latest == incarnation && evidence.step >= step)
        };
        !self.live.is_empty()
            && self
                .live
                .iter()
                .all(|(node, incarnation)| has_applied_step(node, *incarnation))
    }
}

/// Evidence of an ended process that still counts: its routes, without in-flight requests and step.
fn retained_counts(evidence: &Evidence) -> Evidence {
    Evidence {
        rollout: evidence.rollout,
        step: u32::MAX,
        baseline_in_flight: 0,
        routes: evidence.routes.clone(),
    }
}
