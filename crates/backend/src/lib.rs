//! Adapters for the protocols of outside systems, one module each, behind typed
//! results. No other package knows a field name of these protocols.

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
