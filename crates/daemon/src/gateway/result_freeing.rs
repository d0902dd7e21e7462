//! Frees unused results at their back ends, which are not called during a back-off or while they
//! are rate-limited.

use crate::gateway::actor::GatewayActor;
use crate::gateway::call_types::{new_call_id, CalledBackend};
use silversail_consensus::Millis;
use silversail_peer::ResultHandle;
use silversail_serving::instances::{Instance, InstanceId};
use std::collections::BTreeMap;

/// Results to free after the back-off of their back ends. Results expire within seconds, which
/// bounds the memory used here.
#[derive(Default)]
pub(super) struct DelayedFrees {
    by_backend: BTreeMap<InstanceId, Vec<ResultHandle>>,
}

impl DelayedFrees {
    fn add(&mut self, backend: &str, handles: Vec<ResultHandle>) {
        let deferred = self.by_backend.entry(backend.to_owned()).or_default();
        deferred.extend(handles);
    }

    /// Removes the results of back ends whose back-off has ended.
    fn take_due(&mut self, is_resting: impl Fn(&str) -> bool) -> Vec<ResultHandle> {
        let all = std::mem::take(&mut self.by_backend);
        let (deferred, due) = all
            .into_iter()
            .partition(|(backend, _)| is_resting(backend));
        self.by_backend = deferred;
        let due: BTreeMap<InstanceId, Vec<ResultHandle>> = due;
        due.into_values().flatten().collect()
    }
}

impl GatewayActor {
    /// Frees results that the batcher released.
    pub(super) fn free_results(&mut self, now: Millis) {
        let handles = self.batcher.take_releases();
        self.free_at_backends(handles, now);
    }

    /// Frees results whose back ends have ended their back-off.
    pub(super) fn free_delayed_results(&mut self, now: Millis) {
        let table = &self.dispatcher.instances;
        let is_resting = |backend: &str| {
            table
                .get(backend)
                .is_some_and(|instance| instance.is_in_backoff(now))
        };
        let due = self.delayed_frees.take_due(is_resting);
        self.free_at_backends(due, now);
    }

    fn free_at_backends(&mut self, handles: Vec<ResultHandle>, now: Millis) {
        let mut by_address: BTreeMap<String, Vec<ResultHandle>> = BTreeMap::new();
        for handle in handles {
            let address = self.setup.protocols.batches.maker_address(&handle);
            let backend_handles = by_address.entry(address.to_owned()).or_default();
            backend_handles.push(handle);
        }
        for (address, handles) in by_address {
            // The address may have been reassigned to another back end, which must not be called.
            let Some(backend) = self.dispatcher.instances.at_address(&address) else {
                continue;
            };
            let instance = backend.listed.id.clone();
            match free_timing(backend, now) {
                FreeTiming::Later => self.delayed_frees.add(&instance, handles),
                FreeTiming::Never => {}
                FreeTiming::Now => {
                    let protocol = &self.setup.protocols.batches;
                    let request = protocol.free_call(new_call_id(), &handles);
                    let target = CalledBackend { instance, address };
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
    /// The back end is draining, or its rate limit is reserved for other calls. Its results
    /// expire by themselves.
    Never,
}

fn free_timing(backend: &Instance, now: Millis) -> FreeTiming {
    if backend.announced_shutdown() || backend.is_limited() {
        return FreeTiming::Never;
    }
    match backend.is_in_backoff(now) {
        true => FreeTiming::Later,
        false => FreeTiming::Now,
    }
}
