//! Handles operators' orders to begin or abort a rollout: validates them, proposes them to the
//! control group, and answers once they are committed.

use super::recording::{set_rollout_gauges, state_name};
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

/// Longest wait for an order to be committed.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Time after its arrival up to which an order that was based on an old rollout number is proposed
/// again. Operators resend to another node after a second.
const MAX_RETRY_AGE: Duration = Duration::from_millis(1_000);
/// Maximum length of the name of a service or a version, in bytes.
const MAX_NAME_BYTES: usize = 128;
/// Maximum duration of a rollout, in milliseconds: one day.
const MAX_DURATION_MS: u64 = 86_400_000;
/// Reason of the verdict on a rollout that an operator aborted.
const ABORTED_REASON: &str = "aborted";

/// Why an order is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{} {}: {problem}", code.number(), code.reason())]
pub struct RolloutRejection {
    /// Numbered result code.
    pub code: ResultCode,
    /// Explanation for the operator.
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
            "the control group's leader did not answer in time; send the order again",
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

/// Outcome of an order: the number of the rollout that matches it, or the rejection.
pub type RolloutOutcome = Result<RolloutNumber, RolloutRejection>;

/// The client that waits for the answer to an order.
pub trait RolloutCaller {
    /// Whether the client still waits for an answer.
    fn is_waiting(&self) -> bool;

    /// Answers the client with the outcome.
    fn answer(self: Box<Self>, outcome: RolloutOutcome);
}

/// Dependencies of a [`RolloutActor`].
pub struct RolloutSetup {
    /// Holds the rollouts and the traffic configuration that the node applies.
    pub state: SharedNodeState,
    /// Proposes commands to the control group.
    pub proposer: Actor<ProposerActor>,
    /// Records each order with its outcome, and the rollouts in force.
    pub log: DecisionLog,
    /// Exposes the state of each rollout.
    pub metrics: Arc<Metrics>,
    /// Clock of the process.
    pub clock: Clock,
}

/// An order that has been proposed.
pub(crate) struct PendingOrder {
    order: RolloutOrder,
    known_number: RolloutNumber,
    caller: Box<dyn RolloutCaller>,
    arrived_at: Instant,
}

/// Handles operators' orders, and publishes which rollouts are in force on this node.
pub struct RolloutActor {
    setup: RolloutSetup,
    published_revision: Option<RolloutsRevision>,
}

impl RolloutActor {
    /// Starts without pending orders.
    pub fn init(_: CX![], setup: RolloutSetup) -> Option<Self> {
        Some(Self {
            setup,
            published_revision: None,
        })
    }

    /// Logs and counts the rollouts in force, if they changed.
    pub fn node_state_changed(&mut self, _: CX![]) {
        let state = self.setup.state.borrow();
        let Some(rollouts) = &state.rollouts else {
            return;
        };
        if self.published_revision == Some(rollouts.revision()) {
            return;
        }
        self.published_revision = Some(rollouts.revision());
        set_rollout_gauges(&self.setup.metrics, rollouts);
        let descriptions = rollouts.all().map(|rollout| {
            let order = &rollout.order;
            let state = state_name(&rollout.state);
            format!("{}={state}:{}", order.service, order.target_version)
        });
        self.setup.log.record(LogEvent::RolloutsInForce {
            revision: rollouts.revision(),
            rollouts: descriptions.collect(),
        });
    }

    /// Proposes an order to begin a rollout, and answers it once it is committed.
    pub fn begin(&mut self, cx: CX![], order: RolloutOrder, caller: Box<dyn RolloutCaller>) {
        let known_number = self.known_number(&order.service);
        if let Err(rejection) = self.validate_order(cx.now(), &order) {
            self.record_outcome(&order, known_number, rejection.code.reason());
            caller.answer(Err(rejection));
            return;
        }
        let arrived_at = cx.now();
        let pending = PendingOrder {
            order,
            known_number,
            caller,
            arrived_at,
        };
        self.propose(cx, pending);
    }

    /// Number of the service's latest rollout known to this node; 0 if there is none.
    fn known_number(&self, service: &str) -> RolloutNumber {
        let state = self.setup.state.borrow();
        let rollouts = state.rollouts.as_ref();
        let latest = rollouts.and_then(|rollouts| rollouts.latest_of_service(service));
        latest.map_or(0, |rollout| rollout.number)
    }

