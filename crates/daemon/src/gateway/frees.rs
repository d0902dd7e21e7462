//! Results that are needed no more are freed at their makers, unless these asked for rest or have
//! a limit.

use crate::gateway::actor::GatewayActor;
use crate::gateway::calls::CalledBackend;
use silversail_consensus::Millis;
use silversail_peer::ResultHandle;
use silversail_serving::instances::{Instance, InstanceId};
use std::collections::BTreeMap;

/// Results whose makers rest; a maker keeps results for some seconds at most, so that they are
/// bounded by what is made in that time.
#[derive(Default)]
pub(super) struct DelayedFrees {
    by_maker: BTreeMap<InstanceId, Vec<ResultHandle>>,
}

impl DelayedFrees {
    fn add(&mut self, maker: &str, handles: Vec<ResultHandle>) {
        let kept = self.by_maker.entry(maker.to_owned()).or_default();
        kept.extend(handles);
    }

    /// Takes those whose makers rest no more.
    fn take_due(&mut self, is_resting: impl Fn(&str) -> bool) -> Vec<ResultHandle> {
        let all = std::mem::take(&mut self.by_maker);
        let (kept, due) = all.into_iter().partition(|(maker, _)| is_resting(maker));
        self.by_maker = kept;
        let due: BTreeMap<InstanceId, Vec<ResultHandle>> = due;
        due.into_values().flatten().collect()
    }
}

impl GatewayActor {
    /// Frees what is needed no more.
    pub(super) fn free_results(&mut self, now: Millis) {
        let handles = self.batcher.take_releases();
        self.free(handles, now);
    }

    /// Frees what makers kept while they rested.
    pub(super) fn free_delayed_results(&mut self, now: Millis) {
        let table = &self.dispatcher.instances;
        let is_resting = |maker: &str| table.get(maker).is_some_and(|one| one.is_in_backoff(now));
        let due = self.delayed_frees.take_due(is_resting);
        self.free(due, now);
    }

    fn free(&mut self, handles: Vec<ResultHandle>, now: Millis) {
        let mut by_address: BTreeMap<String, Vec<ResultHandle>> = BTreeMap::new();
        for handle in handles {
            let address = self.setup.protocols.batches.maker_address(&handle);
            let of_maker = by_address.entry(address.to_owned()).or_default();
            of_maker.push(handle);
        }
        for (address, handles) in by_address {
            // An address that has another back end now must not be asked.
            let Some(maker) = self.dispatcher.instances.at_address(&address) else {
                continue;
            };
            let instance = maker.listed.id.clone();
            match fate_of(maker, now) {
                Fate::Later => self.delayed_frees.add(&instance, handles),
                Fate::Never => {}
                Fate::Now => {
                    let request = self.setup.protocols.batches.free_call(&handles);
                    let at = CalledBackend { instance, address };
                    self.setup.calls.free(at, handles, request);
                }
            }
        }
    }
}

/// When results are freed at a maker.
enum Fate {
    Now,
    /// It rests.
    Later,
    /// It leaves, or takes few requests, which are for work: its results end by themselves.
    Never,
}

fn fate_of(maker: &Instance, now: Millis) -> Fate {
    if maker.announced_shutdown() || maker.is_limited() {
        return Fate::Never;
    }
    match maker.is_in_backoff(now) {
        true => Fate::Later,
        false => Fate::Now,
    }
}
