//! The table of back ends, with their load and health as this node sees them.

mod hashed_index;
mod instance;
mod list_changes;
mod listing;
mod lookup;
mod resume;
mod store;
mod versions;

use crate::cold::ColdSenders;
use crate::notices::BackendNotices;
use crate::ports::{BackendListEntry, ReportedLoad};
use crate::rollouts::VersionRoles;
use crate::senders::{SenderLimit, SenderNodes};
use crate::Millis;
pub use instance::Instance;
pub use resume::ResumePolicy;
use silversail_decisions::{DecisionLog, Event};
use silversail_model::traffic::ColdSpec;
use silversail_peer::BackendListEntries;
use std::collections::{BTreeMap, BTreeSet};
use store::{InstanceStore, SlotIndex};
use versions::{KnownVersions, VersionHistory};

/// How long a back end is ejected after its first connection failure, in milliseconds; doubles
/// with each further failure.
const SUSPECT_FOR: Millis = 500;
/// Maximum number of times that `SUSPECT_FOR` doubles.
const MAX_DOUBLINGS: u32 = 4;
/// How long a back end that reported itself full gets no requests, in milliseconds.
const FULL_FOR: Millis = 150;

/// How long the back ends of a zone count as cold after its evacuation ends, in milliseconds.
/// Covers the delay until the list tells whether they are cold. The list is up to 0.8 s old, and
/// is read and distributed about once per second.
const ASSUMED_COLD_FOR: Millis = 2_500;

/// How long a back end counts as gone after another one answered at its address, in milliseconds.
/// Covers the time for which the list still names a crashed back end. A wrong assumption costs one
/// request in that time.
const ADDRESS_MISMATCH_FOR: Millis = 10_000;

/// Identity of one process of a back end; a restart gets a new one.
pub type InstanceId = String;

/// The back ends that the list names, with their load and health.
pub struct InstanceTable {
    instances: InstanceStore,
    /// The list that was applied last.
    applied: BackendListEntries,
    /// Listed processes of back ends that have restarted since: the earlier process, and the
    /// later one.
    superseded: BTreeMap<InstanceId, InstanceId>,
    /// Back ends added or changed since new versions were last held back.
    changed: Vec<SlotIndex>,
    /// Back ends removed since their notices were last marked as unlisted.
    removed: Vec<InstanceId>,
    evacuated: BTreeSet<String>,
    roles: VersionRoles,
    known_versions: KnownVersions,
    version_history: VersionHistory,
    cold_senders: ColdSenders,
    sender_nodes: SenderNodes,
    notices: BackendNotices,
    resume_policy: ResumePolicy,
    local_node: String,
    /// Number of nodes that send requests.
    senders: u32,
    log: DecisionLog,
}

impl InstanceTable {
    /// Creates an empty table with notices of its own.
    pub fn new(log: DecisionLog) -> Self {
        let notices = BackendNotices::new(log.clone());
        Self::with_notices(notices, log)
    }

    /// Creates an empty table that follows the self-reports of back ends in `notices`.
    pub fn with_notices(notices: BackendNotices, log: DecisionLog) -> Self {
        Self {
            notices,
            resume_policy: ResumePolicy::default(),
            local_node: String::new(),
            senders: 1,
            instances: InstanceStore::default(),
            applied: BackendListEntries::default(),
            superseded: BTreeMap::new(),
            changed: Vec::new(),
            removed: Vec::new(),
            evacuated: BTreeSet::new(),
            roles: VersionRoles::default(),
            known_versions: KnownVersions::default(),
            version_history: VersionHistory::default(),
            cold_senders: ColdSenders::default(),
            sender_nodes: SenderNodes::default(),
            log,
        }
    }

    /// The self-reports of the back ends.
    pub fn notices(&self) -> &BackendNotices {
        &self.notices
    }

    /// Removes the self-reports of back ends that have been unlisted for long.
    pub fn forget_removed(&mut self, now: Millis) {
        for id in self.removed.drain(..) {
            self.notices.mark_unlisted(&id, now);
        }
        self.notices.remove_unlisted(now);
    }

    /// Replaces the set of evacuated zones.
    pub fn set_evacuated(&mut self, zones: BTreeSet<String>, now: Millis) {
        self.evacuated = zones;
        for instance in self.instances.iter_mut() {
            let is_evacuated = self.evacuated.contains(&instance.listed.zone);
            if instance.is_evacuated && !is_evacuated {
                instance.assumed_cold_until = now + ASSUMED_COLD_FOR;
            }
            instance.is_evacuated = is_evacuated;
        }
    }

    /// Replaces the limits for cold back ends, by service.
    pub fn set_cold_specs(&mut self, specs: BTreeMap<String, ColdSpec>) {
        self.cold_senders.set_specs(specs);
    }

    /// Sets the nodes that send requests, and the name of this one.
    pub fn set_senders(&mut self, local_node: &str, nodes: Vec<String>) {
        self.senders = nodes.len().max(1) as u32;
        self.notices.set_senders(local_node, nodes.len());
        for instance in self.instances.iter_mut() {
            instance.senders = self.senders;
        }
        self.sender_nodes.set_nodes(local_node, nodes);
        self.choose_brittle_senders();
        if self.local_node != local_node {
            self.local_node = local_node.to_owned();
            self.plan_resumption();
        }
    }

    /// Chooses the back ends to which this node sends while they are brittle. One with fewer slots
    /// than there are nodes gets requests from as many nodes as it has slots.
    fn choose_brittle_senders(&mut self) {
        for instance in self.instances.iter_mut() {
            let listed = &instance.listed;
            instance.is_brittle_sender =
                is_brittle_sender(&self.sender_nodes, self.senders, listed);
        }
    }

