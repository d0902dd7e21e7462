//! Requests for which all engines rest, or have limits and this node no permit: they wait for the
//! first one that may have them in time, or are refused at once and told when one may.

use super::request::ActiveRequest;
use super::sending::lot_of;
use super::{Action, Dispatcher, RequestNumber};
use crate::instances::{Instance, InstanceId};
use crate::selection::rank;
use crate::Millis;
use silversail_decisions::Event;
use silversail_model::ResultCode;

/// The latest return that a caller is told, in milliseconds: of an engine that asks for more
/// it is not known whether it will be there.
const LATEST_RETURN: Millis = 3_600_000;

/// The first engine that is back.
struct FirstBack<'a> {
    at: Millis,
    /// Time, then lot.
    order: (Millis, u64),
    engine: &'a Instance,
}

impl Dispatcher {
    /// No engine may get a request now. Where all wait for nothing but the end of rests, and one
    /// is back in time, it waits too: what phases have made for it is not thrown away. No more
    /// wait than the engines run at once when they are back.
    pub(super) fn without_engine(&mut self, number: RequestNumber, now: Millis) -> Vec<Action> {
        let Some(request) = self.requests.get(&number) else {
            return Vec::new();
        };
        let untried = |one: &Instance| !one.is_ejected(now);
        let Some(first) = self.first_back(request, untried, now) else {
            let code = request.no_backend_code();
            return self.give_up(number, code, now);
        };
        let back_at = first.at;
        let waits_for = first
            .engine
            .is_limited()
            .then(|| first.engine.listed.id.clone());
        let may_wait = request.failed_with.is_none() && self.has_waiting_place(request, now);
        if !may_wait || self.is_too_late(request, back_at) {
            return self.refuse_until(number, back_at, now);
        }
        self.wait_until(number, back_at, waits_for, now);
        Vec::new()
    }

    fn wait_until(
        &mut self,
        number: RequestNumber,
        back_at: Millis,
        waits_for: Option<InstanceId>,
        now: Millis,
    ) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        request.waits_for = waits_for;
        if request.waits_until.replace(back_at).is_none() {
            self.log.record(Event::WaitsForRest {
                request: request.call.id.clone(),
                service: request.routed.service.clone(),
                for_ms: back_at.saturating_sub(now),
            });
        }
    }

    /// Refuses a request that no engine will take in time, and tells when one will be back.
    pub(super) fn refuse_until(
        &mut self,
        number: RequestNumber,
        back_at: Millis,
        now: Millis,
    ) -> Vec<Action> {
        let back_in = back_at.saturating_sub(now);
        let told = (back_in <= LATEST_RETURN).then_some(back_in);
        let request = self.requests.get(&number);
        let rests = |one: &Instance| one.is_resting(now) || one.is_probe_pending(now);
        let code = match request.is_some_and(|request| self.engines_of(request).any(rests)) {
            true => ResultCode::BackendsResting,
            false => ResultCode::BackendsLimited,
        };
        self.end(number, code, told, now)
    }

    /// When an engine is back, where it is known at `now` that none takes the request in time as
    /// all rest.
    pub(super) fn too_late_back_at(&self, request: &ActiveRequest, now: Millis) -> Option<Millis> {
        let back_at = self.back_at(request, |_| true, now)?;
        self.is_too_late(request, back_at).then_some(back_at)
    }

    pub(super) fn is_too_late(&self, request: &ActiveRequest, back_at: Millis) -> bool {
        let first_part = self.admission.first_part_ms(&request.routed.route.name);
        back_at.saturating_add(first_part) > request.end
    }

    /// The engines that may have a request now or later.
    pub(super) fn engines_of<'a>(
        &'a self,
        request: &'a ActiveRequest,
    ) -> impl Iterator<Item = &'a Instance> {
        let engines = self.instances.of_service(&request.routed.service);
        engines.filter(|one| one.accepts_new_work() && request.allows(one, &self.topology))
    }

    /// When the first engine of those considered is back that may have a request; none where one
    /// may have it now, or none of them rests or has a limit.
    fn back_at(
        &self,
        request: &ActiveRequest,
        is_considered: impl Fn(&Instance) -> bool,
        now: Millis,
    ) -> Option<Millis> {
        let first = self.first_back(request, is_considered, now)?;
        Some(first.at)
    }

    /// The first engine of those considered that is back. Of several at the same time one by lot,
    /// so that what waits on all nodes is spread.
    fn first_back<'a>(
        &'a self,
        request: &'a ActiveRequest,
        is_considered: impl Fn(&Instance) -> bool,
        now: Millis,
    ) -> Option<FirstBack<'a>> {
        let lot = lot_of(&request.call.id, request.sends);
        let mut first: Option<FirstBack<'a>> = None;
        let mut waits_help = false;
        for engine in self.engines_of(request).filter(|one| is_considered(one)) {
            let at = engine.available_at(now)?;
            let is_waiting = engine.is_resting(now) || engine.is_probe_pending(now);
            waits_help |= is_waiting || engine.is_limited();
            let order = (at, rank(lot, &engine.listed.id));
            if first.as_ref().is_none_or(|known| order < known.order) {
                first = Some(FirstBack { at, order, engine });
            }
        }
        first.filter(|_| waits_help)
    }

    /// Whether a request that waits already goes on, or one more may wait.
    fn has_waiting_place(&self, request: &ActiveRequest, now: Millis) -> bool {
        if request.waits_until.is_some() {
            return true;
        }
        let at_rest = self.engines_of(request);
        let at_rest = at_rest.filter(|one| one.available_at(now).is_some());
        let places: usize = at_rest.map(|one| one.listed.slots.max(1) as usize).sum();
        let others = self.requests.values().filter(|other| {
            other.waits_until.is_some() && other.routed.service == request.routed.service
        });
        others.count() < places
    }

    /// Sends the requests that wait for engines, the most urgent first, where one is back.
    pub fn send_waiting(&mut self, now: Millis) -> Vec<Action> {
        let is_due = |one: &ActiveRequest| {
            let until = one.waits_until;
            until.is_some_and(|until| until <= now || self.engine_for(one, now).is_some())
        };
        let due = self.requests.iter().filter(|(_, one)| is_due(one));
        let mut due: Vec<(u8, Millis, RequestNumber)> = due
            .map(|(number, one)| (one.routed.priority, one.end, *number))
            .collect();
        due.sort_unstable();
        let numbers = due.into_iter().map(|(_, _, number)| number);
        let numbers: Vec<RequestNumber> = numbers.collect();
        numbers
            .into_iter()
            .flat_map(|number| self.send(number, now))
            .collect()
    }

    /// An engine said after it was chosen that it rests or leaves: another is chosen. Nothing was
    /// sent, so that it costs no send.
    pub(super) fn choose_anew(&mut self, number: RequestNumber, now: Millis) -> Vec<Action> {
        if let Some(request) = self.requests.get_mut(&number) {
            request.sends = request.sends.saturating_sub(1);
            request.tried.pop();
        }
        self.send(number, now)
    }
}
