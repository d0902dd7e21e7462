//! The data path: from a caller's request to its answer, in named phases.
//!
//! 1. `accept`: parse and check the request.
//! 2. `admit`: freshness, limits and admission.
//! 3. `own`: take the key in the ledger, where the caller gave one.
//! 4. `dispatch`: each stage waits, is placed, claimed where it may not be
//!    repeated, and called.
//! 5. `outcome`: results, retries.
//! 6. `finish`: the one answer.

pub mod accept;
pub mod active;
pub mod actor;
pub mod admit;
pub mod answer;
mod crashes;
pub mod dispatch;
pub mod finish;
pub mod outcome;
pub mod own;
pub mod pools;
mod rests;

pub use actor::{RequestActor, RequestSetup};
