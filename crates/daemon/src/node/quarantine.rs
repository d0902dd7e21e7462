//! Operators' requests about the quarantine of requests that crash back ends.

use super::Node;
use crate::replica::ProposalOutcome;
use crate::surface::operators::OperatorReply;
use serde_json::{json, Value};
use silversail_control::ControlCommand;
use silversail_model::{RequestFingerprint, ResultCode};
use silversail_quarantine::{QuarantineCommand, QuarantineReply, RefusedRequest};
use stakker::{call, ret_some_do};
use std::sync::mpsc::SyncSender;
use std::time::Duration;

/// Longest wait for the release of a request to be committed.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(6);

impl Node {
    /// Lists the requests that this node refuses, with the evidence if it is a voter.
    pub(super) fn quarantine(&self) -> OperatorReply {
        let state = self.state.borrow();
        let Some(list) = &state.quarantine else {
            let message = "this node has not received the list of refused requests yet";
            return OperatorReply::error(ResultCode::NotCurrent, message, json!({}));
        };
        let control = self.actors.control_state().map(|state| state.borrow());
        let evidence = |fingerprint: &RequestFingerprint| {
            let control = control.as_ref()?;
            Some(evidence_json(
                control.quarantine.refused().get(fingerprint)?,
            ))
        };
        let refused = list.refused.iter().map(|fingerprint| {
            let mut entry = evidence(fingerprint).unwrap_or_else(|| json!({}));
            entry["fingerprint"] = json!(fingerprint.to_string());
            entry
        });
        let watched = list.watched.iter().map(ToString::to_string);
        OperatorReply::ok(&json!({
            "revision": list.revision,
            "refused": refused.collect::<Vec<Value>>(),
            "watched": watched.collect::<Vec<String>>(),
        }))
    }

    /// Releases a request from the quarantine and answers once this is committed.
    pub(super) fn lift_quarantine(
        &mut self,
        fingerprint: RequestFingerprint,
        reply: SyncSender<OperatorReply>,
    ) {
        let command = QuarantineCommand::Lift { fingerprint };
        let command = ControlCommand::Quarantine(command).encode();
        let ret = ret_some_do!(move |outcome: ProposalOutcome| {
            // The operator's thread may have timed out.
            let _ = reply.try_send(lift_reply(&fingerprint, outcome));
        });
        call!(
            [self.actors.control_proposer],
            propose(command, RELEASE_TIMEOUT, ret)
        );
    }
}

fn evidence_json(refused: &RefusedRequest) -> Value {
    let crashes = refused.crashes.iter();
    let crashes = crashes.map(|crash| json!({ "backend": crash.backend, "at_ms": crash.at_ms }));
    json!({
        "crashes": crashes.collect::<Vec<Value>>(),
        "since_ms": refused.since_ms,
        "until_ms": refused.until_ms,
    })
}

fn lift_reply(fingerprint: &RequestFingerprint, outcome: ProposalOutcome) -> OperatorReply {
    let reply = match outcome {
        ProposalOutcome::Applied(bytes) => postcard::from_bytes(&bytes).ok(),
        ProposalOutcome::Unavailable => None,
    };
    match reply {
        Some(QuarantineReply::Applied { .. }) => {
            OperatorReply::ok(&json!({ "fingerprint": fingerprint.to_string() }))
        }
        Some(QuarantineReply::NotRefused) => {
            let message = "no request with this fingerprint is refused";
            OperatorReply::error(ResultCode::NotQuarantined, message, json!({}))
        }
        None => {
            let message =
                "the control group's leader did not answer in time; send the request again";
            OperatorReply::error(ResultCode::NoLeader, message, json!({}))
        }
    }
}
