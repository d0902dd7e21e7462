//! Wait estimates of shards, as reported by their batching nodes, and the choice of the shard that
//! an order is sent to.

use crate::regions::transfer_ms;
use crate::Millis;
use silversail_model::{Distance, Shard, Topology};
use silversail_peer::{ShardWaitEstimates, PRIORITY_LEVELS};
use std::collections::hash_map::DefaultHasher;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

/// How long a reported estimate stays valid, in milliseconds.
const ESTIMATE_LIFETIME: Millis = 1_500;
/// Minimum gain in queue time for which an order leaves its preferred zone, in milliseconds. About
/// half of a call, as an order waits for a batch in its zone.
const OTHER_ZONE_MARGIN: u32 = 200;
/// Minimum gain in queue time, beyond network and transfer time, for which an order leaves its
/// region, in milliseconds. Covers the age of the estimates. Estimates are up to 100 ms old when
/// they are sent, and by half a round trip older on arrival.
const OTHER_REGION_MARGIN: u64 = 60;
/// Index of the random draw for the shard of another region; 0 and 1 are for the local region.
const OTHER_REGION_DRAW: u64 = 2;

/// An order for which a shard must be chosen.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Preferred zone, which avoids a large transfer; empty for no preference.
    pub zone: &'a str,
    /// Total bytes to transfer from or to the preferred zone.
    pub moved_bytes: u64,
    /// Priority of its request; 0 is the most urgent.
    pub priority: u8,
    /// Seed of the random draw of candidate shards.
    pub random_seed: u64,
}

/// Expected queue and execution time of an order of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpectedWait {
    /// Milliseconds until its call starts.
    pub backlog_ms: u64,
    /// Milliseconds from the start of its call to the end.
    pub call_ms: u64,
}

/// Latest wait estimates by shard.
pub struct ShardWaitTable {
    topology: Arc<Topology>,
    prefers_near: bool,
    estimates: BTreeMap<Shard, (ShardWaitEstimates, Millis)>,
}

impl ShardWaitTable {
    /// Creates an empty table for the node described by `topology`. Without `prefers_near`, all
    /// regions count as one.
    pub fn new(topology: Arc<Topology>, prefers_near: bool) -> Self {
        Self {
            topology,
            prefers_near,
            estimates: BTreeMap::new(),
        }
    }

    /// Records a reported estimate, unless a newer one is known.
    pub fn update(&mut self, estimate: ShardWaitEstimates, now: Millis) {
        let reported_at = now.saturating_sub(estimate.age_ms);
        let known = self.estimates.get(&estimate.shard);
        if known.is_none_or(|(_, at)| *at <= reported_at) {
            self.estimates
                .insert(estimate.shard.clone(), (estimate, reported_at));
        }
    }

    /// Valid estimates for the shards of a service, with their ages at `now`.
    pub fn of_service(&self, service: &str, now: Millis) -> Vec<ShardWaitEstimates> {
        let known = self.current(service, now);
        known
            .map(|(estimate, age_ms)| ShardWaitEstimates {
                age_ms,
                ..estimate.clone()
            })
            .collect()
    }

