//! Replicated state that a node has applied: configuration, view and machine states, and how
//! current they are.

use crate::session::pending_crash_reports::PendingCrashReports;
use silversail_consensus::{Freshness, Millis};
use silversail_control::batch_owners::BatchOwners;
use silversail_control::view::merge_machine;
use silversail_control::{
    AppliedConfiguration, ClusterView, EvacuationRevision, MachineState, RolloutsRevision,
    SharedEvacuations, SharedRollouts, SharedTraffic, ViewUpdate,
};
use silversail_model::{NodeName, TrafficVersion};
use silversail_peer::{BackendListUpdate, BackendListVersion, SharedBackendList};
use silversail_quarantine::{AttributeReporter, QuarantineRevision, SharedQuarantineList};
use silversail_rollout::Evidence;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;

/// How long nodes of the previous leader's view are kept under a new leader that has not heard of
/// them, in milliseconds. A leader that lost its state starts with an almost empty view until
/// heartbeats arrive.
const NODE_RETENTION_AFTER_LEADER_CHANGE: Millis = 2_500;

/// Default time for which a node uses the back-end list after it was last read, in milliseconds:
/// two reads of the leader and a heartbeat.
pub const DEFAULT_BACKEND_LIST_LEASE: Millis = 2_000;

/// Time after a quorum last confirmed the rollouts held here during which a node may send to a
/// rollout's candidate, in milliseconds: three heartbeats, so that one lost heartbeat or a lagging
/// relay does not stop a good candidate.
pub const ROLLOUT_PERMIT: Millis = 1_500;

/// How long a node uses the back-end list after it was last read, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackendListLease(pub Millis);

impl Default for BackendListLease {
    fn default() -> Self {
        Self(DEFAULT_BACKEND_LIST_LEASE)
    }
}

/// Replicated state of one node; written by its session, read by its other actors.
#[derive(Default)]
pub struct NodeState {
    /// How long the back-end list is used after it was last read.
    pub backend_list_lease: BackendListLease,
    /// Configuration that is applied.
    pub configuration: AppliedConfiguration,
    /// Traffic configuration that is applied; `None` before the first.
    pub traffic: Option<SharedTraffic>,
    /// Evacuated zones, which get no new work; `None` before the first confirmed reply of a relay.
    /// Stays in effect while the node cannot confirm it.
    pub evacuations: Option<SharedEvacuations>,
    /// Rollouts of versions; `None` before the first confirmed reply of a relay.
    pub rollouts: Option<SharedRollouts>,
    /// Freshness of the rollouts. Separate from `freshness`, so that a large configuration still in
    /// transit does not end the rollout permit.
    pub rollouts_freshness: Freshness,
    /// Evidence of this process on each rollout in progress, sent with the next heartbeat.
    pub rollout_evidence: Vec<Evidence>,
    /// Quarantined requests; `None` before the first confirmed reply of a relay. Stays in effect
    /// while the node cannot confirm it.
    pub quarantine: Option<SharedQuarantineList>,
    /// Crashes that this process still reports in its heartbeats.
    pub pending_crash_reports: PendingCrashReports,
    /// Attributes of requests that crashes interrupted or that were answered, as this process
    /// observed them.
    pub attribute_reporter: AttributeReporter,
    /// Newest back-end list, which one node reads for all; `None` before the first.
    pub backend_list: Option<SharedBackendList>,
    /// Latest known time at which the same list was read.
    pub backend_list_confirmed_at: Option<Millis>,
    /// Newest view as received from the leader.
    pub received_view: ClusterView,
    /// Newest view, including nodes that are retained across a change of leader.
    pub view: ClusterView,
    /// Number of changes of `view`.
    pub view_changes: u64,
    /// Nodes of the previous leader's view that the current leader has not heard of, kept until
    /// `retained_until`.
    retained_nodes: Vec<NodeName>,
    retained_until: Millis,
    /// Freshness of the configuration.
    pub freshness: Freshness,
    /// Machine states, from this node's machine list and from the view.
    machines: BTreeMap<String, MachineState>,
    /// Whether this process reaches no back end, so that it is out of service.
    pub cut_off_from_backends: bool,
    /// Whether the process is stopping and reports so.
    pub stopping: bool,
    /// Whether new requests are rejected because the process is stopping.
    pub refusing: bool,
}

/// Node state shared between the actors of a process.
pub type SharedNodeState = Rc<RefCell<NodeState>>;

impl NodeState {
    /// Whether a configuration is applied and was confirmed within `lease`.
    pub fn has_current_configuration(&self, now: Millis, lease: Millis) -> bool {
        self.configuration.revision().is_some()
            && self.freshness.age(now).is_some_and(|age| age <= lease)
    }

