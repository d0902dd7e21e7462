//! Pipeline back ends that ask for a back-off, or announce in answers that they leave, get no
//! further calls, as on the path of pass-through requests.

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

/// Time after which a report of a back end is applied.
const REPORT_APPLIED_WITHIN: Duration = Duration::from_millis(500);
/// Calls that may reach a back end during its back-off, after that time.
const MAX_CALLS_DURING_BACKOFF: usize = 2;
const REQUEST_PERIOD: Duration = Duration::from_secs(9);
const PATH: &str = "/v1/pipelines/open/requests";

/// How a back end answers each call, besides the output.
#[derive(Clone, Copy)]
struct Behaviour {
    rejects_calls: bool,
    headers: &'static str,
}

const HEALTHY: Behaviour = Behaviour {
    rejects_calls: false,
    headers: "",
};
const BACKS_OFF: Behaviour = Behaviour {
    rejects_calls: true,
    headers: "retry-after: 9\r\n",
};
const BACKS_OFF_BEYOND_DEADLINE: Behaviour = Behaviour {
    rejects_calls: true,
    headers: "retry-after: 60\r\n",
};
const LEAVING: Behaviour = Behaviour {
    rejects_calls: false,
    headers: "silversail-leaving: 1\r\n",
};

type Arrivals = Arc<Mutex<Vec<Instant>>>;

fn start_backend(behaviour: Behaviour) -> (SocketAddr, Arrivals) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let address = listener.local_addr().expect("an address");
    let arrivals = Arrivals::default();
    let recorded = arrivals.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let recorded = recorded.clone();
            thread::spawn(move || answer_call(stream, behaviour, &recorded));
        }
    });
    (address, arrivals)
}

fn answer_call(mut stream: TcpStream, behaviour: Behaviour, arrivals: &Arrivals) {
    let Some(call) = read_call(&stream) else {
        return;
    };
    arrivals.lock().expect("not poisoned").push(Instant::now());
    let (status, body) = match behaviour.rejects_calls {
        true => ("503 Service Unavailable", json!({ "not_run": true })),
        false => (
            "200 OK",
            json!({ "attempt": call["attempt"], "output": "fine", "cost_ms": 1.0 }),
        ),
    };
    let body = body.to_string();
    let head = format!(
        "HTTP/1.1 {status}\r\ncontent-type: application/json\r\nconnection: close\r\n{}content-length: {}\r\n\r\n",
        behaviour.headers,
        body.len()
    );
    // The caller may have disconnected.
    let _ = stream.write_all((head + &body).as_bytes());
}

/// A cluster whose pipeline runs on back ends with these behaviours, and the arrival times at each.
fn bench_with(behaviours: &[Behaviour]) -> (Bench, Vec<Arrivals>) {
    let bench = Bench::start(ClusterOptions::new(3, 3));
    let mut changed_configuration = document(&bench.emulator);
    let backends = changed_configuration["backends"]
        .as_array_mut()
        .expect("back ends");
    backends.retain(|backend| backend["kind"] != "service");
    let mut arrivals_by_backend = Vec::new();
    for (number, behaviour) in behaviours.iter().enumerate() {
        let (address, arrivals) = start_backend(*behaviour);
        backends.push(json!({
            "name": format!("gate-{}", number + 1), "kind": "service",
            "address": address.to_string(), "slots": 4,
        }));
        arrivals_by_backend.push(arrivals);
    }
    let (status, answer) = bench
        .cluster
        .change(0, "gates", 1, changed_configuration)
        .expect("a response");
    assert_eq!(status, 200, "{answer}");
    assert!(bench.cluster.wait_for_revision(2));
    (bench, arrivals_by_backend)
}

/// Sends requests to one process for a fixed time; true for each that was served.
fn send_requests(bench: &Bench) -> Vec<bool> {
    let address = bench.addresses()[0];
    let started_at = Instant::now();
    let mut served = Vec::new();
    while started_at.elapsed() < REQUEST_PERIOD {
        let body = json!({ "tenant": "desk", "input": "x" }).to_string();
        served.push(post(address, PATH, &body).0 == 200);
        thread::sleep(Duration::from_millis(10));
    }
    served
}

/// Maximum number of arrivals within `length` after an arrival, without those before the report is
/// applied.
fn max_arrivals_within(arrivals: &Arrivals, length: Duration) -> usize {
    let arrivals = arrivals.lock().expect("not poisoned").clone();
    let count_after = |first: &Instant| {
        let times = *first + REPORT_APPLIED_WITHIN..*first + length;
        arrivals.iter().filter(|at| times.contains(at)).count()
    };
    arrivals
        .iter()
        .map(count_after)
        .max()
        .expect("no call arrived")
}

#[rstest]
#[case::back_off(BACKS_OFF, Duration::from_secs(9), MAX_CALLS_DURING_BACKOFF)]
#[case::leaving(LEAVING, REQUEST_PERIOD, 0)]
fn a_pipeline_back_end_that_backs_off_or_leaves_gets_no_calls(
    #[case] behaviour: Behaviour,
    #[case] length: Duration,
    #[case] max_calls: usize,
) {
    let (bench, arrivals) = bench_with(&[behaviour, HEALTHY]);
    let served = send_requests(&bench);
    let max_arrivals = max_arrivals_within(&arrivals[0], length);
    assert!(max_arrivals <= max_calls, "{max_arrivals}");
    let total = served.len();
    let served = served.into_iter().filter(|is_served| *is_served).count();
    assert!(served * 10 >= total * 9, "{served} of {total}");
}

