//! The gateway's runtime: its servers and its calls.

use crate::event::EventSender;
use crate::gateway::callers::CallerService;
use crate::gateway::calls::RuntimeCalls;
use crate::gateway::exchange::Exchanger;
use crate::gateway::notices::NoticeListener;
use crate::gateway::surface::SurfaceService;
use crate::settings::GatewaySettings;
use silversail_http::{serve, AsyncService, BodyMemoryLimit, ConnectionPool};
use silversail_serving::ports::Protocols;
use std::io;
use std::sync::atomic::AtomicU64;
use std::sync::Arc;
use tokio::runtime::Runtime;
use tokio::sync::watch;

/// The running servers; dropped, they stop.
pub struct GatewayRuntime {
    runtime: Option<Runtime>,
    calls: RuntimeCalls,
    stopping: watch::Sender<bool>,
    closing: watch::Sender<bool>,
}

impl GatewayRuntime {
    /// Binds all addresses and starts serving.
    pub fn start(
        settings: &GatewaySettings,
        protocols: &Protocols,
        events: &EventSender,
        listener: NoticeListener,
    ) -> io::Result<Self> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .thread_name("gateway")
            .enable_all()
            .build()?;
        let (stopping, is_stopping) = watch::channel(false);
        let (closing, is_closing) = watch::channel(false);
        let (limits, limits_seen) = watch::channel(None);
        let calls = RuntimeCalls {
            runtime: runtime.handle().clone(),
            pool: ConnectionPool::new(),
            protocols: protocols.clone(),
            listener: listener.clone(),
            events: events.clone(),
            limits: Arc::new(limits),
            reads_list: Arc::new(watch::channel(false).0),
        };
        let callers = CallerService {
            events: events.clone(),
            exchanger: Exchanger {
                pool: calls.pool.clone(),
                protocols: protocols.clone(),
                clock: listener.clock,
                listener,
            },
            next_number: Arc::new(AtomicU64::new(1)),
            limits: limits_seen,
            stopping: is_stopping,
        };
        let surface = SurfaceService {
            events: events.clone(),
            protocols: protocols.clone(),
            answer_lifetime_ms: settings.answer_lifetime_ms,
        };
        let surface: Arc<dyn AsyncService> = Arc::new(surface);
        let held = BodyMemoryLimit::new(settings.held_body_bytes);
        {
            let _entered = runtime.enter();
            let callers = Arc::new(callers);
            serve(&settings.callers, callers, held, is_closing.clone())?;
            // Operators and callers' questions don't wait for callers' bodies.
            let held = BodyMemoryLimit::new(settings.held_body_bytes);
            for address in [
                &settings.readiness,
                &settings.control,
                &settings.entry_points,
            ] {
                serve(address, surface.clone(), held.clone(), is_closing.clone())?;
            }
        }
        runtime.spawn(calls.clone().follow_list(settings.clone()));
        Ok(Self {
            runtime: Some(runtime),
            calls,
            stopping,
            closing,
        })
    }

    /// Calls to back ends.
    pub fn calls(&self) -> RuntimeCalls {
        self.calls.clone()
    }

    /// Callers are told with each answer to connect elsewhere.
    pub fn begin_stop(&self) {
        self.stopping.send_replace(true);
    }

    /// Accepts no more connections and closes idle ones.
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
