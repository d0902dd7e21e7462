//! Requests with a stage before them, at whose service one engine sends surplus answers.

use crate::engine::{self, send_repeated, Engine, Places, Serve, Surplus};
use crate::fleet::Fleet;
use crate::http::{call, encode_answer, Head};
use crate::json::Json;
use crate::list::EngineList;
use crate::record::Record;
use crate::{configuration, Outcome, Setup};
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Engines of the stage's service, and how many of them are faulty.
const STAGES: u64 = 5;
const FAULTY: u64 = 3;
const CALL: Duration = Duration::from_millis(240);
const PIECE: Duration = Duration::from_millis(17);
const RESULT_LIFETIME: Duration = Duration::from_secs(4);
/// Time for which a model engine reads a prompt.
const PREFILL: Duration = Duration::from_millis(600);
const EVENTS: usize = 10;
const EVENT: Duration = Duration::from_millis(25);
const TRAFFIC: Duration = Duration::from_secs(85);
/// Pause between two requests.
const PAUSE: Duration = Duration::from_millis(50);

/// A result: whose it is, and until when it is kept.
struct StageResult {
    request: String,
    phase: u32,
    segment: u32,
    expires_at: Instant,
}

/// Results of all stage engines by handle.
#[derive(Clone, Default)]
struct Results(Arc<Mutex<BTreeMap<String, StageResult>>>);

struct Stage {
    results: Results,
    next: Mutex<u64>,
    turn: Mutex<()>,
}

