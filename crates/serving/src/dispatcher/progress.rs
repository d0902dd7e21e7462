//! Continuation after a phase: further phases, the send, or a restart of all phases.

use super::{Action, Dispatcher, RequestNumber};
use crate::Millis;
use silversail_decisions::Event;
use silversail_model::ResultCode;
use silversail_peer::{PieceFailure, ResultHandle, WorkId};

/// Maximum number of restarts of a request's phases after a result was lost.
const MAX_RESTARTS: u32 = 1;

impl Dispatcher {
    /// Continues a request with the result of a phase.
    pub fn phase_done(
        &mut self,
        work: WorkId,
        result: Result<Vec<ResultHandle>, PieceFailure>,
        now: Millis,
    ) -> Vec<Action> {
        let Some((number, phase)) = self.orders.remove(&work) else {
            return Vec::new();
        };
        let Some(request) = self.requests.get_mut(&number) else {
            return Vec::new();
        };
        self.log.record(Event::PhaseDone {
            request: request.call.id.clone(),
            phase: phase as u32,
            outcome: match &result {
                Ok(_) => "made".to_owned(),
                Err(failure) => format!("{failure:?}"),
            },
            took_ms: request.phases.took_ms(phase, now),
        });
        match result {
            Ok(handles) => {
                if let Some(forecast) = request.phases.forecast_ms(phase) {
                    let service = &request.resolved_route.route.phases[phase].service;
                    let took = request.phases.took_ms(phase, now);
                    self.admission.record_phase(service, forecast, took, now);
                }
                let mut actions = request.complete_phase(phase, handles);
                actions.extend(self.advance(number, now));
                actions
            }
            Err(PieceFailure::InputGone) => self.restart(number, now),
            Err(PieceFailure::NoBackend) => {
                let code = request.no_backend_code();
                self.give_up(number, code, now)
            }
            Err(failure) => self.give_up(number, phase_code(failure), now),
        }
    }

    /// Frees the inputs of a phase, which its back ends have read.
    pub fn inputs_read(&mut self, work: WorkId) -> Vec<Action> {
        let Some((number, phase)) = self.orders.get(&work) else {
            return Vec::new();
        };
        let request = self.requests.get_mut(number);
        request.map_or_else(Vec::new, |request| request.inputs_read(*phase))
    }

    /// Restarts the phases of a request after a result was lost.
    pub(super) fn restart(&mut self, number: RequestNumber, now: Millis) -> Vec<Action> {
        let Some(request) = self.requests.get_mut(&number) else {
            return Vec::new();
        };
        if request.restarts >= MAX_RESTARTS {
            return self.give_up(number, ResultCode::PhaseFailed, now);
        }
        request.restarts += 1;
        let mut actions = request.drop_phases();
        request.reset_phases();
        self.forget_orders(&actions);
        actions.extend(self.advance(number, now));
        actions
    }

    pub(super) fn forget_orders(&mut self, actions: &[Action]) {
        for action in actions {
            if let Action::Cancel { work, .. } = action {
                self.orders.remove(work);
            }
        }
    }
}

fn phase_code(failure: PieceFailure) -> ResultCode {
    match failure {
        PieceFailure::Overloaded => ResultCode::PhaseOverloaded,
        PieceFailure::Late => ResultCode::TimeOverBeforeSend,
        PieceFailure::NoBackend => ResultCode::NoBackend,
        PieceFailure::Quarantined => ResultCode::RequestQuarantined,
        PieceFailure::InputGone | PieceFailure::NoRoom | PieceFailure::Failed => {
            ResultCode::PhaseFailed
        }
    }
}
