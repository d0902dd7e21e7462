//! How long phases take now, as the batching nodes told, and which shard of a service
//! an order goes to.

use crate::regions::transfer_ms;
use crate::Millis;
use silversail_model::{Distance, Shard, Topology};
use silversail_peer::{ShardWaits, RANKS};
use std::collections::hash_map::DefaultHasher;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

/// How long what a batching node told counts, in milliseconds.
const WAITS_LIFETIME: Millis = 1_500;
/// An order goes to a shard in another zone than that where it had better be made only
/// if its turn comes earlier there by this, in milliseconds: about half of a call, as an
/// order waits for a maker in its zone.
const FAR_STEP: u32 = 200;
/// An order leaves its region only if its turn comes earlier elsewhere by this beyond what the
/// way costs, in milliseconds: what is known of queues is up to 100 ms old where it is told,
/// and half a round trip older from afar, and a turn comes with a call of 200 ms and more.
const FAR_MARGIN: u64 = 60;
/// The draw of a lot that names the shard of another region; 0 and 1 are those of the own one.
const FAR_DRAW: u64 = 2;

/// An order that is to be placed.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Zone where it had better be made, as much has to be moved; empty for any.
    pub zone: &'a str,
    /// Bytes that are moved in all, from or to that zone.
    pub moved_bytes: u64,
    /// Rank of its request.
    pub rank: u8,
    /// Spreads orders over the shards that could be better than the nearest one.
    pub lot: u64,
}

/// When an order of a service gets its turn and how long it is at work then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpectedWait {
    /// Milliseconds until its turn.
    pub backlog_ms: u64,
    /// Milliseconds from its turn to its end.
    pub call_ms: u64,
}

/// What the batching nodes told, by shard.
pub struct ShardWaitTable {
    topology: Arc<Topology>,
    prefers_near: bool,
    told: BTreeMap<Shard, (ShardWaits, Millis)>,
}

impl ShardWaitTable {
    /// Nothing is known yet at a node in `topology`. Without `prefers_near` the shards of all
    /// regions count as those of one.
    pub fn new(topology: Arc<Topology>, prefers_near: bool) -> Self {
        Self {
            topology,
            prefers_near,
            told: BTreeMap::new(),
        }
    }

    /// Takes what a batching node told, unless something newer is known.
    pub fn update(&mut self, waits: ShardWaits, now: Millis) {
        let told_at = now.saturating_sub(waits.age_ms);
        let known = self.told.get(&waits.shard);
        if known.is_none_or(|(_, at)| *at <= told_at) {
            self.told.insert(waits.shard.clone(), (waits, told_at));
        }
    }

    /// What is known of the shards of a service, with ages as of `now`.
    pub fn of_service(&self, service: &str, now: Millis) -> Vec<ShardWaits> {
        let known = self.current(service, now);
        known
            .map(|(waits, age_ms)| ShardWaits {
                age_ms,
                ..waits.clone()
            })
            .collect()
    }

