//! The back ends and what this node believes of each.

mod instance;
mod returns;
mod versions;

use crate::cold::ColdSenders;
use crate::notices::BackendNotices;
use crate::ports::{ListedInstance, ReportedLoad};
use crate::rollouts::VersionRoles;
use crate::Millis;
pub use instance::Instance;
pub use returns::ReturnPolicy;
use silversail_decisions::{DecisionLog, Event};
use silversail_model::traffic::ColdSpec;
use silversail_model::Shard;
use silversail_peer::ResultHandle;
use std::collections::{BTreeMap, BTreeSet};
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

/// Whether a list tells another state, or another version, of a back end than one before.
fn is_in_other_state(before: &ListedInstance, after: &ListedInstance) -> bool {
    before.draining != after.draining
        || before.cold != after.cold
        || before.version != after.version
}

/// All back ends that the list names.
pub struct InstanceTable {
    instances: BTreeMap<InstanceId, Instance>,
    by_service: BTreeMap<String, Vec<InstanceId>>,
    by_address: BTreeMap<String, InstanceId>,
    /// Those whose start is known, with it, by their names.
    by_name: BTreeMap<String, (InstanceId, u64)>,
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
            instances: BTreeMap::new(),
            by_service: BTreeMap::new(),
            by_address: BTreeMap::new(),
            by_name: BTreeMap::new(),
            evacuated: BTreeSet::new(),
            roles: VersionRoles::default(),
            known_versions: KnownVersions::default(),
            cold_senders: ColdSenders::default(),
            log,
        }
    }

    /// Takes in a whole list. True when something changed.
    pub fn replace(&mut self, listed: &[ListedInstance]) -> bool {
        let mut next = BTreeMap::new();
        let mut changed = false;
        let mut has_other_members = false;
        for entry in listed {
            if let Some(later) = self.later_start(entry) {
                // Another node read a list that lags: the back end has started again since.
                if let Some(known) = self.instances.remove(&later) {
                    next.insert(later, known);
                }
                continue;
            }
            let mut instance = match self.instances.remove(&entry.id) {
                Some(mut known) => {
                    if is_in_other_state(&known.listed, entry) {
                        changed = true;
                        self.note(entry);
                    }
                    if known.listed.address != entry.address {
                        has_other_members = true;
                        known.misplaced_until = 0;
                    }
                    if known.listed != *entry {
                        known.listed = entry.clone();
                    }
                    known
                }
                None => {
                    has_other_members = true;
                    self.note(entry);
                    let notice = self.notices.of(&entry.id);
                    let plan = self.returns.plan_for(&self.own_node, &entry.id);
                    Instance::new(entry.clone(), notice, plan)
                }
            };
            instance.is_evacuated = self.evacuated.contains(&instance.listed.zone);
            instance.role = self.roles.of(&entry.service, &entry.version);
            next.insert(instance.listed.id.clone(), instance);
        }
        let gone = std::mem::replace(&mut self.instances, next);
        for instance in gone.values() {
            has_other_members = true;
            self.record(&instance.listed, "gone", "list");
        }
        if has_other_members {
            self.drop_earlier_starts();
            self.index();
        }
        changed || has_other_members
    }

    /// The back end that started later under an entry's name, where one is known. Cheap for
    /// entries that are known themselves, which nearly all are.
    fn later_start(&self, entry: &ListedInstance) -> Option<InstanceId> {
        if entry.born.is_none() || self.instances.contains_key(&entry.id) {
            return None;
        }
        let (present, born) = self.by_name.get(&entry.name)?;
        (Some(*born) > entry.born).then(|| present.clone())
    }

    /// Of two starts under one name, as a list tells both while its pages are read, the earlier
    /// is gone.
    fn drop_earlier_starts(&mut self) {
        let mut latest: BTreeMap<&str, u64> = BTreeMap::new();
        for one in self.instances.values().map(|one| &one.listed) {
            if let Some(born) = one.born {
                let latest = latest.entry(&one.name).or_insert(born);
                *latest = born.max(*latest);
            }
        }
        let is_earlier = |one: &ListedInstance| one.born < latest.get(&*one.name).copied();
        let earlier: Vec<InstanceId> = self
            .instances
            .iter()
            .filter(|(_, one)| is_earlier(&one.listed))
            .map(|(id, _)| id.clone())
            .collect();
        for id in earlier {
            self.instances.remove(&id);
        }
    }

    /// What the back ends said of themselves.
    pub fn notices(&self) -> &BackendNotices {
        &self.notices
    }

    /// Forgets what back ends said that no list has named for long.
    pub fn forget_gone(&self, now: Millis) {
        let listed = self.instances.keys().map(String::as_str).collect();
        self.notices.set_listed(&listed, now);
    }

    /// Takes which zones are evacuated from now on.
    pub fn set_evacuated(&mut self, zones: BTreeSet<String>, now: Millis) {
        self.evacuated = zones;
        for instance in self.instances.values_mut() {
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
        for (id, instance) in &mut self.instances {
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
        let all = self.instances.values();
        all.filter(|one| one.is_evacuated).count()
    }

    fn note(&self, listed: &ListedInstance) {
        let state = match (listed.draining, listed.cold) {
            (true, _) => "draining",
            (false, true) => "cold",
            (false, false) => "ready",
        };
        self.record(listed, state, "list");
    }

    fn record(&self, listed: &ListedInstance, state: &str, source: &str) {
        self.log.record(Event::Backend {
            backend: listed.id.clone(),
            service: listed.service.clone(),
            version: listed.version.clone(),
            state: state.to_owned(),
            source: source.to_owned(),
        });
    }

    fn index(&mut self) {
        self.by_service.clear();
        self.by_address.clear();
        self.by_name.clear();
        for (id, instance) in &self.instances {
            let service = instance.listed.service.clone();
            self.by_service.entry(service).or_default().push(id.clone());
            let address = instance.listed.address.clone();
            self.by_address.entry(address).or_insert(id.clone());
            if let Some(born) = instance.listed.born {
                let name = instance.listed.name.clone();
                self.by_name.insert(name, (id.clone(), born));
            }
        }
    }

    /// Back ends of a service.
    pub fn of_service<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a Instance> {
        let ids = self.by_service.get(service).into_iter().flatten();
        ids.filter_map(|id| self.instances.get(id))
    }

    /// Back ends of a shard of a batched service.
    pub fn of_shard<'a>(&'a self, shard: &'a Shard) -> impl Iterator<Item = &'a Instance> {
        let of_service = self.of_service(&shard.service);
        of_service.filter(|one| shard.holds(&one.listed.zone))
    }

    /// A back end.
    pub fn get(&self, id: &str) -> Option<&Instance> {
        self.instances.get(id)
    }

    /// The back end at an address.
    pub fn at_address(&self, address: &str) -> Option<&Instance> {
        self.instances.get(self.by_address.get(address)?)
    }

    /// The back end that holds a result: a handle begins with its address.
    pub fn holder(&self, handle: &ResultHandle) -> Option<&Instance> {
        let address = handle.0.split('/').next()?;
        self.at_address(address)
    }

    /// Names of all services that have back ends.
    pub fn services(&self) -> impl Iterator<Item = &String> {
        self.by_service.keys()
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
