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
pub struct HeardContact {
    /// The contact.
    pub contact: Contact,
    /// Milliseconds since it was heard, by the teller or by whoever told it.
    pub heard_ago_ms: u64,
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
    },
    /// Answers a hello.
    Known {
        /// The sender.
        contact: Contact,
        /// The address that the hello was sent to.
        sent_to: String,
        /// All others that the sender knows.
        others: Vec<HeardContact>,
    },
}
