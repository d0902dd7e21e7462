//! A process of the cluster: its main loop and the handling of events.

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
use crate::pollers::{EngineTargets, MAX_ENGINES_POLLED_BY_ALL};
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

/// Longest wait of the main loop for an event.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// Maximum number of events handled before timers run again.
const MAX_EVENTS_PER_ITERATION: usize = 256;

/// Configuration and dependencies of a [`Node`].
pub struct NodeParts {
    /// Validated settings.
    pub settings: Settings,
    /// Path of the settings file, for reloads.
    pub settings_path: PathBuf,
    /// Codecs of the gateway's external protocols.
    pub protocols: Protocols,
    /// Decision log of the process.
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
    /// Configuration revision and view number from which the load pollers' targets were computed.
    poll_targets_source: Option<(Option<u64>, u64)>,
    failure: Option<NodeError>,
    directory: SharedDirectory,
    settings_path: PathBuf,
    gateway: Option<Rc<GatewayRuntime>>,
    suspension_monitor: SuspensionMonitor,
    log: DecisionLog,
    /// Notices of the gateway's back ends, and of pipelines' back ends.
    notices: [BackendNotices; 2],
    _lock: Option<FolderLock>,
}

impl Node {
    /// Opens the data folder, binds all addresses and starts.
    ///
    /// # Errors
    /// If the data folder can't be used, an address can't be bound, or a thread can't be started.
    pub fn start(parts: NodeParts) -> Result<Self, NodeError> {
        start::start(parts)
    }

    /// Runs until a graceful shutdown has ended.
    ///
    /// # Errors
    /// If a write to the storage failed.
    pub fn run(mut self) -> Result<(), NodeError> {
        loop {
            self.detect_suspension();
            let idle = self.stakker.run(clock::now(), false);
            if !self.stakker.not_shutdown() {
                return self.failure.map_or(Ok(()), Err);
            }
            self.update_poll_targets();
            let wait = self.stakker.next_wait_max(clock::now(), MAX_WAIT, idle);
            match self.events.recv_timeout(wait) {
                Ok(event) => self.handle_events(event),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
        }
    }

    fn handle_events(&mut self, first: Event) {
        // Advance the actors' time and run expired timers before the events, so that leases and
        // deadlines are checked first after the process was frozen or the machine suspended.
        self.detect_suspension();
        self.stakker.run(clock::now(), false);
        self.handle(first);
        for _ in 1..MAX_EVENTS_PER_ITERATION {
            match self.events.try_recv() {
                Ok(event) => self.handle(event),
                Err(_) => return,
            }
        }
    }

    fn detect_suspension(&mut self) {
        if let Some(suspended) = self.suspension_monitor.poll() {
            self.metrics.suspensions.inc();
            let gap_ms = suspended.as_millis() as u64;
            log::warn!(event = "machine_suspended", gap_ms = gap_ms; "the machine was suspended; leases and deadlines are checked again");
        }
    }

    fn handle(&mut self, event: Event) {
        let requests = self.actors.requests.as_ref();
        match event {
            Event::PeerMessage(envelope) => self.actors.deliver(envelope, clock::now()),
            Event::WritesSynced { group, count } => self.actors.synced(group, count),
            Event::StorageFailed { group, error } => self.storage_failed(group, error),
            Event::CallerRequest(request) => {
                if let Some(requests) = requests {
                    call!([requests], handle_request(request));
                }
            }
            Event::CallerDisconnected(number) => {
                if let Some(requests) = requests {
                    call!([requests], caller_disconnected(number));
                }
            }
            Event::EntryPointsRequest { zone, responder } => {
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
                    call!([requests], probe_finished(backend, answer));
                }
            }
            Event::Token {
                attempt,
                sequence,
                text,
            } => {
                if let Some(requests) = requests {
                    call!([requests], handle_token(attempt, sequence, text));
                }
            }
            Event::EngineLoad { backend, load } => self.engine_load(backend, load),
            Event::OrderAnswered { id, result } => {
                if let Some(orders) = &self.actors.orders {
                    call!([orders], handle_answer(id, result));
                }
            }
            Event::MachineList(list) => {
                let session = &self.actors.session;
                call!([session], machine_list(list));
            }
            Event::OperatorRequest { request, reply } => self.operator(request, reply),
            Event::Gateway(event) => {
                if let Some(gateway) = &self.actors.gateway {
                    call!([gateway], handle_event(event));
                }
            }
            Event::Reload => self.reload(),
            Event::Terminate => self.terminate(),
        }
    }

    /// Stops the process, as the state of the storage is unknown after a failed write.
    fn storage_failed(&mut self, group: GroupId, error: StorageError) {
        log::error!(event = "storage_failed", group = group.to_string().as_str(), code = ResultCode::StorageWrite.number(); "{error}");
        self.failure = Some(NodeError::new(ResultCode::StorageWrite, error));
        self.stakker.shutdown(stakker::StopCause::Stopped);
    }

    fn engine_load(&self, backend: BackendName, load: EngineLoad) {
        if let Some(orders) = &self.actors.orders {
            call!([orders], record_engine_load(backend.clone(), load.clone()));
        }
        if let Some(requests) = &self.actors.requests {
            call!([requests], record_engine_load(backend, load));
        }
    }

    /// Updates the load pollers' targets after a change of configuration or view: all engines if
    /// they are few, otherwise those of which this node has home slots.
    fn update_poll_targets(&mut self) {
        let state = self.state.borrow();
        let source = (state.configuration.revision(), state.view_changes);
        if self.poll_targets_source == Some(source) {
            return;
        }
        self.poll_targets_source = Some(source);
        let backends = &state.configuration.configuration().backends;
        let engines: Vec<&Backend> = backends
            .values()
            .filter(|backend| backend.kind == BackendKind::Engine)
            .collect();
        let table = SlotTable::new(engines.iter().map(|engine| (&engine.name, engine.slots)));
        let (nodes, rank) = state.node_count_and_rank(&self.settings.node);
        let is_polled = |engine: &&Backend| {
            engines.len() <= MAX_ENGINES_POLLED_BY_ALL
                || table.home_slots(&engine.name, engine.slots, nodes, rank) > 0
        };
        let targets = engines
            .iter()
            .copied()
            .filter(is_polled)
            .map(|engine| (engine.name.clone(), engine.address.clone()))
            .collect();
        if let Ok(mut current) = self.engine_targets.lock() {
            *current = targets;
        }
    }

    /// Applies the settings that may change while the process runs: the contact addresses.
    fn reload(&mut self) {
        let Ok(settings) = Settings::load(&self.settings_path) else {
            log::warn!(event = "reload_failed"; "the settings file can't be read or is invalid; the previous settings remain in use");
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
        log::info!(event = "stopping"; "graceful shutdown started");
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
                .map(|gateway| Duration::from_millis(gateway.stop_grace_ms)),
            log: self.log.clone(),
            leadership_transfers: self.actors.leadership_transfers(),
        };
        let stop = actor!(&mut self.stakker, StopActor::init(setup), ret_nop!());
        self.stop = Some(stop);
    }
}
