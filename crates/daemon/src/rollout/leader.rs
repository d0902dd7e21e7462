//! The actor that drives rollouts in progress. It acts while its replica leads the control group;
//! every voter has one and counts time, so that a new leader goes on where the former was.

use super::clocks::ElapsedClocks;
use super::progress::{progress_of, verdict_without_baseline};
use super::recording::{count_answers, Recorder};
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

/// Interval of decisions: a fraction of a heartbeat, in which evidence comes.
const TICK: Duration = Duration::from_millis(100);
/// Between commits of the time since the order, in milliseconds: so much of it is lost at most
/// where all processes die at once.
const ELAPSED_EVERY: Millis = 1_000;
/// Longest wait for the commit of a time; the next one replaces it.
const ELAPSED_TIMEOUT: Duration = Duration::from_millis(900);
/// Longest wait for the commit of a decision; then it is made anew.
const DECISION_TIMEOUT: Duration = Duration::from_millis(2_000);
/// How long a new leader listens before it decides, in milliseconds: two heartbeats of the nodes
/// and what relays take to pass them on, so that it knows the counts that its predecessor knew.
const LISTENS_FOR: Millis = 1_000;

/// What the actor is made of.
pub struct RolloutLeaderSetup {
    /// The replicated rollouts.
    pub machine: Rc<RefCell<ControlState>>,
    /// Status of the own replica of the control group.
    pub status: SharedGroupStatus,
    /// For the list of back ends.
    pub state: SharedNodeState,
    /// What nodes told of rollouts.
    pub evidence: SharedEvidence,
    /// Commits decisions.
    pub proposer: Actor<ProposerActor>,
    /// What a bad version may do at most.
    pub limits: RolloutLimits,
    /// Longest time for which a leader that is cut off acts as one, in milliseconds.
    pub leader_lease: Millis,
    /// Decisions.
    pub log: DecisionLog,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// Time.
    pub clock: Clock,
}

/// What this process does in a term in which it leads.
struct Leadership {
    term: u64,
    decides_from: Millis,
    /// One for each rollout in progress; none while a decision of it is being committed.
    controllers: BTreeMap<RolloutNumber, RolloutController>,
    /// Rollouts of which a decision is being committed.
    committing: BTreeSet<RolloutNumber>,
    /// None at first: a voter that starts again goes on from what is committed, and the time of
    /// the election is not.
    elapsed_told_at: Option<Millis>,
}

/// Drives rollouts.
pub struct RolloutLeaderActor {
    setup: RolloutLeaderSetup,
    clocks: ElapsedClocks,
    recorder: Recorder,
    leadership: Option<Leadership>,
}

impl RolloutLeaderActor {
    /// Starts as no leader.
    pub fn init(cx: CX![], setup: RolloutLeaderSetup) -> Option<Self> {
        after!(TICK, [cx], tick());
        Some(Self {
            setup,
            clocks: ElapsedClocks::default(),
            recorder: Recorder::default(),
            leadership: None,
        })
    }

