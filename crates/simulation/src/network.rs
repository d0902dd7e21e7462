//! In-memory network that delays, loses and holds back messages by a seeded random
//! generator.

use crate::world::FIRST_PORT;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use silversail_consensus::Millis;
use silversail_model::topology::Distance;
use silversail_model::{NodeName, Topology};
use silversail_peer::transport::{encode, Transport};
use silversail_peer::{Envelope, SendResult};
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::rc::Rc;

/// Arrival time, number in order of sending, and receiver of a message.
type Arrival = (Millis, u64, NodeName);

/// Network faults, which apply until they are changed.
#[derive(Clone, Debug)]
pub struct NetworkFaults {
    /// Share of messages that are lost.
    pub loss_rate: f64,
    /// Longest random delay of a message, in milliseconds.
    pub max_delay: Millis,
    /// Share of messages that are held back for up to [`MAX_HOLD_MS`].
    pub hold_rate: f64,
    /// Nodes that can neither send nor receive.
    pub isolated_nodes: BTreeSet<NodeName>,
    /// Pairs of sender and receiver whose messages are dropped.
    pub blocked_links: BTreeSet<(NodeName, NodeName)>,
}

impl Default for NetworkFaults {
    fn default() -> Self {
        Self {
            loss_rate: 0.0,
            max_delay: 2,
            hold_rate: 0.0,
            isolated_nodes: BTreeSet::new(),
            blocked_links: BTreeSet::new(),
        }
    }
}

/// Longest time for which a message is held back, in milliseconds.
const MAX_HOLD_MS: Millis = 6_000;

/// Zones of the nodes, from which the delay over a distance follows.
#[derive(Clone, Debug, Default)]
pub struct NodeLocations {
    /// Zone by node; without an entry, messages have no extra delay.
    pub zones: BTreeMap<NodeName, String>,
    /// Regions of the zones and their round-trip times.
    pub topology: Topology,
}

impl NodeLocations {
    fn distance(&self, from: &NodeName, to: &NodeName) -> Option<Distance> {
        let (from, to) = (self.zones.get(from)?, self.zones.get(to)?);
        Some(self.topology.distance(from, to))
    }
}

/// Numbers of messages and bytes of one node.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NodeTraffic {
    /// Messages sent.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Messages received.
    pub received: u64,
    /// Bytes received.
    pub received_bytes: u64,
}

/// The network of one simulated cluster.
pub struct Network {
    /// Faults in force.
    pub faults: NetworkFaults,
    /// NodeTraffic by node.
    pub traffic: BTreeMap<NodeName, NodeTraffic>,
    /// Zones of the nodes.
    pub locations: NodeLocations,
    /// Bytes sent to nodes of other regions.
    pub cross_region_bytes: u64,
    /// Time at which the connection from one node to another is established.
    connected_at: BTreeMap<(NodeName, NodeName), Millis>,
    now: Millis,
    last_number: u64,
    arrivals: BinaryHeap<Reverse<Arrival>>,
    in_flight: BTreeMap<u64, (Envelope, usize)>,
    random: ChaCha8Rng,
}

/// The network, shared by all nodes.
pub type SharedNetwork = Rc<RefCell<Network>>;

impl Network {
    /// Creates a network without faults.
    pub fn new(random: ChaCha8Rng) -> Self {
        Self {
            faults: NetworkFaults::default(),
            traffic: BTreeMap::new(),
            locations: NodeLocations::default(),
            cross_region_bytes: 0,
            connected_at: BTreeMap::new(),
            now: 0,
            last_number: 0,
            arrivals: BinaryHeap::new(),
            in_flight: BTreeMap::new(),
            random,
        }
    }

    /// Sets the virtual time, in milliseconds.
    pub fn set_now(&mut self, now: Millis) {
        self.now = now;
    }

    /// Virtual time at which the next message arrives.
    pub fn next_arrival(&self) -> Option<Millis> {
        self.arrivals.peek().map(|Reverse((at, _, _))| *at)
    }

