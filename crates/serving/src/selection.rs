//! Selection of the back end for a request.
//!
//! Requests with the same prompt prefix go to the same engine unless it is much busier than the
//! others. Every node ranks the engines of a service by rendezvous hashing of the prefix, without
//! coordination. With several regions, one candidate is chosen per region, and [`crate::regions`]
//! compares them by cost.

use crate::cold::ColdBackendPolicy;
use crate::instances::{Instance, InstanceTable};
use crate::popularity::shared_parts;
use crate::ports::PrefixPart;
use crate::regions::{
    by_region, cheapest, RegionAffinity, RegionChoice, SharedPrefixCost, ZoneInputs,
};
use crate::rollouts::VersionChoice;
use crate::Millis;
use silversail_model::topology::RegionFilter;
use silversail_model::Topology;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

/// Utilization up to which an engine always accepts its prompt prefixes.
const AFFINITY_UTILIZATION: f64 = 0.6;
/// Above that, the maximum excess over the utilization of the least busy engine.
const AFFINITY_SLACK: f64 = 0.15;
/// Utilization that is added to the cost of a back end in another zone.
const OTHER_ZONE_PENALTY: f64 = 0.05;

/// Maximum number of back ends of a service for which all are compared; above it a sample is drawn.
const MAX_COMPARED: usize = 64;
/// Sample size from the local zone.
const LOCAL_ZONE_SAMPLES: u64 = 12;
/// Additional sample size from all zones.
const ANY_ZONE_SAMPLES: u64 = 4;
/// Maximum number of back ends that are checked in rendezvous order for a prefix.
const MAX_RANKED: usize = 64;

/// Inputs of the selection.
#[derive(Clone, Debug)]
pub struct SelectionRequest<'a> {
    /// Service whose back ends are considered.
    pub service: &'a str,
    /// Versions that may get the request.
    pub versions: VersionChoice,
    /// Software version to which the request is restricted.
    pub version: Option<&'a str>,
    /// Location of this node, whose zone is preferred, and of all zones.
    pub topology: &'a Topology,
    /// Regions whose back ends may get the request.
    pub regions: &'a RegionFilter,
    /// Policy for the choice between regions.
    pub region_affinity: RegionAffinity,
    /// Hash of the shared prompt prefix; none without prefix affinity.
    pub affinity: Option<u64>,
    /// Prefill cost of that prefix.
    pub shared_prompt: SharedPrefixCost,
    /// Inputs that the back end must fetch.
    pub inputs: &'a [ZoneInputs],
    /// Identifiers of back ends that this request has tried.
    pub tried: &'a [String],
    /// Policy for cold back ends.
    pub cold_use: ColdBackendPolicy,
    /// Seed of the random sample, and of the order of equally busy back ends.
    pub random_seed: u64,
}

impl SelectionRequest<'_> {
    /// Whether the version and the region of a back end are allowed for the request.
    pub fn allows(&self, instance: &Instance) -> bool {
        let region = self.topology.region_of(&instance.listed.zone);
        let is_of_version = self
            .version
            .is_none_or(|version| version == instance.listed.version);
        is_of_version && self.versions.admits(instance.role()) && self.regions.allows(region)
    }
}

/// Hash of the shared parts of a prompt, see [`shared_parts`]; none for an empty prompt.
pub fn affinity_key(prefix: &[PrefixPart]) -> Option<u64> {
    let mut hasher = DefaultHasher::new();
    for part in shared_parts(prefix) {
        part.id.hash(&mut hasher);
    }
    (!prefix.is_empty()).then(|| hasher.finish())
}

