//! The published traffic configuration: routes of pass-through requests, the
//! services behind them, tenants' keys and limits on callers. The operator
//! numbers its versions; the highest one is in force.

use crate::identifiers::TenantName;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet};

/// Version that the operator chose; higher ones prevail.
pub type TrafficVersion = u64;

/// What a request may do at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// May run more than once.
    Repeatable,
    /// Runs at most once for each attempt of a caller.
    AtMostOnce,
    /// Answers with a stream of events.
    Stream {
        /// Whether another engine may go on where one stopped.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request may run again after one that may have run.
    pub fn is_idempotent(self) -> bool {
        matches!(
            self,
            RouteKind::Repeatable | RouteKind::Stream { resumable: true }
        )
    }

    /// Whether the answer is a stream.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream { .. })
    }
}

/// A service that takes a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteTarget {
    /// The service.
    pub service: String,
    /// Its share relative to the others'.
    pub weight: u32,
}

/// Work that must be done before a request can run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PhaseSpec {
    /// Service that does it.
    pub service: String,
    /// Numbers of the phases whose results it needs.
    pub after: Vec<usize>,
    /// Approximate size of one result, in bytes.
    pub result_bytes: u64,
}

/// Where requests of a host and path go.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// Host that the request names.
    pub host: String,
    /// Beginning of the path.
    pub path_prefix: String,
    /// What a request may do.
    pub kind: RouteKind,
    /// Longest time that a request is held, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer earns its full credit, in milliseconds.
    pub objective_ms: u64,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Services, with weights.
    pub targets: Vec<RouteTarget>,
    /// Most engines that one attempt of a caller may be sent to.
    pub max_attempts: u32,
    /// Work before the request.
    pub phases: Vec<PhaseSpec>,
    /// Whether requests need no key.
    pub open: bool,
    /// Whether requests name the parts of their prompt.
    pub has_prefix: bool,
    /// The only regions that may serve, store or cache its requests; all where there is none.
    pub allowed_regions: Option<BTreeSet<String>>,
}

/// What a batch stage's engines can do, each.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BatchSpec {
    /// Calls at work at once.
    pub slots: u32,
    /// Calls that may wait.
    pub queue: u32,
    /// Most pieces in a call.
    pub pieces: usize,
    /// Time of a call, whatever it carries, in milliseconds.
    pub call_ms: f64,
    /// Time of a piece, in milliseconds.
    pub piece_ms: f64,
    /// Room for results, in bytes.
    pub room_bytes: u64,
    /// How long a result is kept, in milliseconds.
    pub result_lifetime_ms: u64,
}

/// What a service's model engines can do, each.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Requests at work at once.
    pub slots: u32,
    /// Memory for prompts and answers, in tokens.
    pub token_capacity: u64,
}

/// What a service's back ends bear while they are cold, each.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdSpec {
    /// Requests a second from all nodes together; above 0.
    pub requests_per_second: f64,
}

/// A service that back ends belong to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Its name.
    pub name: String,
    /// Path of its health check.
    pub health_path: String,
    /// Most connections of a back end, from all callers together.
    pub max_connections: u32,
    /// Where its back ends are model engines.
    pub engine: Option<EngineSpec>,
    /// Where its back ends take pieces in batches.
    pub batch: Option<BatchSpec>,
    /// Where its back ends bear less while they are cold.
    pub cold: Option<ColdSpec>,
}

/// A tenant and the hashes of its keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantKeys {
    /// The tenant.
    pub tenant: TenantName,
    /// Hashes of its keys: see [`crate::traffic::hash_key`].
    pub key_hashes: Vec<KeyHash>,
    /// Rank that takes precedence over the routes'.
    pub priority: Option<u8>,
    /// The only regions that may serve, store or cache its requests; all where there is none.
    pub allowed_regions: Option<BTreeSet<String>>,
}

/// What callers may send.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest head, in bytes.
    pub header_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Longest wait for a head, in milliseconds.
    pub header_timeout_ms: u64,
    /// Longest rest of a connection, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// SHA-256 of a key.
