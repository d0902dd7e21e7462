//! The actor's answers to the operator, the platform and callers who ask for
//! addresses.

use crate::evacuation::EvacuationCaller;
use crate::gateway::actor::GatewayActor;
use crate::gateway::entry_points::{choose_entry_points, EntryCaller};
use crate::gateway::event::{SurfaceReply, SurfaceRequest};
use crate::replica::ProposalOutcome;
use crate::rollout::{RolloutCaller, RolloutOutcome};
use silversail_consensus::Millis;
use silversail_control::{ControlCommand, EvacuationRevision, PublishedTraffic};
use silversail_model::topology::RegionFilter;
use silversail_model::ResultCode;
use stakker::{call, ret_some_to, CX};
use std::time::Duration;
use tokio::sync::oneshot;

/// Longest wait for a publication to be committed.
const PUBLISH_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Most addresses in an answer: no more are read.
const MOST_ENTRY_POINTS: usize = 64;

/// An operator at the surface of the platform.
struct SurfaceCaller(oneshot::Sender<SurfaceReply>);

impl EvacuationCaller for SurfaceCaller {
    fn is_waiting(&self) -> bool {
        !self.0.is_closed()
    }

    fn answer(self: Box<Self>, result: Result<EvacuationRevision, ResultCode>) {
        let reply = match result {
            Ok(revision) => SurfaceReply::ZoneOrdered(revision),
            Err(code) if code.http_status() == 503 => SurfaceReply::Unavailable(code),
            Err(code) => SurfaceReply::Refused(code),
        };
        // The operator may have left.
        let _ = self.0.send(reply);
    }
}

impl RolloutCaller for SurfaceCaller {
    fn is_waiting(&self) -> bool {
        !self.0.is_closed()
    }

    fn answer(self: Box<Self>, outcome: RolloutOutcome) {
        // The operator may have left.
        let _ = self.0.send(SurfaceReply::RolloutOrdered(outcome));
    }
}

impl GatewayActor {
    pub(super) fn surface(
        &mut self,
        cx: CX![],
        request: SurfaceRequest,
        reply: oneshot::Sender<SurfaceReply>,
        now: Millis,
    ) {
        let answer = match request {
            SurfaceRequest::Publish(published) => {
                self.publish(cx, *published, reply);
                return;
            }
            SurfaceRequest::Evacuate(order) => {
                let caller = Box::new(SurfaceCaller(reply));
                call!([self.setup.evacuation], submit(order, caller));
                return;
            }
            SurfaceRequest::BeginRollout(order) => {
                let caller = Box::new(SurfaceCaller(reply));
                call!([self.setup.rollout], begin(order, caller));
                return;
            }
            SurfaceRequest::ReadRollout { service } => self.read_rollout(&service, now),
            SurfaceRequest::ReadTraffic => self.read_traffic(now),
            SurfaceRequest::Readiness => self.readiness(),
            SurfaceRequest::EntryPoints(caller) => self.entry_points(&caller),
        };
        // Whoever asked may have left.
        let _ = reply.send(answer);
    }

    pub(super) fn publish(
        &mut self,
        cx: CX![],
        published: PublishedTraffic,
        reply: oneshot::Sender<SurfaceReply>,
    ) {
        // Which regions there are only the topology tells, not the document.
        let known = self.setup.topology.regions();
        if let Err(error) = published.traffic.check_regions(&known) {
            // Whoever asked may have left.
            let _ = reply.send(SurfaceReply::Invalid(error.to_string()));
            return;
        }
        let command = ControlCommand::Publish(published).encode();
        let ret = ret_some_to!([cx], publication_ended(reply) as (ProposalOutcome));
        call!(
            [self.setup.proposer],
            propose(command, PUBLISH_TIMEOUT, ret)
        );
    }

    pub(super) fn publication_ended(
        &mut self,
        _: CX![],
        reply: oneshot::Sender<SurfaceReply>,
        outcome: ProposalOutcome,
    ) {
        let published = match outcome {
            ProposalOutcome::Applied(bytes) => postcard::from_bytes(&bytes).ok(),
            ProposalOutcome::Unavailable => None,
        };
        let answer = match published {
            Some(published) => SurfaceReply::Published(published),
            None => SurfaceReply::Unavailable(ResultCode::NoLeader),
        };
        let _ = reply.send(answer);
    }

    /// The document in force, where the quorum confirmed it lately.
    pub(super) fn read_traffic(&self, now: Millis) -> SurfaceReply {
        let state = self.setup.state.borrow();
        if !state.is_current(now, self.setup.settings.read_staleness_ms) {
            return SurfaceReply::Unavailable(ResultCode::NotCurrent);
        }
        match &state.traffic {
            Some(traffic) => SurfaceReply::Traffic(traffic.document.clone()),
            None => SurfaceReply::Unavailable(ResultCode::NoTrafficConfiguration),
        }
    }

    /// The latest rollout of a service, where the quorum confirmed it lately.
    pub(super) fn read_rollout(&self, service: &str, now: Millis) -> SurfaceReply {
        let state = self.setup.state.borrow();
        if !state.has_current_rollouts(now, self.setup.settings.read_staleness_ms) {
            return SurfaceReply::Unavailable(ResultCode::NotCurrent);
        }
        let rollouts = state.rollouts.as_ref();
        match rollouts.and_then(|rollouts| rollouts.latest_of_service(service)) {
            Some(rollout) => SurfaceReply::Rollout(Box::new(rollout.clone())),
            None => SurfaceReply::Refused(ResultCode::NoRollout),
        }
    }

    pub(super) fn readiness(&self) -> SurfaceReply {
        let state = self.setup.state.borrow();
        if state.stopping {
            return SurfaceReply::Unavailable(ResultCode::Stopping);
        }
        match state.traffic {
            Some(_) => SurfaceReply::Ready,
            None => SurfaceReply::Unavailable(ResultCode::NoTrafficConfiguration),
        }
    }

    /// Addresses of the usable nodes that a caller shall use, by the newest view that is
    /// known; this node's own where none is.
    pub(super) fn entry_points(&self, caller: &EntryCaller) -> SurfaceReply {
        let host = caller.host.as_deref();
        let allowed = host.map_or_else(RegionFilter::any, |host| {
            self.dispatcher.allowed_regions_of_host(host)
        });
        let state = self.setup.state.borrow();
        let nodes = choose_entry_points(
            state.view.usable_nodes(),
            caller,
            &allowed,
            &self.setup.topology,
            MOST_ENTRY_POINTS,
        );
        let addresses = nodes.iter().map(|one| one.caller_address.clone());
        let mut addresses: Vec<String> = addresses.collect();
        let serves = state.traffic.is_some() && !state.stopping;
        if addresses.is_empty() && serves {
            addresses.push(self.setup.settings.callers.clone());
        }
        match addresses.is_empty() {
            true => SurfaceReply::Unavailable(ResultCode::NotCurrent),
            false => SurfaceReply::EntryPoints(addresses),
        }
    }
}