    fn tick(&mut self, cx: CX![]) {
        after!(TICK, [cx], tick());
        let now = self.setup.clock.millis(cx.now());
        self.follow_leadership(now);
        self.follow_rollouts(now);
        if self.is_confirmed_leader(now) {
            self.tell_elapsed(now);
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
        if self.leadership.as_ref().map(|one| one.term) != Some(term) {
            self.leadership = Some(Leadership {
                term,
                decides_from: now + LISTENS_FOR,
                controllers: BTreeMap::new(),
                committing: BTreeSet::new(),
                elapsed_told_at: None,
            });
        }
    }

    /// Whether a quorum confirmed the leadership within the lease.
    fn is_confirmed_leader(&self, now: Millis) -> bool {
        let status = self.setup.status.borrow();
        let age = status.freshness.age(now);
        status.is_leader && age.is_some_and(|age| age < self.setup.leader_lease)
    }

    fn follow_rollouts(&mut self, now: Millis) {
        let machine = self.setup.machine.borrow();
        let rollouts = &machine.rollouts;
        self.clocks.follow(rollouts, now);
        let evidence = self.setup.evidence.borrow();
        let log = self.leadership.is_some().then_some(&self.setup.log);
        let clocks = &self.clocks;
        self.recorder.follow(
            rollouts,
            log,
            |number| evidence.sum(number),
            |number| clocks.elapsed(number, now).unwrap_or_default(),
        );
    }

    /// Commits how much time has passed since the orders.
    fn tell_elapsed(&mut self, now: Millis) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let told_at = leadership.elapsed_told_at;
        if told_at.is_some_and(|at| now.saturating_sub(at) < ELAPSED_EVERY) {
            return;
        }
        leadership.elapsed_told_at = Some(now);
        let machine = self.setup.machine.borrow();
        for rollout in machine.rollouts.all().filter(|one| needs_elapsed_time(one)) {
            let number = rollout.number;
            let elapsed_ms = self.clocks.elapsed(number, now).unwrap_or_default();
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
        if now < leadership.decides_from {
            return;
        }
        let in_progress: Vec<Rollout> = {
            let machine = self.setup.machine.borrow();
            let rollouts = machine.rollouts.all();
            rollouts
                .filter(|one| one.is_in_progress())
                .cloned()
                .collect()
        };
        let is_current = |number: &RolloutNumber| {
            let mut numbers = in_progress.iter().map(|rollout| rollout.number);
            numbers.any(|one| one == *number)
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
        let (evidence, is_in_force) = {
            let table = self.setup.evidence.borrow();
            (table.sum(number), table.is_in_force(number, directive.step))
        };
        count_answers(&self.setup.metrics, &rollout.order.service, &evidence);
        let elapsed_ms = self.clocks.elapsed(number, now).unwrap_or_default();
        let (progress, only_version) = {
            let state = self.setup.state.borrow();
            let listing = state.listing.as_deref();
            let progress = progress_of(&rollout.order, listing, is_in_force);
            let verdict = verdict_without_baseline(&state, directive, &progress, now, elapsed_ms);
            (progress, verdict)
        };
        let limits = self.setup.limits;
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        if leadership.committing.contains(&number) {
            return;
        }
        let controller = leadership
            .controllers
            .entry(number)
            .or_insert_with(|| RolloutController::new(rollout, limits));
        let decision = match only_version {
            Some(verdict) => Some(RolloutDecision::Complete {
                former_versions: BTreeSet::new(),
                verdict,
            }),
            None => controller.decide(&evidence, &progress, elapsed_ms),
        };
        if let Some(decision) = decision {
            leadership.committing.insert(number);
            let term = leadership.term;
            let command = ControlCommand::Rollout(command_of(number, decision, elapsed_ms));
            let ret = ret_some_to!([cx], committed(term, number) as (ProposalOutcome));
            let proposer = &self.setup.proposer;
            call!(
                [proposer],
                propose_locally(command.encode(), DECISION_TIMEOUT, ret)
            );
        }
    }

    /// A decision is committed, or not: then the controller begins anew from what is.
    fn committed(&mut self, _: CX![], term: u64, number: RolloutNumber, outcome: ProposalOutcome) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        if leadership.term != term {
            return;
        }
        leadership.committing.remove(&number);
        let reply = match outcome {
            ProposalOutcome::Applied(bytes) => postcard::from_bytes(&bytes).ok(),
            ProposalOutcome::Unavailable => None,
        };
        if reply != Some(RolloutReply::Changed) {
            leadership.controllers.remove(&number);
            log::info!(event = "rollout_decision_lost", rollout = number; "a decision was not committed and is made anew");
        }
    }
}

fn command_of(number: RolloutNumber, decision: RolloutDecision, elapsed_ms: u64) -> RolloutCommand {
    let end = |state| RolloutCommand::End {
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
        } => end(RolloutState::Completed {
            former_versions,
            verdict,
        }),
        RolloutDecision::RollBack(verdict) => end(RolloutState::RolledBack { verdict }),
    }
}
