//! Cost of sending a request to a region, in milliseconds: network latency, transfer of inputs,
//! repeated prefill of the shared prompt prefix, and queueing.

use crate::instances::Instance;
use crate::selection::{rendezvous_hash, SelectionRequest};
use crate::Millis;
use serde::Deserialize;
use silversail_model::{Distance, Topology};
use std::collections::BTreeMap;

/// Milliseconds per megabyte transferred between regions, at 100 MB/s per transfer. A tenth of
/// what links inside a region carry.
const MS_PER_MEGABYTE: f64 = 10.0;
/// Utilization up to which a back end is assumed to have no queue. Reported loads lag.
const QUEUE_FREE_UTILIZATION: f64 = 0.6;
/// Queueing cost per unit of utilization above that, in milliseconds. Consistent with the affinity
/// slack within a region, where 0.15 is traded for the prefill of a long prompt.
const MS_PER_UTILIZATION: f64 = 700.0;

/// Policy for the choice between regions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RegionAffinity {
    /// Regions are ignored.
    Off,
    /// The region with the lowest network and queueing cost, usually the own one.
    Always,
    /// As `always`, plus the prefill cost of the prompt prefix parts that a region probably has not
    /// cached: rare prefixes are cached by one engine of all regions, popular ones by one engine in
    /// each region.
    #[default]
    Popular,
}

/// Prefill cost of the shared prefix of a prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SharedPrefixCost {
    /// Milliseconds of prefill at an engine that has cached none of the prefix.
    pub prefill_ms: f64,
    /// Milliseconds of prefill for the rare parts alone, which only the home engine of the prefix
    /// has cached.
    pub rare_prefill_ms: f64,
}

/// Inputs of a request that are stored in one zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneInputs {
    /// Zone whose back ends store the inputs.
    pub zone: String,
    /// Total size in bytes.
    pub bytes: u64,
}

/// Transfer time of `bytes` between regions, in milliseconds.
pub fn transfer_ms(bytes: u64) -> f64 {
    bytes as f64 / 1e6 * MS_PER_MEGABYTE
}

/// Groups zones by region; zones of unknown region form one group.
pub(crate) fn by_region<'a>(
    zones: impl Iterator<Item = &'a str>,
    topology: &Topology,
) -> Vec<Vec<&'a str>> {
    let mut regions: BTreeMap<Option<&str>, Vec<&str>> = BTreeMap::new();
    for zone in zones {
        regions
            .entry(topology.region_of(zone))
            .or_default()
            .push(zone);
    }
    regions.into_values().collect()
}

/// The back end chosen within one region.
pub(crate) struct RegionChoice<'a> {
    /// Chosen back end.
    pub(crate) chosen: &'a Instance,
    /// Whether it ranks first in its region for the shared prefix of the request.
    pub(crate) is_home: bool,
}

/// The choice with the lowest cost; none if `choices` is empty.
pub(crate) fn cheapest<'a>(
    choices: &[RegionChoice<'a>],
    request: &SelectionRequest<'_>,
    now: Millis,
) -> Option<&'a Instance> {
    let home = global_home(choices, request);
    let cost_of = |choice: &RegionChoice| {
        let is_global_home = home == Some(choice.chosen.listed.id.as_str());
        cost_ms(choice, is_global_home, request, now)
    };
    let best = choices
        .iter()
        .min_by(|left, right| cost_of(left).total_cmp(&cost_of(right)));
    best.map(|choice| choice.chosen)
}

/// The choice that ranks first over all regions and caches rare prefixes for them.
fn global_home<'a>(
    choices: &[RegionChoice<'a>],
    request: &SelectionRequest<'_>,
) -> Option<&'a str> {
    let affinity = request.affinity?;
    let ids = choices
        .iter()
        .map(|choice| choice.chosen.listed.id.as_str());
    ids.max_by_key(|id| rendezvous_hash(affinity, id))
}

/// Cost in milliseconds relative to an idle local back end that has cached everything the request
/// needs.
fn cost_ms(
    choice: &RegionChoice,
    is_global_home: bool,
    request: &SelectionRequest<'_>,
    now: Millis,
) -> f64 {
    let instance = choice.chosen;
    let topology = request.topology;
    let network_ms = topology.round_trip_ms(topology.distance_to(&instance.listed.zone));
    network_ms
        + queue_ms(instance.utilization(now))
        + uncached_prefill_ms(choice, is_global_home, request)
        + fetching_ms(instance, request)
}

fn queue_ms(utilization: f64) -> f64 {
    MS_PER_UTILIZATION * (utilization - QUEUE_FREE_UTILIZATION).max(0.0)
}

/// Prefill time for the uncached parts of the shared prefix, in milliseconds.
fn uncached_prefill_ms(
    choice: &RegionChoice,
    is_global_home: bool,
    request: &SelectionRequest<'_>,
) -> f64 {
    if request.region_affinity != RegionAffinity::Popular || request.affinity.is_none() {
        return 0.0;
    }
    match (choice.is_home, is_global_home) {
        (_, true) => 0.0,
        (true, false) => request.shared_prompt.rare_prefill_ms,
        (false, false) => request.shared_prompt.prefill_ms,
    }
}

/// Time to fetch inputs from other regions, in milliseconds.
fn fetching_ms(instance: &Instance, request: &SelectionRequest<'_>) -> f64 {
    let topology = request.topology;
    let is_in_other_region = |inputs: &&ZoneInputs| {
        topology.distance(&inputs.zone, &instance.listed.zone) == Distance::OtherRegion
    };
    let remote: Vec<&ZoneInputs> = request.inputs.iter().filter(is_in_other_region).collect();
    if remote.is_empty() {
        return 0.0;
    }
    let bytes = remote.iter().map(|inputs| inputs.bytes).sum();
    topology.round_trip_ms(Distance::OtherRegion) + transfer_ms(bytes)
}
