//! Entries, the state that must survive a restart, and the in-memory log.

use crate::membership::Membership;
use serde::{Deserialize, Serialize};

/// Position in the log; the first entry has index 1.
pub type Index = u64;
/// Election term.
pub type Term = u64;

/// What an entry carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing: a new leader's first entry.
    Noop,
    /// A command of the state machine.
    Command(Vec<u8>),
    /// A new membership, in force from the moment it is appended.
    Membership(Membership),
}

impl Payload {
    fn size(&self) -> usize {
        match self {
            Payload::Command(bytes) => bytes.len(),
            Payload::Noop | Payload::Membership(_) => 64,
        }
    }
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position.
    pub index: Index,
    /// Term of the leader that created it.
    pub term: Term,
    /// Content.
    pub payload: Payload,
}

/// What a replica must not forget of elections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term seen.
    pub term: Term,
    /// The replica voted for in that term.
    pub voted_for: Option<crate::ReplicaId>,
}

/// Where a snapshot stands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotMeta {
    /// Cluster that the state belongs to; random, drawn when the group forms.
    pub cluster_id: u64,
    /// Index of the last entry that it includes.
    pub index: Index,
    /// Term of that entry.
    pub term: Term,
    /// Membership as of that entry.
    pub membership: Membership,
}

/// The state machine's state at an index.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Where it stands.
    pub meta: SnapshotMeta,
    /// The encoded state.
    pub data: Vec<u8>,
}

/// The log in memory: entries after a base, the base being an entry that a
/// snapshot covers.
#[derive(Clone, Debug)]
pub struct ReplicatedLog {
    base_index: Index,
    base_term: Term,
    entries: Vec<Entry>,
}

impl ReplicatedLog {
    /// A log whose entries follow `base_index`.
    pub fn new(base_index: Index, base_term: Term, entries: Vec<Entry>) -> Self {
        Self {
            base_index,
            base_term,
            entries,
        }
    }

    /// Index of the last entry.
    pub fn last_index(&self) -> Index {
        self.base_index + self.entries.len() as Index
    }

    /// Term of the last entry.
    pub fn last_term(&self) -> Term {
        self.entries
            .last()
            .map_or(self.base_term, |entry| entry.term)
    }

    /// Index of the first entry held.
    pub fn first_index(&self) -> Index {
        self.base_index + 1
    }

    /// Term of the entry at `index`; none when it is compacted or beyond the end.
    pub fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// The entry at `index`, where held.
    pub fn entry(&self, index: Index) -> Option<&Entry> {
        let offset = index.checked_sub(self.first_index())?;
        self.entries.get(offset as usize)
    }

    /// Entries from `from` on, within both limits, at least one if there is any.
    pub fn slice(&self, from: Index, max_entries: usize, max_bytes: usize) -> Vec<Entry> {
        let Some(offset) = from.checked_sub(self.first_index()) else {
            return Vec::new();
        };
        let mut bytes = 0;
        let mut taken = Vec::new();
        for entry in self.entries.iter().skip(offset as usize).take(max_entries) {
            bytes += entry.payload.size();
            if bytes > max_bytes && !taken.is_empty() {
                break;
            }
            taken.push(entry.clone());
        }
        taken
    }

    /// Adds an entry at the end.
    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.entries.push(entry);
    }

    /// Drops the entries from `index` on.
    pub fn truncate_from(&mut self, index: Index) {
        let keep = index.saturating_sub(self.first_index()) as usize;
        self.entries.truncate(keep);
    }

    /// Drops the entries up to and with `index`, which a snapshot covers.
    pub fn compact_to(&mut self, index: Index) {
        let Some(term) = self.term_at(index) else {
            return;
        };
        let drop_count = (index - self.base_index) as usize;
        self.entries.drain(..drop_count);
        self.base_index = index;
        self.base_term = term;
    }

    /// Replaces everything by what a snapshot covers.
    pub fn reset(&mut self, index: Index, term: Term) {
        *self = Self::new(index, term, Vec::new());
    }

    /// The last membership in the entries after the base, with its index.
    pub fn last_membership(&self) -> Option<(Index, &Membership)> {
        self.entries
            .iter()
            .rev()
            .find_map(|entry| match &entry.payload {
                Payload::Membership(membership) => Some((entry.index, membership)),
                Payload::Noop | Payload::Command(_) => None,
            })
    }

    /// Number of entries held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no entry is held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
