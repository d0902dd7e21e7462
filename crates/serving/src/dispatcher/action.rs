//! What the dispatcher decides, and what it is told of sends.

use super::RequestNumber;
use crate::batcher::AnnouncedOrder;
use crate::crashes::ConnectionLoss;
use crate::ports::SendAttributes;
use crate::Millis;
use silversail_model::topology::RegionFilter;
use silversail_model::{Distance, ResultCode};
use silversail_peer::{PhaseWork, ResultHandle, WorkId};

/// A refusal, or a request given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Numbered code; it tells the status.
    pub code: ResultCode,
    /// When to come back, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

/// A request to be sent to an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct SendPlan {
    /// Identity of the engine.
    pub instance: String,
    /// Its service.
    pub service: String,
    /// Version of its software; empty where the list does not tell.
    pub version: String,
    /// Its address.
    pub address: String,
    /// How far it is.
    pub distance: Distance,
    /// What goes with the request.
    pub attributes: SendAttributes,
    /// When the request ends.
    pub end: Millis,
    /// Whether the answer is a stream.
    pub is_stream: bool,
    /// Whether a failure of the engine may be kept from the caller, as the request
    /// can be sent again.
    pub may_repeat: bool,
}

/// What the caller of the dispatcher has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Answer the caller.
    Answer {
        /// The request.
        number: RequestNumber,
        /// The answer.
        refusal: Refusal,
    },
    /// Send the request to an engine.
    Send {
        /// The request.
        number: RequestNumber,
        /// Where and how.
        plan: SendPlan,
    },
    /// Have a phase's pieces made.
    Submit {
        /// Identifies the order.
        work: WorkId,
        /// The request's identifier, for the log.
        request: String,
        /// The pieces.
        phase: PhaseWork,
    },
    /// Tell of an order to come.
    Announce {
        /// Identifies the order.
        work: WorkId,
        /// Its service and size.
        order: AnnouncedOrder,
        /// The regions whose back ends may do it.
        regions: RegionFilter,
    },
    /// Drop an order.
    Cancel {
        /// The order.
        work: WorkId,
    },
    /// Find out whether the back end at which the request broke off has ended.
    Diagnose {
        /// Where it broke off.
        broken: ConnectionLoss,
    },
    /// Free results.
    Release {
        /// The service that made them.
        service: String,
        /// The results.
        handles: Vec<ResultHandle>,
    },
}

/// Why an engine is known not to have run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRunReason {
    /// It was not reached: nothing was sent.
    Unreachable,
    /// It rests or leaves, as it said itself after it was chosen: nothing was sent.
    Withheld,
    /// It said that it is full.
    Full,
    /// Another engine has its address.
    Misplaced,
    /// A result that it needs is gone.
    InputsGone,
    /// It said so for another reason.
    Refused,
}

/// Why it is not known whether an engine ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnknownReason {
    /// The connection broke before the answer's head.
    Broken,
    /// The answer is not in the protocol, or names another request.
    Garbled,
    /// The time was over.
    Deadline,
}

/// What came of a send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// The engine's answer went to the caller, as far as it came.
    Delivered {
        /// Its status.
        status: u16,
        /// Whether it was whole.
        is_whole: bool,
    },
    /// The engine did not run the request.
    NotRun(NotRunReason),
    /// It may have run.
    Unknown(UnknownReason),
    /// It ran and failed with this status, and the answer was not passed on.
    Failed {
        /// Its status.
        status: u16,
    },
}
