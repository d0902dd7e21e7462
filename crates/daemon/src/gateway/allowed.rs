//! Which shards may have the orders of a request that is restricted to regions.

use silversail_control::ClusterView;
use silversail_model::topology::RegionFilter;
use silversail_model::{NodeName, Shard, Topology};
use silversail_serving::instances::InstanceTable;

/// The places that a request may use, as its node knows them.
pub struct AllowedPlaces<'a> {
    /// Where the zones lie.
    pub topology: &'a Topology,
    /// The live nodes with their zones.
    pub view: &'a ClusterView,
    /// The node that the caller sent the request to.
    pub own: &'a NodeName,
    /// The regions that may serve the request.
    pub regions: &'a RegionFilter,
}

impl AllowedPlaces<'_> {
    /// Whether back ends in `zone` may work for the request.
    pub fn has_zone(&self, zone: &str) -> bool {
        self.regions.allows(self.topology.region_of(zone))
    }

    /// Whether a shard's back ends may make pieces, and its node hold them: that one may also
    /// lie in the region of the node that the caller chose.
    pub fn has_shard(&self, shard: &Shard, owner: &NodeName) -> bool {
        if !self.regions.is_restricted() {
            return true;
        }
        let zone = shard.representative_zone();
        let may_make = zone.is_none_or(|zone| self.has_zone(zone));
        may_make && (owner == self.own || self.may_hold(owner))
    }

    fn may_hold(&self, owner: &NodeName) -> bool {
        let status = self.view.nodes.iter().find(|one| one.node == *owner);
        let region = status.and_then(|one| self.topology.region_of(&one.zone));
        let is_own = region.is_some() && region == self.topology.local_region();
        is_own || self.regions.allows(region)
    }

    /// Whether a shard has a back end that takes work and may do it for the request.
    pub fn has_makers(&self, shard: &Shard, instances: &InstanceTable) -> bool {
        let mut makers = instances.of_shard(shard);
        makers.any(|one| one.accepts_new_work() && self.has_zone(&one.listed.zone))
    }
}
