//! A request that may not be repeated runs at most once, and "not run" is never a wrong answer:
//! concurrent resends go through all processes during kills and link faults, and are checked
//! against the run log of the services.

mod common;

use common::{call, Bench};
use silversail_testbed::emulate::FaultMode;
use silversail_testbed::{
    check, CallOptions, CallRecord, Caller, ClusterOptions, LinkFault, Violation,
};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

const CALLERS: usize = 8;
const KEYS_PER_CALLER: usize = 25;
/// Copies of each key that a caller sends, through different processes.
const COPIES: usize = 2;

fn run_callers(addresses: &[SocketAddr], records: &Mutex<Vec<CallRecord>>) {
    thread::scope(|scope| {
        for number in 0..CALLERS {
            scope.spawn(move || run_caller(number, addresses, records));
        }
    });
}

fn violations(bench: &Bench, records: &Mutex<Vec<CallRecord>>) -> Vec<Violation> {
    let records = records.lock().expect("not poisoned");
    let runs = bench.emulator.run_log.records();
    let pipeline_runs: Vec<_> = runs
        .into_iter()
        .filter(|run| run.service.starts_with("gate"))
        .collect();
    assert!(
        pipeline_runs.len() >= 20,
        "too few runs: {}",
        pipeline_runs.len()
    );
    check(&records, &pipeline_runs)
        .into_iter()
        // A killed process loses its callers' connections.
        .filter(|violation| !matches!(violation, Violation::Lost { .. }))
        .collect()
}

#[test]
fn no_key_runs_twice_and_no_refusal_is_wrong_under_kills_and_link_faults() {
    let options = ClusterOptions {
        proxied: true,
        ..ClusterOptions::new(5, 3)
    };
    let mut bench = Bench::start(options);
    bench
        .emulator
        .faults("gate-2")
        .set_mode(FaultMode::CloseConnection);
    let records = Mutex::new(Vec::new());
    let done = AtomicBool::new(false);
    let Bench { emulator, cluster } = bench;
    let addresses: Vec<_> = cluster.nodes.iter().map(|node| node.callers).collect();
    let cluster = Mutex::new(cluster);
    thread::scope(|scope| {
        scope.spawn(|| {
            // Kills, disconnects or suspends one process after another.
            let mut step = 0;
            while !done.load(Ordering::Relaxed) {
                let position = step % 5;
                let mut cluster = cluster.lock().expect("not poisoned");
                match step % 3 {
                    0 => cluster.kill(position),
                    1 => cluster.set_all_links(position, LinkFault::black_hole()),
                    _ => cluster.freeze(position),
                }
                thread::sleep(Duration::from_millis(1_200));
                match step % 3 {
                    0 => cluster.spawn(position).expect("started"),
                    1 => cluster.set_all_links(position, LinkFault::default()),
                    _ => cluster.resume(position),
                }
                thread::sleep(Duration::from_millis(600));
                step += 1;
            }
        });
        let callers = scope.spawn(|| {
            run_callers(&addresses, &records);
            done.store(true, Ordering::Relaxed);
        });
        callers.join().expect("joined");
    });
    bench = Bench {
        emulator,
        cluster: cluster.into_inner().expect("not poisoned"),
    };
    assert_eq!(violations(&bench, &records), []);
}

fn run_caller(number: usize, addresses: &[SocketAddr], records: &Mutex<Vec<CallRecord>>) {
    let caller = Caller::new(addresses.to_vec());
    for key in 0..KEYS_PER_CALLER {
        // Two callers share each key.
        let key = format!("key-{}-{key}", number / 2);
        for copy in 0..COPIES {
            let options = CallOptions {
                deadline: Duration::from_millis(1_500),
                ..call("open", &key)
            };
            let address = addresses[(number + copy) % addresses.len()];
            let reply = caller.send(address, &options);
            records
                .lock()
                .expect("not poisoned")
                .push(reply.record(&options));
        }
    }
}

#[test]
fn claims_survive_a_crash_of_all_processes_at_once() {
    let mut bench = Bench::start(ClusterOptions::new(3, 3));
    let records = Mutex::new(Vec::new());
    run_callers(&bench.addresses(), &records);
    for position in 0..3 {
        bench.cluster.kill(position);
    }
    for position in 0..3 {
        bench.cluster.spawn(position).expect("started");
    }
    assert!(bench.cluster.wait_until_serving());
    assert!(bench.cluster.wait_for_revision(1));
    let runs_before = bench.emulator.run_log.records().len();
    run_callers(&bench.addresses(), &records);
    assert_eq!(
        bench.emulator.run_log.records().len(),
        runs_before,
        "a key with a recorded outcome ran again"
    );
    assert_eq!(violations(&bench, &records), []);
}
