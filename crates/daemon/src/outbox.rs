//! The sending side of a process.

use crate::metrics::Metrics;
use silversail_model::NodeName;
use silversail_peer::message::PROTOCOL_VERSION;
use silversail_peer::{Envelope, PeerMessage, SendResult, Transport};
use std::cell::RefCell;
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
        }
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
        self.count(result);
    }

    /// Sends a message to an address of which no node is known; it may be lost.
    pub fn send_to_address(&mut self, address: &str, message: PeerMessage) {
        let envelope = self.envelope(message);
        let result = self.transport.send_to_address(address, &envelope);
        self.count(result);
    }

    /// Learns where a node is reached.
    pub fn learn(&mut self, node: &NodeName, address: &str) {
        self.transport.learn(node, address);
    }

    /// Gives up the connection to a silent node for a new one.
    pub fn reconnect(&mut self, node: &NodeName) {
        self.transport.reconnect(node);
    }

    /// A message of a node's process came.
    pub fn heard(&mut self, from: &NodeName, incarnation: u64) {
        self.transport.heard(from, incarnation);
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

    fn count(&self, result: SendResult) {
        let result = match result {
            SendResult::Queued => "queued",
            SendResult::Dropped => "dropped",
            SendResult::UnknownPeer => "unknown_peer",
        };
        self.metrics.peer_sent.with_label_values(&[result]).inc();
    }
}
