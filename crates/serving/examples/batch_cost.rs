//! Measures the cost per message of the node that batches a service, with 1, 100 and 1,000 waiting
//! orders: accepting an order, estimating waits and scheduling calls. Then measures the total cost of
//! an order with idle back ends, with 18, 192 and 384 of them in the owner's zone.
//!
//! ```text
//! cargo run --release -p silversail-serving --example batch_cost
//! ```

use silversail_decisions::DecisionLog;
use silversail_model::topology::RegionFilter;
use silversail_model::traffic::BatchSpec;
use silversail_model::{RequestFingerprint, Shard};
use silversail_peer::{PhaseWork, Piece, PieceSource, ResultHandle};
use silversail_serving::batcher::{AnnouncedOrder, Batcher, CallOutcome, OrderKey};
use silversail_serving::instances::InstanceTable;
use silversail_serving::policy::Policy;
use silversail_serving::ports::BackendListEntry;
use std::collections::VecDeque;
use std::time::Instant;

const BACK_ENDS: usize = 18;
const MESSAGES: u64 = 2_000;

fn key(work: u64) -> OrderKey {
    OrderKey {
        node: "node".into(),
        work,
    }
}

fn order(work: u64) -> PhaseWork {
    let piece = |index| Piece {
        request: format!("request-{work}"),
        phase: 1,
        index,
        source: PieceSource::Key("key".into()),
        result_bytes: 60_000,
    };
    PhaseWork {
        shard: Shard::whole_service("service"),
        pieces: (0..8).map(piece).collect(),
        fingerprint: RequestFingerprint::default(),
        priority: (work % 3) as u8,
        zone: String::new(),
        moved_bytes: 0,
        regions: RegionFilter::any(),
        target_remaining_ms: 60_000,
        remaining_ms: 60_000_000,
    }
}

fn back_end(number: usize) -> BackendListEntry {
    BackendListEntry {
        id: format!("maker-{number}"),
        name: format!("maker-{number}"),
        service: "service".into(),
        address: format!("10.0.{}.{}:80", number / 250, number % 250),
        zone: "zone".into(),
        version: "v1".to_owned(),
        slots: 1,
        draining: false,
        cold: false,
        started_at_ms: None,
    }
}

fn main() {
    let spec = BatchSpec {
        slots: 1,
        queue: 2,
        pieces: 40,
        call_ms: 240.0,
        piece_ms: 5.0,
        room_bytes: 5_000_000,
        result_lifetime_ms: 4_000,
    };
    for waiting in [1, 100, 1_000] {
        let mut table = InstanceTable::new(DecisionLog::disabled());
        let listed = (0..BACK_ENDS).map(back_end);
        table.replace_list(&listed.collect::<Vec<_>>());
        let mut batcher = Batcher::new(Policy::default(), DecisionLog::disabled());
        batcher.set_specs([("service".to_owned(), spec.clone())].into());
        // All back ends are busy, and `waiting` orders are queued.
        for work in 0..(BACK_ENDS as u64 * 5 + waiting) {
            batcher
                .submit(key(work), order(work), &table, 0)
                .expect("taken");
            batcher.next_calls(&table, 0);
        }
        let announced = AnnouncedOrder {
            shard: Shard::whole_service("service"),
            pieces: 8,
            priority: 1,
        };
        for work in 0..waiting {
            batcher.announce(key(1 << 40 | work), announced.clone(), 0);
        }
        let started_at = Instant::now();
        for message in 0..MESSAGES {
            let work = 1 << 30 | message;
            batcher.waits(&Shard::whole_service("service"), &table, 1);
            batcher
                .submit(key(work), order(work), &table, 1)
                .expect("taken");
            batcher.next_calls(&table, 1);
            batcher.cancel(&key(work));
        }
        let micros = started_at.elapsed().as_micros() as f64 / MESSAGES as f64;
        println!("{waiting:>5} orders waiting: {micros:8.1} us a message");
    }
    for in_zone in [18, 192, 384] {
        measure_idle_back_ends(in_zone, &spec);
    }
}

/// Measures orders for the shard of one zone of six, at the rate at which its back ends finish calls.
fn measure_idle_back_ends(in_zone: usize, spec: &BatchSpec) {
    let mut table = InstanceTable::new(DecisionLog::disabled());
    let listed = (0..6 * in_zone).map(|number| BackendListEntry {
        zone: format!("zone-{}", number % 6),
        ..back_end(number)
    });
    table.replace_list(&listed.collect::<Vec<_>>());
    let mut batcher = Batcher::new(Policy::default(), DecisionLog::disabled());
    batcher.set_specs([("service".to_owned(), spec.clone())].into());
    let shard = Shard::in_zone("service", "zone-0");
    let in_progress = in_zone / 4;
    let mut calls = VecDeque::new();
    let started_at = Instant::now();
    for message in 0..MESSAGES {
        let work = PhaseWork {
            shard: shard.clone(),
            ..order(message)
        };
        batcher
            .submit(key(message), work, &table, message)
            .expect("taken");
        batcher.waits(&shard, &table, message);
        calls.extend(batcher.next_calls(&table, message));
        while calls.len() > in_progress {
            let Some(call) = calls.pop_front() else {
                break;
            };
            let handle = |index| Ok(ResultHandle(format!("{}/{message}-{index}", call.address)));
            let results = (0..call.pieces.len()).map(handle).collect();
            let ended = CallOutcome::Answered(results);
            for finished in batcher.call_ended(call.call, ended, message) {
                batcher.release(&finished.result.unwrap_or_default());
            }
            batcher.next_calls(&table, message);
            // Stands for wait updates, freed results and read inputs.
            for _ in 0..3 {
                batcher.next_calls(&table, message);
            }
        }
        let released = batcher.take_releases().into_iter();
        let released: Vec<ResultHandle> = released.map(|result| result.handle).collect();
        batcher.results_freed(&released);
    }
    let micros = started_at.elapsed().as_micros() as f64 / MESSAGES as f64;
    println!("{in_zone:>5} makers in the zone: {micros:8.1} us an order");
}
