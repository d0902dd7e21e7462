//! Thread pool for blocking back-end calls. Idle threads are reused; a new thread is started
//! only if none is idle.

use crate::call_guard::AddressGuard;
use crate::event::{Event, EventSender};
use crate::gateway::notices::NoticeRecorder;
use silversail_backend::order::EngineOrder;
use silversail_backend::{engine, order, service, Agents, StageCall, TokenSink};
use silversail_control::OrderId;
use silversail_serving::crashes::{Probe, ProbeResult};
use silversail_serving::notices::ExchangeKind;
use std::io;
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Stack size of a call thread, in bytes.
const STACK_BYTES: usize = 256 << 10;
/// Timeout of a connection attempt that probes a back end.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

enum Job {
    Stage {
        attempt: u64,
        call: StageCall,
        is_generation: bool,
        streams: bool,
    },
    Probe(Probe),
    Cancel {
        address: String,
        attempt: String,
    },
    Order {
        id: OrderId,
        address: String,
        order: EngineOrder,
    },
}

/// Runs stage calls; the end of each is reported as an event.
pub trait StageCalls {
    /// Starts a stage call. `streams` tells whether each token is reported as an event.
    ///
    /// # Errors
    /// If no thread could be started; nothing was sent then.
    fn start(
        &self,
        attempt: u64,
        call: StageCall,
        is_generation: bool,
        streams: bool,
    ) -> io::Result<()>;

    /// Probes a back end by a connection attempt without a request.
    fn probe(&self, probe: Probe);

    /// Cancels the generation of a stream at an engine.
    fn cancel_generation(&self, address: String, attempt: String);
}

/// Sends orders to engines; the end of each is reported as an event.
pub trait OrderSender {
    /// Starts to send an order.
    ///
    /// # Errors
    /// If no thread could be started; nothing was sent then.
    fn send_order(&self, id: OrderId, address: String, order: EngineOrder) -> io::Result<()>;
}

/// Thread pool that runs calls and reports their ends to the main thread.
#[derive(Clone)]
pub struct CallThreadPool {
    agents: Agents,
    listener: NoticeRecorder,
    events: EventSender,
    jobs: Sender<Job>,
    queued_jobs: Arc<Mutex<Receiver<Job>>>,
    /// Number of idle threads minus the number of queued jobs.
    idle_threads: Arc<AtomicUsize>,
}

impl CallThreadPool {
    /// A pool without threads; they are started on demand.
    pub fn new(agents: Agents, listener: NoticeRecorder, events: EventSender) -> Self {
        let (jobs, queued_jobs) = channel();
        Self {
            agents,
            listener,
            events,
            jobs,
            queued_jobs: Arc::new(Mutex::new(queued_jobs)),
            idle_threads: Arc::new(AtomicUsize::new(0)),
        }
    }

    fn submit(&self, job: Job) -> io::Result<()> {
        let reserved_thread =
            self.idle_threads
                .fetch_update(Ordering::AcqRel, Ordering::Acquire, |idle_threads| {
                    idle_threads.checked_sub(1)
                });
        if reserved_thread.is_err() {
            self.start_thread()?;
        }
        self.jobs.send(job).map_err(io::Error::other)
    }

    fn start_thread(&self) -> io::Result<()> {
        let runner = self.clone();
        thread::Builder::new()
            .name("call".into())
            .stack_size(STACK_BYTES)
            .spawn(move || runner.run())
            .map(drop)
    }

    fn run(&self) {
        loop {
            let job = match self.queued_jobs.lock() {
                Ok(jobs) => jobs.recv(),
                Err(_) => return,
            };
            match job {
                Ok(job) => self.run_job(job),
                Err(_) => return,
            }
            self.idle_threads.fetch_add(1, Ordering::AcqRel);
        }
    }

    fn guard<'a>(&'a self, address: &'a str) -> AddressGuard<'a> {
        AddressGuard {
            listener: &self.listener,
            address,
            exchange_kind: ExchangeKind::Stage,
        }
    }

    fn run_job(&self, job: Job) {
        match job {
            Job::Order { id, address, order } => {
                let result = order::send(&self.agents, &address, &order);
                let _ = self.events.send(Event::OrderAnswered { id, result });
            }
            Job::Probe(probe) => {
                let answer = probe_connection(&probe.address);
                let backend = probe.instance;
                // Sending fails only while the process exits.
                let _ = self.events.send(Event::BackendProbed { backend, answer });
            }
            Job::Cancel { address, attempt } => {
                let guard = self.guard(&address);
                engine::cancel(&self.agents, &address, &attempt, &guard);
            }
            Job::Stage {
                attempt,
                call,
                is_generation,
                streams,
            } => {
                let started = Instant::now();
                let guard = self.guard(&call.address);
                let result = if is_generation {
                    let mut sink = TokenEventSink {
                        attempt,
                        events: streams.then_some(&self.events),
                    };
                    engine::generate(&self.agents, &call, &mut sink, &guard)
                } else {
                    service::call(&self.agents, &call, &guard)
                };
                let event = Event::CallEnded {
                    attempt,
                    service: started.elapsed(),
                    result,
                };
                // Sending fails only while the process exits.
                let _ = self.events.send(event);
            }
        }
    }
}

impl StageCalls for CallThreadPool {
    fn start(
        &self,
        attempt: u64,
        call: StageCall,
        is_generation: bool,
        streams: bool,
    ) -> io::Result<()> {
        self.submit(Job::Stage {
            attempt,
            call,
            is_generation,
            streams,
        })
    }

    fn probe(&self, probe: Probe) {
        // If no thread can be started, the next lost connection probes the back end again.
        let _ = self.submit(Job::Probe(probe));
    }

    fn cancel_generation(&self, address: String, attempt: String) {
        // If no thread can be started, the engine ends the stream by itself.
        let _ = self.submit(Job::Cancel { address, attempt });
    }
}

impl OrderSender for CallThreadPool {
    fn send_order(&self, id: OrderId, address: String, order: EngineOrder) -> io::Result<()> {
        self.submit(Job::Order { id, address, order })
    }
}

fn probe_connection(address: &str) -> ProbeResult {
    let Ok(address) = address.parse() else {
        return ProbeResult::Silent;
    };
    match TcpStream::connect_timeout(&address, PROBE_TIMEOUT) {
        Ok(_) => ProbeResult::Accepted,
        Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => ProbeResult::Refused,
        Err(_) => ProbeResult::Silent,
    }
}

/// Sends the tokens of a streamed call to the main thread.
struct TokenEventSink<'a> {
    attempt: u64,
    events: Option<&'a EventSender>,
}

impl TokenSink for TokenEventSink<'_> {
    fn token(&mut self, sequence: u64, text: &str) {
        if let Some(events) = self.events {
            let _ = events.send(Event::Token {
                attempt: self.attempt,
                sequence,
                text: text.to_owned(),
            });
        }
    }
}
