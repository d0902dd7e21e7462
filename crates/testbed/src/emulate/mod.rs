//! Emulated back ends in one process: engines, pool members, plain services and
//! the platform's machine list, each on its own listen address.

pub mod behavior;
pub mod config;
pub mod engine;
pub mod faults;
pub mod platform;
pub mod run_log;
pub mod service;
pub mod weights;

pub use config::{EmulatorConfig, EngineConfig, PlatformConfig, ServiceConfig};
pub use faults::{FaultMode, Faults};
pub use platform::PlatformHandle;
pub use run_log::RunLog;
pub use weights::{OrderLog, OrderRecord, WeightStoreConfig};

use silversail_http::{Handler, HttpServer, HttpServerConfig};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::runtime::Runtime;
use weights::{EngineModels, WeightStore};

/// Running emulated back ends. Dropping it stops them.
pub struct Emulator {
    /// Listen addresses by name of the back end.
    pub addresses: BTreeMap<String, SocketAddr>,
    /// Injected faults by name of the back end.
    pub faults: BTreeMap<String, Arc<Faults>>,
    /// Calls that services have executed.
    pub run_log: Arc<RunLog>,
    /// The platform's machine list, where one is configured.
    pub platform: Option<PlatformHandle>,
    /// Model orders that engines have received.
    pub orders: Arc<OrderLog>,
    servers: Vec<HttpServer>,
    runtime: Option<Runtime>,
}

impl Emulator {
    /// Starts all back ends of a configuration.
    pub fn start(config: &EmulatorConfig) -> io::Result<Self> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(4)
            .thread_name("emulator")
            .enable_all()
            .build()?;
        let run_log = Arc::new(RunLog::open(config.run_log.as_deref())?);
        let mut emulator = Self {
            addresses: BTreeMap::new(),
            faults: BTreeMap::new(),
            run_log,
            platform: None,
            orders: Arc::default(),
            servers: Vec::new(),
            runtime: None,
        };
        let store = config
            .weight_store
            .clone()
            .map(WeightStore::new)
            .map(Arc::new);
        for engine in &config.engines {
            let faults = emulator.add_faults(&engine.name);
            let models = engine.managed.then(|| {
                let order_log = emulator.orders.clone();
                EngineModels::new(&engine.name, engine.checks_fence, store.clone(), order_log)
            });
            faults.set_behavior(engine.behavior.clone());
            let handler =
                engine::EngineHandler::start(engine.clone(), faults, models, runtime.handle());
            emulator.serve(&engine.name, &engine.address, Arc::new(handler))?;
        }
        for service in &config.services {
            let faults = emulator.add_faults(&service.name);
            faults.set_behavior(service.behavior.clone());
            let run_log = emulator.run_log.clone();
            let handler = service::ServiceHandler::new(
                service.clone(),
                faults,
                run_log,
                runtime.handle().clone(),
                config.seed,
            );
            emulator.serve(&service.name, &service.address, Arc::new(handler))?;
        }
        if let Some(platform) = &config.platform {
            let handle = PlatformHandle::new(platform.clone());
            emulator.platform = Some(handle.clone());
            emulator.serve("platform", &platform.address, Arc::new(handle))?;
        }
        emulator.runtime = Some(runtime);
        Ok(emulator)
    }

    fn add_faults(&mut self, name: &str) -> Arc<Faults> {
        let faults = Arc::new(Faults::default());
        self.faults.insert(name.to_owned(), faults.clone());
        faults
    }

    fn serve(&mut self, name: &str, address: &str, handler: Arc<dyn Handler>) -> io::Result<()> {
        let config = HttpServerConfig {
            threads: 1,
            ..HttpServerConfig::with_default_limits(address)
        };
        let server = HttpServer::start(config, handler)?;
        self.addresses.insert(name.to_owned(), server.address());
        self.servers.push(server);
        Ok(())
    }

    /// Injected faults of a back end.
    ///
    /// # Panics
    /// When no back end has this name.
    pub fn faults(&self, name: &str) -> &Faults {
        &self.faults[name]
    }
}

impl Drop for Emulator {
    fn drop(&mut self) {
        self.servers.clear();
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}
