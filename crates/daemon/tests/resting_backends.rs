//! Back ends of pipelines that ask for rest, or say in answers that they leave. What they said was
//! taken for a plain refusal, and the same process came again and again: the same cause as with
//! pass-through requests, on the path of pipelines.

mod common;

use common::backends::read_call;
use common::{document, post, Bench};
use rstest::rstest;
use serde_json::{json, Value};
use silversail_testbed::cluster::wait_until;
use silversail_testbed::emulate::behavior::{
    AdvertisedLimitConfig, BehaviorConfig, LoadSheddingConfig,
};
use silversail_testbed::ClusterOptions;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time after which what a back end said counts.
const HEARD_WITHIN: Duration = Duration::from_millis(500);
/// Calls that may reach a back end within a rest, after that time.
const BORNE_IN_A_REST: usize = 2;
const ASKED_FOR: Duration = Duration::from_secs(9);
const PATH: &str = "/v1/pipelines/open/requests";

/// What a back end answers to each call, beside its output.
#[derive(Clone, Copy)]
struct Conduct {
    turns_away: bool,
    headers: &'static str,
}

const WELL: Conduct = Conduct {
    turns_away: false,
    headers: "",
};
const RESTS: Conduct = Conduct {
    turns_away: true,
    headers: "retry-after: 9\r\n",
};
const RESTS_LONG: Conduct = Conduct {
    turns_away: true,
    headers: "retry-after: 60\r\n",
};
const LEAVES: Conduct = Conduct {
    turns_away: false,
    headers: "silversail-leaving: 1\r\n",
};

type Arrivals = Arc<Mutex<Vec<Instant>>>;

fn start_backend(conduct: Conduct) -> (SocketAddr, Arrivals) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let address = listener.local_addr().expect("an address");
    let arrivals = Arrivals::default();
    let noted = arrivals.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let noted = noted.clone();
            thread::spawn(move || answer_call(stream, conduct, &noted));
        }
    });
    (address, arrivals)
}

fn answer_call(mut stream: TcpStream, conduct: Conduct, arrivals: &Arrivals) {
    let Some(call) = read_call(&stream) else {
        return;
    };
    arrivals.lock().expect("not poisoned").push(Instant::now());
    let (status, body) = match conduct.turns_away {
        true => ("503 Service Unavailable", json!({ "not_run": true })),
        false => (
            "200 OK",
            json!({ "attempt": call["attempt"], "output": "fine", "cost_ms": 1.0 }),
        ),
    };
    let body = body.to_string();
    let head = format!(
        "HTTP/1.1 {status}\r\ncontent-type: application/json\r\nconnection: close\r\n{}content-length: {}\r\n\r\n",
        conduct.headers,
        body.len()
    );
    // Whoever asked may be gone.
    let _ = stream.write_all((head + &body).as_bytes());
}

/// A cluster whose pipeline runs at back ends of this conduct; what reaches each of them.
fn bench_with(conducts: &[Conduct]) -> (Bench, Vec<Arrivals>) {
    let bench = Bench::start(ClusterOptions::new(3, 3));
    let mut changed = document(&bench.emulator);
    let backends = changed["backends"].as_array_mut().expect("back ends");
    backends.retain(|one| one["kind"] != "service");
    let mut all = Vec::new();
    for (number, conduct) in conducts.iter().enumerate() {
        let (address, arrivals) = start_backend(*conduct);
        backends.push(json!({
            "name": format!("gate-{}", number + 1), "kind": "service",
            "address": address.to_string(), "slots": 4,
        }));
        all.push(arrivals);
    }
    let (status, answer) = bench.cluster.change(0, "gates", 1, changed).expect("one");
    assert_eq!(status, 200, "{answer}");
    assert!(bench.cluster.wait_for_revision(2));
    (bench, all)
}

/// Asks one process for a while; true for each request that was served.
fn ask_for_a_while(bench: &Bench) -> Vec<bool> {
    let address = bench.addresses()[0];
    let began = Instant::now();
    let mut served = Vec::new();
    while began.elapsed() < ASKED_FOR {
        let body = json!({ "tenant": "desk", "input": "x" }).to_string();
        served.push(post(address, PATH, &body).0 == 200);
        thread::sleep(Duration::from_millis(10));
    }
    served
}

/// The most that came within `length` after an arrival, those that are borne at once left out.
fn most_within(arrivals: &Arrivals, length: Duration) -> usize {
    let arrivals = arrivals.lock().expect("not poisoned").clone();
    let in_rest = |first: &Instant| {
        let times = *first + HEARD_WITHIN..*first + length;
        arrivals.iter().filter(|at| times.contains(at)).count()
    };
    arrivals.iter().map(in_rest).max().expect("never asked")
}

#[rstest]
#[case::rest(RESTS, Duration::from_secs(9), BORNE_IN_A_REST)]
#[case::leaving(LEAVES, ASKED_FOR, 0)]
fn told_in_answers_a_pipelines_back_end_is_left_alone(
    #[case] conduct: Conduct,
    #[case] length: Duration,
    #[case] borne: usize,
) {
    let (bench, arrivals) = bench_with(&[conduct, WELL]);
    let served = ask_for_a_while(&bench);
    let most = most_within(&arrivals[0], length);
    assert!(most <= borne, "{most}");
    let all = served.len();
    let served = served.into_iter().filter(|one| *one).count();
    assert!(served * 10 >= all * 9, "{served} of {all}");
}

