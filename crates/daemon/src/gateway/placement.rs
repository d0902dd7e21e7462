//! Selection of the shard and owner for an order, and exchange of wait estimates between shard
//! owners.

use crate::gateway::actor::GatewayActor;
use crate::gateway::allowed_locations::AllowedLocations;
use silversail_consensus::Millis;
use silversail_control::ClusterView;
use silversail_decisions::Event as LogEvent;
use silversail_model::topology::RegionFilter;
use silversail_model::{Distance, NodeName, Shard};
use silversail_peer::{PhaseWork, ShardWaitEstimates, WorkId, WorkMessage};
use silversail_serving::waits::PlacementRequest;
use std::collections::BTreeSet;

/// Interval at which owners of shards of the same service exchange wait estimates, in
/// milliseconds.
const WAIT_ESTIMATE_INTERVAL: Millis = 100;
/// The same for owners in other regions, in milliseconds. Shorter than the lifetime of an
/// estimate.
const REMOTE_WAIT_ESTIMATE_INTERVAL: Millis = 300;

/// Time for which a computed estimate of a local shard is reused, in milliseconds. Computing one
/// visits all orders.
const LOCAL_ESTIMATE_LIFETIME: Millis = 10;

impl GatewayActor {
    /// Selects a shard for an order and returns it with its owner. `None` if the view has no
    /// shard that is allowed by `regions`.
    pub(super) fn choose_shard(
        &self,
        service: &str,
        order: &PlacementRequest,
        regions: &RegionFilter,
        now: Millis,
    ) -> Option<(Shard, NodeName)> {
        let state = self.setup.state.borrow();
        let locations = self.allowed_locations(&state.view, regions);
        let all_shards = self.shard_owners.iter();
        let service_shards = all_shards.filter(|(shard, _)| shard.service == service);
        let allowed: Vec<&Shard> = service_shards
            .filter(|(shard, owner)| locations.allows_shard(shard, owner))
            .map(|(shard, _)| shard)
            .collect();
        let instances = &self.dispatcher.instances;
        let with_backend: Vec<&Shard> = allowed
            .iter()
            .copied()
            .filter(|shard| locations.has_allowed_backend(shard, instances))
            .collect();
        let candidates = if with_backend.is_empty() {
            &allowed
        } else {
            &with_backend
        };
        let shard = self.dispatcher.waits().choose(candidates, order, now)?;
        let owner = self.shard_owners.get(shard)?;
        Some((shard.clone(), owner.clone()))
    }

    /// Selects a shard and owner for the order of a phase.
    pub(super) fn place_order(
        &self,
        work: WorkId,
        phase: &PhaseWork,
        now: Millis,
    ) -> Option<(Shard, NodeName)> {
        let order = PlacementRequest {
            zone: &phase.zone,
            moved_bytes: phase.moved_bytes,
            priority: phase.priority,
            random_seed: work,
        };
        let regions = self.allowed_regions_of(work, phase);
        self.choose_shard(&phase.shard.service, &order, regions, now)
    }

    /// Logs and counts the submission of a phase.
    pub(super) fn record_submission(
        &self,
        request: &str,
        phase: &PhaseWork,
        placement: Option<&(Shard, NodeName)>,
    ) {
        let owner = placement.map(|(_, owner)| owner.0.clone());
        let shard = placement.map_or(&phase.shard, |(shard, _)| shard);
        let topology = &self.setup.topology;
        let own_zone = topology.local_zone();
        let distance = (!shard.is_whole_service()).then(|| shard.distance(own_zone, topology));
        self.setup.log.record(LogEvent::PhaseSubmitted {
            request: request.to_owned(),
            phase: phase.pieces.first().map_or(0, |piece| piece.phase),
            service: shard.to_string(),
            pieces: phase.pieces.len(),
            owner: owner.unwrap_or_default(),
            remaining_ms: phase.remaining_ms,
            distance: distance.map_or("", Distance::name).to_owned(),
        });
        if let Some(distance) = distance {
            self.count_distance("phase", distance);
        }
    }

    /// Regions that may process an order by the current traffic configuration.
    fn allowed_regions_of<'a>(&'a self, work: WorkId, phase: &'a PhaseWork) -> &'a RegionFilter {
        let current = self.dispatcher.regions_of_work(work);
        current.unwrap_or(&phase.regions)
    }

