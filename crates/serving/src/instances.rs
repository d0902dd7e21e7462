//! The back ends and what this node believes of each.

mod found;
mod hashed_index;
mod instance;
mod list_news;
mod listing;
mod returns;
mod store;
mod versions;

use crate::cold::ColdSenders;
use crate::notices::BackendNotices;
use crate::ports::{BackendListEntry, ReportedLoad};
use crate::rollouts::VersionRoles;
use crate::Millis;
pub use instance::Instance;
pub use returns::ReturnPolicy;
use silversail_decisions::{DecisionLog, Event};
use silversail_model::traffic::ColdSpec;
use silversail_peer::BackendListEntries;
use std::collections::{BTreeMap, BTreeSet};
use store::{InstanceStore, Place};
use versions::KnownVersions;

/// How long a back end that could not be reached, or broke off, is passed over
/// after the first failure, in milliseconds; each further one doubles it.
const SUSPECT_FOR: Millis = 500;
/// Most doublings of it.
const MAX_DOUBLINGS: u32 = 4;
/// How long a back end that said it is full is passed over, in milliseconds.
const FULL_FOR: Millis = 150;

/// How long the back ends of a zone that was evacuated count as cold when it is used again, in
/// milliseconds: the list that says whether they are is 0.8 s old, is read each 0.7 to 0.9 s
/// and spreads within a heartbeat.
const PRESUMED_COLD_FOR: Millis = 2_500;

/// For how long a back end counts as gone after another one answered at its address, in
/// milliseconds. Lists lag by 0.8 s and go on to name a crashed back end for some seconds; a back
/// end that is there all the same costs one request in that time.
const MISPLACED_FOR: Millis = 10_000;

/// Identity of one start of a back end.
pub type InstanceId = String;

/// All back ends that the list names.
pub struct InstanceTable {
    instances: InstanceStore,
    /// The list that was taken in last.
    followed: BackendListEntries,
    /// Starts that the list names and that are no back ends any more, as the back end of that
    /// name has started again since: the earlier start, and the later one.
    hidden: BTreeMap<InstanceId, InstanceId>,
    /// Back ends that came or changed since versions were last held back.
    changed: Vec<Place>,
    /// Back ends that went since what they said was last looked at.
    gone: Vec<InstanceId>,
    evacuated: BTreeSet<String>,
    roles: VersionRoles,
    known_versions: KnownVersions,
    cold_senders: ColdSenders,
    notices: BackendNotices,
    returns: ReturnPolicy,
    own_node: String,
    log: DecisionLog,
}

impl InstanceTable {
    /// A table without back ends.
    pub fn new(log: DecisionLog) -> Self {
        let notices = BackendNotices::new(log.clone());
        Self::with_notices(notices, log)
    }

    /// A table without back ends, which obeys what they say by `notices`.
    pub fn with_notices(notices: BackendNotices, log: DecisionLog) -> Self {
        Self {
            notices,
            returns: ReturnPolicy::default(),
            own_node: String::new(),
            instances: InstanceStore::default(),
            followed: BackendListEntries::default(),
            hidden: BTreeMap::new(),
            changed: Vec::new(),
            gone: Vec::new(),
            evacuated: BTreeSet::new(),
            roles: VersionRoles::default(),
            known_versions: KnownVersions::default(),
            cold_senders: ColdSenders::default(),
            log,
        }
    }

    /// What the back ends said of themselves.
    pub fn notices(&self) -> &BackendNotices {
        &self.notices
    }

    /// Forgets what back ends said that no list has named for long.
    pub fn forget_gone(&mut self, now: Millis) {
        for id in self.gone.drain(..) {
            self.notices.unlisted(&id, now);
        }
        self.notices.forget_unlisted(now);
    }

    /// Takes which zones are evacuated from now on.
    pub fn set_evacuated(&mut self, zones: BTreeSet<String>, now: Millis) {
        self.evacuated = zones;
        for instance in self.instances.iter_mut() {
            let is_evacuated = self.evacuated.contains(&instance.listed.zone);
            if instance.is_evacuated && !is_evacuated {
                instance.presumed_cold_until = now + PRESUMED_COLD_FOR;
            }
            instance.is_evacuated = is_evacuated;
        }
    }

    /// Takes what the back ends of each service bear while they are cold.
    pub fn set_cold_specs(&mut self, specs: BTreeMap<String, ColdSpec>) {
        self.cold_senders.set_specs(specs);
    }