    fn current<'a>(
        &'a self,
        service: &'a str,
        now: Millis,
    ) -> impl Iterator<Item = (&'a ShardWaitEstimates, Millis)> {
        let estimates = self.estimates.values();
        estimates
            .filter(move |(estimate, _)| estimate.shard.service == service)
            .map(move |(estimate, at)| (estimate, now.saturating_sub(*at)))
            .filter(|(_, age)| *age <= ESTIMATE_LIFETIME)
    }

    fn queue_ms(&self, shard: &Shard, now: Millis) -> Option<u32> {
        let (estimate, at) = self.estimates.get(shard)?;
        let is_current = now.saturating_sub(*at) <= ESTIMATE_LIFETIME;
        is_current.then_some(estimate.queue_ms)
    }

    /// Expected wait of an order that is submitted now: the mean over the shards that random
    /// placement would choose. None without valid estimates.
    pub fn expected(&self, service: &str, priority: u8, now: Millis) -> Option<ExpectedWait> {
        let known = self.current(service, now).map(|(estimate, _)| estimate);
        let local_zone = self.topology.local_zone();
        let (near, far): (Vec<_>, Vec<_>) =
            known.partition(|estimate| self.is_near(&estimate.shard, local_zone));
        if far.is_empty() {
            return mean_wait(&near, priority, 0);
        }
        let network_ms = self.topology.round_trip_ms(Distance::OtherRegion) as u64;
        if near.is_empty() {
            return mean_wait(&far, priority, network_ms);
        }
        let margin = self.leaving_region_ms(0);
        let mut expected_waits = Vec::new();
        for in_region in shorter_of_pairs(&near) {
            for elsewhere in &far {
                let leaves = u64::from(elsewhere.queue_ms) + margin < u64::from(in_region.queue_ms);
                expected_waits.push(match leaves {
                    true => wait_at(elsewhere, priority, network_ms),
                    false => wait_at(in_region, priority, 0),
                });
            }
        }
        mean(&expected_waits)
    }

    /// Whether a shard is in the region of a zone, as far as the regions are known.
    fn is_near(&self, shard: &Shard, zone: &str) -> bool {
        !self.prefers_near || shard.distance(zone, &self.topology) != Distance::OtherRegion
    }

    /// Gain in queue time for which an order leaves its region, in milliseconds, if `moved_bytes`
    /// must be transferred.
    fn leaving_region_ms(&self, moved_bytes: u64) -> u64 {
        let network_ms = self.topology.round_trip_ms(Distance::OtherRegion);
        (network_ms + transfer_ms(moved_bytes)) as u64 + OTHER_REGION_MARGIN
    }

    /// Chooses the shard for an order: one of its preferred region, or a randomly drawn one of
    /// another region if the gain in queue time exceeds the cost of leaving. None if `shards` is
    /// empty.
    pub fn choose<'a>(
        &self,
        shards: &[&'a Shard],
        order: &PlacementRequest,
        now: Millis,
    ) -> Option<&'a Shard> {
        let preferred_zone = match order.zone {
            "" => self.topology.local_zone(),
            zone => zone,
        };
        let (near, far): (Vec<&Shard>, Vec<&Shard>) = shards
            .iter()
            .partition(|shard| self.is_near(shard, preferred_zone));
        let Some(in_region) = self.choose_in_region(&near, preferred_zone, order, now) else {
            return self.choose_in_region(&far, preferred_zone, order, now);
        };
        let elsewhere = draw_shard(&far, order.random_seed, OTHER_REGION_DRAW);
        // An order with a preferred zone also loses that preference in another region.
        let zone_margin = match order.zone {
            "" => 0,
            _ => u64::from(OTHER_ZONE_MARGIN),
        };
        let margin = zone_margin + self.leaving_region_ms(order.moved_bytes);
        let is_sooner = |far: &&Shard| self.is_sooner(far, in_region, margin, now);
        Some(elsewhere.filter(is_sooner).unwrap_or(in_region))
    }

    /// Whether the queue of `shard` is shorter than that of `other` by more than `margin`
    /// milliseconds; false unless both are known.
    fn is_sooner(&self, shard: &Shard, other: &Shard, margin: u64, now: Millis) -> bool {
        let queues = (self.queue_ms(shard, now), self.queue_ms(other, now));
        matches!(queues, (Some(here), Some(there)) if u64::from(there) > u64::from(here) + margin)
    }

    /// Chooses a shard within one region.
    ///
    /// An order with a preferred zone goes there, unless the queue of one randomly drawn other
    /// shard is shorter by more than the margin. Any other order goes to the shorter of two
    /// randomly drawn queues (power of two choices), so that nodes with the same estimates do not
    /// all choose the same shard.
    fn choose_in_region<'a>(
        &self,
        shards: &[&'a Shard],
        preferred_zone: &str,
        order: &PlacementRequest,
        now: Millis,
    ) -> Option<&'a Shard> {
        let near = shards
            .iter()
            .find(|shard| shard.contains_zone(preferred_zone))
            .copied();
        let (first, margin) = match (order.zone, near) {
            ("", _) | (_, None) => (draw_shard(shards, order.random_seed, 0), 0),
            (_, near) => (near, OTHER_ZONE_MARGIN),
        };
        let first = first?;
        let others = shards.iter().copied().filter(|shard| *shard != first);
        let others: Vec<&Shard> = others.collect();
        let Some(other) = draw_shard(&others, order.random_seed, 1) else {
            return Some(first);
        };
        match (self.queue_ms(first, now), self.queue_ms(other, now)) {
            (Some(at_first), Some(at_other)) if at_first > at_other + margin => Some(other),
            (Some(_), _) => Some(first),
            // Without an estimate, the nearest shard is used and will report one.
            (None, _) => near.or(Some(first)),
        }
    }
}

/// The shorter queue of each ordered pair of shards: the distribution of the power of two choices.
fn shorter_of_pairs<'a>(known: &[&'a ShardWaitEstimates]) -> Vec<&'a ShardWaitEstimates> {
    if let [only] = known {
        return vec![only];
    }
    let pairs = known
        .iter()
        .flat_map(|first| known.iter().map(move |second| (*first, *second)));
    pairs
        .filter(|(first, second)| first.shard != second.shard)
        .map(|(first, second)| match first.queue_ms > second.queue_ms {
            true => second,
            false => first,
        })
        .collect()
}

/// The wait at a shard with `network_ms` added to the queue time.
fn wait_at(estimate: &ShardWaitEstimates, priority: u8, network_ms: u64) -> ExpectedWait {
    ExpectedWait {
        backlog_ms: backlog_ms_at(estimate, priority) + network_ms,
        call_ms: u64::from(estimate.call_ms),
    }
}

fn mean_wait(known: &[&ShardWaitEstimates], priority: u8, network_ms: u64) -> Option<ExpectedWait> {
    let expected_waits: Vec<ExpectedWait> = known
        .iter()
        .map(|estimate| wait_at(estimate, priority, network_ms))
        .collect();
    mean(&expected_waits)
}

fn mean(expected_waits: &[ExpectedWait]) -> Option<ExpectedWait> {
    let count = expected_waits.len() as u64;
    let backlog_ms = expected_waits
        .iter()
        .map(|expected| expected.backlog_ms)
        .sum::<u64>();
    let call_ms = expected_waits
        .iter()
        .map(|expected| expected.call_ms)
        .sum::<u64>();
    (count > 0).then(|| ExpectedWait {
        backlog_ms: backlog_ms / count,
        call_ms: call_ms / count,
    })
}

fn backlog_ms_at(estimate: &ShardWaitEstimates, priority: u8) -> u64 {
    u64::from(estimate.backlog_ms[usize::from(priority).min(PRIORITY_LEVELS - 1)])
}

/// The shard that draw number `draw` of a random value selects; none if `shards` is empty.
fn draw_shard<'a>(shards: &[&'a Shard], random_seed: u64, draw: u64) -> Option<&'a Shard> {
    let mut hasher = DefaultHasher::new();
    (random_seed, draw).hash(&mut hasher);
    let position = hasher.finish().checked_rem(shards.len() as u64)?;
    shards.get(position as usize).copied()
}