/// Selects a back end; none if no back end can be used at `now`.
pub fn select<'a>(
    table: &'a InstanceTable,
    request: &SelectionRequest<'_>,
    now: Millis,
) -> Option<&'a Instance> {
    let regions = regions_of(table, request);
    for eligibility in Eligibility::IN_ORDER {
        // A candidate version is never a last resort, because the baseline is available.
        if eligibility.is_last_resort() && request.versions == VersionChoice::Candidate {
            break;
        }
        for cold_filter in ColdFilter::of(request.cold_use) {
            let fits = |instance: &Instance| {
                request.allows(instance)
                    && eligibility.fits(instance, request.tried, now)
                    && cold_filter.fits(table, instance, now)
            };
            let choices: Vec<RegionChoice> = regions
                .iter()
                .filter_map(|zones| choose_in_region(table, zones, request, &fits, now))
                .collect();
            if let Some(chosen) = cheapest(&choices, request, now) {
                return Some(chosen);
            }
        }
    }
    None
}

/// Zones of the service's back ends, grouped by region unless regions are ignored.
fn regions_of<'a>(table: &'a InstanceTable, request: &SelectionRequest<'_>) -> Vec<Vec<&'a str>> {
    let zones = table.zones_of_service(request.service);
    match request.region_affinity {
        RegionAffinity::Off => vec![zones.collect()],
        RegionAffinity::Always | RegionAffinity::Popular => by_region(zones, request.topology),
    }
}

/// Classes of eligible back ends, best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Eligibility {
    /// Usable at present.
    Usable,
    /// Its back-off has ended, and this node's delayed return to it is still pending.
    Returning,
    /// It failed recently, and this request has not tried it.
    FailedUntried,
    /// Usable at present, but already tried by this request.
    TriedBefore,
    /// Held back, or its return is delayed.
    LastResort,
}

impl Eligibility {
    const IN_ORDER: [Self; 5] = [
        Self::Usable,
        Self::Returning,
        Self::FailedUntried,
        Self::TriedBefore,
        Self::LastResort,
    ];

    /// Whether the class is used only after all back ends failed or were tried.
    fn is_last_resort(self) -> bool {
        !matches!(self, Self::Usable | Self::Returning)
    }

    fn fits(self, instance: &Instance, tried: &[String], now: Millis) -> bool {
        let is_untried = || !tried.contains(&instance.listed.id);
        match self {
            Self::Usable => instance.is_usable(now) && is_untried(),
            Self::Returning => {
                instance.is_return_delayed(now)
                    && instance.is_usable_as_last_resort(now)
                    && is_untried()
            }
            Self::FailedUntried => instance.may_be_retried(now) && is_untried(),
            Self::TriedBefore => instance.is_usable(now),
            Self::LastResort => instance.is_usable_as_last_resort(now),
        }
    }
}

/// Filter of back ends by the cold-start policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ColdFilter {
    /// No filter.
    Any,
    /// Only warm back ends.
    Warm,
    /// Back ends whose rate limit admits another request of this node.
    WithinLimit,
}

impl ColdFilter {
    /// Filters to apply in order of preference.
    fn of(cold_use: ColdBackendPolicy) -> &'static [Self] {
        match cold_use {
            ColdBackendPolicy::Unlimited => &[Self::Any],
            ColdBackendPolicy::Limited => &[Self::WithinLimit],
            ColdBackendPolicy::LastResort => &[Self::Warm, Self::WithinLimit],
        }
    }

    fn fits(self, table: &InstanceTable, instance: &Instance, now: Millis) -> bool {
        match self {
            Self::Any => true,
            Self::Warm => !table.is_limited(instance, now),
            Self::WithinLimit => table.cold_limit_allows(instance, now),
        }
    }
}

