//! The session of a node with its relay: sends heartbeats and applies the updates in replies and
//! pushes.

use crate::clock::Clock;
use crate::directory::SharedDirectory;
use crate::metrics::Metrics;
use crate::outbox::SharedOutbox;
use crate::session::node_state::SharedNodeState;
use crate::session::relay_selector::RelaySelector;
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
use silversail_quarantine::{AttributeMessage, SharedQuarantineList, WatchedAttributes};
use stakker::{after, fwd, Fwd, CX};
use std::sync::Arc;
use std::time::Duration;

/// Dependencies and settings of a [`SessionActor`].
pub struct SessionSetup {
    /// Directory of the nodes that may act as relay.
    pub directory: SharedDirectory,
    /// Zone of this node, as reported in heartbeats.
    pub zone: String,
    /// Address at which callers reach this node.
    pub caller_address: String,
    /// Processor limit of the process, in hundredths of a core.
    pub processor_percent: u16,
    /// Interval between heartbeats.
    pub heartbeat: Duration,
    /// Age of the configuration at which the node rejects requests, in milliseconds.
    pub freshness_lease: Millis,
    /// Replicated state that the node has applied.
    pub state: SharedNodeState,
    /// Queue of outgoing peer messages.
    pub outbox: SharedOutbox,
    /// Metrics of the process.
    pub metrics: Arc<Metrics>,
    /// Notified when the configuration, the view or machine states change.
    pub on_change: Fwd<()>,
    /// Clock of the process.
    pub clock: Clock,
}

/// Age of a relay's state above which another relay is tried, in milliseconds: several heartbeats
/// of the leader.
const MAX_RELAY_STATE_AGE: Millis = 900;
/// Consecutive unanswered heartbeats after which another relay is tried.
const MAX_UNANSWERED_HEARTBEATS: u32 = 2;
/// Maximum doublings of that number, one for each unresponsive relay, while a starting node sends
/// heartbeats at a short interval: relays answer late when all nodes start at once.
const MAX_UNANSWERED_DOUBLINGS: u32 = 2;

/// Delay between applying pushed rollouts and the heartbeat that reports them: the leader waits for
/// that report, and the gateway applies them within this time.
const ROLLOUT_REPORT_DELAY: Duration = Duration::from_millis(10);

/// Delay before a crash is reported to all relays a second time: about the duration of an election.
const CRASH_REPORT_REPEAT_DELAY: Duration = Duration::from_millis(1_000);

/// Interval between heartbeats of a starting node that does not serve yet.
const STARTUP_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Time after its start for which a node sends heartbeats at the short interval, in milliseconds.
const STARTUP_HEARTBEAT_PERIOD: Millis = 5_000;

/// Keeps a node's state synchronized with the control group through a relay.
pub struct SessionActor {
    setup: SessionSetup,
    relay_selector: RelaySelector,
    unanswered: u32,
    /// Consecutive relays that did not answer.
    unresponsive_relays: u32,
    /// Whether the last reply came from a stale relay (0 or 1); after the first, the next relay is
    /// contacted only with the next regular heartbeat.
    stale_replies: u32,
    started_at: Millis,
}

impl SessionActor {
    /// Starts the session and schedules an immediate heartbeat.
    pub fn init(cx: CX![], setup: SessionSetup) -> Option<Self> {
        let started_at = setup.clock.millis(cx.now());
        after!(Duration::ZERO, [cx], tick());
        Some(Self {
            setup,
            relay_selector: RelaySelector::default(),
            unanswered: 0,
            unresponsive_relays: 0,
            stale_replies: 0,
            started_at,
        })
    }

    fn tick(&mut self, cx: CX![]) {
        let now = self.setup.clock.millis(cx.now());
        let is_starting = now.saturating_sub(self.started_at) < STARTUP_HEARTBEAT_PERIOD
            && !self.is_synchronized();
        let interval = match is_starting {
            true => STARTUP_HEARTBEAT_INTERVAL.min(self.setup.heartbeat),
            false => self.setup.heartbeat,
        };
        after!(interval, [cx], tick());
        if self.setup.state.borrow_mut().expire_retained_nodes(now) {
            fwd!([self.setup.on_change], ());
        }
        if self.unanswered >= self.unanswered_limit(is_starting) {
            self.unresponsive_relays += 1;
            self.switch_relay(now);
        }
        self.send_heartbeat(cx);
        self.probe_nearer_relay(now);
    }

