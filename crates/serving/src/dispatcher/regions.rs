//! Requests that only some regions may serve: what a configuration allows now, and whether
//! there is anybody who may.

use super::request::ActiveRequest;
use super::Dispatcher;
use crate::routes::RouteTable;
use silversail_model::topology::RegionFilter;
use silversail_peer::WorkId;

impl Dispatcher {
    /// Takes another traffic configuration. What it allows counts for the next send or order
    /// of requests under way.
    pub fn set_routes(&mut self, routes: RouteTable) {
        let restricted_before = self.routes.as_ref().is_some_and(RouteTable::is_restricting);
        if restricted_before || routes.is_restricting() {
            for request in self.requests.values_mut() {
                request.follow_regions(&routes);
            }
        }
        self.routes = Some(routes);
    }

    /// The regions that may do an order of work now; none where its request is over.
    pub fn regions_of_work(&self, work: WorkId) -> Option<&RegionFilter> {
        let (number, _) = self.works.get(&work)?;
        Some(&self.requests.get(number)?.routed.regions)
    }

    /// Whether a request is restricted to regions in which a service that it needs has no back
    /// end that takes work.
    pub(super) fn is_served_nowhere(&self, request: &ActiveRequest) -> bool {
        request.routed.regions.is_restricted() && !self.has_allowed_backends(request)
    }

    fn has_allowed_backends(&self, request: &ActiveRequest) -> bool {
        let has_any = |service: &String| {
            let mut all = self.instances.of_service(service);
            all.any(|one| one.takes_work() && request.allows(one, &self.topology))
        };
        request.needed_services().all(has_any)
    }
}
