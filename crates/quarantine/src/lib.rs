//! Detects and refuses requests that crash the back ends which run them ("poison requests",
//! "queries of death").
//!
//! A crash interrupts every request that the back end was running, so each of them is a suspect.
//! A suspect that was interrupted by several crashes is refused. A complete response clears a
//! suspect, as a request that crashes back ends never receives one. The crate does no I/O, and
//! callers pass in the current time.
//!
//! - [`limits`]: how many crashes lead to a refusal, and how long it lasts
//! - [`crash_report`]: the report that a node sends on a crash
//! - [`quarantine`]: the replicated state, built from the reports of all nodes
//! - [`list`]: the list of refused requests that nodes enforce
//! - [`local_evidence`]: crashes that one node observed itself, applied there without delay
//! - [`attributes`]: the same for attributes that different requests share

pub mod attributes;
pub mod crash_report;
pub mod limits;
pub mod list;
pub mod local_evidence;
pub mod quarantine;
mod suspects;

pub use attributes::evidence::{AttributeCrash, AttributeEvidence};
pub use attributes::judgement::{AttributeJudge, AttributeVerdict};
pub use attributes::report::{
    AnsweredAttributes, AttributeCrashReport, AttributeMessage, AttributeReport,
    InterruptedRequest, WatchedAttributes,
};
pub use attributes::reporter::AttributeReporter;
pub use attributes::{attribute_fingerprints, BackendGroup};
pub use crash_report::CrashReport;
pub use limits::QuarantineLimits;
pub use list::{QuarantineList, QuarantineRevision, SharedQuarantineList};
pub use local_evidence::LocalCrashEvidence;
pub use quarantine::{CrashRecord, Quarantine, QuarantineCommand, QuarantineReply, RefusedRequest};
pub use suspects::CrashEvidence;

/// Milliseconds since the Unix epoch, by the clock of the leader that proposes a command.
pub type UnixMillis = u64;
