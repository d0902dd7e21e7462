//! Commands and replies of the ledger.

use serde::{Deserialize, Serialize};
use silversail_model::{NodeName, ResultCode, TenantName};

/// Identity of a request: the caller's key in its tenant's name space.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestKey {
    /// The tenant.
    pub tenant: TenantName,
    /// The caller's `Idempotency-Key`.
    pub key: String,
}

/// The process that runs a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// Its node.
    pub node: NodeName,
    /// Its process on that node.
    pub incarnation: u64,
    /// The request in that process.
    pub request: u64,
}

/// How a request ended; what a repeat of its key gets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedOutcome {
    /// The numbered result.
    pub code: ResultCode,
    /// The answer's body as the first caller got it.
    pub body: Vec<u8>,
}

/// Takes ownership of a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Begin {
    /// The request.
    pub key: RequestKey,
    /// SHA-256 of what was asked; a repeat must ask the same.
    pub digest: [u8; 32],
    /// Who would run it.
    pub owner: Owner,
    /// Take over from the owner at this epoch, which is believed dead. Refused
    /// when it has claimed a call meanwhile.
    pub take_over: Option<u64>,
    /// The token of a refusal that the caller has seen and retries after.
    pub retry_token: Option<u64>,
    /// Milliseconds since the Unix epoch, for retention.
    pub now_ms: u64,
}

/// Claims one call before it leaves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// The request.
    pub key: RequestKey,
    /// The claimant's epoch.
    pub epoch: u64,
    /// Position of the stage in its pipeline.
    pub stage: u16,
    /// Identifier of the attempt.
    pub attempt: u64,
}

/// Ends a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Finish {
    /// The request.
    pub key: RequestKey,
    /// The owner's epoch.
    pub epoch: u64,
    /// How it ended.
    pub outcome: RecordedOutcome,
}

/// A command of the ledger.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LedgerCommand {
    /// See [`Begin`].
    Begin(Begin),
    /// See [`Claim`].
    Claim(Claim),
    /// See [`Finish`].
    Finish(Finish),
    /// Ends a key that was never begun, so that no older copy can begin it.
    Fence {
        /// The key, as `Begin` has it.
        begin: Begin,
        /// The refusal.
        outcome: RecordedOutcome,
    },
}

/// The answer to a [`LedgerCommand`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LedgerReply {
    /// The key is owned by the asker at this epoch.
    Granted {
        /// The epoch.
        epoch: u64,
    },
    /// The key has ended.
    AlreadyFinished {
        /// How.
        outcome: RecordedOutcome,
        /// Token that lets a caller who saw a refusal try the key again.
        epoch: u64,
    },
    /// Another process owns the key.
    InProgress {
        /// Which.
        owner: Owner,
        /// At which epoch.
        epoch: u64,
        /// Whether it has claimed a call.
        claimed: bool,
    },
    /// The key was used for another request.
    Conflict,
    /// The call is claimed and may leave.
    Claimed,
    /// The outcome is kept.
    Finished {
        /// Token for [`Begin::retry_token`].
        epoch: u64,
    },
    /// The epoch is not the key's, or the key has ended: nothing may be sent.
    Superseded,
    /// The command could not be decoded.
    Malformed,
}