/// Chooses a back end within one region: the first in rendezvous order that is not much busier than
/// the others, or the least busy one without prefix affinity.
fn choose_in_region<'a>(
    table: &'a InstanceTable,
    zones: &[&str],
    request: &SelectionRequest<'_>,
    fits: &dyn Fn(&Instance) -> bool,
    now: Millis,
) -> Option<RegionChoice<'a>> {
    let least = least_busy(table, zones, request, fits, now)?;
    let Some(affinity) = request.affinity else {
        return Some(RegionChoice {
            chosen: least,
            is_home: false,
        });
    };
    let least_utilization = least.utilization(now);
    let accepts = |instance: &&Instance| {
        let utilization = instance.utilization(now);
        utilization <= AFFINITY_UTILIZATION || utilization <= least_utilization + AFFINITY_SLACK
    };
    let ranked = table
        .ranked(request.service, affinity)
        .filter(|instance| zones.contains(&instance.listed.zone.as_str()) && fits(instance));
    let mut first = ranked.take(MAX_RANKED).enumerate();
    let affine = first.find(|(_, instance)| accepts(instance));
    Some(RegionChoice {
        chosen: affine.map_or(least, |(_, instance)| instance),
        is_home: affine.is_some_and(|(position, _)| position == 0),
    })
}

/// The least busy back end of a random sample, most of it from the local zone, or of all if there
/// are few or the sample contains no eligible one. Ties are broken at random, so that nodes
/// without load information do not all choose the same back end.
fn least_busy<'a>(
    table: &'a InstanceTable,
    zones: &[&str],
    request: &SelectionRequest<'_>,
    fits: &dyn Fn(&Instance) -> bool,
    now: Millis,
) -> Option<&'a Instance> {
    let drawn = match table.count_of_service(request.service) <= MAX_COMPARED {
        true => Vec::new(),
        false => sample(table, zones, request, fits),
    };
    let busyness = |instance: &Instance| {
        (
            cost(instance, request, now),
            rendezvous_hash(request.random_seed, &instance.listed.id),
        )
    };
    let is_less = |left: &&Instance, right: &&Instance| {
        let (left, right) = (busyness(left), busyness(right));
        left.0.total_cmp(&right.0).then(left.1.cmp(&right.1))
    };
    drawn.into_iter().min_by(is_less).or_else(|| {
        let of_zones = zones
            .iter()
            .flat_map(|zone| table.in_zone(request.service, zone));
        of_zones.filter(|instance| fits(instance)).min_by(is_less)
    })
}

/// Random sample of eligible back ends from the local zone and from all zones.
fn sample<'a>(
    table: &'a InstanceTable,
    zones: &[&str],
    request: &SelectionRequest<'_>,
    fits: &dyn Fn(&Instance) -> bool,
) -> Vec<&'a Instance> {
    let local_zone = request.topology.local_zone();
    let sampled_zone = zones.contains(&local_zone).then_some(local_zone);
    let draw_in = |zone: &str, draw| {
        let value = random_value(request.random_seed, draw);
        let drawn = table.random_in_zone(request.service, zone, value);
        drawn.filter(|instance| fits(instance))
    };
    let from_local_zone = sampled_zone
        .into_iter()
        .flat_map(|zone| (0..LOCAL_ZONE_SAMPLES).filter_map(move |draw| draw_in(zone, draw)));
    let from_any_zone =
        (LOCAL_ZONE_SAMPLES..LOCAL_ZONE_SAMPLES + ANY_ZONE_SAMPLES).filter_map(|draw| {
            let position =
                random_value(request.random_seed, draw).checked_rem(zones.len() as u64)?;
            draw_in(zones[position as usize], draw)
        });
    from_local_zone.chain(from_any_zone).collect()
}

fn random_value(random_seed: u64, draw: u64) -> u64 {
    let mut hasher = DefaultHasher::new();
    ("draw", random_seed, draw).hash(&mut hasher);
    hasher.finish()
}

fn cost(instance: &Instance, request: &SelectionRequest<'_>, now: Millis) -> f64 {
    let is_near = instance.listed.zone == request.topology.local_zone();
    let distance = if is_near { 0.0 } else { OTHER_ZONE_PENALTY };
    instance.utilization(now) + instance.slowness(now) + distance
}

/// Rendezvous hash of a back end for a key; the highest ranks first.
pub fn rendezvous_hash(key: u64, id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (key, id).hash(&mut hasher);
    hasher.finish()
}
