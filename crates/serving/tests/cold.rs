//! What cold back ends get from all nodes together.

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

/// Requests a second that a cold back end bears, in these tests.
const BORNE: f64 = 10.0;
/// Requests in one second above which a cold back end falls over, in these tests.
const FALLS_OVER_ABOVE: usize = 20;

fn name(node: usize) -> String {
    format!("n{node}")
}

/// A node's table of one warm and some cold back ends; `view` are the nodes that it knows.
fn table(node: usize, view: Range<usize>, ids: &[(&str, bool)]) -> InstanceTable {
    let mut table = InstanceTable::new(DecisionLog::off());
    let listed = ids.iter().map(|(id, cold)| {
        let mut one = instance(id, "pool", "a");
        one.cold = *cold;
        one
    });
    table.replace(&listed.collect::<Vec<_>>());
    let requests_per_second = BORNE;
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
        topology: &NO_REGIONS,
        regions: &ANY_REGION,
        region_affinity: RegionAffinity::Popular,
        affinity: Some(7),
        shared_prompt: SharedPrefixCost::default(),
        inputs: &[],
        tried: &[],
        cold_use,
        lot: 0,
    }
}

/// The most arrivals in one second at `backend` when every node has a request each 10 ms, one
/// after the other, for 5 s.
fn most_in_a_second(
    tables: &mut [InstanceTable],
    backend: &str,
    cold_use: ColdBackendPolicy,
) -> usize {
    let mut arrivals = Vec::new();
    for now in (0..5_000).step_by(10) {
        for table in tables.iter_mut() {
            let Some(id) = select(table, &request(cold_use), now).map(|one| one.listed.id.clone())
            else {
                continue;
            };
            table.sent(&id, 1, now);
            table.ended(&id, 1);
            if id == backend {
                arrivals.push(now);
            }
        }
    }
    // Arrivals are in order: those of a second are neighbours.
    let in_second = |first: usize| {
        let end = arrivals[first] + 1_000;
        arrivals.partition_point(|at| *at < end) - first
    };
    (0..arrivals.len()).map(in_second).max().unwrap_or_default()
}

/// A cold back end alone, which all requests want. Without limits it gets all of them.
#[rstest]
#[case::small(9)]
#[case::grown(64)]
#[case::large(300)]
fn all_nodes_together_keep_to_what_a_cold_back_end_bears(#[case] nodes: usize) {
    let ids = [("cold", true)];
    let mut tables: Vec<_> = (0..nodes).map(|node| table(node, 0..nodes, &ids)).collect();
    let most = most_in_a_second(&mut tables, "cold", ColdBackendPolicy::Limited);
    assert!((4..=BORNE as usize).contains(&most), "{most} in a second");
    let unlimited = most_in_a_second(&mut tables, "cold", ColdBackendPolicy::Unlimited);
    assert_eq!(unlimited, 100 * nodes);
}

/// Each half of a cut knows its own nodes only, and each has its set of senders.
#[test]
fn two_halves_of_a_cut_do_not_make_it_fall_over() {
    let ids = [("cold", true)];
    let halves = (0..64).map(|node| match node < 32 {
        true => table(node, 0..32, &ids),
        false => table(node, 32..64, &ids),
    });
    let mut tables: Vec<_> = halves.collect();
    let most = most_in_a_second(&mut tables, "cold", ColdBackendPolicy::Limited);
    assert!(most <= FALLS_OVER_ABOVE, "{most} in a second");
}

#[test]
fn a_node_without_a_part_in_it_uses_a_warm_back_end_or_none() {
    let nodes = 64;
    let of = |ids: &[(&str, bool)]| -> Vec<InstanceTable> {
        (0..nodes).map(|node| table(node, 0..nodes, ids)).collect()
    };
    let chosen = |tables: &[InstanceTable]| -> Vec<Option<String>> {
        let choose = |table| select(table, &request(ColdBackendPolicy::Limited), 0);
        let all = tables.iter().map(choose);
        all.map(|one| one.map(|one| one.listed.id.clone()))
            .collect()
    };
    let alone = chosen(&of(&[("cold", true)]));
    assert_eq!(alone.iter().flatten().count(), (BORNE * 0.7) as usize);
    let beside = chosen(&of(&[("cold", true), ("warm", false)]));
    assert!(beside.iter().all(Option::is_some));
}

#[test]
fn as_a_last_resort_cold_back_ends_get_nothing_beside_warm_ones() {
    let ids = [("cold", true), ("warm", false)];
    let mut tables: Vec<_> = (0..9).map(|node| table(node, 0..9, &ids)).collect();
    let most = most_in_a_second(&mut tables, "cold", ColdBackendPolicy::LastResort);
    assert_eq!(most, 0);
    let mut alone: Vec<_> = (0..9).map(|node| table(node, 0..9, &ids[..1])).collect();
    assert!(most_in_a_second(&mut alone, "cold", ColdBackendPolicy::LastResort) > 0);
}

/// The list that says whether they are cold comes a while after the end of an evacuation.
#[test]
fn back_ends_of_a_zone_that_is_used_again_count_as_cold_for_a_while() {
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
    assert!(sends_at(100) <= BORNE as usize);
    assert_eq!(sends_at(3_000), 64);
}

/// Services whose configuration names no limit are used as before.
#[test]
fn a_cold_back_end_without_a_limit_is_used_like_any_other() {
    let mut table = table(0, 0..64, &[("cold", true)]);
    table.set_cold_specs(Default::default());
    for now in 0..20 {
        assert!(select(&table, &request(ColdBackendPolicy::Limited), now).is_some());
        table.sent("cold", 1, now);
    }
}
