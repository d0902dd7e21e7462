//! The relay: serves the sessions of the nodes that selected this voter and, on the leader of the
//! control group, keeps the membership table.

use crate::clock::Clock;
use crate::directory::SharedDirectory;
use crate::outbox::SharedOutbox;
use crate::replica::SharedGroupStatus;
use crate::session::large_updates::{LargeUpdateTracker, UpdateKind};
use crate::session::node_state::BackendListLease;
use crate::session::relay_attributes::WatchedAttributesPush;
use crate::session::relay_backend_list::HeldBackendList;
use crate::session::relay_limits::AnnouncementBudget;
use silversail_consensus::Millis;
use silversail_control::batch_owners::BackendsByZone;
use silversail_control::{
    ClusterView, ControlState, CrashTable, EvacuationRevision, EvidenceTable, MembershipTable,
    NodeReport, RolloutsRevision, TrafficUpdateCache, ViewHistory, ViewUpdate, ViewVersion,
};
use silversail_model::{NodeName, Revision, Topology, TrafficVersion};
use silversail_peer::{
    BackendListHistory, BackendListVersion, PeerMessage, SessionHeartbeat, SessionMessage,
    SessionReply,
};
use silversail_quarantine::{AttributeEvidence, QuarantineRevision};
use stakker::{after, CX};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Interval at which reports are sent to the leader and view changes to the relays.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Time after the last heartbeat at which a session no longer gets pushed updates, in milliseconds.
pub(super) const SESSION_TIMEOUT: Millis = 5_000;

/// Rollout evidence that nodes report, shared with the actor that decides on rollouts.
pub type SharedEvidence = Rc<RefCell<EvidenceTable>>;

/// Crashes that nodes report, shared with the actor that commits them.
pub type SharedCrashTable = Rc<RefCell<CrashTable>>;

/// Evidence on attributes of requests, shared with the actor that judges it.
pub type SharedAttributeEvidence = Rc<RefCell<AttributeEvidence>>;

/// Dependencies and settings of a [`RelayActor`].
pub struct RelaySetup {
    /// Addresses of the other relays.
    pub directory: SharedDirectory,
    /// Regions of the zones and the round trips between them.
    pub topology: Arc<Topology>,
    /// Replicated state of the control group.
    pub machine: Rc<RefCell<ControlState>>,
    /// Status of this node's replica of the control group.
    pub status: SharedGroupStatus,
    /// Queue of outgoing peer messages.
    pub outbox: SharedOutbox,
    /// Time without a heartbeat after which a node is removed from the view, in milliseconds.
    pub node_lease: Millis,
    /// How long nodes may use the back-end list after it was last read.
    pub backend_list_lease: BackendListLease,
    /// Collects the rollout evidence that nodes report while this replica leads.
    pub evidence: SharedEvidence,
    /// Collects the crashes that nodes report while this replica leads.
    pub crash_table: SharedCrashTable,
    /// Attributes of requests that crashes interrupted or that were answered, as nodes report them.
    pub attribute_evidence: SharedAttributeEvidence,
    /// Clock of the process.
    pub clock: Clock,
}

pub(super) struct Session {
    revision: Option<Revision>,
    traffic: Option<TrafficVersion>,
    evacuations: Option<EvacuationRevision>,
    rollouts: Option<RolloutsRevision>,
    quarantine: Option<QuarantineRevision>,
    pub(super) last_heartbeat_at: Millis,
    /// View version that the node holds: from its last heartbeat, or sent to it since.
    view: ViewVersion,
    /// Back-end list version that the node holds: from its last heartbeat, or sent to it since.
    pub(super) backend_list: Option<BackendListVersion>,
    /// Large updates that may still be in transit to the node.
    pub(super) large_updates: LargeUpdateTracker,
}

