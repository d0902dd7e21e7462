//! Handling of operators' requests.

use super::Node;
use crate::clock;
use crate::evacuation::{EvacuationCaller, EvacuationRequest};
use crate::replica::{GroupStatus, ProposalOutcome};
use crate::rollout::{RolloutCaller, RolloutOutcome, RolloutRejection};
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

/// Longest wait for a configuration change to be committed.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(6);

/// A client of the operators' API. Its disconnection is not detected, so it counts as waiting
/// until it is answered.
struct OperatorCaller(SyncSender<OperatorReply>);

impl EvacuationCaller for OperatorCaller {
    fn is_waiting(&self) -> bool {
        true
    }

    fn answer(self: Box<Self>, result: Result<EvacuationRevision, ResultCode>) {
        let reply = match result {
            Ok(revision) => OperatorReply::ok(&json!({ "revision": revision })),
            Err(code) => OperatorReply::error(code, zone_error_message(code), json!({})),
        };
        // The operator's thread may have timed out.
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
            Err(rejection) => OperatorReply::error(rejection.code, &rejection.problem, json!({})),
        };
        // The operator's thread may have timed out.
        let _ = self.0.try_send(reply);
    }
}

/// Rejection of rollout orders on a node without a gateway.
fn no_gateway_rejection() -> RolloutRejection {
    RolloutRejection {
        code: ResultCode::UnknownService,
        problem: "this node has no gateway, so it accepts no rollout orders".to_owned(),
    }
}

fn zone_error_message(code: ResultCode) -> &'static str {
    match code {
        ResultCode::InvalidName => {
            "the zone's name must have 1 to 128 characters out of letters, digits, '-', '_' and '.'"
        }
        ResultCode::UnknownZone => "this node's settings contain no such zone",
        _ => "the control group's leader did not answer in time; send the request again",
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
                    None => RolloutCaller::answer(caller, Err(no_gateway_rejection())),
                }
                return;
            }
            OperatorRequest::AbortRollout { service } => {
                let caller = Box::new(OperatorCaller(reply));
                match &self.actors.rollout {
                    Some(rollout) => call!([rollout], abort(service, caller)),
                    None => RolloutCaller::answer(caller, Err(no_gateway_rejection())),
                }
                return;
            }
            OperatorRequest::Quarantine => self.quarantine(),
            OperatorRequest::LiftQuarantine { fingerprint } => {
                self.lift_quarantine(fingerprint, reply);
                return;
            }
            OperatorRequest::Evacuate(evacuation) => {
                self.evacuate(evacuation, reply);
                return;
            }
        };
        // The operator's thread may have timed out.
        let _ = reply.try_send(answer);
    }

    fn configuration(&self) -> OperatorReply {
        let now = self.clock.millis(clock::now());
        let state = self.state.borrow();
        let age = state.freshness.age(now);
        if !state.has_current_configuration(now, self.settings.timing.freshness_lease_ms) {
            let message = "this node can't confirm that its configuration is current";
            let details = json!({ "revision": state.configuration.revision(), "age_ms": age });
            return OperatorReply::error(ResultCode::NotCurrent, message, details);
        }
        OperatorReply::ok(&json!({
            "revision": state.configuration.revision(),
            "age_ms": age,
            "document": state.configuration.configuration().to_document(),
        }))
    }

    /// The latest rollouts of all services or one, if a quorum confirmed them recently.
    fn rollouts(&self, service: Option<&str>) -> OperatorReply {
        let now = self.clock.millis(clock::now());
        let state = self.state.borrow();
        if !state.has_current_rollouts(now, self.settings.timing.freshness_lease_ms) {
            let message = "this node can't confirm that its rollouts are current";
            let details = json!({ "age_ms": state.rollouts_freshness.age(now) });
            return OperatorReply::error(ResultCode::NotCurrent, message, details);
        }
        let all = state.rollouts.iter().flat_map(|rollouts| rollouts.all());
        let matching =
            all.filter(|rollout| service.is_none_or(|name| rollout.order.service == name));
        let rollouts: Vec<_> = matching.collect();
        if let (Some(service), true) = (service, rollouts.is_empty()) {
            let message = format!("service '{service}' never had a rollout");
            return OperatorReply::error(ResultCode::NoRollout, &message, json!({}));
        }
        OperatorReply::ok(&json!({ "rollouts": rollouts }))
    }

    /// The latest configuration changes, which only voters keep.
    fn history(&self) -> OperatorReply {
        match self.actors.history() {
            Some(history) => OperatorReply::ok(&json!({ "changes": history })),
            None => OperatorReply::error(
                ResultCode::NotAVoter,
                "only voters keep the history; send the request to one of them",
                json!({ "voters": self.directory.borrow().replicating_nodes() }),
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

    fn evacuate(&self, request: EvacuationRequest, reply: SyncSender<OperatorReply>) {
        let caller = Box::new(OperatorCaller(reply));
        match &self.actors.evacuation {
            Some(evacuation) => call!([evacuation], submit(request, caller)),
            None => EvacuationCaller::answer(caller, Err(ResultCode::UnknownZone)),
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
            serving: state.has_current_configuration(now, self.settings.timing.freshness_lease_ms),
            stopping: state.stopping,
            revision: state.configuration.revision(),
            configuration_age_ms: state.freshness.age(now),
            open_requests: self.metrics.open_requests.get(),
            queued_stages: self.metrics.queued_stages.get(),
            usable_nodes: state
                .view
                .usable_nodes()
                .map(|usable_node| usable_node.node.0.clone())
                .collect(),
            evacuated_zones: state
                .evacuations
                .iter()
                .flat_map(|evacuations| evacuations.zones().iter().cloned())
                .collect(),
            evacuations_revision: state.evacuations_revision(),
            rollouts: state
                .rollouts
                .iter()
                .flat_map(|rollouts| rollouts.all().cloned())
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
        let resting = self
            .notices
            .iter()
            .flat_map(|notices| notices.in_backoff(now));
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
        Some(ChangeOutcome::Conflict { current }) => OperatorReply::error(
            ResultCode::RevisionConflict,
            "the base revision is not the current revision",
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
            OperatorReply::error(
                ResultCode::InvalidConfiguration,
                &errors.to_string(),
                json!({ "errors": details }),
            )
        }
        Some(ChangeOutcome::ChangeIdReused) => OperatorReply::error(
            ResultCode::ChangeIdReused,
            "the change identifier was used for another change",
            json!({}),
        ),
        None => OperatorReply::error(
            ResultCode::NoLeader,
            "the control group's leader did not answer in time; send the change again with the same change identifier",
            json!({}),
        ),
    }
}
