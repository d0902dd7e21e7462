//! The sending side of a process.

use crate::metrics::Metrics;
use silversail_model::topology::Distance;
use silversail_model::{NodeName, Topology};
use silversail_peer::message::PROTOCOL_VERSION;
use silversail_peer::{Contact, Envelope, PeerMessage, SendResult, Transport};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

/// Puts messages into envelopes and hands them to the transport. Messages to
/// the own node are looped back.
pub struct Outbox {
    cluster: String,
    node: NodeName,
    incarnation: u64,
    transport: Box<dyn Transport>,
    loopback: Box<dyn Fn(Envelope)>,
    metrics: Arc<Metrics>,
    topology: Arc<Topology>,
    /// How far the known nodes are.
    distances: BTreeMap<NodeName, Distance>,
}

/// An outbox shared by the actors of one node.
pub type SharedOutbox = Rc<RefCell<Outbox>>;

impl Outbox {
    /// An outbox for the process `incarnation` of `node`.
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

    /// Bytes are counted by the distances of this topology.
    pub fn with_topology(mut self, topology: Arc<Topology>) -> Self {
        self.topology = topology;
        self
    }

    /// This node.
    pub fn node(&self) -> &NodeName {
        &self.node
    }

    /// This process.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Sends a message; it may be lost.
    pub fn send(&mut self, to: &NodeName, message: PeerMessage) {
        let envelope = self.envelope(message);
        if *to == self.node {
            (self.loopback)(envelope);
            return;
        }
        let result = self.transport.send(to, &envelope);
        let distance = self.distances.get(to).copied();
        self.count(result, envelope.message.kind(), distance);
    }

    /// Sends a message to an address of which no node is known; it may be lost.
    pub fn send_to_address(&mut self, address: &str, message: PeerMessage) {
        let envelope = self.envelope(message);
        let result = self.transport.send_to_address(address, &envelope);
        self.count(result, envelope.message.kind(), None);
    }

    /// Learns where a node is reached.
    pub fn set_contact(&mut self, contact: &Contact) {
        self.set_zone(&contact.node, &contact.zone);
        self.transport
            .set_address(&contact.node, &contact.peer_address);
    }

    /// Learns the zone of a node.
    pub fn set_zone(&mut self, node: &NodeName, zone: &str) {
        let distance = self.topology.distance_to(zone);
        self.distances.insert(node.clone(), distance);
    }

    /// Gives up the connection to a silent node for a new one.
    pub fn reconnect(&mut self, node: &NodeName) {
        self.transport.reconnect(node);
    }

    /// A message of a node's process came.
    pub fn record_message(&mut self, from: &NodeName, incarnation: u64) {
        self.transport.record_message(from, incarnation);
    }

    fn envelope(&self, message: PeerMessage) -> Envelope {
        Envelope {
            version: PROTOCOL_VERSION,
            cluster: self.cluster.clone(),
            from: self.node.clone(),
            incarnation: self.incarnation,
            message,
        }
    }

    fn count(&self, result: SendResult, kind: &str, distance: Option<Distance>) {
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
