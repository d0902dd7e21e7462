//! A caller gets the complete answer to its own request, or a correct error.

mod common;

use common::{call, post, Bench};
use rstest::rstest;
use serde_json::{json, Value};
use silversail_testbed::cluster::wait_until;
use silversail_testbed::emulate::FaultMode;
use silversail_testbed::{check, CallOptions, ClusterOptions};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

fn start_three_nodes() -> Bench {
    Bench::start(ClusterOptions::new(3, 3))
}

#[test]
fn complete_answers_arrive_streamed_or_plain_for_their_request() {
    let bench = start_three_nodes();
    let caller = bench.caller();
    let plain = caller.call(&call("chat", "plain"), 0, 1);
    assert_eq!(plain.outcome(), Some("completed"), "{:?}", plain.body);
    assert!(plain.body["output"].to_string().contains("plain"));
    assert_eq!(plain.body["stages"].as_array().map(Vec::len), Some(4));
    let streamed = CallOptions {
        stream: true,
        ..call("chat", "streamed")
    };
    let reply = caller.call(&streamed, 1, 1);
    assert_eq!(reply.outcome(), Some("completed"), "{:?}", reply.body);
    assert_eq!(reply.tokens.len(), 12);
    assert_eq!(json!(reply.tokens.concat()), reply.body["output"]);
}

#[test]
fn a_broken_stream_is_resumed_at_the_next_token() {
    let bench = start_three_nodes();
    let caller = bench.caller();
    let options = |key: &str| CallOptions {
        stream: true,
        ..call("chat", key)
    };
    for engine in ["engine-1", "engine-2"] {
        bench
            .emulator
            .faults(engine)
            .set_mode(FaultMode::CloseConnection);
    }
    for attempt in 0..6 {
        let reply = caller.call(&options(&format!("cut-{attempt}")), attempt, 1);
        assert_eq!(reply.outcome(), Some("completed"), "{:?}", reply.body);
        assert_eq!(reply.tokens.len(), 12, "a token was lost or repeated");
        assert_eq!(json!(reply.tokens.concat()), reply.body["output"]);
    }
}

#[test]
fn a_generation_without_an_end_mark_fails_at_its_deadline() {
    let bench = start_three_nodes();
    for engine in ["engine-1", "engine-2"] {
        bench.emulator.faults(engine).set_mode(FaultMode::Hang);
    }
    let options = CallOptions {
        stream: true,
        deadline: Duration::from_millis(900),
        ..call("chat", "endless")
    };
    let reply = bench.caller().call(&options, 0, 1);
    assert_eq!(reply.outcome(), Some("failed"), "{:?}", reply.body);
    assert_eq!(reply.code(), Some(3004));
    assert!(!reply.ended_early);
}

#[rstest]
#[case(FaultMode::MalformedBody)]
#[case(FaultMode::WrongAttempt)]
#[case(FaultMode::Error)]
#[case(FaultMode::CloseConnection)]
#[case(FaultMode::Reject)]
fn a_repeatable_stage_is_retried_on_another_back_end_after_a_bad_answer(#[case] mode: FaultMode) {
    let bench = start_three_nodes();
    bench.emulator.faults("encoder-1").set_mode(mode);
    let caller = bench.caller();
    let retries = || -> f64 {
        (0..3)
            .map(|node| {
                bench
                    .cluster
                    .metric_sum(node, "silversail_retries_total", "")
            })
            .sum()
    };
    // The encoder is selected at random, so requests are sent until the faulty one was called.
    for attempt in 0..60 {
        let reply = caller.call(&call("chat", &format!("bad-{attempt}")), attempt, 1);
        assert_eq!(reply.outcome(), Some("completed"), "{:?}", reply.body);
        if attempt >= 6 && retries() >= 1.0 {
            return;
        }
    }
    panic!("no stage was retried");
}

#[rstest]
#[case(FaultMode::MalformedBody, "unknown", 3101)]
#[case(FaultMode::WrongAttempt, "unknown", 3101)]
#[case(FaultMode::CloseConnection, "unknown", 3101)]
#[case(FaultMode::Error, "failed", 3001)]
#[case(FaultMode::Reject, "not_run", 2111)]
fn a_call_that_may_not_be_repeated_is_not_retried(
    #[case] mode: FaultMode,
    #[case] outcome: &str,
    #[case] code: u64,
) {
    let bench = start_three_nodes();
    for gate in ["gate-1", "gate-2"] {
        bench.emulator.faults(gate).set_mode(mode);
    }
    let caller = bench.caller();
    let options = call("open", "barrier");
    let first = caller.call(&options, 0, 1);
    assert_eq!(
        (first.outcome(), first.code()),
        (Some(outcome), Some(code)),
        "{:?}",
        first.body
    );
    for gate in ["gate-1", "gate-2"] {
        bench.emulator.faults(gate).set_mode(FaultMode::None);
    }
    // A resend with the same key through another process gets the recorded answer.
    let resent = caller.call(&options, 1, 1);
    assert_eq!(resent.body["outcome"], first.body["outcome"]);
    assert_eq!(resent.body["code"], first.body["code"]);
    let records = [first.record(&options), resent.record(&options)];
    let runs = bench.emulator.run_log.records();
    assert_eq!(check(&records, &runs), []);
    assert!(runs.len() <= 1, "{runs:?}");
}

