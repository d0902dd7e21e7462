//! Distributed rate limiting: a back end advertises one request rate for all nodes together.
//!
//! Rendezvous hashing selects one node of the view as the permit issuer of a back end. It issues
//! permits at the advertised rate, and each request consumes one directly before it is sent.
//! Nodes ask for as many permits as they have waiting requests, so that capacity goes where the
//! demand is. The crate does no I/O and reads no clock: callers pass the time in milliseconds.

mod issuer;
mod messages;
mod pool;

pub use issuer::{issuer_of, PermitIssuer};
pub use messages::{
    KnownLimit, LimitAnnouncement, LimitMessage, LimitState, PermitGrant, PermitRequest, Serial,
};
pub use pool::{Admission, LimitUpdate, Permit, PermitPool};

/// Milliseconds of the node's local clock, which is not comparable between nodes.
pub type Millis = u64;

/// Lifetime of a permit from its arrival at the node, in milliseconds: long enough to connect,
/// short enough that unused permits do not add up to a burst.
pub const PERMIT_LIFETIME: Millis = 800;
