//! The ledger of requests that may run at most once: who owns a key, which
//! calls were claimed, and how the request ended.
//!
//! A claim is committed by a majority of disks before its call leaves. Each
//! take-over of a key raises its epoch, so an older owner's claims are refused.

pub mod command;
pub mod state;

pub use command::{
    Begin, Claim, Finish, LedgerCommand, LedgerReply, Owner, RecordedOutcome, RequestKey,
};
pub use state::LedgerState;
