//! The leader's table of live nodes, each with a lease that its heartbeats renew.

use crate::batch_owners::{self, BackendsByZone, BatchOwners, OwnerCandidate, OwnerPlacement};
use crate::view::{merge_machine, ClusterView, MachineState, NodeReport, NodeStatus, ViewVersion};
use silversail_consensus::Millis;
use silversail_model::topology::Topology;
use silversail_model::NodeName;
use std::collections::BTreeMap;

/// Time for which a leader without an earlier view collects heartbeats before it assigns
/// services, in milliseconds. Nodes that do not serve yet send one every 100 ms.
const ASSIGNMENT_DELAY: Millis = 300;
/// Time after that for which zone and region shards are assigned only to local nodes, in
/// milliseconds. Nodes that start together become usable within about half of it.
const LOCAL_ONLY_DURATION: Millis = 1_000;

struct Lease {
    status: NodeStatus,
    /// Whether the node takes itself out of service.
    withdrawn: bool,
    expires_at: Millis,
}

/// Node leases and machine states. Only the leader has this table. A new leader initializes it
/// from its last view with renewed leases, so that an election removes no node from the view.
pub struct MembershipTable {
    lease_duration: Millis,
    leases: BTreeMap<NodeName, Lease>,
    machines: Vec<MachineState>,
    batch_owners: BatchOwners,
    /// Time from which services are assigned.
    assignment_start: Millis,
    version: ViewVersion,
}

impl MembershipTable {
    /// Creates the table of a leader that was elected in `term` and has `last_view`. Times are in
    /// milliseconds.
    pub fn new(term: u64, last_view: &ClusterView, lease_duration: Millis, now: Millis) -> Self {
        let leases = last_view
            .nodes
            .iter()
            .map(|status| {
                let lease = Lease {
                    status: status.clone(),
                    withdrawn: false,
                    expires_at: now + lease_duration,
                };
                (status.node.clone(), lease)
            })
            .collect();
        // A leader without an earlier view collects heartbeats first; until then nodes keep using
        // the owners of their own views.
        let has_nodes = !last_view.nodes.is_empty();
        let assignment_start = if has_nodes {
            now
        } else {
            now + ASSIGNMENT_DELAY
        };
        Self {
            lease_duration,
            leases,
            machines: last_view.machines.clone(),
            batch_owners: last_view.batch_owners.clone(),
            assignment_start,
            version: ViewVersion { term, sequence: 1 },
        }
    }

    /// Records the report of a heartbeat and renews the node's lease. A delayed report of an
    /// earlier process of the node, with a lower incarnation, has no effect on the lease.
    pub fn record_report(&mut self, report: &NodeReport, now: Millis) {
        for machine in &report.machines {
            if merge_machine(&mut self.machines, machine) {
                self.version.sequence += 1;
            }
        }
        let status = NodeStatus {
            node: report.node.clone(),
            incarnation: report.incarnation,
            zone: report.zone.clone(),
            caller_address: report.caller_address.clone(),
            processor_percent: report.processor_percent,
            usable: report.serving && !report.withdrawn,
        };
        let expires_at = now + self.lease_duration;
        match self.leases.get_mut(&report.node) {
            Some(lease) if lease.status.incarnation > report.incarnation => {}
            Some(lease) => {
                lease.expires_at = expires_at;
                lease.withdrawn = report.withdrawn;
                if lease.status != status {
                    lease.status = status;
                    self.version.sequence += 1;
                }
            }
            None => {
                let lease = Lease {
                    status,
                    withdrawn: report.withdrawn,
                    expires_at,
                };
                self.leases.insert(report.node.clone(), lease);
                self.version.sequence += 1;
            }
        }
    }

    /// Removes expired leases.
    pub fn expire(&mut self, now: Millis) {
        let previous_count = self.leases.len();
        self.leases.retain(|_, lease| lease.expires_at > now);
        if self.leases.len() != previous_count {
            self.version.sequence += 1;
        }
    }

    /// Assigns batched services to usable nodes. `backends` contains the number of their back ends,
    /// `replica_nodes` the nodes of the control group's replicas, `leader` the node of its leader,
    /// and `topology` the regions of the zones.
    pub fn assign_services(
        &mut self,
        services: &[String],
        backends: &BTreeMap<String, BackendsByZone>,
        replica_nodes: &[NodeName],
        leader: &NodeName,
        topology: &Topology,
        now: Millis,
    ) {
        if now < self.assignment_start {
            return;
        }
        let placement = match now < self.assignment_start + LOCAL_ONLY_DURATION {
            true => OwnerPlacement::LocalOnly,
            false => OwnerPlacement::Any,
        };
        let leases = self.leases.values();
        let remaining = leases.filter(|lease| !lease.withdrawn);
        let candidates: Vec<OwnerCandidate> = remaining
            .map(|lease| OwnerCandidate {
                node: &lease.status.node,
                zone: &lease.status.zone,
                replicates: replica_nodes.contains(&lease.status.node),
                leads: lease.status.node == *leader,
                processor_percent: lease.status.processor_percent,
                usable: lease.status.usable,
            })
            .collect();
        if batch_owners::assign_with_placement(
            &mut self.batch_owners,
            services,
            backends,
            &candidates,
            topology,
            placement,
        ) {
            self.version.sequence += 1;
        }
    }

    /// Node and incarnation of each process with a lease.
    pub fn processes(&self) -> impl Iterator<Item = (&NodeName, u64)> {
        let leases = self.leases.values();
        leases.map(|lease| (&lease.status.node, lease.status.incarnation))
    }

    /// Builds the current view.
    pub fn view(&self) -> ClusterView {
        ClusterView {
            version: self.version,
            nodes: self
                .leases
                .values()
                .map(|lease| lease.status.clone())
                .collect(),
            machines: self.machines.clone(),
            batch_owners: self.batch_owners.clone(),
        }
    }

    /// Version of the current view.
    pub fn version(&self) -> ViewVersion {
        self.version
    }
}
