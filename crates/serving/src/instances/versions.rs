//! Versions of back ends: their role in a rollout, and new versions that no rollout order names
//! yet.

use super::store::SlotIndex;
use super::InstanceTable;
use crate::rollouts::{VersionRole, VersionRoles};
use crate::Millis;
use silversail_decisions::Event;
use silversail_peer::SeenVersions;
use std::collections::{BTreeMap, BTreeSet};

/// How long a new version beside known ones gets no requests while no rollout order names it, in
/// milliseconds. Its back ends may start before the order is known here, and would get an even
/// share of the traffic until then. Where no other back end is usable they get requests at once.
/// Within this time an order is acknowledged or rejected, and known to all nodes.
const HOLD_BACK_DURATION: Millis = 5_000;

/// Known versions by service, each with the time from which it may get requests without a
/// rollout order.
#[derive(Default)]
pub(super) struct KnownVersions {
    by_service: BTreeMap<String, BTreeMap<String, Millis>>,
}

impl KnownVersions {
    /// Adds the listed versions of a service. Returns the new ones that are held back because
    /// another version was already known.
    fn take<'a>(&mut self, service: &str, listed: &BTreeSet<&'a str>, now: Millis) -> Vec<&'a str> {
        if !self.by_service.contains_key(service) {
            self.by_service.insert(service.to_owned(), BTreeMap::new());
        }
        let Some(known) = self.by_service.get_mut(service) else {
            return Vec::new();
        };
        let is_beside_known = listed.iter().any(|version| known.contains_key(*version));
        let new = listed.iter().copied();
        let new: Vec<&str> = new
            .filter(|version| !known.contains_key(*version))
            .collect();
        let allowed_from = if is_beside_known {
            now + HOLD_BACK_DURATION
        } else {
            now
        };
        for version in &new {
            known.insert((*version).to_owned(), allowed_from);
        }
        if is_beside_known {
            new
        } else {
            Vec::new()
        }
    }

    fn allowed_from(&self, service: &str, version: &str) -> Millis {
        let known = self.by_service.get(service);
        let allowed_from = known.and_then(|versions| versions.get(version));
        allowed_from.copied().unwrap_or_default()
    }
}

/// Since when each service has had one version only.
#[derive(Default)]
pub(super) struct VersionHistory {
    by_service: BTreeMap<String, SoleVersion>,
}

struct SoleVersion {
    /// Whether the latest list has several versions.
    is_several: bool,
    /// Whether an earlier list had several.
    was_several: bool,
    since: Millis,
}

impl InstanceTable {
    /// Records which services have several versions. Has to be called after each list.
    pub fn record_version_history(&mut self, now: Millis) {
        let services: Vec<String> = self.services().cloned().collect();
        for service in services {
            let is_several = self.versions_of(&service).nth(1).is_some();
            let history = &mut self.version_history.by_service;
            let known = history.entry(service).or_insert(SoleVersion {
                is_several,
                was_several: false,
                since: now,
            });
            if known.is_several || is_several {
                known.since = now;
                known.was_several = true;
            }
            known.is_several = is_several;
        }
    }

    /// Versions of a service that this node has seen in the last `period` milliseconds.
    pub fn seen_versions(&self, service: &str, period: Millis, now: Millis) -> SeenVersions {
        let Some(known) = self.version_history.by_service.get(service) else {
            return SeenVersions::Unsettled;
        };
        let is_settled = now.saturating_sub(known.since) >= period;
        match (known.is_several, self.versions_of(service).next()) {
            (true, _) => SeenVersions::Several,
            (false, Some(version)) if is_settled => SeenVersions::Sole(version.to_owned()),
            (false, _) if known.was_several && !is_settled => SeenVersions::Several,
            (false, _) => SeenVersions::Unsettled,
        }
    }

    fn versions_of<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a str> {
        let index = self.instances.service(service);
        index.into_iter().flat_map(|index| index.versions())
    }

    /// Sets the role of each version. Role changes of listed versions go into the decision log.
    pub fn set_version_roles(&mut self, roles: VersionRoles) {
        self.roles = roles;
        let mut changed = BTreeSet::new();
        for instance in self.instances.iter_mut() {
            let listed = &instance.listed;
            let role = self.roles.of(&listed.service, &listed.version);
            if std::mem::replace(&mut instance.role, role) != role {
                changed.insert((listed.service.clone(), listed.version.clone(), role.name()));
            }
        }
        for (service, version, role) in changed {
            self.record_role(&service, &version, role);
        }
    }

    /// Holds back versions that have appeared since the last list and that no rollout order
    /// names. Has to be called after each list.
    pub fn hold_back_new_versions(&mut self, now: Millis) {
        let changed = std::mem::take(&mut self.changed);
        let instance_at = |slot: &SlotIndex| self.instances.at(*slot);
        let services = changed.iter().filter_map(instance_at);
        let services: BTreeSet<String> = services
            .map(|instance| instance.listed.service.clone())
            .collect();
        for service in services {
            self.hold_back_new_versions_of(&service, now);
        }
        for slot in changed {
            if let Some(instance) = self.instances.at_mut(slot) {
                let listed = &instance.listed;
                let known = &self.known_versions;
                instance.held_back_until = known.allowed_from(&listed.service, &listed.version);
            }
        }
    }

    fn hold_back_new_versions_of(&mut self, service: &str, now: Millis) {
        let Some(index) = self.instances.service(service) else {
            return;
        };
        let listed = index.versions().collect();
        let new = self.known_versions.take(service, &listed, now);
        let roles = &self.roles;
        let without_order = new
            .into_iter()
            .filter(|version| roles.of(service, version) == VersionRole::Ordinary);
        for version in without_order {
            self.record_role(service, version, "held_back");
        }
    }

    /// Number of this node's requests in flight at a service's baseline.
    pub fn in_flight_at_baseline(&self, service: &str) -> u64 {
        let of_service = self.of_service(service);
        let baseline = of_service.filter(|instance| instance.role == VersionRole::Baseline);
        baseline.map(|instance| u64::from(instance.in_flight)).sum()
    }

    fn record_role(&self, service: &str, version: &str, role: &str) {
        self.log.record(Event::VersionRole {
            service: service.to_owned(),
            version: version.to_owned(),
            role: role.to_owned(),
        });
    }
}
