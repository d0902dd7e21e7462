//! The traffic configuration: routes of proxied requests, the services behind
//! them, tenants' API keys and limits on callers. The operator numbers its
//! versions; the highest version is in effect.

use crate::identifiers::TenantName;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet};

/// Version number set by the operator; the highest version is in effect.
pub type TrafficVersion = u64;

/// Execution semantics of a route's requests at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// A request may run more than once.
    Repeatable,
    /// A request runs at most once per attempt of the caller.
    AtMostOnce,
    /// The response is a stream of events.
    Stream {
        /// Whether another engine may resume an interrupted stream.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request may be sent again after an attempt with an unknown outcome.
    pub fn is_idempotent(self) -> bool {
        matches!(
            self,
            RouteKind::Repeatable | RouteKind::Stream { resumable: true }
        )
    }

    /// Whether the response is a stream that another back end may go on with.
    pub fn is_resumable(self) -> bool {
        matches!(self, RouteKind::Stream { resumable: true })
    }

    /// Whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream { .. })
    }
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: String,
    /// Share of the requests, relative to the weights of the route's other targets.
    pub weight: u32,
}

/// A processing step that must finish before the request is sent to an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PhaseSpec {
    /// Service that runs the phase.
    pub service: String,
    /// Indexes of the phases whose results this phase takes as input.
    pub after: Vec<usize>,
    /// Approximate size of one result, in bytes.
    pub result_bytes: u64,
}

/// Routing rule for the requests of a host and path prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route in logs and metrics.
    pub name: String,
    /// Host that the request must name.
    pub host: String,
    /// Prefix that the request's path must have.
    pub path_prefix: String,
    /// Execution semantics of the route's requests.
    pub kind: RouteKind,
    /// Maximum duration of a request, in milliseconds.
    pub timeout_ms: u64,
    /// Target response time (service-level objective), in milliseconds.
    pub objective_ms: u64,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Services that receive the requests, with their weights.
    pub targets: Vec<RouteTarget>,
    /// Maximum number of engines that one request of a caller is sent to.
    pub max_attempts: u32,
    /// Phases that run before the request is sent to an engine.
    pub phases: Vec<PhaseSpec>,
    /// Whether requests need no API key.
    pub open: bool,
    /// Whether requests declare the parts of their prompt, for prefix caching.
    pub has_prefix: bool,
    /// Regions that may process, store or cache the requests; none allows all regions.
    pub allowed_regions: Option<BTreeSet<String>>,
}

/// Capacity of each back end of a batched service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BatchSpec {
    /// Calls that run concurrently.
    pub slots: u32,
    /// Calls that may be queued.
    pub queue: u32,
    /// Maximum number of pieces in a call.
    pub pieces: usize,
    /// Fixed time per call, in milliseconds.
    pub call_ms: f64,
    /// Additional time per piece, in milliseconds.
    pub piece_ms: f64,
    /// Memory for results, in bytes.
    pub room_bytes: u64,
    /// Time after which a result is evicted, in milliseconds.
    pub result_lifetime_ms: u64,
}

/// Capacity of each model engine of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Requests that run concurrently.
    pub slots: u32,
    /// Memory for prompts and generated text, in tokens.
    pub token_capacity: u64,
}

/// Limits of each back end of a service during warm-up.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdSpec {
    /// Requests per second from all nodes together; must be above 0.
    pub requests_per_second: f64,
}

/// A group of equivalent back ends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Name, unique among services.
    pub name: String,
    /// HTTP path of the health check.
    pub health_path: String,
    /// Maximum number of connections to each back end, from all callers together.
    pub max_connections: u32,
    /// Capacity of the back ends, if they are model engines.
    pub engine: Option<EngineSpec>,
    /// Capacity of the back ends, if they process batches.
    pub batch: Option<BatchSpec>,
    /// Limits of the back ends during warm-up, if they have any.
    pub cold: Option<ColdSpec>,
}

