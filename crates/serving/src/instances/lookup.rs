//! Lookups of back ends by identity, address, service, zone and rendezvous rank.

use super::store::{InstanceStore, ServiceIndex, SlotIndex};
use super::{Instance, InstanceTable};
use crate::selection::rendezvous_hash;
use silversail_model::{Shard, ShardScope};
use silversail_peer::ResultHandle;
use std::hash::{DefaultHasher, Hash, Hasher};

impl InstanceTable {
    /// All back ends that may get new work in principle.
    pub fn accepting_new_work(&self) -> impl Iterator<Item = &Instance> {
        let all = self.instances.iter();
        all.filter(|instance| instance.accepts_new_work())
    }

    /// All back ends of a service.
    pub fn of_service<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a Instance> {
        let index = self.instances.service(service).into_iter();
        let slots = index.flat_map(ServiceIndex::all);
        slots.filter_map(|slot| self.instances.at(slot))
    }

    /// Number of back ends of a service.
    pub fn count_of_service(&self, service: &str) -> usize {
        self.instances.service(service).map_or(0, ServiceIndex::len)
    }

    /// Zones where a service has back ends.
    pub fn zones_of_service<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a str> {
        let index = self.instances.service(service).into_iter();
        index.flat_map(ServiceIndex::zones)
    }

    fn slots_in(&self, service: &str, zone: &str) -> &[SlotIndex] {
        let index = self.instances.service(service);
        index.map_or(&[], |index| index.in_zone(zone))
    }

    /// Back ends of a service in a zone, ordered by identity.
    pub fn in_zone<'a>(&'a self, service: &str, zone: &str) -> impl Iterator<Item = &'a Instance> {
        let slots = self.slots_in(service, zone).iter();
        slots.filter_map(|slot| self.instances.at(*slot))
    }

    /// A back end of a service in a zone, chosen by `random`; none if there are none.
    pub(crate) fn random_in_zone(
        &self,
        service: &str,
        zone: &str,
        random: u64,
    ) -> Option<&Instance> {
        let slots = self.slots_in(service, zone);
        let position = random.checked_rem(slots.len() as u64)?;
        self.instances.at(slots[position as usize])
    }

    /// Number of lookups of single back ends so far, a measure of cost that does not depend on
    /// the machine.
    pub fn lookup_count(&self) -> u64 {
        self.instances.lookup_count()
    }

    /// Back ends of a service by rendezvous rank for `key`, the first one first. All nodes with
    /// the same list agree on the order, and a list that differs by one back end changes it for
    /// few keys.
    pub(crate) fn ranked(&self, service: &str, key: u64) -> RankedInstances<'_> {
        RankedInstances::new(&self.instances, self.instances.service(service), key)
    }

    /// Back ends of a shard of a batched service.
    pub fn of_shard<'a>(&'a self, shard: &'a Shard) -> impl Iterator<Item = &'a Instance> {
        let zones: Vec<&str> = match &shard.scope {
            ShardScope::All => self.zones_of_service(&shard.service).collect(),
            ShardScope::Zone(zone) => vec![zone],
            ShardScope::Region { zones, .. } => zones.iter().map(String::as_str).collect(),
        };
        zones
            .into_iter()
            .flat_map(|zone| self.in_zone(&shard.service, zone))
    }

    /// The back end with an identity.
    pub fn get(&self, id: &str) -> Option<&Instance> {
        self.instances.get(id)
    }

    /// The back end at a network address.
    pub fn at_address(&self, address: &str) -> Option<&Instance> {
        self.instances.at_address(address)
    }

    /// The back end that stores a result; a handle begins with its address.
    pub fn holder(&self, handle: &ResultHandle) -> Option<&Instance> {
        let address = handle.0.split('/').next()?;
        self.at_address(address)
    }

    /// Names of the services that have back ends.
    pub fn services(&self) -> impl Iterator<Item = &String> {
        self.instances.services()
    }
}

/// Iterates over the back ends of a service by rendezvous rank for a key. Groups are ranked
/// first, weighted by their size; the members of a group are ranked when it is reached.
pub(crate) struct RankedInstances<'a> {
    store: &'a InstanceStore,
    key: u64,
    /// Remaining groups, the first one last.
    groups: Vec<&'a [SlotIndex]>,
    /// Remaining back ends of the current group, the first one last.
    current_group: Vec<&'a Instance>,
}

impl<'a> RankedInstances<'a> {
    fn new(store: &'a InstanceStore, service: Option<&'a ServiceIndex>, key: u64) -> Self {
        let groups = service.map_or(&[][..], ServiceIndex::groups);
        let members = groups.iter().map(Vec::as_slice).enumerate();
        let scored = members
            .filter(|(_, members)| !members.is_empty())
            .map(|(group, members)| (group_score(key, group, members.len()), members));
        let mut scored: Vec<(f64, &[SlotIndex])> = scored.collect();
        scored.sort_by(|(left, _), (right, _)| right.total_cmp(left));
        Self {
            store,
            key,
            groups: scored.into_iter().map(|(_, members)| members).collect(),
            current_group: Vec::new(),
        }
    }
}

impl<'a> Iterator for RankedInstances<'a> {
    type Item = &'a Instance;

    fn next(&mut self) -> Option<&'a Instance> {
        while self.current_group.is_empty() {
            let members = self.groups.pop()?.iter();
            let store = self.store;
            self.current_group = members.filter_map(|slot| store.at(*slot)).collect();
            let key = self.key;
            self.current_group
                .sort_by_cached_key(|instance| rendezvous_hash(key, &instance.listed.id));
        }
        self.current_group.pop()
    }
}

/// The score of a group for a key; the lowest comes first. Weighted rendezvous hashing gives
/// each back end the same share of keys.
fn group_score(key: u64, group: usize, members: usize) -> f64 {
    let mut hasher = DefaultHasher::new();
    ("group", key, group).hash(&mut hasher);
    let uniform = (hasher.finish() as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -uniform.ln() / members as f64
}
