//! Requests that may run at most once, before three engines of which one sends surplus answers.

use crate::engine::{self, send_repeated, Engine, Places, Serve, Surplus};
use crate::fleet::Fleet;
use crate::http::{call, encode_answer, Head};
use crate::list::EngineList;
use crate::record::Record;
use crate::{configuration, Outcome, Setup};
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SERVICE: &str = "gate";
const SLOTS: usize = 3;
const QUEUE: usize = 1;
const WORK: Duration = Duration::from_millis(60);
const CLIENTS: usize = 12;
const TRAFFIC: Duration = Duration::from_secs(30);
const DEADLINE_MS: &str = "4000";
/// Statuses that promise that the request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Engines that ran each request, in order.
type Runs = Arc<Mutex<BTreeMap<String, Vec<String>>>>;

struct Gate {
    runs: Runs,
}

impl Serve for Gate {
    fn serve(
        &self,
        engine: &Engine,
        request: &Head,
        _: &[u8],
        repeated: Option<Vec<u8>>,
        writer: &mut TcpStream,
    ) -> io::Result<Option<Vec<u8>>> {
        let id = request.value("attempt-id").to_owned();
        let load = engine.places.load();
        if request.value("expect-instance") != engine.id {
            let headers = [("Attempt-Id", id.as_str())];
            writer.write_all(&encode_answer("421 Misdirected Request", &headers, b""))?;
            return Ok(None);
        }
        if !engine.places.take() {
            engine.record.add(format!(
                "{} is full and turns {id} away: 503, Not-Executed",
                engine.id
            ));
            send_repeated(engine, &id, repeated, writer)?;
            let headers = [
                ("Attempt-Id", id.as_str()),
                ("Not-Executed", "1"),
                ("Engine-Load", load.as_str()),
            ];
            let answer = encode_answer("503 Service Unavailable", &headers, b"");
            writer.write_all(&answer)?;
            let is_repeated = engine
                .surplus
                .as_ref()
                .is_some_and(|surplus| surplus.draw(true));
            return Ok(is_repeated.then_some(answer));
        }
        engine
            .record
            .add(format!("{} begins to run {id}", engine.id));
        let mut runs = self.runs.lock().expect("not poisoned");
        runs.entry(id.clone()).or_default().push(engine.id.clone());
        drop(runs);
        let sent = send_repeated(engine, &id, repeated, writer);
        thread::sleep(WORK);
        engine.places.free();
        sent?;
        let signature = format!("sig.{}", engine.id);
        let load = engine.places.load();
        let headers = [
            ("Attempt-Id", id.as_str()),
            ("Engine-Signature", signature.as_str()),
            ("Engine-Load", load.as_str()),
        ];
        let body = format!("{} ran {id}", engine.id);
        writer.write_all(&encode_answer("200 OK", &headers, body.as_bytes()))?;
        if let Some(surplus) = &engine.surplus {
            surplus.draw(false);
        }
        Ok(None)
    }
}

pub fn run(setup: &Setup, record: &Arc<Record>) -> io::Result<Outcome> {
    let list = EngineList::default();
    let runs = Runs::default();
    let mut engines = Vec::new();
    let surplus = Arc::new(Surplus::default());
    for number in 0..3 {
        let is_faulty = setup.is_troubled && number == 0;
        let (id, zone) = (format!("gate-{number}"), format!("z{number}"));
        let surplus = is_faulty.then(|| surplus.clone());
        let serve = Arc::new(Gate { runs: runs.clone() });
        let places = Places::new(SLOTS, QUEUE);
        let entry = (id.as_str(), SERVICE, zone.as_str());
        engines.push(engine::start(&list, entry, places, surplus, record, serve)?);
    }
    let fleet = Fleet::start(3, &setup.folder, list.serve()?)?;
    let route = r#"{"name":"r-gate","host":"a.example","path_prefix":"/gate/","route_kind":"unsafe",
        "timeout_ms":4000,"latency_goal_ms":300,"priority":0,"service":"gate","max_attempts":2,
        "anonymous":false,"sticky":false,"resumable":false}"#;
    let service =
        r#"{"name":"gate","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false}"#;
    if !fleet.publish(&configuration(1, route, service)) || !fleet.wait_until_ready() {
        return Ok(Outcome::NotRun("the system did not get ready"));
    }
    let answers = Arc::new(Mutex::new(BTreeMap::new()));
    let next = Arc::new(AtomicUsize::new(1));
    let end = Instant::now() + TRAFFIC;
    engine::play_surplus(&engines, record, end);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let address = fleet.nodes[client % fleet.nodes.len()].callers;
            let (record, answers, next) = (record.clone(), answers.clone(), next.clone());
            thread::spawn(move || {
                while Instant::now() < end {
                    let id = format!("{:016x}", next.fetch_add(1, Ordering::Relaxed));
                    let headers = [
                        ("Host", "a.example"),
                        ("Attempt-Id", id.as_str()),
                        ("Deadline-Ms", DEADLINE_MS),
                        ("Authorization", "Token key-1"),
                        ("Connection", "close"),
                    ];
                    let timeout = Duration::from_secs(5);
                    let answer = call(address, "POST", "/gate/open", &headers, b"body", timeout);
                    let status = answer.map_or(0, |answer| answer.head.status());
                    record.add(format!("client: {id} got {status}"));
                    answers.lock().expect("not poisoned").insert(id, status);
                    // Clients come back with new work after a while.
                    thread::sleep(Duration::from_millis(if status == 200 { 30 } else { 250 }));
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_millis(500));
    let runs = runs.lock().expect("not poisoned");
    let answers = answers.lock().expect("not poisoned");
    let mut doubled = 0;
    for (id, ran_at) in runs.iter() {
        let status = answers.get(id).copied().unwrap_or(0);
        if ran_at.len() > 1 {
            doubled += 1;
            record.add(format!(
                "TWICE: {id} was run by {}; its client got {status}",
                ran_at.join(" and ")
            ));
        } else if PROMISES.contains(&status) {
            record.add(format!(
                "REFUSED: {id} was run by {}; its client got {status}",
                ran_at.join("")
            ));
        }
    }
    engine::record_surplus(&engines, record);
    record.add(format!(
        "{} requests were sent, {} ran, {doubled} more than once",
        answers.len(),
        runs.len()
    ));
    let served = answers.values().filter(|status| **status == 200).count();
    record.add(format!("{served} were answered with 200"));
    if served * 2 < answers.len() {
        return Ok(Outcome::NotRun("under half of the requests were served"));
    }
    Ok(match doubled {
        0 => Outcome::Held,
        _ => Outcome::Broken,
    })
}
