//! One randomized run: client requests under injected faults, then recovery without
//! faults, then the checks of all invariants.

use crate::clients::ClientLog;
use crate::network::NetworkFaults;
use crate::orders::OrderLog;
use crate::world::{NodeDiscovery, World, WorldSize};
use rand::seq::SliceRandom;
use rand::Rng;
use silversail_consensus::Millis;
use silversail_control::ChangeOutcome;
use silversail_peer::GroupId;
use silversail_testbed::checker::{check, check_revisions, Violation};
use std::collections::BTreeMap;

/// Virtual time for which faults are injected, in milliseconds.
const FAULT_PHASE_MS: Millis = 60_000;
/// Longest virtual time for which the cluster may take to recover, in milliseconds.
const RECOVERY_TIMEOUT_MS: Millis = 30_000;
/// Longest interval between two actions, in milliseconds.
const MAX_ACTION_INTERVAL_MS: Millis = 150;
/// Longest freeze, isolation or downtime of a node, in milliseconds.
const MAX_OUTAGE_MS: Millis = 8_000;

/// Drawn action numbers from this one on inject a fault.
const FIRST_FAULT_ACTION: u32 = 75;
/// Longest duration of a disk sync, in milliseconds.
const MAX_SYNC_DURATION_MS: Millis = 150;
/// Longest downtime of a process that crashes during a write, in milliseconds.
const MAX_WRITE_CRASH_OUTAGE_MS: Millis = 60;

/// Rate of the injected faults.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Severity {
    /// Share of the drawn faults that are injected. A low share lets requests
    /// reach their later stages before a fault.
    FaultRate(f64),
    /// All drawn faults are injected, messages are slow and often lost, and voters
    /// crash during writes with every action, which causes repeated elections.
    Extreme,
}

const SEVERITIES: [Severity; 4] = [
    Severity::FaultRate(0.1),
    Severity::FaultRate(0.3),
    Severity::FaultRate(1.0),
    Severity::Extreme,
];
/// Share of messages that are lost under [`Severity::Extreme`].
const EXTREME_LOSS_RATE: f64 = 0.2;
/// Longest message delay under [`Severity::Extreme`], in milliseconds.
const EXTREME_MAX_DELAY_MS: Millis = 120;

/// Result of the run of one seed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SeedReport {
    /// Seed of all random numbers of the run.
    pub seed: u64,
    /// Descriptions of violated invariants.
    pub failures: Vec<String>,
    /// Number of accepted configuration changes.
    pub accepted: usize,
    /// Number of calls by outcome; `no_answer` where none arrived.
    pub outcomes: BTreeMap<String, usize>,
    /// Number of calls that back ends ran.
    pub runs: usize,
    /// Number of process crashes.
    pub crashes: usize,
    /// Number of wiped disks.
    pub wipes: usize,
    /// Number of acknowledged orders of rollouts and evacuations.
    pub orders: usize,
    /// Virtual time from the end of the faults to recovery, in milliseconds.
    pub recovery_ms: Millis,
}

struct Scenario {
    world: World,
    clients: ClientLog,
    /// Orders of rollouts and evacuations, where the run has them.
    orders: Option<OrderLog>,
    report: SeedReport,
    voters: usize,
    /// End time and position of each isolated node.
    isolations: Vec<(Millis, usize)>,
    /// Restart time and position of each process that is down.
    restarts: Vec<(Millis, usize)>,
    /// Voter whose disk was wiped and that does not vote again yet.
    wiped_voter: Option<usize>,
    severity: Severity,
}

/// Runs one seed with requests and configuration changes under faults.
pub fn run_seed(seed: u64) -> SeedReport {
    run(seed, None)
}

/// Runs one seed in which operators also order rollouts and evacuations.
pub fn run_seed_with_orders(seed: u64) -> SeedReport {
    run(seed, Some(OrderLog::new(seed)))
}

fn run(seed: u64, orders: Option<OrderLog>) -> SeedReport {
    let voters = if seed.is_multiple_of(2) { 3 } else { 5 };
    let size = WorldSize {
        nodes: voters + 2,
        voters,
        zones: 3,
        is_hollow: false,
        discovery: NodeDiscovery::StaticSettings,
    };
    let mut scenario = Scenario {
        world: World::new(seed, size),
        clients: ClientLog::default(),
        orders,
        report: SeedReport {
            seed,
            ..SeedReport::default()
        },
        voters,
        isolations: Vec::new(),
        restarts: Vec::new(),
        wiped_voter: None,
        severity: SEVERITIES[(seed / 2) as usize % SEVERITIES.len()],
    };
    scenario.run();
    scenario.report
}