/// Serves the sessions of nodes and forwards their reports to the leader.
pub struct RelayActor {
    pub(super) setup: RelaySetup,
    pub(super) sessions: BTreeMap<NodeName, Session>,
    pending_reports: BTreeMap<NodeName, NodeReport>,
    view: ClusterView,
    view_history: ViewHistory,
    pub(super) membership_table: Option<(u64, MembershipTable)>,
    sent_view_version: ViewVersion,
    traffic: TrafficUpdateCache,
    pub(super) backend_list: Option<HeldBackendList>,
    /// Recent changes of the back-end list, for nodes and relays that hold an older version.
    pub(super) backend_list_history: BackendListHistory,
    /// Time of the last repair sent to each relay that reported another back-end list.
    pub(super) backend_list_repaired_at: BTreeMap<NodeName, Millis>,
    /// Number of back ends that are not draining, by service and zone.
    pub(super) backends_by_zone: BTreeMap<String, BackendsByZone>,
    pub(super) announcements: AnnouncementBudget,
    pub(super) watched_attributes: WatchedAttributesPush,
}

impl RelayActor {
    /// Starts without sessions and schedules the first report.
    pub fn init(cx: CX![], setup: RelaySetup) -> Option<Self> {
        after!(REPORT_INTERVAL, [cx], tick());
        Some(Self {
            setup,
            sessions: BTreeMap::new(),
            pending_reports: BTreeMap::new(),
            view: ClusterView::default(),
            view_history: ViewHistory::default(),
            membership_table: None,
            sent_view_version: ViewVersion::default(),
            traffic: TrafficUpdateCache::default(),
            backend_list: None,
            backend_list_history: BackendListHistory::default(),
            backend_list_repaired_at: BTreeMap::new(),
            backends_by_zone: BTreeMap::new(),
            announcements: AnnouncementBudget::default(),
            watched_attributes: WatchedAttributesPush::default(),
        })
    }

    pub(super) fn now(&self, cx: CX![]) -> Millis {
        self.setup.clock.millis(cx.now())
    }

    fn tick(&mut self, cx: CX![]) {
        after!(REPORT_INTERVAL, [cx], tick());
        let now = self.now(cx);
        self.update_membership_table(now);
        let reports = std::mem::take(&mut self.pending_reports);
        if self.membership_table.is_some() {
            self.process_reports(reports, now);
        } else {
            self.forward_reports(reports);
        }
        self.exchange_attributes(now);
    }

    /// Creates the membership table when this replica becomes leader and drops it when it steps
    /// down.
    fn update_membership_table(&mut self, now: Millis) {
        let (is_leader, term) = {
            let status = self.setup.status.borrow();
            (status.is_leader, status.term)
        };
        if !is_leader {
            if self.membership_table.take().is_some() {
                self.setup.evidence.take();
                self.setup.crash_table.take();
            }
            return;
        }
        let is_current = self
            .membership_table
            .as_ref()
            .is_some_and(|(table_term, _)| *table_term == term);
        if !is_current {
            let membership_table =
                MembershipTable::new(term, &self.view, self.setup.node_lease, now);
            self.membership_table = Some((term, membership_table));
        }
    }

    fn process_reports(&mut self, reports: BTreeMap<NodeName, NodeReport>, now: Millis) {
        let Some((_, membership_table)) = &mut self.membership_table else {
            return;
        };
        let control = self.setup.machine.borrow();
        let mut evidence = self.setup.evidence.borrow_mut();
        let mut crash_table = self.setup.crash_table.borrow_mut();
        for report in reports.values() {
            membership_table.record_report(report, now);
            evidence.record_report(report, &control.rollouts);
            crash_table.record_report(report, now);
        }
        membership_table.expire(now);
        evidence.update_live_processes(membership_table.processes(), &control.rollouts);
        let services = batched_services(&control);
        drop((control, evidence, crash_table));
        let directory = self.setup.directory.borrow();
        let replicating = directory.replicating_nodes();
        let own_node = &directory.own().node;
        let topology = &self.setup.topology;
        membership_table.assign_services(
            &services,
            &self.backends_by_zone,
            &replicating,
            own_node,
            topology,
            now,
        );
        drop(directory);
        if membership_table.version() != self.sent_view_version {
            let view = membership_table.view();
            let former_version = std::mem::replace(&mut self.sent_view_version, view.version);
            self.apply_view(view, now);
            self.send_view_to_relays(former_version);
        }
    }

