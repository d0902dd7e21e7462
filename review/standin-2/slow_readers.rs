//! Clients read their answers slowly, while others use kept connections.

use crate::engine::{Engines, Service};
use crate::fleet::{free_network, Fleet};
use crate::memory::{most_lost, watch, KeptClients};
use crate::record::Record;
use crate::stop::{fetch, Received};
use crate::{CaseError, Verdict};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// `memory_mb` of a machine with a disk.
const MEMORY_BYTES: u64 = 160 << 20;
/// Size of an answer.
const ANSWER_BYTES: usize = 1_000_000;
/// Rate at which a client reads: 0.32 Mbit/s.
const SLOW_BYTES_PER_SECOND: usize = 40_000;
/// The same of a client that doesn't read slowly.
const FAST_BYTES_PER_SECOND: usize = 100_000_000;
/// Requests a second to all machines together: 9 MB a second to each, of a link of 100 Mbit/s.
const REQUESTS_PER_SECOND: f64 = 27.0;
const REQUESTS: usize = 810;
const DEADLINE_MS: u64 = 30_000;
const KEPT_PER_MACHINE: usize = 8;
/// Time for which the case goes on after the first of these requests.
const PLAYED_FOR: Duration = Duration::from_secs(45);
/// More requests than this may not be left without an answer by one machine.
const ALLOWED_WITHOUT_ANSWER: usize = 3;

fn configuration() -> String {
    let route = |name: &str, prefix: &str, kind: &str, timeout_ms: u64, service: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"a.example\",\"path_prefix\":\"{prefix}\",\
             \"route_kind\":\"{kind}\",\"timeout_ms\":{timeout_ms},\"latency_goal_ms\":2000,\
             \"priority\":1,\"service\":\"{service}\",\"max_attempts\":1,\"phases\":[],\
             \"anonymous\":false,\"sticky\":false,\"resumable\":false}}"
        )
    };
    let service = |name: &str| {
        format!("{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_conns\":570}}")
    };
    format!(
        "{{\"version\":7,\"routes\":[{},{}],\"services\":[{},{}],\"limits\":{{\
         \"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"bozi300\",\"api_keys\":\
         [\"9dnn2ctnfzs989anu6ws\"],\"priority\":1}}]}}",
        route("r-1", "/serve/", "safe", DEADLINE_MS, "rosters"),
        route("r-2", "/lookup/", "unsafe", 4_000, "lookups"),
        service("rosters"),
        service("lookups"),
    )
}

/// Sends the requests at their rate to the machines in turn. The answers' ends are counted.
fn send_requests(addresses: Vec<SocketAddr>, rate: usize, whole: Arc<AtomicUsize>) {
    let start = Instant::now();
    for number in 0..REQUESTS {
        let due = Duration::from_secs_f64(number as f64 / REQUESTS_PER_SECOND);
        thread::sleep(due.saturating_sub(start.elapsed()));
        let address = addresses[number % addresses.len()];
        let whole = whole.clone();
        let client = move || {
            let id = format!("{number:016x}");
            let received = fetch(address, &id, DEADLINE_MS, rate);
            let is_whole = received.as_ref().is_some_and(Received::is_whole);
            whole.fetch_add(usize::from(is_whole), Ordering::Relaxed);
        };
        let small = thread::Builder::new().stack_size(128 << 10);
        let _ = small.spawn(client);
    }
}

pub fn play(record: &Record, has_trouble: bool) -> Result<Verdict, CaseError> {
    let service = |name, answer_bytes, work| Service {
        name,
        answer_bytes,
        work: Duration::from_millis(work),
    };
    let network = free_network(3)?;
    let zones: &[&str] = &["z0", "z1", "z2", "z0", "z1", "z2", "z0"];
    let services = [
        (service("rosters", ANSWER_BYTES, 20), zones),
        (service("lookups", 800, 400), zones),
    ];
    let engines = Engines::start_services(&format!("{network}.200"), &services, record)?;
    let mut fleet = Fleet::prepare(&network, 3, engines.list, record)?;
    fleet.start_all()?;
    match fleet.publish(&configuration(), Duration::from_secs(30)) {
        Some(200) => {}
        other => return Err(format!("the configuration was not taken: {other:?}")),
    }
    fleet.wait_until_ready(Duration::from_secs(20))?;
    let addresses: Vec<SocketAddr> = fleet.nodes.iter().map(|node| node.frontend()).collect();
    let kept = KeptClients::start(KEPT_PER_MACHINE, &addresses, record);
    // The machines are in touch, and calm for longer than contact_ms.
    thread::sleep(Duration::from_secs(6));
    let rate = match has_trouble {
        true => SLOW_BYTES_PER_SECOND,
        false => FAST_BYTES_PER_SECOND,
    };
    record.line(&format!(
        "from now on {REQUESTS_PER_SECOND} requests a second, whose answers are read at {rate} \
         bytes a second"
    ));
    let whole = Arc::new(AtomicUsize::new(0));
    let counted = whole.clone();
    thread::spawn(move || send_requests(addresses, rate, counted));
    let watched = watch(&mut fleet, MEMORY_BYTES, PLAYED_FOR, record)?;
    let unanswered = kept.end();
    let runs = engines.runs();
    let lost = most_lost(&unanswered, &runs, &watched);
    record.line(&format!(
        "{} requests run; {} answers of {ANSWER_BYTES} bytes came whole; {} times a process \
         went over memory_mb; up to {lost} requests at one machine, on kept connections, were run by an \
         engine and got no answer before any process was started again",
        runs.len(),
        whole.load(Ordering::Relaxed),
        watched.kills,
    ));
    Ok(match lost > ALLOWED_WITHOUT_ANSWER {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}
