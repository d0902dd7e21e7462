//! The gateway: pass-through requests from callers to back ends.
//!
//! [`GatewayActor`] owns all state and decides; tasks on the server's runtime do
//! the I/O and ask it. Chunks of answers go from back end to caller inside such a
//! task and do not pass the actor's thread.

pub mod actor;
pub mod allowed;
mod answers;
mod batching;
pub mod callers;
pub mod calls;
mod counting;
mod crashes;
pub mod early;
pub mod entry_points;
pub mod event;
pub mod exchange;
mod following;
mod frees;
mod limits;
pub mod list_reader;
mod list_reading;
pub mod notices;
pub mod owners;
mod placing;
pub mod runtime;
pub mod surface;
mod versions;
pub mod waiting;
pub mod works;

pub use actor::{GatewayActor, GatewaySetup};
pub use calls::GatewayCalls;
pub use event::{Decision, GatewayEvent, SurfaceReply, SurfaceRequest};