    fn current<'a>(
        &'a self,
        service: &'a str,
        now: Millis,
    ) -> impl Iterator<Item = (&'a ShardWaits, Millis)> {
        let told = self.told.values();
        told.filter(move |(waits, _)| waits.shard.service == service)
            .map(move |(waits, at)| (waits, now.saturating_sub(*at)))
            .filter(|(_, age)| *age <= WAITS_LIFETIME)
    }

    fn queue_ms(&self, shard: &Shard, now: Millis) -> Option<u32> {
        let (waits, at) = self.told.get(shard)?;
        let is_current = now.saturating_sub(*at) <= WAITS_LIFETIME;
        is_current.then_some(waits.queue_ms)
    }

    /// When an order of a service that is given now gets its turn: the mean over the shards that
    /// orders go to by lot. None where nothing is known.
    pub fn expected(&self, service: &str, rank: u8, now: Millis) -> Option<ExpectedWait> {
        let known = self.current(service, now).map(|(waits, _)| waits);
        let own_zone = self.topology.own_zone();
        let (near, far): (Vec<_>, Vec<_>) =
            known.partition(|waits| self.is_near(&waits.shard, own_zone));
        if far.is_empty() {
            return mean_wait(&near, rank, 0);
        }
        let way = self.topology.round_trip_ms(Distance::OtherRegion) as u64;
        if near.is_empty() {
            return mean_wait(&far, rank, way);
        }
        let step = self.leaving_ms(0);
        let mut waits = Vec::new();
        for in_region in shorter_of_pairs(&near) {
            for elsewhere in &far {
                let leaves = u64::from(elsewhere.queue_ms) + step < u64::from(in_region.queue_ms);
                waits.push(match leaves {
                    true => wait_at(elsewhere, rank, way),
                    false => wait_at(in_region, rank, 0),
                });
            }
        }
        mean_of(&waits)
    }

    /// Whether a shard lies in the region of a zone, as far as that is known.
    fn is_near(&self, shard: &Shard, zone: &str) -> bool {
        !self.prefers_near || shard.distance(zone, &self.topology) != Distance::OtherRegion
    }

    /// By how much sooner an order must get its turn in another region to go there, in
    /// milliseconds, if so many bytes have to follow it.
    fn leaving_ms(&self, moved_bytes: u64) -> u64 {
        let way = self.topology.round_trip_ms(Distance::OtherRegion);
        (way + transfer_ms(moved_bytes)) as u64 + FAR_MARGIN
    }

    /// The shard of `shards` that an order goes to: one of the region where it had better be
    /// made, or, by lot, one of the others if its turn comes earlier there by more than it
    /// costs to leave.
    pub fn choose<'a>(
        &self,
        shards: &[&'a Shard],
        order: &PlacementRequest,
        now: Millis,
    ) -> Option<&'a Shard> {
        let wanted_zone = match order.zone {
            "" => self.topology.own_zone(),
            zone => zone,
        };
        let (near, far): (Vec<&Shard>, Vec<&Shard>) = shards
            .iter()
            .partition(|shard| self.is_near(shard, wanted_zone));
        let Some(in_region) = self.choose_in_region(&near, wanted_zone, order, now) else {
            return self.choose_in_region(&far, wanted_zone, order, now);
        };
        let elsewhere = drawn(&far, order.lot, FAR_DRAW);
        // What an order tied to a zone loses in any other one it loses afar too.
        let tie = match order.zone {
            "" => 0,
            _ => u64::from(FAR_STEP),
        };
        let step = tie + self.leaving_ms(order.moved_bytes);
        let is_sooner = |far: &&Shard| self.is_sooner(far, in_region, step, now);
        Some(elsewhere.filter(is_sooner).unwrap_or(in_region))
    }

    /// Whether the turn at one shard comes earlier than at another by more than `step`
    /// milliseconds, where both are known.
    fn is_sooner(&self, shard: &Shard, other: &Shard, step: u64, now: Millis) -> bool {
        let queues = (self.queue_ms(shard, now), self.queue_ms(other, now));
        matches!(queues, (Some(here), Some(there)) if u64::from(there) > u64::from(here) + step)
    }

    /// The shard among those of a region. An order with much to move goes to the zone
    /// where it had better be made, or, by lot, to one other whose queue is shorter by more
    /// than it costs to go there. Any other goes to the shorter of two queues by lot,
    /// which spreads load about as well as the shortest of all does, and nodes that all
    /// know the same do not all go to one.
    fn choose_in_region<'a>(
        &self,
        shards: &[&'a Shard],
        wanted_zone: &str,
        order: &PlacementRequest,
        now: Millis,
    ) -> Option<&'a Shard> {
        let near = shards
            .iter()
            .find(|shard| shard.holds(wanted_zone))
            .copied();
        let (first, step) = match (order.zone, near) {
            ("", _) | (_, None) => (drawn(shards, order.lot, 0), 0),
            (_, near) => (near, FAR_STEP),
        };
        let first = first?;
        let others = shards.iter().copied().filter(|shard| *shard != first);
        let others: Vec<&Shard> = others.collect();
        let Some(other) = drawn(&others, order.lot, 1) else {
            return Some(first);
        };
        match (self.queue_ms(first, now), self.queue_ms(other, now)) {
            (Some(at_first), Some(at_other)) if at_first > at_other + step => Some(other),
            (Some(_), _) => Some(first),
            // Nothing is known: the nearest one tells.
            (None, _) => near.or(Some(first)),
        }
    }
}

/// The shards that orders of a region go to which draw two of them.
fn shorter_of_pairs<'a>(known: &[&'a ShardWaits]) -> Vec<&'a ShardWaits> {
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

/// The wait at a shard to which an order takes `way` milliseconds more.
fn wait_at(waits: &ShardWaits, rank: u8, way: u64) -> ExpectedWait {
    ExpectedWait {
        backlog_ms: backlog_of(waits, rank) + way,
        call_ms: u64::from(waits.call_ms),
    }
}

fn mean_wait(known: &[&ShardWaits], rank: u8, way: u64) -> Option<ExpectedWait> {
    let waits: Vec<ExpectedWait> = known.iter().map(|one| wait_at(one, rank, way)).collect();
    mean_of(&waits)
}

fn mean_of(waits: &[ExpectedWait]) -> Option<ExpectedWait> {
    let count = waits.len() as u64;
    let backlog_ms = waits.iter().map(|one| one.backlog_ms).sum::<u64>();
    let call_ms = waits.iter().map(|one| one.call_ms).sum::<u64>();
    (count > 0).then(|| ExpectedWait {
        backlog_ms: backlog_ms / count,
        call_ms: call_ms / count,
    })
}

fn backlog_of(waits: &ShardWaits, rank: u8) -> u64 {
    u64::from(waits.backlog_ms[usize::from(rank).min(RANKS - 1)])
}

/// One of `shards` by the draw of so many of a lot.
fn drawn<'a>(shards: &[&'a Shard], lot: u64, draw: u64) -> Option<&'a Shard> {
    let mut hasher = DefaultHasher::new();
    (lot, draw).hash(&mut hasher);
    let position = hasher.finish().checked_rem(shards.len() as u64)?;
    shards.get(position as usize).copied()
}