impl Scenario {
    fn run(&mut self) {
        if !self.wait_until_healthy(0) {
            self.record_failure("the cluster did not form");
            return;
        }
        self.clients.change(&mut self.world, 0);
        self.wait_until_healthy(1);
        for slot in &self.world.nodes {
            let mut backends = slot.parts.backends.borrow_mut();
            backends.rejection_rate = 0.05;
            backends.response_loss_rate = 0.05;
        }
        if self.severity == Severity::Extreme {
            let mut network = self.world.network.borrow_mut();
            network.faults.loss_rate = EXTREME_LOSS_RATE;
            network.faults.max_delay = EXTREME_MAX_DELAY_MS;
        }
        let end = self.world.now() + FAULT_PHASE_MS;
        while self.world.now() < end {
            self.perform_action();
            if let Some(orders) = &mut self.orders {
                orders.step(&mut self.world);
            }
            let pause = self.world.random.gen_range(1..MAX_ACTION_INTERVAL_MS);
            self.world.run_for(pause);
            self.clients.collect();
            self.end_due_outages(false);
        }
        self.end_faults();
        self.check();
    }

    fn perform_action(&mut self) {
        let position = self.world.random.gen_range(0..self.world.nodes.len());
        let action = self.world.random.gen_range(0..100);
        let is_fault = action >= FIRST_FAULT_ACTION;
        let happens = match self.severity {
            Severity::FaultRate(share) => !is_fault || self.world.random.gen_bool(share),
            Severity::Extreme => {
                self.crash_during_write();
                true
            }
        };
        if !happens {
            return;
        }
        match action {
            0..=54 => self.clients.call(&mut self.world, position),
            55..=72 => self.clients.change(&mut self.world, position),
            73..=74 => self.send_concurrent_changes(),
            75..=77 => self.crash(position),
            78..=80 => self.freeze(position),
            81..=83 => self.isolate(position),
            84..=86 => self.isolate_leader(),
            87 => self.crash_all(),
            88..=89 => self.wipe_disk(),
            90..=92 => self.change_network(),
            93..=94 => self.change_sync_duration(),
            _ => self.crash_during_write(),
        }
    }

    /// Sends changes of the same base revision through two nodes.
    fn send_concurrent_changes(&mut self) {
        let count = self.world.nodes.len();
        let first = self.world.random.gen_range(0..count);
        let second = self.world.random.gen_range(0..count);
        self.clients.change(&mut self.world, first);
        self.clients.change(&mut self.world, second);
    }

    fn outage_duration(&mut self) -> Millis {
        self.world.random.gen_range(200..MAX_OUTAGE_MS)
    }

    fn crash(&mut self, position: usize) {
        if self.world.nodes[position].process.is_none() {
            return;
        }
        self.world.crash(position);
        self.report.crashes += 1;
        let until = self.world.now() + self.outage_duration();
        self.restarts.push((until, position));
    }

    /// Crashes a voter with unsynced writes and restarts it soon after. It must not
    /// have acknowledged to others what it has not synced.
    fn crash_during_write(&mut self) {
        let writing: Vec<usize> = (0..self.voters)
            .filter(|voter| {
                let slot = &self.world.nodes[*voter];
                let mut disks = slot.parts.disks.values();
                slot.process.is_some() && disks.any(|disk| disk.borrow().has_unsynced())
            })
            .collect();
        let Some(position) = writing.choose(&mut self.world.random).copied() else {
            return;
        };
        self.world.crash(position);
        self.report.crashes += 1;
        let until = self.world.now() + self.world.random.gen_range(1..MAX_WRITE_CRASH_OUTAGE_MS);
        self.restarts.push((until, position));
    }

    /// Changes the sync duration of one voter's disks.
    fn change_sync_duration(&mut self) {
        let position = self.world.random.gen_range(0..self.voters);
        let sync_duration_ms = self.world.random.gen_range(1..MAX_SYNC_DURATION_MS);
        for disk in self.world.nodes[position].parts.disks.values() {
            disk.borrow_mut().sync_duration_ms = sync_duration_ms;
        }
    }

    fn crash_all(&mut self) {
        for position in 0..self.world.nodes.len() {
            self.crash(position);
        }
    }

    fn freeze(&mut self, position: usize) {
        let duration = self.outage_duration();
        if self.world.nodes[position].process.is_some() {
            self.world.freeze(position, duration);
        }
    }

