//! Decision log: routing, membership and configuration decisions of a process as JSON lines.
//!
//! Each decision is a typed [`Event`]; a writer thread serializes events to lines. The
//! queue to the writer is bounded and never blocks: events that do not fit are
//! dropped, the least important class first, and counted.

pub mod event;
mod event_class;
pub mod explain;
pub mod writer;

pub use event::Event;
pub use event_class::EventClass;
pub use writer::{DecisionLog, LogCounts, LogLimits};