    /// Applies an update of the back-end list; true if the list changed.
    pub fn apply_backend_list_update(&mut self, update: &BackendListUpdate, now: Millis) -> bool {
        if !self.accepts_backend_list_version(update.version, now) {
            return false;
        }
        match update.apply_to(self.backend_list.as_deref()) {
            Ok(backend_list) => self.apply_backend_list(Arc::new(backend_list), now),
            Err(error) => {
                // The next heartbeat carries the version held here, so that the relay repairs it.
                log::info!(event = "listing_update_refused"; "{error}");
                false
            }
        }
    }

    /// Whether a list of this version replaces the held one. An expired list is always replaced: it
    /// may come from a fallback reader, whose versions the leader's do not count up with.
    fn accepts_backend_list_version(&self, version: BackendListVersion, now: Millis) -> bool {
        let held = self.backend_list.as_ref().map(|held| held.version);
        let is_current = self.has_current_backend_list(now);
        held != Some(version) && !(is_current && held > Some(version))
    }

    /// Stores a newer back-end list; true if it was stored.
    pub fn apply_backend_list(&mut self, backend_list: SharedBackendList, now: Millis) -> bool {
        if !self.accepts_backend_list_version(backend_list.version, now) {
            return false;
        }
        self.backend_list = Some(backend_list);
        self.backend_list_confirmed_at = Some(now);
        true
    }

    /// Applies a view update; true if the view changed.
    pub fn apply_view_update(&mut self, update: &ViewUpdate, now: Millis) -> bool {
        match update.apply_to(&self.received_view) {
            Ok(Some(view)) => self.apply_view(view, now),
            Ok(None) => false,
            Err(gap) => {
                // The next heartbeat carries the version held here, so that the relay repairs it.
                log::info!(event = "view_update_refused"; "{gap}");
                false
            }
        }
    }

    /// Applies a newer view; true if it was applied.
    pub fn apply_view(&mut self, mut view: ClusterView, now: Millis) -> bool {
        if view.version <= self.view.version {
            return false;
        }
        self.received_view = view.clone();
        for machine in &view.machines {
            self.merge_machine(machine);
        }
        if view.version.term > self.view.version.term {
            let nodes = self.view.nodes.iter();
            self.retained_nodes = nodes.map(|status| status.node.clone()).collect();
            self.retained_until = now + NODE_RETENTION_AFTER_LEADER_CHANGE;
        }
        if now >= self.retained_until {
            self.retained_nodes.clear();
        }
        let reported = &view.nodes;
        self.retained_nodes
            .retain(|node| reported.iter().all(|status| status.node != *node));
        let retained_nodes = &self.retained_nodes;
        let former = std::mem::take(&mut self.view.nodes);
        // A new leader assigns a service only after it has heard of the nodes; until then the
        // former owners stay.
        let former_owners = std::mem::take(&mut self.view.batch_owners);
        let mut unassigned = BatchOwners::new();
        for (shard, owner) in former_owners {
            let is_assigned = view
                .batch_owners
                .keys()
                .any(|assigned| assigned.service == shard.service);
            if !is_assigned {
                unassigned.insert(shard, owner);
            }
        }
        view.batch_owners.extend(unassigned);
        let retained = former
            .into_iter()
            .filter(|status| retained_nodes.contains(&status.node));
        view.nodes.extend(retained);
        self.view = view;
        self.view_changes += 1;
        true
    }

    /// Removes retained nodes whose time has expired; true if there were any.
    pub fn expire_retained_nodes(&mut self, now: Millis) -> bool {
        if self.retained_nodes.is_empty() || now < self.retained_until {
            return false;
        }
        let retained_nodes = std::mem::take(&mut self.retained_nodes);
        let nodes = &mut self.view.nodes;
        nodes.retain(|status| !retained_nodes.contains(&status.node));
        self.view_changes += 1;
        true
    }

    /// Whether the view names an owner of each batched service.
    pub fn knows_batch_owners(&self) -> bool {
        let Some(traffic) = &self.traffic else {
            return true;
        };
        let mut services = traffic.traffic.services.iter();
        services.all(|service| {
            let mut assigned = self.view.batch_owners.keys();
            service.batch.is_none() || assigned.any(|shard| shard.service == service.name)
        })
    }

    /// Whether the back-end list was read within its lease.
    pub fn has_current_backend_list(&self, now: Millis) -> bool {
        let confirmed_at = self.backend_list_confirmed_at;
        confirmed_at.is_some_and(|at| now.saturating_sub(at) <= self.backend_list_lease.0)
    }

