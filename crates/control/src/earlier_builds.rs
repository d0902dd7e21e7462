//! Encodings of builds with message version 6, whose logs, snapshots and messages this build reads
//! and, for processes of such builds, writes. They have no regions in the traffic configuration, no
//! rollouts and no quarantine.

use crate::control_state::ControlCommand;
use crate::evacuation::SharedEvacuations;
use crate::orders::OrderTable;
use crate::published::PublishedTraffic;
use crate::{compression, rollouts::SharedRollouts};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use silversail_model::traffic::{
    CallerLimits, KeyHash, PhaseSpec, Route, RouteKind, RouteTarget, ServiceSpec, TenantKeys,
};
use silversail_model::{TenantName, TrafficConfiguration, TrafficVersion};
use silversail_quarantine::Quarantine;

#[derive(Serialize, Deserialize)]
struct EarlierRoute {
    name: String,
    host: String,
    path_prefix: String,
    kind: RouteKind,
    timeout_ms: u64,
    objective_ms: u64,
    priority: u8,
    targets: Vec<RouteTarget>,
    max_attempts: u32,
    phases: Vec<PhaseSpec>,
    open: bool,
    has_prefix: bool,
}

#[derive(Serialize, Deserialize)]
struct EarlierTenant {
    tenant: TenantName,
    key_hashes: Vec<KeyHash>,
    priority: Option<u8>,
}

#[derive(Serialize, Deserialize)]
struct EarlierTraffic {
    version: TrafficVersion,
    routes: Vec<EarlierRoute>,
    services: Vec<ServiceSpec>,
    tenants: Vec<EarlierTenant>,
    limits: CallerLimits,
}

#[derive(Serialize, Deserialize)]
struct EarlierPublished {
    document: Vec<u8>,
    traffic: EarlierTraffic,
}

/// Encoded commands; those of variants that hold a published configuration differ between builds.
#[derive(Serialize, Deserialize)]
enum EarlierCommand {
    Change(crate::change::ChangeRequest),
    Order(crate::orders::OrderCommand),
    /// Compressed [`EarlierPublished`].
    Publish(Vec<u8>),
    Evacuate(crate::evacuation::EvacuationOrder),
}

/// Parts of a snapshot: configuration, orders, compressed published configuration, evacuations.
type EarlierSnapshot = (Vec<u8>, OrderTable, Option<Vec<u8>>, SharedEvacuations);

/// Parts of a snapshot of this build.
pub(crate) type StoredState = (
    Vec<u8>,
    OrderTable,
    Option<PublishedTraffic>,
    SharedEvacuations,
    SharedRollouts,
    Quarantine,
);

/// Decodes a value that takes up all of `bytes`.
pub(crate) fn decode_whole<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let (value, rest) = postcard::take_from_bytes(bytes).ok()?;
    rest.is_empty().then_some(value)
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).expect("encoding into memory does not fail")
}

impl From<EarlierPublished> for PublishedTraffic {
    fn from(earlier: EarlierPublished) -> Self {
        let EarlierTraffic {
            version,
            routes,
            services,
            tenants,
            limits,
        } = earlier.traffic;
        let routes = routes.into_iter().map(|route| Route {
            name: route.name,
            host: route.host,
            path_prefix: route.path_prefix,
            kind: route.kind,
            timeout_ms: route.timeout_ms,
            objective_ms: route.objective_ms,
            priority: route.priority,
            targets: route.targets,
            max_attempts: route.max_attempts,
            phases: route.phases,
            open: route.open,
            has_prefix: route.has_prefix,
            allowed_regions: None,
        });
        let tenants = tenants.into_iter().map(|tenant| TenantKeys {
            tenant: tenant.tenant,
            key_hashes: tenant.key_hashes,
            priority: tenant.priority,
            allowed_regions: None,
        });
        Self {
            document: earlier.document,
            traffic: TrafficConfiguration {
                version,
                routes: routes.collect(),
                services,
                tenants: tenants.collect(),
                limits,
            },
        }
    }
}

