//! How a new version of the list is taken in: what differs from the one before, and nothing else.

use super::list_news::{ListNews, ListedState};
use super::{Instance, InstanceId, InstanceTable};
use crate::ports::BackendListEntry;
use silversail_peer::{BackendListEntries, EntryChange};
use std::sync::Arc;

impl InstanceTable {
    /// Takes in a whole list. True when something changed.
    pub fn replace(&mut self, listed: &[BackendListEntry]) -> bool {
        self.follow(&listed.iter().cloned().collect())
    }

    /// Takes in a version of the list. True when something changed. Costs as much as it has not
    /// in common with the version before.
    pub fn follow(&mut self, listed: &BackendListEntries) -> bool {
        let before = std::mem::replace(&mut self.followed, listed.clone());
        let mut news = ListNews::default();
        let mut gone = Vec::new();
        for change in before.changes_to(listed) {
            match change {
                EntryChange::Upserted(entry) => self.take_entry(entry, &mut news),
                EntryChange::Removed(id) => gone.push(id),
            }
        }
        // Later, as a start that the list lacks may hide one that it names.
        for id in gone {
            self.drop_entry(id, &mut news);
        }
        news.tell(&self.log)
    }

    /// The version of the list that was taken in last.
    pub fn followed(&self) -> &BackendListEntries {
        &self.followed
    }

    fn take_entry(&mut self, entry: &Arc<BackendListEntry>, news: &mut ListNews) {
        if let Some(later) = self.later_start(entry) {
            // Another node read a list that lags: the back end has started again since.
            self.hidden.insert(entry.id.clone(), later);
            return;
        }
        self.hidden.remove(&entry.id);
        match self.instances.remove(&entry.id) {
            Some(known) => self.update(known, entry, news),
            None => self.add(entry, news),
        }
    }

    fn update(&mut self, mut known: Instance, entry: &Arc<BackendListEntry>, news: &mut ListNews) {
        if is_in_other_state(&known.listed, entry) {
            news.note(entry, ListedState::of(entry));
        }
        if known.listed.address != entry.address {
            news.note_change();
            known.misplaced_until = 0;
        }
        known.listed = entry.clone();
        self.put(known);
    }

    fn add(&mut self, entry: &Arc<BackendListEntry>, news: &mut ListNews) {
        news.note(entry, ListedState::of(entry));
        self.hide_earlier_start(entry, news);
        self.gone.retain(|id| *id != entry.id);
        let notice = self.notices.listed(&entry.id);
        let plan = self.returns.plan_for(&self.own_node, &entry.id);
        self.put(Instance::new(entry.clone(), notice, plan));
    }

    fn put(&mut self, mut instance: Instance) {
        let listed = &instance.listed;
        instance.is_evacuated = self.evacuated.contains(&listed.zone);
        instance.role = self.roles.of(&listed.service, &listed.version);
        let place = self.instances.insert(instance);
        self.changed.push(place);
    }

    /// The back end that started later under an entry's name, where one is known.
    fn later_start(&self, entry: &BackendListEntry) -> Option<InstanceId> {
        if entry.started_at_ms.is_none() || self.instances.place_of(&entry.id).is_some() {
            return None;
        }
        let present = &self.instances.named(&entry.name)?.listed;
        (present.started_at_ms > entry.started_at_ms).then(|| present.id.clone())
    }

    /// Of two starts under one name, as a list tells both while its pages are read, the earlier
    /// is gone.
    fn hide_earlier_start(&mut self, entry: &BackendListEntry, news: &mut ListNews) {
        if entry.started_at_ms.is_none() {
            return;
        }
        let earlier = self.instances.named(&entry.name);
        let Some(earlier) = earlier.map(|one| one.listed.clone()) else {
            return;
        };
        self.remove_instance(&earlier, news);
        for later in self.hidden.values_mut().filter(|id| **id == earlier.id) {
            *later = entry.id.clone();
        }
        if self.followed.get(&earlier.id).is_some() {
            self.hidden.insert(earlier.id.clone(), entry.id.clone());
        }
    }

    fn drop_entry(&mut self, id: &str, news: &mut ListNews) {
        let Some(later) = self.hidden.remove(id) else {
            self.remove_unless_hiding(id, news);
            return;
        };
        if self.followed.get(&later).is_none() {
            self.remove_unless_hiding(&later, news);
        }
    }

    /// Takes out a back end that the list does not name, unless it names an earlier start of it.
    fn remove_unless_hiding(&mut self, id: &str, news: &mut ListNews) {
        let is_hiding = self.hidden.values().any(|later| later == id);
        let listed = self.instances.get(id).map(|one| one.listed.clone());
        if let Some(listed) = listed.filter(|_| !is_hiding) {
            self.remove_instance(&listed, news);
        }
    }

    fn remove_instance(&mut self, listed: &BackendListEntry, news: &mut ListNews) {
        self.instances.remove(&listed.id);
        self.gone.push(listed.id.clone());
        news.note(listed, ListedState::Gone);
    }
}

/// Whether a list tells another state, or another version, of a back end than one before.
fn is_in_other_state(before: &BackendListEntry, after: &BackendListEntry) -> bool {
    before.draining != after.draining
        || before.cold != after.cold
        || before.version != after.version
}