#[test]
fn a_refused_key_runs_again_only_with_its_retry_token() {
    let bench = start_three_nodes();
    for gate in ["gate-1", "gate-2"] {
        bench.emulator.faults(gate).set_mode(FaultMode::Reject);
    }
    let caller = bench.caller();
    let mut options = call("open", "retry");
    let refused = caller.call(&options, 0, 1);
    assert_eq!(refused.outcome(), Some("not_run"));
    for gate in ["gate-1", "gate-2"] {
        bench.emulator.faults(gate).set_mode(FaultMode::None);
    }
    // An older copy that was still in transit when the caller got the refusal.
    assert_eq!(caller.call(&options, 1, 1).outcome(), Some("not_run"));
    assert!(bench.emulator.run_log.records().is_empty());
    options.retry_token = refused.body["retry_token"].as_str().map(str::to_owned);
    assert!(options.retry_token.is_some());
    assert_eq!(caller.call(&options, 2, 1).outcome(), Some("completed"));
    assert_eq!(bench.emulator.run_log.records().len(), 1);
}

#[test]
fn the_same_key_with_another_body_is_a_conflict() {
    let bench = start_three_nodes();
    let caller = bench.caller();
    let first = call("open", "same");
    assert_eq!(caller.call(&first, 0, 1).outcome(), Some("completed"));
    let other = CallOptions {
        text: "another".into(),
        ..call("open", "same")
    };
    let reply = caller.call(&other, 1, 1);
    assert_eq!(
        (reply.status, reply.code()),
        (Some(422), Some(2010)),
        "{:?}",
        reply.body
    );
}

#[rstest]
#[case("not json", "chat", 400, 2001)]
#[case(r#"{"tenant":"desk","input":1,"extra":2}"#, "chat", 400, 2001)]
#[case(r#"{"tenant":"desk","input":1}"#, "none", 404, 2004)]
#[case(r#"{"tenant":"nobody","input":1}"#, "chat", 403, 2005)]
#[case(r#"{"tenant":"guest","input":1}"#, "open", 403, 2006)]
#[case(r#"{"tenant":"desk","input":1,"deadline_ms":0}"#, "chat", 400, 2007)]
fn invalid_input_gets_a_numbered_error(
    #[case] body: &str,
    #[case] pipeline: &str,
    #[case] status: u16,
    #[case] code: u64,
) {
    let bench = start_three_nodes();
    let address = bench.cluster.nodes[0].callers;
    let (actual_status, answer) =
        post(address, &format!("/v1/pipelines/{pipeline}/requests"), body);
    assert_eq!(
        (actual_status, &answer["code"]),
        (status, &json!(code)),
        "{answer}"
    );
    assert_eq!(answer["outcome"], "not_run");
    let reply = bench.caller().call(&call("chat", "after"), 0, 1);
    assert_eq!(reply.outcome(), Some("completed"));
}

#[test]
fn oversized_slow_and_idle_callers_do_not_affect_others() {
    let mut options = ClusterOptions::new(3, 3);
    options.settings = json!({
        "limits": { "body_bytes": 20_000, "body_timeout_ms": 400, "header_timeout_ms": 800 },
    });
    let bench = Bench::start(options);
    let address = bench.cluster.nodes[0].callers;
    let large = json!({ "tenant": "desk", "input": "x".repeat(30_000) }).to_string();
    let (status, answer) = post(address, "/v1/pipelines/chat/requests", &large);
    assert_eq!((status, &answer["code"]), (413, &json!(2002)));
    let mut slow = TcpStream::connect(address).expect("connected");
    let head =
        "POST /v1/pipelines/chat/requests HTTP/1.1\r\nhost: a\r\ncontent-length: 50\r\n\r\n{";
    slow.write_all(head.as_bytes()).expect("sent");
    let idle: Vec<TcpStream> = (0..200)
        .filter_map(|_| TcpStream::connect(address).ok())
        .collect();
    assert_eq!(idle.len(), 200);
    let started = Instant::now();
    let caller = silversail_testbed::Caller::new(vec![address]);
    for attempt in 0..5 {
        let reply = caller.send(address, &call("chat", &format!("beside-{attempt}")));
        assert_eq!(reply.outcome(), Some("completed"), "{:?}", reply.body);
    }
    assert!(started.elapsed() < Duration::from_secs(10));
    let mut answer = String::new();
    slow.set_read_timeout(Some(Duration::from_secs(5)))
        .expect("set");
    let mut buffer = [0; 1024];
    if let Ok(count) = slow.read(&mut buffer) {
        answer.push_str(&String::from_utf8_lossy(&buffer[..count]));
    }
    assert!(answer.contains("2008"), "{answer}");
}

