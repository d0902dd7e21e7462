//! Simulated disks: a write is durable once its sync has finished, and a crash loses
//! all unsynced writes.

use silversail_consensus::{
    Entry, HardState, Millis, ReplicaId, Snapshot, StoredState, WriteBatch,
};
use silversail_daemon::replica::LogWriter;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

enum Job {
    Write(WriteBatch),
    Compact(Snapshot, HardState, Vec<Entry>),
}

/// Simulated data folder of one replica.
pub struct Disk {
    /// Identity of the replica; set at its first start and cleared by a wipe.
    pub identity: Option<ReplicaId>,
    /// Duration of a sync, in milliseconds.
    pub sync_duration_ms: Millis,
    state: Option<StoredState>,
    pending: VecDeque<(Millis, Job)>,
    now: Millis,
}

/// A disk, shared by its replica and the simulated cluster.
pub type SharedDisk = Rc<RefCell<Disk>>;

impl Disk {
    /// Creates an empty folder.
    pub fn new(sync_duration_ms: Millis) -> Self {
        Self {
            identity: None,
            sync_duration_ms,
            state: None,
            pending: VecDeque::new(),
            now: 0,
        }
    }

    /// Durable state, which a starting replica loads.
    pub fn stored_state(&self) -> Option<StoredState> {
        self.state.clone()
    }

    /// Sets the virtual time, in milliseconds.
    pub fn set_now(&mut self, now: Millis) {
        self.now = now;
    }

    /// Virtual time at which the oldest pending sync finishes.
    pub fn next_sync(&self) -> Option<Millis> {
        self.pending.front().map(|(at, _)| *at)
    }

    /// Finishes the syncs that are due; returns the number of writes to report as synced.
    pub fn finish_syncs(&mut self) -> usize {
        let mut reported = 0;
        while self.next_sync().is_some_and(|at| at <= self.now) {
            match self.pending.pop_front() {
                Some((_, Job::Write(batch))) => {
                    self.apply(batch);
                    reported += 1;
                }
                Some((_, Job::Compact(snapshot, hard_state, entries))) => {
                    self.state = Some(StoredState {
                        hard_state,
                        snapshot,
                        entries,
                    });
                }
                None => break,
            }
        }
        reported
    }

    fn apply(&mut self, batch: WriteBatch) {
        if let Some(snapshot) = batch.snapshot {
            self.state = Some(StoredState {
                hard_state: batch.hard_state.unwrap_or_default(),
                snapshot,
                entries: batch.entries,
            });
            return;
        }
        let Some(state) = &mut self.state else {
            return;
        };
        if let Some(hard_state) = batch.hard_state {
            state.hard_state = hard_state;
        }
        for entry in batch.entries {
            let keep = state
                .entries
                .partition_point(|kept| kept.index < entry.index);
            state.entries.truncate(keep);
            state.entries.push(entry);
        }
    }

    /// Whether writes are still to be synced.
    pub fn has_unsynced(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Drops all unsynced writes.
    pub fn crash(&mut self) {
        self.pending.clear();
    }

    /// Erases the state and the identity.
    pub fn wipe(&mut self) {
        *self = Self::new(self.sync_duration_ms);
    }

    fn push(&mut self, job: Job) {
        // Syncs of one disk finish in order.
        let earliest = self.pending.back().map_or(self.now, |(at, _)| *at);
        let due = (self.now + self.sync_duration_ms).max(earliest);
        self.pending.push_back((due, job));
    }
}

/// Log writer of a replica on a simulated disk.
pub struct SimulatedWriter(pub SharedDisk);

impl LogWriter for SimulatedWriter {
    fn write(&mut self, batch: WriteBatch) {
        self.0.borrow_mut().push(Job::Write(batch));
    }

    fn compact(&mut self, snapshot: Snapshot, hard_state: HardState, entries: Vec<Entry>) {
        let job = Job::Compact(snapshot, hard_state, entries);
        self.0.borrow_mut().push(job);
    }
}
