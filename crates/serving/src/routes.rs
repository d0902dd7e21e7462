//! Which route a request takes, and which tenant it belongs to.

use crate::ports::CallAttributes;
use silversail_model::topology::RegionFilter;
use silversail_model::traffic::{hash_key, KeyHash, Route, RouteTarget, TenantKeys};
use silversail_model::TrafficConfiguration;
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeSet, HashMap};
use std::hash::{Hash, Hasher};
use std::sync::Arc;

/// Why a request has no route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RouteError {
    /// No route has this host and a prefix of this path.
    #[error("no such route")]
    NoRoute,
    /// The key is absent or unknown.
    #[error("the key is absent or unknown")]
    UnknownKey,
}

/// A request's route, service and tenant.
#[derive(Clone, Debug)]
pub struct ResolvedRoute {
    /// The route.
    pub route: Arc<Route>,
    /// The service that takes the request.
    pub service: String,
    /// The tenant; none on open routes and where there are no tenants.
    pub tenant: Option<String>,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// The regions that may serve it.
    pub regions: RegionFilter,
}

/// Whose a key is.
struct KeyOwner {
    tenant: String,
    priority: Option<u8>,
    allowed_regions: Option<BTreeSet<String>>,
}

impl KeyOwner {
    fn of(tenant: &TenantKeys) -> Self {
        Self {
            tenant: tenant.tenant.0.clone(),
            priority: tenant.priority,
            allowed_regions: tenant.allowed_regions.clone(),
        }
    }
}

/// The routes and keys of one traffic configuration, indexed.
pub struct RouteTable {
    version: u64,
    by_host: HashMap<String, Vec<Arc<Route>>>,
    keys: HashMap<KeyHash, Arc<KeyOwner>>,
    has_tenants: bool,
    is_restricting: bool,
}

impl RouteTable {
    /// Indexes a configuration.
    pub fn new(traffic: &TrafficConfiguration) -> Self {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in &traffic.routes {
            let host = route.host.to_ascii_lowercase();
            by_host
                .entry(host)
                .or_default()
                .push(Arc::new(route.clone()));
        }
        for routes in by_host.values_mut() {
            // The longest prefix comes first.
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let mut keys = HashMap::new();
        for tenant in &traffic.tenants {
            let owner = Arc::new(KeyOwner::of(tenant));
            for hash in &tenant.key_hashes {
                keys.insert(*hash, owner.clone());
            }
        }
        Self {
            version: traffic.version,
            by_host,
            keys,
            has_tenants: !traffic.tenants.is_empty(),
            is_restricting: restricts_regions(traffic),
        }
    }

    /// Whether any route or tenant leaves out a region.
    pub fn is_restricting(&self) -> bool {
        self.is_restricting
    }

    /// Version of the configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Finds the route of a request and checks its key.
    pub fn route(&self, call: &CallAttributes) -> Result<ResolvedRoute, RouteError> {
        let route = self
            .of_host(&call.host)
            .find(|route| call.path.starts_with(&route.path_prefix))
            .ok_or(RouteError::NoRoute)?;
        let owner = self.owner(call, route)?;
        let own_priority = owner.and_then(|owner| owner.priority);
        let of_tenant = owner.and_then(|owner| owner.allowed_regions.as_ref());
        Ok(ResolvedRoute {
            service: pick_target(&route.targets, &call.id).to_owned(),
            priority: own_priority.unwrap_or(route.priority),
            regions: RegionFilter::of_both(route.allowed_regions.as_ref(), of_tenant),
            route: route.clone(),
            tenant: owner.map(|owner| owner.tenant.clone()),
        })
    }

    /// Routes of the host that a request names, the longest prefix first.
    fn of_host(&self, host: &str) -> impl Iterator<Item = &Arc<Route>> {
        let host = host.split(':').next().unwrap_or_default();
        let routes = self.by_host.get(&host.to_ascii_lowercase());
        routes.into_iter().flatten()
    }

    /// The regions where requests of a host may be served: those that any of its routes
    /// allows, as the path and the tenant are not known yet; all for an unknown host.
    pub fn allowed_regions_of_host(&self, host: &str) -> RegionFilter {
        let mut allowed = BTreeSet::new();
        for route in self.of_host(host) {
            let Some(of_route) = &route.allowed_regions else {
                return RegionFilter::any();
            };
            allowed.extend(of_route.iter().cloned());
        }
        let is_known = self.of_host(host).next().is_some();
        RegionFilter::of_both(Some(&allowed).filter(|_| is_known), None)
    }

    fn owner(&self, call: &CallAttributes, route: &Route) -> Result<Option<&KeyOwner>, RouteError> {
        let known = call.key.as_deref().map(hash_key);
        let owner = known.and_then(|hash| self.keys.get(&hash));
        let owner = owner.map(Arc::as_ref);
        if route.open || !self.has_tenants {
            return Ok(owner);
        }
        owner.map(Some).ok_or(RouteError::UnknownKey)
    }
}

fn restricts_regions(traffic: &TrafficConfiguration) -> bool {
    let mut routes = traffic.routes.iter();
    let mut tenants = traffic.tenants.iter();
    routes.any(|route| route.allowed_regions.is_some())
        || tenants.any(|tenant| tenant.allowed_regions.is_some())
}

/// The service that takes a request, by the weights of its route's services. The
/// same request goes the same way on every node.
fn pick_target<'a>(targets: &'a [RouteTarget], id: &str) -> &'a str {
    let total: u64 = targets.iter().map(|target| u64::from(target.weight)).sum();
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    let mut point = hasher.finish() % total.max(1);
    for target in targets {
        let weight = u64::from(target.weight);
        if point < weight {
            return &target.service;
        }
        point -= weight;
    }
    targets.last().map_or("", |target| target.service.as_str())
}
