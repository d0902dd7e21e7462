//! Messages between the gateway's tasks and its actor.

use crate::evacuation::EvacuationRequest;
use crate::gateway::call_types::CalledBackend;
use crate::gateway::entry_points::EntryPointLookup;
use crate::rollout::RolloutOutcome;
use silversail_control::{EvacuationRevision, PublishReply, PublishedTraffic};
use silversail_model::ResultCode;
use silversail_peer::ResultHandle;
use silversail_serving::batcher::{CallId, CallOutcome};
use silversail_serving::crashes::ProbeResult;
use silversail_serving::dispatcher::{Refusal, RequestNumber, SendOutcome, SendPlan};
use silversail_serving::forwarding::ForwardPlan;
use silversail_serving::ports::{
    BackendListEntry, CallAttributes, ReportedLoad, Rollout, RolloutOrder,
};
use std::collections::BTreeMap;
use tokio::sync::{mpsc, oneshot};

/// Instruction to the task of a request.
#[derive(Debug)]
pub enum Decision {
    /// Send this refusal to the caller and end.
    Answer(Refusal),
    /// Send the request to a back end and report the outcome.
    Send(Box<SendPlan>),
    /// Forward the request to a peer node and report the outcome.
    Forward(Box<ForwardPlan>),
}

/// A complete read of the backend list.
#[derive(Debug)]
pub struct ListRead {
    /// All valid entries, one per back end.
    pub entries: Vec<BackendListEntry>,
    /// Number of malformed entries, by reason.
    pub malformed: BTreeMap<String, usize>,
    /// Number of calls that the read took.
    pub calls: usize,
}

/// Events from the gateway's tasks.
pub enum GatewayEvent {
    /// A request arrived.
    RequestArrived {
        /// Number of the request in this process.
        number: RequestNumber,
        /// Attributes used for routing.
        call: Box<CallAttributes>,
        /// Channel for the actor's decisions.
        decisions: mpsc::UnboundedSender<Decision>,
    },
    /// The head of an answer was received.
    HeadReceived {
        /// Number of the request.
        number: RequestNumber,
        /// Load that the back end reported.
        load: Option<ReportedLoad>,
    },
    /// A send ended.
    SendEnded {
        /// Number of the request.
        number: RequestNumber,
        /// Whether and how the send was answered.
        outcome: SendOutcome,
        /// Load that the back end reported.
        load: Option<ReportedLoad>,
    },
    /// The caller of a request disconnected.
    CallerDisconnected {
        /// Number of the request.
        number: RequestNumber,
    },
    /// A batch call ended.
    BatchEnded {
        /// Identifier of the call.
        call: CallId,
        /// Whether and how the call was answered.
        outcome: CallOutcome,
    },
    /// A back end was probed after lost connections.
    ProbeFinished {
        /// Identifier of the back end.
        instance: String,
        /// Whether it accepted the connection.
        result: ProbeResult,
    },
    /// Back ends freed results.
    ResultsFreed {
        /// Handles of the freed results.
        handles: Vec<ResultHandle>,
    },
    /// Another back end answered at a back end's address.
    AddressMismatch {
        /// Back end that was called.
        called: CalledBackend,
    },
    /// The backend list was read completely.
    BackendListRead(ListRead),
    /// The backend list could not be read; carries the reason.
    BackendListFailed(String),
    /// A request on the surface for operators, the platform and callers.
    SurfaceRequested {
        /// What is requested.
        request: SurfaceRequest,
        /// Channel for the reply.
        reply: oneshot::Sender<SurfaceReply>,
    },
}

/// Requests from operators, the platform and callers.
pub enum SurfaceRequest {
    /// Publish a traffic configuration.
    Publish(Box<PublishedTraffic>),
    /// Begin or end the evacuation of a zone.
    Evacuate(EvacuationRequest),
    /// Begin a rollout.
    BeginRollout(RolloutOrder),
    /// Read the latest rollout of a service.
    ReadRollout {
        /// Name of the service.
        service: String,
    },
    /// Read the applied traffic configuration.
    ReadTraffic,
    /// Check whether this process is ready.
    Readiness,
    /// Look up the addresses that a caller should connect to.
    EntryPoints(EntryPointLookup),
}

/// Replies to a [`SurfaceRequest`].
#[derive(Debug)]
pub enum SurfaceReply {
    /// The configuration is committed.
    Published(PublishReply),
    /// The evacuation is committed under this revision.
    ZoneOrdered(EvacuationRevision),
    /// Number of the committed rollout, or the reason for its rejection.
    RolloutOrdered(RolloutOutcome),
    /// Latest rollout of the service.
    Rollout(Box<Rollout>),
    /// The request is rejected with this code.
    Refused(ResultCode),
    /// The configuration is not valid for this cluster; carries the reason.
    Invalid(String),
    /// Document of the applied configuration.
    Traffic(Vec<u8>),
    /// The process is ready.
    Ready,
    /// Addresses that the caller should connect to.
    EntryPoints(Vec<String>),
    /// The request cannot be answered at present.
    Unavailable(ResultCode),
}
