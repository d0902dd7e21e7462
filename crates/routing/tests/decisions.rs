//! The data path's decisions.

use silversail_model::{BackendName, TenantLimits, TenantName};
use silversail_routing::placement::BackendLoad;
use silversail_routing::{
    borrowed_slots, node_share, AdmissionController, AdmissionDecision, BackendSelector,
    EligibleBackend, FairQueue, LimitViolation, PlacementPolicy, PoolId, QueueOrder, QueuedStage,
    RetryBudget, SlotTable, StageEstimate, TenantLimiter,
};

const POOL: PoolId = PoolId(0);

fn stage(request: u64, tenant: &str, weight: u32, latest_start: u64) -> QueuedStage {
    QueuedStage {
        request,
        tenant: tenant.into(),
        weight,
        pool: POOL,
        latest_start,
        expected_ms: 10.0,
    }
}

fn order(queue: &mut FairQueue) -> Vec<u64> {
    std::iter::from_fn(|| queue.pop(|_| true))
        .map(|stage| stage.request)
        .collect()
}

#[test]
fn inside_a_tenant_the_least_slack_goes_first() {
    let mut queue = FairQueue::new(QueueOrder::FairLeastSlack);
    for (request, latest_start) in [(1, 300), (2, 100), (3, 200)] {
        queue.push(stage(request, "a", 1, latest_start));
    }
    assert_eq!(order(&mut queue), [2, 3, 1]);
}

#[test]
fn a_large_tenants_backlog_does_not_move_a_small_ones_wait() {
    let mut queue = FairQueue::new(QueueOrder::FairLeastSlack);
    for request in 0..100 {
        queue.push(stage(request, "large", 1, request));
    }
    queue.push(stage(1_000, "small", 1, 5_000));
    let position = order(&mut queue)
        .iter()
        .position(|request| *request == 1_000);
    assert!(position <= Some(1), "{position:?}");
    let mut first_come = FairQueue::new(QueueOrder::FirstCome);
    for request in 0..100 {
        first_come.push(stage(request, "large", 1, request));
    }
    first_come.push(stage(1_000, "small", 1, 5_000));
    assert_eq!(order(&mut first_come).last(), Some(&1_000));
}

#[test]
fn weights_share_the_service() {
    let mut queue = FairQueue::new(QueueOrder::FairLeastSlack);
    for request in 0..60 {
        queue.push(stage(request, "heavy", 3, 0));
        queue.push(stage(100 + request, "light", 1, 0));
    }
    let first: Vec<u64> = order(&mut queue).into_iter().take(40).collect();
    let heavy = first.iter().filter(|request| **request < 100).count();
    assert!((29..=31).contains(&heavy), "{heavy}");
}

#[test]
fn a_full_pool_does_not_hold_back_the_others() {
    let mut queue = FairQueue::new(QueueOrder::FairLeastSlack);
    queue.push(stage(1, "a", 1, 0));
    let other = QueuedStage {
        pool: PoolId(1),
        ..stage(2, "a", 1, 100)
    };
    queue.push(other);
    assert_eq!(
        queue
            .pop(|pool| pool == PoolId(1))
            .map(|stage| stage.request),
        Some(2)
    );
    assert_eq!(queue.pop(|pool| pool == PoolId(1)), None);
    assert_eq!(queue.len(), 1);
}

#[test]
fn a_request_is_refused_when_the_fullest_pool_would_make_it_late() {
    let mut admission = AdmissionController::default();
    admission.set_capacity(POOL, 4);
    admission.set_capacity(PoolId(1), 100);
    let stages = [
        StageEstimate {
            pool: PoolId(1),
            service_ms: 10.0,
        },
        StageEstimate {
            pool: POOL,
            service_ms: 200.0,
        },
    ];
    let tenant = TenantName::from("a");
    let mut admitted = 0;
    while admission.decide(&tenant, 1, &stages, 1_000.0) == AdmissionDecision::Admit {
        stages
            .iter()
            .for_each(|stage| admission.add(&tenant, 1, *stage));
        admitted += 1;
        assert!(admitted < 100);
    }
    // 790 ms of waiting at four side by side, and what runs at once.
    assert!((16..=20).contains(&admitted), "{admitted}");
    assert!(matches!(
        admission.decide(&tenant, 1, &stages, 1_000.0),
        AdmissionDecision::Reject { retry_after_ms } if retry_after_ms <= 100
    ));
    stages
        .iter()
        .for_each(|stage| admission.remove(&tenant, *stage));
    let decision = admission.decide(&tenant, 1, &stages, 1_000.0);
    assert_eq!(decision, AdmissionDecision::Admit);
    admission.set_capacity(POOL, 0);
    let decision = admission.decide(&tenant, 1, &stages, 1_000.0);
    assert_eq!(decision, AdmissionDecision::NoCapacity);
}

#[test]
fn a_flooding_tenant_does_not_get_others_refused() {
    let mut admission = AdmissionController::default();
    admission.set_capacity(POOL, 4);
    let stage = StageEstimate {
        pool: POOL,
        service_ms: 200.0,
    };
    let (large, small) = (TenantName::from("large"), TenantName::from("small"));
    while admission.decide(&large, 1, &[stage], 1_000.0) == AdmissionDecision::Admit {
        admission.add(&large, 1, stage);
    }
    assert_eq!(
        admission.decide(&small, 1, &[stage], 1_000.0),
        AdmissionDecision::Admit
    );
    // Its own share is limited all the same.
    let mut admitted = 0;
    while admission.decide(&small, 1, &[stage], 1_000.0) == AdmissionDecision::Admit {
        admission.add(&small, 1, stage);
        admitted += 1;
        assert!(admitted < 100);
    }
    assert!((6..=9).contains(&admitted), "{admitted}");
}

