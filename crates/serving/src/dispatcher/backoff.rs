//! Requests without an available engine, because all are in back-off or this node lacks permits:
//! they wait for the first engine that is available in time, or are rejected at once with the time
//! at which it is available.

use super::request::ActiveRequest;
use super::sending::send_hash;
use super::{Action, Dispatcher, RequestNumber};
use crate::instances::{Instance, InstanceId};
use crate::selection::rendezvous_hash;
use crate::Millis;
use silversail_decisions::Event;
use silversail_model::ResultCode;

/// Maximum `Retry-After` in milliseconds: whether an engine is available after a longer
/// back-off is uncertain.
const MAX_RETRY_AFTER: Millis = 3_600_000;

/// The engine that is available first.
struct FirstAvailable<'a> {
    at: Millis,
    /// Time, then a hash as tie-breaker.
    order: (Millis, u64),
    engine: &'a Instance,
}

impl Dispatcher {
    /// Handles a request without an available engine. It waits if one becomes available in time,
    /// so that the results of its phases are not lost, and if no more requests wait than the
    /// engines have slots.
    pub(super) fn wait_or_reject(&mut self, number: RequestNumber, now: Millis) -> Vec<Action> {
        let Some(request) = self.requests.get(&number) else {
            return Vec::new();
        };
        let not_ejected = |engine: &Instance| !engine.is_ejected(now);
        let Some(first) = self.first_available(request, not_ejected, now) else {
            let code = request.no_backend_code();
            return self.give_up(number, code, now);
        };
        let available_at = first.at;
        let waits_for = first
            .engine
            .is_limited()
            .then(|| first.engine.listed.id.clone());
        let may_wait = request.failed_with.is_none() && self.may_wait_for_engine(request, now);
        if !may_wait || self.is_too_late(request, available_at) {
            return self.reject_until(number, available_at, now);
        }
        self.wait_until(number, available_at, waits_for, now);
        Vec::new()
    }

    fn wait_until(
        &mut self,
        number: RequestNumber,
        available_at: Millis,
        waits_for: Option<InstanceId>,
        now: Millis,
    ) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        request.waits_for = waits_for;
        if request.waits_until.replace(available_at).is_none() {
            self.log.record(Event::WaitsForRest {
                request: request.call.id.clone(),
                service: request.resolved_route.service.clone(),
                for_ms: available_at.saturating_sub(now),
            });
        }
    }

    /// Rejects a request that no engine will take in time, with the time at which the
    /// first engine is available.
    pub(super) fn reject_until(
        &mut self,
        number: RequestNumber,
        available_at: Millis,
        now: Millis,
    ) -> Vec<Action> {
        let available_in = available_at.saturating_sub(now);
        let retry_after = (available_in <= MAX_RETRY_AFTER).then_some(available_in);
        let request = self.requests.get(&number);
        let is_waiting =
            |engine: &Instance| engine.is_in_backoff(now) || engine.is_probe_pending(now);
        let code = match request.is_some_and(|request| self.engines_of(request).any(is_waiting)) {
            true => ResultCode::BackendsResting,
            false => ResultCode::BackendsLimited,
        };
        self.end(number, code, retry_after, now)
    }

    /// When an engine becomes available, if that is known to be too late for the request.
    pub(super) fn too_late_available_at(
        &self,
        request: &ActiveRequest,
        now: Millis,
    ) -> Option<Millis> {
        let available_at = self.available_at(request, |_| true, now)?;
        self.is_too_late(request, available_at)
            .then_some(available_at)
    }

    pub(super) fn is_too_late(&self, request: &ActiveRequest, available_at: Millis) -> bool {
        let time_to_first_byte = self
            .admission
            .time_to_first_byte_ms(&request.resolved_route.route.name);
        available_at.saturating_add(time_to_first_byte) > request.end
    }

    /// Engines that may get the request now or later.
    pub(super) fn engines_of<'a>(
        &'a self,
        request: &'a ActiveRequest,
    ) -> impl Iterator<Item = &'a Instance> {
        let engines = self.instances.of_service(&request.resolved_route.service);
        engines.filter(|engine| engine.accepts_new_work() && request.allows(engine, &self.topology))
    }

    /// When the first matching engine becomes available; none if one is available now, or none
    /// is in back-off or rate-limited.
    fn available_at(
        &self,
        request: &ActiveRequest,
        is_considered: impl Fn(&Instance) -> bool,
        now: Millis,
    ) -> Option<Millis> {
        let first = self.first_available(request, is_considered, now)?;
        Some(first.at)
    }

    /// The first matching engine to become available. Ties are broken by hash, to spread the
    /// requests of all nodes.
    fn first_available<'a>(
        &'a self,
        request: &'a ActiveRequest,
        is_considered: impl Fn(&Instance) -> bool,
        now: Millis,
    ) -> Option<FirstAvailable<'a>> {
        let hash = send_hash(&request.call.id, request.sends);
        let mut first: Option<FirstAvailable<'a>> = None;
        let mut waits_help = false;
        for engine in self
            .engines_of(request)
            .filter(|engine| is_considered(engine))
        {
            let at = engine.available_at(now)?;
            let is_waiting = engine.is_in_backoff(now) || engine.is_probe_pending(now);
            waits_help |= is_waiting || engine.is_limited() || engine.has_full_share(now);
            let order = (at, rendezvous_hash(hash, &engine.listed.id));
            if first.as_ref().is_none_or(|known| order < known.order) {
                first = Some(FirstAvailable { at, order, engine });
            }
        }
        first.filter(|_| waits_help)
    }

    /// Whether the request already waits, or one more may.
    fn may_wait_for_engine(&self, request: &ActiveRequest, now: Millis) -> bool {
        if request.waits_until.is_some() {
            return true;
        }
        let unavailable = self.engines_of(request);
        let unavailable = unavailable.filter(|engine| engine.available_at(now).is_some());
        let places: usize = unavailable
            .map(|engine| engine.listed.slots.max(1) as usize)
            .sum();
        let others = self.requests.values().filter(|other| {
            other.waits_until.is_some()
                && other.resolved_route.service == request.resolved_route.service
        });
        others.count() < places
    }

    /// Sends waiting requests for which an engine is available, the most urgent first.
    pub fn send_waiting(&mut self, now: Millis) -> Vec<Action> {
        let is_due = |request: &ActiveRequest| {
            let until = request.waits_until;
            until.is_some_and(|until| until <= now || self.engine_for(request, now).is_some())
        };
        let due = self.requests.iter().filter(|(_, request)| is_due(request));
        let mut due: Vec<(u8, Millis, RequestNumber)> = due
            .map(|(number, request)| (request.resolved_route.priority, request.end, *number))
            .collect();
        due.sort_unstable();
        let numbers = due.into_iter().map(|(_, _, number)| number);
        let numbers: Vec<RequestNumber> = numbers.collect();
        numbers
            .into_iter()
            .flat_map(|number| self.send(number, now))
            .collect()
    }

    /// Selects another engine after the selected one requested a back-off or reported
    /// that it is draining. Nothing was sent, so that no attempt is counted.
    pub(super) fn select_again(&mut self, number: RequestNumber, now: Millis) -> Vec<Action> {
        if let Some(request) = self.requests.get_mut(&number) {
            request.sends = request.sends.saturating_sub(1);
            request.tried.pop();
        }
        self.send(number, now)
    }
}
