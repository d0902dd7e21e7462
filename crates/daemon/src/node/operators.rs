//! Answers to operators.

use super::Node;
use crate::clock;
use crate::evacuation::{OrderCaller, ZoneOrder};
use crate::replica::{GroupStatus, ProposalOutcome};
use crate::rollout::{RolloutCaller, RolloutOutcome, RolloutRefused};
use crate::surface::operators::{
    GroupBody, LimitedBackend, OperatorReply, OperatorRequest, RestingBackend, StatusBody,
};
use serde_json::json;
use silversail_consensus::Millis;
use silversail_control::{ChangeOutcome, ChangeRequest, ControlCommand, EvacuationRevision};
use silversail_model::ResultCode;
use silversail_serving::notices::BackendNotices;
use stakker::{call, ret_some_do};
use std::sync::mpsc::SyncSender;
use std::time::Duration;

/// Longest wait for a change to be committed.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(6);

/// An operator at the product's own surface. Whether it still waits is not known there:
/// the surface's thread waits for it.
struct OperatorCaller(SyncSender<OperatorReply>);

impl OrderCaller for OperatorCaller {
    fn is_waiting(&self) -> bool {
        true
    }

    fn answer(self: Box<Self>, result: Result<EvacuationRevision, ResultCode>) {
        let reply = match result {
            Ok(revision) => OperatorReply::ok(&json!({ "revision": revision })),
            Err(code) => OperatorReply::refuse(code, zone_problem(code), json!({})),
        };
        // The operator's thread may have stopped waiting.
        let _ = self.0.try_send(reply);
    }
}

impl RolloutCaller for OperatorCaller {
    fn is_waiting(&self) -> bool {
        true
    }

    fn answer(self: Box<Self>, outcome: RolloutOutcome) {
        let reply = match outcome {
            Ok(number) => OperatorReply::ok(&json!({ "rollout": number })),
            Err(refused) => OperatorReply::refuse(refused.code, &refused.problem, json!({})),
        };
        // The operator's thread may have stopped waiting.
        let _ = self.0.try_send(reply);
    }
}

/// Why a node without a gateway takes no order of a rollout.
fn no_gateway() -> RolloutRefused {
    RolloutRefused {
        code: ResultCode::UnknownService,
        problem: "this node serves no services with versions".to_owned(),
    }
}

fn zone_problem(code: ResultCode) -> &'static str {
    match code {
        ResultCode::InvalidName => "a zone's name takes 1 to 128 letters, digits, '-', '_' and '.'",
        ResultCode::UnknownZone => "this node's settings name no such zone",
        _ => "no leader answered; send the order again",
    }
}

impl Node {
    pub(super) fn operator(&mut self, request: OperatorRequest, reply: SyncSender<OperatorReply>) {
        let answer = match request {
            OperatorRequest::Configuration => self.configuration(),
            OperatorRequest::History => self.history(),
            OperatorRequest::Status => OperatorReply::ok(&self.status()),
            OperatorRequest::Change(change) => {
                self.change(change, reply);
                return;
            }
            OperatorRequest::Rollouts { service } => self.rollouts(service.as_deref()),
            OperatorRequest::BeginRollout(order) => {
                let caller = Box::new(OperatorCaller(reply));
                match &self.actors.rollout {
                    Some(rollout) => call!([rollout], begin(order, caller)),
                    None => RolloutCaller::answer(caller, Err(no_gateway())),
                }
                return;
            }
            OperatorRequest::AbortRollout { service } => {
                let caller = Box::new(OperatorCaller(reply));
                match &self.actors.rollout {
                    Some(rollout) => call!([rollout], abort(service, caller)),
                    None => RolloutCaller::answer(caller, Err(no_gateway())),
                }
                return;
            }
            OperatorRequest::Quarantine => self.quarantine(),
            OperatorRequest::LiftQuarantine { fingerprint } => {
                self.lift_quarantine(fingerprint, reply);
                return;
            }
            OperatorRequest::Evacuate(order) => {
                self.evacuate(order, reply);
                return;
            }
        };
        // The operator's thread may have stopped waiting.
        let _ = reply.try_send(answer);
    }

    fn configuration(&self) -> OperatorReply {
        let now = self.clock.millis(clock::now());
        let state = self.state.borrow();
        let age = state.freshness.age(now);
        if !state.is_current(now, self.settings.timing.freshness_lease_ms) {
            let message = "this node can't confirm that its configuration is current";
            let details = json!({ "revision": state.configuration.revision(), "age_ms": age });
            return OperatorReply::refuse(ResultCode::NotCurrent, message, details);
        }
        OperatorReply::ok(&json!({
            "revision": state.configuration.revision(),
            "age_ms": age,
            "document": state.configuration.configuration().to_document(),
        }))
    }

    /// The latest rollouts, of all services or one, where a quorum confirmed them lately.
    fn rollouts(&self, service: Option<&str>) -> OperatorReply {
        let now = self.clock.millis(clock::now());
        let state = self.state.borrow();
        if !state.has_current_rollouts(now, self.settings.timing.freshness_lease_ms) {
            let message = "this node can't confirm that its rollouts are current";
            let details = json!({ "age_ms": state.rollouts_freshness.age(now) });
            return OperatorReply::refuse(ResultCode::NotCurrent, message, details);
        }
        let all = state.rollouts.iter().flat_map(|rollouts| rollouts.all());
        let wanted = all.filter(|one| service.is_none_or(|name| one.order.service == name));
        let rollouts: Vec<_> = wanted.collect();
        if let (Some(service), true) = (service, rollouts.is_empty()) {
            let message = format!("service '{service}' never had a rollout");
            return OperatorReply::refuse(ResultCode::NoRollout, &message, json!({}));
        }
        OperatorReply::ok(&json!({ "rollouts": rollouts }))
    }

