//! The wiring of one process and its main loop.

use crate::calls::CallRunner;
use crate::clock::{wall_clock_ms, Clock};
use crate::event::{Event, EventSender};
use crate::metrics::Metrics;
use crate::orders::{OrderActor, OrderSetup};
use crate::outbox::{Outbox, SharedOutbox};
use crate::pollers::{start_load_pollers, start_platform_poller, EngineTargets, FEW_ENGINES};
use crate::replica::{
    GroupStatus, ProposalOutcome, ProposerActor, ReplicaActor, ReplicaSetup, SharedStatus,
    StorageWriter,
};
use crate::requests::{RequestActor, RequestSetup};
use crate::session::{
    NodeState, RelayActor, RelaySetup, SessionActor, SessionSetup, SharedNodeState,
};
use crate::settings::Settings;
use crate::stop::{StopActor, StopSetup};
use crate::surface::callers::CallerHandler;
use crate::surface::entry_points::{self, EntryPointSettings};
use crate::surface::operators::{self, GroupBody, OperatorReply, OperatorRequest, StatusBody};
use serde_json::json;
use silversail_backend::Agents;
use silversail_consensus::{ReplicaId, StateMachine};
use silversail_control::{ChangeOutcome, ChangeRequest, ControlCommand, ControlState, ViewVersion};
use silversail_http::{HttpServer, HttpServerConfig};
use silversail_ledger::LedgerState;
use silversail_model::{Backend, BackendKind, NodeName, ResultCode};
use silversail_peer::{Envelope, GroupId, GroupMessage, NngTransport, PeerMessage, SessionMessage};
use silversail_routing::SlotTable;
use silversail_storage::write_queue::WriteNotice;
use silversail_storage::{FolderLock, ReplicaStore, StorageError, WriteQueue};
use stakker::{actor, call, fwd_nop, fwd_to, ret_nop, ret_some_do, ActorOwn, Fwd, Stakker};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, SyncSender};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Longest wait of the main loop without an event.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// Most events taken in one go, so that timers are not kept waiting.
const EVENTS_PER_TURN: usize = 256;
/// Longest wait for a change to be committed.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(6);

/// Why a process could not start, or stopped unplanned.
#[derive(Debug, thiserror::Error)]
#[error("{} {message}", .code.number())]
pub struct NodeError {
    /// Numbered code.
    pub code: ResultCode,
    /// What happened.
    pub message: String,
}

impl NodeError {
    fn new(code: ResultCode, message: impl std::fmt::Display) -> Self {
        Self {
            code,
            message: message.to_string(),
        }
    }
}

impl From<StorageError> for NodeError {
    fn from(error: StorageError) -> Self {
        let code = match &error {
            StorageError::Corrupt { .. } => ResultCode::StorageCorrupt,
            StorageError::Locked { .. } => ResultCode::DataFolderLocked,
            StorageError::Io { .. } => ResultCode::DataFolder,
        };
        Self::new(code, error)
    }
}

/// The replicas of a voter.
struct VoterActors {
    control: ActorOwn<ReplicaActor<ControlState>>,
    ledgers: Vec<ActorOwn<ReplicaActor<LedgerState>>>,
    relay: ActorOwn<RelayActor>,
    machine: Rc<RefCell<ControlState>>,
    _lock: FolderLock,
}

/// A running process.
pub struct Node {
    settings: Arc<Settings>,
    stakker: Stakker,
    events: Receiver<Event>,
    clock: Clock,
    incarnation: u64,
    state: SharedNodeState,
    metrics: Arc<Metrics>,
    statuses: BTreeMap<GroupId, SharedStatus>,
    voter: Option<VoterActors>,
    control_proposer: ActorOwn<ProposerActor>,
    ledger_proposers: Vec<ActorOwn<ProposerActor>>,
    session: ActorOwn<SessionActor>,
    requests: ActorOwn<RequestActor>,
    orders: Option<ActorOwn<OrderActor>>,
    stop: Option<ActorOwn<StopActor>>,
    server: Rc<HttpServer>,
    engine_targets: EngineTargets,
    seen_state: Option<(Option<u64>, ViewVersion)>,
    failure: Option<NodeError>,
}

