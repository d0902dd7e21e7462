//! Batch work without fingerprints and regions.

use crate::work::{
    PhaseWork, Piece, PieceFailure, ResultHandle, ShardWaitEstimates, WorkId, WorkMessage,
};
use serde::{Deserialize, Serialize};
use silversail_model::shard::ShardScope;
use silversail_model::topology::RegionFilter;
use silversail_model::{ContentDigest, RequestFingerprint, Shard};

#[derive(Serialize, Deserialize)]
pub(super) struct PhaseWork6 {
    shard: Shard,
    pieces: Vec<Piece>,
    priority: u8,
    zone: String,
    target_remaining_ms: u64,
    remaining_ms: u64,
}

impl PhaseWork6 {
    fn from_current(phase: &PhaseWork) -> Option<Self> {
        if phase.regions.is_restricted() {
            return None;
        }
        Some(Self {
            shard: shard_to_earlier(&phase.shard)?,
            pieces: phase.pieces.clone(),
            priority: phase.priority,
            zone: phase.zone.clone(),
            target_remaining_ms: phase.target_remaining_ms,
            remaining_ms: phase.remaining_ms,
        })
    }

    /// The earlier build sends no fingerprint. Each request gets one of its own, so that no
    /// request is held responsible for another's crashes.
    fn into_current(self) -> PhaseWork {
        let request = self.pieces.first().map(|piece| piece.request.as_str());
        PhaseWork {
            fingerprint: RequestFingerprint::of(request, &ContentDigest::default()),
            shard: self.shard,
            pieces: self.pieces,
            priority: self.priority,
            zone: self.zone,
            moved_bytes: 0,
            regions: RegionFilter::any(),
            target_remaining_ms: self.target_remaining_ms,
            remaining_ms: self.remaining_ms,
        }
    }
}

#[derive(Serialize, Deserialize)]
pub(super) enum WorkMessage6 {
    Submit {
        work: WorkId,
        phase: PhaseWork6,
    },
    Announce {
        work: WorkId,
        shard: Shard,
        pieces: u32,
        priority: u8,
    },
    Accepted {
        work: WorkId,
        waits: Vec<ShardWaitEstimates>,
    },
    Done {
        work: WorkId,
        result: Result<Vec<ResultHandle>, PieceFailure>,
        waits: Vec<ShardWaitEstimates>,
    },
    WaitEstimates(Vec<ShardWaitEstimates>),
    InputsRead {
        work: WorkId,
    },
    Cancel {
        work: WorkId,
    },
    Release {
        handles: Vec<ResultHandle>,
    },
}

impl WorkMessage6 {
    pub(super) fn from_current(message: &WorkMessage) -> Option<Self> {
        Some(match message {
            WorkMessage::Submit { work, phase } => Self::Submit {
                work: *work,
                phase: PhaseWork6::from_current(phase)?,
            },
            WorkMessage::Announce {
                work,
                shard,
                pieces,
                priority,
            } => Self::Announce {
                work: *work,
                shard: shard_to_earlier(shard)?,
                pieces: *pieces,
                priority: *priority,
            },
            WorkMessage::Accepted { work, waits } => Self::Accepted {
                work: *work,
                waits: waits_to_earlier(waits),
            },
            WorkMessage::Done {
                work,
                result,
                waits,
            } => Self::Done {
                work: *work,
                result: result.clone().map_err(failure_to_earlier),
                waits: waits_to_earlier(waits),
            },
            WorkMessage::WaitEstimates(waits) => Self::WaitEstimates(waits_to_earlier(waits)),
            WorkMessage::InputsRead { work } => Self::InputsRead { work: *work },
            WorkMessage::Cancel { work } => Self::Cancel { work: *work },
            WorkMessage::Release { handles } => Self::Release {
                handles: handles.clone(),
            },
        })
    }

    pub(super) fn into_current(self) -> WorkMessage {
        match self {
            Self::Submit { work, phase } => WorkMessage::Submit {
                work,
                phase: phase.into_current(),
            },
            Self::Announce {
                work,
                shard,
                pieces,
                priority,
            } => WorkMessage::Announce {
                work,
                shard,
                pieces,
                priority,
            },
            Self::Accepted { work, waits } => WorkMessage::Accepted { work, waits },
            Self::Done {
                work,
                result,
                waits,
            } => WorkMessage::Done {
                work,
                result,
                waits,
            },
            Self::WaitEstimates(waits) => WorkMessage::WaitEstimates(waits),
            Self::InputsRead { work } => WorkMessage::InputsRead { work },
            Self::Cancel { work } => WorkMessage::Cancel { work },
            Self::Release { handles } => WorkMessage::Release { handles },
        }
    }
}

/// Version 6 has no shards of regions; those of whole services and zones are encoded alike.
fn shard_to_earlier(shard: &Shard) -> Option<Shard> {
    let is_region = matches!(shard.scope, ShardScope::Region { .. });
    (!is_region).then(|| shard.clone())
}

fn waits_to_earlier(waits: &[ShardWaitEstimates]) -> Vec<ShardWaitEstimates> {
    let known = waits.iter();
    let known = known.filter(|estimate| shard_to_earlier(&estimate.shard).is_some());
    known.cloned().collect()
}

fn failure_to_earlier(failure: PieceFailure) -> PieceFailure {
    match failure {
        PieceFailure::Quarantined => PieceFailure::Failed,
        other => other,
    }
}
