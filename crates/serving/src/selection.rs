//! Which back end gets a request.
//!
//! Requests that share the beginning of their prompt go to the same engine while
//! it is not much busier than the others: every node ranks the engines of a
//! service by the same hash of that beginning, so no node needs to ask another. Where
//! there are several regions, each names its choice, and [`crate::regions`] compares them.

use crate::cold::ColdUse;
use crate::instances::{Instance, InstanceTable};
use crate::popularity::shared_parts;
use crate::ports::PrefixPart;
use crate::regions::{by_region, cheapest, InputsAt, RegionAffinity, RegionChoice, SharedPrompt};
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
    pub shared_prompt: SharedPrompt,
    /// Inputs that the back end fetches.
    pub inputs: &'a [InputsAt],
    /// Back ends that were tried before.
    pub tried: &'a [String],
    /// How cold back ends are used.
    pub cold_use: ColdUse,
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
    let usable: Vec<&Instance> = table
        .of_service(request.service)
        .filter(|one| request.allows(one))
        .filter(|one| one.is_usable(now) && !request.tried.contains(&one.listed.id))
        .collect();
    let usable = bearing(table, usable, request.cold_use, now);
    let usable = if usable.is_empty() {
        bearing(table, returning(table, request, now), request.cold_use, now)
    } else {
        usable
    };
    // A candidate is never the last resort: the baseline is there.
    let usable = if usable.is_empty() && request.versions != VersionChoice::Candidate {
        let last = last_resort(table, request, now);
        bearing(table, last, request.cold_use, now)
    } else {
        usable
    };
    let regions = match request.region_affinity {
        RegionAffinity::Off => vec![usable],
        RegionAffinity::Always | RegionAffinity::Popular => by_region(&usable, request),
    };
    let choices: Vec<RegionChoice> = regions
        .into_iter()
        .filter_map(|of_region| choose_in_region(of_region, request, now))
        .collect();
    cheapest(&choices, request, now)
}

/// The back end among those of a region: the first by rank that is not much busier than the
/// others, or, for a prompt that nobody shares, the least busy one.
fn choose_in_region<'a>(
    usable: Vec<&'a Instance>,
    request: &SelectionRequest<'_>,
    now: Millis,
) -> Option<RegionChoice<'a>> {
    let least = usable
        .iter()
        .copied()
        .min_by(|left, right| cost(left, request, now).total_cmp(&cost(right, request, now)))?;
    let Some(affinity) = request.affinity else {
        return Some(RegionChoice {
            chosen: least,
            is_home: false,
        });
    };
    let mut ranked = usable;
    ranked.sort_by_key(|one| std::cmp::Reverse(rank(affinity, &one.listed.id)));
    let floor = least.utilization(now);
    let keeps = |one: &&Instance| {
        let utilization = one.utilization(now);
        utilization <= AFFINITY_UTILIZATION || utilization <= floor + AFFINITY_SLACK
    };
    let position = ranked.iter().position(keeps);
    Some(RegionChoice {
        chosen: position.map_or(least, |position| ranked[position]),
        is_home: position == Some(0),
    })
}

/// Those of the back ends that bear another request of this node.
fn bearing<'a>(
    table: &InstanceTable,
    mut instances: Vec<&'a Instance>,
    cold_use: ColdUse,
    now: Millis,
) -> Vec<&'a Instance> {
    let is_warm = |one: &&Instance| !table.is_limited(one, now);
    let has_warm = instances.iter().any(is_warm);
    match cold_use {
        ColdUse::Unlimited => {}
        ColdUse::LastResort if has_warm => instances.retain(is_warm),
        ColdUse::Limited | ColdUse::LastResort => {
            instances.retain(|one| table.bears_another(one, now));
        }
    }
    instances
}

/// Those whose rest is over and to which this node would come back a little later.
fn returning<'a>(
    table: &'a InstanceTable,
    request: &SelectionRequest<'_>,
    now: Millis,
) -> Vec<&'a Instance> {
    let of_service = table.of_service(request.service);
    let allowed = of_service.filter(|one| request.allows(one) && one.is_return_delayed(now));
    let untried = allowed.filter(|one| !request.tried.contains(&one.listed.id));
    untried.filter(|one| one.is_usable_at_last(now)).collect()
}

/// Where every back end failed or was tried: any that is not leaving, gone, resting or full.
fn last_resort<'a>(
    table: &'a InstanceTable,
    request: &SelectionRequest<'_>,
    now: Millis,
) -> Vec<&'a Instance> {
    let mut staying: Vec<&Instance> = table
        .of_service(request.service)
        .filter(|one| one.takes_work() && request.allows(one))
        .collect();
    let is_untried =
        |one: &&&Instance| one.may_be_tried_again(now) && !request.tried.contains(&one.listed.id);
    let untried: Vec<&Instance> = staying.iter().filter(is_untried).copied().collect();
    if !untried.is_empty() {
        return untried;
    }
    let usable: Vec<&Instance> = staying
        .iter()
        .copied()
        .filter(|one| one.is_usable(now))
        .collect();
    if !usable.is_empty() {
        return usable;
    }
    staying.retain(|one| one.is_usable_at_last(now));
    staying
}

fn cost(instance: &Instance, request: &SelectionRequest<'_>, now: Millis) -> f64 {
    let is_near = instance.listed.zone == request.topology.own_zone();
    let distance = if is_near { 0.0 } else { OTHER_ZONE };
    instance.utilization(now) + distance
}

/// Rendezvous rank of a back end for a key.
pub fn rank(key: u64, id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (key, id).hash(&mut hasher);
    hasher.finish()
}
