//! Storage of the back ends with indexes by identity, address, name, and by service with zone
//! and hash group, so that additions and removals do not scan all back ends.

use super::hashed_index::HashedIndex;
use super::instance::Instance;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Index of a back end's slot in the store.
pub(super) type SlotIndex = u32;

/// Number of hash groups of the back ends of a service: a selection by rendezvous hashing scans
/// the groups and the members of one.
pub(super) const GROUPS: usize = 128;

/// Indexes of the back ends of one service.
#[derive(Default)]
pub(super) struct ServiceIndex {
    /// Slots by zone, ordered by identity.
    by_zone: BTreeMap<String, Vec<SlotIndex>>,
    /// Slots by hash group, ordered by identity.
    groups: Vec<Vec<SlotIndex>>,
    /// Number of back ends of each version.
    versions: BTreeMap<String, usize>,
    count: usize,
}

impl ServiceIndex {
    /// Number of back ends.
    pub(super) fn len(&self) -> usize {
        self.count
    }

    /// Zones with back ends.
    pub(super) fn zones(&self) -> impl Iterator<Item = &str> {
        self.by_zone.keys().map(String::as_str)
    }

    /// Slots of a zone.
    pub(super) fn in_zone(&self, zone: &str) -> &[SlotIndex] {
        self.by_zone.get(zone).map_or(&[], Vec::as_slice)
    }

    /// Slots of all zones.
    pub(super) fn all(&self) -> impl Iterator<Item = SlotIndex> + '_ {
        self.by_zone.values().flatten().copied()
    }

    /// Slots by hash group.
    pub(super) fn groups(&self) -> &[Vec<SlotIndex>] {
        &self.groups
    }

    /// Versions of the back ends.
    pub(super) fn versions(&self) -> impl Iterator<Item = &str> {
        self.versions.keys().map(String::as_str)
    }
}

/// All back ends with their indexes.
#[derive(Default)]
pub(super) struct InstanceStore {
    slots: Vec<Option<Instance>>,
    lookups: Cell<u64>,
    free_slots: Vec<SlotIndex>,
    by_id: HashedIndex,
    by_address: HashedIndex,
    by_name: HashedIndex,
    by_service: BTreeMap<String, ServiceIndex>,
}

impl InstanceStore {
    /// The back end in a slot; counts as a lookup.
    pub(super) fn at(&self, slot: SlotIndex) -> Option<&Instance> {
        self.lookups.set(self.lookups.get() + 1);
        self.slots.get(slot as usize)?.as_ref()
    }

    /// Number of lookups by slot.
    pub(super) fn lookup_count(&self) -> u64 {
        self.lookups.get()
    }

    /// Mutable access to a slot. Fields that are indexed must not be changed.
    pub(super) fn at_mut(&mut self, slot: SlotIndex) -> Option<&mut Instance> {
        self.slots.get_mut(slot as usize)?.as_mut()
    }

    /// The slot of a back end.
    pub(super) fn slot_of(&self, id: &str) -> Option<SlotIndex> {
        let mut found = self.by_id.find(id);
        found.find(|slot| {
            self.at(*slot)
                .is_some_and(|instance| instance.listed.id == id)
        })
    }

    /// The back end with an identity.
    pub(super) fn get(&self, id: &str) -> Option<&Instance> {
        self.at(self.slot_of(id)?)
    }

    /// Mutable access to the back end with an identity.
    pub(super) fn get_mut(&mut self, id: &str) -> Option<&mut Instance> {
        let slot = self.slot_of(id)?;
        self.at_mut(slot)
    }

    /// The back end at an address; of several, the first by identity.
    pub(super) fn at_address(&self, address: &str) -> Option<&Instance> {
        let found = self.by_address.find(address);
        let found = found.filter_map(|slot| self.at(slot));
        let there = found.filter(|instance| instance.listed.address == address);
        there.min_by(|left, right| left.listed.id.cmp(&right.listed.id))
    }

    /// The back end with this name, if it tells when it started.
    pub(super) fn process_with_name(&self, name: &str) -> Option<&Instance> {
        let found = self.by_name.find(name);
        let mut found = found.filter_map(|slot| self.at(slot));
        found.find(|instance| {
            instance.listed.name == name && instance.listed.started_at_ms.is_some()
        })
    }

    /// All back ends.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Instance> {
        self.slots.iter().flatten()
    }

    /// Mutable access to all back ends.
    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Instance> {
        self.slots.iter_mut().flatten()
    }

    /// Services with back ends.
    pub(super) fn services(&self) -> impl Iterator<Item = &String> {
        self.by_service.keys()
    }

    /// The indexes of a service.
    pub(super) fn service(&self, service: &str) -> Option<&ServiceIndex> {
        self.by_service.get(service)
    }

    /// Adds a back end that is not in the store.
    pub(super) fn insert(&mut self, instance: Instance) -> SlotIndex {
        let slot = self
            .free_slots
            .pop()
            .unwrap_or(self.slots.len() as SlotIndex);
        if slot as usize == self.slots.len() {
            self.slots.push(None);
        }
        self.slots[slot as usize] = Some(instance);
        self.index(slot);
        slot
    }

    /// Removes a back end.
    pub(super) fn remove(&mut self, id: &str) -> Option<Instance> {
        let slot = self.slot_of(id)?;
        self.unindex(slot);
        self.free_slots.push(slot);
        self.slots[slot as usize].take()
    }

    fn index(&mut self, slot: SlotIndex) {
        let Some(listed) = self.at(slot).map(|instance| instance.listed.clone()) else {
            return;
        };
        self.by_id.insert(&listed.id, slot);
        self.by_address.insert(&listed.address, slot);
        if listed.started_at_ms.is_some() {
            self.by_name.insert(&listed.name, slot);
        }
        let Self {
            slots, by_service, ..
        } = self;
        let is_before = |other: &SlotIndex| {
            let other = slots[*other as usize].as_ref();
            other.is_some_and(|instance| instance.listed.id < listed.id)
        };
        let service = by_service.entry(listed.service.clone()).or_default();
        if service.groups.is_empty() {
            service.groups.resize(GROUPS, Vec::new());
        }
        let slots_of_zone = service.by_zone.entry(listed.zone.clone()).or_default();
        for list in [slots_of_zone, &mut service.groups[group_of(&listed.id)]] {
            let position = list.partition_point(is_before);
            list.insert(position, slot);
        }
        *service.versions.entry(listed.version.clone()).or_default() += 1;
        service.count += 1;
    }

    fn unindex(&mut self, slot: SlotIndex) {
        let Some(listed) = self.at(slot).map(|instance| instance.listed.clone()) else {
            return;
        };
        self.by_id.remove(&listed.id, slot);
        self.by_address.remove(&listed.address, slot);
        self.by_name.remove(&listed.name, slot);
        let Some(service) = self.by_service.get_mut(&listed.service) else {
            return;
        };
        service.groups[group_of(&listed.id)].retain(|other| *other != slot);
        if let Some(slots_of_zone) = service.by_zone.get_mut(&listed.zone) {
            slots_of_zone.retain(|other| *other != slot);
            if slots_of_zone.is_empty() {
                service.by_zone.remove(&listed.zone);
            }
        }
        if let Some(count) = service.versions.get_mut(&listed.version) {
            *count -= 1;
            if *count == 0 {
                service.versions.remove(&listed.version);
            }
        }
        service.count -= 1;
        if service.count == 0 {
            self.by_service.remove(&listed.service);
        }
    }
}

/// The hash group of a back end, which is the same on every node.
fn group_of(id: &str) -> usize {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish() as usize % GROUPS
}
