//! What nodes tell each other of limits.

use crate::Millis;
use serde::{Deserialize, Serialize};
use silversail_model::RequestRate;

/// Number of a permit of one back end; a later permit has a higher one. 0 stands for none.
pub type Serial = u64;

/// A limit with what it was learnt from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownLimit {
    /// Requests from all nodes together.
    pub rate: RequestRate,
    /// The permit of the request whose answer named it; 0 where that had none.
    pub serial: Serial,
}

impl KnownLimit {
    /// Whether it is a later word than another, or as late and lower.
    pub(crate) fn replaces(&self, other: &Self) -> bool {
        let is_lower = self.rate < other.rate;
        self.serial > other.serial || (self.serial == other.serial && is_lower)
    }
}

/// Asks for permits, and tells what the sender knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The start of the back end.
    pub backend: String,
    /// The limit by what the sender knows.
    pub limit: KnownLimit,
    /// The latest permit with which a request was answered without a limit; 0 for none.
    pub lifted_by: Serial,
    /// The highest serial that the sender knows.
    pub highest: Serial,
    /// Permits that the sender wants and does not have: all of them, not only new ones.
    pub wanted: u32,
    /// The sender's clock, echoed in the grants.
    pub sent_at: Millis,
}

/// Whether a back end has a limit, by what its issuer knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LimitState {
    /// It has this one.
    Limited(KnownLimit),
    /// It has none any more, as an answer to this permit showed.
    Lifted(Serial),
}

/// Answers a request for permits, and gives permits later.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitGrant {
    /// The start of the back end.
    pub backend: String,
    /// What the issuer knows of its limit.
    pub state: LimitState,
    /// Serial of the first permit.
    pub first: Serial,
    /// How many permits.
    pub count: u32,
    /// Milliseconds until the last permit that the receiver still waits for, where it waits.
    pub wait_ms: Millis,
    /// `sent_at` of the receiver's latest request.
    pub echo: Millis,
}

/// Tells that a back end has a limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitAnnouncement {
    /// The start of the back end.
    pub backend: String,
    /// Its limit.
    pub limit: KnownLimit,
}

/// Messages of limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LimitMessage {
    /// To the issuer.
    Request(PermitRequest),
    /// From the issuer.
    Grant(PermitGrant),
    /// From the issuer to relays, which pass it on to their nodes: those that have not heard of a
    /// limit would each find out by a request.
    Announce(LimitAnnouncement),
    /// From a relay.
    Announced(LimitAnnouncement),
}
