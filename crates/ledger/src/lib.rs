//! Replicated ledger of requests that may be executed at most once: the owner of each idempotency
//! key, the claimed calls and the recorded outcome.
//!
//! A claim is committed by a quorum before its call is sent. Each takeover of a key increases its
//! epoch, so that claims of earlier owners are rejected.

pub mod command;
pub mod state;

pub use command::{
    Begin, Claim, Finish, LedgerCommand, LedgerReply, Owner, RecordedOutcome, RequestKey,
};
pub use state::LedgerState;
