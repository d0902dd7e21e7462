//! Pieces of batch stages that nodes hand to the node which batches a service.

use serde::{Deserialize, Serialize};
use silversail_model::topology::RegionFilter;
use silversail_model::{RequestFingerprint, Shard};

/// One piece of one phase of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// The caller's identifier of the request.
    pub request: String,
    /// Number of the phase.
    pub phase: u32,
    /// Number of the piece in its phase.
    pub index: u32,
    /// What the piece is made from.
    pub source: PieceSource,
    /// Approximate size of its result, in bytes.
    pub result_bytes: u64,
}

/// What a piece is made from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PieceSource {
    /// The key that the caller sent.
    Key(String),
    /// Results of earlier phases.
    Results(Vec<ResultHandle>),
}

/// Names a result at the back end that made it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ResultHandle(pub String);

/// Why a piece was not made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum PieceFailure {
    /// Its time had run out.
    Late,
    /// A result that it is made from is gone.
    InputGone,
    /// The makers have no room for its result.
    NoRoom,
    /// The makers failed it.
    Failed,
    /// No back end of the service is known.
    NoBackend,
    /// More waits than can be made in time.
    Overloaded,
    /// Its request crashes back ends.
    Quarantined,
}

/// Identifies an order of work at the node that gave it.
pub type WorkId = u64;

/// All pieces of one phase of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PhaseWork {
    /// The back ends that make them.
    pub shard: Shard,
    /// The pieces.
    pub pieces: Vec<Piece>,
    /// What the request is: a back end may crash on its pieces.
    pub fingerprint: RequestFingerprint,
    /// Rank of the request; 0 is the most urgent.
    pub priority: u8,
    /// Zone where the phase is best done, as much has to be moved there from
    /// elsewhere or from there else; empty for any.
    pub zone: String,
    /// Bytes that are moved in all, from or to that zone.
    pub moved_bytes: u64,
    /// The regions whose back ends may make them.
    pub regions: RegionFilter,
    /// Milliseconds until the phase should be done to keep the objective.
    pub target_remaining_ms: u64,
    /// Milliseconds until the request's deadline.
    pub remaining_ms: u64,
}

/// Ranks for which waits are told; less urgent ones wait as the last.
pub const PRIORITY_LEVELS: usize = 4;

/// How long a phase takes at a shard now, by the node that batches it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardWaitEstimates {
    /// The shard.
    pub shard: Shard,
    /// Milliseconds since its node told so.
    pub age_ms: u64,
    /// Milliseconds that what is waiting or announced takes before an order of each
    /// rank gets its turn.
    pub backlog_ms: [u32; PRIORITY_LEVELS],
    /// Milliseconds from an order's turn to its end.
    pub call_ms: u32,
    /// Milliseconds that what is waiting now, whatever its rank, takes before a call
    /// begins that has room for more.
    pub queue_ms: u32,
}

/// Messages of work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkMessage {
    /// Asks the receiver to have the pieces made.
    Submit {
        /// Identifies the order at the sender's process.
        work: WorkId,
        /// The work.
        phase: PhaseWork,
    },
    /// Tells of an order to come: its request was admitted, and phases go before. It
    /// is answered as a submission is.
    Announce {
        /// The order.
        work: WorkId,
        /// The back ends that will make them.
        shard: Shard,
        /// How many pieces it will have.
        pieces: u32,
        /// Rank of the request.
        priority: u8,
    },
    /// Tells that a submission came, or came again: the order waits or is at work.
    Accepted {
        /// The order.
        work: WorkId,
        /// How long the shards of the service take now.
        waits: Vec<ShardWaitEstimates>,
    },
    /// Answers a submission: the results in the order of the pieces.
    Done {
        /// The order.
        work: WorkId,
        /// The results.
        result: Result<Vec<ResultHandle>, PieceFailure>,
        /// How long the shards of the service take now.
        waits: Vec<ShardWaitEstimates>,
    },
    /// Between nodes that batch shards of one service: how long the sender's take now.
    WaitEstimates(Vec<ShardWaitEstimates>),
    /// The back ends have read what the pieces are made from.
    InputsRead {
        /// The order.
        work: WorkId,
    },
    /// The sender wants the work no more.
    Cancel {
        /// The order.
        work: WorkId,
    },
    /// These results are not needed any more.
    Release {
        /// The results.
        handles: Vec<ResultHandle>,
    },
}
