//! One process: its main loop and what it does with each event.

mod errors;
mod operators;
mod quarantine;
mod start;

pub use errors::NodeError;

use crate::actors::NodeActors;
use crate::clock::{self, Clock, SuspensionMonitor};
use crate::directory::SharedDirectory;
use crate::event::Event;
use crate::gateway::runtime::GatewayRuntime;
use crate::metrics::Metrics;
use crate::pollers::{EngineTargets, FEW_ENGINES};
use crate::session::SharedNodeState;
use crate::settings::Settings;
use crate::stop::{StopActor, StopSetup};
use crate::surface::entry_points::{self, EntryPointSettings};
use silversail_backend::EngineLoad;
use silversail_decisions::{DecisionLog, Event as LogEvent};
use silversail_http::HttpServer;
use silversail_model::{Backend, BackendKind, BackendName, ResultCode};
use silversail_peer::GroupId;
use silversail_routing::SlotTable;
use silversail_serving::notices::BackendNotices;
use silversail_serving::ports::Protocols;
use silversail_storage::{FolderLock, StorageError};
use stakker::{actor, call, ret_nop, ActorOwn, Stakker};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::sync::Arc;
use std::time::Duration;

/// Longest wait of the main loop without an event.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// Most events taken in one go, so that timers are not kept waiting.
const EVENTS_PER_TURN: usize = 256;

/// What a process is started with.
pub struct NodeParts {
    /// Its settings.
    pub settings: Settings,
    /// Where they were read, to be read again.
    pub settings_path: PathBuf,
    /// The outside protocols of the gateway.
    pub protocols: Protocols,
    /// Where decisions are told.
    pub log: DecisionLog,
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
    actors: NodeActors,
    stop: Option<ActorOwn<StopActor>>,
    server: Rc<HttpServer>,
    engine_targets: EngineTargets,
    /// Configuration revision and view that the load pollers follow.
    polled_state: Option<(Option<u64>, u64)>,
    failure: Option<NodeError>,
    directory: SharedDirectory,
    settings_path: PathBuf,
    gateway: Option<Rc<GatewayRuntime>>,
    suspension_monitor: SuspensionMonitor,
    log: DecisionLog,
    /// What back ends said of themselves: those of the gateway, and those of pipelines.
    notices: [BackendNotices; 2],
    _lock: Option<FolderLock>,
}

impl Node {
    /// Opens the data folder, binds all addresses and starts.
    pub fn start(parts: NodeParts) -> Result<Self, NodeError> {
        start::start(parts)
    }

