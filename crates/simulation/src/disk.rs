//! Simulated disks: a write counts once its sync is done, and a crash loses
//! what was not synced.

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

/// One replica's folder.
pub struct Disk {
    /// Identity of the replica; it lasts from its first start until the folder
    /// is emptied.
    pub identity: Option<ReplicaId>,
    /// How long a sync takes.
    pub sync_time: Millis,
    state: Option<StoredState>,
    pending: VecDeque<(Millis, Job)>,
    now: Millis,
}

/// A disk shared by its replica and the world.
pub type SharedDisk = Rc<RefCell<Disk>>;

impl Disk {
    /// An empty folder.
    pub fn new(sync_time: Millis) -> Self {
        Self {
            identity: None,
            sync_time,
            state: None,
            pending: VecDeque::new(),
            now: 0,
        }
    }

    /// What a start finds.
    pub fn stored(&self) -> Option<StoredState> {
        self.state.clone()
    }

    /// Moves time on.
    pub fn set_now(&mut self, now: Millis) {
        self.now = now;
    }

    /// When the next sync is done.
    pub fn next_sync(&self) -> Option<Millis> {
        self.pending.front().map(|(at, _)| *at)
    }

    /// Finishes the syncs that are due; gives how many writes to report.
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

    /// Whether there are writes that are not synced.
    pub fn has_unsynced(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Loses what was not synced.
    pub fn crash(&mut self) {
        self.pending.clear();
    }

    /// Empties the folder.
    pub fn wipe(&mut self) {
        *self = Self::new(self.sync_time);
    }

    fn push(&mut self, job: Job) {
        // Syncs of one disk end in order.
        let earliest = self.pending.back().map_or(self.now, |(at, _)| *at);
        let due = (self.now + self.sync_time).max(earliest);
        self.pending.push_back((due, job));
    }
}

/// Writes to a simulated disk.
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
