//! Handles operators' requests to begin or end the evacuation of a zone: validates them, proposes
//! them to the control group, and answers once they are committed.

use crate::replica::{ProposalOutcome, ProposerActor};
use crate::session::SharedNodeState;
use silversail_control::{ControlCommand, EvacuationOrder, EvacuationReply, EvacuationRevision};
use silversail_decisions::{DecisionLog, Event as LogEvent};
use silversail_model::identifiers::is_valid_name;
use silversail_model::{ResultCode, Topology};
use stakker::{call, ret_some_to, Actor, CX};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Longest wait for a request to be committed.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Time after its arrival up to which a request that was based on an old revision is proposed
/// again. Operators resend to another node after a second; a late copy here must not undo
/// their later requests.
const MAX_RETRY_AGE: Duration = Duration::from_millis(1_000);

/// An operator's request to begin or end the evacuation of a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationRequest {
    /// Name of the zone.
    pub zone: String,
    /// True to begin the evacuation, false to end it.
    pub evacuated: bool,
}

/// The client that waits for the answer to a request.
pub trait EvacuationCaller {
    /// Whether the client still waits for an answer.
    fn is_waiting(&self) -> bool;

    /// Answers with the revision that contains the requested state, or with the reason of the
    /// rejection.
    fn answer(self: Box<Self>, result: Result<EvacuationRevision, ResultCode>);
}

/// Dependencies of an [`EvacuationActor`].
pub struct EvacuationSetup {
    /// Zones that may be evacuated; any zone if the topology names none.
    pub topology: Arc<Topology>,
    /// Holds the evacuations that the node applies.
    pub state: SharedNodeState,
    /// Proposes commands to the control group.
    pub proposer: Actor<ProposerActor>,
    /// Records each request with its outcome.
    pub log: DecisionLog,
}

/// A request that has been proposed.
pub(crate) struct PendingRequest {
    request: EvacuationRequest,
    caller: Box<dyn EvacuationCaller>,
    arrived_at: Instant,
}

/// Handles operators' evacuation requests on one node.
pub struct EvacuationActor {
    setup: EvacuationSetup,
}

impl EvacuationActor {
    /// Starts without pending requests.
    pub fn init(_: CX![], setup: EvacuationSetup) -> Option<Self> {
        Some(Self { setup })
    }

    /// Proposes a request and answers it once it is committed.
    pub fn submit(
        &mut self,
        cx: CX![],
        request: EvacuationRequest,
        caller: Box<dyn EvacuationCaller>,
    ) {
        if let Err(code) = self.validate_zone(&request.zone) {
            self.record_outcome(&request, code.reason());
            caller.answer(Err(code));
            return;
        }
        let arrived_at = cx.now();
        let known_revision = self.setup.state.borrow().evacuations_revision();
        let pending = PendingRequest {
            request,
            caller,
            arrived_at,
        };
        self.propose(cx, pending, known_revision.unwrap_or_default());
    }

    fn validate_zone(&self, zone: &str) -> Result<(), ResultCode> {
        if !is_valid_name(zone) {
            return Err(ResultCode::InvalidName);
        }
        let zones = self.setup.topology.region_by_zone();
        match zones.is_empty() || zones.contains_key(zone) {
            true => Ok(()),
            false => Err(ResultCode::UnknownZone),
        }
    }

    fn propose(&mut self, cx: CX![], pending: PendingRequest, known_revision: EvacuationRevision) {
        let order = EvacuationOrder {
            zone: pending.request.zone.clone(),
            evacuated: pending.request.evacuated,
            known_revision,
        };
        let command = ControlCommand::Evacuate(order).encode();
        let ret = ret_some_to!([cx], handle_proposal_outcome(pending) as (ProposalOutcome));
        call!([self.setup.proposer], propose(command, COMMIT_TIMEOUT, ret));
    }

    fn handle_proposal_outcome(
        &mut self,
        cx: CX![],
        pending: PendingRequest,
        outcome: ProposalOutcome,
    ) {
        let reply = match outcome {
            ProposalOutcome::Applied(bytes) => postcard::from_bytes(&bytes).ok(),
            ProposalOutcome::Unavailable => None,
        };
        let result = match reply {
            Some(EvacuationReply::InForce { revision }) => Ok(revision),
            Some(EvacuationReply::Outdated { revision }) if self.may_retry(cx, &pending) => {
                self.propose(cx, pending, revision);
                return;
            }
            Some(EvacuationReply::Outdated { .. }) | None => Err(ResultCode::NoLeader),
        };
        let outcome = match &result {
            Ok(_) => "committed",
            Err(code) => code.reason(),
        };
        self.record_outcome(&pending.request, outcome);
        pending.caller.answer(result);
    }

    fn may_retry(&self, cx: CX![], pending: &PendingRequest) -> bool {
        let age = cx.now().saturating_duration_since(pending.arrived_at);
        age < MAX_RETRY_AGE && pending.caller.is_waiting()
    }

    fn record_outcome(&self, request: &EvacuationRequest, outcome: &str) {
        let revision = self.setup.state.borrow().evacuations_revision();
        self.setup.log.record(LogEvent::EvacuationOrdered {
            zone: request.zone.clone(),
            evacuated: request.evacuated,
            revision: revision.unwrap_or_default(),
            outcome: outcome.to_owned(),
        });
    }
}
