//! Engines: the part that all kinds share. An engine serves one request at a time on a connection,
//! and works on a number of requests at once.

use crate::http::{read_body, read_head, Head};
use crate::list::{EngineList, Entry};
use crate::record::Record;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Largest share of the answers of a faulty engine that it sends twice, in percent.
const SURPLUS_PERCENT: usize = 3;
/// Length of the disruption, and the pause until it comes again.
const SURPLUS_FOR: Duration = Duration::from_secs(5);
const SURPLUS_PAUSE: Duration = Duration::from_secs(2);

/// Late surplus answers of a faulty engine: after a whole answer it sends a second copy, which
/// arrives where the next answer on that connection is due.
#[derive(Default)]
pub struct Surplus {
    is_active: AtomicBool,
    counts: Mutex<(usize, usize)>,
}

impl Surplus {
    /// Counts an answer given during the disruption. Returns whether it is sent twice; `fits` tells
    /// whether it may be. At most the given share of all answers so far is.
    pub fn draw(&self, fits: bool) -> bool {
        if !self.is_active.load(Ordering::Relaxed) {
            return false;
        }
        let mut counts = self.counts.lock().expect("not poisoned");
        counts.0 += 1;
        let is_drawn = fits && (counts.1 + 1) * 100 <= counts.0 * SURPLUS_PERCENT;
        counts.1 += usize::from(is_drawn);
        is_drawn
    }

    /// Number of answers during the disruption, and of those that were sent twice.
    pub fn counts(&self) -> (usize, usize) {
        *self.counts.lock().expect("not poisoned")
    }
}

/// Plays the disruption at the faulty ones of these engines until `end`, again and again.
pub fn play_surplus(engines: &[Arc<Engine>], record: &Arc<Record>, end: Instant) {
    let faulty: Vec<Arc<Engine>> = engines
        .iter()
        .filter(|engine| engine.surplus.is_some())
        .cloned()
        .collect();
    if faulty.is_empty() {
        return;
    }
    let names: Vec<&str> = faulty.iter().map(|engine| engine.id.as_str()).collect();
    let (names, record) = (names.join(", "), record.clone());
    thread::spawn(move || {
        while Instant::now() + SURPLUS_PAUSE + SURPLUS_FOR < end {
            thread::sleep(SURPLUS_PAUSE);
            record.add(format!("surplus answers begin at {names}"));
            set_active(&faulty, true);
            thread::sleep(SURPLUS_FOR);
            set_active(&faulty, false);
            record.add(format!("surplus answers end at {names}"));
        }
    });
}

fn set_active(engines: &[Arc<Engine>], is_active: bool) {
    for surplus in engines.iter().filter_map(|engine| engine.surplus.as_ref()) {
        surplus.is_active.store(is_active, Ordering::Relaxed);
    }
}

/// Tells how many answers the faulty engines sent twice.
pub fn record_surplus(engines: &[Arc<Engine>], record: &Record) {
    if let Some(surplus) = engines.iter().find_map(|engine| engine.surplus.as_ref()) {
        let (all, repeated) = surplus.counts();
        record.add(format!(
            "{all} answers were given by faulty engines during the disruption, {repeated} sent twice"
        ));
    }
}

/// Places of an engine: those that work and those that wait.
pub struct Places {
    slots: usize,
    queue: usize,
    taken: Mutex<(usize, usize)>,
    freed: Condvar,
}

impl Places {
    pub fn new(slots: usize, queue: usize) -> Self {
        Self {
            slots,
            queue,
            taken: Mutex::new((0, 0)),
            freed: Condvar::new(),
        }
    }

    /// Takes a slot, after a wait in the queue; false if the engine is full.
    pub fn take(&self) -> bool {
        let mut taken = self.taken.lock().expect("not poisoned");
        if taken.0 >= self.slots {
            if taken.1 >= self.queue {
                return false;
            }
            taken.1 += 1;
            while taken.0 >= self.slots {
                taken = self.freed.wait(taken).expect("not poisoned");
            }
            taken.1 -= 1;
        }
        taken.0 += 1;
        true
    }

    pub fn free(&self) {
        self.taken.lock().expect("not poisoned").0 -= 1;
        self.freed.notify_one();
    }

    /// Value of `Engine-Load`.
    pub fn load(&self) -> String {
        let taken = self.taken.lock().expect("not poisoned");
        format!("{},{},{}", taken.0, taken.1, self.slots)
    }
}

/// One engine.
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    pub places: Places,
    /// Shared by the faulty engines of a service.
    pub surplus: Option<Arc<Surplus>>,
    pub record: Arc<Record>,
}

/// What an engine does with the requests of one connection.
pub trait Serve: Send + Sync + 'static {
    /// Serves a request. `repeated` is a surplus answer that is still to be sent; it goes out as
    /// soon as the request has arrived. Returns the answer if it is to be sent once more.
    fn serve(
        &self,
        engine: &Engine,
        request: &Head,
        body: &[u8],
        repeated: Option<Vec<u8>>,
        writer: &mut TcpStream,
    ) -> io::Result<Option<Vec<u8>>>;
}

/// Starts an engine and enters it into the list.
pub fn start(
    list: &EngineList,
    entry: (&str, &str, &str),
    places: Places,
    surplus: Option<Arc<Surplus>>,
    record: &Arc<Record>,
    serve: Arc<dyn Serve>,
) -> io::Result<Arc<Engine>> {
    let (id, service, zone) = entry;
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let engine = Arc::new(Engine {
        id: id.to_owned(),
        address: listener.local_addr()?,
        places,
        surplus,
        record: record.clone(),
    });
    list.entries.lock().expect("not poisoned").push(Entry {
        id: id.to_owned(),
        service: service.to_owned(),
        zone: zone.to_owned(),
        address: engine.address,
        slots: engine.places.slots as u32,
        is_draining: false,
    });
    let accepted = engine.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (engine, serve) = (accepted.clone(), serve.clone());
            thread::spawn(move || {
                let _ = serve_connection(&engine, serve.as_ref(), stream);
            });
        }
    });
    Ok(engine)
}

fn serve_connection(engine: &Engine, serve: &dyn Serve, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    let mut repeated = None;
    while let Some(request) = read_head(&mut reader)? {
        let body = read_body(&mut reader, &request)?;
        let again = serve.serve(engine, &request, &body, repeated.take(), &mut writer)?;
        repeated = again;
    }
    Ok(())
}

/// Sends the surplus answer of an earlier request, if there is one.
pub fn send_repeated(
    engine: &Engine,
    request: &str,
    repeated: Option<Vec<u8>>,
    writer: &mut TcpStream,
) -> io::Result<()> {
    let Some(answer) = repeated else {
        return Ok(());
    };
    let line = String::from_utf8_lossy(&answer);
    let line = line.lines().next().unwrap_or_default().to_owned();
    engine.record.add(format!(
        "{} sends the surplus answer '{line}' of an earlier request where that to {request} is due",
        engine.id
    ));
    writer.write_all(&answer)
}
