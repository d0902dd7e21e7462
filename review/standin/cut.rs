//! Streams without a length or chunks at engines that are taken away two seconds after a notice.
//!
//! Each engine is a process of its own, `standin engine ID`, which is killed at its end. It reads
//! orders from its standard input and tells on its standard output what it does.

use crate::fleet::Fleet;
use crate::http::{call, encode_answer, read_body, read_head, Head};
use crate::list::{EngineList, Entry};
use crate::record::Record;
use crate::{configuration, Outcome, Setup};
use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SERVICE: &str = "pool";
const ENGINES: usize = 8;
/// Engines that give some answers without a length.
const UNFRAMED_ENGINES: usize = 4;
/// Share of their answers that come so: one in this many.
const UNFRAMED_EVERY: usize = 20;
const UNFRAMED_FOR: Duration = Duration::from_secs(5);
/// Time for which an engine reads a prompt.
const PREFILL: Duration = Duration::from_millis(1_500);
const EVENTS: usize = 30;
const EVENT: Duration = Duration::from_millis(100);
const TRAFFIC: Duration = Duration::from_secs(78);
/// Pause between two requests.
const PAUSE: Duration = Duration::from_millis(10);
/// Time from one notice to the next one.
const NOTICE_EVERY: Duration = Duration::from_secs(6);
/// Lag of the list.
const LAG: Duration = Duration::from_millis(500);
/// Time from a notice to the end of the engine, and until another engine comes.
const GONE_AFTER: Duration = Duration::from_secs(2);
const REPLACED_AFTER: Duration = Duration::from_secs(4);

/// What a client got.
#[derive(Default)]
struct Stream {
    status: u16,
    events: usize,
    is_in_order: bool,
    /// Whether it ended as complete.
    is_whole: bool,
}

impl Stream {
    /// Whether a piece is missing or came twice, or it ended as complete before its last piece.
    fn breaks_order(&self) -> bool {
        let ended_early = self.is_whole && self.events < EVENTS;
        self.status == 200 && (ended_early || !self.is_in_order)
    }

    fn text(&self) -> String {
        let Self { status, events, .. } = self;
        let end = match self.is_whole {
            true => "ended as complete",
            false => "broken off",
        };
        format!("{status}, {events} of {EVENTS} events, {end}")
    }
}

/// An engine's process.
struct EngineProcess {
    child: Child,
    orders: ChildStdin,
    entry: Entry,
    gives_unframed: bool,
}

impl EngineProcess {
    fn start(number: usize, gives_unframed: bool, record: &Arc<Record>) -> io::Result<Self> {
        let id = format!("pool-{number}");
        let mut child = Command::new(std::env::current_exe()?)
            .args(["engine", &id, "-", "-"])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let orders = child.stdin.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let told = child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let mut told = BufReader::new(told);
        let mut address = String::new();
        told.read_line(&mut address)?;
        let address: SocketAddr = address.trim().parse().map_err(io::Error::other)?;
        let record = record.clone();
        thread::spawn(move || {
            for line in told.lines().map_while(Result::ok) {
                record.add(line);
            }
        });
        let entry = Entry {
            id,
            service: SERVICE.to_owned(),
            zone: format!("z{}", number % 3),
            address,
            slots: 64,
            is_draining: false,
        };
        Ok(Self {
            child,
            orders,
            entry,
            gives_unframed,
        })
    }

    fn order(&mut self, order: &str) {
        let _ = writeln!(self.orders, "{order}");
    }

    fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for EngineProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Takes engines away until `end`, one at a time, with a notice before.
fn play(
    mut engines: Vec<EngineProcess>,
    list: &EngineList,
    record: &Arc<Record>,
    end: Instant,
) -> io::Result<()> {
    let mut next = engines.len();
    while Instant::now() + NOTICE_EVERY < end {
        let begin = Instant::now();
        for engine in engines.iter_mut().filter(|engine| engine.gives_unframed) {
            engine.order("unframed on");
        }
        record.add("some answers without a length begin".to_owned());
        thread::sleep(Duration::from_millis(1_000));
        let position = engines.iter().position(|engine| engine.gives_unframed);
        let Some(position) = position else {
            return Ok(());
        };
        let mut leaving = engines.remove(position);
        let id = leaving.entry.id.clone();
        record.add(format!("{id} gets its notice"));
        leaving.order("leave");
        thread::sleep(LAG);
        let set = |change: &dyn Fn(&mut Vec<Entry>)| {
            change(&mut list.entries.lock().expect("not poisoned"));
        };
        set(&|entries| {
            let entry = entries.iter_mut().find(|entry| entry.id == id);
            entry.into_iter().for_each(|entry| entry.is_draining = true);
        });
        thread::sleep(GONE_AFTER - LAG);
        leaving.kill();
        record.add(format!("{id} is gone"));
        thread::sleep(LAG);
        set(&|entries| entries.retain(|entry| entry.id != id));
        thread::sleep(UNFRAMED_FOR.saturating_sub(begin.elapsed()));
        for engine in engines.iter_mut().filter(|engine| engine.gives_unframed) {
            engine.order("unframed off");
        }
        record.add("some answers without a length end".to_owned());
        thread::sleep((GONE_AFTER + REPLACED_AFTER).saturating_sub(begin.elapsed()));
        let engine = EngineProcess::start(next, true, record)?;
        next += 1;
        set(&|entries| entries.push(engine.entry.clone()));
        engines.push(engine);
        thread::sleep(NOTICE_EVERY.saturating_sub(begin.elapsed()));
    }
    thread::sleep(end.saturating_duration_since(Instant::now()) + Duration::from_secs(6));
    Ok(())
}

pub fn run(setup: &Setup, record: &Arc<Record>) -> io::Result<Outcome> {
    let list = EngineList::default();
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        let engine = EngineProcess::start(number, number < UNFRAMED_ENGINES, record)?;
        let mut entries = list.entries.lock().expect("not poisoned");
        entries.push(engine.entry.clone());
        engines.push(engine);
    }
    let fleet = Fleet::start(3, &setup.folder, list.serve()?)?;
    let route = r#"{"name":"r-chat","host":"a.example","path_prefix":"/chat/","route_kind":"streaming",
        "timeout_ms":15000,"latency_goal_ms":2500,"priority":1,"service":"pool","max_attempts":1,
        "anonymous":false,"sticky":true,"resumable":false,"target_gap_ms":400}"#;
    let service = r#"{"name":"pool","health_path":"/healthz","max_conns":370,"protocol":"h1","tls":false,
        "engine":{"slots":64,"kv_capacity":621758,"kv_bytes":18432,"models":[{"name":"m"}]}}"#;
    if !fleet.publish(&configuration(1, route, service)) || !fleet.wait_until_ready() {
        return Ok(Outcome::NotRun("the system did not get ready"));
    }
    let end = Instant::now() + TRAFFIC;
    let taken_away = {
        let (list, record, is_troubled) = (list.clone(), record.clone(), setup.is_troubled);
        thread::spawn(move || match is_troubled {
            true => play(engines, &list, &record, end),
            false => {
                thread::sleep(TRAFFIC + Duration::from_secs(6));
                drop(engines);
                Ok(())
            }
        })
    };
    let answers = Arc::new(Mutex::new(BTreeMap::new()));
    let mut clients = Vec::new();
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let id = format!("{number:016x}");
        let address = fleet.nodes[number % fleet.nodes.len()].callers;
        let (record, answers) = (record.clone(), answers.clone());
        clients.push(thread::spawn(move || {
            let prefix = format!("5c1e07a2:198,{number:08x}:628");
            let headers = [
                ("Host", "a.example"),
                ("Attempt-Id", id.as_str()),
                ("Deadline-Ms", "15000"),
                ("Authorization", "Token key-1"),
                ("Model", "m"),
                ("Token-Count", "826,150"),
                ("Prefix-Hash", prefix.as_str()),
                ("Connection", "close"),
            ];
            let timeout = Duration::from_secs(16);
            let answer = call(address, "POST", "/chat/x", &headers, b"body", timeout);
            let answer = answer.map(|answer| {
                let body = String::from_utf8_lossy(&answer.body).into_owned();
                let events = body.lines().filter_map(|line| line.strip_prefix("id: "));
                let events: Vec<usize> = events.filter_map(|id| id.parse().ok()).collect();
                // No event is missing before the last one that came, and none came twice.
                let is_in_order = events.iter().copied().eq(1..=events.len());
                Stream {
                    status: answer.head.status(),
                    events: events.len(),
                    is_in_order,
                    is_whole: answer.is_whole,
                }
            });
            let stream = answer.unwrap_or_default();
            record.add(format!("client: {id} got {}", stream.text()));
            let mut answers = answers.lock().expect("not poisoned");
            answers.insert(id, stream);
        }));
        thread::sleep(PAUSE);
    }
    for client in clients {
        let _ = client.join();
    }
    if !matches!(taken_away.join(), Ok(Ok(()))) {
        return Ok(Outcome::NotRun("an engine could not be started"));
    }
    let answers = answers.lock().expect("not poisoned");
    let mut cut = 0;
    for (id, stream) in answers.iter() {
        // A stream that is told as broken off breaks no rule, whoever broke it off.
        if stream.breaks_order() {
            cut += 1;
            record.add(format!("ORDER: {id} got {}", stream.text()));
        }
    }
    let is_served = |stream: &&Stream| stream.is_whole && stream.events == EVENTS;
    let served = answers.values().filter(is_served).count();
    record.add(format!(
        "{} streams were asked for, {served} served whole, {cut} ended as complete too early",
        answers.len()
    ));
    if served * 2 < answers.len() {
        return Ok(Outcome::NotRun("under half of the requests were served"));
    }
    Ok(match cut {
        0 => Outcome::Held,
        _ => Outcome::Broken,
    })
}

