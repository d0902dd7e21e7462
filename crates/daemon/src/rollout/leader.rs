//! The actor that controls the rollouts in progress. It runs on every voter and is active while its
//! replica leads the control group. All voters measure the elapsed time, so that a new leader
//! continues from where its predecessor was.

use super::elapsed_times::ElapsedTimes;
use super::progress::{progress_of, verdict_without_baseline};
use super::recording::{set_response_gauges, RolloutRecorder};
use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::replica::{ProposalOutcome, ProposerActor, SharedGroupStatus};
use crate::session::{SharedEvidence, SharedNodeState};
use silversail_consensus::Millis;
use silversail_control::rollouts::needs_elapsed_time;
use silversail_control::{ControlCommand, ControlState, RolloutCommand, RolloutReply};
use silversail_decisions::DecisionLog;
use silversail_rollout::{
    Rollout, RolloutController, RolloutDecision, RolloutLimits, RolloutNumber, RolloutState,
};
use stakker::{after, call, ret_nop, ret_some_to, Actor, CX};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Interval of decisions; shorter than a heartbeat, with which evidence arrives.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which the elapsed time of rollouts is committed, in milliseconds. At most this
/// much is lost if all processes fail at once.
const ELAPSED_COMMIT_INTERVAL_MS: Millis = 1_000;
/// Longest wait for the commit of an elapsed time; the next commit supersedes it.
const ELAPSED_TIMEOUT: Duration = Duration::from_millis(900);
/// Longest wait for the commit of a decision; after that the decision is made again.
const DECISION_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time for which a new leader collects evidence before its first decision, in milliseconds. Covers
/// two heartbeats and their forwarding by relays, so that it has its predecessor's counts.
const EVIDENCE_COLLECTION_MS: Millis = 1_000;

/// Dependencies and configuration of a [`RolloutLeaderActor`].
pub struct RolloutLeaderSetup {
    /// Replicated state with the rollouts.
    pub control_state: Rc<RefCell<ControlState>>,
    /// Status of this node's replica of the control group.
    pub status: SharedGroupStatus,
    /// Holds the backend list.
    pub state: SharedNodeState,
    /// Evidence that nodes reported on rollouts.
    pub evidence: SharedEvidence,
    /// Proposes decisions to the control group.
    pub proposer: Actor<ProposerActor>,
    /// Limits on the effect of a faulty version.
    pub limits: RolloutLimits,
    /// Longest time for which a partitioned leader continues to act as leader, in milliseconds.
    pub leader_lease: Millis,
    /// Records directives and the end of rollouts.
    pub log: DecisionLog,
    /// Exposes the response counts of rollouts in progress.
    pub metrics: Arc<Metrics>,
    /// Clock of the process.
    pub clock: Clock,
}

/// State of a term in which this process is the leader.
struct Leadership {
    term: u64,
    first_decision_at: Millis,
    /// Controllers of the rollouts in progress.
    controllers: BTreeMap<RolloutNumber, RolloutController>,
    /// Rollouts with a decision that is being committed.
    committing_numbers: BTreeSet<RolloutNumber>,
    /// Time of the last commit of elapsed times; none at the start of a term, so that the time of
    /// the election is committed at once.
    elapsed_committed_at: Option<Millis>,
}

/// Decides on the rollouts in progress on the leader of the control group.
pub struct RolloutLeaderActor {
    setup: RolloutLeaderSetup,
    elapsed_times: ElapsedTimes,
    recorder: RolloutRecorder,
    leadership: Option<Leadership>,
}

impl RolloutLeaderActor {
    /// Starts as a follower.
    pub fn init(cx: CX![], setup: RolloutLeaderSetup) -> Option<Self> {
        after!(TICK_INTERVAL, [cx], tick());
        Some(Self {
            setup,
            elapsed_times: ElapsedTimes::default(),
            recorder: RolloutRecorder::default(),
            leadership: None,
        })
    }

    fn tick(&mut self, cx: CX![]) {
        after!(TICK_INTERVAL, [cx], tick());
        let now = self.setup.clock.millis(cx.now());
        self.follow_leadership(now);
        self.record_changes(now);
        if self.is_confirmed_leader(now) {
            self.commit_elapsed(now);
            self.decide_all(cx, now);
        }
    }

    fn follow_leadership(&mut self, now: Millis) {
        let (is_leader, term) = {
            let status = self.setup.status.borrow();
            (status.is_leader, status.term)
        };
        if !is_leader {
            if self.leadership.take().is_some() {
                self.setup.metrics.rollout_answers.reset();
            }
            return;
        }
        if self.leadership.as_ref().map(|leadership| leadership.term) != Some(term) {
            self.leadership = Some(Leadership {
                term,
                first_decision_at: now + EVIDENCE_COLLECTION_MS,
                controllers: BTreeMap::new(),
                committing_numbers: BTreeSet::new(),
                elapsed_committed_at: None,
            });
        }
    }

    /// Whether a quorum confirmed this node's leadership within the lease.
    fn is_confirmed_leader(&self, now: Millis) -> bool {
        let status = self.setup.status.borrow();
        let age = status.freshness.age(now);
        status.is_leader && age.is_some_and(|age| age < self.setup.leader_lease)
    }

