//! Forwarding of requests to peer nodes while this node does not reach the back ends.

use super::request::ActiveRequest;
use super::sending::send_hash;
use super::{Action, Dispatcher, NotRunReason, RequestNumber, SendOutcome, UnknownReason};
use crate::forwarding::{ForwardPlan, PeerNode, MAX_PEERS_TRIED};
use crate::instances::Instance;
use crate::Millis;
use silversail_decisions::Event;
use silversail_model::{NodeName, ResultCode};
use std::collections::BTreeSet;

/// Number of back ends that a request fails to reach before it is forwarded. A single one may have
/// crashed.
const UNREACHED_BEFORE_FORWARD: u32 = 2;
/// `Retry-After` if neither a back end nor a peer is reachable, in milliseconds: the time in which
/// this node notices that it reaches back ends again.
const RETRY_AFTER_CUT_OFF: u64 = 1_000;

/// A forwarded request that has not ended.
pub(super) struct ActiveForward {
    pub(super) node: NodeName,
    pub(super) began_at: Millis,
}

impl Dispatcher {
    /// Replaces the peers to which requests may be forwarded.
    pub fn set_peers(&mut self, peers: Vec<PeerNode>) {
        self.peers.set_peers(peers);
    }

    /// Whether a request should go to a peer rather than to a back end.
    pub(super) fn prefers_peer(&self, request: &ActiveRequest) -> bool {
        let has_failed = request.unreached >= UNREACHED_BEFORE_FORWARD;
        request.call.forwarded.is_none() && (self.reachability.is_cut_off() || has_failed)
    }

    /// Whether a request was forwarded here although this node reaches no back end itself.
    pub(super) fn is_stranded(&self, request: &ActiveRequest) -> bool {
        request.call.forwarded.is_some() && self.reachability.is_cut_off()
    }

    /// Forwards a request to a peer; `None` if there is none for it.
    pub(super) fn forward(&mut self, number: RequestNumber, now: Millis) -> Option<Vec<Action>> {
        let request = self.requests.get(&number)?;
        if request.forwarded_to.len() >= MAX_PEERS_TRIED {
            return None;
        }
        let excluded = self.excluded_peers(request, now);
        let peer = self.peers.choose(
            &request.call.id,
            &excluded,
            &request.resolved_route.regions,
            &self.topology,
            now,
        )?;
        let plan = ForwardPlan {
            node: peer.node.clone(),
            address: peer.address.clone(),
            end: request.end,
            is_stream: request.resolved_route.route.kind.is_stream(),
            earlier_attempts: u32::from(request.failed_with.is_some()),
            min_version: self.configurations.propagated_version(now),
        };
        self.log.record(Event::Forwarded {
            request: request.call.id.clone(),
            to: plan.node.0.clone(),
            is_cut_off: self.reachability.is_cut_off(),
            unreached: request.unreached,
            remaining_ms: request.end.saturating_sub(now),
        });
        self.peers.record_forwarded(&plan.node);
        let request = self.requests.get_mut(&number)?;
        request.forwarded_to.push(plan.node.clone());
        request.waits_until = None;
        request.waits_for = None;
        request.active_forward = Some(ActiveForward {
            node: plan.node.clone(),
            began_at: now,
        });
        let mut actions = request.drop_phases();
        self.forget_orders(&actions);
        actions.push(Action::Forward { number, plan });
        Some(actions)
    }

    /// Whether all engines for a request are brittle and other nodes are chosen to send to them.
    pub(super) fn is_left_to_other_nodes(&self, request: &ActiveRequest, now: Millis) -> bool {
        let mut engines = self.engines_of(request).peekable();
        engines.peek().is_some() && engines.all(|engine| engine.is_left_to_other_nodes(now))
    }

    /// Peers that the request is not forwarded to: those that were tried, and those that may not send
    /// to an engine that this node leaves to others.
    fn excluded_peers(&self, request: &ActiveRequest, now: Millis) -> Vec<NodeName> {
        let mut excluded = request.forwarded_to.clone();
        if !self.is_left_to_other_nodes(request, now) {
            return excluded;
        }
        let engines: Vec<&Instance> = self.engines_of(request).collect();
        let position = send_hash(&request.call.id, request.sends) as usize % engines.len();
        let senders: BTreeSet<&str> = self.instances.brittle_senders(engines[position]).collect();
        let others = self.peers.names();
        let others = others.filter(|peer| !senders.contains(peer.as_str()));
        excluded.extend(others.cloned());
        excluded
    }

    /// Forwards a request of a node that is cut off, or rejects it at once.
    pub(super) fn forward_or_reject(&mut self, number: RequestNumber, now: Millis) -> Vec<Action> {
        match self.forward(number, now) {
            Some(actions) => actions,
            None => self.reject_cut_off(number, now),
        }
    }

    /// Rejects a request that neither this node nor a peer can serve.
    pub(super) fn reject_cut_off(&mut self, number: RequestNumber, now: Millis) -> Vec<Action> {
        let code = ResultCode::NoBackend;
        self.end(number, code, Some(RETRY_AFTER_CUT_OFF), now)
    }

    /// Continues a request with the outcome of its forwarding. Only a request that the peer did not
    /// get or did not run is forwarded again: otherwise the peer may have used all of its attempts.
    pub(super) fn forward_ended(
        &mut self,
        number: RequestNumber,
        forward: &ActiveForward,
        outcome: SendOutcome,
        now: Millis,
    ) -> Vec<Action> {
        self.peers.record_ended(&forward.node);
        let (what, reason) = match outcome {
            SendOutcome::Delivered { status, end } => {
                return self.delivered(number, forward.node.as_str(), status, end, now);
            }
            SendOutcome::NotRun(reason) => {
                if reason == NotRunReason::Unreachable {
                    self.peers.record_unreachable(&forward.node, now);
                }
                self.log_forward_failed(number, forward, "not_run", &format!("{reason:?}"), now);
                return self.forward_or_reject(number, now);
            }
            SendOutcome::Unknown(reason) => ("unknown", format!("{reason:?}")),
            SendOutcome::Failed { status } => ("failed", format!("status_{status}")),
        };
        self.log_forward_failed(number, forward, what, &reason, now);
        let is_idempotent = self.is_idempotent(number);
        let code = match outcome {
            SendOutcome::Unknown(UnknownReason::Deadline) if is_idempotent => {
                ResultCode::DeadlineMissed
            }
            SendOutcome::Unknown(UnknownReason::Deadline) => ResultCode::DeadlineWhileSent,
            _ if is_idempotent => ResultCode::BackendFailed,
            _ => ResultCode::AnswerLost,
        };
        self.give_up(number, code, now)
    }

    fn log_forward_failed(
        &self,
        number: RequestNumber,
        forward: &ActiveForward,
        outcome: &str,
        reason: &str,
        now: Millis,
    ) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        self.log.record(Event::ForwardFailed {
            request: request.call.id.clone(),
            to: forward.node.0.clone(),
            outcome: outcome.to_owned(),
            reason: reason.to_owned(),
            took_ms: now.saturating_sub(forward.began_at),
        });
    }
}
