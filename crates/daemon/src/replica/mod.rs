//! Replicas of the replication groups, and the proposer that sends commands to a group.

pub mod actor;
pub mod formation;
mod joining;
pub mod log_writer;
mod membership_changes;
mod proposals;
pub mod proposer;
pub mod status;

pub use actor::{ReplicaActor, ReplicaSetup};
pub use log_writer::{LogWriter, StorageWriter};
pub use proposer::{ProposalOutcome, ProposerActor};
pub use status::{GroupStatus, SharedGroupStatus};
