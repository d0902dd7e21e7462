//! Which batching node an order of this node goes to, and what batching nodes tell each
//! other of their shards.

use crate::gateway::actor::GatewayActor;
use crate::gateway::allowed::AllowedPlaces;
use silversail_consensus::Millis;
use silversail_control::ClusterView;
use silversail_decisions::Event as LogEvent;
use silversail_model::topology::RegionFilter;
use silversail_model::{Distance, NodeName, Shard};
use silversail_peer::{PhaseWork, ResultHandle, ShardWaitEstimates, WorkId, WorkMessage};
use silversail_serving::waits::PlacementRequest;
use std::collections::{BTreeMap, BTreeSet};

/// Interval at which the nodes that batch shards of one service tell each other how long
/// theirs take, in milliseconds: a few times within a call.
const TELL_WAITS_EVERY: Millis = 100;
/// The same for nodes of other regions, in milliseconds: an order goes there only where the
/// near shards have long queues, and what is told is relied on for 1.5 s.
const TELL_FAR_WAITS_EVERY: Millis = 300;

/// How long what was computed of an own shard is told, in milliseconds: an owner answers each
/// order and each announcement with it, and it takes a look at all orders.
const WAITS_KEPT_FOR: Millis = 10;

impl GatewayActor {
    /// The shard that an order goes to and the node that batches it; none before a view
    /// names one that may have it in these regions.
    pub(super) fn place(
        &self,
        service: &str,
        order: &PlacementRequest,
        regions: &RegionFilter,
        now: Millis,
    ) -> Option<(Shard, NodeName)> {
        let state = self.setup.state.borrow();
        let places = self.allowed_places(&state.view, regions);
        let owned = self.owners.iter();
        let of_service = owned.filter(|(shard, _)| shard.service == service);
        let all: Vec<&Shard> = of_service
            .filter(|(shard, owner)| places.has_shard(shard, owner))
            .map(|(shard, _)| shard)
            .collect();
        let instances = &self.dispatcher.instances;
        let staffed: Vec<&Shard> = all
            .iter()
            .copied()
            .filter(|shard| places.has_makers(shard, instances))
            .collect();
        let choice = if staffed.is_empty() { &all } else { &staffed };
        let shard = self.dispatcher.waits().choose(choice, order, now)?;
        let owner = self.owners.get(shard)?;
        Some((shard.clone(), owner.clone()))
    }

    /// Where an order of work goes.
    pub(super) fn place_work(
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
        let regions = self.regions_of(work, phase);
        self.place(&phase.shard.service, &order, regions, now)
    }

