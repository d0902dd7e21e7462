//! Log entries, persistent state and the in-memory log.

use crate::membership::Membership;
use serde::{Deserialize, Serialize};

/// Position of an entry in the log; the first entry has index 1.
pub type Index = u64;
/// Raft term; each term has at most one leader.
pub type Term = u64;

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No command: the first entry of a new leader, which commits entries of earlier terms.
    Noop,
    /// An encoded command for the state machine.
    Command(Vec<u8>),
    /// A new membership, which applies as soon as it is appended.
    Membership(Membership),
}

impl Payload {
    fn size(&self) -> usize {
        match self {
            Payload::Command(bytes) => bytes.len(),
            // Approximate; these entries are small and rare.
            Payload::Noop | Payload::Membership(_) => 64,
        }
    }
}

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position in the log.
    pub index: Index,
    /// Term of the leader that created it.
    pub term: Term,
    /// Command or membership change that the entry replicates.
    pub payload: Payload,
}

/// Election state that must survive a restart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term that the replica has seen.
    pub term: Term,
    /// The replica that got this replica's vote in that term.
    pub voted_for: Option<crate::ReplicaId>,
}

/// Position and membership of a snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotMeta {
    /// Cluster that the state belongs to; a random number generated when the group forms.
    pub cluster_id: u64,
    /// Index of the last entry that the snapshot includes.
    pub index: Index,
    /// Term of that entry.
    pub term: Term,
    /// Membership as of that entry.
    pub membership: Membership,
}

/// The encoded state of the state machine at a log index.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Position and membership.
    pub meta: SnapshotMeta,
    /// State as encoded by [`crate::StateMachine::snapshot`].
    pub data: Vec<u8>,
}

/// The in-memory log: the entries after a base entry, which a snapshot covers.
#[derive(Clone, Debug)]
pub struct ReplicatedLog {
    base_index: Index,
    base_term: Term,
    entries: Vec<Entry>,
}

impl ReplicatedLog {
    /// Creates a log whose entries follow `base_index`.
    pub fn new(base_index: Index, base_term: Term, entries: Vec<Entry>) -> Self {
        Self {
            base_index,
            base_term,
            entries,
        }
    }

    /// Index of the last entry, or of the base if the log is empty.
    pub fn last_index(&self) -> Index {
        self.base_index + self.entries.len() as Index
    }

    /// Term of the last entry, or of the base if the log is empty.
    pub fn last_term(&self) -> Term {
        self.entries
            .last()
            .map_or(self.base_term, |entry| entry.term)
    }

    /// Index of the first entry that is not compacted.
    pub fn first_index(&self) -> Index {
        self.base_index + 1
    }

    /// Term of the entry at `index`; `None` if it is compacted or beyond the end.
    pub fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// The entry at `index`; `None` if it is compacted or beyond the end.
    pub fn entry(&self, index: Index) -> Option<&Entry> {
        let offset = index.checked_sub(self.first_index())?;
        self.entries.get(offset as usize)
    }

    /// Entries starting at index `from`, up to both limits, but at least one if there is any.
    pub fn slice(&self, from: Index, max_entries: usize, max_bytes: usize) -> Vec<Entry> {
        let Some(offset) = from.checked_sub(self.first_index()) else {
            return Vec::new();
        };
        let mut bytes = 0;
        let mut selected = Vec::new();
        for entry in self.entries.iter().skip(offset as usize).take(max_entries) {
            bytes += entry.payload.size();
            if bytes > max_bytes && !selected.is_empty() {
                break;
            }
            selected.push(entry.clone());
        }
        selected
    }

    /// Adds an entry at the end.
    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.entries.push(entry);
    }

    /// Removes the entry at `index` and all later ones.
    pub fn truncate_from(&mut self, index: Index) {
        let retained_count = index.saturating_sub(self.first_index()) as usize;
        self.entries.truncate(retained_count);
    }

    /// Removes the entries up to and including `index`, which a snapshot covers.
    pub fn compact_to(&mut self, index: Index) {
        let Some(term) = self.term_at(index) else {
            return;
        };
        let drop_count = (index - self.base_index) as usize;
        self.entries.drain(..drop_count);
        self.base_index = index;
        self.base_term = term;
    }

    /// Empties the log and moves its base to the last entry of a snapshot.
    pub fn reset(&mut self, index: Index, term: Term) {
        *self = Self::new(index, term, Vec::new());
    }

    /// Latest membership among the entries after the base, with its index.
    pub fn last_membership(&self) -> Option<(Index, &Membership)> {
        self.entries
            .iter()
            .rev()
            .find_map(|entry| match &entry.payload {
                Payload::Membership(membership) => Some((entry.index, membership)),
                Payload::Noop | Payload::Command(_) => None,
            })
    }

    /// Number of entries after the base.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no entries after the base.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
