//! The session of a node with its relay.

use crate::clock::Clock;
use crate::directory::SharedDirectory;
use crate::metrics::Metrics;
use crate::outbox::SharedOutbox;
use crate::session::node_state::SharedNodeState;
use crate::session::relay_choice::RelayChoice;
use silversail_backend::platform::ListedMachineState;
use silversail_backend::MachineList;
use silversail_consensus::Millis;
use silversail_control::{
    ConfigurationUpdate, MachineState, NodeReport, SharedEvacuations, SharedRollouts,
    TrafficUpdate, ViewUpdate,
};
use silversail_model::NodeName;
use silversail_peer::{
    BackendListUpdate, PeerMessage, SessionHeartbeat, SessionMessage, SessionReply,
};
use silversail_quarantine::SharedQuarantineList;
use stakker::{after, fwd, Fwd, CX};
use std::sync::Arc;
use std::time::Duration;

/// What a session is made of.
pub struct SessionSetup {
    /// Knows the nodes that may be the relay.
    pub directory: SharedDirectory,
    /// Zone of this node.
    pub zone: String,
    /// Address that callers are told.
    pub caller_address: String,
    /// Share of a core that the process may use, in hundredths.
    pub processor_percent: u16,
    /// Between heartbeats.
    pub heartbeat: Duration,
    /// How old the configuration may be before the node refuses requests.
    pub freshness_lease: Millis,
    /// What the node has in force.
    pub state: SharedNodeState,
    /// Sending.
    pub outbox: SharedOutbox,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// Told when configuration, view or machine states changed.
    pub on_change: Fwd<()>,
    /// Time.
    pub clock: Clock,
}

/// Age of a relay's own state above which another relay is tried, in
/// milliseconds: several heartbeats of the leader are missing.
const STALE_RELAY: Millis = 900;
/// Heartbeats without an answer after which another relay is tried.
const SILENT_HEARTBEATS: u32 = 2;
/// Doublings of it, with each relay that gave no answer, while heartbeats are sent each 100 ms:
/// after a start of all nodes relays answer late, and each that is asked sends all that there is.
const MOST_PATIENCE_DOUBLINGS: u32 = 2;

/// Time in which the gateway obeys what was pushed of rollouts; then the leader is told, which
/// waits for it with the next step.
const TELLS_OBEYED_AFTER: Duration = Duration::from_millis(10);

/// Time after which a crash is told to all relays a second time: an election takes about as long.
const TELLS_CRASH_AGAIN_AFTER: Duration = Duration::from_millis(1_000);

/// Between the heartbeats of a node that does not serve yet, after its start.
const EAGER_HEARTBEAT: Duration = Duration::from_millis(100);
/// How long after its start a node sends such heartbeats at the longest, in milliseconds.
const EAGER_FOR: Millis = 5_000;

/// Keeps a node in step.
pub struct SessionActor {
    setup: SessionSetup,
    relay: RelayChoice,
    unanswered: u32,
    /// Relays that were left without an answer since the last one.
    silent_relays: u32,
    /// Replies of stale relays since the last good one; after the first, the
    /// next relay is asked with the next heartbeat only.
    stale_replies: u32,
    started_at: Millis,
}

impl SessionActor {
    /// Starts with a heartbeat.
    pub fn init(cx: CX![], setup: SessionSetup) -> Option<Self> {
        let started_at = setup.clock.millis(cx.now());
        after!(Duration::ZERO, [cx], tick());
        Some(Self {
            setup,
            relay: RelayChoice::default(),
            unanswered: 0,
            silent_relays: 0,
            stale_replies: 0,
            started_at,
        })
    }

    fn tick(&mut self, cx: CX![]) {
        let now = self.setup.clock.millis(cx.now());
        let is_eager = now.saturating_sub(self.started_at) < EAGER_FOR && !self.is_in_step();
        let interval = match is_eager {
            true => EAGER_HEARTBEAT.min(self.setup.heartbeat),
            false => self.setup.heartbeat,
        };
        after!(interval, [cx], tick());
        if self.setup.state.borrow_mut().drop_carried(now) {
            fwd!([self.setup.on_change], ());
        }
        if self.unanswered >= self.patience(is_eager) {
            self.silent_relays += 1;
            self.leave_relay(now);
        }
        self.send_heartbeat(cx);
        self.ask_nearer_relay(now);
    }

