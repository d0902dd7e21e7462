//! Handling of requests from operators, the platform and callers that look up entry points.

use crate::evacuation::EvacuationCaller;
use crate::gateway::actor::GatewayActor;
use crate::gateway::entry_points::{choose_entry_points, EntryPointLookup};
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

/// Maximum wait for a published configuration to be committed.
const PUBLISH_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Maximum number of addresses in an answer; callers ignore any beyond it.
const MAX_ENTRY_POINTS: usize = 64;

/// An operator who waits for an answer on the platform surface.
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
        // The operator may have disconnected.
        let _ = self.0.send(reply);
    }
}

impl RolloutCaller for SurfaceCaller {
    fn is_waiting(&self) -> bool {
        !self.0.is_closed()
    }

    fn answer(self: Box<Self>, outcome: RolloutOutcome) {
        // The operator may have disconnected.
        let _ = self.0.send(SurfaceReply::RolloutOrdered(outcome));
    }
}

impl GatewayActor {
    pub(super) fn handle_surface_request(
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
        // The client may have disconnected.
        let _ = reply.send(answer);
    }

    pub(super) fn publish(
        &mut self,
        cx: CX![],
        published: PublishedTraffic,
        reply: oneshot::Sender<SurfaceReply>,
    ) {
        // The document does not define the regions, so that they are validated against the
        // topology.
        let regions = self.setup.topology.regions();
        if let Err(error) = published.traffic.check_regions(&regions) {
            // The client may have disconnected.
            let _ = reply.send(SurfaceReply::Invalid(error.to_string()));
            return;
        }
        let command = ControlCommand::Publish(published).encode();
        let callback = ret_some_to!([cx], handle_publication_outcome(reply) as (ProposalOutcome));
        call!(
            [self.setup.proposer],
            propose(command, PUBLISH_TIMEOUT, callback)
        );
    }

    pub(super) fn handle_publication_outcome(
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

    /// Returns the applied configuration document if a quorum confirmed it recently.
    pub(super) fn read_traffic(&self, now: Millis) -> SurfaceReply {
        let state = self.setup.state.borrow();
        if !state.has_current_configuration(now, self.setup.settings.read_staleness_ms) {
            return SurfaceReply::Unavailable(ResultCode::NotCurrent);
        }
        match &state.traffic {
            Some(traffic) => SurfaceReply::Traffic(traffic.document.clone()),
            None => SurfaceReply::Unavailable(ResultCode::NoTrafficConfiguration),
        }
    }

    /// Returns the latest rollout of a service if a quorum confirmed the rollouts recently.
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

    /// Returns the addresses for a caller from the latest known view. Falls back to the address
    /// of this node if the view selects none.
    pub(super) fn entry_points(&self, caller: &EntryPointLookup) -> SurfaceReply {
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
            MAX_ENTRY_POINTS,
        );
        let addresses = nodes.iter().map(|node| node.caller_address.clone());
        let mut addresses: Vec<String> = addresses.collect();
        let is_serving = state.traffic.is_some() && !state.stopping;
        if addresses.is_empty() && is_serving {
            addresses.push(self.setup.settings.callers.clone());
        }
        match addresses.is_empty() {
            true => SurfaceReply::Unavailable(ResultCode::NotCurrent),
            false => SurfaceReply::EntryPoints(addresses),
        }
    }
}
