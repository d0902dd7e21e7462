//! Which back end gets a request.

mod common;

use common::{instance, instances, ANY_REGION, NO_REGIONS};
use silversail_decisions::DecisionLog;
use silversail_serving::cold::ColdBackendPolicy;
use silversail_serving::instances::InstanceTable;
use silversail_serving::ports::{Pace, PrefixPart, ReportedLoad};
use silversail_serving::regions::{RegionAffinity, SharedPrefixCost};
use silversail_serving::rollouts::VersionChoice;
use silversail_serving::selection::{affinity_key, select, SelectionRequest};
use std::collections::BTreeSet;

fn table() -> InstanceTable {
    let mut table = InstanceTable::new(DecisionLog::off());
    table.replace(&instances());
    table
}

fn request(affinity: Option<u64>) -> SelectionRequest<'static> {
    SelectionRequest {
        service: "pool",
        versions: VersionChoice::Any,
        topology: &NO_REGIONS,
        regions: &ANY_REGION,
        region_affinity: RegionAffinity::Popular,
        affinity,
        shared_prompt: SharedPrefixCost::default(),
        inputs: &[],
        tried: &[],
        cold_use: ColdBackendPolicy::Limited,
        lot: 0,
    }
}

fn part(id: u64) -> PrefixPart {
    PrefixPart { id, tokens: 100 }
}

#[test]
fn requests_of_one_session_go_to_one_engine_from_every_node() {
    let (one, other) = (table(), table());
    let mut chosen = BTreeSet::new();
    for session in 0..40 {
        let first = affinity_key(&[part(1), part(session), part(1_000)]);
        let second = affinity_key(&[part(1), part(session), part(2_000)]);
        assert_eq!(first, second);
        let engine = select(&one, &request(first), 0).expect("an engine");
        let same = select(&other, &request(second), 0).expect("an engine");
        assert_eq!(engine.listed.id, same.listed.id);
        chosen.insert(engine.listed.id.clone());
    }
    assert_eq!(chosen.len(), 3);
}

#[test]
fn a_busy_engine_loses_its_sessions_until_it_is_free_again() {
    let mut table = table();
    let key = affinity_key(&[part(1), part(5)]);
    let favourite = select(&table, &request(key), 0)
        .expect("one")
        .listed
        .id
        .clone();
    let busy = ReportedLoad {
        running: 64,
        waiting: 20,
        slots: 64,
        pace: Pace::NORMAL,
    };
    table.reported(&favourite, busy, 100);
    assert_ne!(
        select(&table, &request(key), 200).expect("one").listed.id,
        favourite
    );
    // An old report counts no more.
    assert_eq!(
        select(&table, &request(key), 9_000).expect("one").listed.id,
        favourite
    );
}

#[test]
fn failures_are_passed_over_longer_and_longer_but_not_when_all_fail() {
    let mut table = table();
    for id in ["e1", "e2"] {
        table.failed(id, 0, "test");
    }
    assert_eq!(
        select(&table, &request(None), 1).expect("one").listed.id,
        "e3"
    );
    table.failed("e3", 1, "test");
    assert!(select(&table, &request(None), 2).is_some());
    table.failed("e1", 600, "test");
    assert!(table.get("e1").is_some_and(|one| one.is_suspect(1_500)));
    table.answered("e1");
    assert!(table.get("e1").is_some_and(|one| !one.is_suspect(1_500)));
}

#[test]
fn a_new_start_at_an_old_address_is_another_back_end() {
    let mut table = table();
    table.sent("e1", 10, 0);
    let mut listed = instances();
    listed[0] = instance("e1-again", "gate", "a");
    listed[0].address = "e1:80".into();
    assert!(table.replace(&listed));
    assert!(table.get("e1").is_none());
    assert_eq!(table.at_address("e1:80").map(|one| one.in_flight), Some(0));
    // What ends at the former one changes nothing.
    table.ended("e1", 10);
}

/// Also as a last resort, and for requests that share a prompt with what ran there.
#[test]
fn a_back_end_of_an_evacuated_zone_gets_nothing() {
    let mut table = table();
    table.set_evacuated(["b".to_owned()].into(), 0);
    for session in 0..20 {
        let key = affinity_key(&[part(1), part(session)]);
        let engine = select(&table, &request(key), 0).expect("an engine");
        assert_eq!(engine.listed.id, "e1");
    }
    table.failed("e1", 0, "unreachable");
    assert_eq!(
        select(&table, &request(None), 0).expect("one").listed.id,
        "e1"
    );
    table.set_evacuated(["a".to_owned(), "b".to_owned()].into(), 0);
    assert!(select(&table, &request(None), 0).is_none());
}

/// A list that comes during the evacuation names new back ends there.
#[test]
fn a_new_back_end_of_an_evacuated_zone_gets_nothing() {
    let mut table = table();
    table.set_evacuated(["b".to_owned()].into(), 0);
    let mut listed = instances();
    listed.push(instance("e4", "pool", "b"));
    table.replace(&listed);
    assert!(!table.get("e4").expect("listed").takes_work());
    table.set_evacuated(BTreeSet::new(), 0);
    assert!(table.get("e4").expect("listed").takes_work());
}

/// A pace changes many times a second: an old one says nothing.
#[test]
fn a_back_end_that_is_slow_just_now_gets_no_plain_request_while_others_are_not() {
    let mut table = table();
    let slow = ReportedLoad {
        running: 0,
        waiting: 0,
        slots: 64,
        pace: Pace(160),
    };
    table.reported("e1", slow, 1_000);
    for lot in 0..50 {
        let request = SelectionRequest {
            lot,
            ..request(None)
        };
        let chosen = select(&table, &request, 1_100).expect("one");
        assert_ne!(chosen.listed.id, "e1");
    }
    let lots = 0..50;
    let later = lots.map(|lot| {
        let request = SelectionRequest {
            lot,
            ..request(None)
        };
        let chosen = select(&table, &request, 1_400).expect("one");
        chosen.listed.id.clone()
    });
    assert!(later.into_iter().any(|id| id == "e1"));
}