/// State of an engine's process.
struct Engine {
    id: String,
    is_leaving: AtomicBool,
    gives_unframed: AtomicBool,
    answers: AtomicUsize,
}

/// The process of an engine: serves until it is killed, or its standard input ends.
pub fn serve_engine(id: &str) -> io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    println!("{}", listener.local_addr()?);
    let engine = Arc::new(Engine {
        id: id.to_owned(),
        is_leaving: AtomicBool::new(false),
        gives_unframed: AtomicBool::new(false),
        answers: AtomicUsize::new(0),
    });
    let accepting = engine.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let engine = accepting.clone();
            thread::spawn(move || {
                let _ = engine.serve(stream);
            });
        }
    });
    for order in io::stdin().lines().map_while(Result::ok) {
        match order.as_str() {
            "leave" => engine.is_leaving.store(true, Ordering::Relaxed),
            "unframed on" => engine.gives_unframed.store(true, Ordering::Relaxed),
            _ => engine.gives_unframed.store(false, Ordering::Relaxed),
        }
    }
    Ok(())
}

impl Engine {
    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_head(&mut reader)? {
            read_body(&mut reader, &request)?;
            if !self.answer(&request, &mut writer)? {
                break;
            }
        }
        Ok(())
    }

    /// Answers with a stream. Returns whether the connection goes on.
    fn answer(&self, request: &Head, writer: &mut TcpStream) -> io::Result<bool> {
        let id = request.value("attempt-id").to_owned();
        if request.value("expect-instance") != self.id {
            let headers = [("Attempt-Id", id.as_str())];
            writer.write_all(&encode_answer("421 Misdirected Request", &headers, b""))?;
            return Ok(true);
        }
        thread::sleep(PREFILL);
        let is_framed = !self.gives_unframed.load(Ordering::Relaxed)
            || self.answers.fetch_add(1, Ordering::Relaxed) % UNFRAMED_EVERY != 0;
        let is_leaving = self.is_leaving.load(Ordering::Relaxed);
        let framing = if is_framed {
            "Transfer-Encoding: chunked\r\n"
        } else {
            "Connection: close\r\n"
        };
        let leaving = if is_leaving {
            "Server-Leaving: 1\r\n"
        } else {
            ""
        };
        println!(
            "{} begins the answer to {id}{}{}",
            self.id,
            if is_framed { "" } else { ", without a length" },
            if is_leaving {
                ", with Server-Leaving"
            } else {
                ""
            }
        );
        write!(
            writer,
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nEngine-Signature: sig.{}\r\n{leaving}\
             Content-Type: text/event-stream\r\n{framing}\r\n",
            self.id
        )?;
        for number in 1..=EVENTS {
            let event = format!("id: {number}\ndata: {id}\n\n");
            let event = match is_framed {
                true => format!("{:x}\r\n{event}\r\n", event.len()),
                false => event,
            };
            writer.write_all(event.as_bytes())?;
            thread::sleep(EVENT);
        }
        if is_framed {
            writer.write_all(b"0\r\n\r\n")?;
        }
        Ok(is_framed)
    }
}
