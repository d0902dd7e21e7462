//! The relay: serves the sessions of the nodes that chose this voter, and, on
//! the leader of the control group, keeps the membership table.

use crate::clock::Clock;
use crate::directory::SharedDirectory;
use crate::outbox::SharedOutbox;
use crate::replica::SharedStatus;
use crate::session::large_updates::{LargeUpdates, UpdateKind};
use crate::session::node_state::ListingLease;
use crate::session::relay_limits::AnnouncementBudget;
use crate::session::relay_listing::HeldListing;
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
use silversail_quarantine::QuarantineRevision;
use stakker::{after, CX};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Interval of reports to the leader and of views to the relays.
const TICK: Duration = Duration::from_millis(100);
/// A session without a heartbeat for so long gets no pushes, in milliseconds.
pub(super) const SESSION_SILENCE: Millis = 5_000;

/// The evidence of rollouts, shared with the actor that judges by it.
pub type SharedEvidence = Rc<RefCell<EvidenceTable>>;

/// What nodes told of crashes, shared with the actor that commits it.
pub type SharedSightings = Rc<RefCell<CrashTable>>;

/// What a relay is made of.
pub struct RelaySetup {
    /// Knows the other relays.
    pub directory: SharedDirectory,
    /// Where the zones lie.
    pub topology: Arc<Topology>,
    /// The replicated configuration.
    pub machine: Rc<RefCell<ControlState>>,
    /// Status of the own replica of the control group.
    pub status: SharedStatus,
    /// Sending.
    pub outbox: SharedOutbox,
    /// How long a node stays in the view without a heartbeat.
    pub node_lease: Millis,
    /// For how long nodes rely on a read of the list of back ends.
    pub listing_lease: ListingLease,
    /// Takes what nodes tell of rollouts, while the own replica leads.
    pub evidence: SharedEvidence,
    /// Takes what nodes tell of crashes, while the own replica leads.
    pub sightings: SharedSightings,
    /// Time.
    pub clock: Clock,
}

pub(super) struct Session {
    revision: Option<Revision>,
    traffic: Option<TrafficVersion>,
    evacuations: Option<EvacuationRevision>,
    rollouts: Option<RolloutsRevision>,
    quarantine: Option<QuarantineRevision>,
    pub(super) heard_at: Millis,
    /// The view that it has, by its last heartbeat or what was sent to it since.
    view: ViewVersion,
    /// The listing that it has, by the same.
    pub(super) listing: Option<BackendListVersion>,
    /// What may still be on its way to it.
    pub(super) large_updates: LargeUpdates,
}

/// Serves sessions.
pub struct RelayActor {
    pub(super) setup: RelaySetup,
    pub(super) sessions: BTreeMap<NodeName, Session>,
    pending_reports: BTreeMap<NodeName, NodeReport>,
    view: ClusterView,
    views: ViewHistory,
    pub(super) table: Option<(u64, MembershipTable)>,
    sent_version: ViewVersion,
    traffic: TrafficUpdateCache,
    pub(super) listing: Option<HeldListing>,
    /// The listing's last changes, for nodes and relays that hold older ones.
    pub(super) listings: BackendListHistory,
    /// When relays that report another listing were last told.
    pub(super) told_listing_at: BTreeMap<NodeName, Millis>,
    /// Back ends of each service that are not leaving, by zone, as the listing tells.
    pub(super) makers: BTreeMap<String, BackendsByZone>,
    pub(super) announcements: AnnouncementBudget,
}

impl RelayActor {
    /// Starts without sessions.
    pub fn init(cx: CX![], setup: RelaySetup) -> Option<Self> {
        after!(TICK, [cx], tick());
        Some(Self {
            setup,
            sessions: BTreeMap::new(),
            pending_reports: BTreeMap::new(),
            view: ClusterView::default(),
            views: ViewHistory::default(),
            table: None,
            sent_version: ViewVersion::default(),
            traffic: TrafficUpdateCache::default(),
            listing: None,
            listings: BackendListHistory::default(),
            told_listing_at: BTreeMap::new(),
            makers: BTreeMap::new(),
            announcements: AnnouncementBudget::default(),
        })
    }

    pub(super) fn now(&self, cx: CX![]) -> Millis {
        self.setup.clock.millis(cx.now())
    }

    fn tick(&mut self, cx: CX![]) {
        after!(TICK, [cx], tick());
        let now = self.now(cx);
        self.follow_leadership(now);
        let reports = std::mem::take(&mut self.pending_reports);
        if self.table.is_some() {
            self.lead(reports, now);
        } else {
            self.forward(reports);
        }
    }