    /// Heartbeats that the present relay may leave without an answer.
    fn patience(&self, is_eager: bool) -> u32 {
        let doublings = match is_eager {
            true => self.silent_relays.min(MOST_PATIENCE_DOUBLINGS),
            false => 0,
        };
        SILENT_HEARTBEATS << doublings
    }

    /// Whether this node has a configuration, is in the view as it is now, and knows the
    /// owners of the services that are batched.
    fn is_in_step(&self) -> bool {
        let outbox = self.setup.outbox.borrow();
        let state = self.setup.state.borrow();
        let has_configuration = state.configuration.revision().is_some();
        let is_in_view = state.view.is_live(outbox.node(), outbox.incarnation());
        has_configuration && is_in_view && state.knows_batch_owners()
    }

    /// Goes on with the next relay. True when that is another one.
    fn leave_relay(&mut self, now: Millis) -> bool {
        let relays = self.setup.directory.borrow().relays();
        let former = self.relay.present(&relays);
        self.relay.leave(&relays, now);
        self.unanswered = 0;
        self.relay.present(&relays) != former
    }

    /// Sends a heartbeat also to a relay that is nearer than the present one, now and then.
    fn ask_nearer_relay(&mut self, now: Millis) {
        let relays = self.setup.directory.borrow().relays();
        if let Some(nearer) = self.relay.nearer_to_ask(&relays, now) {
            let heartbeat = self.heartbeat(now);
            let mut outbox = self.setup.outbox.borrow_mut();
            outbox.send(&nearer, heartbeat);
        }
    }

    /// Sends a heartbeat at once, outside the interval.
    pub fn send_heartbeat(&mut self, cx: CX![]) {
        let relays = self.setup.directory.borrow().relays();
        let Some(relay) = self.relay.present(&relays) else {
            return;
        };
        self.unanswered += 1;
        let heartbeat = self.heartbeat(self.setup.clock.millis(cx.now()));
        let mut outbox = self.setup.outbox.borrow_mut();
        outbox.send(&relay, heartbeat);
    }

    /// This process saw a back end end: a heartbeat tells all relays at once, and once more, as
    /// the present relay, the leader or the message may be lost
    /// (`simulation/tests/quarantine.rs`).
    pub fn tell_crash(&mut self, cx: CX![]) {
        self.send_to_all_relays(cx);
        after!(TELLS_CRASH_AGAIN_AFTER, [cx], send_to_all_relays());
    }

    fn send_to_all_relays(&mut self, cx: CX![]) {
        let heartbeat = self.heartbeat(self.setup.clock.millis(cx.now()));
        let relays = self.setup.directory.borrow().replicating();
        let mut outbox = self.setup.outbox.borrow_mut();
        for relay in relays {
            outbox.send(&relay, heartbeat.clone());
        }
    }

    fn heartbeat(&self, now: Millis) -> PeerMessage {
        let heartbeat = {
            let state = self.setup.state.borrow();
            let outbox = self.setup.outbox.borrow();
            SessionHeartbeat {
                sent_at: now,
                report: NodeReport {
                    node: outbox.node().clone(),
                    incarnation: outbox.incarnation(),
                    zone: self.setup.zone.clone(),
                    caller_address: self.setup.caller_address.clone(),
                    processor_percent: self.setup.processor_percent,
                    stopping: state.stopping,
                    serving: state.is_current(now, self.setup.freshness_lease),
                    revision: state.configuration.revision(),
                    traffic: state.traffic_version(),
                    evacuations: state.evacuations_revision(),
                    rollouts: state.rollouts_revision(),
                    evidence: state.rollout_evidence.clone(),
                    quarantine: state.quarantine_revision(),
                    crashes: state.crash_news.sightings(now),
                    completed_requests: state.crash_news.ended_well(),
                    machines: state.machines_unknown_to_view(),
                },
                view: state.told_view.version,
                backend_list: state.listing.as_ref().map(|listing| listing.version),
            }
        };
        PeerMessage::Session(SessionMessage::Heartbeat(heartbeat))
    }

