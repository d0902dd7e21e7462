//! An index by the hash of a name, which stores no copies of the names.

use super::store::SlotIndex;
use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Slots by the hash of a name. Hashes may collide: callers compare the names.
#[derive(Default)]
pub(super) struct HashedIndex(BTreeSet<(u64, SlotIndex)>);

impl HashedIndex {
    pub(super) fn insert(&mut self, name: &str, slot: SlotIndex) {
        self.0.insert((hash_of(name), slot));
    }

    pub(super) fn remove(&mut self, name: &str, slot: SlotIndex) {
        self.0.remove(&(hash_of(name), slot));
    }

    /// Slots whose name has the same hash.
    pub(super) fn find(&self, name: &str) -> impl Iterator<Item = SlotIndex> + '_ {
        let hash = hash_of(name);
        let found = self.0.range((hash, 0)..=(hash, SlotIndex::MAX));
        found.map(|(_, slot)| *slot)
    }
}

fn hash_of(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}
