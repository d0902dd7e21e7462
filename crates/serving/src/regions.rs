//! What it costs to leave a region, in milliseconds: the way, what is fetched over it, what
//! the other place has to read anew, and the queue there.

use crate::instances::Instance;
use crate::selection::{rank, SelectionRequest};
use crate::Millis;
use serde::Deserialize;
use silversail_model::{Distance, Topology};
use std::collections::BTreeMap;

/// Milliseconds that a megabyte takes between regions: 100 MB/s for one transfer, a tenth of
/// what links inside a region carry.
const MS_PER_MEGABYTE: f64 = 10.0;
/// Utilization up to which a back end is taken to have no queue: it has free places, and loads
/// are reported late.
const FREE_UTILIZATION: f64 = 0.6;
/// What a back end's whole places are worth beyond that, in milliseconds: within a region a
/// prompt is kept by an engine that is busier by 0.15, and reading a long one takes some 100 ms.
const MS_PER_UTILIZATION: f64 = 700.0;

/// How requests choose between the back ends of regions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RegionAffinity {
    /// All regions count as one.
    Off,
    /// The own region, unless another is nearer in milliseconds of way and queue.
    Always,
    /// As `always`, but what the own region is not believed to hold of a shared prompt counts
    /// with the time that it takes to read: rarely seen ones are kept by one engine of all
    /// regions, popular ones by one in each.
    #[default]
    Popular,
}

/// The shared beginning of a prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SharedPrefixCost {
    /// Milliseconds that an engine which holds nothing of it takes to read it.
    pub prefill_ms: f64,
    /// The same for what the engines of a region are believed to hold nothing of, unless the
    /// prompt has its home there.
    pub rare_prefill_ms: f64,
}

/// Inputs of a request at the back ends of a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneInputs {
    /// The zone.
    pub zone: String,
    /// Their size.
    pub bytes: u64,
}

/// Milliseconds that so many bytes take between regions.
pub fn transfer_ms(bytes: u64) -> f64 {
    bytes as f64 / 1e6 * MS_PER_MEGABYTE
}

/// The zones of each region; those whose region is not known are of one.
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

/// A back end that its region would give a request to.
pub(crate) struct RegionChoice<'a> {
    /// The back end.
    pub(crate) chosen: &'a Instance,
    /// Whether it is the one that keeps the request's shared prompt in its region.
    pub(crate) is_home: bool,
}

/// The best of the choices of all regions.
pub(crate) fn cheapest<'a>(
    choices: &[RegionChoice<'a>],
    request: &SelectionRequest<'_>,
    now: Millis,
) -> Option<&'a Instance> {
    let home = home_of_all(choices, request);
    let cost_of = |choice: &RegionChoice| {
        let is_home_of_all = home == Some(choice.chosen.listed.id.as_str());
        cost_ms(choice, is_home_of_all, request, now)
    };
    let best = choices
        .iter()
        .min_by(|left, right| cost_of(left).total_cmp(&cost_of(right)));
    best.map(|choice| choice.chosen)
}

/// The one of the regions' choices that keeps a rarely seen prompt for all of them.
fn home_of_all<'a>(
    choices: &[RegionChoice<'a>],
    request: &SelectionRequest<'_>,
) -> Option<&'a str> {
    let affinity = request.affinity?;
    let ids = choices.iter().map(|one| one.chosen.listed.id.as_str());
    ids.max_by_key(|id| rank(affinity, id))
}

/// Milliseconds that a request loses at a back end, against one beside this node that is idle
/// and holds all that the request needs.
fn cost_ms(
    choice: &RegionChoice,
    is_home_of_all: bool,
    request: &SelectionRequest<'_>,
    now: Millis,
) -> f64 {
    let instance = choice.chosen;
    let topology = request.topology;
    let way = topology.round_trip_ms(topology.distance_to(&instance.listed.zone));
    way + queue_ms(instance.utilization(now))
        + reading_ms(choice, is_home_of_all, request)
        + fetching_ms(instance, request)
}

fn queue_ms(utilization: f64) -> f64 {
    MS_PER_UTILIZATION * (utilization - FREE_UTILIZATION).max(0.0)
}

/// What the back end has to read of the shared prompt.
fn reading_ms(choice: &RegionChoice, is_home_of_all: bool, request: &SelectionRequest<'_>) -> f64 {
    if request.region_affinity != RegionAffinity::Popular || request.affinity.is_none() {
        return 0.0;
    }
    match (choice.is_home, is_home_of_all) {
        (_, true) => 0.0,
        (true, false) => request.shared_prompt.rare_prefill_ms,
        (false, false) => request.shared_prompt.prefill_ms,
    }
}

/// What the back end has to fetch from other regions.
fn fetching_ms(instance: &Instance, request: &SelectionRequest<'_>) -> f64 {
    let topology = request.topology;
    let is_far = |inputs: &&ZoneInputs| {
        topology.distance(&inputs.zone, &instance.listed.zone) == Distance::OtherRegion
    };
    let far: Vec<&ZoneInputs> = request.inputs.iter().filter(is_far).collect();
    if far.is_empty() {
        return 0.0;
    }
    let bytes = far.iter().map(|inputs| inputs.bytes).sum();
    topology.round_trip_ms(Distance::OtherRegion) + transfer_ms(bytes)
}