    fn allowed_locations<'a>(
        &'a self,
        view: &'a ClusterView,
        regions: &'a RegionFilter,
    ) -> AllowedLocations<'a> {
        AllowedLocations {
            topology: &self.setup.topology,
            view,
            own: &self.node,
            regions,
        }
    }

    /// Current shard and owner of an order; `None` if the order must move.
    pub(super) fn current_placement(
        &self,
        work: WorkId,
        phase: &PhaseWork,
    ) -> Option<(Shard, NodeName)> {
        let owner = self.shard_owners.get(&phase.shard)?;
        let state = self.setup.state.borrow();
        let locations = self.allowed_locations(&state.view, self.allowed_regions_of(work, phase));
        let is_allowed = locations.allows_shard(&phase.shard, owner);
        is_allowed.then(|| (phase.shard.clone(), owner.clone()))
    }

    /// Replaces the regions of an order by those of the current traffic configuration.
    pub(super) fn with_current_regions(&self, work: WorkId, phase: PhaseWork) -> PhaseWork {
        let regions = self.allowed_regions_of(work, &phase).clone();
        PhaseWork { regions, ..phase }
    }

    /// Wait estimates of the service's shards: computed for the local shard, and last reported
    /// for the others.
    pub(super) fn wait_estimates_of(
        &mut self,
        shard: &Shard,
        now: Millis,
    ) -> Vec<ShardWaitEstimates> {
        let cached = self.local_wait_estimates.get(shard);
        let cached = cached.filter(|(_, at)| now.saturating_sub(*at) < LOCAL_ESTIMATE_LIFETIME);
        let local = match cached {
            Some((waits, _)) => waits.clone(),
            None => self.compute_wait_estimate(shard, now),
        };
        if shard.is_whole_service() {
            return vec![local];
        }
        self.dispatcher.waits().of_service(&shard.service, now)
    }

    /// Computes the wait estimate of a local shard.
    fn compute_wait_estimate(&mut self, shard: &Shard, now: Millis) -> ShardWaitEstimates {
        let table = &self.dispatcher.instances;
        let waits = self.batcher.waits(shard, table, now);
        self.local_wait_estimates
            .insert(shard.clone(), (waits.clone(), now));
        self.dispatcher.set_waits([waits.clone()], now);
        waits
    }

    /// Sends the estimates of local shards to the owners of the other shards of their services.
    pub(super) fn send_wait_estimates(&mut self, now: Millis) {
        if now.saturating_sub(self.wait_estimates_sent_at) < WAIT_ESTIMATE_INTERVAL {
            return;
        }
        self.wait_estimates_sent_at = now;
        let includes_remote =
            now.saturating_sub(self.remote_wait_estimates_sent_at) >= REMOTE_WAIT_ESTIMATE_INTERVAL;
        if includes_remote {
            self.remote_wait_estimates_sent_at = now;
        }
        for (shard, other_owners) in self.local_shards() {
            let waits = self.compute_wait_estimate(&shard, now);
            for owner in other_owners {
                if includes_remote || !self.is_in_other_region(&owner) {
                    self.send_work_message(&owner, WorkMessage::WaitEstimates(vec![waits.clone()]));
                }
            }
        }
    }

    /// Whether a node is in another region.
    fn is_in_other_region(&self, node: &NodeName) -> bool {
        let distance = self.setup.directory.borrow().distance_to(node);
        distance == Some(Distance::OtherRegion)
    }

    /// Zone shards that this node owns, each with the owners of the other shards of its service.
    fn local_shards(&self) -> Vec<(Shard, BTreeSet<NodeName>)> {
        let is_local = |(shard, owner): &(&Shard, &NodeName)| {
            **owner == self.node && !shard.is_whole_service()
        };
        let local = self
            .shard_owners
            .iter()
            .filter(is_local)
            .map(|(shard, _)| shard);
        let other_owners_of = |service: &str| {
            let service_shards = self
                .shard_owners
                .iter()
                .filter(|(shard, _)| shard.service == service);
            let owners = service_shards.map(|(_, owner)| owner.clone());
            owners.filter(|owner| *owner != self.node).collect()
        };
        local
            .map(|shard| (shard.clone(), other_owners_of(&shard.service)))
            .collect()
    }
}
