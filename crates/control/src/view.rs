//! The view of the cluster that flows from the leader to every node.

use crate::batch_owners::BatchOwners;
use crate::evacuation::EvacuationRevision;
use crate::rollouts::RolloutsRevision;
use serde::{Deserialize, Serialize};
use silversail_model::{NodeName, RequestFingerprint, Revision, TrafficVersion};
use silversail_quarantine::{CrashReport, QuarantineRevision};
use silversail_rollout::Evidence;

/// What a machine's state is, by some version of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineState {
    /// IP address and port of the back end on the machine.
    pub address: String,
    /// Whether the machine is leaving.
    pub leaving: bool,
    /// Version of the platform's list that said so.
    pub list_version: u64,
}

/// What a node tells of itself with each heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeReport {
    /// Its name.
    pub node: NodeName,
    /// Drawn anew at each start of the process.
    pub incarnation: u64,
    /// Zone from its settings.
    pub zone: String,
    /// Address at which callers reach it.
    pub caller_address: String,
    /// Share of a core that it may use, in hundredths.
    pub processor_percent: u16,
    /// Whether it is stopping.
    pub stopping: bool,
    /// Whether its own configuration is current enough to serve.
    pub serving: bool,
    /// Revision in force on it.
    pub revision: Option<Revision>,
    /// Version of the traffic configuration in force on it.
    pub traffic: Option<TrafficVersion>,
    /// Revision of the evacuated zones in force on it.
    pub evacuations: Option<EvacuationRevision>,
    /// Revision of the rollouts in force on it.
    pub rollouts: Option<RolloutsRevision>,
    /// What its process saw of each rollout in progress.
    pub evidence: Vec<Evidence>,
    /// Revision of the list of refused requests in force on it.
    pub quarantine: Option<QuarantineRevision>,
    /// Crashes of back ends that its process saw lately.
    pub crashes: Vec<CrashReport>,
    /// Requests on that list that got a whole answer all the same.
    pub ended_well: Vec<RequestFingerprint>,
    /// Machines whose state the view lacks or has from an older list.
    pub machines: Vec<MachineState>,
}

/// A node as the leader sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Its name.
    pub node: NodeName,
    /// Its current process.
    pub incarnation: u64,
    /// Its zone.
    pub zone: String,
    /// Address at which callers reach it.
    pub caller_address: String,
    /// Share of a core that it may use, in hundredths.
    pub processor_percent: u16,
    /// Whether callers may be sent to it.
    pub usable: bool,
}

/// Orders views: a later leader's view is newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ViewVersion {
    /// The leader's term.
    pub term: u64,
    /// Counts up in that term.
    pub sequence: u64,
}

/// Live nodes and machine states.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClusterView {
    /// Its version.
    pub version: ViewVersion,
    /// Nodes with a lease.
    pub nodes: Vec<NodeStatus>,
    /// Machines that are, or were, leaving.
    pub machines: Vec<MachineState>,
    /// Which node batches which shard of a service.
    pub batch_owners: BatchOwners,
}

impl ClusterView {
    /// Whether the process `incarnation` of `node` holds a lease.
    pub fn is_live(&self, node: &NodeName, incarnation: u64) -> bool {
        self.nodes
            .iter()
            .any(|one| one.node == *node && one.incarnation == incarnation)
    }

    /// Whether callers may be sent to `node`.
    pub fn is_usable(&self, node: &NodeName) -> bool {
        self.usable_nodes().any(|one| one.node == *node)
    }

    /// Addresses that callers may use.
    pub fn usable_nodes(&self) -> impl Iterator<Item = &NodeStatus> {
        self.nodes.iter().filter(|one| one.usable)
    }
}

/// Merges a machine's state into `machines`: a newer list wins, an older one
/// never undoes a mark. True when something changed.
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
