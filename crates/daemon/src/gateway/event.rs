//! What the gateway's tasks tell its actor, and what they are told.

use crate::evacuation::EvacuationRequest;
use crate::gateway::entry_points::EntryCaller;
use crate::rollout::RolloutOutcome;
use silversail_control::{EvacuationRevision, PublishReply, PublishedTraffic};
use silversail_model::ResultCode;
use silversail_peer::ResultHandle;
use silversail_serving::batcher::{CallId, CallOutcome};
use silversail_serving::crashes::ProbeResult;
use silversail_serving::dispatcher::{Refusal, RequestNumber, SendOutcome, SendPlan};
use silversail_serving::ports::{
    BackendListEntry, CallAttributes, ReportedLoad, Rollout, RolloutOrder,
};
use std::collections::BTreeMap;
use tokio::sync::{mpsc, oneshot};

/// What a request's task is to do.
#[derive(Debug)]
pub enum Decision {
    /// Answer the caller and end.
    Answer(Refusal),
    /// Send the request, and tell what came of it.
    Send(Box<SendPlan>),
}

/// A whole read of the list of back ends.
#[derive(Debug)]
pub struct ListRead {
    /// All entries, each back end once.
    pub entries: Vec<BackendListEntry>,
    /// Entries that name no back end, by why.
    pub malformed: BTreeMap<String, usize>,
    /// Calls that the read took.
    pub calls: usize,
}

/// What the gateway's tasks tell.
pub enum GatewayEvent {
    /// A request arrived.
    Arrived {
        /// Its number.
        number: RequestNumber,
        /// What routing needs to know.
        call: Box<CallAttributes>,
        /// Where decisions go.
        decisions: mpsc::UnboundedSender<Decision>,
    },
    /// The head of an answer came.
    HeadReceived {
        /// The request.
        number: RequestNumber,
        /// Load that the engine told.
        load: Option<ReportedLoad>,
    },
    /// A send ended.
    SendEnded {
        /// The request.
        number: RequestNumber,
        /// What came of it.
        outcome: SendOutcome,
        /// Load that the engine told.
        load: Option<ReportedLoad>,
    },
    /// The caller of a request left.
    CallerGone {
        /// The request.
        number: RequestNumber,
    },
    /// A batch call ended.
    BatchEnded {
        /// The call.
        call: CallId,
        /// What came of it.
        outcome: CallOutcome,
    },
    /// A back end at which connections broke off was tried anew.
    Probed {
        /// The back end.
        instance: String,
        /// What came of it.
        answer: ProbeResult,
    },
    /// Makers freed results.
    ResultsFreed {
        /// The results.
        handles: Vec<ResultHandle>,
    },
    /// The whole list of back ends was read.
    Listed(ListRead),
    /// The list of back ends could not be read.
    ListFailed(String),
    /// A question of the operator, the platform or a caller.
    Surface {
        /// The question.
        request: SurfaceRequest,
        /// Where the answer goes.
        reply: oneshot::Sender<SurfaceReply>,
    },
}

/// Questions of the operator, the platform and callers.
pub enum SurfaceRequest {
    /// Publish a traffic configuration.
    Publish(Box<PublishedTraffic>),
    /// Begin or end the evacuation of a zone.
    Evacuate(EvacuationRequest),
    /// Begin a rollout.
    BeginRollout(RolloutOrder),
    /// Tell the latest rollout of a service.
    ReadRollout {
        /// The service.
        service: String,
    },
    /// Read the traffic configuration.
    ReadTraffic,
    /// Whether this process is ready.
    Readiness,
    /// Which addresses to use.
    EntryPoints(EntryCaller),
}

/// Answers to [`SurfaceRequest`].
#[derive(Debug)]
pub enum SurfaceReply {
    /// The publication is committed.
    Published(PublishReply),
    /// The order on a zone is committed, as this revision.
    ZoneOrdered(EvacuationRevision),
    /// The rollout of this number is as ordered, or the order is refused.
    RolloutOrdered(RolloutOutcome),
    /// The latest rollout of a service.
    Rollout(Box<Rollout>),
    /// The question is refused.
    Refused(ResultCode),
    /// The configuration is not valid here, and why.
    Invalid(String),
    /// The document in force.
    Traffic(Vec<u8>),
    /// Ready.
    Ready,
    /// The addresses to use.
    EntryPoints(Vec<String>),
    /// No answer can be given now.
    Unavailable(ResultCode),
}