    /// The latest changes; voters alone keep them.
    fn history(&self) -> OperatorReply {
        match self.actors.history() {
            Some(history) => OperatorReply::ok(&json!({ "changes": history })),
            None => OperatorReply::refuse(
                ResultCode::NotAVoter,
                "the history is kept by voters; ask one of them",
                json!({ "voters": self.directory.borrow().replicating() }),
            ),
        }
    }

    fn change(&mut self, change: ChangeRequest, reply: SyncSender<OperatorReply>) {
        let command = ControlCommand::Change(change).encode();
        let ret = ret_some_do!(move |outcome: ProposalOutcome| {
            let _ = reply.try_send(change_reply(outcome));
        });
        call!(
            [self.actors.control_proposer],
            propose(command, CHANGE_TIMEOUT, ret)
        );
    }

    fn evacuate(&self, order: ZoneOrder, reply: SyncSender<OperatorReply>) {
        let caller = Box::new(OperatorCaller(reply));
        match &self.actors.evacuation {
            Some(evacuation) => call!([evacuation], order(order, caller)),
            None => OrderCaller::answer(caller, Err(ResultCode::UnknownZone)),
        }
    }

    fn status(&self) -> StatusBody {
        let now = self.clock.millis(clock::now());
        let state = self.state.borrow();
        let groups = self
            .actors
            .statuses
            .iter()
            .map(|(group, status)| (group.to_string(), group_body(&status.borrow())))
            .collect();
        let backends = &state.configuration.configuration().backends;
        StatusBody {
            node: self.settings.node.0.clone(),
            incarnation: self.incarnation,
            serving: state.is_current(now, self.settings.timing.freshness_lease_ms),
            stopping: state.stopping,
            revision: state.configuration.revision(),
            configuration_age_ms: state.freshness.age(now),
            open_requests: self.metrics.open_requests.get(),
            queued_stages: self.metrics.queued_stages.get(),
            usable_nodes: state
                .view
                .usable_nodes()
                .map(|one| one.node.0.clone())
                .collect(),
            evacuated_zones: state
                .evacuations
                .iter()
                .flat_map(|held| held.zones().iter().cloned())
                .collect(),
            evacuations_revision: state.evacuations_revision(),
            rollouts: state
                .rollouts
                .iter()
                .flat_map(|held| held.all().cloned())
                .collect(),
            rollouts_revision: state.rollouts_revision(),
            rollout_permit: state.has_rollout_permit(now),
            leaving_machines: backends
                .values()
                .filter(|backend| state.is_leaving(&backend.address))
                .map(|backend| backend.address.clone())
                .collect(),
            resting_backends: self.resting_backends(now),
            leaving_backends: self
                .notices
                .iter()
                .flat_map(BackendNotices::draining)
                .collect(),
            limited_backends: self.limited_backends(),
            groups,
        }
    }

    fn limited_backends(&self) -> Vec<LimitedBackend> {
        let limited = self.notices.iter().flat_map(BackendNotices::limited);
        limited
            .map(|(backend, limit)| LimitedBackend {
                backend,
                per_second: limit.requests_per_second(),
            })
            .collect()
    }

    fn resting_backends(&self, now: Millis) -> Vec<RestingBackend> {
        let resting = self.notices.iter().flat_map(|one| one.in_backoff(now));
        resting
            .map(|(backend, for_ms)| RestingBackend { backend, for_ms })
            .collect()
    }
}

fn group_body(status: &GroupStatus) -> GroupBody {
    GroupBody {
        formed: status.formed,
        is_leader: status.is_leader,
        term: status.term,
        leader: status.leader.clone(),
        commit_index: status.commit_index,
        replica: status.report.clone(),
    }
}

fn change_reply(outcome: ProposalOutcome) -> OperatorReply {
    let outcome = match outcome {
        ProposalOutcome::Applied(bytes) => postcard::from_bytes(&bytes).ok(),
        ProposalOutcome::Unavailable => None,
    };
    match outcome {
        Some(ChangeOutcome::Accepted { revision }) => {
            OperatorReply::ok(&json!({ "revision": revision }))
        }
        Some(ChangeOutcome::Conflict { current }) => OperatorReply::refuse(
            ResultCode::RevisionConflict,
            "another change was accepted on the base revision",
            json!({ "current_revision": current }),
        ),
        Some(ChangeOutcome::Invalid(errors)) => {
            let details: Vec<_> = errors
                .errors
                .iter()
                .map(|error| {
                    json!({
                        "code": error.code.number(),
                        "path": error.path,
                        "message": error.message,
                    })
                })
                .collect();
            OperatorReply::refuse(
                ResultCode::InvalidConfiguration,
                &errors.to_string(),
                json!({ "errors": details }),
            )
        }
        Some(ChangeOutcome::ChangeIdReused) => OperatorReply::refuse(
            ResultCode::ChangeIdReused,
            "the change identifier belongs to another change",
            json!({}),
        ),
        None => OperatorReply::refuse(
            ResultCode::NoLeader,
            "no leader answered; resend with the same change identifier",
            json!({}),
        ),
    }
}
