//! Tests of the choice between regions by cost in milliseconds.

mod common;

use common::{instance, only, ANY_REGION, NO_REGIONS, TWO_REGIONS};
use rstest::rstest;
use silversail_decisions::DecisionLog;
use silversail_model::topology::RegionFilter;
use silversail_model::Topology;
use silversail_serving::cold::ColdBackendPolicy;
use silversail_serving::instances::InstanceTable;
use silversail_serving::popularity::PromptPopularity;
use silversail_serving::ports::{PrefixPart, RelativeProcessingTime, ReportedLoad};
use silversail_serving::regions::{RegionAffinity, SharedPrefixCost, ZoneInputs};
use silversail_serving::rollouts::VersionChoice;
use silversail_serving::selection::{select, SelectionRequest};
use std::collections::BTreeSet;

const ZONES: [&str; 4] = ["a", "b", "c", "d"];
const SOUTH: [&str; 2] = ["c", "d"];
/// Sessions that each test evaluates.
const SESSIONS: std::ops::Range<u64> = 0..200;

/// Three engines in each zone, named after the zone.
fn table() -> InstanceTable {
    let mut table = InstanceTable::new(DecisionLog::disabled());
    let listed = ZONES.iter().flat_map(|zone| {
        (0..3).map(move |number| instance(&format!("{zone}{number}"), "pool", zone))
    });
    table.replace_list(&listed.collect::<Vec<_>>());
    table
}

/// Sets the utilization of all engines of some zones.
fn set_utilization(table: &mut InstanceTable, zones: &[&str], utilization: f64) {
    for zone in zones {
        for number in 0..3 {
            let id = format!("{zone}{number}");
            let slots = table.get(&id).expect("listed").listed.slots;
            let report = ReportedLoad {
                running: (f64::from(slots) * utilization) as u32,
                waiting: 0,
                slots,
                processing_time: RelativeProcessingTime::NORMAL,
            };
            table.record_load(&id, report, 0);
        }
    }
}

fn request(region_affinity: RegionAffinity) -> SelectionRequest<'static> {
    SelectionRequest {
        versions: VersionChoice::Any,
        version: None,
        service: "pool",
        topology: &TWO_REGIONS,
        regions: &ANY_REGION,
        region_affinity,
        affinity: None,
        shared_prompt: SharedPrefixCost::default(),
        inputs: &[],
        tried: &[],
        cold_use: ColdBackendPolicy::Limited,
        random_seed: 0,
    }
}

fn with_prompt(
    region_affinity: RegionAffinity,
    session: u64,
    rare_prefill_ms: f64,
) -> SelectionRequest<'static> {
    SelectionRequest {
        versions: VersionChoice::Any,
        affinity: Some(session),
        shared_prompt: SharedPrefixCost {
            prefill_ms: 127.0,
            rare_prefill_ms,
        },
        ..request(region_affinity)
    }
}

fn zone_of(table: &InstanceTable, request: &SelectionRequest<'_>) -> String {
    let chosen = select(table, request, 0).expect("an engine");
    chosen.listed.zone.clone()
}

fn zones_of_sessions(
    table: &InstanceTable,
    region_affinity: RegionAffinity,
    rare_prefill_ms: f64,
) -> BTreeSet<String> {
    let zone = |session| {
        zone_of(
            table,
            &with_prompt(region_affinity, session, rare_prefill_ms),
        )
    };
    SESSIONS.map(zone).collect()
}