    /// The next message that has arrived by now, with its receiver.
    pub fn receive(&mut self) -> Option<(NodeName, Envelope)> {
        while self.next_arrival()? <= self.now {
            let Reverse((_, number, to)) = self.arrivals.pop()?;
            let (envelope, bytes) = self.in_flight.remove(&number)?;
            if envelope.from != to && self.is_blocked(&envelope.from, &to) {
                continue;
            }
            if envelope.from != to {
                let traffic = self.traffic.entry(to.clone()).or_default();
                traffic.received += 1;
                traffic.received_bytes += bytes as u64;
            }
            return Some((to, envelope));
        }
        None
    }

    fn is_blocked(&self, from: &NodeName, to: &NodeName) -> bool {
        let faults = &self.faults;
        faults.isolated_nodes.contains(from)
            || faults.isolated_nodes.contains(to)
            || faults.blocked_links.contains(&(from.clone(), to.clone()))
    }

    /// Queues a message for delivery and returns its size in bytes.
    pub fn send(&mut self, to: NodeName, envelope: Envelope) -> usize {
        if envelope.from == to {
            self.enqueue(self.now, to, envelope, 0);
            return 0;
        }
        let bytes = encode(&envelope).len();
        let traffic = self.traffic.entry(envelope.from.clone()).or_default();
        traffic.sent += 1;
        traffic.sent_bytes += bytes as u64;
        let distance = self.locations.distance(&envelope.from, &to);
        if distance == Some(Distance::OtherRegion) {
            self.cross_region_bytes += bytes as u64;
        }
        if self.is_blocked(&envelope.from, &to) || self.random.gen_bool(self.faults.loss_rate) {
            return bytes;
        }
        let delay = if self.random.gen_bool(self.faults.hold_rate) {
            self.random.gen_range(0..MAX_HOLD_MS)
        } else {
            self.random.gen_range(0..=self.faults.max_delay)
        };
        let one_way_ms = distance.map_or(0, |distance| self.one_way_delay(distance));
        let leaves_at = self
            .connected_at(&envelope.from, &to, one_way_ms)
            .max(self.now);
        self.enqueue(leaves_at + delay + one_way_ms, to, envelope, bytes);
        bytes
    }

    /// Time at which the connection between two nodes is established: the first message waits for
    /// two round trips, those of the TCP connection and of its handshake.
    fn connected_at(&mut self, from: &NodeName, to: &NodeName, one_way_ms: Millis) -> Millis {
        let pair = (from.clone(), to.clone());
        *self
            .connected_at
            .entry(pair)
            .or_insert(self.now + 4 * one_way_ms)
    }

    /// Closes all connections of a node whose process has ended.
    pub fn disconnect(&mut self, node: &NodeName) {
        self.connected_at
            .retain(|(from, to), _| from != node && to != node);
    }

    fn one_way_delay(&self, distance: Distance) -> Millis {
        (self.locations.topology.round_trip_ms(distance) / 2.0) as Millis
    }

    fn enqueue(&mut self, at: Millis, to: NodeName, envelope: Envelope, bytes: usize) {
        self.last_number += 1;
        self.arrivals.push(Reverse((at, self.last_number, to)));
        self.in_flight.insert(self.last_number, (envelope, bytes));
    }
}

/// Peer transport of a node over the simulated network.
pub struct SimulatedTransport(pub SharedNetwork);

impl Transport for SimulatedTransport {
    fn send(&mut self, to: &NodeName, envelope: &Envelope) -> SendResult {
        let bytes = self.0.borrow_mut().send(to.clone(), envelope.clone());
        SendResult::Queued { bytes }
    }

    fn send_to_address(&mut self, address: &str, envelope: &Envelope) -> SendResult {
        let port = address
            .rsplit(':')
            .next()
            .and_then(|port| port.parse().ok());
        let position = port.and_then(|port: usize| port.checked_sub(FIRST_PORT));
        let Some(position) = position else {
            return SendResult::UnknownPeer;
        };
        self.send(&NodeName(format!("n{position:03}")), envelope)
    }
}
