//! Requests that crash the back ends which run them ("poison requests", "queries of death").
//!
//! A crash ends everything that a back end ran, so each request that broke off there is a
//! suspect. Suspects of several crashes are refused; one whole answer clears a suspect, as a
//! request that crashes back ends never gets one. Pure: time is passed in.
//!
//! - [`limits`]: after how many crashes, and for how long
//! - [`crash_report`]: what a node tells of a crash
//! - [`quarantine`]: the replicated judgement over what all nodes told
//! - [`list`]: what nodes have to know of it
//! - [`local_evidence`]: what one node saw itself, which counts at once

pub mod crash_report;
pub mod limits;
pub mod list;
pub mod local_evidence;
pub mod quarantine;
mod suspects;

pub use crash_report::CrashReport;
pub use limits::QuarantineLimits;
pub use list::{QuarantineList, QuarantineRevision, SharedQuarantineList};
pub use local_evidence::LocalCrashEvidence;
pub use quarantine::{CrashRecord, Quarantine, QuarantineCommand, QuarantineReply, RefusedRequest};
pub use suspects::CrashEvidence;

/// Milliseconds since the Unix epoch, by the clock of the leader that proposes.
pub type UnixMillis = u64;
