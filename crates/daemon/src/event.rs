//! What reaches the main thread of a process from its other threads.

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

/// An event.
pub enum Event {
    /// A message of a peer, or of this node to itself.
    Peer(Envelope),
    /// So many writes of a group's replica are synced.
    Synced {
        /// The group.
        group: GroupId,
        /// How many of the oldest ones.
        count: usize,
    },
    /// A write failed; the process must stop.
    StorageFailed {
        /// The group.
        group: GroupId,
        /// What happened.
        error: StorageError,
    },
    /// A caller's request.
    Caller(CallerRequest),
    /// The caller of a request went away.
    CallerDisconnected(RequestNumber),
    /// A caller asks which addresses to use.
    EntryPoints {
        /// Zone to prefer.
        zone: Option<String>,
        /// Where the answer goes.
        responder: Responder,
    },
    /// A call ended.
    CallEnded {
        /// The attempt.
        attempt: u64,
        /// How long it took.
        service: Duration,
        /// What came of it.
        result: Result<StageOutput, CallFailure>,
    },
    /// A pipeline's back end at which calls broke off was tried anew.
    BackendProbed {
        /// The back end.
        backend: String,
        /// What came of it.
        answer: ProbeResult,
    },
    /// A token of a stream.
    Token {
        /// The attempt.
        attempt: u64,
        /// Position in the stream.
        sequence: u64,
        /// Text.
        text: String,
    },
    /// An engine's load report.
    EngineLoad {
        /// The engine.
        backend: BackendName,
        /// Its load.
        load: EngineLoad,
    },
    /// An engine answered an order, or did not.
    OrderSent {
        /// The order.
        id: OrderId,
        /// What the engine said.
        result: Result<(), CallFailure>,
    },
    /// The platform's list.
    MachineList(MachineList),
    /// An operator's request.
    Operator {
        /// What is asked.
        request: OperatorRequest,
        /// Where the answer goes.
        reply: SyncSender<OperatorReply>,
    },
    /// Something of the gateway.
    Gateway(GatewayEvent),
    /// The settings may have changed.
    Reload,
    /// The process shall stop as planned.
    Terminate,
}
