//! Stages whose back ends all asked callers to back off: failed at once if none becomes available
//! before the deadline.

use crate::requests::active::{RequestNumber, RequestPhase};
use crate::requests::actor::RequestActor;
use silversail_consensus::Millis;
use silversail_model::{Backend, ResultCode};
use silversail_routing::PoolId;
use stakker::CX;

/// Longest retry delay that a caller is told, in milliseconds: it is uncertain whether a back end
/// that asks for more will return.
const MAX_RETRY_AFTER: Millis = 3_600_000;
const ALL_RESTING_MESSAGE: &str = "all back ends asked callers to back off beyond the deadline";

impl RequestActor {
    /// Time at which a back end's back-off ends; in the past if there is none.
    pub(crate) fn backoff_until(&self, backend: &Backend) -> Millis {
        self.setup.notices.of(&backend.address).backoff_until()
    }

    /// Time at which the first back end of a pool becomes available, if that is not before
    /// `deadline`.
    pub(crate) fn available_after_deadline(
        &self,
        pool: PoolId,
        deadline: Millis,
        now: Millis,
    ) -> Option<Millis> {
        let state = self.setup.state.borrow();
        let backends = &state.configuration.configuration().backends;
        let members = self.pools.members(pool).iter();
        let usable = members
            .filter_map(|name| backends.get(name))
            .filter(|backend| !backend.drain && !state.is_leaving(&backend.address))
            .filter(|backend| self.pools.has_model_loaded(pool, backend));
        let available_at = usable.map(|backend| self.backoff_until(backend)).min()?;
        (available_at > now && available_at >= deadline).then_some(available_at)
    }

    /// Refuses a request for which no back end becomes available in time, with the time until one
    /// does.
    pub(crate) fn reject_until(&mut self, cx: CX![], number: RequestNumber, available_at: Millis) {
        let available_in_ms = available_at.saturating_sub(self.now_millis(cx));
        let retry_after_ms = (available_in_ms <= MAX_RETRY_AFTER).then_some(available_in_ms);
        self.fail_request(
            cx,
            number,
            ResultCode::BackendsResting,
            ALL_RESTING_MESSAGE,
            retry_after_ms,
        );
    }

    /// Refuses queued requests that can no longer be served in time, after a back end rejected a
    /// call.
    pub(crate) fn reject_queued_past_backoff(&mut self, cx: CX![]) {
        let now = self.now_millis(cx);
        let mut rejections = Vec::new();
        let open_requests = self.requests.values();
        for request in open_requests.filter(|request| request.phase == RequestPhase::Queued) {
            let deadline = self.setup.clock.millis(request.deadline);
            let pool = self
                .pools
                .existing_pool(&request.pipeline.name, request.stage);
            let available_at =
                pool.and_then(|pool| self.available_after_deadline(pool, deadline, now));
            rejections.extend(available_at.map(|available_at| (request.number, available_at)));
        }
        rejections.sort_unstable();
        for (number, available_at) in rejections {
            self.reject_until(cx, number, available_at);
        }
    }
}