    fn isolate(&mut self, position: usize) {
        let name = self.world.nodes[position].name.clone();
        let until = self.world.now() + self.outage_duration();
        self.world
            .network
            .borrow_mut()
            .faults
            .isolated_nodes
            .insert(name);
        self.isolations.push((until, position));
    }

    fn isolate_leader(&mut self) {
        if let Some(leader) = self.world.leader(GroupId::Control) {
            self.isolate(leader);
        }
    }

    /// Wipes the disk of one voter, only while all voters run and vote: losing a
    /// second disk before the repair could lose committed entries.
    fn wipe_disk(&mut self) {
        let all_run = (0..self.voters).all(|voter| self.world.nodes[voter].process.is_some());
        if self.wiped_voter.is_some() || !all_run || !self.all_voters_vote() {
            return;
        }
        let position = self.world.random.gen_range(0..self.voters);
        self.world.crash(position);
        self.world.wipe(position);
        self.report.wipes += 1;
        self.wiped_voter = Some(position);
        let until = self.world.now() + self.outage_duration();
        self.restarts.push((until, position));
    }

    /// Whether every voter runs and votes in every group, without learners left.
    fn all_voters_vote(&self) -> bool {
        (0..self.voters).all(|voter| {
            let slot = &self.world.nodes[voter];
            let Some(node) = &slot.process else {
                return false;
            };
            node.actors.statuses.values().all(|status| {
                let status = status.borrow();
                let report = status.report.as_ref();
                report.is_some_and(|report| {
                    report.learners.is_empty() && report.voters.len() == self.voters && report.votes
                })
            })
        })
    }

    fn change_network(&mut self) {
        let mut network = self.world.network.borrow_mut();
        network.faults.loss_rate = self.world.random.gen_range(0.0..0.1);
        network.faults.max_delay = self.world.random.gen_range(1..40);
        network.faults.hold_rate = self.world.random.gen_range(0.0..0.02);
    }

    fn end_due_outages(&mut self, all: bool) {
        let now = self.world.now();
        let is_due = |until: Millis| all || until <= now;
        let (due, pending) = self
            .isolations
            .iter()
            .partition(|(until, _)| is_due(*until));
        self.isolations = pending;
        let due: Vec<(Millis, usize)> = due;
        for (_, position) in due {
            let name = self.world.nodes[position].name.clone();
            self.world
                .network
                .borrow_mut()
                .faults
                .isolated_nodes
                .remove(&name);
        }
        let (due, pending) = self.restarts.iter().partition(|(until, _)| is_due(*until));
        self.restarts = pending;
        let due: Vec<(Millis, usize)> = due;
        for (_, position) in due {
            self.world.start(position);
        }
        if self.wiped_voter.is_some() && self.all_voters_vote() {
            self.wiped_voter = None;
        }
    }

    fn end_faults(&mut self) {
        self.end_due_outages(true);
        self.world.network.borrow_mut().faults = NetworkFaults::default();
        for slot in &mut self.world.nodes {
            if slot.frozen_until.is_some() {
                // The next step resumes the process.
                slot.frozen_until = Some(0);
            }
        }
        let started_at = self.world.now();
        let accepted = self.newest_accepted_revision();
        if !self.wait_until_healthy(accepted) {
            self.record_failure(&format!(
                "the cluster did not recover within {RECOVERY_TIMEOUT_MS} ms after the faults: revisions {:?}, accepted {accepted}, all voters vote: {}, usable nodes by node {:?}",
                self.revisions(),
                self.all_voters_vote(),
                (0..self.world.nodes.len())
                    .map(|position| self.world.usable(position))
                    .collect::<Vec<usize>>()
            ));
        }
        self.report.recovery_ms = self.world.now() - started_at;
        // Changes in progress may still be accepted.
        self.world.run_for(5_000);
        self.clients.collect();
        let accepted = self.newest_accepted_revision();
        if !self.wait_until_healthy(accepted) {
            self.record_failure("a change accepted after the faults is not in force");
        }
    }

    fn revisions(&self) -> Vec<Option<u64>> {
        (0..self.world.nodes.len())
            .map(|position| self.world.revision(position))
            .collect()
    }

    fn newest_accepted_revision(&self) -> u64 {
        let changes = self.clients.changes.borrow();
        changes
            .iter()
            .filter_map(|answer| match answer.outcome {
                Some(ChangeOutcome::Accepted { revision }) => Some(revision),
                _ => None,
            })
            .max()
            .unwrap_or(0)
    }

