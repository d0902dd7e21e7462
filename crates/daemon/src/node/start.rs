//! Start of a process: data folder, sockets, actors, APIs and pollers.

use super::{Node, NodeError, NodeParts};
use crate::actors::{ActorBuilder, ActorContext, GatewayPorts, OpenedReplica, Platform};
use crate::calls::{CallThreadPool, OrderSender, StageCalls};
use crate::clock::{self, wall_clock_ms, Clock, SuspensionMonitor};
use crate::event::{Event, EventSender};
use crate::gateway::calls::RuntimeCalls;
use crate::gateway::exchange::ExchangeClient;
use crate::gateway::notices::NoticeRecorder;
use crate::gateway::runtime::GatewayRuntime;
use crate::metrics::Metrics;
use crate::outbox::{Outbox, SharedOutbox};
use crate::pollers::{start_load_pollers, start_platform_poller, EngineTargets};
use crate::replica::StorageWriter;
use crate::session::SharedNodeState;
use crate::settings::{GatewaySettings, Settings};
use crate::surface::callers::CallerHandler;
use crate::surface::operators;
use silversail_backend::Agents;
use silversail_consensus::ReplicaId;
use silversail_decisions::Event as LogEvent;
use silversail_http::{HttpServer, HttpServerConfig};
use silversail_model::{ResultCode, Topology};
use silversail_peer::{Envelope, GroupId, NngTransport};
use silversail_serving::notices::BackendNotices;
use silversail_serving::ports::Protocols;
use silversail_storage::write_queue::WriteNotice;
use silversail_storage::{FolderLock, ReplicaStore, WriteQueue};
use stakker::Stakker;
use std::cell::RefCell;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::mpsc::channel;
use std::sync::Arc;
use std::time::Duration;

/// Interval at which the settings file is checked for changes.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Starts all components of a process.
pub(super) fn start(parts: NodeParts) -> Result<Node, NodeError> {
    let settings = Arc::new(parts.settings);
    let suspension_monitor = SuspensionMonitor::start();
    let now = clock::now();
    let (events, receiver) = channel();
    let metrics = Arc::new(Metrics::new());
    let incarnation = wall_clock_ms();
    let clock = Clock::new(now);
    let lock = match &settings.data_folder {
        Some(folder) if settings.is_voter() => Some(FolderLock::acquire(folder)?),
        _ => None,
    };
    let topology = settings
        .topology()
        .map_err(|error| NodeError::new(error.code, error))?;
    let topology = Arc::new(topology);
    let directory = settings.directory(topology.clone(), incarnation, clock.millis(now));
    let directory = Rc::new(RefCell::new(directory));
    let log = parts.log;
    let outbox = open_outbox(&settings, topology.clone(), &events, &metrics, incarnation)?;
    let agents = Agents::new();
    let listener = |notices| NoticeRecorder {
        notices,
        metrics: metrics.clone(),
        clock,
    };
    let stage_listener = listener(BackendNotices::new(log.clone()));
    let notices = BackendNotices::new(log.clone());
    let all_notices = [notices.clone(), stage_listener.notices.clone()];
    let gateway = match &settings.gateway {
        Some(gateway) => {
            let listener = listener(notices.clone());
            let exchanges = ExchangeClient {
                protocols: parts.protocols.clone(),
                notice_recorder: listener.clone(),
                log: log.clone(),
            };
            let protocols = &parts.protocols;
            let started = start_gateway(gateway, protocols, &events, listener, exchanges)?;
            Some(started)
        }
        None => None,
    };
    let mut platform = ProcessPlatform {
        data_folder: settings.data_folder.clone().unwrap_or_default(),
        events: events.clone(),
        calls: CallThreadPool::new(agents.clone(), stage_listener.clone(), events.clone()),
        gateway: gateway.as_ref().map(|gateway| gateway.calls()),
        protocols: parts.protocols,
        notices,
    };
    let mut stakker = Stakker::new(now);
    let state = SharedNodeState::default();
    let context = ActorContext {
        settings: settings.clone(),
        topology,
        outbox,
        state: state.clone(),
        directory: directory.clone(),
        metrics: metrics.clone(),
        log: log.clone(),
        stage_notices: stage_listener.notices.clone(),
        clock,
    };
    let actors = ActorBuilder::new(&mut stakker, context, &mut platform).build()?;
    let server = serve_callers(&settings, &events, &metrics)?;
    serve_operators(&settings, &events, &metrics)?;
    let engine_targets = start_pollers(&settings, &events, agents, &stage_listener);
    start_signal_handler(events.clone())?;
    if settings.discovery.is_some() {
        start_settings_watcher(parts.settings_path.clone(), events)?;
    }
    log.record(LogEvent::Started {
        version: env!("CARGO_PKG_VERSION").to_owned(),
        incarnation,
    });
    Ok(Node {
        settings,
        stakker,
        events: receiver,
        clock,
        incarnation,
        state,
        metrics,
        actors,
        stop: None,
        server: Rc::new(server),
        engine_targets,
        poll_targets_source: None,
        failure: None,
        directory,
        settings_path: parts.settings_path,
        gateway: gateway.map(Rc::new),
        suspension_monitor,
        log,
        notices: all_notices,
        _lock: lock,
    })
}

