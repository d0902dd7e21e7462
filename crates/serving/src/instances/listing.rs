//! Application of a new version of the list: only the differences from the previous one.

use super::list_changes::{ListChanges, ListedState};
use super::{is_brittle_sender, Instance, InstanceId, InstanceTable};
use crate::notices::BackendNotice;
use crate::ports::BackendListEntry;
use silversail_peer::{BackendListEntries, EntryChange};
use std::sync::Arc;

impl InstanceTable {
    /// Applies a complete list. True if anything changed.
    pub fn replace_list(&mut self, listed: &[BackendListEntry]) -> bool {
        self.apply_list(&listed.iter().cloned().collect())
    }

    /// Applies a version of the list. True if anything changed. Takes time proportional to the
    /// differences from the previous version.
    pub fn apply_list(&mut self, listed: &BackendListEntries) -> bool {
        let before = std::mem::replace(&mut self.applied, listed.clone());
        let mut changes = ListChanges::default();
        let mut removed = Vec::new();
        for change in before.changes_to(listed) {
            match change {
                EntryChange::Upserted(entry) => self.apply_entry(entry, &mut changes),
                EntryChange::Removed(id) => removed.push(id),
            }
        }
        // Removals come last: a removed process may be the earlier one of a back end that is
        // still listed.
        for id in removed {
            self.remove_entry(id, &mut changes);
        }
        changes.write_to(&self.log)
    }

    /// The version of the list that was applied last.
    pub fn applied_list(&self) -> &BackendListEntries {
        &self.applied
    }

    fn apply_entry(&mut self, entry: &Arc<BackendListEntry>, changes: &mut ListChanges) {
        if let Some(later) = self.later_start(entry) {
            // The list is stale: the back end has restarted since.
            self.superseded.insert(entry.id.clone(), later);
            return;
        }
        self.superseded.remove(&entry.id);
        match self.instances.remove(&entry.id) {
            Some(known) => self.update(known, entry, changes),
            None => self.add(entry, changes),
        }
    }

    fn update(
        &mut self,
        mut known: Instance,
        entry: &Arc<BackendListEntry>,
        changes: &mut ListChanges,
    ) {
        if is_in_other_state(&known.listed, entry) {
            changes.record(entry, ListedState::of(entry));
        }
        if known.listed.address != entry.address {
            changes.record_unlogged_change();
            known.address_mismatch_until = 0;
        }
        known.listed = entry.clone();
        self.put(known);
    }

    fn add(&mut self, entry: &Arc<BackendListEntry>, changes: &mut ListChanges) {
        changes.record(entry, ListedState::of(entry));
        self.hide_earlier_start(entry, changes);
        self.removed.retain(|id| *id != entry.id);
        let notice = self.notices.mark_listed(&entry.id);
        if self.notices.has_brittle() {
            self.inherit_brittleness(&entry.service, &notice);
        }
        let plan = self.resume_policy.plan_for(&self.local_node, &entry.id);
        let mut instance = Instance::new(entry.clone(), notice, plan);
        instance.senders = self.senders;
        instance.is_brittle_sender = is_brittle_sender(&self.sender_nodes, self.senders, entry);
        self.put(instance);
    }

    /// Applies the brittleness of a service to a back end that has not reported yet. The back ends of
    /// a service are brittle together, and so is the next start of one that failed.
    fn inherit_brittleness(&self, service: &str, notice: &BackendNotice) {
        let mut others = self.of_service(service).map(|other| &other.notice);
        if let Some(brittle) = others.find(|other| other.is_brittle()) {
            notice.inherit_brittleness(brittle);
        }
    }

    fn put(&mut self, mut instance: Instance) {
        let listed = &instance.listed;
        instance.is_evacuated = self.evacuated.contains(&listed.zone);
        instance.role = self.roles.of(&listed.service, &listed.version);
        let slot = self.instances.insert(instance);
        self.changed.push(slot);
    }

    /// The later process of the same back end, if one is known.
    fn later_start(&self, entry: &BackendListEntry) -> Option<InstanceId> {
        if entry.started_at_ms.is_none() || self.instances.slot_of(&entry.id).is_some() {
            return None;
        }
        let present = &self.instances.process_with_name(&entry.name)?.listed;
        (present.started_at_ms > entry.started_at_ms).then(|| present.id.clone())
    }

    /// Hides the earlier of two processes of a back end. A list that is read page by page may
    /// name both.
    fn hide_earlier_start(&mut self, entry: &BackendListEntry, changes: &mut ListChanges) {
        if entry.started_at_ms.is_none() {
            return;
        }
        let earlier = self.instances.process_with_name(&entry.name);
        let Some(earlier) = earlier.map(|instance| instance.listed.clone()) else {
            return;
        };
        self.remove_instance(&earlier, changes);
        for later in self.superseded.values_mut().filter(|id| **id == earlier.id) {
            *later = entry.id.clone();
        }
        if self.applied.get(&earlier.id).is_some() {
            self.superseded.insert(earlier.id.clone(), entry.id.clone());
        }
    }

    fn remove_entry(&mut self, id: &str, changes: &mut ListChanges) {
        let Some(later) = self.superseded.remove(id) else {
            self.remove_if_unlisted(id, changes);
            return;
        };
        if self.applied.get(&later).is_none() {
            self.remove_if_unlisted(&later, changes);
        }
    }

    /// Removes a back end that the list does not name, unless the list names an earlier process
    /// of it.
    fn remove_if_unlisted(&mut self, id: &str, changes: &mut ListChanges) {
        let hides_listed_entry = self.superseded.values().any(|later| later == id);
        let listed = self
            .instances
            .get(id)
            .map(|instance| instance.listed.clone());
        if let Some(listed) = listed.filter(|_| !hides_listed_entry) {
            self.remove_instance(&listed, changes);
        }
    }

    fn remove_instance(&mut self, listed: &BackendListEntry, changes: &mut ListChanges) {
        self.instances.remove(&listed.id);
        self.removed.push(listed.id.clone());
        changes.record(listed, ListedState::Removed);
    }
}

/// Whether the state or version of a back end differs between two lists.
fn is_in_other_state(before: &BackendListEntry, after: &BackendListEntry) -> bool {
    before.draining != after.draining
        || before.cold != after.cold
        || before.version != after.version
}
