//! Data-path decisions of the routing crate.

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

fn pop_all(queue: &mut FairQueue) -> Vec<u64> {
    std::iter::from_fn(|| queue.pop(|_| true))
        .map(|stage| stage.request)
        .collect()
}

#[test]
fn within_a_tenant_the_stage_with_the_least_slack_goes_first() {
    let mut queue = FairQueue::new(QueueOrder::FairLeastSlack);
    for (request, latest_start) in [(1, 300), (2, 100), (3, 200)] {
        queue.push(stage(request, "a", 1, latest_start));
    }
    assert_eq!(pop_all(&mut queue), [2, 3, 1]);
}

#[test]
fn the_backlog_of_one_tenant_does_not_delay_another() {
    let mut queue = FairQueue::new(QueueOrder::FairLeastSlack);
    for request in 0..100 {
        queue.push(stage(request, "large", 1, request));
    }
    queue.push(stage(1_000, "small", 1, 5_000));
    let index = pop_all(&mut queue)
        .iter()
        .position(|request| *request == 1_000);
    assert!(index <= Some(1), "{index:?}");
    let mut first_come = FairQueue::new(QueueOrder::FirstCome);
    for request in 0..100 {
        first_come.push(stage(request, "large", 1, request));
    }
    first_come.push(stage(1_000, "small", 1, 5_000));
    assert_eq!(pop_all(&mut first_come).last(), Some(&1_000));
}

#[test]
fn tenants_are_served_in_proportion_to_their_weights() {
    let mut queue = FairQueue::new(QueueOrder::FairLeastSlack);
    for request in 0..60 {
        queue.push(stage(request, "heavy", 3, 0));
        queue.push(stage(100 + request, "light", 1, 0));
    }
    let first_popped: Vec<u64> = pop_all(&mut queue).into_iter().take(40).collect();
    let heavy_count = first_popped
        .iter()
        .filter(|request| **request < 100)
        .count();
    assert!((29..=31).contains(&heavy_count), "{heavy_count}");
}

#[test]
fn a_full_pool_does_not_block_other_pools() {
    let mut queue = FairQueue::new(QueueOrder::FairLeastSlack);
    queue.push(stage(1, "a", 1, 0));
    let stage_of_other_pool = QueuedStage {
        pool: PoolId(1),
        ..stage(2, "a", 1, 100)
    };
    queue.push(stage_of_other_pool);
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
fn a_request_is_rejected_when_the_most_loaded_pool_would_exceed_its_deadline() {
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
    // 790 ms of wait at a concurrency of four, plus the calls that run immediately.
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
fn a_tenant_with_excess_load_does_not_get_others_rejected() {
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
    // The other tenant is limited to its own share.
    let mut admitted = 0;
    while admission.decide(&small, 1, &[stage], 1_000.0) == AdmissionDecision::Admit {
        admission.add(&small, 1, stage);
        admitted += 1;
        assert!(admitted < 100);
    }
    assert!((6..=9).contains(&admitted), "{admitted}");
}

fn select_repeatedly(
    selector: &mut BackendSelector,
    loads: &[BackendLoad],
    now: u64,
) -> Vec<usize> {
    let names: Vec<BackendName> = (0..loads.len())
        .map(|index| BackendName(format!("b{index}")))
        .collect();
    let backends: Vec<EligibleBackend<'_>> = loads
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
        .filter_map(|_| selector.select(&backends, now))
        .collect()
}

#[test]
fn a_back_end_without_measurements_gets_calls() {
    let mut fast = BackendLoad::new();
    fast.record_success(5.0, 1_000);
    let mut selector = BackendSelector::new(PlacementPolicy::ExpectedFinish, 1);
    let selected = select_repeatedly(&mut selector, &[fast, BackendLoad::new()], 1_000);
    assert!(selected.contains(&1));
}

#[test]
fn estimated_load_adds_own_calls_and_ignores_old_reports() {
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
    let mut selector = BackendSelector::new(PlacementPolicy::ExpectedFinish, 1);
    let selected = select_repeatedly(&mut selector, &[busy, dispatched], 1_100);
    assert!(selected.iter().all(|index| *index == 1));
}

#[test]
fn consecutive_failures_eject_a_back_end_temporarily() {
    let mut load = BackendLoad::new();
    (0..2).for_each(|_| load.record_failure(1_000));
    assert!(!load.is_ejected(1_000));
    load.record_failure(1_000);
    assert!(load.is_ejected(1_000) && !load.is_ejected(10_000));
}

#[test]
fn shares_of_a_limit_add_up_to_the_limit() {
    for limit in [0, 1, 7, 10, 100] {
        for nodes in 1..12 {
            let sum: u32 = (0..nodes).map(|rank| node_share(limit, nodes, rank)).sum();
            assert_eq!(sum, limit);
        }
    }
}

#[test]
fn concurrency_limit_counts_admitted_and_released_requests() {
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
fn rate_limit_refills_and_returns_the_retry_delay() {
    let mut limiter = TenantLimiter::default();
    limiter.set_share(1, 0);
    let tenant = TenantName::from("a");
    let limits = TenantLimits {
        concurrent_requests: None,
        requests_per_second: Some(2),
    };
    assert_eq!(limiter.admit(&tenant, &limits, 0), Ok(()));
    assert_eq!(limiter.admit(&tenant, &limits, 0), Ok(()));
    let rejected = limiter.admit(&tenant, &limits, 0);
    assert_eq!(
        rejected,
        Err(LimitViolation::Rate {
            retry_after_ms: 500
        })
    );
    assert_eq!(limiter.admit(&tenant, &limits, 500), Ok(()));
}

#[test]
fn retries_are_limited_to_a_ratio_of_first_attempts() {
    let mut budget = RetryBudget::new(0.1);
    let burst = (0..100).filter(|_| budget.try_take_retry()).count();
    assert_eq!(burst, 10);
    for _ in 0..100 {
        budget.record_first_attempt();
    }
    let retries = (0..100).filter(|_| budget.try_take_retry()).count();
    assert!((9..=10).contains(&retries), "{retries}");
}

#[test]
fn each_slot_has_one_home_node_and_nodes_have_equal_numbers_of_slots() {
    let names: Vec<BackendName> = (0..7)
        .map(|index| BackendName(format!("e{index}")))
        .collect();
    for nodes in 1..13 {
        let table = SlotTable::new(names.iter().map(|name| (name, 5)));
        let home_slots = |name: &BackendName, rank| table.home_slots(name, 5, nodes, rank);
        for name in &names {
            let assigned: u32 = (0..nodes).map(|rank| home_slots(name, rank)).sum();
            assert_eq!(assigned, 5);
        }
        let slots_by_node: Vec<u32> = (0..nodes)
            .map(|rank| names.iter().map(|name| home_slots(name, rank)).sum())
            .collect();
        let (fewest, most) = (slots_by_node.iter().min(), slots_by_node.iter().max());
        assert!(
            most <= fewest.map(|fewest| fewest + 1).as_ref(),
            "{slots_by_node:?}"
        );
    }
}

#[test]
fn nodes_together_borrow_about_the_number_of_free_slots() {
    let name = BackendName::from("e");
    let total_borrowed = |now| -> u32 {
        (0..10)
            .map(|rank| borrowed_slots(4, 10, rank, &name, now))
            .sum()
    };
    let intervals = 1_000;
    let total: u32 = (0..intervals)
        .map(|interval| total_borrowed(interval * 100))
        .sum();
    let mean = f64::from(total) / f64::from(intervals as u32);
    assert!((3.7..=4.3).contains(&mean), "{mean}");
}