/// The [`Platform`] of a real process: its disk and threads.
struct ProcessPlatform {
    data_folder: PathBuf,
    events: EventSender,
    calls: CallThreadPool,
    gateway: Option<RuntimeCalls>,
    protocols: Protocols,
    notices: BackendNotices,
}

impl Platform for ProcessPlatform {
    fn open_replica(&mut self, group: GroupId) -> Result<OpenedReplica, NodeError> {
        let folder = self.data_folder.join(group.to_string());
        let opened = ReplicaStore::open(&folder, || ReplicaId(rand::random()))?;
        if opened.torn_bytes > 0 {
            log::warn!(event = "torn_tail", group = group.to_string().as_str(), bytes = opened.torn_bytes; "removed an incomplete write from the end of the log");
        }
        let events = self.events.clone();
        let notify = move |notice| {
            let event = match notice {
                WriteNotice::Synced(count) => Event::WritesSynced { group, count },
                WriteNotice::Failed(error) => Event::StorageFailed { group, error },
            };
            // Sending fails only while the process exits.
            let _ = events.send(event);
        };
        let queue = WriteQueue::start(opened.store, notify)
            .map_err(|error| NodeError::new(ResultCode::DataFolder, error))?;
        Ok(OpenedReplica {
            identity: opened.identity,
            stored: opened.state,
            writer: Box::new(StorageWriter(queue)),
        })
    }

    fn seed(&mut self) -> u64 {
        rand::random()
    }

    fn calls(&self) -> Option<Box<dyn StageCalls>> {
        Some(Box::new(self.calls.clone()))
    }

    fn order_sender(&self) -> Option<Box<dyn OrderSender>> {
        Some(Box::new(self.calls.clone()))
    }

    fn gateway(&self) -> Option<GatewayPorts> {
        Some(GatewayPorts {
            protocols: self.protocols.clone(),
            calls: Box::new(self.gateway.clone()?),
            notices: self.notices.clone(),
        })
    }
}

fn start_gateway(
    settings: &GatewaySettings,
    protocols: &Protocols,
    events: &EventSender,
    listener: NoticeRecorder,
    exchanges: ExchangeClient,
) -> Result<GatewayRuntime, NodeError> {
    let started = GatewayRuntime::start(settings, protocols, events, listener, exchanges);
    started.map_err(|error| {
        let message = format!("gateway {}: {error}", settings.callers);
        NodeError::new(ResultCode::AddressInUse, message)
    })
}

