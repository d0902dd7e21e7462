//! Test tools around the daemon: emulated back ends, a fault-injecting proxy, a
//! cluster of real processes, a load generator, and a checker of recorded histories.

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
