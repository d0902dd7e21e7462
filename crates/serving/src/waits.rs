//! How long phases take now, as the batching nodes told, and which shard of a service
//! an order goes to.

use crate::Millis;
use silversail_model::Shard;
use silversail_peer::{ShardWaits, RANKS};
use std::collections::hash_map::DefaultHasher;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

/// How long what a batching node told counts, in milliseconds.
const WAITS_LIFETIME: Millis = 1_500;
/// An order goes to a shard in another zone than that where it had better be made only
/// if its turn comes earlier there by this, in milliseconds: about half of a call, as an
/// order waits for a maker in its zone.
const FAR_STEP: u64 = 200;
/// The same for an order with little to move, which had better stay in its node's zone
/// only so that nodes that all know of the same short queue do not all go there.
const OTHER_ZONE_STEP: u64 = 60;

/// An order that is to be placed.
#[derive(Clone, Copy, Debug)]
pub struct OrderToPlace<'a> {
    /// Zone where it had better be made, as much has to be moved; empty for any.
    pub zone: &'a str,
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
pub struct WaitBook {
    zone: String,
    told: BTreeMap<Shard, (ShardWaits, Millis)>,
}

impl WaitBook {
    /// Nothing is known yet at a node in `zone`.
    pub fn new(zone: &str) -> Self {
        Self {
            zone: zone.to_owned(),
            told: BTreeMap::new(),
        }
    }

    /// Takes what a batching node told, unless something newer is known.
    pub fn take(&mut self, waits: ShardWaits, now: Millis) {
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

    fn backlog_ms(&self, shard: &Shard, rank: u8, now: Millis) -> Option<u64> {
        let (waits, at) = self.told.get(shard)?;
        let is_current = now.saturating_sub(*at) <= WAITS_LIFETIME;
        is_current.then(|| backlog_of(waits, rank))
    }

    /// When an order of a service that is given now by this node gets its turn: the
    /// nearest shard's time or, if that is less, the mean of the others, as such an order
    /// goes to one of them by lot. None where nothing is known.
    pub fn expected(&self, service: &str, rank: u8, now: Millis) -> Option<ExpectedWait> {
        let mut near: Option<ExpectedWait> = None;
        let mut far: Vec<ExpectedWait> = Vec::new();
        for (waits, _) in self.current(service, now) {
            let expected = ExpectedWait {
                backlog_ms: backlog_of(waits, rank),
                call_ms: u64::from(waits.call_ms),
            };
            match waits.shard.holds(&self.zone) {
                true => near = Some(expected),
                false => far.push(expected),
            }
        }
        let far = mean_of(&far).map(|mean| ExpectedWait {
            backlog_ms: mean.backlog_ms + OTHER_ZONE_STEP,
            ..mean
        });
        let known = near.into_iter().chain(far);
        known.min_by_key(|expected| expected.backlog_ms)
    }

    /// The shard of `shards` that an order goes to: the one in the zone where it had
    /// better be made, or, by lot, one other whose queue is shorter by more than it costs
    /// to go there. Of two choices by lot the better one spreads load about as well as the
    /// best of all, and orders of many nodes that know the same do not all go to one.
    pub fn choose<'a>(
        &self,
        shards: &[&'a Shard],
        order: &OrderToPlace,
        now: Millis,
    ) -> Option<&'a Shard> {
        let (wanted_zone, step) = match order.zone {
            "" => (self.zone.as_str(), OTHER_ZONE_STEP),
            zone => (zone, FAR_STEP),
        };
        let near = shards.iter().find(|shard| shard.holds(wanted_zone));
        let others: Vec<&&Shard> = shards
            .iter()
            .filter(|shard| !shard.holds(wanted_zone))
            .collect();
        let other = match others.is_empty() {
            true => None,
            false => Some(*others[drawn(order.lot, others.len())]),
        };
        let (Some(near), Some(other)) = (near.copied(), other) else {
            return near.copied().or(other);
        };
        let near_backlog = self.backlog_ms(near, order.rank, now);
        let other_backlog = self.backlog_ms(other, order.rank, now);
        match (near_backlog, other_backlog) {
            (Some(at_near), Some(at_other)) if at_near > at_other + step => Some(other),
            _ => Some(near),
        }
    }
}

fn backlog_of(waits: &ShardWaits, rank: u8) -> u64 {
    u64::from(waits.backlog_ms[usize::from(rank).min(RANKS - 1)])
}

fn mean_of(waits: &[ExpectedWait]) -> Option<ExpectedWait> {
    let count = waits.len() as u64;
    let sum = |part: fn(&ExpectedWait) -> u64| waits.iter().map(part).sum::<u64>();
    (count > 0).then(|| ExpectedWait {
        backlog_ms: sum(|one| one.backlog_ms) / count,
        call_ms: sum(|one| one.call_ms) / count,
    })
}

fn drawn(lot: u64, count: usize) -> usize {
    let mut hasher = DefaultHasher::new();
    lot.hash(&mut hasher);
    (hasher.finish() % count as u64) as usize
}
