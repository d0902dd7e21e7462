//! How nodes that know a few contact addresses learn of all others.

use serde::{Deserialize, Serialize};
use silversail_model::NodeName;

/// What a node tells of itself so that others can reach it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// Its name.
    pub node: NodeName,
    /// Its process; of two contacts of one node the higher is the newer.
    pub incarnation: u64,
    /// IP address and port for other processes.
    pub peer_address: String,
    /// Its zone.
    pub zone: String,
    /// Whether it has a disk and so replicates the cluster's state.
    pub replicates: bool,
}

/// A contact and how long ago it was last heard, by the teller's clock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContactWithAge {
    /// The contact.
    pub contact: Contact,
    /// Milliseconds since it was heard, by the teller or by whoever told it.
    pub last_heard_age_ms: u64,
}

/// Up to which change one process's contacts are known to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContactsVersion {
    /// The process whose contacts they are.
    pub incarnation: u64,
    /// Its changes that are known.
    pub changes: u64,
}

/// Messages of discovery.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DiscoveryMessage {
    /// Tells the sender's contact and asks for all that the receiver knows.
    Hello {
        /// The sender.
        contact: Contact,
        /// The contact address that this was sent to.
        sent_to: String,
        /// The receiver's contacts that the sender has, if it has some.
        has: Option<ContactsVersion>,
    },
    /// Answers a hello.
    HelloReply {
        /// The sender.
        contact: Contact,
        /// The address that the hello was sent to.
        sent_to: String,
        /// Others that the sender knows: those that replicate the state, and of the rest
        /// what the receiver does not have.
        others: Vec<ContactWithAge>,
        /// What the receiver has after this.
        has: ContactsVersion,
        /// Milliseconds since some of the others that the receiver has were heard.
        ages: Vec<(NodeName, u64)>,
    },
    /// Asks for a sign of life.
    Probe,
    /// Answers a probe.
    ProbeReply,
}
