//! Cold back ends: ones that have just started, or whose caches are gone. They bear few
//! requests a second and fall over well above that, whoever sends them.
//!
//! What a cold back end bears is shared out without a message: the nodes of the view are
//! ranked by a hash with its identity, the first few may send to it, and each of them keeps a
//! pause between its requests. In any second they send no more together than is allowed,
//! also where each request of a node is its first. Nodes whose views differ, as in a cut, may
//! take two sets of senders at a time; [`SHARE`] leaves room for that.

use crate::Millis;
use serde::Deserialize;
use silversail_model::traffic::ColdSpec;
use std::collections::hash_map::DefaultHasher;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

/// Share of what a cold back end bears that one set of senders uses: two sets send 1.4 times
/// what it bears, and it falls over above 1.5 times.
const SHARE: f64 = 0.7;

/// How cold back ends are used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ColdBackendPolicy {
    /// Like any other.
    Unlimited,
    /// Like any other, within what they bear.
    Limited,
    /// Within what they bear, and only where no warm one can be used.
    LastResort,
}

/// Which nodes may send to cold back ends, and how often.
#[derive(Clone, Debug, Default)]
pub(crate) struct ColdSenders {
    specs: BTreeMap<String, ColdSpec>,
    own: String,
    nodes: Vec<String>,
}

impl ColdSenders {
    /// Takes what the back ends of each service bear while they are cold.
    pub(crate) fn set_specs(&mut self, specs: BTreeMap<String, ColdSpec>) {
        self.specs = specs;
    }

    /// Takes the nodes that send requests, and which of them this is.
    pub(crate) fn set_nodes(&mut self, own: &str, nodes: Vec<String>) {
        self.own = own.to_owned();
        self.nodes = nodes;
    }

    /// Whether the back ends of a service have cold spells that matter.
    pub(crate) fn applies_to(&self, service: &str) -> bool {
        self.specs.contains_key(service)
    }

    /// Whether this node may send another request to a cold back end, to which it sent the
    /// last one at `last_sent`.
    pub(crate) fn may_send(
        &self,
        service: &str,
        backend: &str,
        last_sent: Option<Millis>,
        now: Millis,
    ) -> bool {
        let Some(spec) = self.specs.get(service) else {
            return true;
        };
        let allowed = spec.requests_per_second * SHARE;
        let senders = (allowed as usize).max(1);
        let pause = senders as f64 / allowed * 1_000.0;
        let is_rested = last_sent.is_none_or(|at| now.saturating_sub(at) as f64 >= pause);
        is_rested && self.is_sender(backend, senders)
    }

    /// Whether this node is one of the first `senders` nodes in the back end's ranking.
    fn is_sender(&self, backend: &str, senders: usize) -> bool {
        let own = rank(&self.own, backend);
        let others = self.nodes.iter().filter(|node| **node != self.own);
        let before = others.filter(|node| rank(node, backend) < own);
        before.take(senders).count() < senders
    }
}

fn rank(node: &str, backend: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    ("cold_sender", node, backend).hash(&mut hasher);
    hasher.finish()
}