/// A tenant with the hashes of its API keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantKeys {
    /// Name of the tenant.
    pub tenant: TenantName,
    /// Hashes of the API keys, made by [`crate::traffic::hash_key`].
    pub key_hashes: Vec<KeyHash>,
    /// Priority that overrides the route's priority.
    pub priority: Option<u8>,
    /// Regions that may process, store or cache the requests; none allows all regions.
    pub allowed_regions: Option<BTreeSet<String>>,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of the request headers, in bytes.
    pub header_bytes: usize,
    /// Maximum size of the request body, in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving the request headers, in milliseconds.
    pub header_timeout_ms: u64,
    /// Timeout of an idle connection, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// SHA-256 of a key.
pub type KeyHash = [u8; 32];

/// Hashes a key; keys themselves are kept nowhere but in the operator's document.
pub fn hash_key(key: &str) -> KeyHash {
    Sha256::digest(key.as_bytes()).into()
}

/// A complete traffic configuration, as published by the operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TrafficConfiguration {
    /// Its version.
    pub version: TrafficVersion,
    /// Its routes.
    pub routes: Vec<Route>,
    /// Its services.
    pub services: Vec<ServiceSpec>,
    /// Tenants; without any, no request needs an API key.
    pub tenants: Vec<TenantKeys>,
    /// Limits that apply to all callers.
    pub limits: CallerLimits,
}

/// Validation error of a traffic configuration.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TrafficError {
    /// Two objects of one kind have the same name.
    #[error("{what} '{name}' is declared twice")]
    Duplicate {
        /// Kind of object.
        what: &'static str,
        /// The duplicate name.
        name: String,
    },
    /// A route or phase names a service that is not declared.
    #[error("route '{route}' refers to service '{service}', which is not declared")]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the undeclared service.
        service: String,
    },
    /// Two routes match the same host and path prefix.
    #[error("routes '{first}' and '{second}' have the same host and path prefix")]
    DuplicateMatch {
        /// Route that was declared first.
        first: String,
        /// Route that was declared second.
        second: String,
    },
    /// The weights of a route's targets are all 0.
    #[error("the target weights of route '{0}' sum to 0")]
    ZeroWeight(String),
    /// A route's timeout is 0.
    #[error("the timeout of route '{0}' must be above 0")]
    ZeroTimeout(String),
    /// Two tenants have the same API key.
    #[error("tenants '{first}' and '{second}' have the same API key")]
    SharedKey {
        /// Tenant that was declared first.
        first: String,
        /// Tenant that was declared second.
        second: String,
    },
    /// The request rate for cold back ends is not a positive number.
    #[error("requests_per_second for cold back ends of service '{0}' must be above 0")]
    InvalidColdRate(String),
    /// A list of allowed regions is empty, so that no request could be served.
    #[error("the allowed regions of {what} '{name}' are empty")]
    NoAllowedRegions {
        /// Kind of object.
        what: &'static str,
        /// Name of the object.
        name: String,
    },
    /// An allowed region does not exist in the deployment.
    #[error("{what} '{name}' allows the unknown region '{region}'")]
    UnknownRegion {
        /// Kind of object.
        what: &'static str,
        /// Name of the object.
        name: String,
        /// Name of the unknown region.
        region: String,
    },
    /// A phase depends on itself or on a later phase.
    #[error("phase {phase} of route '{route}' depends on a phase that does not precede it")]
    PhaseOrder {
        /// Name of the route.
        route: String,
        /// Index of the phase.
        phase: usize,
    },
}

