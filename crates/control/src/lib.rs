//! State of the control group.
//!
//! Replicated are the configuration with deduplicated changes, engine orders, evacuated zones,
//! rollouts and quarantined requests. Only the leader has, and rebuilds after an election, the view
//! of live nodes and leaving machines, the evidence about rollouts and the reported crashes.

pub mod batch_owners;
pub mod change;
pub mod compression;
pub mod configuration_state;
pub mod control_state;
pub mod crash_table;
pub mod earlier_builds;
pub mod evacuation;
pub mod evidence_table;
pub mod membership_table;
pub mod order_plan;
pub mod orders;
pub mod published;
pub mod rollouts;
pub mod traffic_update;
pub mod update;
pub mod view;
pub mod view_update;

pub use batch_owners::BatchOwners;
pub use change::{ChangeOutcome, ChangeRequest};
pub use configuration_state::ConfigurationState;
pub use control_state::{ControlCommand, ControlState};
pub use crash_table::{CrashTable, ReportedCrash};
pub use evacuation::{
    EvacuationOrder, EvacuationReply, EvacuationRevision, Evacuations, SharedEvacuations,
};
pub use evidence_table::EvidenceTable;
pub use membership_table::MembershipTable;
pub use order_plan::{plan_orders, LoadedModels, PlannedOrder};
pub use orders::{Order, OrderAction, OrderCommand, OrderId, OrderReply, OrderTable};
pub use published::{PublishReply, PublishedTraffic, SharedTraffic};
pub use rollouts::{RolloutCommand, RolloutReply, Rollouts, RolloutsRevision, SharedRollouts};
pub use traffic_update::{TrafficUpdate, TrafficUpdateCache, TrafficUpdateError};
pub use update::{AppliedConfiguration, ConfigurationUpdate};
pub use view::{ClusterView, MachineState, NodeReport, NodeStatus, ViewVersion};
pub use view_update::{ViewBaseMismatch, ViewHistory, ViewUpdate};