    /// Sends the other relays the view changes since `former_version`. A relay that misses them
    /// reports an older version and gets them again.
    fn send_view_to_relays(&mut self, former_version: ViewVersion) {
        let update = self.view_history.update_since(former_version, &self.view);
        let mut outbox = self.setup.outbox.borrow_mut();
        let own_node = outbox.node().clone();
        let relays = self.setup.directory.borrow().replicating_nodes();
        for relay in relays.iter().filter(|relay| **relay != own_node) {
            let message = SessionMessage::View(update.clone());
            outbox.send(relay, PeerMessage::Session(message));
        }
    }

    fn forward_reports(&mut self, reports: BTreeMap<NodeName, NodeReport>) {
        let leader = self.setup.status.borrow().leader.clone();
        let Some(leader) = leader.filter(|_| !reports.is_empty()) else {
            return;
        };
        let message = SessionMessage::Reports {
            reports: reports.into_values().collect(),
            view: self.view.version,
            backend_list: self
                .backend_list
                .as_ref()
                .map(|held| held.backend_list.version),
        };
        let leader = NodeName(leader);
        self.setup
            .outbox
            .borrow_mut()
            .send(&leader, PeerMessage::Session(message));
    }

    /// Handles a node's heartbeat and replies with the updates that the node lacks.
    pub fn heartbeat(&mut self, cx: CX![], from: NodeName, heartbeat: SessionHeartbeat) {
        let now = self.now(cx);
        self.refresh_traffic();
        let revision = heartbeat.report.revision;
        let former = self.sessions.remove(&from);
        let mut large_updates = former
            .map(|session| session.large_updates)
            .unwrap_or_default();
        large_updates.record_incarnation(heartbeat.report.incarnation);
        let session = Session {
            revision,
            traffic: heartbeat.report.traffic,
            evacuations: heartbeat.report.evacuations,
            rollouts: heartbeat.report.rollouts,
            quarantine: heartbeat.report.quarantine,
            last_heartbeat_at: now,
            view: heartbeat.view,
            backend_list: heartbeat.backend_list,
            large_updates,
        };
        self.sessions.insert(from.clone(), session);
        let mut reply = self.reply(&heartbeat, now);
        self.drop_updates_in_transit(&from, &mut reply, now);
        if let (Some(update), Some(session)) = (&reply.backend_list, self.sessions.get_mut(&from)) {
            session.backend_list = Some(update.version);
        }
        if let Some(update) = &reply.update {
            log::debug!(event = "session_update", to = from.as_str(); "{update:?}");
            if let Some(session) = self.sessions.get_mut(&from) {
                session.revision = Some(reply.revision);
            }
        }
        if let (Some(traffic), Some(session)) = (&reply.traffic, self.sessions.get_mut(&from)) {
            session.traffic = Some(traffic.version());
        }
        if let (Some(evacuations), Some(session)) =
            (&reply.evacuations, self.sessions.get_mut(&from))
        {
            session.evacuations = Some(evacuations.revision());
        }
        if let (Some(rollouts), Some(session)) = (&reply.rollouts, self.sessions.get_mut(&from)) {
            session.rollouts = Some(rollouts.revision());
        }
        if let (Some(list), Some(session)) = (&reply.quarantine, self.sessions.get_mut(&from)) {
            session.quarantine = Some(list.revision);
        }
        self.pending_reports.insert(from.clone(), heartbeat.report);
        let message = PeerMessage::Session(SessionMessage::Reply(Box::new(reply)));
        self.setup.outbox.borrow_mut().send(&from, message);
    }

