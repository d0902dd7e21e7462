//! Owners of shards, and detection of owners that do not respond.

use silversail_consensus::Millis;
use silversail_control::batch_owners::rendezvous_owner;
use silversail_control::ClusterView;
use silversail_model::{NodeName, Shard};
use std::collections::BTreeMap;

/// Silence after which an owner that has not answered an order is probed, in milliseconds.
const PROBE_AFTER: Millis = 450;
/// Silence after which a probed owner is ejected, in milliseconds. Much shorter than a lease in
/// the view.
const EJECT_AFTER: Millis = 900;
/// Duration of the first ejection, in milliseconds. Doubles with each further ejection until the
/// owner sends a message.
const BASE_EJECTION_TIME: Millis = 2_500;
/// Maximum number of doublings of the ejection time.
const MAX_DOUBLINGS: u32 = 2;

/// Returns the owner of `shard`: the node assigned by `view`, or, for a whole service, a
/// replacement among the usable nodes if that one is unusable or `is_excluded`, or `own` if none
/// remains.
///
/// A shard of a zone has no replacement while its owner is unavailable; orders go to the other
/// shards of the service until the leader assigns another owner. Nodes that eject different
/// owners would pick different replacements, which would compete for the same back ends with
/// partly filled batches.
///
/// `None` if the view has no usable node or no assignment for the shard: nodes that batch alone,
/// or that pick an owner from an incomplete view, would fragment the batches.
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
    let assigned_usable = Some(assigned).filter(|node| view.is_usable(node) && !is_excluded(node));
    let replacements = nodes.filter(|node| !is_excluded(node));
    let owner = assigned_usable.or_else(|| rendezvous_owner(replacements, shard));
    Some(owner.unwrap_or(own).clone())
}

/// Returns the owners of all shards that `view` assigns, without owners that are `is_excluded` if
/// another shard of the service remains. If none does, the silent owners are kept, as orders may
/// as well wait for them.
pub fn batch_owners(
    view: &ClusterView,
    own: &NodeName,
    is_excluded: impl Fn(&NodeName) -> bool,
) -> BTreeMap<Shard, NodeName> {
    let owner_of_shard = |shard: &Shard, is_excluded: &dyn Fn(&NodeName) -> bool| {
        let owner = batch_owner(view, shard, own, is_excluded)?;
        Some((shard.clone(), owner))
    };
    let shards = view.batch_owners.keys();
    let mut owners: BTreeMap<Shard, NodeName> = shards
        .clone()
        .filter_map(|shard| owner_of_shard(shard, &is_excluded))
        .collect();
    let is_owned = |service: &str| owners.keys().any(|shard| shard.service == service);
    let unowned = shards.filter(|shard| !is_owned(&shard.service));
    let silent: Vec<(Shard, NodeName)> = unowned
        .filter_map(|shard| owner_of_shard(shard, &|_| false))
        .collect();
    owners.extend(silent);
    owners
}

/// Action for an owner that has not answered an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerAction {
    /// Keep waiting.
    Wait,
    /// Resubmit its oldest order, which it acknowledges at once.
    Probe,
    /// Stop sending orders to it for a while.
    Eject,
}

/// Detects unresponsive shard owners. A node that this one cannot reach may stay in the view for
/// long.
#[derive(Default)]
pub struct OwnerMonitor {
    last_message_at: BTreeMap<NodeName, Millis>,
    probed_at: BTreeMap<NodeName, Millis>,
    ejected_until: BTreeMap<NodeName, Millis>,
    /// Number of ejections since the last message of a node.
    ejections: BTreeMap<NodeName, u32>,
}

impl OwnerMonitor {
    /// Records a message from a node, which ends its ejection.
    pub fn record_message(&mut self, node: &NodeName, now: Millis) {
        self.last_message_at.insert(node.clone(), now);
        self.ejected_until.remove(node);
        self.ejections.remove(node);
    }

    /// Whether a message of a node arrived within the last `span` milliseconds.
    pub fn has_message_within(&self, node: &NodeName, span: Millis, now: Millis) -> bool {
        let last_message_at = self.last_message_at.get(node);
        last_message_at.is_some_and(|at| now.saturating_sub(*at) <= span)
    }

    /// Whether a node is ejected at `now`.
    pub fn is_ejected(&self, node: &NodeName, now: Millis) -> bool {
        let until = self.ejected_until.get(node);
        until.is_some_and(|until| *until > now)
    }

    /// Checks a node that has not answered an order since `pending_since`, and ejects it if it
    /// stays silent.
    pub fn check(&mut self, node: &NodeName, pending_since: Millis, now: Millis) -> OwnerAction {
        let last_message_at = self.last_message_at.get(node).copied().unwrap_or_default();
        let silent_since = last_message_at.max(pending_since);
        let silence = now.saturating_sub(silent_since);
        if self.is_ejected(node, now) || silence < PROBE_AFTER {
            return OwnerAction::Wait;
        }
        let probed_at = self.probed_at.get(node).copied().unwrap_or_default();
        if probed_at < silent_since {
            self.probed_at.insert(node.clone(), now);
            return OwnerAction::Probe;
        }
        if silence < EJECT_AFTER {
            return OwnerAction::Wait;
        }
        let ejection_count = self.ejections.entry(node.clone()).or_default();
        let until = now + (BASE_EJECTION_TIME << (*ejection_count).min(MAX_DOUBLINGS));
        *ejection_count += 1;
        self.ejected_until.insert(node.clone(), until);
        OwnerAction::Eject
    }

    /// Ends expired ejections. Returns `true` if there were any.
    pub fn expire(&mut self, now: Millis) -> bool {
        let before = self.ejected_until.len();
        self.ejected_until.retain(|_, until| *until > now);
        self.ejected_until.len() != before
    }
}