    /// Waits until all nodes have the same current revision, at least `revision`,
    /// and see each other as usable, and all voters vote.
    fn wait_until_healthy(&mut self, revision: u64) -> bool {
        let count = self.world.nodes.len();
        let deadline = self.world.now() + RECOVERY_TIMEOUT_MS;
        while self.world.now() < deadline {
            let revisions = self.revisions();
            let have_same_revision = revisions.windows(2).all(|pair| pair[0] == pair[1]);
            let all_usable = (0..count).all(|position| self.world.usable(position) == count);
            if have_same_revision
                && all_usable
                && revisions[0] >= Some(revision)
                && self.all_voters_vote()
            {
                return true;
            }
            self.world.run_for(50);
            self.clients.collect();
        }
        false
    }

    fn record_failure(&mut self, message: &str) {
        self.report.failures.push(message.to_owned());
    }

    fn check(&mut self) {
        let mut failures = std::mem::take(&mut self.world.failures);
        failures.dedup();
        self.report.failures.extend(failures);
        self.clients.record_unanswered();
        let violations = check(&self.clients.calls, &self.world.runs.borrow());
        for violation in violations {
            if matches!(violation, Violation::Lost { .. }) {
                // The crash of a process closes its client connections.
                continue;
            }
            let history = self.describe_key_history(&violation);
            self.record_failure(&format!("{violation:?} {history:?}"));
        }
        for violation in check_revisions(&self.world.revisions) {
            self.record_failure(&format!("{violation:?}"));
        }
        self.check_changes();
        if let Some(orders) = &mut self.orders {
            self.report.orders = orders.acknowledged();
            self.report.failures.extend(orders.check(&self.world));
        }
        for call in &self.clients.calls {
            let outcome = call.outcome.clone().unwrap_or_else(|| "no_answer".into());
            *self.report.outcomes.entry(outcome).or_default() += 1;
        }
        self.report.runs = self.world.runs.borrow().len();
    }

    /// Result codes and run attempts of the key that a violation names, in order.
    fn describe_key_history(&self, violation: &Violation) -> Vec<String> {
        let text = format!("{violation:?}");
        let is_of = |key: &str| text.contains(&format!("\"{key}\""));
        let answers = self.clients.calls.iter().filter(|call| is_of(&call.key));
        let answers = answers.map(|call| {
            let retried = if call.retried_after_refusal {
                " retried"
            } else {
                ""
            };
            format!("{}{retried}", call.code.unwrap_or_default())
        });
        let runs = self.world.runs.borrow();
        let runs: Vec<String> = runs
            .iter()
            .filter(|run| run.key().is_some_and(is_of))
            .map(|run| run.attempt.clone())
            .collect();
        answers.chain(runs).collect()
    }

    /// Checks that each revision belongs to one change, that a resent change got the
    /// same outcome, and that each accepted change is in the current configuration.
    fn check_changes(&mut self) {
        let changes = self.clients.changes.borrow().clone();
        let mut by_revision: BTreeMap<u64, String> = BTreeMap::new();
        let mut by_change: BTreeMap<String, ChangeOutcome> = BTreeMap::new();
        let mut failures = Vec::new();
        for answer in changes {
            let Some(outcome) = answer.outcome else {
                continue;
            };
            if let ChangeOutcome::Accepted { revision } = outcome {
                let owner = by_revision
                    .entry(revision)
                    .or_insert_with(|| answer.change_id.clone());
                if *owner != answer.change_id {
                    failures.push(format!(
                        "revision {revision} was assigned to change {owner} and to change {}",
                        answer.change_id
                    ));
                }
            }
            let first = by_change
                .entry(answer.change_id.clone())
                .or_insert_with(|| outcome.clone());
            if *first != outcome {
                failures.push(format!(
                    "change {}: {first:?}, then {outcome:?}",
                    answer.change_id
                ));
            }
        }
        self.report.accepted = by_revision.len();
        if let Some(node) = &self.world.nodes[0].process {
            let state = node.state.borrow();
            let tenants = &state.configuration.configuration().tenants;
            for change_id in by_revision.values().filter(|change_id| *change_id != "c1") {
                let tenant = format!("of-{change_id}");
                if !tenants.keys().any(|name| name.0 == tenant) {
                    failures.push(format!(
                        "accepted change {change_id} is not in the configuration"
                    ));
                }
            }
        }
        self.report.failures.extend(failures);
    }
}
