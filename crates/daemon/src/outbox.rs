//! Sends messages to peers.

use crate::metrics::Metrics;
use silversail_model::topology::Distance;
use silversail_model::{NodeName, Topology};
use silversail_peer::{Contact, Envelope, PeerMessage, SendResult, Transport};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

/// Wraps messages in envelopes and passes them to the transport. Messages to the own node
/// are delivered locally.
pub struct Outbox {
    cluster: String,
    node: NodeName,
    incarnation: u64,
    transport: Box<dyn Transport>,
    loopback: Box<dyn Fn(Envelope)>,
    metrics: Arc<Metrics>,
    topology: Arc<Topology>,
    /// Distances of the known nodes, for the byte counters.
    distances: BTreeMap<NodeName, Distance>,
}

/// An outbox shared by the actors of one node.
pub type SharedOutbox = Rc<RefCell<Outbox>>;

impl Outbox {
    /// An outbox of the process with `incarnation` on `node`.
    pub fn new(
        cluster: String,
        node: NodeName,
        incarnation: u64,
        transport: Box<dyn Transport>,
        loopback: Box<dyn Fn(Envelope)>,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            cluster,
            node,
            incarnation,
            transport,
            loopback,
            metrics,
            topology: Arc::default(),
            distances: BTreeMap::new(),
        }
    }

    /// Sets the topology by which the byte counters distinguish distances.
    pub fn with_topology(mut self, topology: Arc<Topology>) -> Self {
        self.topology = topology;
        self
    }

    /// Name of the own node.
    pub fn node(&self) -> &NodeName {
        &self.node
    }

    /// Incarnation of the own process, which increases with each start.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Sends a message without a delivery guarantee.
    pub fn send(&mut self, to: &NodeName, message: PeerMessage) {
        let envelope = self.wrap(message);
        if *to == self.node {
            (self.loopback)(envelope);
            return;
        }
        let result = self.transport.send(to, &envelope);
        let distance = self.distances.get(to).copied();
        self.count_sent(result, envelope.message.kind(), distance);
    }

    /// Sends a message to an address whose node is unknown, without a delivery guarantee.
    pub fn send_to_address(&mut self, address: &str, message: PeerMessage) {
        let envelope = self.wrap(message);
        let result = self.transport.send_to_address(address, &envelope);
        self.count_sent(result, envelope.message.kind(), None);
    }

    /// Sets the address and the zone of a node.
    pub fn set_contact(&mut self, contact: &Contact) {
        self.set_zone(&contact.node, &contact.zone);
        self.transport
            .set_address(&contact.node, &contact.peer_address);
    }

    /// Sets the zone of a node.
    pub fn set_zone(&mut self, node: &NodeName, zone: &str) {
        let distance = self.topology.distance_to(zone);
        self.distances.insert(node.clone(), distance);
    }

    /// Replaces the connection to a node that does not respond.
    pub fn reconnect(&mut self, node: &NodeName) {
        self.transport.reconnect(node);
    }

    /// Whether a node is known to speak an earlier message version than this build.
    pub fn speaks_earlier_version(&self, node: &NodeName) -> bool {
        self.transport.speaks_earlier_version(node)
    }

    /// Records that a message of a node's process arrived, encoded in `version`.
    pub fn record_message(&mut self, from: &NodeName, incarnation: u64, version: u8) {
        self.transport.record_message(from, incarnation, version);
    }

    fn wrap(&self, message: PeerMessage) -> Envelope {
        Envelope {
            version: message.version(),
            cluster: self.cluster.clone(),
            from: self.node.clone(),
            incarnation: self.incarnation,
            message,
        }
    }

    fn count_sent(&self, result: SendResult, kind: &str, distance: Option<Distance>) {
        if let SendResult::Queued { bytes } = result {
            let distance = distance.map_or("unknown", distance_label);
            let counter = &self.metrics.peer_sent_bytes;
            let counter = counter.with_label_values(&[kind, distance]);
            counter.inc_by(bytes as u64);
        }
        let result = match result {
            SendResult::Queued { .. } => "queued",
            SendResult::Dropped => "dropped",
            SendResult::UnknownPeer => "unknown_peer",
        };
        self.metrics.peer_sent.with_label_values(&[result]).inc();
    }
}

fn distance_label(distance: Distance) -> &'static str {
    match distance {
        Distance::SameZone => "same_zone",
        Distance::SameRegion => "same_region",
        Distance::OtherRegion => "other_region",
    }
}