#[test]
fn a_request_is_refused_at_once_if_all_back_ends_back_off_beyond_its_deadline() {
    let (bench, _) = bench_with(&[BACKS_OFF_BEYOND_DEADLINE, BACKS_OFF_BEYOND_DEADLINE]);
    let address = bench.addresses()[0];
    let send_request = || {
        let body = json!({ "tenant": "desk", "input": "x" }).to_string();
        post(address, PATH, &body)
    };
    // The first request discovers the back-off.
    send_request();
    let started_at = Instant::now();
    let (status, answer) = send_request();
    let elapsed = started_at.elapsed();
    assert_eq!(status, 503, "{answer}");
    assert_eq!(answer["code"], 2115, "{answer}");
    let reported = answer["retry_after_ms"].as_u64().unwrap_or_default();
    assert!((55_000..=60_000).contains(&reported), "{answer}");
    // The request's deadline is 3 s.
    assert!(elapsed < Duration::from_secs(1), "{elapsed:?}");
}

/// The engine that ran the last stage of a pipeline, and its number of attempts.
fn engine_of(answer: &Value) -> Option<(String, u64)> {
    let last = answer["stages"].as_array()?.last()?;
    let backend = last["backend"].as_str()?.to_owned();
    Some((backend, last["attempts"].as_u64()?))
}

/// Sends generation requests to one process until `is_done`; the engine of each that was served, in
/// order.
fn generations(
    bench: &Bench,
    mut is_done: impl FnMut(&[(String, u64)]) -> bool,
) -> Vec<(String, u64)> {
    let address = bench.addresses()[0];
    let mut served = Vec::new();
    wait_until(Duration::from_secs(20), || {
        let body = json!({ "tenant": "desk", "input": "x" }).to_string();
        let (status, answer) = post(address, "/v1/pipelines/chat/requests", &body);
        if status == 200 {
            served.extend(engine_of(&answer));
        }
        is_done(&served)
    });
    served
}

/// The engine rejects calls only briefly and recovers long before its back-off ends.
#[test]
fn a_pipeline_engine_gets_no_call_until_its_back_off_ends() {
    const BACKOFF: Duration = Duration::from_secs(4);
    let bench = Bench::start(ClusterOptions::new(3, 3));
    bench.emulator.faults["engine-1"].set_behavior(BehaviorConfig {
        sheds: vec![LoadSheddingConfig {
            from_ms: 0,
            for_ms: 1_000,
            percent: 100,
            rest_ms: Some(BACKOFF.as_millis() as u64),
        }],
        ..BehaviorConfig::default()
    });
    let was_rejected = |served: &[(String, u64)]| served.iter().any(|(_, attempts)| *attempts > 1);
    let until_rejected = generations(&bench, was_rejected);
    assert!(
        was_rejected(&until_rejected),
        "no call was rejected: {until_rejected:?}"
    );
    let rejected_at = Instant::now();
    let was_selected_again =
        |served: &[(String, u64)]| served.iter().any(|(engine, _)| engine == "engine-1");
    let after = generations(&bench, was_selected_again);
    assert!(
        was_selected_again(&after),
        "engine-1 was not selected again"
    );
    let backed_off = rejected_at.elapsed();
    assert!(
        backed_off >= BACKOFF - Duration::from_millis(500),
        "{backed_off:?}"
    );
}

#[test]
fn a_leaving_pipeline_engine_gets_no_generation() {
    let bench = Bench::start(ClusterOptions::new(3, 3));
    bench.emulator.faults["engine-1"].set_behavior(BehaviorConfig {
        leaves_after_ms: Some(0),
        ..BehaviorConfig::default()
    });
    let started_at = Instant::now();
    let served = generations(&bench, |_| started_at.elapsed() > Duration::from_secs(4));
    let calls_to_leaving = served.iter().filter(|(engine, _)| engine == "engine-1");
    let calls_to_leaving = calls_to_leaving.count();
    assert!(
        calls_to_leaving <= 1,
        "{calls_to_leaving} of {}",
        served.len()
    );
    assert!(served.len() > 20, "{}", served.len());
}

/// The status of the process that received the limit shows it.
#[test]
fn a_rate_limit_of_a_pipeline_engine_is_shown_to_operators() {
    let bench = Bench::start(ClusterOptions::new(3, 3));
    bench.emulator.faults["engine-1"].set_behavior(BehaviorConfig {
        limits: vec![AdvertisedLimitConfig {
            from_ms: 0,
            for_ms: 60_000,
            per_second: 2.5,
        }],
        ..BehaviorConfig::default()
    });
    let was_called =
        |served: &[(String, u64)]| served.iter().any(|(engine, _)| engine == "engine-1");
    generations(&bench, was_called);
    let status = bench.cluster.status(0).expect("a status");
    let limits = status["limited_backends"].as_array().expect("a list");
    let reported: Vec<f64> = limits
        .iter()
        .filter_map(|limit| limit["per_second"].as_f64())
        .collect();
    assert_eq!(reported, [2.5], "{status}");
}
