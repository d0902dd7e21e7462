//! The list of back ends as differences: what changed since a version that the receiver
//! holds.
//!
//! The whole list, sent to all nodes at each change of one back end, would fill the links of the
//! nodes that pass it on.

use crate::listed_instances::ListedInstances;
use crate::listing::{ListedInstance, Listing, ListingVersion, SharedListing};
use serde::{Deserialize, Serialize};
use silversail_control::compression;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Changes of the list for which a difference can be told: a minute of one each second.
const REMEMBERED_CHANGES: usize = 60;

/// What turns a listing into another one. Packed once for all receivers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListingUpdate {
    /// The only version that it can be applied to; none for a whole listing.
    pub base: Option<ListingVersion>,
    /// The version that it leads to.
    pub version: ListingVersion,
    packed: Arc<Vec<u8>>,
}

/// What an update holds, before it is packed.
#[derive(Serialize, Deserialize)]
struct Content {
    /// Entries that came or changed.
    entries: Vec<ListedInstance>,
    /// Identities of entries that are gone.
    gone: Vec<String>,
}

/// Why an update can't be applied; the next heartbeat tells what is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ListingUpdateError {
    /// The listing held is not its base.
    #[error("the listing held is not the base {0:?}")]
    OtherBase(ListingVersion),
    /// It can't be unpacked.
    #[error("the update can't be unpacked")]
    Malformed,
}

impl ListingUpdate {
    /// A whole listing.
    pub fn whole(listing: &Listing) -> Self {
        let content = Content {
            entries: listing.entries.iter().map(|one| (**one).clone()).collect(),
            gone: Vec::new(),
        };
        Self::packed(None, listing.version, &content)
    }

    fn packed(base: Option<ListingVersion>, version: ListingVersion, content: &Content) -> Self {
        let plain = postcard::to_stdvec(content).expect("encoding into memory does not fail");
        let packed = compression::compress(&plain).expect("packing into memory does not fail");
        Self {
            base,
            version,
            packed: Arc::new(packed),
        }
    }

    /// Its size on the way, about, in bytes.
    pub fn size(&self) -> usize {
        self.packed.len()
    }

    /// The listing that this leads to from `held`.
    ///
    /// # Errors
    /// [`ListingUpdateError`] where `held` is not the base, or the update is damaged.
    pub fn applied_to(&self, held: Option<&Listing>) -> Result<Listing, ListingUpdateError> {
        let mut entries = match (self.base, held) {
            (None, _) => ListedInstances::default(),
            (Some(base), Some(held)) if held.version == base => held.entries.clone(),
            (Some(base), _) => return Err(ListingUpdateError::OtherBase(base)),
        };
        let plain =
            compression::decompress(&self.packed).map_err(|_| ListingUpdateError::Malformed)?;
        let content: Content =
            postcard::from_bytes(&plain).map_err(|_| ListingUpdateError::Malformed)?;
        for id in &content.gone {
            entries.remove(id);
        }
        for entry in content.entries {
            entries.insert(entry);
        }
        Ok(Listing {
            version: self.version,
            entries,
        })
    }
}

/// One change of the list.
struct Change {
    from: ListingVersion,
    touched: BTreeSet<String>,
}

/// The newest listing with its last changes, for receivers that hold older ones.
#[derive(Default)]
pub struct ListingUpdates {
    newest: Option<SharedListing>,
    changes: VecDeque<Change>,
    /// Updates to the newest listing that were made already, by what the receiver holds.
    made: BTreeMap<Option<ListingVersion>, ListingUpdate>,
}

impl ListingUpdates {
    /// The newest listing.
    pub fn newest(&self) -> Option<&SharedListing> {
        self.newest.as_ref()
    }

    /// Takes the listing that replaces the one held.
    pub fn follow(&mut self, next: SharedListing) {
        let Some(before) = self.newest.replace(next.clone()) else {
            return;
        };
        if before.version == next.version {
            return;
        }
        self.made.clear();
        if self.changes.len() == REMEMBERED_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(Change {
            from: before.version,
            touched: before
                .entries
                .changes_to(&next.entries)
                .map(|change| change.id().to_owned())
                .collect(),
        });
    }

    /// What a receiver that holds `held` lacks: a difference where the changes since are
    /// remembered, else the whole. None where it lacks nothing.
    pub fn since(&mut self, held: Option<ListingVersion>) -> Option<ListingUpdate> {
        let newest = self.newest.as_ref()?;
        if held == Some(newest.version) {
            return None;
        }
        let position = self
            .changes
            .iter()
            .position(|change| Some(change.from) == held);
        let key = held.filter(|_| position.is_some());
        if let Some(made) = self.made.get(&key) {
            return Some(made.clone());
        }
        let update = match position {
            Some(first) => difference(held, newest, self.changes.range(first..)),
            None => ListingUpdate::whole(newest),
        };
        self.made.insert(key, update.clone());
        Some(update)
    }
}

fn difference<'a>(
    base: Option<ListingVersion>,
    newest: &Listing,
    changes: impl Iterator<Item = &'a Change>,
) -> ListingUpdate {
    let touched: BTreeSet<&String> = changes.flat_map(|change| &change.touched).collect();
    let mut content = Content {
        entries: Vec::new(),
        gone: Vec::new(),
    };
    for id in touched {
        match newest.entries.get(id) {
            Some(entry) => content.entries.push((**entry).clone()),
            None => content.gone.push(id.clone()),
        }
    }
    ListingUpdate::packed(base, newest.version, &content)
}
