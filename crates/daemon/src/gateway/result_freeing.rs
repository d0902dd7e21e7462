//! Frees unused results at the back ends that made them. The node that called a back end for a
//! result knows its maker, and is the only one that frees it: the address in the handle may belong
//! to another back end by then. Back ends are not called during a back-off or while they are
//! rate-limited. What is not freed expires at the back end within seconds.

use crate::gateway::actor::GatewayActor;
use crate::gateway::call_types::{new_call_id, CalledBackend};
use silversail_consensus::Millis;
use silversail_model::NodeName;
use silversail_peer::ResultHandle;
use silversail_serving::batcher::ReleasedResult;
use silversail_serving::instances::{Instance, InstanceId};
use std::collections::BTreeMap;

/// Time after which a result has surely expired at its maker, in milliseconds.
const MAX_RESULT_LIFETIME: Millis = 60_000;
/// Interval at which forgotten results are looked for, in milliseconds.
const EXPIRY_INTERVAL: Millis = 1_000;

struct ResultOwner {
    node: NodeName,
    until: Millis,
}

/// Nodes whose batch calls made the results of this node's orders.
#[derive(Default)]
pub(super) struct ResultOwners {
    by_result: BTreeMap<ResultHandle, ResultOwner>,
    next_expiry_at: Millis,
}

impl ResultOwners {
    pub(super) fn record(&mut self, results: &[ResultHandle], node: &NodeName, now: Millis) {
        for result in results {
            let owner = ResultOwner {
                node: node.clone(),
                until: now + MAX_RESULT_LIFETIME,
            };
            self.by_result.insert(result.clone(), owner);
        }
    }

    /// Removes results and returns them by the node that made them.
    fn take(&mut self, results: Vec<ResultHandle>) -> BTreeMap<NodeName, Vec<ResultHandle>> {
        let mut by_node: BTreeMap<NodeName, Vec<ResultHandle>> = BTreeMap::new();
        for result in results {
            if let Some(owner) = self.by_result.remove(&result) {
                by_node.entry(owner.node).or_default().push(result);
            }
        }
        by_node
    }

    /// Forgets results that were never released.
    pub(super) fn expire(&mut self, now: Millis) {
        if now < self.next_expiry_at {
            return;
        }
        self.next_expiry_at = now + EXPIRY_INTERVAL;
        self.by_result.retain(|_, owner| owner.until > now);
    }
}

/// Results to free after the back-off of their makers. Results expire within seconds, which
/// bounds the memory used here.
#[derive(Default)]
pub(super) struct DelayedFrees {
    by_maker: BTreeMap<InstanceId, Vec<ResultHandle>>,
}

impl DelayedFrees {
    fn add(&mut self, maker: InstanceId, handles: Vec<ResultHandle>) {
        self.by_maker.entry(maker).or_default().extend(handles);
    }

    /// Removes the results of makers whose back-off has ended.
    fn take_due(
        &mut self,
        is_resting: impl Fn(&str) -> bool,
    ) -> BTreeMap<InstanceId, Vec<ResultHandle>> {
        let all = std::mem::take(&mut self.by_maker);
        let (deferred, due) = all.into_iter().partition(|(maker, _)| is_resting(maker));
        self.by_maker = deferred;
        due
    }
}

impl GatewayActor {
    /// Releases results of this node's orders at the nodes that batched them.
    pub(super) fn release_results(&mut self, results: Vec<ResultHandle>) {
        for (owner, handles) in self.result_owners.take(results) {
            self.release_results_at(&owner, handles);
        }
    }

    /// Frees results that the batcher released.
    pub(super) fn free_results(&mut self, now: Millis) {
        let mut by_maker: BTreeMap<InstanceId, Vec<ResultHandle>> = BTreeMap::new();
        for ReleasedResult { maker, handle } in self.batcher.take_releases() {
            by_maker.entry(maker).or_default().push(handle);
        }
        self.free_at_makers(by_maker, now);
    }

    /// Frees results whose makers have ended their back-off.
    pub(super) fn free_delayed_results(&mut self, now: Millis) {
        let table = &self.dispatcher.instances;
        let is_resting = |maker: &str| {
            let maker = table.get(maker);
            maker.is_some_and(|maker| maker.is_in_backoff(now))
        };
        let due = self.delayed_frees.take_due(is_resting);
        self.free_at_makers(due, now);
    }

    fn free_at_makers(&mut self, results: BTreeMap<InstanceId, Vec<ResultHandle>>, now: Millis) {
        for (maker, handles) in results {
            // The results of a back end end with it.
            let Some(backend) = self.dispatcher.instances.get(&maker) else {
                continue;
            };
            match free_timing(backend, now) {
                FreeTiming::Later => self.delayed_frees.add(maker, handles),
                FreeTiming::Never => {}
                FreeTiming::Now => {
                    let protocol = &self.setup.protocols.batches;
                    let name = &backend.listed.name;
                    let request = protocol.free_call(new_call_id(), name, &handles);
                    let target = CalledBackend {
                        instance: maker,
                        address: backend.listed.address.clone(),
                    };
                    self.setup.calls.free(target, handles, request);
                }
            }
        }
    }
}

/// When results may be freed at a back end.
enum FreeTiming {
    Now,
    /// After the back end's back-off.
    Later,
    /// The back end has ended or is draining, or its rate limit is reserved for other calls. Its results
    /// expire by themselves.
    Never,
}

fn free_timing(backend: &Instance, now: Millis) -> FreeTiming {
    let has_ended = backend.has_address_mismatch(now);
    if has_ended || backend.announced_shutdown() || backend.is_limited() {
        return FreeTiming::Never;
    }
    match backend.is_in_backoff(now) {
        true => FreeTiming::Later,
        false => FreeTiming::Now,
    }
}
