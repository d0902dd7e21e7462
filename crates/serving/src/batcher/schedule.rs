//! Scheduling: which waiting orders go into the next calls, and to which back ends.

use super::backend_health::call_ms;
use super::order::Order;
use super::{BatchCall, Batcher, OrderKey};
use crate::instances::InstanceTable;
use crate::rollouts::VersionChoice;
use crate::Millis;
use silversail_model::traffic::BatchSpec;
use silversail_model::Shard;
use std::collections::BTreeMap;

/// How much later an order is due at a back end outside of its preferred zone, in milliseconds.
const OTHER_ZONE_DELAY: Millis = 300;
/// Interval of the removal of expired entries, in milliseconds.
const HOUSEKEEPING_EVERY: Millis = 20;

impl Batcher {
    /// Schedules calls for the waiting orders; the caller sends them.
    pub fn next_calls(&mut self, table: &InstanceTable, now: Millis) -> Vec<BatchCall> {
        if now >= self.next_housekeeping_at {
            self.next_housekeeping_at = now + HOUSEKEEPING_EVERY;
            self.result_memory.expire(now);
            self.backends.forget_healthy(table, now);
        }
        let shards: Vec<Shard> = self.shards.keys().cloned().collect();
        let mut calls = Vec::new();
        for shard in shards {
            self.calls_of_shard(&shard, table, now, &mut calls);
        }
        calls
    }

    fn calls_of_shard(
        &mut self,
        shard: &Shard,
        table: &InstanceTable,
        now: Millis,
        calls: &mut Vec<BatchCall>,
    ) {
        let Some(spec) = self.specs.get(&shard.service).cloned() else {
            return;
        };
        // Most messages to an owner leave nothing waiting, so this exit is cheap.
        if !self.waiting_of(shard).any(Order::is_waiting) {
            return;
        }
        let mut idle_by_version = self.idle_by_version(shard, &spec, table, now);
        while !idle_by_version.is_empty() && self.waiting_of(shard).any(Order::is_waiting) {
            let idle = self.idle_for_next_call(shard, &mut idle_by_version, table, now);
            if idle.is_empty() {
                return;
            }
            let waiting = self.by_urgency(shard, "", now);
            let Some(backend) = self.take_idle_backend(idle, &waiting, table, now) else {
                // Orders that no candidate may process, because of their inputs or regions, must
                // not block the other back ends.
                if idle_by_version.exclude_candidate() {
                    continue;
                }
                return;
            };
            // Divides the waiting orders evenly over the idle back ends, without splitting
            // orders.
            let share = waiting.len().div_ceil(idle.len() + 1);
            let zone = zone_of(&backend, table);
            let mut near_first = self.by_urgency(shard, zone, now);
            near_first.retain(|key| self.may_run_in(key, zone, now));
            let taken = self.fill(&backend, &spec, &near_first, share, now);
            if taken.is_empty() {
                continue;
            }
            let taken_pieces = taken.len();
            calls.push(self.start(shard, &backend, taken, table, now));
            let is_limited = idle.is_empty() && self.waiting_of(shard).any(Order::is_waiting);
            self.record_call_size(shard, taken_pieces, is_limited);
        }
    }

    fn may_run_in(&self, key: &OrderKey, zone: &str, now: Millis) -> bool {
        let order = &self.orders[key];
        if !self.allows(&order.work.regions, zone) {
            return false;
        }
        let spec = &self.specs[&order.work.shard.service];
        let call_duration = call_ms(spec, order.waiting_pieces()) as Millis;
        order.may_run_in(zone, call_duration, now)
    }

