//! The request path of pipelines, from a caller's request to its answer, in phases.
//!
//! 1. `accept`: parses and validates the request.
//! 2. `admit`: checks freshness and limits, and admits the request.
//! 3. `key_ownership`: acquires the idempotency key in the ledger, if the caller gave one.
//! 4. `dispatch`: queues each stage, selects a back end, commits a claim for a stage that may not
//!    be repeated, and calls the back end.
//! 5. `outcome`: handles call results and retries.
//! 6. `finish`: records the outcome and answers the caller.

pub mod accept;
pub mod active;
pub mod actor;
pub mod admit;
pub mod answer;
mod backoff;
mod crashes;
pub mod dispatch;
pub mod finish;
pub mod key_ownership;
pub mod outcome;
pub mod pools;

pub use actor::{RequestActor, RequestSetup};
