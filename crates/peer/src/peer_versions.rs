//! The message version that each peer speaks, learned from its messages.

use crate::message::{ATTRIBUTES_VERSION, PROTOCOL_VERSION};
use crate::version6;
use silversail_model::NodeName;
use std::collections::BTreeMap;

/// Message versions that this build can encode.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EncodedVersions {
    /// The version of this build.
    Current,
    /// Version 6.
    Version6,
    /// Both, for a peer that has sent nothing yet. It drops the one that it can't read.
    Both,
}

/// Message version of each peer.
#[derive(Default)]
pub struct PeerVersions {
    by_node: BTreeMap<NodeName, HeardVersion>,
}

#[derive(Clone, Copy)]
struct HeardVersion {
    incarnation: u64,
    version: u8,
}

impl PeerVersions {
    /// Records the version of a message from process `incarnation` of a peer. Returns whether the
    /// peer speaks another version than was known. A process that does not know this one's version
    /// sends both, so that the highest counts; a later process may speak a lower one.
    pub fn record(&mut self, node: &NodeName, incarnation: u64, version: u8) -> bool {
        let heard = HeardVersion {
            incarnation,
            version,
        };
        let Some(known) = self.by_node.get_mut(node) else {
            self.by_node.insert(node.clone(), heard);
            return true;
        };
        let is_later_process = incarnation > known.incarnation;
        let is_higher = incarnation == known.incarnation && version > known.version;
        if !is_later_process && !is_higher {
            return false;
        }
        let is_other = known.version != version;
        *known = heard;
        is_other
    }

    /// Whether a peer is known to speak an earlier version than this build.
    pub fn is_earlier(&self, node: &NodeName) -> bool {
        let heard = self.by_node.get(node);
        heard.is_some_and(|heard| heard.version < PROTOCOL_VERSION)
    }

    /// Versions in which a message to a peer is to be encoded.
    pub fn for_node(&self, node: &NodeName) -> EncodedVersions {
        match self.by_node.get(node).map(|heard| heard.version) {
            Some(PROTOCOL_VERSION..=ATTRIBUTES_VERSION) => EncodedVersions::Current,
            Some(version6::VERSION) => EncodedVersions::Version6,
            _ => EncodedVersions::Both,
        }
    }
}