    /// Consecutive heartbeats that the current relay may leave unanswered.
    fn unanswered_limit(&self, is_starting: bool) -> u32 {
        let doublings = match is_starting {
            true => self.unresponsive_relays.min(MAX_UNANSWERED_DOUBLINGS),
            false => 0,
        };
        MAX_UNANSWERED_HEARTBEATS << doublings
    }

    /// Whether this node has a configuration, is in the current view, and knows the owners of the
    /// batched services.
    fn is_synchronized(&self) -> bool {
        let outbox = self.setup.outbox.borrow();
        let state = self.setup.state.borrow();
        let has_configuration = state.configuration.revision().is_some();
        let is_in_view = state.view.is_live(outbox.node(), outbox.incarnation());
        has_configuration && is_in_view && state.knows_batch_owners()
    }

    /// Switches to the next relay; true if that is a different one.
    fn switch_relay(&mut self, now: Millis) -> bool {
        let relays = self.setup.directory.borrow().relays();
        let former = self.relay_selector.current(&relays);
        self.relay_selector.switch_to_next(&relays, now);
        self.unanswered = 0;
        self.relay_selector.current(&relays) != former
    }

    /// Sends a heartbeat to a nearer relay when a probe is due.
    fn probe_nearer_relay(&mut self, now: Millis) {
        let relays = self.setup.directory.borrow().relays();
        if let Some(nearer) = self.relay_selector.nearer_to_probe(&relays, now) {
            let heartbeat = self.heartbeat(now);
            let mut outbox = self.setup.outbox.borrow_mut();
            outbox.send(&nearer, heartbeat);
        }
    }

    /// Sends a heartbeat to the current relay immediately.
    pub fn send_heartbeat(&mut self, cx: CX![]) {
        let relays = self.setup.directory.borrow().relays();
        let Some(relay) = self.relay_selector.current(&relays) else {
            return;
        };
        self.unanswered += 1;
        let now = self.setup.clock.millis(cx.now());
        let heartbeat = self.heartbeat(now);
        self.setup.outbox.borrow_mut().send(&relay, heartbeat);
        self.report_attributes(std::slice::from_ref(&relay), now);
    }

    /// Reports a back-end crash to all relays at once, and again after a delay, because the current
    /// relay, the leader or the message may be lost.
    pub fn report_crash(&mut self, cx: CX![]) {
        self.send_heartbeat_to_all_relays(cx);
        after!(
            CRASH_REPORT_REPEAT_DELAY,
            [cx],
            send_heartbeat_to_all_relays()
        );
    }

    fn send_heartbeat_to_all_relays(&mut self, cx: CX![]) {
        let now = self.setup.clock.millis(cx.now());
        let heartbeat = self.heartbeat(now);
        let relays = self.setup.directory.borrow().replicating_nodes();
        for relay in &relays {
            let mut outbox = self.setup.outbox.borrow_mut();
            outbox.send(relay, heartbeat.clone());
        }
        self.report_attributes(&relays, now);
    }

    /// Reports crashes and answers of requests with suspected attributes, if there are any.
    fn report_attributes(&self, relays: &[NodeName], now: Millis) {
        let mut outbox = self.setup.outbox.borrow_mut();
        let node = outbox.node().0.clone();
        let mut state = self.setup.state.borrow_mut();
        let report = state.attribute_reporter.report(&node, now);
        if report.is_empty() {
            return;
        }
        for relay in relays {
            let message = AttributeMessage::Report(report.clone());
            outbox.send(relay, PeerMessage::Attributes(message));
        }
    }

    /// Reports answers to requests with suspected attributes to the current relay.
    pub fn report_answers(&mut self, cx: CX![]) {
        let now = self.setup.clock.millis(cx.now());
        let relays = self.setup.directory.borrow().relays();
        if let Some(relay) = self.relay_selector.current(&relays) {
            self.report_attributes(&[relay], now);
        }
    }