    /// Nodes that may send to a back end while it is brittle.
    pub(crate) fn brittle_senders(&self, instance: &Instance) -> impl Iterator<Item = &str> {
        let listed = &instance.listed;
        let senders = listed.slots.max(1) as usize;
        self.sender_nodes
            .senders(SenderLimit::Brittle, &listed.name, senders)
    }

    /// Sets how this node resumes sending to back ends after a back-off.
    pub fn set_resume_policy(&mut self, resume_policy: ResumePolicy) {
        self.resume_policy = resume_policy;
        self.plan_resumption();
    }

    fn plan_resumption(&mut self) {
        for instance in self.instances.iter_mut() {
            let id = &instance.listed.id;
            instance.resume_plan = self.resume_policy.plan_for(&self.local_node, id);
        }
    }

    /// Whether a back end is cold and its service limits requests to cold ones.
    pub fn is_limited(&self, instance: &Instance, now: Millis) -> bool {
        instance.is_cold(now) && self.cold_senders.applies_to(&instance.listed.service)
    }

    /// Whether this node may send one more request to a back end: always to a warm one, to a
    /// cold one within this node's share of its limit.
    pub fn cold_limit_allows(&self, instance: &Instance, now: Millis) -> bool {
        let listed = &instance.listed;
        let sent_at = instance.sent_cold_at;
        let senders = &self.cold_senders;
        !instance.is_cold(now)
            || senders.may_send(
                &self.sender_nodes,
                &listed.service,
                &listed.id,
                sent_at,
                now,
            )
    }

    /// Number of back ends in evacuated zones.
    pub fn evacuated_count(&self) -> usize {
        let all = self.instances.iter();
        all.filter(|instance| instance.is_evacuated).count()
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

    /// Records that a batch call is sent to a back end.
    pub(crate) fn record_call(&self, id: &str, now: Millis) {
        if let Some(instance) = self.instances.get(id) {
            instance.reserve_permit(now);
            self.notices.record_question(&instance.notice, now);
        }
    }

    /// Records that a request of `tokens` tokens is sent to a back end.
    pub fn record_sent(&mut self, id: &str, tokens: u64, now: Millis) {
        if let Some(instance) = self.instances.get_mut(id) {
            if instance.is_cold(now) {
                instance.sent_cold_at = Some(now);
            }
            if instance.notice.is_unproven(now) {
                instance.probe_sent_at = Some(now);
            }
            instance.reserve_permit(now);
            self.notices.record_question(&instance.notice, now);
            instance.in_flight += 1;
            instance.tokens_in_flight += tokens;
            instance.sent_since_report += 1;
        }
    }

    /// Records that a request has ended.
    pub fn record_ended(&mut self, id: &str, tokens: u64) {
        if let Some(instance) = self.instances.get_mut(id) {
            instance.in_flight = instance.in_flight.saturating_sub(1);
            instance.tokens_in_flight = instance.tokens_in_flight.saturating_sub(tokens);
        }
    }

    /// Records a load report.
    pub fn record_load(&mut self, id: &str, load: ReportedLoad, now: Millis) {
        if let Some(instance) = self.instances.get_mut(id) {
            instance.load = Some((load, now));
            instance.sent_since_report = 0;
        }
    }

    /// Records an answer, which ends an ejection.
    pub fn record_answer(&mut self, id: &str) {
        let Some(instance) = self.instances.get_mut(id) else {
            return;
        };
        instance.suspect_until = 0;
        if std::mem::take(&mut instance.failures) > 0 {
            let listed = instance.listed.clone();
            self.record(&listed, "trusted", "answer");
        }
    }

    /// Records that a back end was unreachable or that a connection to it was lost, and ejects
    /// it for a while.
    pub fn record_failure(&mut self, id: &str, now: Millis, why: &str) {
        let Some(instance) = self.instances.get_mut(id) else {
            return;
        };
        instance.failures += 1;
        let doublings = (instance.failures - 1).min(MAX_DOUBLINGS);
        instance.suspect_until = now + (SUSPECT_FOR << doublings);
        let listed = instance.listed.clone();
        self.record(&listed, "suspect", why);
    }

    /// Ends all ejections because of failures, which were recorded while this node was cut off
    /// from all back ends.
    pub fn forget_failures(&mut self) {
        for instance in self.instances.iter_mut() {
            instance.failures = 0;
            instance.suspect_until = 0;
        }
    }

    /// Records that a back end reported itself full.
    pub fn record_full(&mut self, id: &str, now: Millis) {
        let Some(instance) = self.instances.get_mut(id) else {
            return;
        };
        instance.full_until = now + FULL_FOR;
        let listed = instance.listed.clone();
        self.record(&listed, "full", "answer");
    }

    /// Records that another back end answered at a back end's address. A stale list does not
    /// undo this.
    pub fn record_address_mismatch(&mut self, id: &str, now: Millis) {
        if let Some(instance) = self.instances.get_mut(id) {
            instance.address_mismatch_until = now + ADDRESS_MISMATCH_FOR;
            let listed = instance.listed.clone();
            self.record(&listed, "gone", "answer");
        }
    }
}

/// Whether this node is one of those that send to a back end while it is brittle.
fn is_brittle_sender(nodes: &SenderNodes, node_count: u32, listed: &BackendListEntry) -> bool {
    let slots = listed.slots.max(1);
    slots >= node_count || nodes.is_sender(SenderLimit::Brittle, &listed.name, slots as usize)
}