impl TrafficConfiguration {
    /// Checks names, references, weights, timeouts, regions and keys.
    ///
    /// # Errors
    /// The first error found.
    pub fn validate(&self) -> Result<(), TrafficError> {
        let mut services = BTreeSet::new();
        for service in &self.services {
            if !services.insert(service.name.as_str()) {
                return Err(duplicate("service", &service.name));
            }
            let rate = service.cold.as_ref().map(|cold| cold.requests_per_second);
            if rate.is_some_and(|rate| !(rate.is_finite() && rate > 0.0)) {
                return Err(TrafficError::InvalidColdRate(service.name.clone()));
            }
        }
        let mut route_matches: BTreeMap<(String, &str), &str> = BTreeMap::new();
        for route in &self.routes {
            route.validate(&services)?;
            // Hosts are matched regardless of case.
            let host = route.host.to_ascii_lowercase();
            let route_match = (host, route.path_prefix.as_str());
            if let Some(first) = route_matches.insert(route_match, &route.name) {
                return Err(TrafficError::DuplicateMatch {
                    first: first.to_owned(),
                    second: route.name.clone(),
                });
            }
        }
        let is_empty = |(_, _, allowed): &(_, _, &BTreeSet<String>)| allowed.is_empty();
        if let Some((what, name, _)) = self.region_lists().find(is_empty) {
            let name = name.to_owned();
            return Err(TrafficError::NoAllowedRegions { what, name });
        }
        self.validate_tenants()
    }

    /// Checks that all allowed regions are among `known`, the regions of the topology, which
    /// is not part of this configuration.
    ///
    /// # Errors
    /// [`TrafficError::UnknownRegion`] for the first region that is not in `known`.
    pub fn check_regions(&self, known: &BTreeSet<&str>) -> Result<(), TrafficError> {
        for (what, name, allowed) in self.region_lists() {
            let unknown = allowed
                .iter()
                .find(|region| !known.contains(region.as_str()));
            if let Some(region) = unknown {
                return Err(TrafficError::UnknownRegion {
                    what,
                    name: name.to_owned(),
                    region: region.clone(),
                });
            }
        }
        Ok(())
    }

    /// The lists of allowed regions, each with the kind and name of the object it restricts.
    fn region_lists(&self) -> impl Iterator<Item = (&'static str, &str, &BTreeSet<String>)> {
        let of_routes = self.routes.iter().filter_map(|route| {
            let allowed = route.allowed_regions.as_ref()?;
            Some(("route", route.name.as_str(), allowed))
        });
        let of_tenants = self.tenants.iter().filter_map(|tenant| {
            let allowed = tenant.allowed_regions.as_ref()?;
            Some(("tenant", tenant.tenant.as_str(), allowed))
        });
        of_routes.chain(of_tenants)
    }

    fn validate_tenants(&self) -> Result<(), TrafficError> {
        let mut names = BTreeSet::new();
        let mut owners: BTreeMap<KeyHash, &TenantName> = BTreeMap::new();
        for tenant in &self.tenants {
            if !names.insert(&tenant.tenant) {
                return Err(duplicate("tenant", tenant.tenant.as_str()));
            }
            for hash in &tenant.key_hashes {
                let owner = owners.insert(*hash, &tenant.tenant);
                if let Some(first) = owner.filter(|first| **first != tenant.tenant) {
                    return Err(TrafficError::SharedKey {
                        first: first.0.clone(),
                        second: tenant.tenant.0.clone(),
                    });
                }
            }
        }
        Ok(())
    }

    /// The service with the given name.
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services.iter().find(|service| service.name == name)
    }
}

impl Route {
    fn validate(&self, services: &BTreeSet<&str>) -> Result<(), TrafficError> {
        let phase_services = self.phases.iter().map(|phase| &phase.service);
        let target_services = self.targets.iter().map(|target| &target.service);
        for service in target_services.chain(phase_services) {
            if !services.contains(service.as_str()) {
                return Err(TrafficError::UnknownService {
                    route: self.name.clone(),
                    service: service.clone(),
                });
            }
        }
        if self.targets.iter().all(|target| target.weight == 0) {
            return Err(TrafficError::ZeroWeight(self.name.clone()));
        }
        if self.timeout_ms == 0 {
            return Err(TrafficError::ZeroTimeout(self.name.clone()));
        }
        for (phase, spec) in self.phases.iter().enumerate() {
            if spec.after.iter().any(|predecessor| *predecessor >= phase) {
                return Err(TrafficError::PhaseOrder {
                    route: self.name.clone(),
                    phase,
                });
            }
        }
        Ok(())
    }
}

fn duplicate(what: &'static str, name: &str) -> TrafficError {
    TrafficError::Duplicate {
        what,
        name: name.to_owned(),
    }
}
