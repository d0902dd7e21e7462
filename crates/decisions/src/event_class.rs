//! Classification of events by importance and by request.

use crate::event::{is_whole, Event};

/// Importance of an event when the log has to drop some; later variants are kept longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EventClass {
    /// Regular progress of a request; sampled under load.
    RequestStep,
    /// Rejection, failure or retry of a request.
    RequestFailure,
    /// Change of the process's state or of its knowledge of the cluster.
    StateChange,
}

impl Event {
    /// Class by which the log decides what to drop first.
    pub fn class(&self) -> EventClass {
        match self {
            Event::Admitted { .. }
            | Event::PhaseSubmitted { .. }
            | Event::Sent { .. }
            | Event::Forwarded { .. }
            | Event::BatchSent { .. }
            | Event::BatchEnded { .. }
            | Event::FreeEnded { .. } => EventClass::RequestStep,
            Event::PhaseDone { outcome, .. } if outcome == "made" => EventClass::RequestStep,
            Event::Answered { end, status, .. } if is_whole(end) && *status < 400 => {
                EventClass::RequestStep
            }
            Event::Refused { .. }
            | Event::AttributeRefused { .. }
            | Event::ConnectionOptionsDisregarded { .. }
            | Event::WaitsForRest { .. }
            | Event::PhaseDone { .. }
            | Event::SendFailed { .. }
            | Event::AnswerChecked { .. }
            | Event::ForwardFailed { .. }
            | Event::Answered { .. }
            | Event::CallerGone { .. } => EventClass::RequestFailure,
            _ => EventClass::StateChange,
        }
    }

    /// Identifier of the request that the event belongs to, if it belongs to one.
    pub fn request(&self) -> Option<&str> {
        match self {
            Event::Admitted { request, .. }
            | Event::Refused { request, .. }
            | Event::ConnectionOptionsDisregarded { request, .. }
            | Event::AttributeRefused { request, .. }
            | Event::PhaseSubmitted { request, .. }
            | Event::PhaseDone { request, .. }
            | Event::Sent { request, .. }
            | Event::SendFailed { request, .. }
            | Event::AnswerChecked { request, .. }
            | Event::Forwarded { request, .. }
            | Event::ForwardFailed { request, .. }
            | Event::WaitsForRest { request, .. }
            | Event::Answered { request, .. }
            | Event::CallerGone { request, .. } => Some(request),
            _ => None,
        }
    }
}
