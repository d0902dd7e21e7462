//! A replicated log as a pure state machine.
//!
//! A [`Replica`] takes messages, clock ticks and notifications of completed writes, and returns
//! an [`Output`] of messages, writes and committed entries. It performs no I/O and reads no
//! clock; the caller passes in the milliseconds of a local monotonic clock.
//!
//! The algorithm is Raft (Ongaro and Ousterhout, 2014) with pre-votes, check
//! quorum, leader leases, learners and one-at-a-time membership changes.

pub mod config;
pub mod election;
pub mod freshness;
pub mod log;
pub mod membership;
pub mod message;
pub mod output;
pub mod progress;
pub mod replica;
pub mod replication;
pub mod state_machine;

pub use config::ConsensusConfig;
pub use freshness::Freshness;
pub use log::{Entry, HardState, Index, Payload, ReplicatedLog, Snapshot, SnapshotMeta, Term};
pub use membership::{
    next_membership, without_unreachable_voter, JoinRequest, Membership, ReplicaId,
};
pub use message::{Message, MessageBody, ProcessTimestamp};
pub use output::{Output, ProposeError, Role, StoredState, WriteBatch};
pub use replica::Replica;
pub use state_machine::StateMachine;

/// Milliseconds of a local monotonic clock; comparable only within one process.
pub type Millis = u64;
