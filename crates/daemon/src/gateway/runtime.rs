//! Tokio runtime of the gateway, with its HTTP servers and its calls to back ends.

use crate::event::EventSender;
use crate::gateway::callers::CallerService;
use crate::gateway::calls::RuntimeCalls;
use crate::gateway::exchange::ExchangeClient;
use crate::gateway::notices::NoticeRecorder;
use crate::gateway::request_sender::RequestSender;
use crate::gateway::surface::SurfaceService;
use crate::settings::GatewaySettings;
use silversail_http::{serve, AsyncService, BodyMemoryLimit, ConnectionPool, OpenConnections};
use silversail_serving::ports::Protocols;
use std::io;
use std::sync::atomic::AtomicU64;
use std::sync::Arc;
use tokio::runtime::Runtime;
use tokio::sync::watch;

/// The running servers, which stop when this is dropped.
pub struct GatewayRuntime {
    runtime: Option<Runtime>,
    calls: RuntimeCalls,
    stopping: watch::Sender<bool>,
    closing: watch::Sender<bool>,
    caller_connections: OpenConnections,
}

impl GatewayRuntime {
    /// Binds all addresses and starts the servers.
    pub fn start(
        settings: &GatewaySettings,
        protocols: &Protocols,
        events: &EventSender,
        notice_recorder: NoticeRecorder,
        exchanges: ExchangeClient,
    ) -> io::Result<Self> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .thread_name("gateway")
            .enable_all()
            .build()?;
        let (stopping, stopping_receiver) = watch::channel(false);
        let (closing, closing_receiver) = watch::channel(false);
        let (limits, limits_receiver) = watch::channel(None);
        let calls = RuntimeCalls {
            runtime: runtime.handle().clone(),
            pool: ConnectionPool::new(),
            protocols: protocols.clone(),
            notice_recorder: notice_recorder.clone(),
            exchanges: exchanges.clone(),
            events: events.clone(),
            limits: Arc::new(limits),
            is_list_reader: Arc::new(watch::channel(false).0),
        };
        let callers = CallerService {
            events: events.clone(),
            request_sender: RequestSender {
                pool: calls.pool.clone(),
                protocols: protocols.clone(),
                clock: notice_recorder.clock,
                notice_recorder,
                exchanges,
                answer_memory: BodyMemoryLimit::new(settings.held_answer_bytes),
            },
            next_number: Arc::new(AtomicU64::new(1)),
            limits: limits_receiver,
            stopping: stopping_receiver,
        };
        let surface = SurfaceService {
            events: events.clone(),
            protocols: protocols.clone(),
            answer_lifetime_ms: settings.answer_lifetime_ms,
        };
        let surface: Arc<dyn AsyncService> = Arc::new(surface);
        let held_bodies = BodyMemoryLimit::new(settings.held_body_bytes);
        let caller_connections = {
            let _guard = runtime.enter();
            let callers = Arc::new(callers);
            let caller_connections = serve(
                &settings.callers,
                callers,
                held_bodies,
                closing_receiver.clone(),
            )?;
            // A separate limit, so that callers' bodies cannot block operators and entry-point
            // lookups.
            let held_bodies = BodyMemoryLimit::new(settings.held_body_bytes);
            for address in [
                &settings.readiness,
                &settings.control,
                &settings.entry_points,
            ] {
                serve(
                    address,
                    surface.clone(),
                    held_bodies.clone(),
                    closing_receiver.clone(),
                )?;
            }
            caller_connections
        };
        runtime.spawn(calls.clone().run_list_reader(settings.clone()));
        Ok(Self {
            runtime: Some(runtime),
            calls,
            stopping,
            closing,
            caller_connections,
        })
    }

    /// Returns the handle for calls to back ends.
    pub fn calls(&self) -> RuntimeCalls {
        self.calls.clone()
    }

    /// Asks callers, with each answer, to close their connections.
    pub fn begin_stop(&self) {
        self.stopping.send_replace(true);
    }

    /// Number of callers' connections that are open.
    pub fn open_caller_connections(&self) -> usize {
        self.caller_connections.count()
    }

    /// Stops accepting connections and closes idle ones. Answers in progress are completed.
    pub fn close(&self) {
        self.closing.send_replace(true);
    }
}

impl Drop for GatewayRuntime {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}
