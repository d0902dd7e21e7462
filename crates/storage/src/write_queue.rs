//! Writes and syncs on a separate thread, so that callers do not block on the disk.
//! Batches that are queued during a sync share the next one.

use crate::errors::StorageError;
use crate::replica_store::ReplicaStore;
use silversail_consensus::{Entry, HardState, Snapshot, WriteBatch};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;

/// A job of the storage thread.
enum Job {
    Write(WriteBatch),
    Compact {
        snapshot: Snapshot,
        hard_state: HardState,
        entries: Vec<Entry>,
    },
}

/// Notification of the storage thread.
pub enum WriteNotice {
    /// This number of the oldest unreported writes is synced.
    Synced(usize),
    /// A write has failed, and later ones are dropped. The replica must stop, as the
    /// content of the file is unknown.
    Failed(StorageError),
}

/// Queue to the storage thread of one replica.
pub struct WriteQueue {
    jobs: Sender<Job>,
}

impl WriteQueue {
    /// Starts the storage thread, which calls `notify`.
    pub fn start(
        store: ReplicaStore,
        notify: impl Fn(WriteNotice) + Send + 'static,
    ) -> std::io::Result<Self> {
        let (jobs, receiver) = channel();
        thread::Builder::new()
            .name("storage".into())
            .spawn(move || run(store, receiver, notify))?;
        Ok(Self { jobs })
    }

    /// Queues a batch. Empty batches are reported in order too.
    pub fn write(&self, batch: WriteBatch) {
        // Sending fails only after a failed write, when the process is stopping.
        let _ = self.jobs.send(Job::Write(batch));
    }

    /// Queues a snapshot and the log entries after it, which include the effect of all
    /// writes that were queued before.
    pub fn compact(&self, snapshot: Snapshot, hard_state: HardState, entries: Vec<Entry>) {
        let _ = self.jobs.send(Job::Compact {
            snapshot,
            hard_state,
            entries,
        });
    }
}

fn run(mut store: ReplicaStore, jobs: Receiver<Job>, notify: impl Fn(WriteNotice)) {
    while let Ok(first) = jobs.recv() {
        let queued: Vec<Job> = std::iter::once(first).chain(jobs.try_iter()).collect();
        if let Err(error) = run_jobs(&mut store, queued, &notify) {
            notify(WriteNotice::Failed(error));
            return;
        }
    }
}

fn run_jobs(
    store: &mut ReplicaStore,
    queued: Vec<Job>,
    notify: &impl Fn(WriteNotice),
) -> Result<(), StorageError> {
    let mut batches = Vec::new();
    for job in queued {
        match job {
            Job::Write(batch) => batches.push(batch),
            Job::Compact {
                snapshot,
                hard_state,
                entries,
            } => {
                flush(store, &mut batches, notify)?;
                store.write_snapshot(&snapshot)?;
                store.rewrite_log(&hard_state, &entries)?;
            }
        }
    }
    flush(store, &mut batches, notify)
}

fn flush(
    store: &mut ReplicaStore,
    batches: &mut Vec<WriteBatch>,
    notify: &impl Fn(WriteNotice),
) -> Result<(), StorageError> {
    if batches.is_empty() {
        return Ok(());
    }
    store.write(batches)?;
    notify(WriteNotice::Synced(batches.len()));
    batches.clear();
    Ok(())
}
