//! Generations whose streams are cut, against a socket that answers with prepared bytes.

use rstest::rstest;
use serde_json::{json, Value};
use silversail_backend::{
    engine, Agents, BackendSelfReport, CallFailure, CallGuard, StageCall, StageOutput, TokenSink,
};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const ATTEMPT: &str = "a1";
const TIMEOUT: Duration = Duration::from_secs(10);

struct Unguarded;

impl CallGuard for Unguarded {
    fn accepts_calls(&self) -> bool {
        true
    }

    fn record_report(&self, _: &BackendSelfReport) {}
}

#[derive(Default)]
struct Tokens(Vec<String>);

impl TokenSink for Tokens {
    fn token(&mut self, _sequence: u64, text: &str) {
        self.0.push(text.to_owned());
    }
}

fn event(sequence: u64) -> String {
    let event = json!({
        "id": ATTEMPT, "sequence": sequence, "choices": [{ "text": format!("t{sequence} ") }],
    });
    format!("data: {event}\n\n")
}

fn last_events(sequence: u64) -> String {
    let event = json!({
        "id": ATTEMPT, "sequence": sequence, "choices": [{ "finish_reason": "stop" }],
        "usage": { "cost_ms": 1.0 },
    });
    format!("data: {event}\n\ndata: [DONE]\n\n")
}

/// Reads a request and returns the number of the token from which on it resumes; 0 for a new one.
fn read_request(stream: &TcpStream) -> std::io::Result<u64> {
    let mut reader = BufReader::new(stream);
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let line = line.trim().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().unwrap_or(0);
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    let body: Value = serde_json::from_slice(&body)?;
    Ok(body["resume_from"].as_u64().unwrap_or(0))
}

/// Answers one request on each connection with the bytes that `answer` gives for the number of its
/// first token, and closes it. Returns the address and the first tokens that were asked for.
fn serve(
    connections: usize,
    answer: impl Fn(u64) -> String + Send + 'static,
) -> (String, JoinHandle<Vec<u64>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound").to_string();
    let served = std::thread::spawn(move || {
        let serve_one = |_| {
            let (mut stream, _) = listener.accept().expect("a connection");
            let from = read_request(&stream).expect("a request");
            let head =
                "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n";
            let answer = format!("{head}\r\n{}", answer(from));
            stream.write_all(answer.as_bytes()).expect("a caller");
            from
        };
        (0..connections).map(serve_one).collect()
    });
    (address, served)
}

fn generate(address: &str) -> (Result<StageOutput, CallFailure>, Vec<String>) {
    let call = StageCall {
        address: address.to_owned(),
        attempt: ATTEMPT.to_owned(),
        stage: "generate".to_owned(),
        input: json!("input"),
        previous: json!({}),
        model: None,
        max_tokens: 4,
        priority: 0,
        deadline: Instant::now() + TIMEOUT,
        repeatable: true,
        cancelled: Default::default(),
    };
    let mut tokens = Tokens::default();
    let result = engine::generate(&Agents::new(), &call, &mut tokens, &Unguarded);
    (result, tokens.0)
}

/// Cuts a stream of four tokens after `kept` bytes of its second event; the rest follows on request.
#[rstest]
#[case::between_events(0)]
#[case::after_the_field_name(6)]
#[case::inside_the_data(25)]
#[case::before_the_end_of_the_line(usize::MAX)]
fn a_stream_that_is_cut_is_resumed_wherever_it_was_cut(#[case] kept: usize) {
    let cut = event(1).trim_end().to_owned();
    let cut = cut[..kept.min(cut.len())].to_owned();
    let (address, served) = serve(2, move |from| match from {
        0 => event(0) + &cut,
        _ => (from..4).map(event).collect::<String>() + &last_events(4),
    });
    let (result, tokens) = generate(&address);
    let output = result.expect("a whole stream");
    assert_eq!(output.value, json!("t0 t1 t2 t3 "));
    assert_eq!(tokens, ["t0 ", "t1 ", "t2 ", "t3 "]);
    assert_eq!(served.join().expect("served"), [0, 1]);
}

/// A whole line that can't be read is no cut: another attempt would bring the same.
#[test]
fn a_malformed_event_is_a_protocol_error() {
    let (address, served) = serve(1, |_| event(0) + "data: {\"id\":\n\n" + &event(1));
    let (result, _) = generate(&address);
    assert!(
        matches!(result, Err(CallFailure::Protocol(_))),
        "{result:?}"
    );
    assert_eq!(served.join().expect("served"), [0]);
}

#[test]
fn an_end_mark_without_an_end_of_line_is_the_end() {
    let (address, served) = serve(1, |_| {
        let stream = (0..4).map(event).collect::<String>() + &last_events(4);
        stream.trim_end().to_owned()
    });
    let (result, _) = generate(&address);
    assert_eq!(result.map(|output| output.tokens), Ok(4));
    assert_eq!(served.join().expect("served"), [0]);
}
