//! Persistence of a replica's log and snapshots.

use silversail_consensus::{Entry, HardState, Snapshot, WriteBatch};
use silversail_storage::WriteQueue;

/// Accepts writes in order and reports each as synced, in the same order.
pub trait LogWriter {
    /// Queues a batch. Every call is reported as synced once, also for an empty batch.
    fn write(&mut self, batch: WriteBatch);

    /// Queues a snapshot and the log entries after it; this call is not reported.
    fn compact(&mut self, snapshot: Snapshot, hard_state: HardState, entries: Vec<Entry>);
}

/// Writes to the data folder through its write queue.
pub struct StorageWriter(pub WriteQueue);

impl LogWriter for StorageWriter {
    fn write(&mut self, batch: WriteBatch) {
        self.0.write(batch);
    }

    fn compact(&mut self, snapshot: Snapshot, hard_state: HardState, entries: Vec<Entry>) {
        self.0.compact(snapshot, hard_state, entries);
    }
}