    /// Takes the idle back end for the most urgent order that one may process: one in its
    /// preferred zone, else the one with the most free result memory.
    fn take_idle_backend(
        &self,
        idle: &mut Vec<String>,
        waiting: &[OrderKey],
        table: &InstanceTable,
        now: Millis,
    ) -> Option<String> {
        for key in waiting {
            let order = &self.orders[key];
            let is_near = |backend: &String| {
                let zone = zone_of(backend, table);
                !order.prefers_other_zone_than(zone) && self.allows(&order.work.regions, zone)
            };
            let near = idle.iter().rposition(is_near);
            if let Some(position) = near {
                return Some(idle.remove(position));
            }
            let any = idle
                .iter()
                .rposition(|backend| self.may_run_in(key, zone_of(backend, table), now));
            if let Some(position) = any {
                return Some(idle.remove(position));
            }
        }
        None
    }

    /// Orders with waiting pieces, the most urgent first. For a back end in `zone`, orders that
    /// prefer another zone count as less urgent.
    fn by_urgency(&self, shard: &Shard, zone: &str, now: Millis) -> Vec<OrderKey> {
        let spec = &self.specs[&shard.service];
        let mut waiting: Vec<(Millis, &OrderKey)> = self
            .orders
            .iter()
            .filter(|(_, order)| order.work.shard == *shard && order.is_waiting())
            .map(|(key, order)| {
                let is_far = !zone.is_empty() && order.prefers_other_zone_than(zone);
                let far = if is_far { OTHER_ZONE_DELAY } else { 0 };
                let call_duration = call_ms(spec, order.waiting_pieces()) as Millis;
                (order.sort_key(now + call_duration) + far, key)
            })
            .collect();
        waiting.sort();
        waiting.into_iter().map(|(_, key)| key.clone()).collect()
    }

    /// Back ends of the selected versions with a free slot; the one with the most free result
    /// memory is last.
    pub(super) fn idle_backends(
        &self,
        shard: &Shard,
        versions: VersionChoice,
        spec: &BatchSpec,
        table: &InstanceTable,
        now: Millis,
    ) -> Vec<String> {
        let mut calls_at: BTreeMap<&str, usize> = BTreeMap::new();
        for call in self.calls.values() {
            *calls_at.entry(&call.instance).or_default() += 1;
        }
        let slots = spec.slots.max(1) as usize;
        let has_place = |id: &&str| calls_at.get(*id).is_none_or(|busy| *busy < slots);
        let usable = self
            .backends
            .usable(shard, versions, table, now)
            .into_iter();
        let mut idle: Vec<String> = usable.filter(has_place).map(str::to_owned).collect();
        idle.sort_by_cached_key(|id| std::cmp::Reverse(self.result_memory.used_bytes(id)));
        idle
    }

    /// Selects the pieces of one call to a back end, from at most `share` of the `orders`.
    /// Orders are kept whole where possible, so that their results are at one back end at one
    /// time.
    fn fill(
        &self,
        backend: &str,
        spec: &BatchSpec,
        orders: &[OrderKey],
        share: usize,
        now: Millis,
    ) -> Vec<(OrderKey, usize)> {
        let usable = (spec.room_bytes as f64 * self.policy.room_share) as u64;
        let mut free_bytes = usable.saturating_sub(self.result_memory.used_bytes(backend));
        let mut taken: Vec<(OrderKey, usize)> = Vec::new();
        let mut taken_orders = 0;
        for key in orders {
            let free_places = spec.pieces - taken.len();
            if taken_orders == share || free_places == 0 {
                break;
            }
            let order = &self.orders[key];
            let fitting = order.fitting(free_places, free_bytes);
            let is_complete = fitting == order.waiting_pieces();
            let may_split = taken.is_empty() && order.may_split(fitting, spec.pieces, now);
            if fitting == 0 || !(is_complete || may_split) {
                continue;
            }
            for (index, piece) in order.waiting().take(fitting) {
                free_bytes -= piece.result_bytes;
                taken.push((key.clone(), index));
            }
            taken_orders += 1;
        }
        taken
    }
}

fn zone_of<'a>(backend: &str, table: &'a InstanceTable) -> &'a str {
    table
        .get(backend)
        .map_or("", |instance| instance.listed.zone.as_str())
}
