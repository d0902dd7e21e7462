//! Which node batches which shard, and which of those nodes give no sign.

use silversail_consensus::Millis;
use silversail_control::batch_owners::rendezvous_owner;
use silversail_control::ClusterView;
use silversail_model::{NodeName, Shard};
use std::collections::BTreeMap;

/// A batching node that owes an answer and gave no sign for so long is asked, in
/// milliseconds; it answers at once.
const ASK_AFTER: Millis = 450;
/// One that was asked and gave no sign is passed over after this silence; much
/// shorter than a lease in the view.
const SILENT_AFTER: Millis = 900;
/// How long it is passed over the first time, in milliseconds; each further time without
/// a sign of it doubles that.
const PASSED_OVER_FOR: Millis = 2_500;
/// Most doublings of it.
const MAX_DOUBLINGS: u32 = 2;

/// The node that batches `shard`: the one that `view` names, or, where that one is not
/// usable or `is_excluded`, the first of the others; `own` where none remains.
///
/// A part of a service stays with its owner while that is live, and has no substitute: orders
/// go to the service's other shards until the leader names another owner. Nodes that pass
/// over different owners would name different substitutes, and several nodes fill the same
/// makers' calls, whose inputs are freed while they wait for each other.
///
/// None where the view names no usable node, as many nodes that batch alone, each with few
/// pieces, would keep all makers busy; and none before the leader has assigned the shard,
/// as views that name few nodes yet would lead each node to another owner.
pub fn batch_owner(
    view: &ClusterView,
    shard: &Shard,
    own: &NodeName,
    is_excluded: impl Fn(&NodeName) -> bool,
) -> Option<NodeName> {
    let assigned = view.batch_owners.get(shard)?;
    if !shard.is_whole_service() {
        let is_live = view.nodes.iter().any(|status| status.node == *assigned);
        return Some(assigned)
            .filter(|node| is_live && !is_excluded(node))
            .cloned();
    }
    let mut nodes = view.usable_nodes().map(|status| &status.node).peekable();
    nodes.peek()?;
    let named = Some(assigned).filter(|node| view.is_usable(node) && !is_excluded(node));
    let others = nodes.filter(|node| !is_excluded(node));
    let owner = named.or_else(|| rendezvous_owner(others, shard));
    Some(owner.unwrap_or(own).clone())
}

/// The nodes that batch the shards which `view` assigns, without those that are
/// `is_excluded` where another shard of the service remains. Where none does, as after a
/// restart of all nodes, an order may as well wait for an owner that gave no sign yet.
pub fn batch_owners(
    view: &ClusterView,
    own: &NodeName,
    is_excluded: impl Fn(&NodeName) -> bool,
) -> BTreeMap<Shard, NodeName> {
    let of_shard = |shard: &Shard, is_excluded: &dyn Fn(&NodeName) -> bool| {
        let owner = batch_owner(view, shard, own, is_excluded)?;
        Some((shard.clone(), owner))
    };
    let shards = view.batch_owners.keys();
    let mut owners: BTreeMap<Shard, NodeName> = shards
        .clone()
        .filter_map(|shard| of_shard(shard, &is_excluded))
        .collect();
    let is_owned = |service: &str| owners.keys().any(|shard| shard.service == service);
    let unowned = shards.filter(|shard| !is_owned(&shard.service));
    let silent: Vec<(Shard, NodeName)> = unowned
        .filter_map(|shard| of_shard(shard, &|_| false))
        .collect();
    owners.extend(silent);
    owners
}

/// What to do about a batching node that owes an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerStep {
    /// Nothing.
    Wait,
    /// Give it its oldest order again: it answers.
    Ask,
    /// Pass it over.
    PassOver,
}

/// Which batching nodes give signs: one that is cut off from here may stand in the
/// view for long.
#[derive(Default)]
pub struct OwnerWatch {
    heard_at: BTreeMap<NodeName, Millis>,
    asked_at: BTreeMap<NodeName, Millis>,
    passed_over_until: BTreeMap<NodeName, Millis>,
    /// How often a node was passed over since its last sign.
    passed_over: BTreeMap<NodeName, u32>,
}

impl OwnerWatch {
    /// A message of a node came.
    pub fn heard(&mut self, node: &NodeName, now: Millis) {
        self.heard_at.insert(node.clone(), now);
        self.passed_over_until.remove(node);
        self.passed_over.remove(node);
    }

    /// Whether a message of a node came within `span` milliseconds.
    pub fn was_heard_within(&self, node: &NodeName, span: Millis, now: Millis) -> bool {
        let heard_at = self.heard_at.get(node);
        heard_at.is_some_and(|at| now.saturating_sub(*at) <= span)
    }

    /// Whether a node is passed over.
    pub fn is_passed_over(&self, node: &NodeName, now: Millis) -> bool {
        let until = self.passed_over_until.get(node);
        until.is_some_and(|until| *until > now)
    }

    /// Looks at a node that owes an answer since `owed_since`.
    pub fn look(&mut self, node: &NodeName, owed_since: Millis, now: Millis) -> OwnerStep {
        let heard_at = self.heard_at.get(node).copied().unwrap_or_default();
        let quiet_since = heard_at.max(owed_since);
        let silence = now.saturating_sub(quiet_since);
        if self.is_passed_over(node, now) || silence < ASK_AFTER {
            return OwnerStep::Wait;
        }
        let asked_at = self.asked_at.get(node).copied().unwrap_or_default();
        if asked_at < quiet_since {
            self.asked_at.insert(node.clone(), now);
            return OwnerStep::Ask;
        }
        if silence < SILENT_AFTER {
            return OwnerStep::Wait;
        }
        let times = self.passed_over.entry(node.clone()).or_default();
        let until = now + (PASSED_OVER_FOR << (*times).min(MAX_DOUBLINGS));
        *times += 1;
        self.passed_over_until.insert(node.clone(), until);
        OwnerStep::PassOver
    }

    /// Ends the times of those that were passed over long enough. True when there
    /// were any.
    pub fn expire(&mut self, now: Millis) -> bool {
        let before = self.passed_over_until.len();
        self.passed_over_until.retain(|_, until| *until > now);
        self.passed_over_until.len() != before
    }
}