    /// Runs until a planned stop has ended, or a write failed.
    pub fn run(mut self) -> Result<(), NodeError> {
        loop {
            self.note_suspension();
            let idle = self.stakker.run(clock::now(), false);
            if !self.stakker.not_shutdown() {
                return self.failure.map_or(Ok(()), Err);
            }
            self.follow_configuration();
            let wait = self.stakker.next_wait_max(clock::now(), MAX_WAIT, idle);
            match self.events.recv_timeout(wait) {
                Ok(event) => self.handle_events(event),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
        }
    }

    fn handle_events(&mut self, first: Event) {
        // Actors must see the time at which an event is handled, also after
        // the process was frozen or its machine suspended: so time moves on before the events do.
        // With it come the timers that were due meanwhile, which check leases and deadlines.
        self.note_suspension();
        self.stakker.run(clock::now(), false);
        self.handle(first);
        for _ in 1..EVENTS_PER_TURN {
            match self.events.try_recv() {
                Ok(event) => self.handle(event),
                Err(_) => return,
            }
        }
    }

    fn note_suspension(&mut self) {
        if let Some(suspended) = self.suspension_monitor.poll() {
            self.metrics.suspensions.inc();
            let gap_ms = suspended.as_millis() as u64;
            log::warn!(event = "machine_suspended", gap_ms = gap_ms; "the machine was suspended");
        }
    }

    fn handle(&mut self, event: Event) {
        let requests = self.actors.requests.as_ref();
        match event {
            Event::Peer(envelope) => self.actors.deliver(envelope, clock::now()),
            Event::Synced { group, count } => self.actors.synced(group, count),
            Event::StorageFailed { group, error } => self.storage_failed(group, error),
            Event::Caller(request) => {
                if let Some(requests) = requests {
                    call!([requests], request(request));
                }
            }
            Event::CallerDisconnected(number) => {
                if let Some(requests) = requests {
                    call!([requests], caller_gone(number));
                }
            }
            Event::EntryPoints { zone, responder } => {
                let now = self.clock.millis(clock::now());
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
            } => {
                if let Some(requests) = requests {
                    call!([requests], call_ended(attempt, service, result));
                }
            }
            Event::BackendProbed { backend, answer } => {
                if let Some(requests) = requests {
                    call!([requests], probed(backend, answer));
                }
            }
            Event::Token {
                attempt,
                sequence,
                text,
            } => {
                if let Some(requests) = requests {
                    call!([requests], token(attempt, sequence, text));
                }
            }
            Event::EngineLoad { backend, load } => self.engine_load(backend, load),
            Event::OrderSent { id, result } => {
                if let Some(orders) = &self.actors.orders {
                    call!([orders], sent(id, result));
                }
            }
            Event::MachineList(list) => {
                let session = &self.actors.session;
                call!([session], machine_list(list));
            }
            Event::Operator { request, reply } => self.operator(request, reply),
            Event::Gateway(event) => {
                if let Some(gateway) = &self.actors.gateway {
                    call!([gateway], event(event));
                }
            }
            Event::Reload => self.reload(),
            Event::Terminate => self.terminate(),
        }
    }

    /// What is on the disk is not known after a failed write: the process stops.
    fn storage_failed(&mut self, group: GroupId, error: StorageError) {
        log::error!(event = "storage_failed", group = group.to_string().as_str(), code = ResultCode::StorageWrite.number(); "{error}");
        self.failure = Some(NodeError::new(ResultCode::StorageWrite, error));
        self.stakker.shutdown(stakker::StopCause::Stopped);
    }

    fn engine_load(&self, backend: BackendName, load: EngineLoad) {
        if let Some(orders) = &self.actors.orders {
            call!([orders], engine_load(backend.clone(), load.clone()));
        }
        if let Some(requests) = &self.actors.requests {
            call!([requests], engine_load(backend, load));
        }
    }

    /// Tells the load pollers which engines to ask: all where they are few,
    /// else those of which this node has home slots.
    fn follow_configuration(&mut self) {
        let state = self.state.borrow();
        let seen = (state.configuration.revision(), state.view_changes);
        if self.polled_state == Some(seen) {
            return;
        }
        self.polled_state = Some(seen);
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

    /// Takes what may change while the process runs: contact addresses.
    fn reload(&mut self) {
        let Ok(settings) = Settings::load(&self.settings_path) else {
            log::warn!(event = "reload_failed"; "the settings can't be read; the former ones stay");
            return;
        };
        let Some(discovery) = settings.discovery else {
            return;
        };
        let addresses = discovery.contact_addresses();
        let change = format!("contact_addresses={}", addresses.join(","));
        if self.directory.borrow_mut().set_contact_addresses(addresses) {
            self.log.record(LogEvent::Reloaded { change });
        }
    }

    fn terminate(&mut self) {
        if self.stop.is_some() {
            return;
        }
        log::info!(event = "stopping"; "planned stop");
        if let Some(gateway) = &self.gateway {
            gateway.begin_stop();
        }
        let setup = StopSetup {
            node: self.settings.node.clone(),
            timing: self.settings.timing.clone(),
            state: self.state.clone(),
            session: self.actors.session.clone(),
            metrics: self.metrics.clone(),
            server: self.server.clone(),
            gateway: self.gateway.clone(),
            stop_grace: self
                .settings
                .gateway
                .as_ref()
                .map(|one| Duration::from_millis(one.stop_grace_ms)),
            log: self.log.clone(),
            leadership_transfers: self.actors.leadership_transfers(),
        };
        let stop = actor!(&mut self.stakker, StopActor::init(setup), ret_nop!());
        self.stop = Some(stop);
    }
}
