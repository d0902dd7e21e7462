//! What choices and changes of the list cost with thousands of back ends, as looks at single ones,
//! and how choices spread over them.

mod common;

use common::{instance, list_of, ANY_REGION, NO_REGIONS};
use rstest::rstest;
use silversail_decisions::{DecisionLog, LogLimits};
use silversail_peer::ListedInstance;
use silversail_serving::cold::ColdBackendPolicy;
use silversail_serving::instances::InstanceTable;
use silversail_serving::regions::{RegionAffinity, SharedPrefixCost};
use silversail_serving::rollouts::VersionChoice;
use silversail_serving::selection::{select, SelectionRequest};
use std::collections::BTreeMap;

const ZONES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
/// Looks that one choice may take, at any number of back ends: 20 us of a whole core.
const MOST_LOOKS_OF_CHOICE: u64 = 400;
/// Looks that one change of the list may take.
const MOST_LOOKS_OF_CHANGE: u64 = 10;

fn entries(count: usize) -> Vec<ListedInstance> {
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
    let mut table = InstanceTable::new(DecisionLog::off());
    table.replace(&entries(count));
    table
}

fn request(affinity: Option<u64>, lot: u64) -> SelectionRequest<'static> {
    SelectionRequest {
        versions: VersionChoice::Any,
        service: "pool",
        topology: &NO_REGIONS,
        regions: &ANY_REGION,
        region_affinity: RegionAffinity::Off,
        affinity,
        shared_prompt: SharedPrefixCost::default(),
        inputs: &[],
        tried: &[],
        cold_use: ColdBackendPolicy::Limited,
        lot,
    }
}

fn chosen(table: &InstanceTable, request: &SelectionRequest<'_>) -> String {
    let chosen = select(table, request, 0).expect("a back end");
    chosen.listed.id.clone()
}

#[rstest]
fn a_choice_looks_at_few_of_thousands(
    #[values(1_000, 10_000, 20_000)] count: usize,
    #[values(None, Some(77))] affinity: Option<u64>,
) {
    let table = table(count);
    let before = table.looks();
    for lot in 0..50 {
        let affinity = affinity.map(|key| key + lot);
        chosen(&table, &request(affinity, lot));
    }
    let looks = (table.looks() - before) / 50;
    assert!(looks <= MOST_LOOKS_OF_CHOICE, "{looks}");
}

#[rstest]
fn a_change_of_the_list_looks_at_what_changed(#[values(1_000, 10_000, 20_000)] count: usize) {
    let all = list_of(&entries(count));
    let mut table = InstanceTable::new(DecisionLog::off());
    table.follow(&all);
    table.hold_back_new_versions(0);
    table.forget_gone(0);
    let mut without_one = all.clone();
    without_one.remove("e000005");
    let mut with_another = without_one.clone();
    with_another.insert(instance("e999999", "pool", "a"));
    for next in [without_one, with_another, all] {
        let before = table.looks();
        assert!(table.follow(&next));
        table.hold_back_new_versions(0);
        table.forget_gone(0);
        let looks = table.looks() - before;
        assert!(looks <= MOST_LOOKS_OF_CHANGE, "{looks}");
    }
}

/// A line for each of thousands would push all else out of a bounded log.
#[test]
fn the_first_list_of_thousands_takes_few_lines_of_the_log() {
    let log = DecisionLog::start("n1", LogLimits::default(), std::io::sink()).expect("a thread");
    let mut table = InstanceTable::new(log.clone());
    table.replace(&entries(10_000));
    assert_eq!(log.counts().taken, 1);
    table.replace(&entries(9_990));
    assert_eq!(log.counts().taken, 11, "a few are told one by one");
}

/// Each back end has as many shared prompts as the others, whichever group it is in.
#[rstest]
fn prompts_spread_evenly(#[values(7, 70, 700)] count: usize) {
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
    // Five deviations of as many lots.
    assert!(most <= PROMPTS_EACH * 3 / 2, "{most}");
    assert!(least >= PROMPTS_EACH / 2, "{least}");
}

/// Nodes hold lists that differ by one back end for a second after each change.
#[rstest]
fn a_back_end_that_goes_moves_few_prompts_but_its_own(#[values(20, 1_000)] count: usize) {
    const PROMPTS: u64 = 4_000;
    let whole = table(count);
    let mut without_one = table(count);
    without_one.replace(&entries(count)[1..]);
    let moved = (0..PROMPTS).filter(|key| {
        let request = request(Some(*key), 0);
        let before = chosen(&whole, &request);
        before != "e000000" && before != chosen(&without_one, &request)
    });
    let moved = moved.count() as f64 / PROMPTS as f64;
    assert!(moved <= 1.0 / count as f64, "{moved}");
}

/// A node of a thousand meets a back end every few hours, and knows nothing of their loads: if
/// ties went by name, all nodes of a zone would send to one back end of it.
#[rstest]
fn plain_requests_of_nodes_that_know_no_loads_spread(#[values(18, 162)] count: usize) {
    const REQUESTS_EACH: u64 = 60;
    let near = count / ZONES.len();
    let table = table(count);
    let mut requests: BTreeMap<String, u64> = BTreeMap::new();
    for lot in 0..near as u64 * REQUESTS_EACH {
        let chosen = chosen(&table, &request(None, lot));
        *requests.entry(chosen).or_default() += 1;
    }
    assert_eq!(requests.len(), near, "those of the own zone");
    let most = requests.values().max().copied().unwrap_or_default();
    assert!(most <= REQUESTS_EACH * 2, "{most}");
}
