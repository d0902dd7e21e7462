//! Messages by which nodes submit work to the node that batches a service.

use serde::{Deserialize, Serialize};
use silversail_model::topology::RegionFilter;
use silversail_model::{RequestFingerprint, Shard};

/// A work item of one phase of one request; pieces of several requests form a batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// Request identifier sent by the caller.
    pub request: String,
    /// Index of the phase in the route.
    pub phase: u32,
    /// Index of the piece in the phase.
    pub index: u32,
    /// Input of the piece.
    pub source: PieceSource,
    /// Approximate size of the piece's result, in bytes.
    pub result_bytes: u64,
}

/// Input of a piece.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PieceSource {
    /// Input key sent by the caller.
    Key(String),
    /// Results of earlier phases, stored at back ends.
    Results(Vec<ResultHandle>),
}

/// Reference to a result that is stored at the back end that produced it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ResultHandle(pub String);

/// Reason why a piece has no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum PieceFailure {
    /// The deadline had passed.
    Late,
    /// An input result is no longer stored.
    InputGone,
    /// The back ends have no memory for the result.
    NoRoom,
    /// The back ends returned an error.
    Failed,
    /// No back end of the service is known.
    NoBackend,
    /// The queue is too long to finish in time.
    Overloaded,
    /// The request is quarantined because it crashes back ends.
    Quarantined,
}

/// Identifier of submitted work, unique at the submitting process.
pub type WorkId = u64;

/// All pieces of one phase of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PhaseWork {
    /// Shard whose back ends process the pieces.
    pub shard: Shard,
    /// Pieces in the order of their indexes.
    pub pieces: Vec<Piece>,
    /// Fingerprint of the request, for attributing back-end crashes.
    pub fingerprint: RequestFingerprint,
    /// Priority of the request; 0 is the most urgent.
    pub priority: u8,
    /// Preferred zone, which needs the least data transfer between zones; empty for any zone.
    pub zone: String,
    /// Total data transfer from or to the preferred zone, in bytes.
    pub moved_bytes: u64,
    /// Regions whose back ends may process the pieces.
    pub regions: RegionFilter,
    /// Milliseconds until the phase should finish to meet the route's response time objective.
    pub target_remaining_ms: u64,
    /// Milliseconds until the request's deadline.
    pub remaining_ms: u64,
}

/// Number of priorities with their own wait estimates; less urgent requests use the last one.
pub const PRIORITY_LEVELS: usize = 4;

/// Current processing time of a phase at a shard, estimated by the node that batches it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardWaitEstimates {
    /// Shard that the estimates apply to.
    pub shard: Shard,
    /// Age of the estimates, in milliseconds.
    pub age_ms: u64,
    /// Queueing time of new work by priority, in milliseconds, including announced work.
    pub backlog_ms: [u32; PRIORITY_LEVELS],
    /// Milliseconds from the end of the queueing time to the result.
    pub call_ms: u32,
    /// Milliseconds until a call with free capacity starts, given the work queued now at any
    /// priority.
    pub queue_ms: u32,
}

/// Messages between the nodes that submit work and the nodes that batch it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkMessage {
    /// Submits the pieces of a phase.
    Submit {
        /// Identifier of the work at the sender.
        work: WorkId,
        /// Pieces with their constraints.
        phase: PhaseWork,
    },
    /// Announces work that is submitted later, after earlier phases of an admitted request. The
    /// reply is the same as for a submission.
    Announce {
        /// Identifier of the work at the sender.
        work: WorkId,
        /// Shard that will process the pieces.
        shard: Shard,
        /// Number of pieces.
        pieces: u32,
        /// Priority of the request.
        priority: u8,
    },
    /// Acknowledges a submission or its repetition: the work is queued or running.
    Accepted {
        /// Identifier of the work at the submitting node.
        work: WorkId,
        /// Current estimates for the shards of the service.
        waits: Vec<ShardWaitEstimates>,
    },
    /// Reports the end of submitted work.
    Done {
        /// Identifier of the work at the submitting node.
        work: WorkId,
        /// Results in the order of the pieces, or the reason of the failure.
        result: Result<Vec<ResultHandle>, PieceFailure>,
        /// Current estimates for the shards of the service.
        waits: Vec<ShardWaitEstimates>,
    },
    /// Between nodes that batch shards of one service: current estimates for the sender's shards.
    WaitEstimates(Vec<ShardWaitEstimates>),
    /// Reports that the back ends have read the inputs of the pieces.
    InputsRead {
        /// Identifier of the work at the submitting node.
        work: WorkId,
    },
    /// Cancels submitted or announced work.
    Cancel {
        /// Identifier of the work at the submitting node.
        work: WorkId,
    },
    /// Releases results that are no longer needed.
    Release {
        /// Handles of the results.
        handles: Vec<ResultHandle>,
    },
}
