//! Rate limit for cold back ends, which have just started or lost their caches. They sustain few
//! requests per second in total and fail well above that.
//!
//! The rate is divided without messages: rendezvous hashing selects a few sender nodes for each
//! cold back end, and each sender keeps a minimum interval between its requests. Nodes with
//! diverging views, as in a partition, may use two sets of senders at a time; [`SENDER_SET_SHARE`]
//! leaves headroom for that.

use crate::senders::{SenderLimit, SenderNodes};
use crate::Millis;
use serde::Deserialize;
use silversail_model::traffic::ColdSpec;
use std::collections::BTreeMap;

/// Fraction of a cold back end's rate that one set of senders uses: two sets together send 1.4
/// times the rate, below the 1.5 times at which back ends fail.
const SENDER_SET_SHARE: f64 = 0.7;

/// Policy for sending requests to cold back ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ColdBackendPolicy {
    /// Cold back ends are treated like warm ones.
    Unlimited,
    /// Cold back ends are used up to their rate limit.
    Limited,
    /// Cold back ends are used up to their rate limit, and only if no warm one is usable.
    LastResort,
}

/// Selects the nodes that may send to cold back ends and limits their rates.
#[derive(Clone, Debug, Default)]
pub(crate) struct ColdSenders {
    specs: BTreeMap<String, ColdSpec>,
}

impl ColdSenders {
    /// Sets the cold rate limits by service.
    pub(crate) fn set_specs(&mut self, specs: BTreeMap<String, ColdSpec>) {
        self.specs = specs;
    }

    /// Whether a service has a rate limit for cold back ends.
    pub(crate) fn applies_to(&self, service: &str) -> bool {
        self.specs.contains_key(service)
    }

    /// Whether this node may send a request to a cold back end at `now`, given the time of its last
    /// request there.
    pub(crate) fn may_send(
        &self,
        nodes: &SenderNodes,
        service: &str,
        backend: &str,
        last_sent: Option<Millis>,
        now: Millis,
    ) -> bool {
        let Some(spec) = self.specs.get(service) else {
            return true;
        };
        let allowed = spec.requests_per_second * SENDER_SET_SHARE;
        let senders = (allowed as usize).max(1);
        let interval_ms = senders as f64 / allowed * 1_000.0;
        let interval_has_passed =
            last_sent.is_none_or(|at| now.saturating_sub(at) as f64 >= interval_ms);
        interval_has_passed && nodes.is_sender(SenderLimit::Cold, backend, senders)
    }
}
