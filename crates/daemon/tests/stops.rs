//! Graceful shutdowns interrupt no request, and leaving back ends get no new calls.

mod common;

use common::{call, Bench};
use serde_json::json;
use silversail_testbed::cluster::wait_until;
use silversail_testbed::{CallOptions, Caller, ClusterOptions, Reply};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

/// Sends requests from several callers until `done`. Each caller requests entry points itself and
/// uses them for their lifetime.
fn send_requests_until_done(bench: &Bench, done: &AtomicBool, replies: &Mutex<Vec<Reply>>) {
    let addresses = bench.addresses();
    thread::scope(|scope| {
        for number in 0..6 {
            let addresses = addresses.clone();
            scope.spawn(move || {
                let caller = Caller::new(addresses);
                let mut count = 0;
                while !done.load(Ordering::Relaxed) {
                    let options = CallOptions {
                        stream: number % 2 == 0,
                        ..call("chat", &format!("busy-{number}-{count}"))
                    };
                    let reply = caller.call(&options, number + count, 1);
                    replies.lock().expect("not poisoned").push(reply);
                    count += 1;
                }
            });
        }
    });
}

#[test]
fn a_graceful_shutdown_interrupts_no_request_and_serves_unexpired_entry_points() {
    let mut options = ClusterOptions::new(4, 3);
    options.settings = json!({ "timing": { "entry_point_lifetime_ms": 1500 } });
    let mut bench = Bench::start(options);
    // The leader of the control group stops, which affects the cluster most.
    let leader = bench.cluster.leader("control").expect("a leader");
    let done = AtomicBool::new(false);
    let replies = Mutex::new(Vec::new());
    thread::scope(|scope| {
        let running_bench = &bench;
        let (done, replies) = (&done, &replies);
        scope.spawn(move || send_requests_until_done(running_bench, done, replies));
        thread::sleep(Duration::from_millis(800));
        running_bench.cluster.terminate(leader);
        let gone = wait_until(Duration::from_secs(30), || {
            running_bench.cluster.status(leader).is_none()
        });
        assert!(gone, "the process did not stop");
        thread::sleep(Duration::from_millis(800));
        done.store(true, Ordering::Relaxed);
    });
    let status = bench.cluster.wait_for_exit(leader, Duration::from_secs(10));
    assert!(status.expect("it exited").success());
    let replies = replies.into_inner().expect("not poisoned");
    assert!(replies.len() > 50, "{}", replies.len());
    for reply in &replies {
        assert_eq!(reply.outcome(), Some("completed"), "{reply:?}");
    }
}

#[test]
fn a_leaving_back_end_gets_no_new_calls_though_machine_lists_lag() {
    let bench = Bench::start(ClusterOptions::new(3, 3));
    let leaving = bench.emulator.addresses["gate-1"].to_string();
    let done = AtomicBool::new(false);
    let platform = bench.emulator.platform.clone().expect("configured");
    let call_count_of_gate_1 = || {
        let runs = bench.emulator.run_log.records();
        runs.iter().filter(|run| run.service == "gate-1").count()
    };
    thread::scope(|scope| {
        for number in 0..6 {
            let (bench, done) = (&bench, &done);
            scope.spawn(move || {
                let addresses = bench.addresses();
                let caller = Caller::new(addresses.clone());
                let mut count = 0;
                while !done.load(Ordering::Relaxed) {
                    let options = call("open", &format!("leaving-{number}-{count}"));
                    let reply = caller.send(addresses[number % 3], &options);
                    assert_eq!(reply.outcome(), Some("completed"), "{reply:?}");
                    count += 1;
                }
            });
        }
        thread::sleep(Duration::from_millis(700));
        let is_called = wait_until(Duration::from_secs(15), || call_count_of_gate_1() > 0);
        assert!(
            is_called,
            "the back end got no call before it was marked as leaving"
        );
        platform.set_leaving(&leaving, true);
        let marked_at = Instant::now();
        // Wait until the back end gets no call for a second.
        let mut last_change = (call_count_of_gate_1(), Instant::now());
        let has_stopped = wait_until(Duration::from_secs(15), || {
            let now = call_count_of_gate_1();
            if now != last_change.0 {
                last_change = (now, Instant::now());
            }
            last_change.1.elapsed() > Duration::from_secs(1)
        });
        assert!(has_stopped, "the leaving back end still gets calls");
        println!(
            "last new call {:?} after it was marked as leaving",
            last_change.1 - marked_at
        );
        // It must not get calls from nodes whose list lags behind either.
        let final_count = call_count_of_gate_1();
        thread::sleep(Duration::from_secs(2));
        assert_eq!(call_count_of_gate_1(), final_count);
        done.store(true, Ordering::Relaxed);
    });
    for node in 0..3 {
        let status = bench.cluster.status(node).expect("a status");
        assert_eq!(status["leaving_machines"], json!([leaving]));
    }
    // The nodes learn that it is no longer leaving.
    platform.set_leaving(&leaving, false);
    assert!(wait_until(Duration::from_secs(10), || {
        let status = bench.cluster.status(2).unwrap_or_default();
        status["leaving_machines"] == json!([])
    }));
}

#[test]
fn a_draining_back_end_gets_no_calls_once_the_change_is_in_force() {
    let bench = Bench::start(ClusterOptions::new(3, 3));
    let address = bench.emulator.addresses["gate-1"].to_string();
    let drained = json!({ "backends": [
        { "name": "gate-1", "kind": "service", "address": address, "slots": 16, "drain": true },
    ] });
    let (status, _) = bench
        .cluster
        .change(1, "drain", 1, drained)
        .expect("an answer");
    assert_eq!(status, 200);
    assert!(bench.cluster.wait_for_revision(2));
    let caller = bench.caller();
    for number in 0..12 {
        let reply = caller.call(&call("open", &format!("drained-{number}")), number, 1);
        assert_eq!(reply.outcome(), Some("completed"));
    }
    let runs = bench.emulator.run_log.records();
    assert!(runs.iter().all(|run| run.service != "gate-1"), "{runs:?}");
}

#[test]
fn entry_points_do_not_contain_a_killed_process() {
    let mut bench = Bench::start(ClusterOptions::new(4, 3));
    bench.cluster.kill(3);
    let gone = bench.cluster.nodes[3].callers;
    let is_removed = wait_until(Duration::from_secs(15), || {
        let addresses = Caller::new(bench.addresses()).addresses();
        addresses.len() == 3 && !addresses.contains(&gone)
    });
    assert!(
        is_removed,
        "a killed process is still among the entry points"
    );
    bench.cluster.spawn(3).expect("started");
    assert!(bench.cluster.wait_for_usable(4));
}
