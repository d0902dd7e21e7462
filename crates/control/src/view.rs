//! The cluster view, which the leader distributes to all nodes.

use crate::batch_owners::BatchOwners;
use crate::evacuation::EvacuationRevision;
use crate::rollouts::RolloutsRevision;
use serde::{Deserialize, Serialize};
use silversail_model::{NodeName, RequestFingerprint, Revision, TrafficVersion};
use silversail_quarantine::{CrashReport, QuarantineRevision};
use silversail_rollout::Evidence;

/// State of a machine according to one version of the platform's machine list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineState {
    /// Address and port of the back end on the machine.
    pub address: String,
    /// Whether the machine is about to be removed.
    pub leaving: bool,
    /// Version of the machine list that contained this state.
    pub list_version: u64,
}

/// Status report that a node sends with each heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeReport {
    /// Name of the node.
    pub node: NodeName,
    /// Identity of the process; increases with each start.
    pub incarnation: u64,
    /// Zone from the node's settings.
    pub zone: String,
    /// Address at which callers connect to the node.
    pub caller_address: String,
    /// Share of a processor core that the node may use, in percent.
    pub processor_percent: u16,
    /// Whether the node takes itself out of service: it is shutting down, or reaches no back end.
    pub withdrawn: bool,
    /// Whether the node's configuration is current enough to serve callers.
    pub serving: bool,
    /// Configuration revision in force on the node.
    pub revision: Option<Revision>,
    /// Version of the traffic configuration in force on the node.
    pub traffic: Option<TrafficVersion>,
    /// Revision of the evacuated zones in force on the node.
    pub evacuations: Option<EvacuationRevision>,
    /// Revision of the rollouts in force on the node.
    pub rollouts: Option<RolloutsRevision>,
    /// Evidence that the process collected about each rollout in progress.
    pub evidence: Vec<Evidence>,
    /// Revision of the quarantine list in force on the node.
    pub quarantine: Option<QuarantineRevision>,
    /// Back-end crashes that the process observed recently.
    pub crashes: Vec<CrashReport>,
    /// Quarantined requests that were nevertheless completed.
    pub completed_requests: Vec<RequestFingerprint>,
    /// Machine states that are missing in the view or newer than there.
    pub machines: Vec<MachineState>,
}

/// Status of a live node in the cluster view.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Name of the node.
    pub node: NodeName,
    /// Identity of the current process of the node.
    pub incarnation: u64,
    /// Zone of the node.
    pub zone: String,
    /// Address at which callers connect to the node.
    pub caller_address: String,
    /// Share of a processor core that the node may use, in percent.
    pub processor_percent: u16,
    /// Whether the node may serve callers.
    pub usable: bool,
}

/// Version of a view; views of a later leader are newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ViewVersion {
    /// Term of the leader that created the view.
    pub term: u64,
    /// Number of the view within the term.
    pub sequence: u64,
}

/// Live nodes, machine states and shard owners.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClusterView {
    /// Version of the view.
    pub version: ViewVersion,
    /// Nodes with an unexpired lease.
    pub nodes: Vec<NodeStatus>,
    /// Machines that are or were about to be removed.
    pub machines: Vec<MachineState>,
    /// Owning node of each service shard.
    pub batch_owners: BatchOwners,
}

impl ClusterView {
    /// Whether the process `incarnation` of `node` has a lease.
    pub fn is_live(&self, node: &NodeName, incarnation: u64) -> bool {
        self.nodes
            .iter()
            .any(|status| status.node == *node && status.incarnation == incarnation)
    }

    /// Whether `node` may serve callers.
    pub fn is_usable(&self, node: &NodeName) -> bool {
        self.usable_nodes().any(|status| status.node == *node)
    }

    /// Status of the nodes that may serve callers.
    pub fn usable_nodes(&self) -> impl Iterator<Item = &NodeStatus> {
        self.nodes.iter().filter(|status| status.usable)
    }
}

/// Merges a machine's state into `machines`; a state from an older list is ignored. Returns whether
/// the view changed.
pub fn merge_machine(machines: &mut Vec<MachineState>, state: &MachineState) -> bool {
    let known = machines
        .iter_mut()
        .find(|known| known.address == state.address);
    match known {
        Some(known) if state.list_version > known.list_version => {
            let changed = known.leaving != state.leaving;
            *known = state.clone();
            changed
        }
        Some(_) => false,
        None => {
            machines.push(state.clone());
            true
        }
    }
}
