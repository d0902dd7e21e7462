//! Stages for which all back ends rest: refused at once where none is back in time.

use crate::requests::active::{Phase, RequestNumber};
use crate::requests::actor::RequestActor;
use silversail_consensus::Millis;
use silversail_model::{Backend, ResultCode};
use silversail_routing::PoolId;
use stakker::CX;

/// The latest return that a caller is told, in milliseconds: of a back end that asks for more it
/// is not known whether it will be there.
const LATEST_RETURN: Millis = 3_600_000;
const ALL_REST: &str = "all back ends asked for rest and none is back in time";

impl RequestActor {
    /// When the rest of a back end is over; in the past where it wants none.
    pub(crate) fn rest_until(&self, backend: &Backend) -> Millis {
        self.setup.notices.of(&backend.address).backoff_until()
    }

    /// When the first back end of a pool is back, where all rest beyond `deadline`.
    pub(crate) fn too_late_back_at(
        &self,
        pool: PoolId,
        deadline: Millis,
        now: Millis,
    ) -> Option<Millis> {
        let state = self.setup.state.borrow();
        let backends = &state.configuration.configuration().backends;
        let members = self.pools.members(pool).iter();
        let staying = members
            .filter_map(|name| backends.get(name))
            .filter(|backend| !backend.drain && !state.is_leaving(&backend.address))
            .filter(|backend| self.pools.holds_model(pool, backend));
        let back_at = staying.map(|backend| self.rest_until(backend)).min()?;
        (back_at > now && back_at >= deadline).then_some(back_at)
    }

    /// Refuses a request that no back end will take in time, and tells when one will be back.
    pub(crate) fn refuse_until(&mut self, cx: CX![], number: RequestNumber, back_at: Millis) {
        let back_in = back_at.saturating_sub(self.now_millis(cx));
        let told = (back_in <= LATEST_RETURN).then_some(back_in);
        self.give_up(cx, number, ResultCode::BackendsResting, ALL_REST, told);
    }

    /// A back end turned a call away, perhaps for long: what waits and can't be served in time
    /// any more is refused at once.
    pub(crate) fn refuse_too_late(&mut self, cx: CX![]) {
        let now = self.now_millis(cx);
        let mut too_late = Vec::new();
        let waiting = self.requests.values();
        for request in waiting.filter(|request| request.phase == Phase::Queued) {
            let deadline = self.setup.clock.millis(request.deadline);
            let pool = self.pools.known_pool(&request.pipeline.name, request.stage);
            let back_at = pool.and_then(|pool| self.too_late_back_at(pool, deadline, now));
            too_late.extend(back_at.map(|back_at| (request.number, back_at)));
        }
        too_late.sort_unstable();
        for (number, back_at) in too_late {
            self.refuse_until(cx, number, back_at);
        }
    }
}