/// The configuration as an earlier build holds it; `None` if it restricts regions, which such a
/// build would ignore.
fn to_earlier(published: &PublishedTraffic) -> Option<EarlierPublished> {
    let traffic = &published.traffic;
    let routes = traffic.routes.iter().map(|route| {
        let is_unrestricted = route.allowed_regions.is_none();
        is_unrestricted.then(|| EarlierRoute {
            name: route.name.clone(),
            host: route.host.clone(),
            path_prefix: route.path_prefix.clone(),
            kind: route.kind,
            timeout_ms: route.timeout_ms,
            objective_ms: route.objective_ms,
            priority: route.priority,
            targets: route.targets.clone(),
            max_attempts: route.max_attempts,
            phases: route.phases.clone(),
            open: route.open,
            has_prefix: route.has_prefix,
        })
    });
    let tenants = traffic.tenants.iter().map(|tenant| {
        let is_unrestricted = tenant.allowed_regions.is_none();
        is_unrestricted.then(|| EarlierTenant {
            tenant: tenant.tenant.clone(),
            key_hashes: tenant.key_hashes.clone(),
            priority: tenant.priority,
        })
    });
    Some(EarlierPublished {
        document: published.document.clone(),
        traffic: EarlierTraffic {
            version: traffic.version,
            routes: routes.collect::<Option<_>>()?,
            services: traffic.services.clone(),
            tenants: tenants.collect::<Option<_>>()?,
            limits: traffic.limits.clone(),
        },
    })
}

/// Decodes an uncompressed configuration of an earlier build.
pub(crate) fn decode_published(bytes: &[u8]) -> Option<PublishedTraffic> {
    decode_whole::<EarlierPublished>(bytes).map(PublishedTraffic::from)
}

/// Encodes a configuration, uncompressed, for an earlier build; `None` if it has no such form.
pub(crate) fn encode_published(published: &PublishedTraffic) -> Option<Vec<u8>> {
    to_earlier(published).map(|earlier| encode(&earlier))
}

/// Encodes a configuration, compressed, for an earlier build; `None` if it has no such form.
pub fn compress_published(published: &PublishedTraffic) -> Option<Vec<u8>> {
    compression::compress(&encode_published(published)?).ok()
}

/// Converts an encoded command to the form that an earlier build applies; `None` if it has none.
pub fn convert_command(command: &[u8]) -> Option<Vec<u8>> {
    let earlier = match postcard::from_bytes(command).ok()? {
        ControlCommand::Publish(published) => {
            EarlierCommand::Publish(compress_published(&published)?)
        }
        ControlCommand::Rollout(_) | ControlCommand::Quarantine(_) => return None,
        ControlCommand::Change(_) | ControlCommand::Order(_) | ControlCommand::Evacuate(_) => {
            return Some(command.to_vec())
        }
    };
    Some(encode(&earlier))
}

/// Converts an encoded snapshot to the form that an earlier build restores; `None` if it has none,
/// as the state holds what that build would lose.
pub fn convert_snapshot(snapshot: &[u8]) -> Option<Vec<u8>> {
    let (configuration, orders, published, evacuations, rollouts, quarantine) =
        read_snapshot(snapshot)?;
    let known_state = encode(&(&rollouts, &quarantine));
    if known_state != encode(&(SharedRollouts::default(), Quarantine::default())) {
        return None;
    }
    let published = match published {
        Some(published) => Some(compress_published(&published)?),
        None => None,
    };
    let earlier: EarlierSnapshot = (configuration, orders, published, evacuations);
    Some(encode(&earlier))
}

/// Reads a snapshot of this or an earlier build.
pub(crate) fn read_snapshot(snapshot: &[u8]) -> Option<StoredState> {
    if let Some(state) = decode_whole::<StoredState>(snapshot) {
        return Some(state);
    }
    type Earlier = (
        Vec<u8>,
        OrderTable,
        Option<PublishedTraffic>,
        SharedEvacuations,
    );
    let (configuration, orders, published, evacuations) = decode_whole::<Earlier>(snapshot)?;
    let (rollouts, quarantine) = Default::default();
    Some((
        configuration,
        orders,
        published,
        evacuations,
        rollouts,
        quarantine,
    ))
}
