//! Entries of a back-end list in a persistent map whose versions share unchanged entries. A list
//! with thousands of entries changes by a few each second; applying or computing such a change
//! does not visit all entries.

use crate::backend_list::BackendListEntry;
use imbl::ordmap::DiffItem;
use imbl::OrdMap;
use std::sync::Arc;

/// Entries ordered by identity. Cloning takes constant time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BackendListEntries(OrdMap<Arc<str>, Arc<BackendListEntry>>);

/// Change of one entry between two versions of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryChange<'a> {
    /// The entry was added or changed; holds the new entry.
    Upserted(&'a Arc<BackendListEntry>),
    /// The entry was removed; holds its identity.
    Removed(&'a str),
}

impl EntryChange<'_> {
    /// Identity of the changed entry.
    pub fn id(&self) -> &str {
        match self {
            Self::Upserted(entry) => &entry.id,
            Self::Removed(id) => id,
        }
    }
}

impl BackendListEntries {
    /// Number of entries.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether the list has no entries.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Iterates over the entries in the order of their identities.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<BackendListEntry>> {
        self.0.values()
    }

    /// Returns the entry with identity `id`.
    pub fn get(&self, id: &str) -> Option<&Arc<BackendListEntry>> {
        self.0.get(id)
    }

    /// Inserts an entry, replacing any entry of the same identity.
    pub fn insert(&mut self, entry: BackendListEntry) {
        self.0.insert(Arc::from(entry.id.as_str()), Arc::new(entry));
    }

    /// Removes the entry with identity `id`, if there is one.
    pub fn remove(&mut self, id: &str) {
        self.0.remove(id);
    }

    /// Changes from this version to `next`. If one version was derived from the other, the cost
    /// is proportional to the number of changes.
    pub fn changes_to<'a>(&'a self, next: &'a Self) -> impl Iterator<Item = EntryChange<'a>> {
        self.0.diff(&next.0).filter_map(|item| match item {
            DiffItem::Add(_, entry) => Some(EntryChange::Upserted(entry)),
            DiffItem::Update { old, new } => {
                (old.1 != new.1).then_some(EntryChange::Upserted(new.1))
            }
            DiffItem::Remove(id, _) => Some(EntryChange::Removed(id)),
        })
    }

    /// Creates a version with the `entries` of a new read, which shares all unchanged entries with
    /// this version.
    pub fn with_read(&self, entries: impl IntoIterator<Item = BackendListEntry>) -> Self {
        let read: Self = entries.into_iter().collect();
        let mut next = self.clone();
        for change in self.changes_to(&read) {
            match change {
                EntryChange::Upserted(entry) => {
                    let id = Arc::from(entry.id.as_str());
                    next.0.insert(id, entry.clone());
                }
                EntryChange::Removed(id) => next.remove(id),
            }
        }
        next
    }
}

impl FromIterator<BackendListEntry> for BackendListEntries {
    fn from_iter<T: IntoIterator<Item = BackendListEntry>>(entries: T) -> Self {
        let mut list = Self::default();
        for entry in entries {
            list.insert(entry);
        }
        list
    }
}
