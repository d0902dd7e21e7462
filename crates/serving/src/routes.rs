//! Which route a request takes, and which tenant it belongs to.

use crate::ports::CallAttributes;
use silversail_model::traffic::{hash_key, KeyHash, Route, RouteTarget};
use silversail_model::TrafficConfiguration;
use std::collections::hash_map::DefaultHasher;
use std::collections::HashMap;
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
pub struct Routed {
    /// The route.
    pub route: Arc<Route>,
    /// The service that takes the request.
    pub service: String,
    /// The tenant; none on open routes and where there are no tenants.
    pub tenant: Option<String>,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
}

/// The routes and keys of one traffic configuration, indexed.
pub struct RouteTable {
    version: u64,
    by_host: HashMap<String, Vec<Arc<Route>>>,
    keys: HashMap<KeyHash, (String, Option<u8>)>,
    has_tenants: bool,
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
            for hash in &tenant.key_hashes {
                keys.insert(*hash, (tenant.tenant.0.clone(), tenant.priority));
            }
        }
        Self {
            version: traffic.version,
            by_host,
            keys,
            has_tenants: !traffic.tenants.is_empty(),
        }
    }

    /// Version of the configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Finds the route of a request and checks its key.
    pub fn route(&self, call: &CallAttributes) -> Result<Routed, RouteError> {
        let host = call.host.split(':').next().unwrap_or_default();
        let routes = self.by_host.get(&host.to_ascii_lowercase());
        let route = routes
            .into_iter()
            .flatten()
            .find(|route| call.path.starts_with(&route.path_prefix))
            .ok_or(RouteError::NoRoute)?;
        let owner = self.owner(call, route)?;
        let (tenant, own_priority) = match owner {
            Some((tenant, priority)) => (Some(tenant.clone()), *priority),
            None => (None, None),
        };
        Ok(Routed {
            service: pick_target(&route.targets, &call.id).to_owned(),
            priority: own_priority.unwrap_or(route.priority),
            route: route.clone(),
            tenant,
        })
    }

    fn owner(
        &self,
        call: &CallAttributes,
        route: &Route,
    ) -> Result<Option<&(String, Option<u8>)>, RouteError> {
        let known = call.key.as_deref().map(hash_key);
        let owner = known.and_then(|hash| self.keys.get(&hash));
        if route.open || !self.has_tenants {
            return Ok(owner);
        }
        owner.map(Some).ok_or(RouteError::UnknownKey)
    }
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
