//! What tests and the command line need around the daemon: emulated back ends,
//! a fault-injecting proxy, a cluster of real processes, callers under load,
//! and the checker of their histories.

pub mod caller;
pub mod checker;
pub mod cluster;
pub mod emulate;
pub mod history;
pub mod load;
pub mod proxy;

pub use caller::{CallOptions, Caller, Reply};
pub use checker::{check, Violation};
pub use cluster::{Cluster, ClusterOptions};
pub use emulate::{Emulator, EmulatorConfig};
pub use history::{CallRecord, RunRecord};
pub use load::{LoadPlan, LoadReport};
pub use proxy::{FaultProxy, LinkFault};