fn choose(placer: &mut BackendSelector, loads: &[BackendLoad], now: u64) -> Vec<usize> {
    let names: Vec<BackendName> = (0..loads.len())
        .map(|at| BackendName(format!("b{at}")))
        .collect();
    let candidates: Vec<EligibleBackend<'_>> = loads
        .iter()
        .zip(&names)
        .map(|(load, name)| EligibleBackend {
            name,
            slots: 4,
            has_cached_prefix: false,
            load,
        })
        .collect();
    (0..50)
        .filter_map(|_| placer.select(&candidates, now))
        .collect()
}

#[test]
fn a_back_end_that_was_never_measured_gets_calls() {
    let mut fast = BackendLoad::new();
    fast.record_success(5.0, 1_000);
    let mut placer = BackendSelector::new(PlacementPolicy::ExpectedFinish, 1);
    let chosen = choose(&mut placer, &[fast, BackendLoad::new()], 1_000);
    assert!(chosen.contains(&1));
}

#[test]
fn own_calls_since_a_report_count_and_old_reports_do_not() {
    let mut busy = BackendLoad::new();
    busy.record_report(4, 1_000);
    let mut dispatched = BackendLoad::new();
    dispatched.record_report(0, 1_000);
    dispatched.in_flight = 2;
    assert_eq!(
        (busy.estimated_load(1_100), dispatched.estimated_load(1_100)),
        (4, 2)
    );
    assert_eq!(busy.estimated_load(60_000), 0);
    let mut placer = BackendSelector::new(PlacementPolicy::ExpectedFinish, 1);
    let chosen = choose(&mut placer, &[busy, dispatched], 1_100);
    assert!(chosen.iter().all(|position| *position == 1));
}

#[test]
fn failures_in_a_row_leave_a_back_end_out_for_a_while() {
    let mut load = BackendLoad::new();
    (0..2).for_each(|_| load.record_failure(1_000));
    assert!(!load.is_ejected(1_000));
    load.record_failure(1_000);
    assert!(load.is_ejected(1_000) && !load.is_ejected(10_000));
}

#[test]
fn shares_of_a_limit_add_up_to_it() {
    for limit in [0, 1, 7, 10, 100] {
        for nodes in 1..12 {
            let sum: u32 = (0..nodes).map(|rank| node_share(limit, nodes, rank)).sum();
            assert_eq!(sum, limit);
        }
    }
}

#[test]
fn limits_count_requests_in_and_out() {
    let mut limiter = TenantLimiter::default();
    limiter.set_share(2, 0);
    let tenant = TenantName::from("a");
    let limits = TenantLimits {
        concurrent_requests: Some(4),
        requests_per_second: None,
    };
    assert_eq!(limiter.admit(&tenant, &limits, 0), Ok(()));
    assert_eq!(limiter.admit(&tenant, &limits, 0), Ok(()));
    assert_eq!(
        limiter.admit(&tenant, &limits, 0),
        Err(LimitViolation::Concurrency)
    );
    limiter.release(&tenant);
    assert_eq!(limiter.admit(&tenant, &limits, 0), Ok(()));
}

#[test]
fn a_rate_refills_and_says_when_to_come_back() {
    let mut limiter = TenantLimiter::default();
    limiter.set_share(1, 0);
    let tenant = TenantName::from("a");
    let limits = TenantLimits {
        concurrent_requests: None,
        requests_per_second: Some(2),
    };
    assert_eq!(limiter.admit(&tenant, &limits, 0), Ok(()));
    assert_eq!(limiter.admit(&tenant, &limits, 0), Ok(()));
    let refused = limiter.admit(&tenant, &limits, 0);
    assert_eq!(
        refused,
        Err(LimitViolation::Rate {
            retry_after_ms: 500
        })
    );
    assert_eq!(limiter.admit(&tenant, &limits, 500), Ok(()));
}

#[test]
fn retries_are_a_share_of_first_attempts() {
    let mut budget = RetryBudget::new(0.1);
    let burst = (0..100).filter(|_| budget.try_take_retry()).count();
    assert_eq!(burst, 10);
    for _ in 0..100 {
        budget.record_first_attempt();
    }
    let later = (0..100).filter(|_| budget.try_take_retry()).count();
    assert!((9..=10).contains(&later), "{later}");
}

#[test]
fn every_slot_has_one_home_and_nodes_have_equal_parts() {
    let names: Vec<BackendName> = (0..7).map(|at| BackendName(format!("e{at}"))).collect();
    for nodes in 1..13 {
        let table = SlotTable::new(names.iter().map(|name| (name, 5)));
        let of = |name: &BackendName, rank| table.home_slots(name, 5, nodes, rank);
        for name in &names {
            let dealt: u32 = (0..nodes).map(|rank| of(name, rank)).sum();
            assert_eq!(dealt, 5);
        }
        let parts: Vec<u32> = (0..nodes)
            .map(|rank| names.iter().map(|name| of(name, rank)).sum())
            .collect();
        let (least, most) = (parts.iter().min(), parts.iter().max());
        assert!(most <= least.map(|least| least + 1).as_ref(), "{parts:?}");
    }
}

#[test]
fn the_nodes_together_borrow_about_what_is_free() {
    let name = BackendName::from("e");
    let borrowed = |now| -> u32 {
        (0..10)
            .map(|rank| borrowed_slots(4, 10, rank, &name, now))
            .sum()
    };
    let times = 1_000;
    let total: u32 = (0..times).map(|step| borrowed(step * 100)).sum();
    let mean = f64::from(total) / f64::from(times as u32);
    assert!((3.7..=4.3).contains(&mean), "{mean}");
}
