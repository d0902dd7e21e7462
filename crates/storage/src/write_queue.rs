//! A thread that writes and syncs, so that the caller never waits for a disk.
//! Batches that queue up while a sync runs share the next one.

use crate::errors::StorageError;
use crate::replica_store::ReplicaStore;
use silversail_consensus::{Entry, HardState, Snapshot, WriteBatch};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;

/// A job of the writing thread.
enum Job {
    Write(WriteBatch),
    Compact {
        snapshot: Snapshot,
        hard_state: HardState,
        entries: Vec<Entry>,
    },
}

/// What the writing thread tells.
pub enum WriteNotice {
    /// So many of the oldest unreported writes are synced.
    Synced(usize),
    /// A write failed; nothing after it is written. The replica must stop, as
    /// the state of the file is not known.
    Failed(StorageError),
}

/// Hands writes to the thread of one replica.
pub struct WriteQueue {
    jobs: Sender<Job>,
}

impl WriteQueue {
    /// Starts the thread; `notify` is called from it.
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

    /// Queues a batch; empty ones are reported in order too.
    pub fn write(&self, batch: WriteBatch) {
        // After a failed write the thread is gone and the process is stopping.
        let _ = self.jobs.send(Job::Write(batch));
    }

    /// Queues a snapshot and the log that remains after it. All writes queued
    /// before are contained in these.
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
