//! Incremental updates of the cluster view.
//!
//! A view may change many times a second while nodes join, stop or fail. Sending full views to
//! hundreds of nodes could saturate the links of the voters and delay their heartbeats.

use crate::batch_owners::BatchOwners;
use crate::view::{ClusterView, MachineState, NodeStatus, ViewVersion};
use serde::{Deserialize, Serialize};
use silversail_model::NodeName;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Number of changes from which an incremental update can be built: 20 s at one per 100 ms.
const MAX_RECORDED_CHANGES: usize = 200;

/// Approximate encoded size of a node, machine or owner, in bytes.
const APPROXIMATE_ENTRY_BYTES: usize = 70;

/// Update from an older to a newer view.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ViewUpdate {
    /// The only version to which the update applies; `None` for a full view, which applies to any
    /// older one. It does not apply to a later version, which may come from a partitioned leader.
    pub base: Option<ViewVersion>,
    /// Version of the newer view.
    pub version: ViewVersion,
    /// Added and changed nodes.
    pub nodes: Vec<NodeStatus>,
    /// Removed nodes.
    pub removed: Vec<NodeName>,
    /// All machine states, if any changed.
    pub machines: Option<Vec<MachineState>>,
    /// All shard owners, if any changed.
    pub batch_owners: Option<BatchOwners>,
}

/// Error of an incremental update whose base is not the version of the current view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "view update applies to version {base:?}, but the current version of this node is {current:?}"
)]
pub struct ViewBaseMismatch {
    /// Version of the current view.
    pub current: ViewVersion,
    /// Base version of the update.
    pub base: ViewVersion,
}

impl ViewUpdate {
    /// Creates an update that contains the full view.
    pub fn full(view: &ClusterView) -> Self {
        Self {
            base: None,
            version: view.version,
            nodes: view.nodes.clone(),
            removed: Vec::new(),
            machines: Some(view.machines.clone()),
            batch_owners: Some(view.batch_owners.clone()),
        }
    }

    /// Approximate encoded size, in bytes.
    pub fn size(&self) -> usize {
        let owners = self.batch_owners.as_ref().map_or(0, BatchOwners::len);
        let machines = self.machines.as_ref().map_or(0, Vec::len);
        let entries = self.nodes.len() + self.removed.len() + owners + machines;
        entries * APPROXIMATE_ENTRY_BYTES
    }

    /// Applies the update to `current` and returns the newer view, or `None` if it is not older.
    ///
    /// # Errors
    /// [`ViewBaseMismatch`] if the update applies to another version than that of `current`.
    pub fn apply_to(&self, current: &ClusterView) -> Result<Option<ClusterView>, ViewBaseMismatch> {
        if self.version <= current.version {
            return Ok(None);
        }
        if let Some(base) = self.base.filter(|base| *base != current.version) {
            return Err(ViewBaseMismatch {
                current: current.version,
                base,
            });
        }
        let base_nodes: &[NodeStatus] = match self.base {
            Some(_) => &current.nodes,
            None => &[],
        };
        let base_nodes = base_nodes
            .iter()
            .map(|status| (status.node.clone(), status.clone()));
        let mut nodes: BTreeMap<NodeName, NodeStatus> = base_nodes.collect();
        for node in &self.removed {
            nodes.remove(node);
        }
        for status in &self.nodes {
            nodes.insert(status.node.clone(), status.clone());
        }
        let machines = self.machines.as_ref().unwrap_or(&current.machines);
        let owners = self.batch_owners.as_ref().unwrap_or(&current.batch_owners);
        Ok(Some(ClusterView {
            version: self.version,
            nodes: nodes.into_values().collect(),
            machines: machines.clone(),
            batch_owners: owners.clone(),
        }))
    }
}

/// Parts of the view that changed from one version to the next.
struct ViewChange {
    base: ViewVersion,
    nodes: BTreeSet<NodeName>,
    machines: bool,
    batch_owners: bool,
}

/// The most recent changes of the view.
#[derive(Default)]
pub struct ViewHistory {
    changes: VecDeque<ViewChange>,
}

impl ViewHistory {
    /// Records the change from one view to the next.
    pub fn record_change(&mut self, before: &ClusterView, after: &ClusterView) {
        let old: BTreeMap<&NodeName, &NodeStatus> = before
            .nodes
            .iter()
            .map(|status| (&status.node, status))
            .collect();
        let new: BTreeMap<&NodeName, &NodeStatus> = after
            .nodes
            .iter()
            .map(|status| (&status.node, status))
            .collect();
        let names = old.keys().chain(new.keys());
        let changed = names.filter(|node| old.get(**node) != new.get(**node));
        if self.changes.len() == MAX_RECORDED_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(ViewChange {
            base: before.version,
            nodes: changed.map(|node| (*node).clone()).collect(),
            machines: before.machines != after.machines,
            batch_owners: before.batch_owners != after.batch_owners,
        });
    }

    /// Builds the update from version `current` to `latest`, the view after the last recorded
    /// change: incremental if all changes since `current` are recorded, otherwise the full view.
    pub fn update_since(&self, current: ViewVersion, latest: &ClusterView) -> ViewUpdate {
        let Some(first) = self
            .changes
            .iter()
            .position(|change| change.base == current)
        else {
            return ViewUpdate::full(latest);
        };
        let changes = self.changes.range(first..);
        let changed_nodes: BTreeSet<&NodeName> =
            changes.clone().flat_map(|change| &change.nodes).collect();
        let is_changed = |status: &&NodeStatus| changed_nodes.contains(&status.node);
        let nodes: Vec<NodeStatus> = latest.nodes.iter().filter(is_changed).cloned().collect();
        let remaining_names: BTreeSet<&NodeName> =
            nodes.iter().map(|status| &status.node).collect();
        let removed = changed_nodes
            .iter()
            .filter(|node| !remaining_names.contains(**node));
        let machines = changes.clone().any(|change| change.machines);
        let owners = changes.clone().any(|change| change.batch_owners);
        ViewUpdate {
            base: Some(current),
            version: latest.version,
            removed: removed.map(|node| (*node).clone()).collect(),
            machines: machines.then(|| latest.machines.clone()),
            batch_owners: owners.then(|| latest.batch_owners.clone()),
            nodes,
        }
    }
}