impl Stage {
    fn run(&self, engine: &Engine, items: &[Json]) -> Vec<u8> {
        let _turn = self.turn.lock().expect("not poisoned");
        thread::sleep(CALL + PIECE * items.len() as u32);
        let mut answers = Vec::new();
        for item in items {
            let mut next = self.next.lock().expect("not poisoned");
            *next += 1;
            let handle = format!("{}/{:08x}", engine.address, *next);
            let field = |name: &str| item.get(name).map_or(0.0, Json::number) as u32;
            let result = StageResult {
                request: item.get("id").map_or("", Json::text).to_owned(),
                phase: field("phase"),
                segment: field("segment"),
                expires_at: Instant::now() + RESULT_LIFETIME,
            };
            engine.record.add(format!(
                "{} made {handle} of {}, stage {}, piece {}",
                engine.id, result.request, result.phase, result.segment
            ));
            answers.push(format!(r#"{{"handle":"{handle}"}}"#));
            let mut results = self.results.0.lock().expect("not poisoned");
            results.insert(handle, result);
        }
        format!(r#"{{"items":[{}]}}"#, answers.join(",")).into_bytes()
    }
}

impl Serve for Stage {
    fn serve(
        &self,
        engine: &Engine,
        request: &Head,
        body: &[u8],
        repeated: Option<Vec<u8>>,
        writer: &mut TcpStream,
    ) -> io::Result<Option<Vec<u8>>> {
        // The echo of the identifier, if the call has one.
        let id = request.value("attempt-id").to_owned();
        let mut headers = vec![("Content-Type", "application/json")];
        if !id.is_empty() {
            headers.push(("Attempt-Id", id.as_str()));
        }
        let body = Json::parse(body).unwrap_or(Json::Null);
        if request.target() == "/stage-free" {
            send_repeated(engine, "a stage-free", repeated, writer)?;
            let handles = body.get("handles").map(Json::list).unwrap_or_default();
            for handle in handles {
                engine
                    .record
                    .add(format!("{} frees {}", engine.id, handle.text()));
                let mut results = self.results.0.lock().expect("not poisoned");
                results.remove(handle.text());
            }
            writer.write_all(&encode_answer("200 OK", &headers, b"{}"))?;
            return Ok(None);
        }
        if request.value("expect-instance") != engine.id {
            writer.write_all(&encode_answer("421 Misdirected Request", &headers, b""))?;
            return Ok(None);
        }
        let items = body.get("items").map(Json::list).unwrap_or_default();
        let ids: Vec<&str> = items
            .iter()
            .map(|item| item.get("id").map_or("", Json::text))
            .collect();
        let asked = format!("a call for {}", ids.join(" and "));
        engine.record.add(format!("{} gets {asked}", engine.id));
        if !engine.places.take() {
            headers.push(("Not-Executed", "1"));
            writer.write_all(&encode_answer("503 Service Unavailable", &headers, b""))?;
            return Ok(None);
        }
        let sent = send_repeated(engine, &asked, repeated, writer);
        let answer = self.run(engine, items);
        engine.places.free();
        sent?;
        let load = engine.places.load();
        headers.push(("Engine-Load", load.as_str()));
        let answer = encode_answer("200 OK", &headers, &answer);
        writer.write_all(&answer)?;
        let is_repeated = engine
            .surplus
            .as_ref()
            .is_some_and(|surplus| surplus.draw(true));
        Ok(is_repeated.then_some(answer))
    }
}

struct Model {
    results: Results,
    /// Requests that began with inputs which are not their own, or not all of these.
    mixed: Arc<Mutex<Vec<String>>>,
}

impl Model {
    /// Reads the inputs. Returns whether all are there.
    fn read_inputs(&self, engine: &Engine, request: &Head, id: &str) -> bool {
        let handles: Vec<&str> = request.value("inputs").split(',').collect();
        let pieces: usize = request.value("segment-count").parse().unwrap_or(0);
        let results = self.results.0.lock().expect("not poisoned");
        let mut segments = Vec::new();
        let mut foreign = Vec::new();
        for handle in &handles {
            let result = results.get(*handle);
            let Some(result) = result.filter(|result| result.expires_at > Instant::now()) else {
                engine.record.add(format!(
                    "{} finds {handle} of {id} gone: 409, Not-Executed",
                    engine.id
                ));
                return false;
            };
            // The one stage of the route is the last one, so that its results are the inputs.
            match result.request == id && result.phase == 0 {
                true => segments.push(result.segment),
                false => foreign.push(format!("{handle} of {}", result.request)),
            }
        }
        segments.sort_unstable();
        let is_whole = segments.len() == pieces
            && segments
                .iter()
                .enumerate()
                .all(|(place, segment)| place as u32 == *segment);
        engine.record.add(format!(
            "{} begins {id} with {}",
            engine.id,
            handles.join(" and ")
        ));
        if !is_whole || !foreign.is_empty() {
            let line = format!(
                "MIXED: {id} began at {} with {} piece(s) of its own out of {pieces}, and with {}",
                engine.id,
                segments.len(),
                foreign.join(" and ")
            );
            self.mixed.lock().expect("not poisoned").push(line.clone());
            engine.record.add(line);
        }
        true
    }
}

impl Serve for Model {
    fn serve(
        &self,
        engine: &Engine,
        request: &Head,
        _: &[u8],
        _: Option<Vec<u8>>,
        writer: &mut TcpStream,
    ) -> io::Result<Option<Vec<u8>>> {
        let id = request.value("attempt-id").to_owned();
        let reject = |status: &str, writer: &mut TcpStream| {
            let headers = [("Attempt-Id", id.as_str()), ("Not-Executed", "1")];
            writer.write_all(&encode_answer(status, &headers, b""))
        };
        if request.value("expect-instance") != engine.id {
            reject("421 Misdirected Request", writer)?;
            return Ok(None);
        }
        if request.value("inputs").is_empty() {
            reject("400 Bad Request", writer)?;
            return Ok(None);
        }
        if !engine.places.take() {
            reject("503 Service Unavailable", writer)?;
            return Ok(None);
        }
        let sent = self.answer(engine, request, &id, writer);
        engine.places.free();
        match sent? {
            true => {}
            false => reject("409 Conflict", writer)?,
        }
        Ok(None)
    }
}

impl Model {
    /// Answers with a stream; false if an input is gone.
    fn answer(
        &self,
        engine: &Engine,
        request: &Head,
        id: &str,
        writer: &mut TcpStream,
    ) -> io::Result<bool> {
        if !self.read_inputs(engine, request, id) {
            return Ok(false);
        }
        thread::sleep(PREFILL);
        write!(
            writer,
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nEngine-Signature: sig.{}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            engine.id
        )?;
        for number in 1..=EVENTS {
            let event = format!("id: {number}\ndata: {id}\n\n");
            write!(writer, "{:x}\r\n{event}\r\n", event.len())?;
            thread::sleep(EVENT);
        }
        write!(writer, "0\r\n\r\n")?;
        Ok(true)
    }
}

pub fn run(setup: &Setup, record: &Arc<Record>) -> io::Result<Outcome> {
    let list = EngineList::default();
    let results = Results::default();
    let mixed = Arc::new(Mutex::new(Vec::new()));
    let mut stages = Vec::new();
    let surplus = Arc::new(Surplus::default());
    for number in 0..STAGES {
        let is_faulty = setup.is_troubled && number < FAULTY;
        let (id, zone) = (format!("stage-{number}"), format!("z{}", number % 3));
        let surplus = is_faulty.then(|| surplus.clone());
        let serve = Arc::new(Stage {
            results: results.clone(),
            next: Mutex::new(number * 0x1000_0000),
            turn: Mutex::new(()),
        });
        let entry = (id.as_str(), "stage", zone.as_str());
        stages.push(engine::start(
            &list,
            entry,
            Places::new(3, 0),
            surplus,
            record,
            serve,
        )?);
    }
    for number in 0..3 {
        let (id, zone) = (format!("model-{number}"), format!("z{number}"));
        let serve = Arc::new(Model {
            results: results.clone(),
            mixed: mixed.clone(),
        });
        let entry = (id.as_str(), "pool", zone.as_str());
        engine::start(&list, entry, Places::new(64, 64), None, record, serve)?;
    }
    let fleet = Fleet::start(3, &setup.folder, list.serve()?)?;
    let route = r#"{"name":"r-advice","host":"a.example","path_prefix":"/advice/","route_kind":"streaming",
        "timeout_ms":15000,"latency_goal_ms":2500,"priority":1,"service":"pool","max_attempts":1,
        "phases":[{"service":"stage","after":[],"length":8000}],
        "anonymous":false,"sticky":true,"resumable":false,"target_gap_ms":400}"#;
    let services = r#"{"name":"pool","health_path":"/healthz","max_conns":370,"protocol":"h1","tls":false,
          "engine":{"slots":64,"kv_capacity":621758,"kv_bytes":18432,"handle_ttl_s":5.0,"models":[{"name":"m"}]}},
        {"name":"stage","health_path":"/healthz","max_conns":370,"protocol":"h1","tls":false,
          "segments":{"slots":1,"queue":2,"batch":12,"call_ms":240.0,"item_ms":17.0,"headroom_mb":14.0,
          "handle_ttl_s":4.0,"link_mbps":10000}}"#;
    if !fleet.publish(&configuration(1, route, services)) || !fleet.wait_until_ready() {
        return Ok(Outcome::NotRun("the system did not get ready"));
    }
    let statuses = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    let end = Instant::now() + TRAFFIC;
    engine::play_surplus(&stages, record, end);
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let id = format!("{number:016x}");
        let address = fleet.nodes[number % fleet.nodes.len()].callers;
        let (record, statuses) = (record.clone(), statuses.clone());
        clients.push(thread::spawn(move || {
            let (key, prefix) = (
                format!("{:012x}", number),
                format!("5c1e07a2:800,{number:08x}:250"),
            );
            let headers = [
                ("Host", "a.example"),
                ("Attempt-Id", id.as_str()),
                ("Deadline-Ms", "15000"),
                ("Authorization", "Token key-1"),
                ("Model", "m"),
                ("Token-Count", "1050,50"),
                ("Prefix-Hash", prefix.as_str()),
                ("Segment-Count", "1"),
                ("Segment-Key", key.as_str()),
                ("Connection", "close"),
            ];
            record.add(format!("client: sends {id}"));
            let timeout = Duration::from_secs(16);
            let answer = call(address, "POST", "/advice/x", &headers, b"body", timeout);
            let answer = answer.map(|answer| (answer.head.status(), answer.is_whole));
            let (status, is_whole) = answer.unwrap_or_default();
            let whole = if is_whole { "whole" } else { "broken off" };
            record.add(format!("client: {id} got {status}, {whole}"));
            statuses
                .lock()
                .expect("not poisoned")
                .push((status, is_whole));
        }));
        thread::sleep(PAUSE);
    }
    for client in clients {
        let _ = client.join();
    }
    engine::record_surplus(&stages, record);
    let statuses = statuses.lock().expect("not poisoned");
    let served = statuses
        .iter()
        .filter(|answer| **answer == (200, true))
        .count();
    let mixed = mixed.lock().expect("not poisoned").len();
    record.add(format!(
        "{} requests were sent, {served} served whole, {mixed} began with inputs that are not theirs",
        statuses.len()
    ));
    if served * 2 < statuses.len() {
        return Ok(Outcome::NotRun("under half of the requests were served"));
    }
    Ok(match mixed {
        0 => Outcome::Held,
        _ => Outcome::Broken,
    })
}
