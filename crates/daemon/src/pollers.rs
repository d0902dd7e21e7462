//! Threads that poll engines' loads and the platform's machine list.

use crate::call_guard::AddressGuard;
use crate::event::{Event, EventSender};
use crate::gateway::notices::NoticeRecorder;
use silversail_backend::{engine, platform, Agents};
use silversail_model::{BackendName, NodeName};
use silversail_serving::notices::ExchangeKind;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Names and addresses of the engines to poll, updated when the configuration changes.
pub type EngineTargets = Arc<Mutex<Vec<(BackendName, String)>>>;

/// Number of threads among which the engines are divided.
const LOAD_POLLER_THREADS: usize = 4;
/// Maximum number of engines up to which every process polls all of them.
pub const MAX_ENGINES_POLLED_BY_ALL: usize = 32;
/// Maximum load polls per second of one process if it polls all engines.
const POLLS_PER_SECOND_OF_ALL_ENGINES: u32 = 80;
/// Maximum load polls per second of one process if it polls only a part of the engines. With more
/// engines each is polled less often, so that a node's cost does not grow with the cluster.
const POLLS_PER_SECOND: u32 = 20;

/// Starts the threads that poll engines for their loads.
pub fn start_load_pollers(
    agents: Agents,
    targets: EngineTargets,
    interval: Duration,
    listener: &NoticeRecorder,
    events: EventSender,
) {
    for thread_index in 0..LOAD_POLLER_THREADS {
        let (agents, targets, events) = (agents.clone(), targets.clone(), events.clone());
        let listener = listener.clone();
        spawn("load-poller", move || loop {
            let assigned: Vec<(BackendName, String)> = match targets.lock() {
                Ok(targets) => targets
                    .iter()
                    .skip(thread_index)
                    .step_by(LOAD_POLLER_THREADS)
                    .cloned()
                    .collect(),
                Err(_) => return,
            };
            for (backend, address) in assigned {
                let guard = AddressGuard {
                    listener: &listener,
                    address: &address,
                    exchange_kind: ExchangeKind::Load,
                };
                if let Ok(load) = engine::fetch_load(&agents, &address, &guard) {
                    if events.send(Event::EngineLoad { backend, load }).is_err() {
                        return;
                    }
                }
            }
            thread::sleep(interval.max(min_round_duration(&targets)));
        });
    }
}

/// Minimum time of a round over all targets.
fn min_round_duration(targets: &EngineTargets) -> Duration {
    let count = targets.lock().map_or(0, |targets| targets.len());
    let polls_per_second = match count <= MAX_ENGINES_POLLED_BY_ALL {
        true => POLLS_PER_SECOND_OF_ALL_ENGINES,
        false => POLLS_PER_SECOND,
    };
    Duration::from_secs(count as u64) / polls_per_second
}

/// Starts the thread that polls the platform's machine list.
pub fn start_platform_poller(
    agents: Agents,
    address: String,
    node: NodeName,
    interval: Duration,
    events: EventSender,
) {
    spawn("platform-poller", move || loop {
        match platform::fetch_machine_list(&agents, &address, node.as_str()) {
            Ok(list) => {
                if events.send(Event::MachineList(list)).is_err() {
                    return;
                }
            }
            Err(failure) => log::debug!(event = "platform_list_failed"; "{failure}"),
        }
        thread::sleep(interval);
    });
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) {
    thread::Builder::new()
        .name(name.into())
        .spawn(run)
        .expect("threads can be started at process start");
}