    /// Removes large updates from a reply that may still be in transit to the node.
    fn drop_updates_in_transit(&mut self, node: &NodeName, reply: &mut SessionReply, now: Millis) {
        let Some(session) = self.sessions.get_mut(node) else {
            return;
        };
        let large_updates = &mut session.large_updates;
        let mut is_allowed = |kind, bytes| large_updates.try_start_send(kind, bytes, now);
        let backend_list = reply.backend_list.take();
        reply.backend_list =
            backend_list.filter(|update| is_allowed(UpdateKind::BackendList, update.size()));
        let view = reply.view.take();
        reply.view = view.filter(|update| is_allowed(UpdateKind::View, update.size()));
    }

    fn reply(&mut self, heartbeat: &SessionHeartbeat, now: Millis) -> SessionReply {
        let backend_list = self
            .backend_list_history
            .update_since(heartbeat.backend_list);
        let wants_view = self.view.version > heartbeat.view;
        let control = self.setup.machine.borrow();
        let machine = &control.configuration;
        let age = self.setup.status.borrow().freshness.age(now);
        // Without a quorum's confirmation this replica may be stale, and a node must not start from
        // stale state.
        let update = match age {
            Some(_) => machine.update_since(heartbeat.report.revision),
            None => None,
        };
        let traffic = age.and_then(|_| self.traffic.update_since(heartbeat.report.traffic));
        let evacuations = &control.evacuations;
        let lacks_evacuations = heartbeat.report.evacuations < Some(evacuations.revision());
        let rollouts = &control.rollouts;
        let lacks_rollouts = heartbeat.report.rollouts < Some(rollouts.revision());
        let quarantine = control.quarantine.list();
        let lacks_quarantine = heartbeat.report.quarantine < Some(quarantine.revision);
        SessionReply {
            incarnation: heartbeat.report.incarnation,
            echo: heartbeat.sent_at,
            age,
            revision: machine.revision(),
            update,
            traffic_version: control
                .published
                .as_ref()
                .map(|published| published.version()),
            traffic,
            evacuations_revision: evacuations.revision(),
            evacuations: (age.is_some() && lacks_evacuations).then(|| evacuations.clone()),
            rollouts_revision: rollouts.revision(),
            rollouts: (age.is_some() && lacks_rollouts).then(|| rollouts.clone()),
            quarantine_revision: quarantine.revision,
            quarantine: (age.is_some() && lacks_quarantine).then(|| quarantine.clone()),
            view: wants_view
                .then(|| Box::new(self.view_history.update_since(heartbeat.view, &self.view))),
            backend_list_age: self.backend_list.as_ref().map(|held| {
                let age = now.saturating_sub(held.confirmed_at);
                (held.backend_list.version, age)
            }),
            backend_list,
        }
    }

    /// Handles node reports that another relay forwards, with the view and back-end list versions
    /// that the relay holds.
    pub fn reports(
        &mut self,
        cx: CX![],
        from: NodeName,
        reports: Vec<NodeReport>,
        view: ViewVersion,
        backend_list: Option<BackendListVersion>,
    ) {
        let now = self.now(cx);
        self.repair_backend_list(&from, backend_list, now);
        if self.membership_table.is_some() && view < self.view.version {
            // The relay missed the view change.
            let message = SessionMessage::View(self.view_history.update_since(view, &self.view));
            self.setup
                .outbox
                .borrow_mut()
                .send(&from, PeerMessage::Session(message));
        }
        for report in reports {
            self.pending_reports.insert(report.node.clone(), report);
        }
    }

    /// Applies a view update from the leader.
    pub fn view_update(&mut self, cx: CX![], update: ViewUpdate) {
        let now = self.now(cx);
        match update.apply_to(&self.view) {
            Ok(Some(view)) => self.apply_view(view, now),
            Ok(None) => {}
            // The next reports carry the version held here, so that the leader repairs it.
            Err(gap) => log::info!(event = "view_update_refused"; "{gap}"),
        }
    }

