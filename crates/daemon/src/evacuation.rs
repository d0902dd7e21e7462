//! Operators' orders to begin or end the evacuation of a zone: checked, proposed to the
//! control group, and answered once committed.

use crate::replica::{ProposalOutcome, ProposerActor};
use crate::session::SharedNodeState;
use silversail_control::{ControlCommand, EvacuationOrder, EvacuationReply, EvacuationRevision};
use silversail_decisions::{DecisionLog, Event as LogEvent};
use silversail_model::identifiers::is_valid_name;
use silversail_model::{ResultCode, Topology};
use stakker::{call, ret_some_to, Actor, CX};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Longest wait for an order to be committed: as for a traffic configuration.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(3_500);
/// How long after its arrival an order that turned out to be based on an old revision is
/// proposed again. Operators give up on a node after a second and send the order to another;
/// what they order next must not be undone by the earlier copy here.
const PROPOSED_AGAIN_WITHIN: Duration = Duration::from_millis(1_000);

/// An operator's order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationRequest {
    /// The zone.
    pub zone: String,
    /// Whether it is evacuated from now on.
    pub evacuated: bool,
}

/// Whoever waits for the answer to an order.
pub trait EvacuationCaller {
    /// Whether an answer still reaches somebody.
    fn is_waiting(&self) -> bool;

    /// Gives the answer: the revision that says what was ordered, or why there is none.
    fn answer(self: Box<Self>, result: Result<EvacuationRevision, ResultCode>);
}

/// What the actor is made of.
pub struct EvacuationSetup {
    /// The zones that may be evacuated; any where none is named.
    pub topology: Arc<Topology>,
    /// What the node has in force.
    pub state: SharedNodeState,
    /// Proposes to the control group.
    pub proposer: Actor<ProposerActor>,
    /// Decisions.
    pub log: DecisionLog,
}

/// An order that is proposed.
pub(crate) struct Pending {
    order: EvacuationRequest,
    caller: Box<dyn EvacuationCaller>,
    arrived_at: Instant,
}

/// Takes operators' orders.
pub struct EvacuationActor {
    setup: EvacuationSetup,
}

impl EvacuationActor {
    /// Starts without orders.
    pub fn init(_: CX![], setup: EvacuationSetup) -> Option<Self> {
        Some(Self { setup })
    }

    /// Takes an order and answers it once it is committed.
    pub fn order(
        &mut self,
        cx: CX![],
        order: EvacuationRequest,
        caller: Box<dyn EvacuationCaller>,
    ) {
        if let Err(code) = self.check(&order.zone) {
            self.record(&order, code.reason());
            caller.answer(Err(code));
            return;
        }
        let arrived_at = cx.now();
        let seen = self.setup.state.borrow().evacuations_revision();
        let pending = Pending {
            order,
            caller,
            arrived_at,
        };
        self.propose(cx, pending, seen.unwrap_or_default());
    }

    fn check(&self, zone: &str) -> Result<(), ResultCode> {
        if !is_valid_name(zone) {
            return Err(ResultCode::InvalidName);
        }
        let zones = self.setup.topology.region_by_zone();
        match zones.is_empty() || zones.contains_key(zone) {
            true => Ok(()),
            false => Err(ResultCode::UnknownZone),
        }
    }

    fn propose(&mut self, cx: CX![], pending: Pending, seen: EvacuationRevision) {
        let order = EvacuationOrder {
            zone: pending.order.zone.clone(),
            evacuated: pending.order.evacuated,
            known_revision: seen,
        };
        let command = ControlCommand::Evacuate(order).encode();
        let ret = ret_some_to!([cx], proposed(pending) as (ProposalOutcome));
        call!([self.setup.proposer], propose(command, COMMIT_TIMEOUT, ret));
    }

    fn proposed(&mut self, cx: CX![], pending: Pending, outcome: ProposalOutcome) {
        let reply = match outcome {
            ProposalOutcome::Applied(bytes) => postcard::from_bytes(&bytes).ok(),
            ProposalOutcome::Unavailable => None,
        };
        let result = match reply {
            Some(EvacuationReply::InForce { revision }) => Ok(revision),
            Some(EvacuationReply::Outdated { revision })
                if self.may_propose_again(cx, &pending) =>
            {
                self.propose(cx, pending, revision);
                return;
            }
            Some(EvacuationReply::Outdated { .. }) | None => Err(ResultCode::NoLeader),
        };
        let outcome = match &result {
            Ok(_) => "committed",
            Err(code) => code.reason(),
        };
        self.record(&pending.order, outcome);
        pending.caller.answer(result);
    }

    fn may_propose_again(&self, cx: CX![], pending: &Pending) -> bool {
        let waited = cx.now().saturating_duration_since(pending.arrived_at);
        waited < PROPOSED_AGAIN_WITHIN && pending.caller.is_waiting()
    }

    fn record(&self, order: &EvacuationRequest, outcome: &str) {
        let held = self.setup.state.borrow().evacuations_revision();
        self.setup.log.record(LogEvent::EvacuationOrdered {
            zone: order.zone.clone(),
            evacuated: order.evacuated,
            revision: held.unwrap_or_default(),
            outcome: outcome.to_owned(),
        });
    }
}