    fn record_changes(&mut self, now: Millis) {
        let control_state = self.setup.control_state.borrow();
        let rollouts = &control_state.rollouts;
        self.elapsed_times.update(rollouts, now);
        let evidence = self.setup.evidence.borrow();
        let log = self.leadership.is_some().then_some(&self.setup.log);
        let elapsed_times = &self.elapsed_times;
        self.recorder.record_changes(
            rollouts,
            log,
            |number| evidence.sum(number),
            |number| elapsed_times.elapsed(number, now).unwrap_or_default(),
        );
    }

    /// Commits the elapsed time of the rollouts.
    fn commit_elapsed(&mut self, now: Millis) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let committed_at = leadership.elapsed_committed_at;
        if committed_at.is_some_and(|at| now.saturating_sub(at) < ELAPSED_COMMIT_INTERVAL_MS) {
            return;
        }
        leadership.elapsed_committed_at = Some(now);
        let control_state = self.setup.control_state.borrow();
        for rollout in control_state
            .rollouts
            .all()
            .filter(|rollout| needs_elapsed_time(rollout))
        {
            let number = rollout.number;
            let elapsed_ms = self.elapsed_times.elapsed(number, now).unwrap_or_default();
            let command = RolloutCommand::Elapsed { number, elapsed_ms };
            let command = ControlCommand::Rollout(command).encode();
            let proposer = &self.setup.proposer;
            call!(
                [proposer],
                propose_locally(command, ELAPSED_TIMEOUT, ret_nop!())
            );
        }
    }

    fn decide_all(&mut self, cx: CX![], now: Millis) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        if now < leadership.first_decision_at {
            return;
        }
        let in_progress: Vec<Rollout> = {
            let control_state = self.setup.control_state.borrow();
            let rollouts = control_state.rollouts.all();
            rollouts
                .filter(|rollout| rollout.is_in_progress())
                .cloned()
                .collect()
        };
        let is_current = |number: &RolloutNumber| {
            let mut numbers = in_progress.iter().map(|rollout| rollout.number);
            numbers.any(|in_progress_number| in_progress_number == *number)
        };
        leadership
            .controllers
            .retain(|number, _| is_current(number));
        for rollout in in_progress {
            self.decide(cx, &rollout, now);
        }
    }

    fn decide(&mut self, cx: CX![], rollout: &Rollout, now: Millis) {
        let number = rollout.number;
        let RolloutState::InProgress(directive) = &rollout.state else {
            return;
        };
        let (evidence, is_applied_everywhere) = {
            let table = self.setup.evidence.borrow();
            (table.sum(number), table.is_in_force(number, directive.step))
        };
        set_response_gauges(&self.setup.metrics, &rollout.order.service, &evidence);
        let elapsed_ms = self.elapsed_times.elapsed(number, now).unwrap_or_default();
        let (progress, immediate_verdict) = {
            let state = self.setup.state.borrow();
            let listing = state.backend_list.as_deref();
            let progress = progress_of(&rollout.order, listing, is_applied_everywhere);
            let verdict = verdict_without_baseline(&state, directive, &progress, now, elapsed_ms);
            (progress, verdict)
        };
        let limits = self.setup.limits;
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        if leadership.committing_numbers.contains(&number) {
            return;
        }
        let controller = leadership
            .controllers
            .entry(number)
            .or_insert_with(|| RolloutController::new(rollout, limits));
        let decision = match immediate_verdict {
            Some(verdict) => Some(RolloutDecision::Complete {
                former_versions: BTreeSet::new(),
                verdict,
            }),
            None => controller.decide(&evidence, &progress, elapsed_ms),
        };
        if let Some(decision) = decision {
            leadership.committing_numbers.insert(number);
            let term = leadership.term;
            let command = ControlCommand::Rollout(command_of(number, decision, elapsed_ms));
            let ret = ret_some_to!(
                [cx],
                handle_commit_outcome(term, number) as (ProposalOutcome)
            );
            let proposer = &self.setup.proposer;
            call!(
                [proposer],
                propose_locally(command.encode(), DECISION_TIMEOUT, ret)
            );
        }
    }

    /// Handles the outcome of a decision's commit. If it failed, the controller is recreated from
    /// the committed state.
    fn handle_commit_outcome(
        &mut self,
        _: CX![],
        term: u64,
        number: RolloutNumber,
        outcome: ProposalOutcome,
    ) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        if leadership.term != term {
            return;
        }
        leadership.committing_numbers.remove(&number);
        let reply = match outcome {
            ProposalOutcome::Applied(bytes) => postcard::from_bytes(&bytes).ok(),
            ProposalOutcome::Unavailable => None,
        };
        if reply != Some(RolloutReply::Changed) {
            leadership.controllers.remove(&number);
            log::info!(event = "rollout_decision_lost", rollout = number; "a rollout decision was not committed; it will be made again");
        }
    }
}

fn command_of(number: RolloutNumber, decision: RolloutDecision, elapsed_ms: u64) -> RolloutCommand {
    let end_command = |state| RolloutCommand::End {
        number,
        state,
        elapsed_ms,
    };
    match decision {
        RolloutDecision::Issue(directive) => RolloutCommand::Advance {
            number,
            directive,
            elapsed_ms,
        },
        RolloutDecision::Complete {
            former_versions,
            verdict,
        } => end_command(RolloutState::Completed {
            former_versions,
            verdict,
        }),
        RolloutDecision::RollBack(verdict) => end_command(RolloutState::RolledBack { verdict }),
    }
}
