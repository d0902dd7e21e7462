//! Answers without end to calls of stages: bounded in memory, and ended by the call's deadline.

use rstest::rstest;
use serde_json::json;
use silversail_backend::{
    engine, platform, service, Agents, BackendSelfReport, CallFailure, CallGuard, StageCall,
    TokenSink,
};
use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// Deadline of the calls.
const DEADLINE: Duration = Duration::from_millis(1_500);
/// Time after the deadline by which a call has ended.
const TOLERANCE: Duration = Duration::from_millis(500);
/// Bytes that a back end may send before its connection is closed, where the call need not wait for
/// its deadline: the largest answer and what sockets buffer.
const MAX_SENT_BYTES: usize = 24 << 20;
const OK: &str = "HTTP/1.1 200 OK\r\n";

struct Unguarded;

impl CallGuard for Unguarded {
    fn accepts_calls(&self) -> bool {
        true
    }

    fn record_report(&self, _: &BackendSelfReport) {}
}

struct NoSink;

impl TokenSink for NoSink {
    fn token(&mut self, _sequence: u64, _text: &str) {}
}

/// Sends `beginning` and then `unit` without end on one connection. Returns the address and the
/// number of bytes sent once the connection was closed.
fn serve(beginning: String, unit: String) -> (String, mpsc::Receiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound").to_string();
    let (closed, is_closed) = mpsc::channel();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        // Later connections are refused.
        drop(listener);
        let mut request = [0; 4 << 10];
        let _ = stream.read(&mut request);
        let block = unit.repeat((16 << 10) / unit.len());
        let mut sent = beginning.len();
        let mut is_open = stream.write_all(beginning.as_bytes()).is_ok();
        while is_open {
            is_open = stream.write_all(block.as_bytes()).is_ok();
            sent += block.len();
        }
        let _ = closed.send(sent);
    });
    (address, is_closed)
}

fn stage_call(address: &str) -> StageCall {
    StageCall {
        address: address.to_owned(),
        attempt: "a1".to_owned(),
        stage: "generate".to_owned(),
        input: json!("input"),
        previous: json!({}),
        model: None,
        max_tokens: 4,
        priority: 0,
        deadline: Instant::now() + DEADLINE,
        repeatable: true,
        cancelled: Default::default(),
    }
}

/// A token without its number, as the events of a stream carry it.
fn token_event(sequence: u64) -> String {
    let choices = json!([{ "text": "t" }]);
    let event = json!({ "id": "a1", "sequence": sequence, "choices": choices });
    format!("data: {event}\n\n")
}

#[rstest]
#[case::one_event("\r\ndata: ", "x")]
#[case::one_comment("\r\n: ", "x")]
fn a_line_without_end_ends_a_generation(#[case] beginning: &str, #[case] unit: &str) {
    assert_generation_is_bounded(beginning, unit);
}

#[test]
fn a_chunk_size_without_end_ends_a_generation() {
    assert_generation_is_bounded("transfer-encoding: chunked\r\n\r\n", "0");
}

fn assert_generation_is_bounded(beginning: &str, unit: &str) {
    let (address, closed) = serve(format!("{OK}{beginning}"), unit.to_owned());
    let began = Instant::now();
    let result = engine::generate(
        &Agents::new(),
        &stage_call(&address),
        &mut NoSink,
        &Unguarded,
    );
    assert!(result.is_err(), "{result:?}");
    assert!(began.elapsed() <= DEADLINE + TOLERANCE);
    let sent = closed.recv_timeout(TOLERANCE).expect("closed");
    assert!(sent <= MAX_SENT_BYTES, "{sent} bytes were read");
}

#[test]
fn more_tokens_than_were_asked_for_end_a_generation() {
    let events: String = (0..1_000).map(token_event).collect();
    let (address, _closed) = serve(format!("{OK}\r\n{events}"), ": more\n".to_owned());
    let call = stage_call(&address);
    let began = Instant::now();
    let result = engine::generate(&Agents::new(), &call, &mut NoSink, &Unguarded);
    assert!(
        matches!(result, Err(CallFailure::Protocol(_))),
        "{result:?}"
    );
    assert!(began.elapsed() < DEADLINE);
}

#[rstest]
#[case::success(OK)]
#[case::rejection("HTTP/1.1 429 Too Many Requests\r\n")]
fn a_service_answer_without_end_ends_its_call(#[case] status: &str) {
    let (address, closed) = serve(format!("{status}\r\n"), "x".to_owned());
    let began = Instant::now();
    let result = service::call(&Agents::new(), &stage_call(&address), &Unguarded);
    assert!(result.is_err(), "{result:?}");
    assert!(began.elapsed() <= DEADLINE + TOLERANCE);
    let sent = closed.recv_timeout(TOLERANCE).expect("closed");
    assert!(sent <= MAX_SENT_BYTES, "{sent} bytes were read");
}

#[test]
fn a_machine_list_without_end_is_broken_off() {
    let (address, closed) = serve(format!("{OK}\r\n"), "x".to_owned());
    let result = platform::fetch_machine_list(&Agents::new(), &address, "n1");
    assert!(result.is_err(), "{result:?}");
    let sent = closed.recv_timeout(TOLERANCE).expect("closed");
    assert!(sent <= MAX_SENT_BYTES, "{sent} bytes were read");
}