    /// Takes the nodes that send requests, and which of them this is.
    pub fn set_senders(&mut self, own: &str, nodes: Vec<String>) {
        self.cold_senders.set_nodes(own, nodes);
        if self.own_node != own {
            self.own_node = own.to_owned();
            self.plan_returns();
        }
    }

    /// Takes how this node comes back to back ends after rests.
    pub fn set_returns(&mut self, returns: ReturnPolicy) {
        self.returns = returns;
        self.plan_returns();
    }

    fn plan_returns(&mut self) {
        for instance in self.instances.iter_mut() {
            let id = &instance.listed.id;
            instance.return_plan = self.returns.plan_for(&self.own_node, id);
        }
    }

    /// Whether a back end is cold and its service has limits for that.
    pub fn is_limited(&self, instance: &Instance, now: Millis) -> bool {
        instance.is_cold(now) && self.cold_senders.applies_to(&instance.listed.service)
    }

    /// Whether this node may send to a back end by what it bears: to a cold one within this
    /// node's part of it.
    pub fn bears_another(&self, instance: &Instance, now: Millis) -> bool {
        let listed = &instance.listed;
        let sent_at = instance.sent_cold_at;
        let senders = &self.cold_senders;
        !instance.is_cold(now) || senders.may_send(&listed.service, &listed.id, sent_at, now)
    }

    /// How many back ends get no work as their zone is evacuated.
    pub fn evacuated_count(&self) -> usize {
        let all = self.instances.iter();
        all.filter(|one| one.is_evacuated).count()
    }

    fn record(&self, listed: &BackendListEntry, state: &str, source: &str) {
        self.log.record(Event::Backend {
            backend: listed.id.clone(),
            service: listed.service.clone(),
            version: listed.version.clone(),
            state: state.to_owned(),
            source: source.to_owned(),
        });
    }

    /// A request of `tokens` tokens leaves for a back end.
    pub fn sent(&mut self, id: &str, tokens: u64, now: Millis) {
        if let Some(instance) = self.instances.get_mut(id) {
            if instance.is_cold(now) {
                instance.sent_cold_at = Some(now);
            }
            if instance.notice.is_unproven(now) {
                instance.first_sent_after_rest_at = Some(now);
            }
            instance.choose_permit(now);
            instance.in_flight += 1;
            instance.tokens_in_flight += tokens;
            instance.sent_since_report += 1;
        }
    }

    /// A request that was sent has ended.
    pub fn ended(&mut self, id: &str, tokens: u64) {
        if let Some(instance) = self.instances.get_mut(id) {
            instance.in_flight = instance.in_flight.saturating_sub(1);
            instance.tokens_in_flight = instance.tokens_in_flight.saturating_sub(tokens);
        }
    }

    /// A back end told its load.
    pub fn reported(&mut self, id: &str, load: ReportedLoad, now: Millis) {
        if let Some(instance) = self.instances.get_mut(id) {
            instance.load = Some((load, now));
            instance.sent_since_report = 0;
        }
    }

    /// A back end answered a request.
    pub fn answered(&mut self, id: &str) {
        let Some(instance) = self.instances.get_mut(id) else {
            return;
        };
        instance.suspect_until = 0;
        if std::mem::take(&mut instance.failures) > 0 {
            let listed = instance.listed.clone();
            self.record(&listed, "trusted", "answer");
        }
    }

    /// A back end could not be reached or broke off.
    pub fn failed(&mut self, id: &str, now: Millis, why: &str) {
        let Some(instance) = self.instances.get_mut(id) else {
            return;
        };
        instance.failures += 1;
        let doublings = (instance.failures - 1).min(MAX_DOUBLINGS);
        instance.suspect_until = now + (SUSPECT_FOR << doublings);
        let listed = instance.listed.clone();
        self.record(&listed, "suspect", why);
    }

    /// A back end said that it is full.
    pub fn full(&mut self, id: &str, now: Millis) {
        let Some(instance) = self.instances.get_mut(id) else {
            return;
        };
        instance.full_until = now + FULL_FOR;
        let listed = instance.listed.clone();
        self.record(&listed, "full", "answer");
    }

    /// Another back end answered at a back end's address. A list that lags does not take it back.
    pub fn misplaced(&mut self, id: &str, now: Millis) {
        if let Some(instance) = self.instances.get_mut(id) {
            instance.misplaced_until = now + MISPLACED_FOR;
            let listed = instance.listed.clone();
            self.record(&listed, "gone", "answer");
        }
    }
}