    /// A relay's answer.
    pub fn reply(&mut self, cx: CX![], from: NodeName, reply: SessionReply) {
        if reply.incarnation != self.setup.outbox.borrow().incarnation() {
            // To a former process of this node, whose clock says nothing here.
            return;
        }
        // Also a relay that is cut off from the leader passes on the list of back ends.
        let now = self.setup.clock.millis(cx.now());
        let mut changed = self.apply_listing(&reply, now);
        let Some(age) = reply.age.filter(|age| *age <= STALE_RELAY) else {
            if self.relay.is_present(&from) {
                self.relay_is_stale(cx, reply.age);
            }
            if changed {
                fwd!([self.setup.on_change], ());
            }
            return;
        };
        self.relay.answered(&from);
        if self.relay.is_present(&from) {
            self.stale_replies = 0;
            self.unanswered = 0;
            self.silent_relays = 0;
        }
        // The relay's state includes all that was committed before this time.
        let as_of = reply.echo.saturating_sub(age);
        let has_started = self.setup.state.borrow().configuration.revision().is_some();
        if !has_started && as_of < self.started_at {
            // A relay that lags a little may hold an older revision than the
            // one that was in force here before the restart.
            if changed {
                fwd!([self.setup.on_change], ());
            }
            return;
        }
        if let Some(update) = reply.update {
            changed |= self.apply(update);
        }
        // Before the configuration: a process that has just started must not send to a zone
        // that is evacuated.
        if let Some(evacuations) = reply.evacuations {
            let mut state = self.setup.state.borrow_mut();
            changed |= state.take_evacuations(evacuations);
        }
        // Nor to a version that was found bad.
        if let Some(rollouts) = reply.rollouts {
            let mut state = self.setup.state.borrow_mut();
            changed |= state.take_rollouts(rollouts);
        }
        // Nor a request that crashes back ends.
        if let Some(list) = reply.quarantine {
            let mut state = self.setup.state.borrow_mut();
            changed |= state.take_quarantine(list);
        }
        if let Some(traffic) = reply.traffic {
            changed |= self.apply_traffic(traffic);
        }
        {
            let mut state = self.setup.state.borrow_mut();
            if state.configuration.revision() >= Some(reply.revision)
                && state.traffic_version() >= reply.traffic_version
                && state.evacuations_revision() >= Some(reply.evacuations_revision)
                && state.rollouts_revision() >= Some(reply.rollouts_revision)
                && state.quarantine_revision() >= Some(reply.quarantine_revision)
            {
                state.freshness.advance(as_of);
            }
            if state.rollouts_revision() >= Some(reply.rollouts_revision) {
                state.rollouts_freshness.advance(as_of);
            }
            if let Some(view) = reply.view {
                changed |= state.update_view(&view, now);
            }
        }
        if changed {
            fwd!([self.setup.on_change], ());
        }
    }

    /// A relay that is cut off from the leader itself is of no use: another one is tried.
    fn relay_is_stale(&mut self, cx: CX![], age: Option<Millis>) {
        if self.stale_replies == 0 {
            // Once for a series: while nobody leads, every relay is stale.
            log::info!(event = "relay_stale", age_ms = age.unwrap_or_default(); "another relay is tried");
        }
        let now = self.setup.clock.millis(cx.now());
        let has_left = self.leave_relay(now);
        let is_first_stale = std::mem::replace(&mut self.stale_replies, 1) == 0;
        if is_first_stale && has_left {
            self.send_heartbeat(cx);
        }
    }

    /// Takes the list of back ends, and how old it is, from a relay's answer. True when
    /// other entries are held now.
    fn apply_listing(&self, reply: &SessionReply, now: Millis) -> bool {
        let mut state = self.setup.state.borrow_mut();
        let update = reply.backend_list.as_ref();
        let changed = update.is_some_and(|update| state.update_listing(update, now));
        let held = state.listing.as_ref().map(|listing| listing.version);
        if let Some((version, age)) = reply.backend_list_age {
            if held == Some(version) {
                let read_at = reply.echo.saturating_sub(age);
                state.listing_confirmed_at = state.listing_confirmed_at.max(Some(read_at));
            }
        }
        changed
    }

    /// A change that the relay pushed.
    pub fn push(&mut self, _: CX![], update: ConfigurationUpdate) {
        // Only an answer to an own heartbeat proves that what it brings is not
        // older than this process; so the first update is never a push.
        let has_started = self.setup.state.borrow().configuration.revision().is_some();
        if has_started && self.apply(update) {
            fwd!([self.setup.on_change], ());
        }
    }

