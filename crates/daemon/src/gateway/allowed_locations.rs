//! Shards that may process a request which is restricted to regions.

use silversail_control::ClusterView;
use silversail_model::topology::RegionFilter;
use silversail_model::{NodeName, Shard, Topology};
use silversail_serving::instances::InstanceTable;

/// Zones and nodes that may process a request, in the view of this node.
pub struct AllowedLocations<'a> {
    /// Zones and their regions.
    pub topology: &'a Topology,
    /// Live nodes with their zones.
    pub view: &'a ClusterView,
    /// Node that received the request from the caller.
    pub own: &'a NodeName,
    /// Regions that may serve the request.
    pub regions: &'a RegionFilter,
}

impl AllowedLocations<'_> {
    /// Whether back ends in `zone` may process the request.
    pub fn allows_zone(&self, zone: &str) -> bool {
        self.regions.allows(self.topology.region_of(zone))
    }

    /// Whether the shard's back ends may process the request and its owner may hold it. The owner
    /// may also be in the region of the node that received the request.
    pub fn allows_shard(&self, shard: &Shard, owner: &NodeName) -> bool {
        if !self.regions.is_restricted() {
            return true;
        }
        let zone = shard.representative_zone();
        let is_zone_allowed = zone.is_none_or(|zone| self.allows_zone(zone));
        is_zone_allowed && (owner == self.own || self.is_owner_allowed(owner))
    }

    fn is_owner_allowed(&self, owner: &NodeName) -> bool {
        let status = self.view.nodes.iter().find(|status| status.node == *owner);
        let region = status.and_then(|status| self.topology.region_of(&status.zone));
        let is_local_region = region.is_some() && region == self.topology.local_region();
        is_local_region || self.regions.allows(region)
    }

    /// Whether the shard has an allowed back end that accepts new work.
    pub fn has_allowed_backend(&self, shard: &Shard, instances: &InstanceTable) -> bool {
        let mut instances_of_shard = instances.of_shard(shard);
        instances_of_shard
            .any(|instance| instance.accepts_new_work() && self.allows_zone(&instance.listed.zone))
    }
}
