//! Discovery of all nodes of a cluster from a few contact addresses.

use serde::{Deserialize, Serialize};
use silversail_model::NodeName;

/// Address and properties that a node announces to other nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// Name of the node.
    pub node: NodeName,
    /// Incarnation of the node's process; of two contacts of a node the higher one is newer.
    pub incarnation: u64,
    /// IP address and port for messages of other nodes.
    pub peer_address: String,
    /// Zone of the node.
    pub zone: String,
    /// Whether the node has a disk and replicates the cluster's state.
    pub replicates: bool,
}

/// A contact and the time since the last message from it, by the clock of the sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContactWithAge {
    /// Contact of the node.
    pub contact: Contact,
    /// Milliseconds since the sender, or the node that the sender has the contact from, last
    /// received a message from the node.
    pub last_heard_age_ms: u64,
}

/// Version of one process's contacts, up to which another process knows them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContactsVersion {
    /// Incarnation of the process that holds the contacts.
    pub incarnation: u64,
    /// Number of changes of the contacts that are included.
    pub changes: u64,
}

/// Messages of the discovery protocol.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DiscoveryMessage {
    /// Announces the sender's contact and requests the contacts known to the receiver.
    Hello {
        /// Contact of the sender.
        contact: Contact,
        /// Contact address that this message was sent to.
        sent_to: String,
        /// Version of the receiver's contacts that the sender already has, if any.
        has: Option<ContactsVersion>,
    },
    /// Reply to [`DiscoveryMessage::Hello`].
    HelloReply {
        /// Contact of the sender.
        contact: Contact,
        /// Address that the hello was sent to.
        sent_to: String,
        /// Contacts of other nodes: all that replicate the state, and those of the rest that
        /// the receiver does not have.
        others: Vec<ContactWithAge>,
        /// Version of the sender's contacts that the receiver has after this message.
        has: ContactsVersion,
        /// Milliseconds since the last message from nodes whose contacts the receiver has.
        ages: Vec<(NodeName, u64)>,
    },
    /// Checks whether the receiver is alive.
    Probe,
    /// Reply to [`DiscoveryMessage::Probe`].
    ProbeReply,
}
