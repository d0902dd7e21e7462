//! Limits that back ends name for all nodes together.
//!
//! One node, chosen by hash among those of the view, issues permits for a back end as fast as it
//! bears requests; each request takes one directly before it is sent. Nodes ask for permits by
//! what waits on them, so that the limit is used where the requests are. Nothing here knows a
//! network or a clock: times are milliseconds of the caller's clock.

mod issuer;
mod messages;
mod pool;

pub use issuer::{issuer_of, PermitIssuer};
pub use messages::{
    KnownLimit, LimitAnnouncement, LimitMessage, LimitState, PermitGrant, PermitRequest, Serial,
};
pub use pool::{Admission, LimitUpdate, Permit, PermitPool};

/// Milliseconds of a node's own clock.
pub type Millis = u64;

/// How long a permit holds after it reached its node, in milliseconds: long enough for a
/// connection, short enough that what nobody used does not add to what comes later.
pub const PERMIT_LIFETIME: Millis = 800;
