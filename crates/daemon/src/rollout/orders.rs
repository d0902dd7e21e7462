//! Operators' orders to begin a rollout or to take one back: checked, proposed to the control
//! group, and answered once committed.

use super::recording::{count_rollouts, state_name};
use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::replica::{ProposalOutcome, ProposerActor};
use crate::session::{SharedNodeState, ROLLOUT_PERMIT};
use silversail_control::{ControlCommand, RolloutCommand, RolloutReply, RolloutsRevision};
use silversail_decisions::{DecisionLog, Event as LogEvent};
use silversail_model::ResultCode;
use silversail_rollout::{RolloutNumber, RolloutOrder, RolloutOrderError, RolloutState, Verdict};
use stakker::{call, ret_some_to, Actor, CX};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Longest wait for an order to be committed: as for a traffic configuration.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(3_500);
/// How long after its arrival an order that turned out to be based on an old number is proposed
/// again: operators give up on a node after a second and send the order to another.
const PROPOSED_AGAIN_WITHIN: Duration = Duration::from_millis(1_000);
/// Longest name of a service or a version, in bytes.
const LONGEST_NAME: usize = 128;
/// Longest duration of a rollout, in milliseconds: a day.
const LONGEST_DURATION_MS: u64 = 86_400_000;
/// Reason of the verdict where an operator takes a rollout back.
const ABORTED: &str = "aborted";

/// Why an order is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{} {}: {problem}", code.number(), code.reason())]
pub struct RolloutRejection {
    /// Numbered code.
    pub code: ResultCode,
    /// In words.
    pub problem: String,
}

impl RolloutRejection {
    fn new(code: ResultCode, problem: impl Into<String>) -> Self {
        let problem = problem.into();
        Self { code, problem }
    }

    fn no_leader() -> Self {
        Self::new(
            ResultCode::NoLeader,
            "no leader answered; send the order again",
        )
    }
}

impl From<RolloutOrderError> for RolloutRejection {
    fn from(error: RolloutOrderError) -> Self {
        let code = match &error {
            RolloutOrderError::Underway { .. } => ResultCode::RolloutUnderway,
            RolloutOrderError::UnknownService(_) => ResultCode::UnknownService,
            RolloutOrderError::Duration => ResultCode::InvalidDuration,
            RolloutOrderError::Name => ResultCode::InvalidName,
        };
        Self::new(code, error.to_string())
    }
}

/// What an order came to: the number of the rollout that is as ordered.
pub type RolloutOutcome = Result<RolloutNumber, RolloutRejection>;

/// Whoever waits for the answer to an order.
pub trait RolloutCaller {
    /// Whether an answer still reaches somebody.
    fn is_waiting(&self) -> bool;

    /// Gives the answer.
    fn answer(self: Box<Self>, outcome: RolloutOutcome);
}

/// What the actor is made of.
pub struct RolloutSetup {
    /// What the node has in force.
    pub state: SharedNodeState,
    /// Proposes to the control group.
    pub proposer: Actor<ProposerActor>,
    /// Decisions.
    pub log: DecisionLog,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// Time.
    pub clock: Clock,
}

/// An order that is proposed.
pub(crate) struct Pending {
    order: RolloutOrder,
    seen: RolloutNumber,
    caller: Box<dyn RolloutCaller>,
    arrived_at: Instant,
}

/// Takes operators' orders, and tells which rollouts are in force on this node.
pub struct RolloutActor {
    setup: RolloutSetup,
    told_revision: Option<RolloutsRevision>,
}

impl RolloutActor {
    /// Starts without orders.
    pub fn init(_: CX![], setup: RolloutSetup) -> Option<Self> {
        Some(Self {
            setup,
            told_revision: None,
        })
    }

    /// Configuration, rollouts or the view changed.
    pub fn node_state_changed(&mut self, _: CX![]) {
        let state = self.setup.state.borrow();
        let Some(rollouts) = &state.rollouts else {
            return;
        };
        if self.told_revision == Some(rollouts.revision()) {
            return;
        }
        self.told_revision = Some(rollouts.revision());
        count_rollouts(&self.setup.metrics, rollouts);
        let told = rollouts.all().map(|rollout| {
            let order = &rollout.order;
            let state = state_name(&rollout.state);
            format!("{}={state}:{}", order.service, order.target_version)
        });
        self.setup.log.record(LogEvent::RolloutsInForce {
            revision: rollouts.revision(),
            rollouts: told.collect(),
        });
    }

    /// Takes an order and answers it once it is committed.
    pub fn begin(&mut self, cx: CX![], order: RolloutOrder, caller: Box<dyn RolloutCaller>) {
        let seen = self.seen(&order.service);
        if let Err(refused) = self.check(cx.now(), &order) {
            self.record(&order, seen, refused.code.reason());
            caller.answer(Err(refused));
            return;
        }
        let arrived_at = cx.now();
        let pending = Pending {
            order,
            seen,
            caller,
            arrived_at,
        };
        self.propose(cx, pending);
    }

    /// Number of a service's latest rollout that this node knows; 0 for none.
    fn seen(&self, service: &str) -> RolloutNumber {
        let state = self.setup.state.borrow();
        let rollouts = state.rollouts.as_ref();
        let latest = rollouts.and_then(|rollouts| rollouts.latest_of_service(service));
        latest.map_or(0, |rollout| rollout.number)
    }

