//! Tests of back-end selection.

mod common;

use common::{instance, instances, ANY_REGION, NO_REGIONS};
use silversail_decisions::DecisionLog;
use silversail_serving::cold::ColdBackendPolicy;
use silversail_serving::instances::InstanceTable;
use silversail_serving::ports::{PrefixPart, RelativeProcessingTime, ReportedLoad};
use silversail_serving::regions::{RegionAffinity, SharedPrefixCost};
use silversail_serving::rollouts::VersionChoice;
use silversail_serving::selection::{affinity_key, select, SelectionRequest};
use std::collections::BTreeSet;

fn table() -> InstanceTable {
    let mut table = InstanceTable::new(DecisionLog::disabled());
    table.replace_list(&instances());
    table
}

fn request(affinity: Option<u64>) -> SelectionRequest<'static> {
    SelectionRequest {
        service: "pool",
        versions: VersionChoice::Any,
        version: None,
        topology: &NO_REGIONS,
        regions: &ANY_REGION,
        region_affinity: RegionAffinity::Popular,
        affinity,
        shared_prompt: SharedPrefixCost::default(),
        inputs: &[],
        tried: &[],
        cold_use: ColdBackendPolicy::Limited,
        random_seed: 0,
    }
}

fn part(id: u64) -> PrefixPart {
    PrefixPart { id, tokens: 100 }
}

#[test]
fn requests_of_a_session_go_to_the_same_engine_from_every_node() {
    let (first_table, second_table) = (table(), table());
    let mut chosen = BTreeSet::new();
    for session in 0..40 {
        let first = affinity_key(&[part(1), part(session), part(1_000)]);
        let second = affinity_key(&[part(1), part(session), part(2_000)]);
        assert_eq!(first, second);
        let engine = select(&first_table, &request(first), 0).expect("an engine");
        let same = select(&second_table, &request(second), 0).expect("an engine");
        assert_eq!(engine.listed.id, same.listed.id);
        chosen.insert(engine.listed.id.clone());
    }
    assert_eq!(chosen.len(), 3);
}

#[test]
fn a_busy_engine_loses_its_sessions_until_its_load_report_expires() {
    let mut table = table();
    let key = affinity_key(&[part(1), part(5)]);
    let preferred = select(&table, &request(key), 0)
        .expect("one")
        .listed
        .id
        .clone();
    let busy = ReportedLoad {
        running: 64,
        waiting: 20,
        slots: 64,
        processing_time: RelativeProcessingTime::NORMAL,
    };
    table.record_load(&preferred, busy, 100);
    assert_ne!(
        select(&table, &request(key), 200).expect("one").listed.id,
        preferred
    );
    // The report has expired.
    assert_eq!(
        select(&table, &request(key), 9_000).expect("one").listed.id,
        preferred
    );
}

#[test]
fn failed_back_ends_are_excluded_with_growing_backoff_unless_all_fail() {
    let mut table = table();
    for id in ["e1", "e2"] {
        table.record_failure(id, 0, "test");
    }
    assert_eq!(
        select(&table, &request(None), 1).expect("one").listed.id,
        "e3"
    );
    table.record_failure("e3", 1, "test");
    assert!(select(&table, &request(None), 2).is_some());
    table.record_failure("e1", 600, "test");
    assert!(table
        .get("e1")
        .is_some_and(|instance| instance.is_suspect(1_500)));
    table.record_answer("e1");
    assert!(table
        .get("e1")
        .is_some_and(|instance| !instance.is_suspect(1_500)));
}

#[test]
fn a_restart_at_the_same_address_is_a_new_back_end() {
    let mut table = table();
    table.record_sent("e1", 10, 0);
    let mut listed = instances();
    listed[0] = instance("e1-again", "gate", "a");
    listed[0].address = "e1:80".into();
    assert!(table.replace_list(&listed));
    assert!(table.get("e1").is_none());
    assert_eq!(
        table.at_address("e1:80").map(|instance| instance.in_flight),
        Some(0)
    );
    // The end of a request to the former process changes nothing.
    table.record_ended("e1", 10);
}

/// Neither prefix affinity nor the last resort selects a back end of an evacuated zone.
#[test]
fn a_back_end_of_an_evacuated_zone_gets_no_requests() {
    let mut table = table();
    table.set_evacuated(["b".to_owned()].into(), 0);
    for session in 0..20 {
        let key = affinity_key(&[part(1), part(session)]);
        let engine = select(&table, &request(key), 0).expect("an engine");
        assert_eq!(engine.listed.id, "e1");
    }
    table.record_failure("e1", 0, "unreachable");
    assert_eq!(
        select(&table, &request(None), 0).expect("one").listed.id,
        "e1"
    );
    table.set_evacuated(["a".to_owned(), "b".to_owned()].into(), 0);
    assert!(select(&table, &request(None), 0).is_none());
}

/// A list that arrives during the evacuation adds a back end in the zone.
#[test]
fn a_new_back_end_of_an_evacuated_zone_gets_no_requests() {
    let mut table = table();
    table.set_evacuated(["b".to_owned()].into(), 0);
    let mut listed = instances();
    listed.push(instance("e4", "pool", "b"));
    table.replace_list(&listed);
    assert!(!table.get("e4").expect("listed").accepts_new_work());
    table.set_evacuated(BTreeSet::new(), 0);
    assert!(table.get("e4").expect("listed").accepts_new_work());
}

/// A reported processing time is valid only for a short time.
#[test]
fn a_back_end_with_a_current_slow_pace_gets_no_requests_while_others_are_faster() {
    let mut table = table();
    let slow = ReportedLoad {
        running: 0,
        waiting: 0,
        slots: 64,
        processing_time: RelativeProcessingTime(160),
    };
    table.record_load("e1", slow, 1_000);
    for random_seed in 0..50 {
        let request = SelectionRequest {
            random_seed,
            ..request(None)
        };
        let chosen = select(&table, &request, 1_100).expect("one");
        assert_ne!(chosen.listed.id, "e1");
    }
    let random_seeds = 0..50;
    let later = random_seeds.map(|random_seed| {
        let request = SelectionRequest {
            random_seed,
            ..request(None)
        };
        let chosen = select(&table, &request, 1_400).expect("one");
        chosen.listed.id.clone()
    });
    assert!(later.into_iter().any(|id| id == "e1"));
}
