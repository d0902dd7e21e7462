//! Incremental updates of the back-end list, relative to the version that the receiver has.
//!
//! Sending the full list to all nodes at each change would saturate the network links of the
//! relays.

use crate::backend_list::{BackendList, BackendListEntry, BackendListVersion, SharedBackendList};
use crate::backend_list_entries::BackendListEntries;
use serde::{Deserialize, Serialize};
use silversail_control::compression;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Number of list changes kept for incremental updates; one minute at one change per second.
const MAX_CHANGES: usize = 60;

/// Update from one back-end list version to another. Compressed once for all receivers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendListUpdate {
    /// The version that the update applies to; none for a full list.
    pub base: Option<BackendListVersion>,
    /// The version after the update.
    pub version: BackendListVersion,
    compressed: Arc<Vec<u8>>,
}

/// Content of an update before compression.
#[derive(Serialize, Deserialize)]
struct Content {
    /// Added and changed entries.
    entries: Vec<BackendListEntry>,
    /// Identities of removed entries.
    removed: Vec<String>,
}

/// An entry in updates of builds with message version 6.
#[derive(Serialize, Deserialize)]
struct EarlierEntry {
    id: String,
    service: String,
    address: String,
    zone: String,
    slots: u32,
    draining: bool,
    cold: bool,
}

/// Content of an update of builds with message version 6, before compression.
#[derive(Serialize, Deserialize)]
struct EarlierContent {
    entries: Vec<EarlierEntry>,
    removed: Vec<String>,
}

/// An update as builds with message version 6 encode it.
#[derive(Serialize, Deserialize)]
pub struct EarlierListUpdate {
    base: Option<BackendListVersion>,
    version: BackendListVersion,
    compressed: Vec<u8>,
}

/// Error of applying an update; the next heartbeat requests the missing changes again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BackendListUpdateError {
    /// The update applies to the given version, which the receiver does not have.
    #[error("back-end list update applies to version {0:?}, which is not the current version of this node")]
    BaseMismatch(BackendListVersion),
    /// The content can't be decompressed or decoded.
    #[error("back-end list update cannot be decompressed or decoded")]
    Malformed,
}

impl BackendListUpdate {
    /// Creates an update with the full list.
    pub fn full(list: &BackendList) -> Self {
        let content = Content {
            entries: list.entries.iter().map(|entry| (**entry).clone()).collect(),
            removed: Vec::new(),
        };
        Self::compress(None, list.version, &content)
    }

    fn compress(
        base: Option<BackendListVersion>,
        version: BackendListVersion,
        content: &Content,
    ) -> Self {
        let encoded = postcard::to_stdvec(content).expect("encoding into memory does not fail");
        let compressed =
            compression::compress(&encoded).expect("compression into memory does not fail");
        Self {
            base,
            version,
            compressed: Arc::new(compressed),
        }
    }

    fn content(&self) -> Option<Content> {
        let encoded = compression::decompress(&self.compressed).ok()?;
        postcard::from_bytes(&encoded).ok()
    }

    /// Converts the update for a build with message version 6, which names back ends as the
    /// platform does; `None` if it is corrupt.
    pub fn to_earlier(&self) -> Option<EarlierListUpdate> {
        let content = self.content()?;
        let entries = content.entries.into_iter().map(|entry| EarlierEntry {
            id: entry.name,
            service: entry.service,
            address: entry.address,
            zone: entry.zone,
            slots: entry.slots,
            draining: entry.draining,
            cold: entry.cold,
        });
        let removed = content.removed.into_iter();
        let content = EarlierContent {
            entries: entries.collect(),
            removed: removed.map(|id| platform_name(&id).to_owned()).collect(),
        };
        let encoded = postcard::to_stdvec(&content).ok()?;
        Some(EarlierListUpdate {
            base: self.base,
            version: self.version,
            compressed: compression::compress(&encoded).ok()?,
        })
    }