    fn check(&self, now: Instant, order: &RolloutOrder) -> Result<(), RolloutRejection> {
        check_order(order)?;
        let state = self.setup.state.borrow();
        let Some(traffic) = &state.traffic else {
            let problem = "this node holds no traffic configuration yet";
            return Err(RolloutRejection::new(
                ResultCode::NoTrafficConfiguration,
                problem,
            ));
        };
        let mut services = traffic.traffic.services.iter();
        if services.any(|service| service.name == order.service) {
            return Ok(());
        }
        // The service may stand in a configuration that has not come here yet.
        match state.is_current(self.setup.clock.millis(now), ROLLOUT_PERMIT) {
            true => Err(RolloutOrderError::UnknownService(order.service.clone()).into()),
            false => Err(not_current()),
        }
    }

    fn propose(&mut self, cx: CX![], pending: Pending) {
        let command = RolloutCommand::Begin {
            order: pending.order.clone(),
            known_number: pending.seen,
        };
        let command = ControlCommand::Rollout(command).encode();
        let ret = ret_some_to!([cx], proposed(pending) as (ProposalOutcome));
        call!([self.setup.proposer], propose(command, COMMIT_TIMEOUT, ret));
    }

    fn proposed(&mut self, cx: CX![], mut pending: Pending, outcome: ProposalOutcome) {
        let outcome = match reply_of(outcome) {
            Some(RolloutReply::InForce { number }) => Ok(number),
            Some(RolloutReply::Refused(error)) => Err(error.into()),
            Some(RolloutReply::Outdated { number }) if may_propose_again(cx.now(), &pending) => {
                pending.seen = number;
                self.propose(cx, pending);
                return;
            }
            _ => Err(RolloutRejection::no_leader()),
        };
        self.record(&pending.order, pending.seen, outcome_name(&outcome));
        pending.caller.answer(outcome);
    }

    /// Takes the rollout of a service back, and answers once that is committed. One that was
    /// rolled back already is acknowledged.
    pub fn abort(&mut self, cx: CX![], service: String, caller: Box<dyn RolloutCaller>) {
        let latest = {
            let state = self.setup.state.borrow();
            let rollouts = state.rollouts.as_ref();
            rollouts.and_then(|rollouts| rollouts.latest_of_service(&service).cloned())
        };
        let Some(latest) = latest else {
            let problem = format!("service '{service}' never had a rollout");
            caller.answer(Err(RolloutRejection::new(ResultCode::NoRollout, problem)));
            return;
        };
        let number = latest.number;
        let verdict = Verdict {
            reason: ABORTED.to_owned(),
            route: String::new(),
            candidate: (0, 0),
            baseline: (0, 0),
            elapsed_ms: latest.elapsed_ms,
        };
        let command = RolloutCommand::End {
            number,
            state: RolloutState::RolledBack { verdict },
            elapsed_ms: latest.elapsed_ms,
        };
        let command = ControlCommand::Rollout(command).encode();
        let ret = ret_some_to!([cx], aborted(service, number, caller) as (ProposalOutcome));
        call!([self.setup.proposer], propose(command, COMMIT_TIMEOUT, ret));
    }

    fn aborted(
        &mut self,
        _: CX![],
        service: String,
        number: RolloutNumber,
        caller: Box<dyn RolloutCaller>,
        outcome: ProposalOutcome,
    ) {
        let outcome = match reply_of(outcome) {
            Some(RolloutReply::Changed | RolloutReply::InForce { .. }) => Ok(number),
            Some(_) => Err(RolloutRejection::new(
                ResultCode::RolloutEnded,
                "the rollout is complete, or another one has followed it",
            )),
            None => Err(RolloutRejection::no_leader()),
        };
        let order = RolloutOrder {
            service,
            target_version: String::new(),
            duration_ms: 0,
        };
        self.record(&order, number, outcome_name(&outcome));
        caller.answer(outcome);
    }

    fn record(&self, order: &RolloutOrder, seen: RolloutNumber, outcome: &str) {
        self.setup.log.record(LogEvent::RolloutOrdered {
            service: order.service.clone(),
            target_version: order.target_version.clone(),
            duration_ms: order.duration_ms,
            seen,
            outcome: outcome.to_owned(),
        });
    }
}

fn check_order(order: &RolloutOrder) -> Result<(), RolloutOrderError> {
    let is_name = |name: &str| (1..=LONGEST_NAME).contains(&name.len());
    if !is_name(&order.service) || !is_name(&order.target_version) {
        return Err(RolloutOrderError::Name);
    }
    if !(1..=LONGEST_DURATION_MS).contains(&order.duration_ms) {
        return Err(RolloutOrderError::Duration);
    }
    Ok(())
}

fn not_current() -> RolloutRejection {
    let problem = "this node can't confirm that what it holds is current";
    RolloutRejection::new(ResultCode::NotCurrent, problem)
}

fn reply_of(outcome: ProposalOutcome) -> Option<RolloutReply> {
    match outcome {
        ProposalOutcome::Applied(bytes) => postcard::from_bytes(&bytes).ok(),
        ProposalOutcome::Unavailable => None,
    }
}

fn may_propose_again(now: Instant, pending: &Pending) -> bool {
    let waited = now.saturating_duration_since(pending.arrived_at);
    waited < PROPOSED_AGAIN_WITHIN && pending.caller.is_waiting()
}

fn outcome_name(outcome: &RolloutOutcome) -> &'static str {
    match outcome {
        Ok(_) => "committed",
        Err(refused) => refused.code.reason(),
    }
}
