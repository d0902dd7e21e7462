//! Targets, answers and errors of the calls that the gateway makes on its own behalf.

use crate::gateway::exchange::{Exchange, ExchangeError, ExchangeRole};
use bytes::Bytes;
use silversail_http::{CarriedKey, Connection};
use silversail_serving::answer_identity::ForeignAnswer;
use silversail_serving::instances::InstanceId;
use silversail_serving::notices::{ExchangeKind, UnavailableReason};
use silversail_serving::ports::{AnswerHead, PieceResults};

/// Identity and address of the back end that a call goes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CalledBackend {
    /// Identifier in the backend list.
    pub instance: InstanceId,
    /// Host and port.
    pub address: String,
}

/// Destination of a call that the gateway makes on its own behalf.
pub enum CallTarget<'a> {
    /// The source of the backend list.
    ListSource {
        /// Host and port.
        address: &'a str,
    },
    /// A back end.
    Backend {
        /// Host and port.
        address: &'a str,
        /// Identifier in the backend list.
        instance: &'a str,
        /// Kind of exchange, for metrics and notices.
        path: ExchangeKind,
    },
}

impl CallTarget<'_> {
    pub(super) fn address(&self) -> &str {
        match self {
            CallTarget::ListSource { address } | CallTarget::Backend { address, .. } => address,
        }
    }

    pub(super) fn exchange<'a>(&'a self, id: &'a str) -> Exchange<'a> {
        let (target, role) = match self {
            CallTarget::ListSource { address } => (address, ExchangeRole::List),
            CallTarget::Backend { instance, path, .. } => (instance, ExchangeRole::Call(*path)),
        };
        Exchange { id, target, role }
    }
}

/// Returns a new identifier for a call of this node.
pub(super) fn new_call_id() -> String {
    format!("{:016x}", rand::random::<u64>())
}

/// Answer to a call.
pub struct CallAnswer {
    /// Parsed head.
    pub head: AnswerHead,
    /// The whole body.
    pub body: Bytes,
    pub(super) connection: Connection,
}

impl CallAnswer {
    /// Returns the connection to its pool if it may carry another call.
    pub(super) fn release_connection(self) {
        self.connection.return_to_pool();
    }

    /// Returns the connection to its pool after an answer without results. A repetition of the
    /// answer would not be taken for results either.
    pub(super) fn release_without_results(mut self) {
        self.connection.set_reusable(true);
        self.release_connection();
    }

    /// Whether nothing tells the answer from a repetition of an earlier one on its connection.
    pub(super) fn may_be_repetition(&self) -> bool {
        !self.head.is_named && self.connection.earlier_requests() > 0
    }

    /// Identifies an answer with results that does not name its call: a repetition of an earlier
    /// answer brings results that the connection has carried before.
    pub(super) fn is_identified_by(&mut self, results: &PieceResults) -> bool {
        if self.head.is_named {
            return true;
        }
        let Some(handle) = results.iter().flatten().next() else {
            return true;
        };
        let key = CarriedKey::of(&handle.0);
        if self.connection.has_carried(key) {
            return false;
        }
        self.connection.record_carried(key);
        self.connection.set_reusable(true);
        true
    }
}

/// Outcome of a call that frees results.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum FreeOutcome {
    /// The back end has freed them.
    Freed,
    /// Another back end answered at its address.
    AddressMismatch,
    /// It answered with another status than 200.
    Status(u16),
    /// The answer is one to another call.
    OtherAnswer,
    /// No answer arrived, for this reason.
    NoAnswer(String),
}

impl FreeOutcome {
    /// Value in the decision log.
    pub(super) fn name(&self) -> String {
        match self {
            FreeOutcome::Freed => "freed".to_owned(),
            FreeOutcome::AddressMismatch => "address_mismatch".to_owned(),
            FreeOutcome::Status(status) => format!("status_{status}"),
            FreeOutcome::OtherAnswer => "other_answer".to_owned(),
            FreeOutcome::NoAnswer(reason) => reason.clone(),
        }
    }
}

/// Reason why a call returned no answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The call was not sent.
    #[error("the call was not sent: {0}")]
    NotSent(String),
    /// The call was not sent because it is no valid HTTP request.
    #[error("the call is no valid request: {0}")]
    InvalidRequest(#[from] hyper::http::Error),
    /// The call was not sent because the back end asked for back-off, is draining or is out of
    /// permits.
    #[error("the call was not sent because the back end is {}", .0.name())]
    BackendUnavailable(UnavailableReason),
    /// The call was sent and may have been executed.
    #[error("the call got no answer: {0}")]
    NoAnswer(String),
    /// Another call's answer came in place of the own one. The call may have been executed.
    #[error(transparent)]
    ForeignAnswer(Box<ForeignAnswer>),
}

impl From<ExchangeError> for CallError {
    fn from(error: ExchangeError) -> Self {
        match error {
            ExchangeError::NotSent(detail) => CallError::NotSent(detail),
            ExchangeError::NoAnswer(detail) => CallError::NoAnswer(detail),
            ExchangeError::Foreign(foreign) => CallError::ForeignAnswer(foreign),
        }
    }
}
