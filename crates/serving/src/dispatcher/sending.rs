//! Sends: selection of an engine and its version, and counting for rollouts.

use super::request::{ActiveRequest, ActiveSend};
use super::{
    Action, Dispatcher, NotRunReason, RequestNumber, SendOutcome, SendPlan, UnknownReason,
};
use crate::instances::Instance;
use crate::rollouts::{CountedAnswer, VersionChoice, VersionRole};
use crate::selection::{select, SelectionRequest};
use crate::Millis;
use silversail_decisions::Event;
use silversail_model::{Distance, Topology};
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

/// Number of unreachable baseline back ends after which a request treats the whole baseline as
/// stopped, on a node whose permit has lapsed. A single one may have crashed.
const UNREACHED_UNTIL_STOPPED: u32 = 2;

impl Dispatcher {
    pub(super) fn send(&mut self, number: RequestNumber, now: Millis) -> Vec<Action> {
        let Some(request) = self.requests.get(&number) else {
            return Vec::new();
        };
        if let Some(code) = self.quarantine_code(request) {
            return self.give_up(number, code, now);
        }
        if self.is_stranded(request) {
            return self.reject_cut_off(number, now);
        }
        if self.prefers_peer(request) {
            let is_cut_off = self.reachability.is_cut_off();
            match self.forward(number, now) {
                Some(actions) => return actions,
                None if is_cut_off => return self.reject_cut_off(number, now),
                None => {}
            }
        }
        let Some(request) = self.requests.get(&number) else {
            return Vec::new();
        };
        let Some(instance) = self.engine_for(request, now) else {
            let is_left = self.is_left_to_other_nodes(request, now);
            let lacks_engine = is_left || request.unreached > 0;
            let may_forward = lacks_engine && request.call.forwarded.is_none();
            let forwarded = may_forward.then(|| self.forward(number, now)).flatten();
            return match forwarded {
                Some(actions) => actions,
                None if is_left => self.reject_cut_off(number, now),
                None => self.wait_or_reject(number, now),
            };
        };
        self.request_limited_permit(request, instance, now);
        let plan = plan_of(request, instance, &self.topology, now);
        self.log_sent(request, instance, plan.distance, now);
        let role = instance.role();
        let tokens = request.tokens();
        let route = &request.resolved_route.route.name;
        // A resumed stream is no new exposure of its version.
        let is_new = request.version.is_none();
        let counted = is_new
            .then(|| self.rollouts.record_send(&plan.service, route, role))
            .flatten();
        self.instances.record_sent(&plan.instance, tokens, now);
        if let Some(request) = self.requests.get_mut(&number) {
            request.sends += 1;
            request.waits_until = None;
            request.waits_for = None;
            request.tried.push(plan.instance.clone());
            request.active_send = Some(ActiveSend {
                instance: plan.instance.clone(),
                service: plan.service.clone(),
                version: plan.version.clone(),
                address: plan.address.clone(),
                began_at: now,
                counted,
            });
        }
        vec![Action::Send { number, plan }]
    }

    fn log_sent(
        &self,
        request: &ActiveRequest,
        instance: &Instance,
        distance: Distance,
        now: Millis,
    ) {
        let report = instance.report(now);
        self.log.record(Event::Sent {
            request: request.call.id.clone(),
            backend: instance.listed.id.clone(),
            version: instance.listed.version.clone(),
            send: request.sends + 1,
            in_flight: instance.in_flight,
            reported: report.map_or(0, |(load, _)| load.running + load.waiting),
            report_age_ms: report.map(|(_, age)| age),
            remaining_ms: request.end.saturating_sub(now),
            distance: distance.name().to_owned(),
        });
    }

    /// Selects the engine for a request. If no engine of the candidate is usable, the baseline
    /// gets the request.
    pub(super) fn engine_for(&self, request: &ActiveRequest, now: Millis) -> Option<&Instance> {
        let inputs = request.inputs_of_engine(&self.instances);
        let of_versions = |versions| {
            let selection = SelectionRequest {
                versions,
                ..request.selection(&self.topology, &inputs)
            };
            select(&self.instances, &selection, now)
        };
        match self.versions_for(request) {
            VersionChoice::Any => of_versions(VersionChoice::Any),
            VersionChoice::Candidate => {
                let candidate = of_versions(VersionChoice::Candidate);
                candidate.or_else(|| of_versions(VersionChoice::Baseline))
            }
            VersionChoice::Baseline if self.may_be_stopped(request, now) => {
                let candidate = of_versions(VersionChoice::Candidate);
                candidate.or_else(|| of_versions(VersionChoice::Any))
            }
            VersionChoice::Baseline => of_versions(VersionChoice::Baseline),
        }
    }

