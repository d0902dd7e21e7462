//! Peer nodes that serve requests for this node while it does not reach the back ends itself.
//!
//! A peer gets the caller's request, with the caller's key, as if the caller had sent it there. It
//! decides everything from the route to the retries, and its answer is passed on. It does not
//! forward the request again, and rejects it if its configuration is older than the one that callers
//! of the first node have met.

use crate::Millis;
use silversail_model::topology::RegionFilter;
use silversail_model::{NodeName, Topology};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Maximum number of forwarded requests in flight to one peer. Bounds the connections and buffered
/// bodies that this node causes there.
const MAX_IN_FLIGHT: u32 = 64;
/// How long an unreachable peer gets no requests, in milliseconds.
const UNREACHABLE_FOR: Millis = 1_000;
/// Maximum number of peers that are tried for a request.
pub const MAX_PEERS_TRIED: usize = 3;

/// A node that may serve callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerNode {
    /// Name of the node.
    pub node: NodeName,
    /// Address at which callers connect to the node.
    pub address: String,
    /// Zone of the node.
    pub zone: String,
}

/// How to forward a request to a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardPlan {
    /// Name of the peer.
    pub node: NodeName,
    /// Address at which callers connect to the peer.
    pub address: String,
    /// Deadline of the request.
    pub end: Millis,
    /// Whether the answer is streamed.
    pub is_stream: bool,
    /// Number of earlier sends of this node that may have run, which count against the attempts of
    /// the request.
    pub earlier_attempts: u32,
    /// Version of the traffic configuration that the peer must have applied: callers of this node
    /// have met it.
    pub min_version: u64,
}

/// What a node tells a peer to which it forwards a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReceivedForward {
    /// Number of sends of that node that may have run.
    pub earlier_attempts: u32,
    /// Version of the traffic configuration by which the request must be served, or a later one.
    pub min_version: u64,
}

/// The peers, with the requests that this node has forwarded to them.
#[derive(Default)]
pub struct PeerTable {
    peers: Vec<PeerNode>,
    in_flight: BTreeMap<NodeName, u32>,
    unreachable_until: BTreeMap<NodeName, Millis>,
}

impl PeerTable {
    /// Replaces the usable peers, without this node.
    pub fn set_peers(&mut self, peers: Vec<PeerNode>) {
        self.peers = peers;
        let peers = &self.peers;
        self.unreachable_until
            .retain(|node, _| peers.iter().any(|peer| peer.node == *node));
    }

    /// Names of the usable peers.
    pub(crate) fn names(&self) -> impl Iterator<Item = &NodeName> {
        self.peers.iter().map(|peer| &peer.node)
    }

    /// Chooses a peer for a request: of two random ones in this node's region, the one with fewer
    /// requests in flight; in other allowed regions if there is none.
    pub fn choose(
        &self,
        request: &str,
        tried: &[NodeName],
        allowed: &RegionFilter,
        topology: &Topology,
        now: Millis,
    ) -> Option<&PeerNode> {
        let is_available = |peer: &&PeerNode| {
            let until = self.unreachable_until.get(&peer.node);
            allowed.allows(topology.region_of(&peer.zone))
                && !tried.contains(&peer.node)
                && until.is_none_or(|until| *until <= now)
                && self.in_flight_to(&peer.node) < MAX_IN_FLIGHT
        };
        let available: Vec<&PeerNode> = self.peers.iter().filter(is_available).collect();
        let is_near = |peer: &&&PeerNode| topology.region_of(&peer.zone) == topology.local_region();
        let near: Vec<&PeerNode> = available.iter().filter(is_near).copied().collect();
        let candidates = if near.is_empty() { available } else { near };
        let draw = |number: u32| {
            let mut hasher = DefaultHasher::new();
            (request, tried.len(), number).hash(&mut hasher);
            let place = hasher.finish() % candidates.len().max(1) as u64;
            candidates.get(place as usize).copied()
        };
        let (first, second) = (draw(0)?, draw(1)?);
        match self.in_flight_to(&second.node) < self.in_flight_to(&first.node) {
            true => Some(second),
            false => Some(first),
        }
    }

    fn in_flight_to(&self, node: &NodeName) -> u32 {
        self.in_flight.get(node).copied().unwrap_or_default()
    }

    /// Records that a request is forwarded to a peer.
    pub fn record_forwarded(&mut self, node: &NodeName) {
        *self.in_flight.entry(node.clone()).or_default() += 1;
    }

    /// Records the end of a forwarded request.
    pub fn record_ended(&mut self, node: &NodeName) {
        if let Some(in_flight) = self.in_flight.get_mut(node) {
            *in_flight -= 1;
            if *in_flight == 0 {
                self.in_flight.remove(node);
            }
        }
    }

    /// Records that a peer could not be connected to.
    pub fn record_unreachable(&mut self, node: &NodeName, now: Millis) {
        self.unreachable_until
            .insert(node.clone(), now + UNREACHABLE_FOR);
    }
}