    /// Keeps a membership table exactly while the own replica leads.
    fn follow_leadership(&mut self, now: Millis) {
        let (is_leader, term) = {
            let status = self.setup.status.borrow();
            (status.is_leader, status.term)
        };
        if !is_leader {
            if self.table.take().is_some() {
                self.setup.evidence.take();
                self.setup.sightings.take();
            }
            return;
        }
        let is_current = self.table.as_ref().is_some_and(|(of, _)| *of == term);
        if !is_current {
            let table = MembershipTable::new(term, &self.view, self.setup.node_lease, now);
            self.table = Some((term, table));
        }
    }

    fn lead(&mut self, reports: BTreeMap<NodeName, NodeReport>, now: Millis) {
        let Some((_, table)) = &mut self.table else {
            return;
        };
        let control = self.setup.machine.borrow();
        let mut evidence = self.setup.evidence.borrow_mut();
        let mut sightings = self.setup.sightings.borrow_mut();
        for report in reports.values() {
            table.record_report(report, now);
            evidence.record_report(report, &control.rollouts);
            sightings.record_report(report, now);
        }
        table.expire(now);
        evidence.update_live_processes(table.processes(), &control.rollouts);
        let services = batched_services(&control);
        drop((control, evidence, sightings));
        let directory = self.setup.directory.borrow();
        let replicating = directory.replicating();
        let own = &directory.own().node;
        let topology = &self.setup.topology;
        table.assign_services(&services, &self.makers, &replicating, own, topology, now);
        drop(directory);
        if table.version() != self.sent_version {
            let view = table.view();
            let sent = std::mem::replace(&mut self.sent_version, view.version);
            self.take_view(view, now);
            self.send_to_relays(sent);
        }
    }

    /// Tells the relays what changed since the version `sent` before; one that missed it
    /// shows so with its next reports.
    fn send_to_relays(&mut self, sent: ViewVersion) {
        let update = self.views.update_since(sent, &self.view);
        let mut outbox = self.setup.outbox.borrow_mut();
        let own = outbox.node().clone();
        let relays = self.setup.directory.borrow().replicating();
        for relay in relays.iter().filter(|relay| **relay != own) {
            let message = SessionMessage::View(update.clone());
            outbox.send(relay, PeerMessage::Session(message));
        }
    }

    fn forward(&mut self, reports: BTreeMap<NodeName, NodeReport>) {
        let leader = self.setup.status.borrow().leader.clone();
        let Some(leader) = leader.filter(|_| !reports.is_empty()) else {
            return;
        };
        let message = SessionMessage::Reports {
            reports: reports.into_values().collect(),
            view: self.view.version,
            backend_list: self.listing.as_ref().map(|held| held.listing.version),
        };
        let leader = NodeName(leader);
        self.setup
            .outbox
            .borrow_mut()
            .send(&leader, PeerMessage::Session(message));
    }