fn zones(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

#[rstest]
#[case::regions_ignored(RegionAffinity::Off, 76.0, &["a", "b", "c", "d"])]
#[case::local_region_always(RegionAffinity::Always, 76.0, &["a", "b"])]
#[case::rare_and_long(RegionAffinity::Popular, 76.0, &["a", "b", "c", "d"])]
#[case::rare_and_short(RegionAffinity::Popular, 11.0, &["a", "b"])]
#[case::popular(RegionAffinity::Popular, 0.0, &["a", "b"])]
fn a_shared_prompt_is_prefilled_in_the_region_with_the_lowest_cost(
    #[case] region_affinity: RegionAffinity,
    #[case] rare_prefill_ms: f64,
    #[case] expected: &[&str],
) {
    let chosen = zones_of_sessions(&table(), region_affinity, rare_prefill_ms);
    assert_eq!(chosen, zones(expected));
}

/// A rare prefix has the same home engine for the nodes of all regions.
#[test]
fn nodes_of_all_regions_send_a_rare_prompt_to_the_same_engine() {
    let table = table();
    let regions = TWO_REGIONS.region_by_zone().clone();
    let south = Topology::new("d", regions, Default::default()).expect("valid");
    for session in SESSIONS {
        let from_north = with_prompt(RegionAffinity::Popular, session, 76.0);
        let from_south = SelectionRequest {
            topology: &south,
            ..from_north.clone()
        };
        let chosen =
            |request| select(&table, request, 0).map(|instance| instance.listed.id.clone());
        assert_eq!(chosen(&from_north), chosen(&from_south));
    }
}

/// Compares every choice at many loads.
#[rstest]
#[case(RegionAffinity::Always)]
#[case(RegionAffinity::Popular)]
fn the_choices_with_one_region_equal_those_without_regions(
    #[case] region_affinity: RegionAffinity,
) {
    let all_north = ZONES.map(|zone| (zone.to_owned(), "north".to_owned()));
    let one_region = Topology::new("a", all_north.into(), Default::default()).expect("valid");
    for session in SESSIONS {
        let mut table = table();
        let busy = ZONES[session as usize % 4];
        set_utilization(&mut table, &[busy], (session % 13) as f64 / 10.0);
        for affinity in [None, Some(session)] {
            let in_one = SelectionRequest {
                topology: &one_region,
                affinity,
                ..with_prompt(region_affinity, session, 76.0)
            };
            let without = SelectionRequest {
                topology: &NO_REGIONS,
                region_affinity: RegionAffinity::Off,
                ..in_one.clone()
            };
            let chosen =
                |request| select(&table, request, 0).map(|instance| instance.listed.id.clone());
            assert_eq!(chosen(&in_one), chosen(&without));
        }
    }
}

/// A round trip of 40 ms costs as much as a utilization of 0.06 above the queue-free level.
#[rstest]
#[case::idle(0.5, 0.0, &["a", "b"])]
#[case::gain_below_network_cost(0.65, 0.0, &["a", "b"])]
#[case::burst_in_local_region(0.8, 0.0, &["c", "d"])]
#[case::equally_busy(0.9, 0.9, &["a", "b"])]
fn a_busy_region_sends_requests_to_others_once_the_gain_exceeds_the_network_cost(
    #[case] own: f64,
    #[case] elsewhere: f64,
    #[case] expected: &[&str],
) {
    let mut table = table();
    set_utilization(&mut table, &["a", "b"], own);
    set_utilization(&mut table, &SOUTH, elsewhere);
    let chosen = zones_of_sessions(&table, RegionAffinity::Popular, 0.0);
    assert!(chosen.is_subset(&zones(expected)), "{chosen:?}");
}

/// The order is local zone, local region, other regions.
#[test]
fn requests_without_affinity_and_their_retries_go_to_the_nearest_back_end() {
    let table = table();
    let mut tried: Vec<String> = Vec::new();
    let mut order = Vec::new();
    for _ in 0..12 {
        let request = SelectionRequest {
            tried: &tried,
            ..request(RegionAffinity::Popular)
        };
        let chosen = select(&table, &request, 0).expect("one");
        order.push(chosen.listed.zone.clone());
        let id = chosen.listed.id.clone();
        tried.push(id);
    }
    assert_eq!(order[..3], ["a", "a", "a"]);
    assert_eq!(order[3..6], ["b", "b", "b"]);
    assert_eq!(zones(&SOUTH), order[6..].iter().cloned().collect());
}

#[test]
fn requests_leave_a_region_whose_engines_fail() {
    let mut table = table();
    for id in ["a0", "a1", "a2", "b0", "b1", "b2"] {
        table.record_failure(id, 0, "unreachable");
    }
    let chosen = select(&table, &request(RegionAffinity::Popular), 1).expect("one");
    assert!(SOUTH.contains(&chosen.listed.zone.as_str()));
}

#[test]
fn an_engine_is_chosen_in_the_region_of_the_inputs() {
    let table = table();
    let inputs = [ZoneInputs {
        zone: "d".into(),
        bytes: 3_000_000,
    }];
    let request = SelectionRequest {
        inputs: &inputs,
        ..request(RegionAffinity::Popular)
    };
    assert!(SOUTH.contains(&zone_of(&table, &request).as_str()));
}

#[rstest]
#[case(RegionAffinity::Off)]
#[case(RegionAffinity::Always)]
#[case(RegionAffinity::Popular)]
fn only_allowed_regions_get_a_request_even_as_a_last_resort(
    #[case] region_affinity: RegionAffinity,
) {
    let south_only = only(&["south"]);
    let mut table = table();
    for session in SESSIONS {
        let request = SelectionRequest {
            regions: &south_only,
            ..with_prompt(region_affinity, session, 0.0)
        };
        assert!(SOUTH.contains(&zone_of(&table, &request).as_str()));
    }
    let ids = ["c0", "c1", "c2", "d0", "d1", "d2"].map(str::to_owned);
    for id in &ids {
        table.record_failure(id, 0, "unreachable");
    }
    let chosen = |regions: &RegionFilter, tried: &[String]| {
        let request = SelectionRequest {
            regions,
            tried,
            ..request(region_affinity)
        };
        select(&table, &request, 1).map(|instance| instance.listed.zone.clone())
    };
    let last = chosen(&south_only, &[]).expect("a last resort");
    assert!(SOUTH.contains(&last.as_str()));
    assert_eq!(chosen(&south_only, &ids), None);
    assert_eq!(chosen(&only(&["east"]), &[]), None);
}

fn parts(ids: &[u64]) -> Vec<PrefixPart> {
    let part = |id: &u64| PrefixPart {
        id: *id,
        tokens: 1_000,
    };
    ids.iter().map(part).collect()
}

/// The common part of two prompts becomes popular with the second one; its rare part does not.
#[test]
fn parts_seen_recently_are_popular() {
    let mut popularity = PromptPopularity::default();
    let mut record = |ids: &[u64], now| {
        let shared = popularity.record(&parts(ids), 50.0, now);
        (shared.prefill_ms, shared.rare_prefill_ms)
    };
    assert_eq!(record(&[1, 7, 100], 0), (40.0, 40.0));
    assert_eq!(record(&[1, 8, 101], 1_000), (40.0, 20.0));
    assert_eq!(record(&[1, 8, 102], 2_000), (40.0, 0.0));
    assert_eq!(record(&[1, 8, 103], 12_000), (40.0, 0.0));
    assert_eq!(record(&[1, 8, 104], 22_001), (40.0, 40.0));
    // The same part after a different prefix counts separately.
    assert_eq!(record(&[2, 8, 105], 22_002), (40.0, 40.0));
    assert_eq!(record(&[], 22_002), (0.0, 0.0));
}

#[test]
fn the_number_of_tracked_prefixes_is_bounded() {
    let mut popularity = PromptPopularity::default();
    for request in 0..20_000 {
        popularity.record(&parts(&[request, request]), 50.0, request / 10);
    }
    assert!(
        popularity.tracked_prefixes() <= 4_096,
        "{}",
        popularity.tracked_prefixes()
    );
}
