//! Fixtures: a batcher of one service with back ends and orders.

use super::{batch_spec, instance};
use silversail_decisions::DecisionLog;
use silversail_model::topology::RegionFilter;
use silversail_model::{RequestFingerprint, Shard};
use silversail_peer::{PhaseWork, Piece, PieceSource, ResultHandle};
use silversail_serving::batcher::{Batcher, OrderKey, ReleasedResult};
use silversail_serving::instances::InstanceTable;
use silversail_serving::policy::Policy;

pub fn table(backends: &[(&str, &str)]) -> InstanceTable {
    let mut table = InstanceTable::new(DecisionLog::disabled());
    let listed = backends
        .iter()
        .map(|(id, zone)| instance(id, "encode", zone));
    table.replace_list(&listed.collect::<Vec<_>>());
    table
}

pub fn whole() -> Shard {
    Shard::whole_service("encode")
}

/// A batcher that uses 85 % of the result memory of each back end.
pub fn batcher() -> Batcher {
    let policy = Policy {
        room_share: 0.85,
        ..Policy::default()
    };
    let mut batcher = Batcher::new(policy, DecisionLog::disabled());
    batcher.set_specs([("encode".to_owned(), batch_spec())].into());
    batcher
}

pub fn handles_of(released: &[ReleasedResult]) -> Vec<ResultHandle> {
    let handles = released.iter().map(|result| result.handle.clone());
    handles.collect()
}

pub fn key(work: u64) -> OrderKey {
    OrderKey {
        node: "n1".into(),
        work,
    }
}

pub fn work(request: u64, pieces: u32) -> PhaseWork {
    let piece = |index| Piece {
        request: format!("r{request}"),
        phase: 0,
        index,
        source: PieceSource::Key("k".into()),
        result_bytes: 1_000,
    };
    PhaseWork {
        shard: whole(),
        pieces: (0..pieces).map(piece).collect(),
        fingerprint: RequestFingerprint::default(),
        priority: 1,
        zone: String::new(),
        moved_bytes: 0,
        regions: RegionFilter::any(),
        target_remaining_ms: 1_000,
        remaining_ms: 4_000,
    }
}

pub fn large_work(request: u64, pieces: u32, result_bytes: u64) -> PhaseWork {
    let mut large = work(request, pieces);
    let pieces = large.pieces.iter_mut();
    pieces.for_each(|piece| piece.result_bytes = result_bytes);
    large
}
