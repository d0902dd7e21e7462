//! How nodes keep in step with the control group: each node has a session with
//! one voter, its relay, which passes configuration and the view down and
//! heartbeats up. No node talks to all others.

pub mod large_updates;
pub mod node_state;
pub mod pending_crash_reports;
pub mod relay;
pub mod relay_choice;
mod relay_limits;
mod relay_listing;
pub mod session_actor;

pub use node_state::{
    BackendListLease, NodeState, SharedNodeState, DEFAULT_BACKEND_LIST_LEASE, ROLLOUT_PERMIT,
};
pub use relay::{RelayActor, RelaySetup, SharedCrashTable, SharedEvidence};
pub use session_actor::{SessionActor, SessionSetup};