    /// Applies the suspected attributes of a relay, and tells it what is known of them.
    pub fn watch_attributes(&mut self, cx: CX![], from: NodeName, watched: Vec<WatchedAttributes>) {
        let now = self.setup.clock.millis(cx.now());
        let mut state = self.setup.state.borrow_mut();
        state.attribute_reporter.set_watched(watched, now);
        drop(state);
        self.report_attributes(&[from], now);
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
                    withdrawn: state.stopping || state.cut_off_from_backends,
                    serving: state.has_current_configuration(now, self.setup.freshness_lease),
                    revision: state.configuration.revision(),
                    traffic: state.traffic_version(),
                    evacuations: state.evacuations_revision(),
                    rollouts: state.rollouts_revision(),
                    evidence: state.rollout_evidence.clone(),
                    quarantine: state.quarantine_revision(),
                    crashes: state.pending_crash_reports.crash_reports(now),
                    completed_requests: state.pending_crash_reports.completed_requests(),
                    machines: state.machines_unknown_to_view(),
                },
                view: state.received_view.version,
                backend_list: state
                    .backend_list
                    .as_ref()
                    .map(|backend_list| backend_list.version),
            }
        };
        PeerMessage::Session(SessionMessage::Heartbeat(heartbeat))
    }

    /// Handles a relay's reply to a heartbeat.
    pub fn handle_reply(&mut self, cx: CX![], from: NodeName, reply: SessionReply) {
        if reply.incarnation != self.setup.outbox.borrow().incarnation() {
            // The reply is for a former process of this node, whose clock does not apply here.
            return;
        }
        // A relay that is disconnected from the leader still distributes the back-end list.
        let now = self.setup.clock.millis(cx.now());
        let mut changed = self.apply_backend_list_reply(&reply, now);
        let Some(age) = reply.age.filter(|age| *age <= MAX_RELAY_STATE_AGE) else {
            if self.relay_selector.is_current(&from) {
                self.handle_stale_relay(cx, reply.age);
            }
            if changed {
                fwd!([self.setup.on_change], ());
            }
            return;
        };
        self.relay_selector.record_current_reply(&from);
        if self.relay_selector.is_current(&from) {
            self.stale_replies = 0;
            self.unanswered = 0;
            self.unresponsive_relays = 0;
        }
        // The relay's state includes everything committed before this time.
        let as_of = reply.echo.saturating_sub(age);
        let has_started = self.setup.state.borrow().configuration.revision().is_some();
        if !has_started && as_of < self.started_at {
            // A lagging relay may hold an older revision than the one applied here before the
            // restart.
            if changed {
                fwd!([self.setup.on_change], ());
            }
            return;
        }
        if let Some(update) = reply.update {
            changed |= self.apply_configuration(update);
        }
        // Applied before the configuration: a starting process must not send to an evacuated zone.
        if let Some(evacuations) = reply.evacuations {
            let mut state = self.setup.state.borrow_mut();
            changed |= state.apply_evacuations(evacuations);
        }
        // Also before the configuration: a starting process must not send to a version that was
        // rolled back.
        if let Some(rollouts) = reply.rollouts {
            let mut state = self.setup.state.borrow_mut();
            changed |= state.apply_rollouts(rollouts);
        }
        // Also before the configuration: a starting process must not send quarantined requests.
        if let Some(list) = reply.quarantine {
            let mut state = self.setup.state.borrow_mut();
            changed |= state.apply_quarantine_list(list);
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
                changed |= state.apply_view_update(&view, now);
            }
        }
        if changed {
            fwd!([self.setup.on_change], ());
        }
    }

    /// Tries another relay after a reply from one that is disconnected from the leader.
    fn handle_stale_relay(&mut self, cx: CX![], age: Option<Millis>) {
        if self.stale_replies == 0 {
            // Logged once: without a leader, every relay is stale.
            log::info!(event = "relay_stale", age_ms = age.unwrap_or_default(); "relay state is stale; trying another relay");
        }
        let now = self.setup.clock.millis(cx.now());
        let has_switched = self.switch_relay(now);
        let is_first_stale = std::mem::replace(&mut self.stale_replies, 1) == 0;
        if is_first_stale && has_switched {
            self.send_heartbeat(cx);
        }
    }

    /// Applies the back-end list and its age from a relay's reply; true if the entries changed.
    fn apply_backend_list_reply(&self, reply: &SessionReply, now: Millis) -> bool {
        let mut state = self.setup.state.borrow_mut();
        let update = reply.backend_list.as_ref();
        let changed = update.is_some_and(|update| state.apply_backend_list_update(update, now));
        let held = state
            .backend_list
            .as_ref()
            .map(|backend_list| backend_list.version);
        if let Some((version, age)) = reply.backend_list_age {
            if held == Some(version) {
                let read_at = reply.echo.saturating_sub(age);
                state.backend_list_confirmed_at =
                    state.backend_list_confirmed_at.max(Some(read_at));
            }
        }
        changed
    }

    /// Applies a configuration update that the relay pushed.
    pub fn push_configuration(&mut self, _: CX![], update: ConfigurationUpdate) {
        // Only a reply to a heartbeat of this process proves that the update is not older than the
        // process, so the first update is never accepted from a push.
        let has_started = self.setup.state.borrow().configuration.revision().is_some();
        if has_started && self.apply_configuration(update) {
            fwd!([self.setup.on_change], ());
        }
    }

    /// Applies a traffic configuration that the relay pushed.
    pub fn push_traffic(&mut self, _: CX![], traffic: TrafficUpdate) {
        let has_started = self.setup.state.borrow().configuration.revision().is_some();
        if has_started && self.apply_traffic(traffic) {
            fwd!([self.setup.on_change], ());
        }
    }

    /// Applies evacuated zones that the relay pushed.
    pub fn push_evacuations(&mut self, _: CX![], evacuations: SharedEvacuations) {
        let changed = {
            let mut state = self.setup.state.borrow_mut();
            let has_started = state.configuration.revision().is_some();
            has_started && state.apply_evacuations(evacuations)
        };
        if changed {
            fwd!([self.setup.on_change], ());
        }
    }

    /// Applies rollouts that the relay pushed, and reports them to the leader.
    pub fn push_rollouts(&mut self, cx: CX![], rollouts: SharedRollouts) {
        let changed = {
            let mut state = self.setup.state.borrow_mut();
            let has_started = state.configuration.revision().is_some();
            has_started && state.apply_rollouts(rollouts)
        };
        if changed {
            fwd!([self.setup.on_change], ());
            after!(ROLLOUT_REPORT_DELAY, [cx], send_heartbeat());
        }
    }

    /// Applies a quarantine list that the relay pushed.
    pub fn push_quarantine(&mut self, _: CX![], list: SharedQuarantineList) {
        let changed = {
            let mut state = self.setup.state.borrow_mut();
            let has_started = state.configuration.revision().is_some();
            has_started && state.apply_quarantine_list(list)
        };
        if changed {
            fwd!([self.setup.on_change], ());
        }
    }

    /// Applies a view update that the relay pushed.
    pub fn push_view(&mut self, cx: CX![], update: ViewUpdate) {
        let now = self.setup.clock.millis(cx.now());
        if self
            .setup
            .state
            .borrow_mut()
            .apply_view_update(&update, now)
        {
            fwd!([self.setup.on_change], ());
        }
    }

    /// Applies a back-end list update that the relay pushed.
    pub fn push_backend_list(&mut self, cx: CX![], update: BackendListUpdate) {
        let now = self.setup.clock.millis(cx.now());
        if self
            .setup
            .state
            .borrow_mut()
            .apply_backend_list_update(&update, now)
        {
            fwd!([self.setup.on_change], ());
        }
    }

    fn apply_traffic(&mut self, update: TrafficUpdate) -> bool {
        let mut state = self.setup.state.borrow_mut();
        let held = state.traffic_version();
        if Some(update.version()) <= held {
            return false;
        }
        let traffic = match update.apply_to(state.traffic.as_ref()) {
            Ok(traffic) => traffic,
            Err(error) => {
                // The next heartbeat carries the version held here, so that the relay repairs it.
                log::info!(event = "traffic_update_refused", version = update.version(), held = held.unwrap_or_default(); "{error}");
                return false;
            }
        };
        log::info!(event = "traffic_in_force", version = traffic.version(), before = held.unwrap_or_default(), routes = traffic.traffic.routes.len(); "traffic configuration applied");
        state.traffic = Some(traffic);
        true
    }

    fn apply_configuration(&mut self, update: ConfigurationUpdate) -> bool {
        let mut state = self.setup.state.borrow_mut();
        let applied = state.configuration.apply(update);
        if applied {
            let revision = state.configuration.revision().unwrap_or_default();
            self.setup.metrics.revision.set(revision as i64);
            log::info!(event = "configuration_in_force", revision = revision; "configuration applied");
        }
        applied
    }

    /// Merges the platform's machine list into the node state.
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
            // Other nodes may have an older list, so the change is reported at once.
            self.send_heartbeat(cx);
            fwd!([self.setup.on_change], ());
        }
    }

    /// Marks the process as stopping and reports that at once.
    pub fn stop(&mut self, cx: CX![]) {
        self.setup.state.borrow_mut().stopping = true;
        self.send_heartbeat(cx);
    }
}
