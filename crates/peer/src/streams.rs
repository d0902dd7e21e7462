//! Messages by which nodes remember at which software version a stream began, so that it goes on
//! there after the node that served it ended.

use serde::{Deserialize, Serialize};
use silversail_model::RequestFingerprint;

/// Where a stream began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Service of the back end.
    pub service: String,
    /// Software version of the back end; empty if the list does not tell.
    pub version: String,
    /// Tenant of the caller; none for callers without a known key.
    pub tenant: Option<String>,
}

/// A stream whose answer has begun.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BegunStream {
    /// Identifier of the caller's attempt that began it.
    pub attempt: String,
    /// Identifies the request, also for callers that do not name the attempt.
    pub fingerprint: RequestFingerprint,
    /// Where it began.
    pub origin: StreamOrigin,
    /// Time for which the caller may take it up, in milliseconds.
    pub lifetime_ms: u64,
}

/// Identifies a stream that a caller takes up.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamKey {
    /// Identifier of the caller's attempt that began it; none if the caller does not name it.
    pub attempt: Option<String>,
    /// Identifies the request.
    pub fingerprint: RequestFingerprint,
}

/// Versions of a service in the lists that a node has seen of late.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SeenVersions {
    /// Only this one, for longer than callers wait for a stream.
    Sole(String),
    /// Several.
    Several,
    /// Not known for long enough.
    Unsettled,
}

/// Messages about the beginnings of streams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StreamMessage {
    /// Node to holders: a stream began.
    Began(BegunStream),
    /// Asks where a stream began.
    Query {
        /// The stream.
        key: StreamKey,
        /// Service at which it would go on.
        service: String,
    },
    /// Reply to [`StreamMessage::Query`].
    Reply {
        /// The stream of the query.
        key: StreamKey,
        /// Where it began; none if the sender does not know.
        origin: Option<StreamOrigin>,
        /// Versions of the service of the query.
        versions: SeenVersions,
    },
}
