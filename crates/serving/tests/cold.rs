//! Tests of the rate limit for cold back ends over all nodes.

mod common;

use common::{instance, ANY_REGION, NO_REGIONS};
use rstest::rstest;
use silversail_decisions::DecisionLog;
use silversail_model::traffic::ColdSpec;
use silversail_serving::cold::ColdBackendPolicy;
use silversail_serving::instances::InstanceTable;
use silversail_serving::regions::{RegionAffinity, SharedPrefixCost};
use silversail_serving::rollouts::VersionChoice;
use silversail_serving::selection::{select, SelectionRequest};
use std::ops::Range;

/// Rate limit of a cold back end in these tests, in requests per second.
const COLD_RATE: f64 = 10.0;
/// Requests in one second above which a cold back end fails in these tests.
const OVERLOAD_THRESHOLD: usize = 20;

fn name(node: usize) -> String {
    format!("n{node}")
}

/// Instance table of a node; `ids` states which back ends are cold, `view` the known nodes.
fn table(node: usize, view: Range<usize>, ids: &[(&str, bool)]) -> InstanceTable {
    let mut table = InstanceTable::new(DecisionLog::disabled());
    let listed = ids.iter().map(|(id, cold)| {
        let mut listed = instance(id, "pool", "a");
        listed.cold = *cold;
        listed
    });
    table.replace_list(&listed.collect::<Vec<_>>());
    let requests_per_second = COLD_RATE;
    let spec = ColdSpec {
        requests_per_second,
    };
    table.set_cold_specs([("pool".to_owned(), spec)].into());
    table.set_senders(&name(node), view.map(name).collect());
    table
}

fn request(cold_use: ColdBackendPolicy) -> SelectionRequest<'static> {
    SelectionRequest {
        service: "pool",
        versions: VersionChoice::Any,
        version: None,
        topology: &NO_REGIONS,
        regions: &ANY_REGION,
        region_affinity: RegionAffinity::Popular,
        affinity: Some(7),
        shared_prompt: SharedPrefixCost::default(),
        inputs: &[],
        tried: &[],
        cold_use,
        random_seed: 0,
    }
}

/// Maximum number of arrivals in any second at `backend` when every node receives a request each
/// 10 ms for 5 s.
fn max_arrivals_per_second(
    tables: &mut [InstanceTable],
    backend: &str,
    cold_use: ColdBackendPolicy,
) -> usize {
    let mut arrivals = Vec::new();
    for now in (0..5_000).step_by(10) {
        for table in tables.iter_mut() {
            let Some(id) =
                select(table, &request(cold_use), now).map(|instance| instance.listed.id.clone())
            else {
                continue;
            };
            table.record_sent(&id, 1, now);
            table.record_ended(&id, 1);
            if id == backend {
                arrivals.push(now);
            }
        }
    }
    // Arrivals are sorted, so those of one second are adjacent.
    let in_second = |first: usize| {
        let end = arrivals[first] + 1_000;
        arrivals.partition_point(|at| *at < end) - first
    };
    (0..arrivals.len()).map(in_second).max().unwrap_or_default()
}

/// With a single cold back end, all requests reach it unless they are limited.
#[rstest]
#[case::small(9)]
#[case::medium(64)]
#[case::large(300)]
fn all_nodes_together_stay_below_the_rate_of_a_cold_back_end(#[case] nodes: usize) {
    let ids = [("cold", true)];
    let mut tables: Vec<_> = (0..nodes).map(|node| table(node, 0..nodes, &ids)).collect();
    let most = max_arrivals_per_second(&mut tables, "cold", ColdBackendPolicy::Limited);
    assert!(
        (4..=COLD_RATE as usize).contains(&most),
        "{most} in a second"
    );
    let unlimited = max_arrivals_per_second(&mut tables, "cold", ColdBackendPolicy::Unlimited);
    assert_eq!(unlimited, 100 * nodes);
}

/// Each side of a partition knows only its own nodes and has its own set of senders.
#[test]
fn a_partition_does_not_overload_a_cold_back_end() {
    let ids = [("cold", true)];
    let halves = (0..64).map(|node| match node < 32 {
        true => table(node, 0..32, &ids),
        false => table(node, 32..64, &ids),
    });
    let mut tables: Vec<_> = halves.collect();
    let most = max_arrivals_per_second(&mut tables, "cold", ColdBackendPolicy::Limited);
    assert!(most <= OVERLOAD_THRESHOLD, "{most} in a second");
}

#[test]
fn a_node_outside_the_set_of_senders_uses_a_warm_back_end_or_none() {
    let nodes = 64;
    let tables_with = |ids: &[(&str, bool)]| -> Vec<InstanceTable> {
        (0..nodes).map(|node| table(node, 0..nodes, ids)).collect()
    };
    let chosen = |tables: &[InstanceTable]| -> Vec<Option<String>> {
        let choose = |table| select(table, &request(ColdBackendPolicy::Limited), 0);
        let all = tables.iter().map(choose);
        all.map(|chosen| chosen.map(|instance| instance.listed.id.clone()))
            .collect()
    };
    let alone = chosen(&tables_with(&[("cold", true)]));
    assert_eq!(alone.iter().flatten().count(), (COLD_RATE * 0.7) as usize);
    let beside = chosen(&tables_with(&[("cold", true), ("warm", false)]));
    assert!(beside.iter().all(Option::is_some));
}

#[test]
fn under_the_last_resort_policy_cold_back_ends_get_no_requests_beside_warm_ones() {
    let ids = [("cold", true), ("warm", false)];
    let mut tables: Vec<_> = (0..9).map(|node| table(node, 0..9, &ids)).collect();
    let most = max_arrivals_per_second(&mut tables, "cold", ColdBackendPolicy::LastResort);
    assert_eq!(most, 0);
    let mut alone: Vec<_> = (0..9).map(|node| table(node, 0..9, &ids[..1])).collect();
    assert!(max_arrivals_per_second(&mut alone, "cold", ColdBackendPolicy::LastResort) > 0);
}

/// The list reports them as cold only some time after the end of an evacuation.
#[test]
fn back_ends_count_as_cold_for_a_time_after_the_evacuation_of_their_zone() {
    let ids = [("e1", false)];
    let mut tables: Vec<_> = (0..64).map(|node| table(node, 0..64, &ids)).collect();
    for table in &mut tables {
        table.set_evacuated(["a".to_owned()].into(), 0);
        table.set_evacuated(Default::default(), 0);
    }
    let sends_at = |now| {
        let wanted = request(ColdBackendPolicy::Limited);
        let chosen = tables
            .iter()
            .filter_map(|table| select(table, &wanted, now));
        chosen.count()
    };
    assert!(sends_at(100) <= COLD_RATE as usize);
    assert_eq!(sends_at(3_000), 64);
}

#[test]
fn a_cold_back_end_of_a_service_without_a_cold_limit_is_used_like_a_warm_one() {
    let mut table = table(0, 0..64, &[("cold", true)]);
    table.set_cold_specs(Default::default());
    for now in 0..20 {
        assert!(select(&table, &request(ColdBackendPolicy::Limited), now).is_some());
        table.record_sent("cold", 1, now);
    }
}
