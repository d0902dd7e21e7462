//! The leader's table of nodes, each with a lease renewed by its heartbeats.

use crate::batch_owners::{self, BackendsByZone, BatchOwners, OwnerCandidate, OwnerPlacement};
use crate::view::{merge_machine, ClusterView, MachineState, NodeReport, NodeStatus, ViewVersion};
use silversail_consensus::Millis;
use silversail_model::topology::Topology;
use silversail_model::NodeName;
use std::collections::BTreeMap;

/// How long a leader that knew no view listens before it assigns services, in
/// milliseconds: nodes that do not serve yet send heartbeats every 100 ms.
const ASSIGNS_AFTER: Millis = 300;
/// How long after that a part of a service waits for a node in it, in milliseconds: nodes that
/// start at once become usable over half a second.
const NEAR_ONLY_FOR: Millis = 1_000;

struct Lease {
    status: NodeStatus,
    /// Whether the node told that it stops.
    stopping: bool,
    expires_at: Millis,
}

/// Leases of nodes and states of machines. Kept by the leader only; a new
/// leader starts with what its last view said, each lease renewed once, so that
/// an election takes no node out of the answers.
pub struct MembershipTable {
    lease_duration: Millis,
    leases: BTreeMap<NodeName, Lease>,
    machines: Vec<MachineState>,
    batch_owners: BatchOwners,
    /// From when on services are assigned.
    assigns_from: Millis,
    version: ViewVersion,
}

impl MembershipTable {
    /// The table of a leader elected in `term` that knew `last_view`.
    pub fn new(term: u64, last_view: &ClusterView, lease_duration: Millis, now: Millis) -> Self {
        let leases = last_view
            .nodes
            .iter()
            .map(|status| {
                let lease = Lease {
                    status: status.clone(),
                    stopping: false,
                    expires_at: now + lease_duration,
                };
                (status.node.clone(), lease)
            })
            .collect();
        // A leader without a memory hears of the nodes first; they go on with the
        // owners that they know.
        let knows_nodes = !last_view.nodes.is_empty();
        let assigns_from = if knows_nodes {
            now
        } else {
            now + ASSIGNS_AFTER
        };
        Self {
            lease_duration,
            leases,
            machines: last_view.machines.clone(),
            batch_owners: last_view.batch_owners.clone(),
            assigns_from,
            version: ViewVersion { term, sequence: 1 },
        }
    }

    /// Takes in a heartbeat. A report of a former process of the same node,
    /// held back on its way, does not displace the current one's lease: see
    /// [`NodeReport::incarnation`], which grows with each start.
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
            usable: report.serving && !report.stopping,
        };
        let expires_at = now + self.lease_duration;
        match self.leases.get_mut(&report.node) {
            Some(lease) if lease.status.incarnation > report.incarnation => {}
            Some(lease) => {
                lease.expires_at = expires_at;
                lease.stopping = report.stopping;
                if lease.status != status {
                    lease.status = status;
                    self.version.sequence += 1;
                }
            }
            None => {
                let lease = Lease {
                    status,
                    stopping: report.stopping,
                    expires_at,
                };
                self.leases.insert(report.node.clone(), lease);
                self.version.sequence += 1;
            }
        }
    }

    /// Drops the leases that ended.
    pub fn expire(&mut self, now: Millis) {
        let before = self.leases.len();
        self.leases.retain(|_, lease| lease.expires_at > now);
        if self.leases.len() != before {
            self.version.sequence += 1;
        }
    }

    /// Assigns the services that are batched to the usable nodes. `makers` counts their
    /// back ends, `replicating` names the nodes that replicate the state, `leader` the one
    /// that leads; `topology` tells which zones are near each other.
    pub fn assign_services(
        &mut self,
        services: &[String],
        makers: &BTreeMap<String, BackendsByZone>,
        replicating: &[NodeName],
        leader: &NodeName,
        topology: &Topology,
        now: Millis,
    ) {
        if now < self.assigns_from {
            return;
        }
        let reach = match now < self.assigns_from + NEAR_ONLY_FOR {
            true => OwnerPlacement::Near,
            false => OwnerPlacement::Anywhere,
        };
        let leases = self.leases.values();
        let staying = leases.filter(|lease| !lease.stopping);
        let candidates: Vec<OwnerCandidate> = staying
            .map(|lease| OwnerCandidate {
                node: &lease.status.node,
                zone: &lease.status.zone,
                replicates: replicating.contains(&lease.status.node),
                leads: lease.status.node == *leader,
                processor_percent: lease.status.processor_percent,
                usable: lease.status.usable,
            })
            .collect();
        if batch_owners::assign_with_placement(
            &mut self.batch_owners,
            services,
            makers,
            &candidates,
            topology,
            reach,
        ) {
            self.version.sequence += 1;
        }
    }

    /// The processes that hold a lease.
    pub fn processes(&self) -> impl Iterator<Item = (&NodeName, u64)> {
        let leases = self.leases.values();
        leases.map(|lease| (&lease.status.node, lease.status.incarnation))
    }

    /// The current view.
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
