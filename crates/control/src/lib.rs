//! The control group's state: configuration revisions with deduplicated
//! changes (replicated), and the view of live nodes and leaving machines (held
//! by the leader, rebuilt after an election).

pub mod change;
pub mod configuration_state;
pub mod membership_table;
pub mod update;
pub mod view;

pub use change::{ChangeOutcome, ChangeRequest};
pub use configuration_state::ConfigurationState;
pub use membership_table::MembershipTable;
pub use update::{AppliedConfiguration, ConfigurationUpdate};
pub use view::{ClusterView, MachineState, NodeReport, NodeStatus, ViewVersion};