    /// A node's heartbeat.
    pub fn heartbeat(&mut self, cx: CX![], from: NodeName, heartbeat: SessionHeartbeat) {
        let now = self.now(cx);
        self.follow_traffic();
        let revision = heartbeat.report.revision;
        let former = self.sessions.remove(&from);
        let mut large_updates = former.map(|one| one.large_updates).unwrap_or_default();
        large_updates.heard(heartbeat.report.incarnation);
        let session = Session {
            revision,
            traffic: heartbeat.report.traffic,
            evacuations: heartbeat.report.evacuations,
            rollouts: heartbeat.report.rollouts,
            quarantine: heartbeat.report.quarantine,
            heard_at: now,
            view: heartbeat.view,
            listing: heartbeat.backend_list,
            large_updates,
        };
        self.sessions.insert(from.clone(), session);
        let mut reply = self.reply(&heartbeat, now);
        self.hold_back_repeats(&from, &mut reply, now);
        if let (Some(update), Some(session)) = (&reply.backend_list, self.sessions.get_mut(&from)) {
            session.listing = Some(update.version);
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

    /// Takes large updates out of a reply that may still be on their way.
    fn hold_back_repeats(&mut self, node: &NodeName, reply: &mut SessionReply, now: Millis) {
        let Some(session) = self.sessions.get_mut(node) else {
            return;
        };
        let large = &mut session.large_updates;
        let mut is_due = |kind, bytes| large.may_send(kind, bytes, now);
        let listing = reply.backend_list.take();
        reply.backend_list = listing.filter(|one| is_due(UpdateKind::Listing, one.size()));
        let view = reply.view.take();
        reply.view = view.filter(|one| is_due(UpdateKind::View, one.size()));
    }

    fn reply(&mut self, heartbeat: &SessionHeartbeat, now: Millis) -> SessionReply {
        let listing = self.listings.update_since(heartbeat.backend_list);
        let wants_view = self.view.version > heartbeat.view;
        let control = self.setup.machine.borrow();
        let machine = &control.configuration;
        let age = self.setup.status.borrow().freshness.age(now);
        // Without a quorum's confirmation the own state may be an old one: a
        // node must not start from it.
        let update = match age {
            Some(_) => machine.update_since(heartbeat.report.revision),
            None => None,
        };
        let newer = age.and_then(|_| self.traffic.update_since(heartbeat.report.traffic));
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
            traffic_version: control.published.as_ref().map(|one| one.version()),
            traffic: newer,
            evacuations_revision: evacuations.revision(),
            evacuations: (age.is_some() && lacks_evacuations).then(|| evacuations.clone()),
            rollouts_revision: rollouts.revision(),
            rollouts: (age.is_some() && lacks_rollouts).then(|| rollouts.clone()),
            quarantine_revision: quarantine.revision,
            quarantine: (age.is_some() && lacks_quarantine).then(|| quarantine.clone()),
            view: wants_view.then(|| Box::new(self.views.update_since(heartbeat.view, &self.view))),
            backend_list_age: self.listing.as_ref().map(|held| {
                let age = now.saturating_sub(held.confirmed_at);
                (held.listing.version, age)
            }),
            backend_list: listing,
        }
    }

    /// Heartbeats that another relay passes on, with the view and the listing that it has.
    pub fn reports(
        &mut self,
        cx: CX![],
        from: NodeName,
        reports: Vec<NodeReport>,
        view: ViewVersion,
        listing: Option<BackendListVersion>,
    ) {
        let now = self.now(cx);
        self.repair_listing(&from, listing, now);
        if self.table.is_some() && view < self.view.version {
            // The relay was away when the view changed, or the message was lost.
            let message = SessionMessage::View(self.views.update_since(view, &self.view));
            self.setup
                .outbox
                .borrow_mut()
                .send(&from, PeerMessage::Session(message));
        }
        for report in reports {
            self.pending_reports.insert(report.node.clone(), report);
        }
    }

    /// The leader's view.
    pub fn view(&mut self, cx: CX![], update: ViewUpdate) {
        let now = self.now(cx);
        match update.apply_to(&self.view) {
            Ok(Some(view)) => self.take_view(view, now),
            Ok(None) => {}
            // The next reports tell the leader what is held here.
            Err(gap) => log::info!(event = "view_update_refused"; "{gap}"),
        }
    }

    /// Takes a newer view. Nodes ask for it with their heartbeats; other owners are told
    /// at once, as orders wait for them.
    fn take_view(&mut self, view: ClusterView, now: Millis) {
        let has_other_owners = view.batch_owners != self.view.batch_owners;
        self.views.record_change(&self.view, &view);
        self.view = view;
        if has_other_owners {
            self.push_view(now);
        }
    }

    /// Sends the view to all nodes at once. Each change is sent to a node once; one that
    /// missed it shows so with its next heartbeat.
    fn push_view(&mut self, now: Millis) {
        let mut outbox = self.setup.outbox.borrow_mut();
        for (node, session) in &mut self.sessions {
            if now.saturating_sub(session.heard_at) <= SESSION_SILENCE {
                let update = self.views.update_since(session.view, &self.view);
                let large = &mut session.large_updates;
                if !large.may_send(UpdateKind::View, update.size(), now) {
                    continue;
                }
                session.view = self.view.version;
                let message = SessionMessage::PushView(update);
                outbox.send(node, PeerMessage::Session(message));
            }
        }
    }

    pub(super) fn tell_relays(&self, message: SessionMessage) {
        let mut outbox = self.setup.outbox.borrow_mut();
        let own = outbox.node().clone();
        let relays = self.setup.directory.borrow().replicating();
        for relay in relays.iter().filter(|relay| **relay != own) {
            outbox.send(relay, PeerMessage::Session(message.clone()));
        }
    }

    fn follow_traffic(&mut self) {
        let control = self.setup.machine.borrow();
        self.traffic.set_latest(control.published.as_ref());
    }

    /// The replicated configuration may have changed: nodes get it at once.
    pub fn configuration_applied(&mut self, cx: CX![]) {
        let now = self.now(cx);
        if self.setup.status.borrow().freshness.as_of.is_none() {
            return;
        }
        self.follow_traffic();
        let control = self.setup.machine.borrow();
        let machine = &control.configuration;
        let current = machine.revision();
        let evacuations = &control.evacuations;
        let rollouts = &control.rollouts;
        let quarantine = control.quarantine.list();
        let mut outbox = self.setup.outbox.borrow_mut();
        for (node, session) in &mut self.sessions {
            if now.saturating_sub(session.heard_at) > SESSION_SILENCE {
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

/// Names of the services that are batched, by the newest traffic configuration.
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