pub type KeyHash = [u8; 32];

/// Hashes a key; keys themselves are kept nowhere but in the operator's document.
pub fn hash_key(key: &str) -> KeyHash {
    Sha256::digest(key.as_bytes()).into()
}

/// A whole published configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TrafficConfiguration {
    /// Its version.
    pub version: TrafficVersion,
    /// Its routes.
    pub routes: Vec<Route>,
    /// Its services.
    pub services: Vec<ServiceSpec>,
    /// Tenants; where there are none, no request needs a key.
    pub tenants: Vec<TenantKeys>,
    /// Limits on callers.
    pub limits: CallerLimits,
}

/// What is wrong with a published configuration.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TrafficError {
    /// A name stands twice.
    #[error("{what} '{name}' stands twice")]
    Duplicate {
        /// Kind of object.
        what: &'static str,
        /// The name.
        name: String,
    },
    /// A route or phase names a service that is not declared.
    #[error("route '{route}' names the unknown service '{service}'")]
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: String,
    },
    /// Two routes have the same host and prefix.
    #[error("routes '{first}' and '{second}' have the same host and prefix")]
    DuplicateMatch {
        /// One route.
        first: String,
        /// The other.
        second: String,
    },
    /// The weights of a route's services sum to nothing.
    #[error("the weights of route '{0}' sum to 0")]
    ZeroWeight(String),
    /// A route's timeout is 0.
    #[error("the timeout of route '{0}' is 0")]
    ZeroTimeout(String),
    /// Two tenants share a key.
    #[error("tenants '{first}' and '{second}' share a key")]
    SharedKey {
        /// One tenant.
        first: String,
        /// The other.
        second: String,
    },
    /// What a cold back end bears is no figure above 0.
    #[error("what cold back ends of service '{0}' bear must be above 0")]
    InvalidColdRate(String),
    /// A list of allowed regions is empty: nothing could be served.
    #[error("the allowed regions of {what} '{name}' are none")]
    NoAllowedRegions {
        /// Kind of object.
        what: &'static str,
        /// Its name.
        name: String,
    },
    /// An allowed region is not among those of the deployment.
    #[error("{what} '{name}' allows the unknown region '{region}'")]
    UnknownRegion {
        /// Kind of object.
        what: &'static str,
        /// Its name.
        name: String,
        /// The region.
        region: String,
    },
    /// A phase waits for one that does not come before it.
    #[error("phase {phase} of route '{route}' comes after a phase that does not precede it")]
    PhaseOrder {
        /// The route.
        route: String,
        /// Number of the phase.
        phase: usize,
    },
}

impl TrafficConfiguration {
    /// Checks what the types can't.
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
        let mut places: BTreeMap<(&str, &str), &str> = BTreeMap::new();
        for route in &self.routes {
            route.validate(&services)?;
            let place = (route.host.as_str(), route.path_prefix.as_str());
            if let Some(first) = places.insert(place, &route.name) {
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

    /// Checks that all allowed regions are among `known`. The configuration itself does not
    /// tell which regions there are: whoever knows the topology asks this.
    ///
    /// # Errors
    /// Names the first region that is not known.
    pub fn check_regions(&self, known: &BTreeSet<&str>) -> Result<(), TrafficError> {
        for (what, name, allowed) in self.region_lists() {
            let unknown = allowed.iter().find(|one| !known.contains(one.as_str()));
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

    /// The lists of allowed regions, each with the kind and name of what it restricts.
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

    /// The service of this name.
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services.iter().find(|service| service.name == name)
    }
}

impl Route {
    fn validate(&self, services: &BTreeSet<&str>) -> Result<(), TrafficError> {
        let phases = self.phases.iter().map(|phase| &phase.service);
        let named = self.targets.iter().map(|target| &target.service);
        for service in named.chain(phases) {
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
            if spec.after.iter().any(|before| *before >= phase) {
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
