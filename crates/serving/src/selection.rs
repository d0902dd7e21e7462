//! Which back end gets a request.
//!
//! Requests that share the beginning of their prompt go to the same engine while
//! it is not much busier than the others: every node ranks the engines of a
//! service by the same hash of that beginning, so no node needs to ask another. Where
//! there are several regions, each names its choice, and [`crate::regions`] compares them.

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

/// An engine keeps its share of the prompts up to this utilization.
const AFFINITY_UTILIZATION: f64 = 0.6;
/// Above that it keeps them while it is busier than the least busy engine by no
/// more than this.
const AFFINITY_SLACK: f64 = 0.15;
/// A back end in another zone counts as busier by this much of its slots.
const OTHER_ZONE: f64 = 0.05;

/// Back ends of a service up to which all are compared with each other; of more, a few are drawn.
const MOST_COMPARED: usize = 64;
/// Back ends of the own zone that are drawn.
const DRAWS_NEAR: u64 = 12;
/// Back ends of all zones that are drawn beside them.
const DRAWS_ANYWHERE: u64 = 4;
/// Back ends that are asked in their rank's order whether they keep a prompt.
const MOST_RANKED: usize = 64;

/// What a choice takes into account.
#[derive(Clone, Debug)]
pub struct SelectionRequest<'a> {
    /// The service.
    pub service: &'a str,
    /// Versions that may get it.
    pub versions: VersionChoice,
    /// Where this node, whose zone is preferred, and all zones lie.
    pub topology: &'a Topology,
    /// The regions whose back ends may have it.
    pub regions: &'a RegionFilter,
    /// How regions are chosen.
    pub region_affinity: RegionAffinity,
    /// Hash of the shared beginning of the prompt.
    pub affinity: Option<u64>,
    /// How long that beginning takes to read.
    pub shared_prompt: SharedPrefixCost,
    /// Inputs that the back end fetches.
    pub inputs: &'a [ZoneInputs],
    /// Back ends that were tried before.
    pub tried: &'a [String],
    /// How cold back ends are used.
    pub cold_use: ColdBackendPolicy,
    /// Spreads requests over back ends that are as busy as each other.
    pub lot: u64,
}

impl SelectionRequest<'_> {
    /// Whether a back end may have the request, by its version and by where it lies.
    pub fn allows(&self, instance: &Instance) -> bool {
        let region = self.topology.region_of(&instance.listed.zone);
        self.versions.admits(instance.role()) && self.regions.allows(region)
    }
}

/// Hash of the shared beginning of a prompt: of all its parts but the last, which
/// belongs to the request itself.
pub fn affinity_key(prefix: &[PrefixPart]) -> Option<u64> {
    let mut hasher = DefaultHasher::new();
    for part in shared_parts(prefix) {
        part.id.hash(&mut hasher);
    }
    (!prefix.is_empty()).then(|| hasher.finish())
}

/// Chooses a back end; none where no one may be used now.
pub fn select<'a>(
    table: &'a InstanceTable,
    request: &SelectionRequest<'_>,
    now: Millis,
) -> Option<&'a Instance> {
    let regions = regions_of(table, request);
    for fitness in Fitness::IN_ORDER {
        // A candidate is never the last resort: the baseline is there.
        if fitness.is_last_resort() && request.versions == VersionChoice::Candidate {
            break;
        }
        for bearing in Bearing::of(request.cold_use) {
            let fits = |one: &Instance| {
                request.allows(one)
                    && fitness.fits(one, request.tried, now)
                    && bearing.fits(table, one, now)
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

/// The zones of the service's back ends, by region where regions matter.
fn regions_of<'a>(table: &'a InstanceTable, request: &SelectionRequest<'_>) -> Vec<Vec<&'a str>> {
    let zones = table.zones_of_service(request.service);
    match request.region_affinity {
        RegionAffinity::Off => vec![zones.collect()],
        RegionAffinity::Always | RegionAffinity::Popular => by_region(zones, request.topology),
    }
}

/// What makes a back end fit, from the best on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fitness {
    /// It may be used now.
    Usable,
    /// Its rest is over, and this node would come back to it a little later.
    Returning,
    /// It failed lately, and this request did not try it.
    FailedUntried,
    /// It may be used now, though this request tried it.
    TriedBefore,
    /// It is held back or returns later.
    AtLast,
}

impl Fitness {
    const IN_ORDER: [Self; 5] = [
        Self::Usable,
        Self::Returning,
        Self::FailedUntried,
        Self::TriedBefore,
        Self::AtLast,
    ];

    /// Whether it is for where every back end failed or was tried.
    fn is_last_resort(self) -> bool {
        !matches!(self, Self::Usable | Self::Returning)
    }

    fn fits(self, one: &Instance, tried: &[String], now: Millis) -> bool {
        let is_untried = || !tried.contains(&one.listed.id);
        match self {
            Self::Usable => one.is_usable(now) && is_untried(),
            Self::Returning => {
                one.is_return_delayed(now) && one.is_usable_at_last(now) && is_untried()
            }
            Self::FailedUntried => one.may_be_tried_again(now) && is_untried(),
            Self::TriedBefore => one.is_usable(now),
            Self::AtLast => one.is_usable_at_last(now),
        }
    }
}

/// Which back ends count by how cold they are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Bearing {
    /// All.
    Any,
    /// Warm ones only.
    Warm,
    /// Those that bear another request of this node.
    Another,
}

impl Bearing {
    /// What is looked for, in order.
    fn of(cold_use: ColdBackendPolicy) -> &'static [Self] {
        match cold_use {
            ColdBackendPolicy::Unlimited => &[Self::Any],
            ColdBackendPolicy::Limited => &[Self::Another],
            ColdBackendPolicy::LastResort => &[Self::Warm, Self::Another],
        }
    }

    fn fits(self, table: &InstanceTable, one: &Instance, now: Millis) -> bool {
        match self {
            Self::Any => true,
            Self::Warm => !table.is_limited(one, now),
            Self::Another => table.bears_another(one, now),
        }
    }
}

