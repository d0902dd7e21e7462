//! Engines of one service and the platform's list of them.

use crate::http::{encode, read, Message};
use crate::record::Record;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A request that an engine ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub tenant: Option<String>,
    /// When the answer had been written whole.
    pub ended: Option<Instant>,
}

/// Runs of all engines.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// A service whose engines answer with a body of this size.
#[derive(Clone, Copy)]
pub struct Service {
    pub name: &'static str,
    pub answer_bytes: usize,
    pub work: Duration,
}

/// Running engines and their list.
pub struct Engines {
    pub list: SocketAddr,
    pub runs: Runs,
}

const SLOTS: usize = 6;
static HANDLES: AtomicU64 = AtomicU64::new(0x5c1e_07a2);

impl Engines {
    /// Starts engines of a service, one in each of the zones, and the list.
    pub fn start(
        ip: &str,
        service: Service,
        zones: &[&str],
        record: &Record,
    ) -> Result<Self, String> {
        Self::start_services(ip, &[(service, zones)], record)
    }

    /// Starts engines of several services, one in each of their zones, and the list.
    pub fn start_services(
        ip: &str,
        services: &[(Service, &[&str])],
        record: &Record,
    ) -> Result<Self, String> {
        let runs = Runs::default();
        let mut entries = Vec::new();
        let engines = services.iter().flat_map(|(service, zones)| {
            let zones = zones.iter().enumerate();
            zones.map(|(number, zone)| (*service, number, *zone))
        });
        for (service, number, zone) in engines {
            let listener = listen(ip)?;
            let address = listener.local_addr().map_err(|error| error.to_string())?;
            let id = format!("i-{}-{number}", service.name);
            entries.push(format!(
                "{{\"id\":\"{id}\",\"service\":\"{}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
                 \"version\":\"v1\",\"slots\":{SLOTS},\"state\":\"ready\",\"cold_left_ms\":0}}",
                service.name
            ));
            let (runs, record) = (runs.clone(), record.clone());
            let ended_runs = runs.clone();
            let answer =
                move |request: &Message| answer_of_engine(&id, service, request, &runs, &record);
            serve(listener, answer, move |request| {
                note_end(&ended_runs, request)
            });
        }
        let page = format!(
            "{{\"instances\":[{}],\"next_token\":null}}",
            entries.join(",")
        );
        let listener = listen(ip)?;
        let list = listener.local_addr().map_err(|error| error.to_string())?;
        let answer = move |_: &Message| {
            let headers = [("Content-Type", "application/json")];
            encode("HTTP/1.1 200 OK", &headers, page.as_bytes())
        };
        serve(listener, answer, |_| {});
        Ok(Self { list, runs })
    }

    /// The runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs
            .lock()
            .map_or_else(|_| Vec::new(), |runs| runs.clone())
    }
}

fn listen(ip: &str) -> Result<TcpListener, String> {
    TcpListener::bind((ip, 0)).map_err(|error| format!("{ip}: {error}"))
}

/// Notes that the answer to a request has been written whole.
fn note_end(runs: &Runs, request: &Message) {
    let Ok(mut runs) = runs.lock() else { return };
    let id = request.header("attempt-id");
    let mut newest_first = runs.iter_mut().rev();
    if let Some(run) = newest_first.find(|run| Some(run.id.as_str()) == id) {
        run.ended = Some(Instant::now());
    }
}

fn serve(
    listener: TcpListener,
    answer: impl Fn(&Message) -> Vec<u8> + Send + Sync + 'static,
    written: impl Fn(&Message) + Send + Sync + 'static,
) {
    let answer = Arc::new((answer, written));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            let small = thread::Builder::new().stack_size(128 << 10);
            let _ = small.spawn(move || serve_connection(stream, &answer.0, &answer.1));
        }
    });
}

fn serve_connection(
    stream: TcpStream,
    answer: &dyn Fn(&Message) -> Vec<u8>,
    written: &dyn Fn(&Message),
) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = read(&mut reader) {
        if writer.write_all(&answer(&request)).is_err() {
            return;
        }
        written(&request);
    }
}

/// An engine turns away what names another engine, and runs the rest.
fn answer_of_engine(
    engine: &str,
    service: Service,
    request: &Message,
    runs: &Runs,
    record: &Record,
) -> Vec<u8> {
    if request.path() == "/stage-run" {
        // One handle for each piece, in the order in which they were asked.
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let pieces = body.matches("\"segment\":").count();
        thread::sleep(service.work + Duration::from_millis(pieces as u64));
        let host = request.header("host").unwrap_or("127.0.0.1:1").to_owned();
        let handle = || {
            let number = HANDLES.fetch_add(1, Ordering::Relaxed);
            format!("{{\"handle\":\"{host}/{number:012x}\"}}")
        };
        let handles: Vec<String> = (0..pieces).map(|_| handle()).collect();
        let answer = format!("{{\"items\":[{}]}}", handles.join(","));
        let id = request.header("attempt-id").unwrap_or("").to_owned();
        let headers = [("Attempt-Id", id.as_str()), ("Engine-Load", "0,0,1")];
        return encode("HTTP/1.1 200 OK", &headers, answer.as_bytes());
    }
    if request.path() == "/stage-free" {
        let id = request.header("attempt-id").unwrap_or("").to_owned();
        return encode("HTTP/1.1 200 OK", &[("Attempt-Id", id.as_str())], b"{}");
    }
    if request.path() == "/healthz" {
        return encode("HTTP/1.1 200 OK", &[("Instance-Id", engine)], b"");
    }
    let Some(id) = request.header("attempt-id") else {
        return encode("HTTP/1.1 400 Bad Request", &[("Not-Executed", "1")], b"");
    };
    let is_other = request
        .header("expect-instance")
        .is_some_and(|expected| expected != engine);
    if is_other {
        let headers = [("Attempt-Id", id), ("Not-Executed", "1")];
        return encode("HTTP/1.1 421 Misdirected Request", &headers, b"");
    }
    let tenant = request.header("tenant").map(str::to_owned);
    record.line(&format!(
        "engine {engine} runs {id}: Tenant {}, Deadline-Ms {}, Expect-Instance {}",
        tenant.as_deref().unwrap_or("(none)"),
        request.header("deadline-ms").unwrap_or("(none)"),
        request.header("expect-instance").unwrap_or("(none)"),
    ));
    if let Ok(mut runs) = runs.lock() {
        runs.push(Run {
            id: id.to_owned(),
            tenant,
            ended: None,
        });
    }
    thread::sleep(service.work);
    let signature = format!("sig.{engine}.{id}");
    let headers = [
        ("Attempt-Id", id),
        ("Engine-Signature", &signature),
        ("Engine-Load", "0,0,6"),
        ("Content-Type", "application/octet-stream"),
    ];
    encode(
        "HTTP/1.1 200 OK",
        &headers,
        &vec![b'x'; service.answer_bytes],
    )
}
