//! Views as differences: what changed since a version that the receiver holds.
//!
//! A view changes many times a second while nodes join, stop or fail. Sent whole to all of
//! hundreds of nodes it fills the links of the voters: heartbeats come late, leaders are lost,
//! and views change the more.

use crate::batch_owners::BatchOwners;
use crate::view::{ClusterView, MachineState, NodeStatus, ViewVersion};
use serde::{Deserialize, Serialize};
use silversail_model::NodeName;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Versions for which a difference can be told: 20 s of a change each 100 ms.
const REMEMBERED_VERSIONS: usize = 200;

/// Bytes of a node, a machine or an owner on the way, about.
const BYTES_OF_ENTRY: usize = 70;

/// What turns an older view into a newer one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ViewUpdate {
    /// The only version that it can be applied to; none for a whole view, which can be
    /// applied to any. A later version will not do: a leader that was cut off may have made
    /// it from other reports.
    pub base: Option<ViewVersion>,
    /// The version that it leads to.
    pub version: ViewVersion,
    /// Nodes that came or changed.
    pub nodes: Vec<NodeStatus>,
    /// Nodes that are gone.
    pub gone: Vec<NodeName>,
    /// Machine states, if one changed.
    pub machines: Option<Vec<MachineState>>,
    /// Owners of shards, if one changed.
    pub batch_owners: Option<BatchOwners>,
}

/// A difference can't be applied: the view held is not its base.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the view held, {held:?}, is not the base {base:?}")]
pub struct ViewBaseMismatch {
    /// Version held.
    pub held: ViewVersion,
    /// Version needed.
    pub base: ViewVersion,
}

impl ViewUpdate {
    /// A whole view.
    pub fn whole(view: &ClusterView) -> Self {
        Self {
            base: None,
            version: view.version,
            nodes: view.nodes.clone(),
            gone: Vec::new(),
            machines: Some(view.machines.clone()),
            batch_owners: Some(view.batch_owners.clone()),
        }
    }

    /// Its size on the way, about, in bytes.
    pub fn size(&self) -> usize {
        let owners = self.batch_owners.as_ref().map_or(0, BatchOwners::len);
        let machines = self.machines.as_ref().map_or(0, Vec::len);
        let entries = self.nodes.len() + self.gone.len() + owners + machines;
        entries * BYTES_OF_ENTRY
    }

    /// The newer view, where this leads from `held` to a newer one; none where `held` is
    /// as new.
    ///
    /// # Errors
    /// [`ViewBaseMismatch`] where `held` is not the base.
    pub fn apply_to(&self, held: &ClusterView) -> Result<Option<ClusterView>, ViewBaseMismatch> {
        if self.version <= held.version {
            return Ok(None);
        }
        if let Some(base) = self.base.filter(|base| *base != held.version) {
            return Err(ViewBaseMismatch {
                held: held.version,
                base,
            });
        }
        let kept: &[NodeStatus] = match self.base {
            Some(_) => &held.nodes,
            None => &[],
        };
        let kept = kept
            .iter()
            .map(|status| (status.node.clone(), status.clone()));
        let mut nodes: BTreeMap<NodeName, NodeStatus> = kept.collect();
        for node in &self.gone {
            nodes.remove(node);
        }
        for status in &self.nodes {
            nodes.insert(status.node.clone(), status.clone());
        }
        let machines = self.machines.as_ref().unwrap_or(&held.machines);
        let owners = self.batch_owners.as_ref().unwrap_or(&held.batch_owners);
        Ok(Some(ClusterView {
            version: self.version,
            nodes: nodes.into_values().collect(),
            machines: machines.clone(),
            batch_owners: owners.clone(),
        }))
    }
}

/// What changed with one step from a version to the next.
struct Step {
    from: ViewVersion,
    nodes: BTreeSet<NodeName>,
    machines: bool,
    batch_owners: bool,
}

/// The last steps of a view.
#[derive(Default)]
pub struct ViewHistory {
    steps: VecDeque<Step>,
}

impl ViewHistory {
    /// The view changed.
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
        if self.steps.len() == REMEMBERED_VERSIONS {
            self.steps.pop_front();
        }
        self.steps.push_back(Step {
            from: before.version,
            nodes: changed.map(|node| (*node).clone()).collect(),
            machines: before.machines != after.machines,
            batch_owners: before.batch_owners != after.batch_owners,
        });
    }

    /// What leads from `held` to `present`, the view that the last step led to: a
    /// difference where the steps are remembered, else the whole view.
    pub fn update_since(&self, held: ViewVersion, present: &ClusterView) -> ViewUpdate {
        let Some(first) = self.steps.iter().position(|step| step.from == held) else {
            return ViewUpdate::whole(present);
        };
        let steps = self.steps.range(first..);
        let touched: BTreeSet<&NodeName> = steps.clone().flat_map(|step| &step.nodes).collect();
        let is_touched = |status: &&NodeStatus| touched.contains(&status.node);
        let nodes: Vec<NodeStatus> = present.nodes.iter().filter(is_touched).cloned().collect();
        let present_names: BTreeSet<&NodeName> = nodes.iter().map(|status| &status.node).collect();
        let gone = touched
            .iter()
            .filter(|node| !present_names.contains(**node));
        let machines = steps.clone().any(|step| step.machines);
        let owners = steps.clone().any(|step| step.batch_owners);
        ViewUpdate {
            base: Some(held),
            version: present.version,
            gone: gone.map(|node| (*node).clone()).collect(),
            machines: machines.then(|| present.machines.clone()),
            batch_owners: owners.then(|| present.batch_owners.clone()),
            nodes,
        }
    }
}
