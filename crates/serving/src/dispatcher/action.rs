//! Actions that the dispatcher returns, and outcomes of sends that it is given.

use super::RequestNumber;
use crate::batcher::AnnouncedOrder;
use crate::crashes::ConnectionLoss;
use crate::forwarding::ForwardPlan;
use crate::ports::SendAttributes;
use crate::Millis;
use silversail_model::topology::RegionFilter;
use silversail_model::{AnswerEnd, Distance, ResultCode};
use silversail_peer::{PhaseWork, ResultHandle, WorkId};

/// A rejection, or a failure answered by this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Numbered code, which determines the HTTP status.
    pub code: ResultCode,
    /// `Retry-After` in milliseconds.
    pub retry_after_ms: Option<u64>,
}

/// How to send a request to an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct SendPlan {
    /// Identity of the engine's process.
    pub instance: String,
    /// Service of the engine.
    pub service: String,
    /// Software version of the engine; empty if the list does not name one.
    pub version: String,
    /// Network address of the engine.
    pub address: String,
    /// Distance of the engine from this node.
    pub distance: Distance,
    /// Metadata that is sent with the request.
    pub attributes: SendAttributes,
    /// Deadline of the request.
    pub end: Millis,
    /// Whether the answer is streamed.
    pub is_stream: bool,
    /// Whether the request may be sent again, so that a failure of the engine need not reach the
    /// caller.
    pub may_repeat: bool,
}

/// An action that the caller of the dispatcher carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Answer the request.
    Answer {
        /// Number of the request.
        number: RequestNumber,
        /// The answer to send.
        refusal: Refusal,
    },
    /// Send the request to an engine.
    Send {
        /// The request.
        number: RequestNumber,
        /// How to send it.
        plan: SendPlan,
    },
    /// Forward the request to a peer node.
    Forward {
        /// The request.
        number: RequestNumber,
        /// How to forward it.
        plan: ForwardPlan,
    },
    /// Submit the pieces of a phase as an order.
    Submit {
        /// Number of the order.
        work: WorkId,
        /// Identifier of the request, for the log.
        request: String,
        /// Content of the order.
        phase: PhaseWork,
    },
    /// Announce a later order to its batching node.
    Announce {
        /// Identifies the order.
        work: WorkId,
        /// Shard, size and priority of the order.
        order: AnnouncedOrder,
        /// Regions whose back ends may process it.
        regions: RegionFilter,
    },
    /// Cancel an order.
    Cancel {
        /// Number of the cancelled order.
        work: WorkId,
    },
    /// Find out whether a back end crashed when it lost the request's connection.
    Diagnose {
        /// The lost connection.
        broken: ConnectionLoss,
    },
    /// Free results that are no longer needed.
    Release {
        /// Service that stores the results.
        service: String,
        /// Handles of the results.
        handles: Vec<ResultHandle>,
    },
}

/// Why an engine certainly did not run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRunReason {
    /// The connection failed before anything was sent.
    Unreachable,
    /// Nothing was sent: after it was selected, the engine requested a back-off or reported that
    /// it is draining.
    BackendUnavailable,
    /// The engine reported itself full.
    Full,
    /// Another engine answered at its address.
    Misplaced,
    /// An input of the request no longer exists.
    InputsGone,
    /// The engine rejected the request for another reason.
    Refused,
}

/// Why an engine may or may not have run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnknownReason {
    /// The connection was lost before the head of the answer.
    Broken,
    /// The answer violates the protocol.
    Garbled,
    /// The answer to another request came in place of its own.
    Foreign,
    /// The deadline passed.
    Deadline,
}

/// Outcome of a send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// The answer was passed on to the caller, completely or in part.
    Delivered {
        /// HTTP status of the answer.
        status: u16,
        /// How the answer ended.
        end: AnswerEnd,
    },
    /// The engine did not run the request.
    NotRun(NotRunReason),
    /// The engine may have run the request.
    Unknown(UnknownReason),
    /// The engine ran the request and failed; the answer was not passed on.
    Failed {
        /// Its status.
        status: u16,
    },
}
