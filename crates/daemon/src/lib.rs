//! The daemon: `stakker` actors that connect the packages without I/O to sockets, disks
//! and threads. One thread runs all actors; other threads send [`event::Event`] values to it.

pub mod actors;
pub mod call_guard;
pub mod calls;
pub mod clock;
pub mod crashes;
pub mod directory;
pub mod discovery;
pub mod evacuation;
pub mod event;
pub mod gateway;
pub mod logging;
pub mod metrics;
pub mod node;
pub mod orders;
pub mod outbox;
pub mod pollers;
pub mod quarantine;
pub mod replica;
pub mod requests;
pub mod rollout;
pub mod session;
pub mod settings;
pub mod stop;
pub mod surface;

pub use node::{Node, NodeError, NodeParts};
pub use settings::{Settings, SettingsError};
