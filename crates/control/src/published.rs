//! The traffic configuration in the operator's version order: the highest
//! version prevails, whatever order versions arrive in.

use crate::compression;
use serde::{de, ser, Deserialize, Deserializer, Serialize, Serializer};
use silversail_model::{TrafficConfiguration, TrafficVersion};
use std::sync::Arc;

/// A traffic configuration with the document that it was read from, kept whole
/// so that it reads back as it was sent.
///
/// It is serialized packed: thousands of routes are megabytes of text that repeats
/// itself, and small machines have links of a megabyte a second.
#[derive(Clone, Debug, PartialEq)]
pub struct PublishedTraffic {
    /// The operator's document.
    pub document: Vec<u8>,
    /// What it says.
    pub traffic: TrafficConfiguration,
}

impl PublishedTraffic {
    /// The operator's version.
    pub fn version(&self) -> TrafficVersion {
        self.traffic.version
    }
}

/// [`PublishedTraffic`] as it is encoded before it is packed.
#[derive(Serialize)]
struct PlainRef<'a> {
    document: &'a [u8],
    traffic: &'a TrafficConfiguration,
}

#[derive(Deserialize)]
struct Plain {
    document: Vec<u8>,
    traffic: TrafficConfiguration,
}

impl PublishedTraffic {
    /// The encoding that is packed; the same for equal configurations.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let plain = PlainRef {
            document: &self.document,
            traffic: &self.traffic,
        };
        postcard::to_stdvec(&plain).expect("encoding into memory does not fail")
    }

    /// Reads what [`PublishedTraffic::encode`] gave; none when it is anything else.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        let plain: Plain = postcard::from_bytes(bytes).ok()?;
        Some(Self {
            document: plain.document,
            traffic: plain.traffic,
        })
    }
}

impl Serialize for PublishedTraffic {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let packed = compression::compress(&self.encode()).map_err(ser::Error::custom)?;
        packed.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for PublishedTraffic {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let packed = Vec::<u8>::deserialize(deserializer)?;
        let plain = compression::decompress(&packed).map_err(de::Error::custom)?;
        Self::decode(&plain).ok_or_else(|| de::Error::custom("not a traffic configuration"))
    }
}

/// A published configuration shared inside a process.
pub type SharedTraffic = Arc<PublishedTraffic>;

/// The answer to a publication.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishReply {
    /// The version in force after it.
    pub in_force: TrafficVersion,
    /// Whether this publication put it in force.
    pub is_new: bool,
}

/// Puts `next` in force in `current` where its version is above the one held.
/// A lower or equal version changes nothing.
pub fn publish(current: &mut Option<SharedTraffic>, next: PublishedTraffic) -> PublishReply {
    let held = current.as_ref().map(|held| held.version());
    let is_new = held.is_none_or(|held| next.version() > held);
    let in_force = if is_new {
        next.version()
    } else {
        held.unwrap_or_default()
    };
    if is_new {
        *current = Some(Arc::new(next));
    }
    PublishReply { in_force, is_new }
}