#[test]
fn a_disconnected_caller_cancels_the_generation() {
    let bench = start_three_nodes();
    for engine in ["engine-1", "engine-2"] {
        bench.emulator.faults(engine).set_slowdown(60.0);
    }
    let address = bench.cluster.nodes[0].callers;
    let body = json!({ "tenant": "desk", "input": 1, "stream": true, "deadline_ms": 30_000 });
    let body = body.to_string();
    let mut connection = TcpStream::connect(address).expect("connected");
    let head = format!(
        "POST /v1/pipelines/chat/requests HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    connection.write_all(head.as_bytes()).expect("sent");
    let open = |count: i64| {
        wait_until(Duration::from_secs(5), || {
            let status = bench.cluster.status(0).unwrap_or_default();
            status["open_requests"] == count
        })
    };
    assert!(open(1));
    let engine_load = || -> u64 {
        ["engine-1", "engine-2"]
            .iter()
            .map(|name| {
                let url = format!("http://{}/v1/load", bench.emulator.addresses[*name]);
                let response = ureq::get(&url).call().expect("a load");
                let load: Value = serde_json::from_reader(response.into_reader()).expect("JSON");
                load["running"].as_u64().unwrap_or(0)
            })
            .sum()
    };
    assert!(wait_until(Duration::from_secs(5), || engine_load() == 1));
    drop(connection);
    assert!(open(0), "the request is still open");
    assert!(
        wait_until(Duration::from_secs(5), || engine_load() == 0),
        "the engine still generates"
    );
}

#[test]
fn a_tenant_limit_applies_across_all_processes() {
    let bench = start_three_nodes();
    for engine in ["engine-1", "engine-2"] {
        bench.emulator.faults(engine).set_slowdown(40.0);
    }
    let caller = bench.caller();
    let addresses = bench.addresses();
    let replies: Vec<_> = std::thread::scope(|scope| {
        let calls: Vec<_> = (0..18)
            .map(|number| {
                let (caller, address) = (&caller, addresses[number % 3]);
                scope.spawn(move || {
                    let options = CallOptions {
                        tenant: "guest".into(),
                        deadline: Duration::from_secs(8),
                        ..call("chat", &format!("guest-{number}"))
                    };
                    caller.send(address, &options)
                })
            })
            .collect();
        calls
            .into_iter()
            .map(|call| call.join().expect("joined"))
            .collect()
    });
    let refused = replies
        .iter()
        .filter(|reply| reply.code() == Some(2105))
        .count();
    let completed = replies
        .iter()
        .filter(|reply| reply.outcome() == Some("completed"))
        .count();
    // The cluster-wide limit is 3, so each of the 3 processes has a share of 1.
    assert_eq!((completed, refused), (3, 15), "{replies:?}");
}

/// The other processes are frozen while the generation runs, so that the ledger records no outcome.
#[rstest]
#[case::completed(150, "completed")]
#[case::failed_at_its_deadline(2_000, "failed")]
fn an_answer_that_is_known_reaches_its_caller_by_its_deadline_without_the_ledger(
    #[case] max_tokens: u64,
    #[case] outcome: &str,
) {
    let mut options = ClusterOptions::new(3, 3);
    options.settings = json!({ "timing": { "ledger_timeout_ms": 20_000 } });
    let bench = Bench::start(options);
    let mut document = common::document(&bench.emulator);
    document["pipelines"][0]["stages"][3]["max_tokens"] = json!(max_tokens);
    let changed = bench.cluster.change(0, "longer", 1, document);
    assert_eq!(changed.expect("an answer").0, 200);
    assert!(bench.cluster.wait_for_revision(2));
    let address = bench.addresses()[0];
    let reply = thread::scope(|scope| {
        let caller = bench.caller();
        let sent = scope.spawn(move || {
            let options = CallOptions {
                stream: true,
                ..call("chat", "without-ledger")
            };
            caller.send(address, &options)
        });
        thread::sleep(Duration::from_millis(300));
        bench.cluster.freeze(1);
        bench.cluster.freeze(2);
        sent.join().expect("a reply")
    });
    bench.cluster.resume(1);
    bench.cluster.resume(2);
    assert!(!reply.tokens.is_empty(), "{reply:?}");
    assert_eq!(reply.outcome(), Some(outcome), "{reply:?}");
}
