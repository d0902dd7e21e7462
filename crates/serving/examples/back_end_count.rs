//! Measures the cost of a list update and of a selection on one core, by number of back ends.
//!
//! `cargo run --release -p silversail-serving --example back_end_count`

use silversail_decisions::DecisionLog;
use silversail_model::topology::{RegionFilter, RoundTrips};
use silversail_model::Topology;
use silversail_peer::{BackendList, BackendListEntry, BackendListHistory, BackendListVersion};
use silversail_serving::cold::ColdBackendPolicy;
use silversail_serving::instances::InstanceTable;
use silversail_serving::regions::{RegionAffinity, SharedPrefixCost};
use silversail_serving::rollouts::VersionChoice;
use silversail_serving::selection::{select, SelectionRequest};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

/// Numbers of back ends to measure, all of one service.
const COUNTS: [usize; 4] = [126, 1_250, 10_000, 20_000];
/// Zones of the back ends.
const ZONES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
/// Number of repetitions of which the mean is taken.
const REPETITIONS: u32 = 200;

fn entry(number: usize) -> BackendListEntry {
    let name = format!("i-{:08x}-{number}", number * 7_919);
    BackendListEntry {
        id: format!("{name}@1790000000000"),
        name,
        service: "pool".to_owned(),
        address: format!(
            "10.{}.{}.{}:8080",
            number / 62_500,
            number / 250 % 250,
            number % 250
        ),
        zone: ZONES[number % ZONES.len()].to_owned(),
        version: "v1".to_owned(),
        slots: 16,
        draining: false,
        cold: false,
        started_at_ms: Some(1_790_000_000_000),
    }
}

fn version(sequence: u64) -> BackendListVersion {
    BackendListVersion {
        term: 1,
        sequence,
        fallback: 0,
    }
}

/// Anonymous resident memory of this process, in kilobytes.
fn private_kilobytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("RssAnon"));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    value.and_then(|value| value.parse().ok()).unwrap_or(0)
}

fn microseconds(mut step: impl FnMut()) -> f64 {
    let started_at = Instant::now();
    for _ in 0..REPETITIONS {
        step();
    }
    started_at.elapsed().as_secs_f64() * 1e6 / f64::from(REPETITIONS)
}

fn measure(count: usize) {
    let regions: BTreeMap<String, String> = BTreeMap::new();
    let topology = Topology::new("a", regions, RoundTrips::default()).expect("valid");
    let any_region = RegionFilter::any();
    let mut updates = BackendListHistory::default();
    let list = Arc::new(BackendList {
        version: version(1),
        entries: (0..count).map(entry).collect(),
    });
    updates.set_latest(list.clone());
    let full = updates.update_since(None).expect("a list");
    let mut next = (*list).clone();
    next.version = version(2);
    next.entries.remove(&entry(5).id);
    updates.set_latest(Arc::new(next));
    let difference = updates.update_since(Some(version(1))).expect("a change");

    let before = private_kilobytes();
    let current = full.apply_to(None).expect("a full update needs no base");
    let mut table = InstanceTable::new(DecisionLog::disabled());
    table.apply_list(&current.entries);
    let memory = private_kilobytes().saturating_sub(before);

    let applied = microseconds(|| {
        difference
            .apply_to(Some(&current))
            .expect("the base is current");
    });
    let changed = difference
        .apply_to(Some(&current))
        .expect("the base is current");
    let table_update = microseconds(|| {
        table.apply_list(&changed.entries);
        table.apply_list(&current.entries);
    }) / 2.0;
    let selection = |affinity| {
        let request = SelectionRequest {
            versions: VersionChoice::Any,
            version: None,
            service: "pool",
            topology: &topology,
            regions: &any_region,
            region_affinity: RegionAffinity::Off,
            affinity,
            shared_prompt: SharedPrefixCost::default(),
            inputs: &[],
            tried: &[],
            cold_use: ColdBackendPolicy::Limited,
            random_seed: 7,
        };
        microseconds(|| {
            select(&table, &request, 10).expect("a back end");
        })
    };
    println!(
        "| {count} | {} | {applied:.1} | {table_update:.1} | {:.1} | {:.1} | {:.1} |",
        full.size(),
        selection(Some(77)),
        selection(None),
        memory as f64 / 1e3
    );
}

fn main() {
    println!("| back ends | full list, bytes | apply a change, us | update the table, us | selection by prompt, us | selection by load, us | list and table, MB |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for count in COUNTS {
        measure(count);
    }
}
