//! How many pieces a request may have: no more than the back ends of its phases could run and hold
//! before its deadline.

use super::request::ActiveRequest;
use super::Dispatcher;
use crate::Millis;
use silversail_model::traffic::BatchSpec;
use silversail_model::ResultCode;

/// Factor by which a limit exceeds the capacity: durations and sizes in the configuration are
/// approximate, and back ends may be added before the deadline.
const CAPACITY_MARGIN: u64 = 4;
/// Maximum number of inputs of all pieces of a phase together. Each piece names all its inputs.
const MAX_INPUTS_OF_PHASE: u64 = 1 << 18;

impl Dispatcher {
    /// Code of the limit that a request exceeds by its number of pieces; none if it may be run.
    pub(super) fn exceeded_piece_limit(
        &self,
        request: &ActiveRequest,
        now: Millis,
    ) -> Option<ResultCode> {
        let phases = 0..request.resolved_route.route.phases.len();
        if phases
            .clone()
            .any(|phase| input_count(request, phase) > MAX_INPUTS_OF_PHASE)
        {
            return Some(ResultCode::ValueOutOfRange);
        }
        let remaining_ms = request.end.saturating_sub(now);
        let exceeds_capacity = |phase: usize| {
            let capacity = self.capacity(request, phase, remaining_ms);
            capacity.is_some_and(|capacity| u64::from(request.phases.pieces(phase)) > capacity)
        };
        let mut phases = phases;
        phases
            .any(exceeds_capacity)
            .then_some(ResultCode::DeadlineUnreachable)
    }

    /// Upper bound of the pieces of a phase that its back ends can run and hold; none if it is not
    /// known.
    fn capacity(&self, request: &ActiveRequest, phase: usize, remaining_ms: Millis) -> Option<u64> {
        let phase = &request.resolved_route.route.phases[phase];
        let spec = self.routes.as_ref()?.batch_spec(&phase.service)?;
        let backend_count = self.instances.count_of_service(&phase.service) as u64;
        let of_backend = backend_capacity(spec, phase.result_bytes, remaining_ms);
        let capacity = of_backend.saturating_mul(backend_count.saturating_mul(CAPACITY_MARGIN));
        (backend_count > 0).then_some(capacity)
    }
}

/// Number of inputs of all pieces of a phase together.
fn input_count(request: &ActiveRequest, phase: usize) -> u64 {
    let inputs = request.resolved_route.route.phases[phase].after.iter();
    let of_piece: u64 = inputs
        .map(|input| u64::from(request.phases.pieces(*input)))
        .sum();
    of_piece.saturating_mul(u64::from(request.phases.pieces(phase)))
}

/// Number of pieces that a back end can run in this time, and whose results it can hold at once.
fn backend_capacity(spec: &BatchSpec, result_bytes: u64, remaining_ms: Millis) -> u64 {
    let pieces_of_call = spec.pieces.max(1) as u64;
    let call_ms = spec.call_ms + spec.piece_ms * pieces_of_call as f64;
    let consecutive_calls = (remaining_ms as f64 / call_ms.max(1.0)) as u64 + 1;
    let calls = consecutive_calls.saturating_mul(u64::from(spec.slots.max(1)));
    let by_time = calls.saturating_mul(pieces_of_call);
    let by_room = spec.room_bytes / result_bytes.max(1);
    by_time.min(by_room.max(pieces_of_call))
}
