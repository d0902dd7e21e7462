//! Requests that are restricted to regions by the traffic configuration.

use super::request::ActiveRequest;
use super::Dispatcher;
use crate::routes::RouteTable;
use crate::Millis;
use silversail_model::topology::RegionFilter;
use silversail_peer::WorkId;

impl Dispatcher {
    /// Replaces the traffic configuration. Its restrictions apply to the next send or order of
    /// open requests.
    pub fn set_routes(&mut self, routes: RouteTable, now: Millis) {
        let restricted_before = self.routes.as_ref().is_some_and(RouteTable::is_restricting);
        if restricted_before || routes.is_restricting() {
            for request in self.requests.values_mut() {
                request.update_regions(&routes);
            }
        }
        self.configurations.record(routes.version(), now);
        self.routes = Some(routes);
    }

    /// Regions that may process an order now; none if its request has ended.
    pub fn regions_of_work(&self, work: WorkId) -> Option<&RegionFilter> {
        let (number, _) = self.orders.get(&work)?;
        Some(&self.requests.get(number)?.resolved_route.regions)
    }

    /// Whether a service that the request needs has no available back end in the regions to
    /// which it is restricted.
    pub(super) fn lacks_allowed_backends(&self, request: &ActiveRequest) -> bool {
        request.resolved_route.regions.is_restricted() && !self.has_allowed_backends(request)
    }

    fn has_allowed_backends(&self, request: &ActiveRequest) -> bool {
        let has_any = |service: &String| {
            let mut all = self.instances.of_service(service);
            all.any(|instance| {
                instance.accepts_new_work() && request.allows(instance, &self.topology)
            })
        };
        request.needed_services().all(has_any)
    }
}
