//! Fixtures: a small traffic configuration and its back ends.
#![allow(dead_code)]

pub mod batches;
pub mod versions;

use silversail_decisions::DecisionLog;
use silversail_model::topology::{RegionFilter, RoundTrips};
use silversail_model::traffic::{
    BatchSpec, CallerLimits, EngineSpec, PhaseSpec, Route, RouteKind, RouteTarget, ServiceSpec,
};
use silversail_model::Topology;
use silversail_model::TrafficConfiguration;
use silversail_peer::{BackendListEntries, Piece, ResultHandle};
use silversail_serving::batcher::{BatchCall, CallOutcome};
use silversail_serving::dispatcher::Dispatcher;
use silversail_serving::policy::Policy;
use silversail_serving::ports::{BackendListEntry, CallAttributes};
use silversail_serving::retry_budget::RetryLimits;
use silversail_serving::routes::RouteTable;
use std::sync::{Arc, LazyLock};

pub const LIMITS: RetryLimits = RetryLimits {
    ratio: 0.2,
    allowance: 60.0,
    window: 10_000,
};

pub fn route(name: &str, prefix: &str, service: &str, kind: RouteKind) -> Route {
    Route {
        name: name.into(),
        host: "a.example".into(),
        path_prefix: prefix.into(),
        kind,
        timeout_ms: 5_000,
        objective_ms: 2_000,
        priority: 1,
        targets: vec![RouteTarget {
            service: service.into(),
            weight: 1,
        }],
        max_attempts: 2,
        phases: Vec::new(),
        open: false,
        has_prefix: service == "pool",
        allowed_regions: None,
    }
}

pub fn phase(service: &str, after: &[usize], result_bytes: u64) -> PhaseSpec {
    PhaseSpec {
        service: service.into(),
        after: after.to_vec(),
        result_bytes,
    }
}

pub fn batch_spec() -> BatchSpec {
    BatchSpec {
        slots: 1,
        queue: 2,
        pieces: 8,
        call_ms: 240.0,
        piece_ms: 10.0,
        room_bytes: 1_000_000,
        result_lifetime_ms: 4_000,
    }
}

fn service(name: &str, engine: Option<EngineSpec>, batch: Option<BatchSpec>) -> ServiceSpec {
    ServiceSpec {
        name: name.into(),
        health_path: "/health".into(),
        max_connections: 100,
        engine,
        batch,
        cold: None,
    }
}

/// Routes: `chat` (a stream, not resumable), `deep` (a resumable stream), `gate` (at most once),
/// `lookup` (repeatable), `staged` (a stream after phases 0 and 1 in sequence and phase 2 in
/// parallel).
pub fn traffic() -> TrafficConfiguration {
    let stream = |resumable| RouteKind::Stream { resumable };
    let mut staged = route("staged", "/staged/", "pool", stream(false));
    staged.phases = vec![
        phase("encode", &[], 1_000),
        phase("encode", &[0], 1_000),
        phase("encode", &[], 500_000),
    ];
    TrafficConfiguration {
        version: 7,
        routes: vec![
            route("chat", "/chat/", "pool", stream(false)),
            route("deep", "/chat/deep/", "pool", stream(true)),
            route("gate", "/gate/", "gate", RouteKind::AtMostOnce),
            route("lookup", "/lookup/", "gate", RouteKind::Repeatable),
            staged,
        ],
        services: vec![
            service(
                "pool",
                Some(EngineSpec {
                    slots: 64,
                    token_capacity: 500_000,
                }),
                None,
            ),
            service("gate", None, None),
            service("encode", None, Some(batch_spec())),
        ],
        tenants: Vec::new(),
        limits: CallerLimits {
            header_bytes: 16_384,
            body_bytes: 4 << 20,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        },
    }
}

/// A request for `chat`.
pub fn call(id: &str) -> CallAttributes {
    CallAttributes {
        id: id.into(),
        host: "a.example".into(),
        path: "/chat/x".into(),
        deadline_ms: Some(4_000),
        ..CallAttributes::default()
    }
}

pub fn call_of(id: &str, path: &str) -> CallAttributes {
    CallAttributes {
        path: path.into(),
        ..call(id)
    }
}

pub fn instance(id: &str, service: &str, zone: &str) -> BackendListEntry {
    BackendListEntry {
        id: id.into(),
        name: id.into(),
        service: service.into(),
        address: format!("{id}:80"),
        zone: zone.into(),
        version: "v1".to_owned(),
        slots: if service == "pool" { 64 } else { 4 },
        draining: false,
        cold: false,
        started_at_ms: None,
    }
}

/// A list with these entries.
pub fn list_of(entries: &[BackendListEntry]) -> BackendListEntries {
    entries.iter().cloned().collect()
}

/// Three engines, two gates and two encoders in zones `a` and `b`.
pub fn instances() -> Vec<BackendListEntry> {
    vec![
        instance("e1", "pool", "a"),
        instance("e2", "pool", "b"),
        instance("e3", "pool", "b"),
        instance("g1", "gate", "a"),
        instance("g2", "gate", "b"),
        instance("s1", "encode", "a"),
        instance("s2", "encode", "b"),
    ]
}

/// Topology of a node in zone `a`, without regions.
pub static NO_REGIONS: LazyLock<Topology> = LazyLock::new(|| (*in_zone("a")).clone());
/// Topology of a node in zone `a`, with two zones in each of two regions.
pub static TWO_REGIONS: LazyLock<Topology> = LazyLock::new(|| {
    let zones = [
        ("a", "north"),
        ("b", "north"),
        ("c", "south"),
        ("d", "south"),
    ];
    (*in_regions("a", &zones)).clone()
});
/// A filter that allows every region.
pub static ANY_REGION: LazyLock<RegionFilter> = LazyLock::new(RegionFilter::any);

/// A filter that allows these regions only.
pub fn only(regions: &[&str]) -> RegionFilter {
    let allowed = regions.iter().map(|region| (*region).to_owned()).collect();
    RegionFilter::intersection(Some(&allowed), None)
}

/// Topology of a node in a zone, without regions.
pub fn in_zone(zone: &str) -> Arc<Topology> {
    in_regions(zone, &[])
}

/// Topology of a node in a zone, with the region of each of `zones`.
pub fn in_regions(local_zone: &str, zones: &[(&str, &str)]) -> Arc<Topology> {
    let regions = zones.iter();
    let regions = regions.map(|(zone, region)| ((*zone).to_owned(), (*region).to_owned()));
    let topology = Topology::new(local_zone, regions.collect(), RoundTrips::default());
    Arc::new(topology.expect("a valid topology"))
}

/// A dispatcher with [`traffic`] and [`instances`].
pub fn dispatcher() -> Dispatcher {
    dispatcher_with(Policy::default())
}

/// A dispatcher with [`traffic`] and [`instances`] that decides by `policy`.
pub fn dispatcher_with(policy: Policy) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(in_zone("a"), LIMITS, policy, 1, DecisionLog::disabled());
    dispatcher.set_routes(RouteTable::new(&traffic()), 0);
    dispatcher.instances.replace_list(&instances());
    dispatcher
}

/// A successful answer to a batch call.
pub fn made(call: &BatchCall) -> CallOutcome {
    let handle = |(piece, _): &(Piece, u64)| {
        let name = format!("{}/{}-{}", call.address, piece.request, piece.index);
        Ok(ResultHandle(name))
    };
    CallOutcome::Answered(call.pieces.iter().map(handle).collect())
}
