//! Sessions between nodes and the control group. Each node has a session with one voter, its relay,
//! which sends configuration and views to the node and forwards the node's heartbeats to the
//! leader.

pub mod large_updates;
pub mod node_state;
pub mod pending_crash_reports;
pub mod relay;
mod relay_attributes;
mod relay_backend_list;
mod relay_limits;
pub mod relay_selector;
pub mod session_actor;

pub use node_state::{
    BackendListLease, NodeState, SharedNodeState, DEFAULT_BACKEND_LIST_LEASE, ROLLOUT_PERMIT,
};
pub use relay::{
    RelayActor, RelaySetup, SharedAttributeEvidence, SharedCrashTable, SharedEvidence,
};
pub use session_actor::{SessionActor, SessionSetup};