    fn validate_order(&self, now: Instant, order: &RolloutOrder) -> Result<(), RolloutRejection> {
        validate_names_and_duration(order)?;
        let state = self.setup.state.borrow();
        let Some(traffic) = &state.traffic else {
            let problem = "this node has not received a traffic configuration yet";
            return Err(RolloutRejection::new(
                ResultCode::NoTrafficConfiguration,
                problem,
            ));
        };
        let mut services = traffic.traffic.services.iter();
        if services.any(|service| service.name == order.service) {
            return Ok(());
        }
        // The service may be part of a configuration that this node has not received yet.
        match state.has_current_configuration(self.setup.clock.millis(now), ROLLOUT_PERMIT) {
            true => Err(RolloutOrderError::UnknownService(order.service.clone()).into()),
            false => Err(not_current_rejection()),
        }
    }

    fn propose(&mut self, cx: CX![], pending: PendingOrder) {
        let command = RolloutCommand::Begin {
            order: pending.order.clone(),
            known_number: pending.known_number,
        };
        let command = ControlCommand::Rollout(command).encode();
        let ret = ret_some_to!([cx], handle_proposal_outcome(pending) as (ProposalOutcome));
        call!([self.setup.proposer], propose(command, COMMIT_TIMEOUT, ret));
    }

    fn handle_proposal_outcome(
        &mut self,
        cx: CX![],
        mut pending: PendingOrder,
        outcome: ProposalOutcome,
    ) {
        let outcome = match decode_reply(outcome) {
            Some(RolloutReply::InForce { number }) => Ok(number),
            Some(RolloutReply::Refused(error)) => Err(error.into()),
            Some(RolloutReply::Outdated { number }) if may_retry(cx.now(), &pending) => {
                pending.known_number = number;
                self.propose(cx, pending);
                return;
            }
            _ => Err(RolloutRejection::no_leader()),
        };
        self.record_outcome(&pending.order, pending.known_number, outcome_name(&outcome));
        pending.caller.answer(outcome);
    }

    /// Rolls back the service's rollout and answers once this is committed. A rollout that is
    /// already rolled back is acknowledged.
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
            reason: ABORTED_REASON.to_owned(),
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
        let ret = ret_some_to!(
            [cx],
            handle_abort_outcome(service, number, caller) as (ProposalOutcome)
        );
        call!([self.setup.proposer], propose(command, COMMIT_TIMEOUT, ret));
    }

    fn handle_abort_outcome(
        &mut self,
        _: CX![],
        service: String,
        number: RolloutNumber,
        caller: Box<dyn RolloutCaller>,
        outcome: ProposalOutcome,
    ) {
        let outcome = match decode_reply(outcome) {
            Some(RolloutReply::Changed | RolloutReply::InForce { .. }) => Ok(number),
            Some(_) => Err(RolloutRejection::new(
                ResultCode::RolloutEnded,
                "the rollout is complete or was superseded by a later one",
            )),
            None => Err(RolloutRejection::no_leader()),
        };
        let order = RolloutOrder {
            service,
            target_version: String::new(),
            duration_ms: 0,
        };
        self.record_outcome(&order, number, outcome_name(&outcome));
        caller.answer(outcome);
    }

    fn record_outcome(&self, order: &RolloutOrder, known_number: RolloutNumber, outcome: &str) {
        self.setup.log.record(LogEvent::RolloutOrdered {
            service: order.service.clone(),
            target_version: order.target_version.clone(),
            duration_ms: order.duration_ms,
            seen: known_number,
            outcome: outcome.to_owned(),
        });
    }
}

fn validate_names_and_duration(order: &RolloutOrder) -> Result<(), RolloutOrderError> {
    let is_valid_length = |name: &str| (1..=MAX_NAME_BYTES).contains(&name.len());
    if !is_valid_length(&order.service) || !is_valid_length(&order.target_version) {
        return Err(RolloutOrderError::Name);
    }
    if !(1..=MAX_DURATION_MS).contains(&order.duration_ms) {
        return Err(RolloutOrderError::Duration);
    }
    Ok(())
}

fn not_current_rejection() -> RolloutRejection {
    let problem = "this node can't confirm that its traffic configuration is current";
    RolloutRejection::new(ResultCode::NotCurrent, problem)
}

fn decode_reply(outcome: ProposalOutcome) -> Option<RolloutReply> {
    match outcome {
        ProposalOutcome::Applied(bytes) => postcard::from_bytes(&bytes).ok(),
        ProposalOutcome::Unavailable => None,
    }
}

fn may_retry(now: Instant, pending: &PendingOrder) -> bool {
    let age = now.saturating_duration_since(pending.arrived_at);
    age < MAX_RETRY_AGE && pending.caller.is_waiting()
}

fn outcome_name(outcome: &RolloutOutcome) -> &'static str {
    match outcome {
        Ok(_) => "committed",
        Err(rejection) => rejection.code.reason(),
    }
}
