//! Cost of selections and list changes with thousands of back ends, as a number of lookups, and
//! the distribution of selections over them.

mod common;

use common::{instance, list_of, ANY_REGION, NO_REGIONS};
use rstest::rstest;
use silversail_decisions::{DecisionLog, LogLimits};
use silversail_peer::BackendListEntry;
use silversail_serving::cold::ColdBackendPolicy;
use silversail_serving::instances::InstanceTable;
use silversail_serving::regions::{RegionAffinity, SharedPrefixCost};
use silversail_serving::rollouts::VersionChoice;
use silversail_serving::selection::{select, SelectionRequest};
use std::collections::BTreeMap;

const ZONES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
/// Maximum lookups of one selection, for any number of back ends.
const MAX_LOOKUPS_PER_SELECTION: u64 = 400;
/// Maximum lookups of one list change.
const MAX_LOOKUPS_PER_CHANGE: u64 = 10;

fn entries(count: usize) -> Vec<BackendListEntry> {
    let numbers = 0..count;
    numbers
        .map(|number| {
            instance(
                &format!("e{number:06}"),
                "pool",
                ZONES[number % ZONES.len()],
            )
        })
        .collect()
}

fn table(count: usize) -> InstanceTable {
    let mut table = InstanceTable::new(DecisionLog::disabled());
    table.replace_list(&entries(count));
    table
}

fn request(affinity: Option<u64>, random_seed: u64) -> SelectionRequest<'static> {
    SelectionRequest {
        versions: VersionChoice::Any,
        version: None,
        service: "pool",
        topology: &NO_REGIONS,
        regions: &ANY_REGION,
        region_affinity: RegionAffinity::Off,
        affinity,
        shared_prompt: SharedPrefixCost::default(),
        inputs: &[],
        tried: &[],
        cold_use: ColdBackendPolicy::Limited,
        random_seed,
    }
}

fn chosen(table: &InstanceTable, request: &SelectionRequest<'_>) -> String {
    let chosen = select(table, request, 0).expect("a back end");
    chosen.listed.id.clone()
}

#[rstest]
fn a_selection_looks_up_few_of_thousands(
    #[values(1_000, 10_000, 20_000)] count: usize,
    #[values(None, Some(77))] affinity: Option<u64>,
) {
    let table = table(count);
    let before = table.lookup_count();
    for random_seed in 0..50 {
        let affinity = affinity.map(|key| key + random_seed);
        chosen(&table, &request(affinity, random_seed));
    }
    let lookups = (table.lookup_count() - before) / 50;
    assert!(lookups <= MAX_LOOKUPS_PER_SELECTION, "{lookups}");
}

#[rstest]
fn a_list_change_looks_up_only_what_changed(#[values(1_000, 10_000, 20_000)] count: usize) {
    let all = list_of(&entries(count));
    let mut table = InstanceTable::new(DecisionLog::disabled());
    table.apply_list(&all);
    table.hold_back_new_versions(0);
    table.forget_removed(0);
    let mut without_one = all.clone();
    without_one.remove("e000005");
    let mut with_another = without_one.clone();
    with_another.insert(instance("e999999", "pool", "a"));
    for next in [without_one, with_another, all] {
        let before = table.lookup_count();
        assert!(table.apply_list(&next));
        table.hold_back_new_versions(0);
        table.forget_removed(0);
        let lookups = table.lookup_count() - before;
        assert!(lookups <= MAX_LOOKUPS_PER_CHANGE, "{lookups}");
    }
}

/// One entry per back end would displace all others from a bounded log.
#[test]
fn the_first_list_of_thousands_takes_few_log_entries() {
    let log = DecisionLog::start("n1", LogLimits::default(), std::io::sink()).expect("a thread");
    let mut table = InstanceTable::new(log.clone());
    table.replace_list(&entries(10_000));
    assert_eq!(log.counts().taken, 1);
    table.replace_list(&entries(9_990));
    assert_eq!(log.counts().taken, 11, "few changes are logged one by one");
}

/// Each back end gets about the same number of prompts, whatever the size of its hash group.
#[rstest]
fn prompts_are_distributed_evenly(#[values(7, 70, 700)] count: usize) {
    const PROMPTS_EACH: usize = 100;
    let table = table(count);
    let mut prompts: BTreeMap<String, usize> = BTreeMap::new();
    for key in 0..(count * PROMPTS_EACH) as u64 {
        *prompts
            .entry(chosen(&table, &request(Some(key), 0)))
            .or_default() += 1;
    }
    assert_eq!(prompts.len(), count);
    let most = prompts.values().max().copied().unwrap_or_default();
    let least = prompts.values().min().copied().unwrap_or_default();
    // Five standard deviations of a uniform distribution.
    assert!(most <= PROMPTS_EACH * 3 / 2, "{most}");
    assert!(least >= PROMPTS_EACH / 2, "{least}");
}

/// The lists of two nodes differ by one back end for about a second after each change.
#[rstest]
fn removing_a_backend_moves_few_prompts_of_others(#[values(20, 1_000)] count: usize) {
    const PROMPTS: u64 = 4_000;
    let whole = table(count);
    let mut without_one = table(count);
    without_one.replace_list(&entries(count)[1..]);
    let moved = (0..PROMPTS).filter(|key| {
        let request = request(Some(*key), 0);
        let before = chosen(&whole, &request);
        before != "e000000" && before != chosen(&without_one, &request)
    });
    let moved = moved.count() as f64 / PROMPTS as f64;
    assert!(moved <= 1.0 / count as f64, "{moved}");
}

/// A node that knows no loads must not break ties by name, or all nodes of a zone would send to
/// the same back end.
#[rstest]
fn requests_are_distributed_without_known_loads(#[values(18, 162)] count: usize) {
    const REQUESTS_EACH: u64 = 60;
    let near = count / ZONES.len();
    let table = table(count);
    let mut requests: BTreeMap<String, u64> = BTreeMap::new();
    for random_seed in 0..near as u64 * REQUESTS_EACH {
        let chosen = chosen(&table, &request(None, random_seed));
        *requests.entry(chosen).or_default() += 1;
    }
    assert_eq!(requests.len(), near, "those of the local zone");
    let most = requests.values().max().copied().unwrap_or_default();
    assert!(most <= REQUESTS_EACH * 2, "{most}");
}
