//! The published traffic configuration. The highest version wins, in whatever order versions
//! arrive.

use crate::compression;
use crate::earlier_builds;
use serde::{de, ser, Deserialize, Deserializer, Serialize, Serializer};
use silversail_model::{TrafficConfiguration, TrafficVersion};
use std::sync::Arc;

/// A traffic configuration with the document that it was parsed from, so that operators can read
/// back exactly what they sent.
///
/// Its serialized form is compressed, as configurations with thousands of routes are large and
/// repetitive.
#[derive(Clone, Debug, PartialEq)]
pub struct PublishedTraffic {
    /// Document as sent by the operator.
    pub document: Vec<u8>,
    /// Configuration parsed from the document.
    pub traffic: TrafficConfiguration,
}

impl PublishedTraffic {
    /// Version that the operator assigned.
    pub fn version(&self) -> TrafficVersion {
        self.traffic.version
    }
}

/// Borrowed fields of [`PublishedTraffic`] as encoded before compression.
#[derive(Serialize)]
struct TrafficToEncode<'a> {
    document: &'a [u8],
    traffic: &'a TrafficConfiguration,
}

/// Owned fields of [`PublishedTraffic`] as decoded after decompression.
#[derive(Deserialize)]
struct DecodedTraffic {
    document: Vec<u8>,
    traffic: TrafficConfiguration,
}

impl PublishedTraffic {
    /// Encoding before compression; identical for equal configurations.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let fields = TrafficToEncode {
            document: &self.document,
            traffic: &self.traffic,
        };
        postcard::to_stdvec(&fields).expect("encoding into memory does not fail")
    }

    /// Decodes the result of [`PublishedTraffic::encode`] of this or an earlier build; `None` if
    /// `bytes` is not valid.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        let Some(decoded) = earlier_builds::decode_whole::<DecodedTraffic>(bytes) else {
            return earlier_builds::decode_published(bytes);
        };
        Some(Self {
            document: decoded.document,
            traffic: decoded.traffic,
        })
    }
}

impl Serialize for PublishedTraffic {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let compressed = compression::compress(&self.encode()).map_err(ser::Error::custom)?;
        compressed.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for PublishedTraffic {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let compressed = Vec::<u8>::deserialize(deserializer)?;
        let encoded = compression::decompress(&compressed).map_err(de::Error::custom)?;
        Self::decode(&encoded)
            .ok_or_else(|| de::Error::custom("decompressed data is not a traffic configuration"))
    }
}

/// A published configuration shared within a process.
pub type SharedTraffic = Arc<PublishedTraffic>;

/// Result of publishing a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishReply {
    /// Version in force afterwards.
    pub in_force: TrafficVersion,
    /// Whether this publication changed the version in force.
    pub is_new: bool,
}

/// Replaces `current` with `next` if the version of `next` is higher; otherwise `current` is not
/// changed.
pub fn publish(current: &mut Option<SharedTraffic>, next: PublishedTraffic) -> PublishReply {
    let current_version = current.as_ref().map(|current| current.version());
    let is_new = current_version.is_none_or(|version| next.version() > version);
    let in_force = if is_new {
        next.version()
    } else {
        current_version.unwrap_or_default()
    };
    if is_new {
        *current = Some(Arc::new(next));
    }
    PublishReply { in_force, is_new }
}
