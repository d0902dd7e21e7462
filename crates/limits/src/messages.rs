//! Messages by which nodes coordinate the limits of back ends.

use crate::Millis;
use serde::{Deserialize, Serialize};
use silversail_model::RequestRate;

/// Serial number of a permit of one back end, ascending in order of issue. 0 means none.
pub type Serial = u64;

/// A limit and the permit by which its age is compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownLimit {
    /// Rate for all nodes together.
    pub rate: RequestRate,
    /// Serial of the permit of the request whose answer advertised the limit; 0 if it had none.
    pub serial: Serial,
}

impl KnownLimit {
    /// Whether this limit is newer than `other`, or equally new and lower.
    pub(crate) fn replaces(&self, other: &Self) -> bool {
        let is_lower = self.rate < other.rate;
        self.serial > other.serial || (self.serial == other.serial && is_lower)
    }
}

/// Asks the issuer for permits and reports the sender's knowledge of the limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Identifier of the running process of the back end.
    pub backend: String,
    /// The limit that the sender currently applies.
    pub limit: KnownLimit,
    /// Serial of the latest permit whose request was answered without a limit; 0 for none.
    pub limit_lifted_serial: Serial,
    /// The highest permit serial known to the sender.
    pub highest_serial: Serial,
    /// Total number of permits that the sender lacks, including those requested before.
    pub wanted: u32,
    /// Sender's clock at sending, in milliseconds; echoed in the grants.
    pub sent_at: Millis,
}

/// The issuer's knowledge of the limit of a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LimitState {
    /// The back end has this limit.
    Limited(KnownLimit),
    /// The limit is lifted; the answer to the request with this permit carried none.
    Lifted(Serial),
}

/// Answers a [`PermitRequest`], or delivers permits that became available later.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitGrant {
    /// Identifier of the running process of the back end.
    pub backend: String,
    /// The limit as known to the issuer.
    pub state: LimitState,
    /// Serial of the first permit; the others follow it without gaps.
    pub first_serial: Serial,
    /// Number of permits granted.
    pub count: u32,
    /// Milliseconds until the receiver's last outstanding permit is expected; 0 if it waits for
    /// none.
    pub wait_ms: Millis,
    /// `sent_at` of the receiver's latest request.
    pub request_sent_at: Millis,
}

/// Announces to nodes that a back end has a limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitAnnouncement {
    /// Identifier of the running process of the back end.
    pub backend: String,
    /// The limit, with the serial that orders it against other announcements.
    pub limit: KnownLimit,
}

/// Peer messages of the rate-limit protocol.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LimitMessage {
    /// From a node to the issuer.
    Request(PermitRequest),
    /// From the issuer to a node.
    Grant(PermitGrant),
    /// From the issuer to relays, which forward it to their nodes; without it each node would
    /// send one request before it learns of the limit.
    Announce(LimitAnnouncement),
    /// From a relay to its nodes.
    Announced(LimitAnnouncement),
}