    /// Converts an update of a build with message version 6, which tells neither versions nor
    /// starts of back ends; `None` if it is corrupt.
    pub fn from_earlier(update: EarlierListUpdate) -> Option<Self> {
        let encoded = compression::decompress(&update.compressed).ok()?;
        let content: EarlierContent = postcard::from_bytes(&encoded).ok()?;
        let entries = content.entries.into_iter().map(|entry| BackendListEntry {
            name: entry.id.clone(),
            id: entry.id,
            service: entry.service,
            address: entry.address,
            zone: entry.zone,
            version: String::new(),
            slots: entry.slots,
            draining: entry.draining,
            cold: entry.cold,
            started_at_ms: None,
        });
        let content = Content {
            entries: entries.collect(),
            removed: content.removed,
        };
        Some(Self::compress(update.base, update.version, &content))
    }

    /// Approximate size of the encoded update, in bytes.
    pub fn size(&self) -> usize {
        self.compressed.len()
    }

    /// Applies the update to the receiver's `current` list.
    ///
    /// # Errors
    /// [`BackendListUpdateError`] if `current` is not the base, or if the update is corrupt.
    pub fn apply_to(
        &self,
        current: Option<&BackendList>,
    ) -> Result<BackendList, BackendListUpdateError> {
        let mut entries = match (self.base, current) {
            (None, _) => BackendListEntries::default(),
            (Some(base), Some(current)) if current.version == base => current.entries.clone(),
            (Some(base), _) => return Err(BackendListUpdateError::BaseMismatch(base)),
        };
        let content = self.content().ok_or(BackendListUpdateError::Malformed)?;
        for id in &content.removed {
            entries.remove(id);
        }
        for entry in content.entries {
            entries.insert(entry);
        }
        Ok(BackendList {
            version: self.version,
            entries,
        })
    }
}

/// Name by which the platform lists a back end: its identity without the time of its start.
fn platform_name(id: &str) -> &str {
    id.rsplit_once('@').map_or(id, |(name, _)| name)
}

/// A change from one version of the list to the next.
struct Change {
    from: BackendListVersion,
    changed_ids: BTreeSet<String>,
}

/// The newest list with its recent changes, from which updates for older versions are made.
#[derive(Default)]
pub struct BackendListHistory {
    newest: Option<SharedBackendList>,
    changes: VecDeque<Change>,
    /// Cached updates to the newest list, by the version that the receiver has.
    cached_updates: BTreeMap<Option<BackendListVersion>, BackendListUpdate>,
}

impl BackendListHistory {
    /// The newest list, if any was recorded.
    pub fn newest(&self) -> Option<&SharedBackendList> {
        self.newest.as_ref()
    }

    /// Records `next` as the newest list.
    pub fn set_latest(&mut self, next: SharedBackendList) {
        let Some(previous) = self.newest.replace(next.clone()) else {
            return;
        };
        if previous.version == next.version {
            return;
        }
        self.cached_updates.clear();
        if self.changes.len() == MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(Change {
            from: previous.version,
            changed_ids: previous
                .entries
                .changes_to(&next.entries)
                .map(|change| change.id().to_owned())
                .collect(),
        });
    }

    /// Update for a receiver that has version `current`: incremental if the changes since that
    /// version are recorded, else the full list. None if the receiver is up to date.
    pub fn update_since(
        &mut self,
        current: Option<BackendListVersion>,
    ) -> Option<BackendListUpdate> {
        let newest = self.newest.as_ref()?;
        if current == Some(newest.version) {
            return None;
        }
        let position = self
            .changes
            .iter()
            .position(|change| Some(change.from) == current);
        let key = current.filter(|_| position.is_some());
        if let Some(update) = self.cached_updates.get(&key) {
            return Some(update.clone());
        }
        let update = match position {
            Some(first) => incremental_update(current, newest, self.changes.range(first..)),
            None => BackendListUpdate::full(newest),
        };
        self.cached_updates.insert(key, update.clone());
        Some(update)
    }
}

fn incremental_update<'a>(
    base: Option<BackendListVersion>,
    newest: &BackendList,
    changes: impl Iterator<Item = &'a Change>,
) -> BackendListUpdate {
    let changed_ids: BTreeSet<&String> = changes.flat_map(|change| &change.changed_ids).collect();
    let mut content = Content {
        entries: Vec::new(),
        removed: Vec::new(),
    };
    for id in changed_ids {
        match newest.entries.get(id) {
            Some(entry) => content.entries.push((**entry).clone()),
            None => content.removed.push(id.clone()),
        }
    }
    BackendListUpdate::compress(base, newest.version, &content)
}
