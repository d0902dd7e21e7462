//! Clients for the protocols of back ends and of the platform, one module for each protocol. Field
//! names of these protocols are private to this package.

pub mod agent;
pub mod call;
pub mod engine;
pub mod guard;
pub mod order;
pub mod platform;
pub mod service;

pub use agent::Agents;
pub use call::{CallFailure, StageCall, StageOutput, TokenSink};
pub use engine::EngineLoad;
pub use guard::{BackendSelfReport, CallGuard};
pub use platform::{MachineList, MachineListEntry};