    /// Selects the versions for one send; each retry counts against the canary share again.
    fn versions_for(&self, request: &ActiveRequest) -> VersionChoice {
        if request.version.is_some() {
            return VersionChoice::Any;
        }
        let resolved_route = &request.resolved_route;
        let hash = || send_hash(&request.call.id, request.sends);
        match self
            .rollouts
            .choose(&resolved_route.service, &resolved_route.route.name, hash)
        {
            VersionChoice::Candidate if request.failed_at_candidate => VersionChoice::Baseline,
            choice => choice,
        }
    }

    /// Whether the baseline may have been stopped: the rollout may have completed without this
    /// node having been informed.
    fn may_be_stopped(&self, request: &ActiveRequest, now: Millis) -> bool {
        if self.rollouts.is_permitted() {
            return false;
        }
        let is_ready = |engine: &Instance| {
            let is_baseline = engine.role() == VersionRole::Baseline;
            let is_allowed = request.allows(engine, &self.topology);
            is_baseline && is_allowed && engine.accepts_new_work() && !engine.is_suspect(now)
        };
        let mut engines = self.instances.of_service(&request.resolved_route.service);
        request.unreached >= UNREACHED_UNTIL_STOPPED || !engines.any(is_ready)
    }

    /// Whether there is an engine that the request has not tried, including ejected ones.
    pub(super) fn has_untried(&self, request: &ActiveRequest) -> bool {
        let is_admitted = |engine: &Instance| {
            !request.failed_at_candidate || engine.role() != VersionRole::Candidate
        };
        let mut engines = self.instances.of_service(&request.resolved_route.service);
        engines.any(|engine| {
            engine.accepts_new_work()
                && is_admitted(engine)
                && request.allows(engine, &self.topology)
                && !request.tried.contains(&engine.listed.id)
        })
    }

    /// Counts the outcome of a send for its rollout.
    pub(super) fn count_for_rollout(
        &mut self,
        number: RequestNumber,
        active_send: &ActiveSend,
        outcome: SendOutcome,
        now: Millis,
    ) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        if outcome == SendOutcome::NotRun(NotRunReason::Unreachable) {
            request.unreached += 1;
        }
        let Some(counted) = active_send.counted else {
            return;
        };
        let is_delivered = matches!(outcome, SendOutcome::Delivered { .. });
        request.failed_at_candidate |= counted.is_to_candidate() && !is_delivered;
        let first_byte_at = request.head_at.unwrap_or(now);
        let Some(answer) = counted_answer(outcome, active_send.began_at, first_byte_at, now) else {
            return;
        };
        let service = &request.resolved_route.service;
        let route = &request.resolved_route.route.name;
        self.rollouts.record_answer(service, route, counted, answer);
    }
}

fn plan_of(
    request: &ActiveRequest,
    instance: &Instance,
    topology: &Topology,
    now: Millis,
) -> SendPlan {
    let route = &request.resolved_route.route;
    let listed = &instance.listed;
    SendPlan {
        instance: listed.id.clone(),
        service: listed.service.clone(),
        version: listed.version.clone(),
        address: listed.address.clone(),
        distance: topology.distance_to(&listed.zone),
        attributes: request.send_attributes(&listed.name, now),
        end: request.end,
        is_stream: route.kind.is_stream(),
        may_repeat: route.kind.is_idempotent() && request.sends + 1 < route.max_attempts,
    }
}

/// How an outcome counts for a version. Full or unreachable engines do not count: load and
/// crashes affect good versions too, and every node would count the same crash. The answer to
/// another request tells nothing about this one.
fn counted_answer(
    outcome: SendOutcome,
    began_at: Millis,
    first_byte_at: Millis,
    now: Millis,
) -> Option<CountedAnswer> {
    match outcome {
        SendOutcome::NotRun(_) | SendOutcome::Unknown(UnknownReason::Foreign) => None,
        SendOutcome::Delivered { status, end } if status < 500 && end.is_whole() => {
            Some(CountedAnswer::Good {
                time_to_first_byte_ms: first_byte_at.saturating_sub(began_at),
                response_time_ms: now.saturating_sub(began_at),
            })
        }
        SendOutcome::Delivered { .. } | SendOutcome::Unknown(_) | SendOutcome::Failed { .. } => {
            Some(CountedAnswer::Bad)
        }
    }
}

/// Hash of one send of a request, for random choices.
pub(super) fn send_hash(request: &str, sends: u32) -> u64 {
    let mut hasher = DefaultHasher::new();
    (request, sends).hash(&mut hasher);
    hasher.finish()
}
