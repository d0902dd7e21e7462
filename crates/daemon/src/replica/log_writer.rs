//! Where a replica's writes go.

use silversail_consensus::{Entry, HardState, Snapshot, WriteBatch};
use silversail_storage::WriteQueue;

/// Takes writes in order and reports each as synced, in order.
pub trait LogWriter {
    /// Queues a batch. Every call is reported once, an empty batch too.
    fn write(&mut self, batch: WriteBatch);

    /// Queues a snapshot with the log that remains after it; not reported.
    fn compact(&mut self, snapshot: Snapshot, hard_state: HardState, entries: Vec<Entry>);
}

/// Writes to the data folder.
pub struct StorageWriter(pub WriteQueue);

impl LogWriter for StorageWriter {
    fn write(&mut self, batch: WriteBatch) {
        self.0.write(batch);
    }

    fn compact(&mut self, snapshot: Snapshot, hard_state: HardState, entries: Vec<Entry>) {
        self.0.compact(snapshot, hard_state, entries);
    }
}