#[test]
fn told_in_answers_that_all_rest_too_long_a_request_is_refused_at_once() {
    let (bench, _) = bench_with(&[RESTS_LONG, RESTS_LONG]);
    let address = bench.addresses()[0];
    let ask = || {
        let body = json!({ "tenant": "desk", "input": "x" }).to_string();
        post(address, PATH, &body)
    };
    // The first one finds out.
    ask();
    let began = Instant::now();
    let (status, answer) = ask();
    let took = began.elapsed();
    assert_eq!(status, 503, "{answer}");
    assert_eq!(answer["code"], 2115, "{answer}");
    let told = answer["retry_after_ms"].as_u64().unwrap_or_default();
    assert!((55_000..=60_000).contains(&told), "{answer}");
    // Its deadline is 3 s away.
    assert!(took < Duration::from_secs(1), "{took:?}");
}

/// The engine that ran the last stage of a pipeline, and how often it was tried.
fn engine_of(answer: &Value) -> Option<(String, u64)> {
    let last = answer["stages"].as_array()?.last()?;
    let backend = last["backend"].as_str()?.to_owned();
    Some((backend, last["attempts"].as_u64()?))
}

/// Asks one process for generations until `ends`; the engine of each that was served, in order.
fn generations(
    bench: &Bench,
    mut ends: impl FnMut(&[(String, u64)]) -> bool,
) -> Vec<(String, u64)> {
    let address = bench.addresses()[0];
    let mut seen = Vec::new();
    wait_until(Duration::from_secs(20), || {
        let body = json!({ "tenant": "desk", "input": "x" }).to_string();
        let (status, answer) = post(address, "/v1/pipelines/chat/requests", &body);
        if status == 200 {
            seen.extend(engine_of(&answer));
        }
        ends(&seen)
    });
    seen
}

/// It turns calls away for a moment only, and is sound long before its rest is over.
#[test]
fn told_in_answers_a_pipelines_engine_rests_for_as_long_as_it_asked() {
    const LENGTH: Duration = Duration::from_secs(4);
    let bench = Bench::start(ClusterOptions::new(3, 3));
    bench.emulator.faults["engine-1"].set_behavior(BehaviorConfig {
        sheds: vec![LoadSheddingConfig {
            from_ms: 0,
            for_ms: 1_000,
            percent: 100,
            rest_ms: Some(LENGTH.as_millis() as u64),
        }],
        ..BehaviorConfig::default()
    });
    let was_turned_away = |seen: &[(String, u64)]| seen.iter().any(|(_, tries)| *tries > 1);
    let until_asked = generations(&bench, was_turned_away);
    assert!(
        was_turned_away(&until_asked),
        "never turned away: {until_asked:?}"
    );
    let asked_at = Instant::now();
    let came_back = |seen: &[(String, u64)]| seen.iter().any(|(engine, _)| engine == "engine-1");
    let after = generations(&bench, came_back);
    assert!(came_back(&after), "never again");
    let rested = asked_at.elapsed();
    assert!(rested >= LENGTH - Duration::from_millis(500), "{rested:?}");
}

#[test]
fn told_in_answers_a_pipelines_engine_that_leaves_gets_no_generation() {
    let bench = Bench::start(ClusterOptions::new(3, 3));
    bench.emulator.faults["engine-1"].set_behavior(BehaviorConfig {
        leaves_after_ms: Some(0),
        ..BehaviorConfig::default()
    });
    let began = Instant::now();
    let seen = generations(&bench, |_| began.elapsed() > Duration::from_secs(4));
    let at_leaving = seen.iter().filter(|(engine, _)| engine == "engine-1");
    let at_leaving = at_leaving.count();
    assert!(at_leaving <= 1, "{at_leaving} of {}", seen.len());
    assert!(seen.len() > 20, "{}", seen.len());
}

/// Operators see it by the process that was told.
#[test]
fn a_limit_that_a_pipelines_engine_names_is_told_to_operators() {
    let bench = Bench::start(ClusterOptions::new(3, 3));
    bench.emulator.faults["engine-1"].set_behavior(BehaviorConfig {
        limits: vec![AdvertisedLimitConfig {
            from_ms: 0,
            for_ms: 60_000,
            per_second: 2.5,
        }],
        ..BehaviorConfig::default()
    });
    let came_there = |seen: &[(String, u64)]| seen.iter().any(|(engine, _)| engine == "engine-1");
    generations(&bench, came_there);
    let status = bench.cluster.status(0).expect("a status");
    let limits = status["limited_backends"].as_array().expect("a list");
    let told: Vec<f64> = limits
        .iter()
        .filter_map(|limit| limit["per_second"].as_f64())
        .collect();
    assert_eq!(told, [2.5], "{status}");
}
