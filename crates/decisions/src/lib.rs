//! What a process decided and believed, as structured lines on standard output.
//!
//! Each decision is a typed [`Event`]; one writer turns events into lines. The
//! queue to the writer is bounded and never blocks: what does not fit is
//! dropped, least important class first, and counted.

pub mod event;
pub mod explain;
pub mod writer;

pub use event::{Event, EventClass};
pub use writer::{DecisionLog, LogCounts, LogLimits};
