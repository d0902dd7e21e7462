//! Commands and replies of the ledger state machine.

use serde::{Deserialize, Serialize};
use silversail_model::{NodeName, ResultCode, TenantName};

/// Identity of a request: the caller's idempotency key, which is unique within its tenant.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestKey {
    /// Tenant that the caller belongs to.
    pub tenant: TenantName,
    /// Value of the `Idempotency-Key` header.
    pub key: String,
}

/// The process that executes a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// Node that the process runs on.
    pub node: NodeName,
    /// Incarnation of the process on that node.
    pub incarnation: u64,
    /// Number of the request within that process.
    pub request: u64,
}

/// Recorded outcome of a request, returned for later requests with the same key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedOutcome {
    /// Numbered result code.
    pub code: ResultCode,
    /// Response body as sent to the first caller.
    pub body: Vec<u8>,
}

/// Requests ownership of a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Begin {
    /// Identity of the request.
    pub key: RequestKey,
    /// SHA-256 digest of the request content; a repeated key must have the same content.
    pub digest: [u8; 32],
    /// The process that would execute the request.
    pub owner: Owner,
    /// Epoch of a presumably failed owner to take over from. Rejected if that owner has claimed a
    /// call.
    pub take_over: Option<u64>,
    /// Token of an earlier rejection, which proves that the caller received it before retrying.
    pub retry_token: Option<u64>,
    /// Current time in milliseconds since the Unix epoch, used for retention.
    pub now_ms: u64,
}

/// Claims one call to a back end before it is sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// Identity of the request.
    pub key: RequestKey,
    /// Epoch at which the sender owns the key.
    pub epoch: u64,
    /// Index of the stage in its pipeline.
    pub stage: u16,
    /// Identifier of the attempt at this stage.
    pub attempt: u64,
}

/// Records the outcome of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Finish {
    /// Identity of the request.
    pub key: RequestKey,
    /// Epoch at which the sender owns the key.
    pub epoch: u64,
    /// Outcome to record.
    pub outcome: RecordedOutcome,
}

/// A command to the ledger state machine, encoded with postcard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LedgerCommand {
    /// Requests ownership of a key; see [`Begin`].
    Begin(Begin),
    /// Claims a call; see [`Claim`].
    Claim(Claim),
    /// Records an outcome; see [`Finish`].
    Finish(Finish),
    /// Records a rejection for a key without an owner, so that a delayed copy of the request
    /// cannot acquire it.
    Fence {
        /// Key, digest and owner as in [`LedgerCommand::Begin`].
        begin: Begin,
        /// The rejection to record.
        outcome: RecordedOutcome,
    },
}

/// Reply to a [`LedgerCommand`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LedgerReply {
    /// The sender owns the key.
    Granted {
        /// Epoch of the ownership.
        epoch: u64,
    },
    /// The request has finished and its outcome is recorded.
    AlreadyFinished {
        /// The recorded outcome.
        outcome: RecordedOutcome,
        /// Token with which a caller that received a rejection may retry the key.
        epoch: u64,
    },
    /// Another process owns the key.
    InProgress {
        /// The current owner.
        owner: Owner,
        /// Epoch of its ownership.
        epoch: u64,
        /// Whether the owner has claimed a call.
        claimed: bool,
    },
    /// The key was used for a request with other content.
    Conflict,
    /// The call is claimed and may be sent.
    Claimed,
    /// The outcome is recorded.
    Finished {
        /// Token for [`Begin::retry_token`].
        epoch: u64,
    },
    /// The sender no longer owns the key or the request has finished; it must not send any call.
    Superseded,
    /// The command cannot be decoded.
    Malformed,
}