impl Node {
    /// Opens the data folder, binds all addresses and starts.
    pub fn start(settings: Settings) -> Result<Self, NodeError> {
        Builder::new(settings).build()
    }

    /// What stops the process as planned when [`Event::Terminate`] is sent.
    pub fn run(mut self) -> Result<(), NodeError> {
        loop {
            let idle = self.stakker.run(Instant::now(), false);
            if !self.stakker.not_shutdown() {
                return match self.failure {
                    Some(failure) => Err(failure),
                    None => Ok(()),
                };
            }
            self.follow_configuration();
            let wait = self.stakker.next_wait_max(Instant::now(), MAX_WAIT, idle);
            match self.events.recv_timeout(wait) {
                Ok(event) => self.handle_events(event),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
        }
    }

    fn handle_events(&mut self, first: Event) {
        // Actors must see the time at which an event is handled, also after
        // the process was frozen: so time moves on before the events do.
        self.stakker.run(Instant::now(), false);
        self.handle(first);
        for _ in 1..EVENTS_PER_TURN {
            match self.events.try_recv() {
                Ok(event) => self.handle(event),
                Err(_) => return,
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Peer(envelope) => self.peer(envelope),
            Event::Synced { group, count } => self.synced(group, count),
            Event::StorageFailed { group, error } => {
                log::error!(event = "storage_failed", group = group.to_string().as_str(), code = ResultCode::StorageWrite.number(); "{error}");
                self.failure = Some(NodeError::new(ResultCode::StorageWrite, error));
                self.stakker.shutdown(stakker::StopCause::Stopped);
            }
            Event::Caller(request) => call!([self.requests], request(request)),
            Event::CallerGone(number) => call!([self.requests], caller_gone(number)),
            Event::EntryPoints { zone, responder } => {
                let now = self.clock.millis(Instant::now());
                let settings = EntryPointSettings {
                    freshness_lease: self.settings.timing.freshness_lease_ms,
                    lifetime: self.settings.timing.entry_point_lifetime_ms,
                };
                let state = self.state.borrow();
                entry_points::answer(&state, &settings, zone.as_deref(), now, responder);
            }
            Event::CallEnded {
                attempt,
                service,
                result,
            } => call!([self.requests], call_ended(attempt, service, result)),
            Event::Token {
                attempt,
                sequence,
                text,
            } => call!([self.requests], token(attempt, sequence, text)),
            Event::EngineLoad { backend, load } => {
                if let Some(orders) = &self.orders {
                    call!([orders], engine_load(backend.clone(), load.clone()));
                }
                call!([self.requests], engine_load(backend, load))
            }
            Event::OrderSent { id, result } => {
                if let Some(orders) = &self.orders {
                    call!([orders], sent(id, result));
                }
            }
            Event::MachineList(list) => call!([self.session], machine_list(list)),
            Event::Operator { request, reply } => self.operator(request, reply),
            Event::Terminate => self.terminate(),
        }
    }

    fn peer(&mut self, envelope: Envelope) {
        let from = envelope.from;
        match envelope.message {
            PeerMessage::Group { group, message } => self.group_message(group, from, message),
            PeerMessage::Session(SessionMessage::Reply(reply)) => {
                call!([self.session], reply(reply))
            }
            PeerMessage::Session(SessionMessage::Push(update)) => {
                call!([self.session], push(update))
            }
            PeerMessage::Session(message) => self.relay_message(from, message),
        }
    }

    fn relay_message(&mut self, from: NodeName, message: SessionMessage) {
        let Some(voter) = &self.voter else {
            return;
        };
        match message {
            SessionMessage::Heartbeat(heartbeat) => {
                call!([voter.relay], heartbeat(from, heartbeat))
            }
            SessionMessage::Reports(reports) => call!([voter.relay], reports(reports)),
            SessionMessage::View(view) => call!([voter.relay], view(view)),
            SessionMessage::Reply(_) | SessionMessage::Push(_) => {}
        }
    }

    fn group_message(&mut self, group: GroupId, from: NodeName, message: GroupMessage) {
        if let GroupMessage::ProposeReply { proposal, result } = message {
            let proposer = match group {
                GroupId::Control => Some(&self.control_proposer),
                GroupId::Ledger(part) => self.ledger_proposers.get(usize::from(part)),
            };
            if let Some(proposer) = proposer {
                call!([proposer], reply(proposal, result));
            }
            return;
        }
        let Some(voter) = &self.voter else {
            return;
        };
        match group {
            GroupId::Control => call!([voter.control], message(from, message)),
            GroupId::Ledger(part) => {
                if let Some(replica) = voter.ledgers.get(usize::from(part)) {
                    call!([replica], message(from, message));
                }
            }
        }
    }

    fn synced(&mut self, group: GroupId, count: usize) {
        let Some(voter) = &self.voter else {
            return;
        };
        match group {
            GroupId::Control => call!([voter.control], synced(count)),
            GroupId::Ledger(part) => {
                if let Some(replica) = voter.ledgers.get(usize::from(part)) {
                    call!([replica], synced(count));
                }
            }
        }
    }

    /// Tells the load pollers which engines to ask: all where they are few,
    /// else those of which this node has home slots.
    fn follow_configuration(&mut self) {
        let state = self.state.borrow();
        let seen = (state.configuration.revision(), state.view.version);
        if self.seen_state == Some(seen) {
            return;
        }
        self.seen_state = Some(seen);
        let backends = &state.configuration.configuration().backends;
        let engines: Vec<&Backend> = backends
            .values()
            .filter(|backend| backend.kind == BackendKind::Engine)
            .collect();
        let table = SlotTable::new(engines.iter().map(|engine| (&engine.name, engine.slots)));
        let (nodes, rank) = state.share(&self.settings.node);
        let is_asked = |engine: &&Backend| {
            engines.len() <= FEW_ENGINES
                || table.home_slots(&engine.name, engine.slots, nodes, rank) > 0
        };
        let targets = engines
            .iter()
            .copied()
            .filter(is_asked)
            .map(|engine| (engine.name.clone(), engine.address.clone()))
            .collect();
        if let Ok(mut current) = self.engine_targets.lock() {
            *current = targets;
        }
    }

    fn operator(&mut self, request: OperatorRequest, reply: SyncSender<OperatorReply>) {
        let answer = match request {
            OperatorRequest::Configuration => self.configuration(),
            OperatorRequest::Status => OperatorReply::ok(&self.status()),
            OperatorRequest::Change(change) => {
                self.change(change, reply);
                return;
            }
        };
        // The operator's thread may have stopped waiting.
        let _ = reply.try_send(answer);
    }

    fn configuration(&self) -> OperatorReply {
        let now = self.clock.millis(Instant::now());
        let state = self.state.borrow();
        let age = state.freshness.age(now);
        if !state.is_current(now, self.settings.timing.freshness_lease_ms) {
            let message = "this node can't confirm that its configuration is current";
            let details = json!({ "revision": state.configuration.revision(), "age_ms": age });
            return OperatorReply::refuse(ResultCode::NotCurrent, message, details);
        }
        OperatorReply::ok(&json!({
            "revision": state.configuration.revision(),
            "age_ms": age,
            "document": state.configuration.configuration().to_document(),
        }))
    }

    fn change(&mut self, change: ChangeRequest, reply: SyncSender<OperatorReply>) {
        let command = ControlCommand::Change(change).encode();
        let ret = ret_some_do!(move |outcome: ProposalOutcome| {
            let _ = reply.try_send(change_reply(outcome));
        });
        call!(
            [self.control_proposer],
            propose(command, CHANGE_TIMEOUT, ret)
        );
    }

    fn status(&self) -> StatusBody {
        let now = self.clock.millis(Instant::now());
        let state = self.state.borrow();
        let groups = self
            .statuses
            .iter()
            .map(|(group, status)| (group.to_string(), group_body(&status.borrow())))
            .collect();
        let backends = &state.configuration.configuration().backends;
        StatusBody {
            node: self.settings.node.0.clone(),
            incarnation: self.incarnation,
            serving: state.is_current(now, self.settings.timing.freshness_lease_ms),
            stopping: state.stopping,
            revision: state.configuration.revision(),
            configuration_age_ms: state.freshness.age(now),
            open_requests: self.metrics.open_requests.get(),
            queued_stages: self.metrics.queued_stages.get(),
            usable_nodes: state
                .view
                .usable_nodes()
                .map(|one| one.node.0.clone())
                .collect(),
            leaving_machines: backends
                .values()
                .filter(|backend| state.is_leaving(&backend.address))
                .map(|backend| backend.address.clone())
                .collect(),
            groups,
        }
    }

    fn terminate(&mut self) {
        if self.stop.is_some() {
            return;
        }
        log::info!(event = "stopping"; "planned stop");
        let hand_over: Vec<Fwd<()>> = match &self.voter {
            None => Vec::new(),
            Some(voter) => std::iter::once(fwd_to!([voter.control], hand_over() as ()))
                .chain(
                    voter
                        .ledgers
                        .iter()
                        .map(|replica| fwd_to!([replica], hand_over() as ())),
                )
                .collect(),
        };
        let setup = StopSetup {
            node: self.settings.node.clone(),
            timing: self.settings.timing.clone(),
            state: self.state.clone(),
            session: self.session.clone(),
            metrics: self.metrics.clone(),
            server: self.server.clone(),
            hand_over,
        };
        let stop = actor!(&mut self.stakker, StopActor::init(setup), ret_nop!());
        self.stop = Some(stop);
    }
}

fn group_body(status: &GroupStatus) -> GroupBody {
    GroupBody {
        formed: status.formed,
        is_leader: status.is_leader,
        term: status.term,
        leader: status.leader.clone(),
        commit_index: status.commit_index,
        replica: status.report.clone(),
    }
}

fn change_reply(outcome: ProposalOutcome) -> OperatorReply {
    let outcome = match outcome {
        ProposalOutcome::Applied(bytes) => postcard::from_bytes(&bytes).ok(),
        ProposalOutcome::Unavailable => None,
    };
    match outcome {
        Some(ChangeOutcome::Accepted { revision }) => {
            OperatorReply::ok(&json!({ "revision": revision }))
        }
        Some(ChangeOutcome::Conflict { current }) => OperatorReply::refuse(
            ResultCode::RevisionConflict,
            "another change was accepted on the base revision",
            json!({ "current_revision": current }),
        ),
        Some(ChangeOutcome::Invalid(errors)) => {
            let details: Vec<_> = errors
                .errors
                .iter()
                .map(|error| {
                    json!({
                        "code": error.code.number(),
                        "path": error.path,
                        "message": error.message,
                    })
                })
                .collect();
            OperatorReply::refuse(
                ResultCode::InvalidConfiguration,
                &errors.to_string(),
                json!({ "errors": details }),
            )
        }
        Some(ChangeOutcome::ChangeIdReused) => OperatorReply::refuse(
            ResultCode::ChangeIdReused,
            "the change identifier belongs to another change",
            json!({}),
        ),
        None => OperatorReply::refuse(
            ResultCode::NoLeader,
            "no leader answered; resend with the same change identifier",
            json!({}),
        ),
    }
}

/// Puts a process together.
struct Builder {
    settings: Arc<Settings>,
    stakker: Stakker,
    clock: Clock,
    incarnation: u64,
    events: EventSender,
    receiver: Receiver<Event>,
    metrics: Arc<Metrics>,
    statuses: BTreeMap<GroupId, SharedStatus>,
}

impl Builder {
    fn new(settings: Settings) -> Self {
        let now = Instant::now();
        let (events, receiver) = channel();
        Self {
            settings: Arc::new(settings),
            stakker: Stakker::new(now),
            clock: Clock::new(now),
            incarnation: wall_clock_ms(),
            events,
            receiver,
            metrics: Arc::new(Metrics::new()),
            statuses: BTreeMap::new(),
        }
    }

    fn build(mut self) -> Result<Node, NodeError> {
        let outbox = self.outbox()?;
        let state: SharedNodeState = Rc::new(RefCell::new(NodeState::default()));
        let voter = if self.settings.is_voter() {
            Some(self.voter_actors(&outbox)?)
        } else {
            None
        };
        let control_proposer = self.proposer(GroupId::Control, &outbox);
        let ledger_proposers: Vec<ActorOwn<ProposerActor>> =
            (0..self.settings.cluster.ledger_groups)
                .map(|part| self.proposer(GroupId::Ledger(part), &outbox))
                .collect();
        let agents = Agents::new();
        let requests = self.request_actor(&agents, &state, &ledger_proposers);
        let session = self.session_actor(&outbox, &state, &requests);
        let orders = voter
            .as_ref()
            .map(|voter| self.order_actor(&agents, &state, &voter.machine, &control_proposer));
        let server = self.caller_server()?;
        operators::start(
            &self.settings.operators,
            self.events.clone(),
            self.metrics.clone(),
        )
        .map_err(|error| {
            let message = format!("operators {}: {error}", self.settings.operators);
            NodeError::new(ResultCode::AddressInUse, message)
        })?;
        let engine_targets = self.start_pollers(agents);
        self.listen_to_signals()?;
        log::info!(event = "started", node = self.settings.node.as_str(), incarnation = self.incarnation; "silversaild started");
        Ok(Node {
            settings: self.settings,
            stakker: self.stakker,
            events: self.receiver,
            clock: self.clock,
            incarnation: self.incarnation,
            state,
            metrics: self.metrics,
            statuses: self.statuses,
            voter,
            control_proposer,
            ledger_proposers,
            session,
            requests,
            orders,
            stop: None,
            server: Rc::new(server),
            engine_targets,
            seen_state: None,
            failure: None,
        })
    }

    fn outbox(&self) -> Result<SharedOutbox, NodeError> {
        let settings = &self.settings;
        let peers = settings
            .cluster
            .nodes
            .iter()
            .filter(|node| node.name != settings.node)
            .map(|node| (node.name.clone(), node.peer.clone()))
            .collect();
        let events = self.events.clone();
        let metrics = self.metrics.clone();
        let receive = move |message: Result<Envelope, _>, bytes: usize| match message {
            Ok(envelope) => {
                let kind = message_kind(&envelope.message);
                metrics.peer_received.with_label_values(&[kind]).inc();
                metrics
                    .peer_received_bytes
                    .with_label_values(&[kind])
                    .inc_by(bytes as u64);
                let _ = events.send(Event::Peer(envelope));
            }
            Err(error) => {
                metrics.peer_received.with_label_values(&["rejected"]).inc();
                log::warn!(event = "peer_message_rejected", code = ResultCode::PeerProtocol.number(); "{error}");
            }
        };
        let transport = NngTransport::start(
            settings.peer_listen_address(),
            &peers,
            &settings.cluster.name,
            receive,
        )
        .map_err(|error| NodeError::new(ResultCode::AddressInUse, error))?;
        let loopback = self.events.clone();
        Ok(Rc::new(RefCell::new(Outbox::new(
            settings.cluster.name.clone(),
            settings.node.clone(),
            self.incarnation,
            Box::new(transport),
            Box::new(move |envelope| {
                let _ = loopback.send(Event::Peer(envelope));
            }),
            self.metrics.clone(),
        ))))
    }

    fn voter_actors(&mut self, outbox: &SharedOutbox) -> Result<VoterActors, NodeError> {
        let settings = self.settings.clone();
        let Some(folder) = &settings.data_folder else {
            return Err(NodeError::new(ResultCode::DataFolder, "no data folder"));
        };
        let lock = FolderLock::acquire(folder)?;
        let machine = Rc::new(RefCell::new(ControlState::default()));
        let status = self.status_of(GroupId::Control);
        let relay = actor!(
            &mut self.stakker,
            RelayActor::init(RelaySetup {
                voters: settings.cluster.voters.clone(),
                machine: machine.clone(),
                status: status.clone(),
                outbox: outbox.clone(),
                node_lease: settings.timing.node_lease_ms,
                clock: self.clock,
            }),
            ret_nop!()
        );
        let on_applied = fwd_to!([relay], configuration_applied() as ());
        let control = self.replica(GroupId::Control, machine.clone(), outbox, on_applied)?;
        let mut ledgers = Vec::new();
        for part in 0..settings.cluster.ledger_groups {
            let retention = settings.timing.ledger_retention_ms;
            let machine = Rc::new(RefCell::new(LedgerState::new(retention)));
            ledgers.push(self.replica(GroupId::Ledger(part), machine, outbox, fwd_nop!())?);
        }
        Ok(VoterActors {
            control,
            ledgers,
            relay,
            machine,
            _lock: lock,
        })
    }

    fn status_of(&mut self, group: GroupId) -> SharedStatus {
        self.statuses.entry(group).or_default().clone()
    }

    fn replica<M: StateMachine + 'static>(
        &mut self,
        group: GroupId,
        machine: Rc<RefCell<M>>,
        outbox: &SharedOutbox,
        on_applied: Fwd<()>,
    ) -> Result<ActorOwn<ReplicaActor<M>>, NodeError> {
        let settings = self.settings.clone();
        let root = settings.data_folder.clone().unwrap_or_default();
        let folder = root.join(group.to_string());
        let opened = ReplicaStore::open(&folder, || ReplicaId(rand::random()))?;
        if opened.torn_bytes > 0 {
            log::warn!(event = "torn_tail", group = group.to_string().as_str(), bytes = opened.torn_bytes; "an unfinished write was cut off the log");
        }
        let events = self.events.clone();
        let notify = move |notice| {
            let event = match notice {
                WriteNotice::Synced(count) => Event::Synced { group, count },
                WriteNotice::Failed(error) => Event::StorageFailed { group, error },
            };
            let _ = events.send(event);
        };
        let queue = WriteQueue::start(opened.store, notify)
            .map_err(|error| NodeError::new(ResultCode::DataFolder, error))?;
        let setup = ReplicaSetup {
            group,
            node: settings.node.clone(),
            replica: opened.identity,
            voters: settings.cluster.voters.clone(),
            stored: opened.state,
            config: settings.consensus_config(),
            seed: rand::random(),
            machine,
            status: self.status_of(group),
            outbox: outbox.clone(),
            writer: Box::new(StorageWriter(queue)),
            on_applied,
            clock: self.clock,
        };
        Ok(actor!(
            &mut self.stakker,
            <ReplicaActor<M>>::init(setup),
            ret_nop!()
        ))
    }

    fn proposer(&mut self, group: GroupId, outbox: &SharedOutbox) -> ActorOwn<ProposerActor> {
        let voters = self.settings.cluster.voters.clone();
        actor!(
            &mut self.stakker,
            ProposerActor::init(group, voters, outbox.clone(), self.metrics.clone()),
            ret_nop!()
        )
    }

    fn request_actor(
        &mut self,
        agents: &Agents,
        state: &SharedNodeState,
        ledgers: &[ActorOwn<ProposerActor>],
    ) -> ActorOwn<RequestActor> {
        let setup = RequestSetup {
            settings: self.settings.clone(),
            node: self.settings.node.clone(),
            incarnation: self.incarnation,
            state: state.clone(),
            ledgers: ledgers.iter().map(|ledger| (**ledger).clone()).collect(),
            calls: Box::new(CallRunner::new(agents.clone(), self.events.clone())),
            metrics: self.metrics.clone(),
            clock: self.clock,
            seed: rand::random(),
        };
        actor!(&mut self.stakker, RequestActor::init(setup), ret_nop!())
    }

    fn session_actor(
        &mut self,
        outbox: &SharedOutbox,
        state: &SharedNodeState,
        requests: &ActorOwn<RequestActor>,
    ) -> ActorOwn<SessionActor> {
        let settings = &self.settings;
        let setup = SessionSetup {
            first_relay: settings.first_relay(),
            relays: settings.cluster.voters.clone(),
            zone: settings.own_node().zone.clone(),
            caller_address: settings.own_node().callers.clone(),
            heartbeat: Duration::from_millis(settings.timing.session_heartbeat_ms),
            freshness_lease: settings.timing.freshness_lease_ms,
            state: state.clone(),
            outbox: outbox.clone(),
            metrics: self.metrics.clone(),
            on_change: fwd_to!([requests], node_state_changed() as ()),
            clock: self.clock,
        };
        actor!(&mut self.stakker, SessionActor::init(setup), ret_nop!())
    }

    fn order_actor(
        &mut self,
        agents: &Agents,
        state: &SharedNodeState,
        machine: &Rc<RefCell<ControlState>>,
        proposer: &ActorOwn<ProposerActor>,
    ) -> ActorOwn<OrderActor> {
        let setup = OrderSetup {
            machine: machine.clone(),
            status: self.status_of(GroupId::Control),
            state: state.clone(),
            proposer: (**proposer).clone(),
            sender: Box::new(CallRunner::new(agents.clone(), self.events.clone())),
            leader_lease: self.settings.timing.election_timeout_ms,
            weight_store_mb_per_s: self.settings.timing.weight_store_mb_per_s,
            clock: self.clock,
        };
        actor!(&mut self.stakker, OrderActor::init(setup), ret_nop!())
    }

    fn caller_server(&self) -> Result<HttpServer, NodeError> {
        let limits = &self.settings.limits;
        let address = self.settings.caller_listen_address();
        let config = HttpServerConfig {
            max_connections: limits.connections,
            header_timeout: Duration::from_millis(limits.header_timeout_ms),
            body_timeout: Duration::from_millis(limits.body_timeout_ms),
            max_body_bytes: limits.body_bytes,
            ..HttpServerConfig::on(address)
        };
        let handler = CallerHandler::new(self.events.clone(), self.metrics.clone());
        HttpServer::start(config, Arc::new(handler)).map_err(|error| {
            NodeError::new(
                ResultCode::AddressInUse,
                format!("callers {address}: {error}"),
            )
        })
    }

    fn start_pollers(&self, agents: Agents) -> EngineTargets {
        let targets = EngineTargets::default();
        let timing = &self.settings.timing;
        start_load_pollers(
            agents.clone(),
            targets.clone(),
            Duration::from_millis(timing.load_poll_ms),
            self.events.clone(),
        );
        if let Some(platform) = &self.settings.platform {
            start_platform_poller(
                agents,
                platform.clone(),
                self.settings.node.clone(),
                Duration::from_millis(timing.platform_poll_ms),
                self.events.clone(),
            );
        }
        targets
    }

    fn listen_to_signals(&self) -> Result<(), NodeError> {
        use signal_hook::consts::{SIGINT, SIGTERM};
        let mut signals = signal_hook::iterator::Signals::new([SIGTERM, SIGINT])
            .map_err(|error| NodeError::new(ResultCode::InvalidSettings, error))?;
        let events = self.events.clone();
        std::thread::Builder::new()
            .name("signals".into())
            .spawn(move || {
                for _ in signals.forever() {
                    if events.send(Event::Terminate).is_err() {
                        return;
                    }
                }
            })
            .map(drop)
            .map_err(|error| NodeError::new(ResultCode::InvalidSettings, error))
    }
}

/// The label under which a message is counted.
fn message_kind(message: &PeerMessage) -> &'static str {
    match message {
        PeerMessage::Group { message, .. } => match message {
            GroupMessage::Consensus { .. } => "consensus",
            GroupMessage::Formation(_) => "formation",
            GroupMessage::Propose { .. } | GroupMessage::ProposeReply { .. } => "proposal",
        },
        PeerMessage::Session(_) => "session",
    }
}