    /// Logs and counts that a phase of a request was given.
    pub(super) fn note_submitted(
        &self,
        request: &str,
        phase: &PhaseWork,
        placed: Option<&(Shard, NodeName)>,
    ) {
        let owner = placed.map(|(_, owner)| owner.0.clone());
        let shard = placed.map_or(&phase.shard, |(shard, _)| shard);
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

    /// The regions that may do an order of this node now.
    fn regions_of<'a>(&'a self, work: WorkId, phase: &'a PhaseWork) -> &'a RegionFilter {
        let current = self.dispatcher.regions_of_work(work);
        current.unwrap_or(&phase.regions)
    }

    fn allowed_places<'a>(
        &'a self,
        view: &'a ClusterView,
        regions: &'a RegionFilter,
    ) -> AllowedPlaces<'a> {
        AllowedPlaces {
            topology: &self.setup.topology,
            view,
            own: &self.node,
            regions,
        }
    }

    /// The shard that an order has and the node that batches it now, if the order may stay.
    pub(super) fn present_place(
        &self,
        work: WorkId,
        phase: &PhaseWork,
    ) -> Option<(Shard, NodeName)> {
        let owner = self.owners.get(&phase.shard)?;
        let state = self.setup.state.borrow();
        let places = self.allowed_places(&state.view, self.regions_of(work, phase));
        let may_stay = places.has_shard(&phase.shard, owner);
        may_stay.then(|| (phase.shard.clone(), owner.clone()))
    }

    /// An order as it is to be given now: another traffic configuration may allow other
    /// regions than when it was first given.
    pub(super) fn with_current_regions(&self, work: WorkId, phase: PhaseWork) -> PhaseWork {
        let regions = self.regions_of(work, &phase).clone();
        PhaseWork { regions, ..phase }
    }

    /// Frees results at the nodes that batch the shards which made them; they count the
    /// room. Without such a node this one frees them itself.
    pub(super) fn release(&mut self, service: &str, handles: Vec<ResultHandle>) {
        let mut by_owner: BTreeMap<NodeName, Vec<ResultHandle>> = BTreeMap::new();
        for handle in handles {
            let owner = self.owner_of_result(service, &handle);
            let owner = owner.unwrap_or(&self.node).clone();
            by_owner.entry(owner).or_default().push(handle);
        }
        for (owner, handles) in by_owner {
            self.release_at(&owner, handles);
        }
    }

    fn owner_of_result(&self, service: &str, handle: &ResultHandle) -> Option<&NodeName> {
        let maker = self.dispatcher.instances.holder(handle);
        let zone = maker.map_or("", |maker| maker.listed.zone.as_str());
        let mut shards = self.owners.iter();
        let made_it = |(shard, _): &(&Shard, &NodeName)| {
            shard.service == service && shard.contains_zone(zone)
        };
        shards.find(made_it).map(|(_, owner)| owner)
    }

    /// How long the shards of a service take now: this node's, as of now, and what the
    /// others last told.
    pub(super) fn waits_of(&mut self, shard: &Shard, now: Millis) -> Vec<ShardWaitEstimates> {
        let known = self.own_waits.get(shard);
        let known = known.filter(|(_, at)| now.saturating_sub(*at) < WAITS_KEPT_FOR);
        let own = match known {
            Some((waits, _)) => waits.clone(),
            None => self.look_at_waits(shard, now),
        };
        if shard.is_whole_service() {
            return vec![own];
        }
        self.dispatcher.waits().of_service(&shard.service, now)
    }

    /// Computes how long a shard of this node takes now.
    fn look_at_waits(&mut self, shard: &Shard, now: Millis) -> ShardWaitEstimates {
        let table = &self.dispatcher.instances;
        let waits = self.batcher.waits(shard, table, now);
        self.own_waits.insert(shard.clone(), (waits.clone(), now));
        self.dispatcher.set_waits([waits.clone()], now);
        waits
    }

    /// Tells the other nodes that batch shards of this node's services how long its own
    /// shards take.
    pub(super) fn tell_waits(&mut self, now: Millis) {
        if now.saturating_sub(self.told_waits_at) < TELL_WAITS_EVERY {
            return;
        }
        self.told_waits_at = now;
        let tells_far = now.saturating_sub(self.told_far_waits_at) >= TELL_FAR_WAITS_EVERY;
        if tells_far {
            self.told_far_waits_at = now;
        }
        for (shard, others) in self.own_shards() {
            let waits = self.look_at_waits(&shard, now);
            for other in others {
                if tells_far || !self.is_far(&other) {
                    self.send_work(&other, WorkMessage::WaitEstimates(vec![waits.clone()]));
                }
            }
        }
    }

    /// Whether a node is in another region.
    fn is_far(&self, node: &NodeName) -> bool {
        let distance = self.setup.directory.borrow().distance_to(node);
        distance == Some(Distance::OtherRegion)
    }

    /// The parts of services that this node batches, each with the nodes that batch the others
    /// of its service.
    fn own_shards(&self) -> Vec<(Shard, BTreeSet<NodeName>)> {
        let is_own = |(shard, owner): &(&Shard, &NodeName)| {
            **owner == self.node && !shard.is_whole_service()
        };
        let own = self.owners.iter().filter(is_own).map(|(shard, _)| shard);
        let others_of = |service: &str| {
            let of_service = self.owners.iter().filter(|(one, _)| one.service == service);
            let owners = of_service.map(|(_, owner)| owner.clone());
            owners.filter(|owner| *owner != self.node).collect()
        };
        own.map(|shard| (shard.clone(), others_of(&shard.service)))
            .collect()
    }
}
