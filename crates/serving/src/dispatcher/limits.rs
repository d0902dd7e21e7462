//! Rate-limited engines: which permits this node needs, and which waiting requests will not get
//! one in time.

use super::request::ActiveRequest;
use super::sending::send_hash;
use super::{Action, Dispatcher, RequestNumber};
use crate::instances::{Instance, InstanceId};
use crate::selection::rendezvous_hash;
use crate::Millis;
use std::collections::BTreeMap;

impl Dispatcher {
    /// Number of requests that wait for a permit, by rate-limited engine.
    pub fn permits_wanted(&self) -> BTreeMap<InstanceId, u32> {
        let mut wanted = BTreeMap::new();
        if !self.instances.notices().has_limits() {
            return wanted;
        }
        let engines = self
            .requests
            .values()
            .filter_map(|request| request.waits_for.as_ref());
        for engine in engines {
            *wanted.entry(engine.clone()).or_default() += 1;
        }
        wanted
    }

    /// Asks for a permit of a rate-limited engine that is less busy than the `chosen` one, for
    /// the next request.
    pub(super) fn request_limited_permit(
        &self,
        request: &ActiveRequest,
        chosen: &Instance,
        now: Millis,
    ) {
        if !self.instances.notices().has_limits() {
            return;
        }
        let utilization = chosen.utilization(now);
        let is_less_busy = |engine: &&Instance| {
            engine.needs_only_permit(now) && engine.utilization(now) <= utilization
        };
        let hash = send_hash(&request.call.id, request.sends);
        let less_busy = self.engines_of(request).filter(is_less_busy);
        let preferred = less_busy.max_by_key(|engine| rendezvous_hash(hash, &engine.listed.id));
        if let Some(preferred) = preferred {
            preferred.request_permit(now);
        }
    }

    /// Rejects the requests that are not expected to get a permit in time. The most urgent ones
    /// get the first permits.
    pub fn reject_without_permit(&mut self, engine: &str, now: Millis) -> Vec<Action> {
        let waiting = self.requests.iter();
        let waiting = waiting.filter(|(_, request)| request.waits_for.as_deref() == Some(engine));
        let mut waiting: Vec<(u8, Millis, RequestNumber)> = waiting
            .map(|(number, request)| (request.resolved_route.priority, request.end, *number))
            .collect();
        waiting.sort_unstable();
        let Some(instance) = self.instances.get(engine) else {
            return Vec::new();
        };
        let mut place = 0;
        let mut too_late = Vec::new();
        for (_, _, number) in waiting {
            let Some(at) = instance.permit_expected_at(place + 1, now) else {
                break;
            };
            let request = &self.requests[&number];
            match self.is_too_late(request, at) {
                true => too_late.push((number, at)),
                false => place += 1,
            }
        }
        too_late
            .into_iter()
            .flat_map(|(number, at)| self.reject_until(number, at, now))
            .collect()
    }
}
