//! The entries of a list of back ends, in a map whose versions share what they have in common: a
//! list of thousands of back ends changes by a few of them each second, and neither taking in
//! such a change nor finding it between two versions looks at all entries.

use crate::backend_list::BackendListEntry;
use imbl::ordmap::DiffItem;
use imbl::OrdMap;
use std::sync::Arc;

/// Entries by their identity, in its order. A clone costs as much for 10,000 entries as for ten.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BackendListEntries(OrdMap<Arc<str>, Arc<BackendListEntry>>);

/// What is different of one entry in a later version of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryChange<'a> {
    /// It came, or says something else now.
    Upserted(&'a Arc<BackendListEntry>),
    /// It is gone.
    Removed(&'a str),
}

impl EntryChange<'_> {
    /// The identity of the entry.
    pub fn id(&self) -> &str {
        match self {
            Self::Upserted(entry) => &entry.id,
            Self::Removed(id) => id,
        }
    }
}

impl BackendListEntries {
    /// How many entries there are.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// All entries, by identity.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<BackendListEntry>> {
        self.0.values()
    }

    /// An entry by its identity.
    pub fn get(&self, id: &str) -> Option<&Arc<BackendListEntry>> {
        self.0.get(id)
    }

    /// Takes in an entry, in place of the one of the same identity.
    pub fn insert(&mut self, entry: BackendListEntry) {
        self.0.insert(Arc::from(entry.id.as_str()), Arc::new(entry));
    }

    /// Takes out an entry.
    pub fn remove(&mut self, id: &str) {
        self.0.remove(id);
    }

    /// What leads from this version to `next`. Costs as much as both have not in common, where
    /// one was made from the other.
    pub fn changes_to<'a>(&'a self, next: &'a Self) -> impl Iterator<Item = EntryChange<'a>> {
        self.0.diff(&next.0).filter_map(|item| match item {
            DiffItem::Add(_, entry) => Some(EntryChange::Upserted(entry)),
            DiffItem::Update { old, new } => {
                (old.1 != new.1).then_some(EntryChange::Upserted(new.1))
            }
            DiffItem::Remove(id, _) => Some(EntryChange::Removed(id)),
        })
    }

    /// A version with the `entries` of a new read of the list, which has in common with this one
    /// all that the read left as it was.
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
        let mut all = Self::default();
        for entry in entries {
            all.insert(entry);
        }
        all
    }
}
