//! Where back ends are kept, and found: by identity, by address, by name, and those of a service by
//! zone and by hash group. Taking one in or out costs the same whatever their number.

use super::hashed_index::HashedIndex;
use super::instance::Instance;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Where a back end is kept.
pub(super) type Place = u32;

/// Groups into which the back ends of a service fall by a hash of their identity: what a choice by
/// rank looks at is the groups and the members of one, and both are few for 10,000 back ends.
pub(super) const GROUPS: usize = 128;

/// The back ends of one service.
#[derive(Default)]
pub(super) struct ServiceIndex {
    /// Places by zone, in the order of identities.
    by_zone: BTreeMap<String, Vec<Place>>,
    /// Places by group, in the order of identities.
    groups: Vec<Vec<Place>>,
    /// How many back ends have each version.
    versions: BTreeMap<String, usize>,
    count: usize,
}

impl ServiceIndex {
    /// How many there are.
    pub(super) fn len(&self) -> usize {
        self.count
    }

    /// Zones in which there are some.
    pub(super) fn zones(&self) -> impl Iterator<Item = &str> {
        self.by_zone.keys().map(String::as_str)
    }

    /// Those in a zone.
    pub(super) fn in_zone(&self, zone: &str) -> &[Place] {
        self.by_zone.get(zone).map_or(&[], Vec::as_slice)
    }

    /// Those of all zones.
    pub(super) fn all(&self) -> impl Iterator<Item = Place> + '_ {
        self.by_zone.values().flatten().copied()
    }

    /// The groups.
    pub(super) fn groups(&self) -> &[Vec<Place>] {
        &self.groups
    }

    /// Versions that some of them have.
    pub(super) fn versions(&self) -> impl Iterator<Item = &str> {
        self.versions.keys().map(String::as_str)
    }
}

/// All back ends with their indexes.
#[derive(Default)]
pub(super) struct InstanceStore {
    places: Vec<Option<Instance>>,
    looks: Cell<u64>,
    free: Vec<Place>,
    by_id: HashedIndex,
    by_address: HashedIndex,
    by_name: HashedIndex,
    by_service: BTreeMap<String, ServiceIndex>,
}

impl InstanceStore {
    /// The back end at a place.
    pub(super) fn at(&self, place: Place) -> Option<&Instance> {
        self.looks.set(self.looks.get() + 1);
        self.places.get(place as usize)?.as_ref()
    }

    /// How often a back end was looked at by its place.
    pub(super) fn looks(&self) -> u64 {
        self.looks.get()
    }

    /// The same, to be changed. What the indexes go by is not.
    pub(super) fn at_mut(&mut self, place: Place) -> Option<&mut Instance> {
        self.places.get_mut(place as usize)?.as_mut()
    }

    /// The place of a back end.
    pub(super) fn place_of(&self, id: &str) -> Option<Place> {
        let mut found = self.by_id.find(id);
        found.find(|place| self.at(*place).is_some_and(|one| one.listed.id == id))
    }

    /// A back end.
    pub(super) fn get(&self, id: &str) -> Option<&Instance> {
        self.at(self.place_of(id)?)
    }

    /// A back end, to be changed.
    pub(super) fn get_mut(&mut self, id: &str) -> Option<&mut Instance> {
        let place = self.place_of(id)?;
        self.at_mut(place)
    }

    /// The first back end at an address, in the order of identities.
    pub(super) fn at_address(&self, address: &str) -> Option<&Instance> {
        let found = self.by_address.find(address);
        let found = found.filter_map(|place| self.at(place));
        let there = found.filter(|one| one.listed.address == address);
        there.min_by(|left, right| left.listed.id.cmp(&right.listed.id))
    }

    /// The back end that calls itself so and tells when it started.
    pub(super) fn named(&self, name: &str) -> Option<&Instance> {
        let found = self.by_name.find(name);
        let mut found = found.filter_map(|place| self.at(place));
        found.find(|one| one.listed.name == name && one.listed.started_at_ms.is_some())
    }

    /// All back ends.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Instance> {
        self.places.iter().flatten()
    }

    /// All back ends, to be changed.
    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Instance> {
        self.places.iter_mut().flatten()
    }

    /// The services that have back ends.
    pub(super) fn services(&self) -> impl Iterator<Item = &String> {
        self.by_service.keys()
    }

    /// The back ends of a service.
    pub(super) fn service(&self, service: &str) -> Option<&ServiceIndex> {
        self.by_service.get(service)
    }

    /// Takes in a back end that is not there.
    pub(super) fn insert(&mut self, instance: Instance) -> Place {
        let place = self.free.pop().unwrap_or(self.places.len() as Place);
        if place as usize == self.places.len() {
            self.places.push(None);
        }
        self.places[place as usize] = Some(instance);
        self.index(place);
        place
    }

    /// Takes out a back end.
    pub(super) fn remove(&mut self, id: &str) -> Option<Instance> {
        let place = self.place_of(id)?;
        self.unindex(place);
        self.free.push(place);
        self.places[place as usize].take()
    }

    fn index(&mut self, place: Place) {
        let Some(listed) = self.at(place).map(|one| one.listed.clone()) else {
            return;
        };
        self.by_id.insert(&listed.id, place);
        self.by_address.insert(&listed.address, place);
        if listed.started_at_ms.is_some() {
            self.by_name.insert(&listed.name, place);
        }
        let Self {
            places, by_service, ..
        } = self;
        let is_before = |other: &Place| {
            let other = places[*other as usize].as_ref();
            other.is_some_and(|one| one.listed.id < listed.id)
        };
        let service = by_service.entry(listed.service.clone()).or_default();
        if service.groups.is_empty() {
            service.groups.resize(GROUPS, Vec::new());
        }
        let of_zone = service.by_zone.entry(listed.zone.clone()).or_default();
        for list in [of_zone, &mut service.groups[group_of(&listed.id)]] {
            let position = list.partition_point(is_before);
            list.insert(position, place);
        }
        *service.versions.entry(listed.version.clone()).or_default() += 1;
        service.count += 1;
    }

    fn unindex(&mut self, place: Place) {
        let Some(listed) = self.at(place).map(|one| one.listed.clone()) else {
            return;
        };
        self.by_id.remove(&listed.id, place);
        self.by_address.remove(&listed.address, place);
        self.by_name.remove(&listed.name, place);
        let Some(service) = self.by_service.get_mut(&listed.service) else {
            return;
        };
        service.groups[group_of(&listed.id)].retain(|one| *one != place);
        if let Some(of_zone) = service.by_zone.get_mut(&listed.zone) {
            of_zone.retain(|one| *one != place);
            if of_zone.is_empty() {
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

/// The group of a back end, the same at every node.
fn group_of(id: &str) -> usize {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish() as usize % GROUPS
}