/// The back end among those of a region: the first by rank that is not much busier than the
/// others, or, for a prompt that nobody shares, the least busy one.
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
    let floor = least.utilization(now);
    let keeps = |one: &&Instance| {
        let utilization = one.utilization(now);
        utilization <= AFFINITY_UTILIZATION || utilization <= floor + AFFINITY_SLACK
    };
    let ranked = table
        .ranked(request.service, affinity)
        .filter(|one| zones.contains(&one.listed.zone.as_str()) && fits(one));
    let mut first = ranked.take(MOST_RANKED).enumerate();
    let kept = first.find(|(_, one)| keeps(one));
    Some(RegionChoice {
        chosen: kept.map_or(least, |(_, one)| one),
        is_home: kept.is_some_and(|(position, _)| position == 0),
    })
}

/// The least busy back end of a few drawn by lot, most of them in the own zone; of all, where
/// there are few or none that was drawn fits. Which of several that are as busy is decided by
/// lot: nodes that know nothing of loads would all take the same else.
fn least_busy<'a>(
    table: &'a InstanceTable,
    zones: &[&str],
    request: &SelectionRequest<'_>,
    fits: &dyn Fn(&Instance) -> bool,
    now: Millis,
) -> Option<&'a Instance> {
    let drawn = match table.count_of_service(request.service) <= MOST_COMPARED {
        true => Vec::new(),
        false => draw(table, zones, request, fits),
    };
    let busyness = |one: &Instance| (cost(one, request, now), rank(request.lot, &one.listed.id));
    let is_less = |left: &&Instance, right: &&Instance| {
        let (left, right) = (busyness(left), busyness(right));
        left.0.total_cmp(&right.0).then(left.1.cmp(&right.1))
    };
    drawn.into_iter().min_by(is_less).or_else(|| {
        let of_zones = zones
            .iter()
            .flat_map(|zone| table.in_zone(request.service, zone));
        of_zones.filter(|one| fits(one)).min_by(is_less)
    })
}

/// Back ends that fit, drawn by lot from the own zone and from all zones.
fn draw<'a>(
    table: &'a InstanceTable,
    zones: &[&str],
    request: &SelectionRequest<'_>,
    fits: &dyn Fn(&Instance) -> bool,
) -> Vec<&'a Instance> {
    let own_zone = request.topology.own_zone();
    let near = zones.contains(&own_zone).then_some(own_zone);
    let draw_in = |zone: &str, draw| {
        let lot = lot_of(request.lot, draw);
        let drawn = table.drawn_in_zone(request.service, zone, lot);
        drawn.filter(|one| fits(one))
    };
    let of_near = near
        .into_iter()
        .flat_map(|zone| (0..DRAWS_NEAR).filter_map(move |draw| draw_in(zone, draw)));
    let anywhere = (DRAWS_NEAR..DRAWS_NEAR + DRAWS_ANYWHERE).filter_map(|draw| {
        let position = lot_of(request.lot, draw).checked_rem(zones.len() as u64)?;
        draw_in(zones[position as usize], draw)
    });
    of_near.chain(anywhere).collect()
}

fn lot_of(lot: u64, draw: u64) -> u64 {
    let mut hasher = DefaultHasher::new();
    ("draw", lot, draw).hash(&mut hasher);
    hasher.finish()
}

fn cost(instance: &Instance, request: &SelectionRequest<'_>, now: Millis) -> f64 {
    let is_near = instance.listed.zone == request.topology.own_zone();
    let distance = if is_near { 0.0 } else { OTHER_ZONE };
    instance.utilization(now) + instance.slowness(now) + distance
}

/// Rendezvous rank of a back end for a key.
pub fn rank(key: u64, id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (key, id).hash(&mut hasher);
    hasher.finish()
}
