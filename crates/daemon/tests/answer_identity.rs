//! Guards against answers of other requests on one connection: the back end may repeat any earlier
//! answer of the connection at any moment. `IDENTITY_SEEDS` sets the number of seeds.

use http_body_util::{BodyExt, Full};
use hyper::Request;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use silversail_daemon::clock::Clock;
use silversail_daemon::gateway::exchange::{Exchange, ExchangeClient, ExchangeError, ExchangeRole};
use silversail_daemon::gateway::notices::NoticeRecorder;
use silversail_daemon::metrics::Metrics;
use silversail_decisions::DecisionLog;
use silversail_http::ConnectionPool;
use silversail_platform::protocols;
use silversail_serving::notices::BackendNotices;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const DEFAULT_SEEDS: u64 = 60;
const REQUESTS_PER_SEED: usize = 40;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum sends of one request.
const MAX_SENDS: usize = 3;

/// Number of runs of each request.
type Runs = Arc<Mutex<BTreeMap<String, usize>>>;

/// Answers that a back end may send.
const REFUSALS: [&str; 3] = ["503 Full", "409 Gone", "421 Misdirected"];

async fn read_id(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let text = String::from_utf8(head).ok()?;
    let mut lines = text.lines();
    let line = lines.find_map(|line| line.strip_prefix("attempt-id: "));
    line.map(str::to_owned)
}

/// Answers the requests of one connection, and repeats earlier answers.
async fn serve(mut stream: TcpStream, mut random: StdRng, runs: Runs) {
    let mut sent: Vec<String> = Vec::new();
    while let Some(id) = read_id(&mut stream).await {
        if !sent.is_empty() && random.gen_bool(0.2) {
            let surplus = sent[random.gen_range(0..sent.len())].clone();
            if stream.write_all(surplus.as_bytes()).await.is_err() {
                return;
            }
        }
        let names_request = random.gen_bool(0.7);
        let echoed = format!("attempt-id: {id}\r\n");
        let answer = match random.gen_range(0..10) {
            0..4 => {
                let status = REFUSALS[random.gen_range(0..REFUSALS.len())];
                let echoed = if names_request { echoed.as_str() } else { "" };
                format!("HTTP/1.1 {status}\r\n{echoed}not-executed: 1\r\ncontent-length: 0\r\n\r\n")
            }
            kind => {
                *runs
                    .lock()
                    .expect("not poisoned")
                    .entry(id.clone())
                    .or_default() += 1;
                match kind {
                    4 => format!("HTTP/1.1 500 Failed\r\n{echoed}content-length: 0\r\n\r\n"),
                    _ => format!(
                        "HTTP/1.1 200 OK\r\n{echoed}engine-signature: s\r\ncontent-length: {}\r\n\r\n{id}",
                        id.len()
                    ),
                }
            }
        };
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
        sent.push(answer);
        if random.gen_bool(0.05) {
            // It is there when the next request is written, or a moment later.
            let surplus = sent[random.gen_range(0..sent.len())].clone();
            if stream.write_all(surplus.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

/// What a caller is told.
#[derive(Debug, PartialEq, Eq)]
enum Told {
    Answer(String),
    NotRun,
    Unknown,
}

struct Caller {
    exchanges: ExchangeClient,
    pool: ConnectionPool,
    address: String,
}

impl Caller {
    fn new(address: String) -> Self {
        let log = DecisionLog::disabled();
        Self {
            exchanges: ExchangeClient {
                protocols: protocols(),
                notice_recorder: NoticeRecorder {
                    notices: BackendNotices::new(log.clone()),
                    metrics: Arc::new(Metrics::new()),
                    clock: Clock::new(Instant::now()),
                },
                log,
            },
            pool: ConnectionPool::new(),
            address,
        }
    }

    /// Sends a request until it has run or may have.
    async fn call(&self, id: &str) -> Told {
        for _ in 0..MAX_SENDS {
            let exchange = Exchange {
                id,
                target: "b",
                role: ExchangeRole::Request,
            };
            let connection = match self.pool.take_idle(&self.address, id) {
                Some(connection) => connection,
                None => {
                    let connecting = self.pool.connect(&self.address, CONNECT_TIMEOUT);
                    connecting.await.expect("connects")
                }
            };
            let request = Request::post("/").header("attempt-id", id);
            let request = request.body(Full::default()).expect("valid");
            let own = match self.exchanges.send(&exchange, connection, request).await {
                Ok(own) => own,
                Err(ExchangeError::NotSent(_)) => continue,
                Err(_) => return Told::Unknown,
            };
            let Ok(body) = own.response.into_body().collect().await else {
                return Told::Unknown;
            };
            own.connection.return_to_pool();
            if !own.head.not_run {
                let body = String::from_utf8_lossy(&body.to_bytes()).into_owned();
                return match own.head.status {
                    200 => Told::Answer(body),
                    _ => Told::Unknown,
                };
            }
        }
        Told::NotRun
    }
}

#[derive(Debug, Default)]
struct Seen {
    false_not_run: usize,
    ran_twice: usize,
    mixed: usize,
    unknown: usize,
    answered: usize,
}

async fn play(seed: u64, seen: &mut Seen) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("bound").to_string();
    let runs = Runs::default();
    let back_end = {
        let runs = runs.clone();
        tokio::spawn(async move {
            let mut random = StdRng::seed_from_u64(seed);
            while let Ok((stream, _)) = listener.accept().await {
                let random = StdRng::seed_from_u64(random.gen());
                tokio::spawn(serve(stream, random, runs.clone()));
            }
        })
    };
    let caller = Caller::new(address);
    let mut told = Vec::new();
    for number in 0..REQUESTS_PER_SEED / 2 {
        let ids = [format!("r{number}a"), format!("r{number}b")];
        let (first, second) = tokio::join!(caller.call(&ids[0]), caller.call(&ids[1]));
        told.extend(ids.into_iter().zip([first, second]));
    }
    back_end.abort();
    let runs = runs.lock().expect("not poisoned");
    for (id, told) in told {
        let runs = runs.get(&id).copied().unwrap_or_default();
        seen.ran_twice += usize::from(runs > 1);
        match told {
            Told::NotRun => seen.false_not_run += usize::from(runs > 0),
            Told::Answer(body) => {
                seen.answered += 1;
                seen.mixed += usize::from(body != id);
            }
            Told::Unknown => seen.unknown += 1,
        }
    }
}

#[tokio::test]
async fn no_answer_of_another_request_is_believed_whatever_a_back_end_repeats() {
    let set = std::env::var("IDENTITY_SEEDS").ok();
    let seeds = set.and_then(|seeds| seeds.parse().ok());
    let mut seen = Seen::default();
    for seed in 0..seeds.unwrap_or(DEFAULT_SEEDS) {
        play(seed, &mut seen).await;
    }
    println!("{seen:?}");
    assert!(seen.answered > seen.unknown, "{seen:?}");
    assert_eq!((seen.false_not_run, seen.ran_twice, seen.mixed), (0, 0, 0));
}
