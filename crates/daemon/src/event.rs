//! Events that other threads send to the main thread of a process.

use crate::gateway::GatewayEvent;
use crate::requests::active::{CallerRequest, RequestNumber};
use crate::surface::operators::{OperatorReply, OperatorRequest};
use silversail_backend::{CallFailure, EngineLoad, MachineList, StageOutput};
use silversail_control::OrderId;
use silversail_http::Responder;
use silversail_model::BackendName;
use silversail_peer::{Envelope, GroupId};
use silversail_serving::crashes::ProbeResult;
use silversail_storage::StorageError;
use std::sync::mpsc::{Sender, SyncSender};
use std::time::Duration;

/// Sends events to the main thread.
pub type EventSender = Sender<Event>;

/// An event for the main thread.
pub enum Event {
    /// A message from a peer, or from this node to itself.
    PeerMessage(Envelope),
    /// Writes of a group's replica were synced.
    WritesSynced {
        /// Replication group of the replica.
        group: GroupId,
        /// Number of oldest writes that were synced.
        count: usize,
    },
    /// A write to the storage failed; the process has to stop.
    StorageFailed {
        /// Replication group of the replica.
        group: GroupId,
        /// Cause of the failure.
        error: StorageError,
    },
    /// A caller's pipeline request.
    CallerRequest(CallerRequest),
    /// The caller of a request disconnected.
    CallerDisconnected(RequestNumber),
    /// A caller's request for entry points.
    EntryPointsRequest {
        /// Preferred zone.
        zone: Option<String>,
        /// Sends the response.
        responder: Responder,
    },
    /// A stage call ended.
    CallEnded {
        /// Number of the attempt.
        attempt: u64,
        /// Duration of the call.
        service: Duration,
        /// Output of the stage, or the failure.
        result: Result<StageOutput, CallFailure>,
    },
    /// A pipeline's back end that lost connections was probed.
    BackendProbed {
        /// Name of the back end.
        backend: String,
        /// Result of the probe.
        answer: ProbeResult,
    },
    /// A token of a streamed generation.
    Token {
        /// Number of the attempt.
        attempt: u64,
        /// Position of the token in the stream.
        sequence: u64,
        /// Text of the token.
        text: String,
    },
    /// An engine reported its load and its loaded models.
    EngineLoad {
        /// Name of the engine.
        backend: BackendName,
        /// The reported load.
        load: EngineLoad,
    },
    /// An order was answered by its engine, or failed.
    OrderAnswered {
        /// Identifier of the order.
        id: OrderId,
        /// Success, or the failure of the call.
        result: Result<(), CallFailure>,
    },
    /// The platform's list of machines.
    MachineList(MachineList),
    /// An operator's request.
    OperatorRequest {
        /// The request.
        request: OperatorRequest,
        /// Receives the reply.
        reply: SyncSender<OperatorReply>,
    },
    /// An event for the gateway.
    Gateway(GatewayEvent),
    /// The settings file may have changed and has to be read again.
    Reload,
    /// The process has to shut down gracefully.
    Terminate,
}
