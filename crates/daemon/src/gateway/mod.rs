//! Gateway that forwards requests from callers to back ends.
//!
//! [`GatewayActor`] owns all state and makes the decisions. Tasks on the gateway's Tokio runtime
//! do the I/O; bodies of answers are streamed within these tasks and do not pass through the
//! actor's thread.

pub mod actor;
pub mod allowed_locations;
mod batching;
pub mod call_types;
pub mod callers;
pub mod calls;
mod crashes;
pub mod entry_points;
pub mod event;
pub mod exchange;
pub mod forwarding;
mod limits;
mod list_fetch;
pub mod list_reader;
pub mod notices;
pub mod owners;
mod placement;
mod reachability;
pub mod received_request;
pub mod request_sender;
mod result_freeing;
mod rollouts;
pub mod runtime;
mod send_metrics;
pub mod startup_queue;
mod state_updates;
mod stream_origins;
pub mod submitted_orders;
pub mod surface;
mod surface_requests;
pub mod waiting_orders;

pub use actor::{GatewayActor, GatewaySetup};
pub use calls::GatewayCalls;
pub use event::{Decision, GatewayEvent, SurfaceReply, SurfaceRequest};