fn open_outbox(
    settings: &Settings,
    topology: Arc<Topology>,
    events: &EventSender,
    metrics: &Arc<Metrics>,
    incarnation: u64,
) -> Result<SharedOutbox, NodeError> {
    let nodes = settings.cluster.nodes.iter();
    let peers = nodes
        .filter(|node| node.name != settings.node)
        .map(|node| (node.name.clone(), node.peer.clone()))
        .collect();
    let peer_events = events.clone();
    let receive_metrics = metrics.clone();
    let receive = move |message: Result<Envelope, _>, bytes: usize| match message {
        Ok(envelope) => {
            let kind = envelope.message.kind();
            receive_metrics
                .peer_received
                .with_label_values(&[kind])
                .inc();
            let version = envelope.version.to_string();
            receive_metrics
                .peer_received_versions
                .with_label_values(&[&version])
                .inc();
            receive_metrics
                .peer_received_bytes
                .with_label_values(&[kind])
                .inc_by(bytes as u64);
            let _ = peer_events.send(Event::PeerMessage(envelope));
        }
        Err(error) => {
            receive_metrics
                .peer_received
                .with_label_values(&["rejected"])
                .inc();
            log::warn!(event = "peer_message_rejected", code = ResultCode::PeerProtocol.number(); "{error}");
        }
    };
    let cluster = &settings.cluster.name;
    let transport = NngTransport::start(settings.peer_listen_address(), &peers, cluster, receive)
        .map_err(|error| NodeError::new(ResultCode::AddressInUse, error))?;
    let loopback_events = events.clone();
    let mut outbox = Outbox::new(
        cluster.clone(),
        settings.node.clone(),
        incarnation,
        Box::new(transport),
        Box::new(move |envelope| {
            let _ = loopback_events.send(Event::PeerMessage(envelope));
        }),
        metrics.clone(),
    )
    .with_topology(topology);
    for node in &settings.cluster.nodes {
        outbox.set_zone(&node.name, &node.zone);
    }
    Ok(Rc::new(RefCell::new(outbox)))
}

fn serve_callers(
    settings: &Settings,
    events: &EventSender,
    metrics: &Arc<Metrics>,
) -> Result<HttpServer, NodeError> {
    let limits = &settings.limits;
    let address = settings.caller_listen_address();
    let config = HttpServerConfig {
        max_connections: limits.connections,
        header_timeout: Duration::from_millis(limits.header_timeout_ms),
        body_timeout: Duration::from_millis(limits.body_timeout_ms),
        max_body_bytes: limits.body_bytes,
        ..HttpServerConfig::with_default_limits(address)
    };
    let handler = CallerHandler::new(events.clone(), metrics.clone());
    HttpServer::start(config, Arc::new(handler)).map_err(|error| {
        let message = format!("callers {address}: {error}");
        NodeError::new(ResultCode::AddressInUse, message)
    })
}

fn serve_operators(
    settings: &Settings,
    events: &EventSender,
    metrics: &Arc<Metrics>,
) -> Result<(), NodeError> {
    let address = &settings.operators;
    operators::start(address, events.clone(), metrics.clone())
        .map(drop)
        .map_err(|error| {
            let message = format!("operators {address}: {error}");
            NodeError::new(ResultCode::AddressInUse, message)
        })
}

fn start_pollers(
    settings: &Settings,
    events: &EventSender,
    agents: Agents,
    listener: &NoticeRecorder,
) -> EngineTargets {
    let targets = EngineTargets::default();
    if settings.gateway.is_some() {
        // The gateway's back ends report their loads with their answers.
        return targets;
    }
    let timing = &settings.timing;
    start_load_pollers(
        agents.clone(),
        targets.clone(),
        Duration::from_millis(timing.load_poll_ms),
        listener,
        events.clone(),
    );
    if let Some(platform) = &settings.platform {
        start_platform_poller(
            agents,
            platform.clone(),
            settings.node.clone(),
            Duration::from_millis(timing.platform_poll_ms),
            events.clone(),
        );
    }
    targets
}

fn start_signal_handler(events: EventSender) -> Result<(), NodeError> {
    use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
    let signal_error = |error: std::io::Error| NodeError::new(ResultCode::InvalidSettings, error);
    let mut signals =
        signal_hook::iterator::Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(signal_error)?;
    std::thread::Builder::new()
        .name("signals".into())
        .spawn(move || {
            for signal in signals.forever() {
                let event = match signal {
                    SIGHUP => Event::Reload,
                    _ => Event::Terminate,
                };
                if events.send(event).is_err() {
                    return;
                }
            }
        })
        .map(drop)
        .map_err(signal_error)
}

/// Watches the settings file, as it may change without a signal to the process.
fn start_settings_watcher(path: PathBuf, events: EventSender) -> Result<(), NodeError> {
    let mut last_content = std::fs::read(&path).unwrap_or_default();
    std::thread::Builder::new()
        .name("settings-watch".into())
        .spawn(move || loop {
            std::thread::sleep(SETTINGS_CHECK_INTERVAL);
            let Ok(content) = std::fs::read(&path) else {
                continue;
            };
            if content != last_content && events.send(Event::Reload).is_err() {
                return;
            }
            last_content = content;
        })
        .map(drop)
        .map_err(|error| NodeError::new(ResultCode::InvalidSettings, error))
}
