//! How nodes keep in step with the control group: each node has a session with
//! one voter, its relay, which passes configuration and the view down and
//! heartbeats up. No node talks to all others.

pub mod crash_news;
pub mod large_updates;
pub mod node_state;
pub mod relay;
pub mod relay_choice;
mod relay_limits;
mod relay_listing;
pub mod session_actor;

pub use node_state::{ListingLease, NodeState, SharedNodeState, LISTING_LEASE, ROLLOUT_PERMIT};
pub use relay::{RelayActor, RelaySetup, SharedEvidence, SharedSightings};
pub use session_actor::{SessionActor, SessionSetup};