    /// Applies a newer view. Nodes get it in the reply to their next heartbeat; changed shard
    /// owners are pushed at once because orders wait for them.
    fn apply_view(&mut self, view: ClusterView, now: Millis) {
        let has_owner_changes = view.batch_owners != self.view.batch_owners;
        self.view_history.record_change(&self.view, &view);
        self.view = view;
        if has_owner_changes {
            self.push_view(now);
        }
    }

    /// Pushes the view to all nodes. Each change is sent to a node once; a node that misses it gets
    /// it with its next heartbeat.
    fn push_view(&mut self, now: Millis) {
        let mut outbox = self.setup.outbox.borrow_mut();
        for (node, session) in &mut self.sessions {
            if now.saturating_sub(session.last_heartbeat_at) <= SESSION_TIMEOUT {
                let update = self.view_history.update_since(session.view, &self.view);
                let large_updates = &mut session.large_updates;
                if !large_updates.try_start_send(UpdateKind::View, update.size(), now) {
                    continue;
                }
                session.view = self.view.version;
                let message = SessionMessage::PushView(update);
                outbox.send(node, PeerMessage::Session(message));
            }
        }
    }

    pub(super) fn send_to_other_relays(&self, message: SessionMessage) {
        let mut outbox = self.setup.outbox.borrow_mut();
        let own_node = outbox.node().clone();
        let relays = self.setup.directory.borrow().replicating_nodes();
        for relay in relays.iter().filter(|relay| **relay != own_node) {
            outbox.send(relay, PeerMessage::Session(message.clone()));
        }
    }

    fn refresh_traffic(&mut self) {
        let control = self.setup.machine.borrow();
        self.traffic.set_latest(control.published.as_ref());
    }

    /// Pushes changes of the replicated state to nodes at once.
    pub fn configuration_applied(&mut self, cx: CX![]) {
        let now = self.now(cx);
        if self.setup.status.borrow().freshness.as_of.is_none() {
            return;
        }
        self.refresh_traffic();
        let control = self.setup.machine.borrow();
        let machine = &control.configuration;
        let current = machine.revision();
        let evacuations = &control.evacuations;
        let rollouts = &control.rollouts;
        let quarantine = control.quarantine.list();
        let mut outbox = self.setup.outbox.borrow_mut();
        for (node, session) in &mut self.sessions {
            if now.saturating_sub(session.last_heartbeat_at) > SESSION_TIMEOUT {
                continue;
            }
            if session.evacuations < Some(evacuations.revision()) {
                session.evacuations = Some(evacuations.revision());
                let message = SessionMessage::PushEvacuations(evacuations.clone());
                outbox.send(node, PeerMessage::Session(message));
            }
            if session.rollouts < Some(rollouts.revision()) {
                session.rollouts = Some(rollouts.revision());
                let message = SessionMessage::PushRollouts(rollouts.clone());
                outbox.send(node, PeerMessage::Session(message));
            }
            if session.quarantine < Some(quarantine.revision) {
                session.quarantine = Some(quarantine.revision);
                let message = SessionMessage::PushQuarantine(quarantine.clone());
                outbox.send(node, PeerMessage::Session(message));
            }
            if let Some(traffic) = self.traffic.update_since(session.traffic) {
                session.traffic = Some(traffic.version());
                let message = SessionMessage::PushTraffic(traffic);
                outbox.send(node, PeerMessage::Session(message));
            }
            if session.revision == Some(current) {
                continue;
            }
            if let Some(update) = machine.update_since(session.revision) {
                session.revision = Some(current);
                let message = SessionMessage::PushConfiguration(update);
                outbox.send(node, PeerMessage::Session(message));
            }
        }
    }
}

/// Names of the batched services in the newest traffic configuration.
fn batched_services(control: &ControlState) -> Vec<String> {
    let Some(published) = &control.published else {
        return Vec::new();
    };
    let services = published.traffic.services.iter();
    services
        .filter(|service| service.batch.is_some())
        .map(|service| service.name.clone())
        .collect()
}