    /// Nodes in the view, if a quorum confirmed the state held here within `max_age`; otherwise
    /// empty.
    pub fn live_nodes(&self, max_age: Millis, now: Millis) -> BTreeSet<&NodeName> {
        let age = self.freshness.age(now);
        let nodes = self.view.nodes.iter().map(|status| &status.node);
        match age.is_some_and(|age| age <= max_age) {
            true => nodes.collect(),
            false => BTreeSet::new(),
        }
    }

    /// Version of the applied traffic configuration; `None` before the first.
    pub fn traffic_version(&self) -> Option<TrafficVersion> {
        self.traffic.as_ref().map(|traffic| traffic.version())
    }

    /// Revision of the applied evacuated zones; `None` before the first.
    pub fn evacuations_revision(&self) -> Option<EvacuationRevision> {
        self.evacuations.as_ref().map(|held| held.revision())
    }

    /// Revision of the applied rollouts; `None` before the first.
    pub fn rollouts_revision(&self) -> Option<RolloutsRevision> {
        self.rollouts.as_ref().map(|held| held.revision())
    }

    /// Whether this node may send to a rollout's candidate: a quorum recently confirmed its
    /// rollouts. The clock keeps running while the process is suspended.
    pub fn has_rollout_permit(&self, now: Millis) -> bool {
        self.has_current_rollouts(now, ROLLOUT_PERMIT)
    }

    /// Whether the rollouts were confirmed within `lease`.
    pub fn has_current_rollouts(&self, now: Millis, lease: Millis) -> bool {
        let age = self.rollouts_freshness.age(now);
        self.rollouts.is_some() && age.is_some_and(|age| age <= lease)
    }

    /// Applies newer rollouts; true if they were applied.
    pub fn apply_rollouts(&mut self, received: SharedRollouts) -> bool {
        if self.rollouts_revision() >= Some(received.revision()) {
            return false;
        }
        log::info!(event = "rollouts_in_force", revision = received.revision(); "rollouts applied");
        self.rollouts = Some(received);
        true
    }

    /// Revision of the applied quarantine list; `None` before the first.
    pub fn quarantine_revision(&self) -> Option<QuarantineRevision> {
        self.quarantine.as_ref().map(|held| held.revision)
    }

    /// Applies a newer quarantine list; true if it was applied.
    pub fn apply_quarantine_list(&mut self, received: SharedQuarantineList) -> bool {
        if self.quarantine_revision() >= Some(received.revision) {
            return false;
        }
        self.pending_crash_reports.retain_quarantined(&received);
        self.quarantine = Some(received);
        true
    }

    /// Applies newer evacuated zones; true if they were applied.
    pub fn apply_evacuations(&mut self, received: SharedEvacuations) -> bool {
        if self.evacuations_revision() >= Some(received.revision()) {
            return false;
        }
        let zones: Vec<&str> = received.zones().iter().map(String::as_str).collect();
        log::info!(event = "evacuations_in_force", revision = received.revision(), zones = zones.join(",").as_str(); "evacuated zones applied");
        self.evacuations = Some(received);
        true
    }

    /// Whether any machine list reports the machine at `address` as leaving.
    pub fn is_leaving(&self, address: &str) -> bool {
        self.machines
            .get(address)
            .is_some_and(|machine| machine.leaving)
    }

    /// Merges a machine's state; an older machine list never overrides a newer one. True if its
    /// `leaving` flag changed.
    pub fn merge_machine(&mut self, state: &MachineState) -> bool {
        let mut known: Vec<MachineState> =
            self.machines.remove(&state.address).into_iter().collect();
        let was_leaving = known.first().is_some_and(|machine| machine.leaving);
        merge_machine(&mut known, state);
        let Some(merged) = known.pop() else {
            return false;
        };
        let is_leaving = merged.leaving;
        self.machines.insert(merged.address.clone(), merged);
        was_leaving != is_leaving
    }

    /// Machine states that the view lacks or has from an older machine list.
    pub fn machines_unknown_to_view(&self) -> Vec<MachineState> {
        let known: BTreeMap<&str, &MachineState> = self
            .view
            .machines
            .iter()
            .map(|machine| (machine.address.as_str(), machine))
            .collect();
        self.machines
            .values()
            .filter(|machine| match known.get(machine.address.as_str()) {
                Some(seen) => {
                    seen.list_version < machine.list_version && seen.leaving != machine.leaving
                }
                None => machine.leaving,
            })
            .cloned()
            .collect()
    }

    /// Number of usable nodes, and the position of `node` among them.
    pub fn node_count_and_rank(&self, node: &NodeName) -> (u32, u32) {
        let usable: Vec<&NodeName> = self
            .view
            .usable_nodes()
            .map(|status| &status.node)
            .collect();
        let rank = usable.iter().position(|usable_node| *usable_node == node);
        let count = usable.len().max(1) as u32;
        (count, rank.unwrap_or(0) as u32)
    }
}
