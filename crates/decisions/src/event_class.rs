//! How important events are, and what they are about.

use crate::event::Event;

/// How important an event is when not all can be kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EventClass {
    /// A step of a request that goes well; sampled under load.
    RequestStep,
    /// A refusal, failure or retry of a request.
    RequestFailure,
    /// A change of what the process believes, or of its life.
    StateChange,
}

impl Event {
    /// How important the event is.
    pub fn class(&self) -> EventClass {
        match self {
            Event::Admitted { .. }
            | Event::PhaseSubmitted { .. }
            | Event::Sent { .. }
            | Event::BatchSent { .. }
            | Event::BatchEnded { .. } => EventClass::RequestStep,
            Event::PhaseDone { outcome, .. } if outcome == "made" => EventClass::RequestStep,
            Event::Answered { end, status, .. } if end == "whole" && *status < 400 => {
                EventClass::RequestStep
            }
            Event::Refused { .. }
            | Event::WaitsForRest { .. }
            | Event::PhaseDone { .. }
            | Event::SendFailed { .. }
            | Event::Answered { .. }
            | Event::CallerGone { .. } => EventClass::RequestFailure,
            _ => EventClass::StateChange,
        }
    }

    /// The request that the event is about, where it is about one.
    pub fn request(&self) -> Option<&str> {
        match self {
            Event::Admitted { request, .. }
            | Event::Refused { request, .. }
            | Event::PhaseSubmitted { request, .. }
            | Event::PhaseDone { request, .. }
            | Event::Sent { request, .. }
            | Event::SendFailed { request, .. }
            | Event::WaitsForRest { request, .. }
            | Event::Answered { request, .. }
            | Event::CallerGone { request, .. } => Some(request),
            _ => None,
        }
    }
}
