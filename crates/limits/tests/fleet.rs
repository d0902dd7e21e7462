//! Simulates many nodes before a back end with a limit: together they stay below its capacity and
//! still use the limit.

mod common;

use common::{most_in_a_window, Plan, Run, WINDOW};
use rstest::rstest;

/// Maximum number of arrivals in a window: one and a half times the limit, plus five requests.
fn max_arrivals(limit: f64) -> usize {
    (limit * WINDOW as f64 / 1_000.0 * 1.5 + 5.0) as usize
}

/// Offered load per second: three times the limit, and at least 30.
fn offered_per_second(limit: f64) -> f64 {
    (limit * 3.0).max(30.0)
}

/// Maximum number of protocol messages per offered request: permit request, answer, grant, and the
/// repetitions and cancellations while it waits.
const MAX_MESSAGES_PER_REQUEST: f64 = 10.0;

const ADVERTISED_AT: u64 = 2_000;
const SETTLED_AT: u64 = 8_000;

fn constant_load(nodes: usize, limit: f64, length: u64) -> Plan {
    Plan {
        nodes,
        limits: vec![(ADVERTISED_AT, Some(limit))],
        offered_per_second: offered_per_second(limit),
        entry_nodes: nodes,
        length,
        injects_faults: false,
    }
}

#[rstest]
#[case::slower_than_one(0.3, 60_000)]
#[case::one(1.0, 40_000)]
#[case::a_few(7.5, 20_000)]
#[case::many(100.0, 14_000)]
#[case::very_many(1_000.0, 11_000)]
fn a_limit_is_neither_exceeded_nor_underused(
    #[values(9, 64, 985)] nodes: usize,
    #[values(false, true)] uses_few_nodes: bool,
    #[case] limit: f64,
    #[case] length: u64,
) {
    let mut plan = constant_load(nodes, limit, length);
    if uses_few_nodes {
        plan.entry_nodes = 2;
    }
    let run = Run::simulate(plan, 1);
    let most = most_in_a_window(&run.arrivals);
    assert!(
        most <= max_arrivals(limit),
        "{most} of {}",
        max_arrivals(limit)
    );
    let late = run
        .arrivals
        .iter()
        .filter(|arrival| arrival.at >= SETTLED_AT);
    let capacity = limit * (length - SETTLED_AT) as f64 / 1_000.0;
    let share = late.count() as f64 / capacity;
    let offered = offered_per_second(limit) * length as f64 / 1_000.0;
    let messages = run.messages as f64 / offered;
    println!("{nodes} nodes, {limit} a second: most {most}, used {share:.2}, {messages:.1} messages a request asked");
    // Each node that does not know the limit yet sends one request without a permit.
    let without_permit = 2.0 * offered_per_second(limit) / capacity;
    assert!(share <= 1.1 + without_permit, "{share:.2} of the limit");
    assert!(
        messages <= MAX_MESSAGES_PER_REQUEST,
        "{messages:.1} messages a request"
    );
    assert!(share >= 0.6, "{share:.2} of the limit is used");
}

/// Injects planned stops, restarts and pauses of nodes, diverging views, lost messages and reordered
/// answers.
#[rstest]
fn a_limit_is_not_exceeded_under_faults(#[values(0.3, 1.0, 7.5, 100.0)] limit: f64) {
    const SEEDS: u64 = 250;
    let length = 20_000;
    let mut shares = Vec::new();
    let mut exceeded = Vec::new();
    for seed in 0..SEEDS {
        let mut plan = constant_load(9, limit, length);
        plan.injects_faults = true;
        let run = Run::simulate(plan, seed);
        let most = most_in_a_window(&run.arrivals);
        if most > max_arrivals(limit) {
            exceeded.push((seed, most));
        }
        let late = run
            .arrivals
            .iter()
            .filter(|arrival| arrival.at >= SETTLED_AT);
        let capacity = limit * (length - SETTLED_AT) as f64 / 1_000.0;
        shares.push(late.count() as f64 / capacity);
    }
    shares.sort_by(f64::total_cmp);
    println!(
        "limit {limit}: share used, median {:.2}, worst {:.2}",
        shares[shares.len() / 2],
        shares[0]
    );
    assert!(
        exceeded.is_empty(),
        "{} of {SEEDS}: {exceeded:?}",
        exceeded.len()
    );
}

/// When a limit is lifted or raised, the waiting requests are released gradually, and the back end
/// soon receives the whole offered load.
#[rstest]
#[case::lifted(None, 30.0)]
#[case::raised(Some(10.0), 10.0)]
fn a_lifted_or_raised_limit_releases_waiting_requests_gradually(
    #[values(9, 64)] nodes: usize,
    #[case] changed_limit: Option<f64>,
    #[case] expected_per_second: f64,
) {
    const CHANGED_AT: u64 = 14_000;
    const SPAN: u64 = 250;
    /// Maximum number of waiting requests: the load of the four seconds that callers wait. In any
    /// span at most a quarter of them may be released, in addition to new requests.
    const MAX_WAITING: f64 = 120.0;
    const SETTLED_AFTER: u64 = 7_000;
    const LENGTH: u64 = 30_000;
    for seed in 0..20 {
        let mut plan = constant_load(nodes, 1.0, LENGTH);
        plan.limits.push((CHANGED_AT, changed_limit));
        let run = Run::simulate(plan, seed);
        let times = run.arrivals.iter().map(|arrival| arrival.at);
        let times: Vec<u64> = times.filter(|at| *at >= CHANGED_AT).collect();
        let in_span = |from: u64| {
            let inside = times.iter().filter(|at| (from..from + SPAN).contains(*at));
            inside.count()
        };
        let offered = 30.0 * SPAN as f64 / 1_000.0;
        let max_in_span = MAX_WAITING / 4.0 + offered;
        let most = times.iter().map(|from| in_span(*from)).max();
        assert!(
            most.unwrap_or(0) as f64 <= max_in_span,
            "{most:?} in {SPAN} ms, seed {seed}"
        );
        let settled = CHANGED_AT + SETTLED_AFTER;
        let late = times.iter().filter(|at| **at >= settled).count();
        let share = late as f64 * 1_000.0 / (LENGTH - settled) as f64 / expected_per_second;
        assert!(share >= 0.8, "{share:.2} of the offered load, seed {seed}");
    }
}