    /// A traffic configuration that the relay pushed.
    pub fn push_traffic(&mut self, _: CX![], traffic: TrafficUpdate) {
        let has_started = self.setup.state.borrow().configuration.revision().is_some();
        if has_started && self.apply_traffic(traffic) {
            fwd!([self.setup.on_change], ());
        }
    }

    /// Evacuated zones that the relay pushed.
    pub fn push_evacuations(&mut self, _: CX![], evacuations: SharedEvacuations) {
        let changed = {
            let mut state = self.setup.state.borrow_mut();
            let has_started = state.configuration.revision().is_some();
            has_started && state.take_evacuations(evacuations)
        };
        if changed {
            fwd!([self.setup.on_change], ());
        }
    }

    /// Rollouts that the relay pushed.
    pub fn push_rollouts(&mut self, cx: CX![], rollouts: SharedRollouts) {
        let changed = {
            let mut state = self.setup.state.borrow_mut();
            let has_started = state.configuration.revision().is_some();
            has_started && state.take_rollouts(rollouts)
        };
        if changed {
            fwd!([self.setup.on_change], ());
            after!(TELLS_OBEYED_AFTER, [cx], send_heartbeat());
        }
    }

    /// A list of refused requests that the relay pushed.
    pub fn push_quarantine(&mut self, _: CX![], list: SharedQuarantineList) {
        let changed = {
            let mut state = self.setup.state.borrow_mut();
            let has_started = state.configuration.revision().is_some();
            has_started && state.take_quarantine(list)
        };
        if changed {
            fwd!([self.setup.on_change], ());
        }
    }

    /// A view that the relay pushed.
    pub fn push_view(&mut self, cx: CX![], update: ViewUpdate) {
        let now = self.setup.clock.millis(cx.now());
        if self.setup.state.borrow_mut().update_view(&update, now) {
            fwd!([self.setup.on_change], ());
        }
    }

    /// A change of the list of back ends that the relay pushed.
    pub fn push_listing(&mut self, cx: CX![], update: BackendListUpdate) {
        let now = self.setup.clock.millis(cx.now());
        if self.setup.state.borrow_mut().update_listing(&update, now) {
            fwd!([self.setup.on_change], ());
        }
    }

    fn apply_traffic(&mut self, update: TrafficUpdate) -> bool {
        let mut state = self.setup.state.borrow_mut();
        let held = state.traffic_version();
        if Some(update.version()) <= held {
            return false;
        }
        let traffic = match update.apply(state.traffic.as_ref()) {
            Ok(traffic) => traffic,
            Err(error) => {
                // The next heartbeat tells the relay what is held here.
                log::info!(event = "traffic_update_refused", version = update.version(), held = held.unwrap_or_default(); "{error}");
                return false;
            }
        };
        log::info!(event = "traffic_in_force", version = traffic.version(), before = held.unwrap_or_default(), routes = traffic.traffic.routes.len(); "traffic configuration applied");
        state.traffic = Some(traffic);
        true
    }

    fn apply(&mut self, update: ConfigurationUpdate) -> bool {
        let mut state = self.setup.state.borrow_mut();
        let applied = state.configuration.apply(update);
        if applied {
            let revision = state.configuration.revision().unwrap_or_default();
            self.setup.metrics.revision.set(revision as i64);
            log::info!(event = "configuration_in_force", revision = revision; "configuration applied");
        }
        applied
    }

    /// The platform's list as this node sees it.
    pub fn machine_list(&mut self, cx: CX![], list: MachineList) {
        let mut changed = false;
        {
            let mut state = self.setup.state.borrow_mut();
            for entry in &list.machines {
                changed |= state.merge_machine(&MachineState {
                    address: entry.address.clone(),
                    leaving: entry.state == ListedMachineState::Leaving,
                    list_version: list.version,
                });
            }
        }
        if changed {
            // Others' lists may lag: they hear of it at once.
            self.send_heartbeat(cx);
            fwd!([self.setup.on_change], ());
        }
    }

    /// Marks the process as stopping and tells so.
    pub fn stop(&mut self, cx: CX![]) {
        self.setup.state.borrow_mut().stopping = true;
        self.send_heartbeat(cx);
    }
}
