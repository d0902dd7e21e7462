//! Threads that read engines' loads and the platform's list at intervals.

use crate::call_guard::AddressGuard;
use crate::event::{Event, EventSender};
use crate::gateway::notices::NoticeListener;
use silversail_backend::{engine, platform, Agents};
use silversail_model::{BackendName, NodeName};
use silversail_serving::notices::ExchangeKind;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Engines to ask, renewed when the configuration changes.
pub type EngineTargets = Arc<Mutex<Vec<(BackendName, String)>>>;

/// Threads that share the engines.
const LOAD_THREADS: usize = 4;
/// Up to so many engines a process asks all of them for their loads.
pub const FEW_ENGINES: usize = 32;
/// Most loads that a process asks for in a second where engines are few.
const POLLS_PER_SECOND_OF_FEW: u32 = 80;
/// Most loads that a process asks for in a second else: more engines are asked
/// less often each, so that the cost to a node does not grow with the cluster.
const POLLS_PER_SECOND: u32 = 20;

/// Starts asking engines for their loads.
pub fn start_load_pollers(
    agents: Agents,
    targets: EngineTargets,
    interval: Duration,
    listener: &NoticeListener,
    events: EventSender,
) {
    for part in 0..LOAD_THREADS {
        let (agents, targets, events) = (agents.clone(), targets.clone(), events.clone());
        let listener = listener.clone();
        spawn("load-poller", move || loop {
            let mine: Vec<(BackendName, String)> = match targets.lock() {
                Ok(targets) => targets
                    .iter()
                    .skip(part)
                    .step_by(LOAD_THREADS)
                    .cloned()
                    .collect(),
                Err(_) => return,
            };
            for (backend, address) in mine {
                let guard = AddressGuard {
                    listener: &listener,
                    address: &address,
                    path: ExchangeKind::Load,
                };
                if let Ok(load) = engine::fetch_load(&agents, &address, &guard) {
                    if events.send(Event::EngineLoad { backend, load }).is_err() {
                        return;
                    }
                }
            }
            thread::sleep(interval.max(round_time(&targets)));
        });
    }
}

/// Shortest time of a round over all targets.
fn round_time(targets: &EngineTargets) -> Duration {
    let count = targets.lock().map_or(0, |targets| targets.len());
    let polls_per_second = match count <= FEW_ENGINES {
        true => POLLS_PER_SECOND_OF_FEW,
        false => POLLS_PER_SECOND,
    };
    Duration::from_secs(count as u64) / polls_per_second
}

/// Starts reading the platform's list.
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
        .expect("a thread can be started at process start");
}
