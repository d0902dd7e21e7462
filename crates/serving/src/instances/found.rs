//! How back ends are found: by identity, address, service, zone and rank.

use super::store::{InstanceStore, Place, ServiceIndex};
use super::{Instance, InstanceTable};
use crate::selection::rank;
use silversail_model::{Shard, ShardScope};
use silversail_peer::ResultHandle;
use std::hash::{DefaultHasher, Hash, Hasher};

impl InstanceTable {
    /// Back ends of a service.
    pub fn of_service<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a Instance> {
        let index = self.instances.service(service).into_iter();
        let places = index.flat_map(ServiceIndex::all);
        places.filter_map(|place| self.instances.at(place))
    }

    /// How many back ends a service has.
    pub fn count_of_service(&self, service: &str) -> usize {
        self.instances.service(service).map_or(0, ServiceIndex::len)
    }

    /// Zones in which a service has back ends.
    pub fn zones_of_service<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a str> {
        let index = self.instances.service(service).into_iter();
        index.flat_map(ServiceIndex::zones)
    }

    fn places_in(&self, service: &str, zone: &str) -> &[Place] {
        let index = self.instances.service(service);
        index.map_or(&[], |index| index.in_zone(zone))
    }

    /// Back ends of a service in a zone, in the order of their identities.
    pub fn in_zone<'a>(&'a self, service: &str, zone: &str) -> impl Iterator<Item = &'a Instance> {
        let places = self.places_in(service, zone).iter();
        places.filter_map(|place| self.instances.at(*place))
    }

    /// One of the back ends of a service in a zone, by lot; none where there are none.
    pub(crate) fn drawn_in_zone(&self, service: &str, zone: &str, lot: u64) -> Option<&Instance> {
        let places = self.places_in(service, zone);
        let position = lot.checked_rem(places.len() as u64)?;
        self.instances.at(places[position as usize])
    }

    /// Looks at single back ends since the start, to compare what is done at different numbers of
    /// them.
    pub fn looks(&self) -> u64 {
        self.instances.looks()
    }

    /// Back ends of a service, the first ones by rendezvous rank for `key` first: every node that
    /// holds the same list names the same, and a list that differs by one back end gives another
    /// order to few keys.
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

    /// A back end.
    pub fn get(&self, id: &str) -> Option<&Instance> {
        self.instances.get(id)
    }

    /// The back end at an address.
    pub fn at_address(&self, address: &str) -> Option<&Instance> {
        self.instances.at_address(address)
    }

    /// The back end that holds a result: a handle begins with its address.
    pub fn holder(&self, handle: &ResultHandle) -> Option<&Instance> {
        let address = handle.0.split('/').next()?;
        self.at_address(address)
    }

    /// Names of all services that have back ends.
    pub fn services(&self) -> impl Iterator<Item = &String> {
        self.instances.services()
    }
}

/// The back ends of a service by their rank for a key. Groups of them are ranked first, each by
/// how many it has, then those of a group as they are asked for.
pub(crate) struct RankedInstances<'a> {
    store: &'a InstanceStore,
    key: u64,
    /// Groups that were not begun, the first one last.
    groups: Vec<&'a [Place]>,
    /// Back ends of the present group, the first one last.
    present: Vec<&'a Instance>,
}

impl<'a> RankedInstances<'a> {
    fn new(store: &'a InstanceStore, service: Option<&'a ServiceIndex>, key: u64) -> Self {
        let groups = service.map_or(&[][..], ServiceIndex::groups);
        let members = groups.iter().map(Vec::as_slice).enumerate();
        let scored = members
            .filter(|(_, members)| !members.is_empty())
            .map(|(group, members)| (group_score(key, group, members.len()), members));
        let mut scored: Vec<(f64, &[Place])> = scored.collect();
        scored.sort_by(|(left, _), (right, _)| right.total_cmp(left));
        Self {
            store,
            key,
            groups: scored.into_iter().map(|(_, members)| members).collect(),
            present: Vec::new(),
        }
    }
}

impl<'a> Iterator for RankedInstances<'a> {
    type Item = &'a Instance;

    fn next(&mut self) -> Option<&'a Instance> {
        while self.present.is_empty() {
            let members = self.groups.pop()?.iter();
            let store = self.store;
            self.present = members.filter_map(|place| store.at(*place)).collect();
            let key = self.key;
            self.present
                .sort_by_cached_key(|one| rank(key, &one.listed.id));
        }
        self.present.pop()
    }
}

/// The score of a group for a key; the least comes first. The chance to be first goes with the
/// number of members (weighted rendezvous hashing), so that each back end has the same.
fn group_score(key: u64, group: usize, members: usize) -> f64 {
    let mut hasher = DefaultHasher::new();
    ("group", key, group).hash(&mut hasher);
    let lot = (hasher.finish() as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -lot.ln() / members as f64
}
