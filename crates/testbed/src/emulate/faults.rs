//! Faults that can be injected into a running emulated back end.

use super::behavior::{BackendBehavior, BehaviorConfig};
use silversail_http::ResponseHead;
use std::sync::Mutex;

/// Fault in the response to calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FaultMode {
    /// Calls are answered correctly.
    #[default]
    None,
    /// Calls are rejected without execution.
    Reject,
    /// Status 500 after the execution of a service call; engines reject with it.
    Error,
    /// A body that is not JSON, after the execution.
    MalformedBody,
    /// The identifier of another attempt, after the execution.
    WrongAttempt,
    /// No end of the response after the execution.
    Hang,
    /// The connection is closed within the response, after the execution (services)
    /// or once in each stream (engines).
    CloseConnection,
}

#[derive(Debug)]
struct State {
    mode: FaultMode,
    slowdown: f64,
    behavior: BackendBehavior,
}

/// Injected faults of one back end.
#[derive(Debug)]
pub struct Faults(Mutex<State>);

impl Default for Faults {
    fn default() -> Self {
        Self(Mutex::new(State {
            mode: FaultMode::None,
            slowdown: 1.0,
            behavior: BackendBehavior::default(),
        }))
    }
}

impl Faults {
    /// Current fault mode.
    pub fn mode(&self) -> FaultMode {
        self.0.lock().expect("not poisoned").mode
    }

    /// Sets the fault mode of later responses.
    pub fn set_mode(&self, mode: FaultMode) {
        self.0.lock().expect("not poisoned").mode = mode;
    }

    /// Replaces the scripted behavior and starts its clock.
    pub fn set_behavior(&self, behavior: BehaviorConfig) {
        self.0.lock().expect("not poisoned").behavior = BackendBehavior::start(behavior);
    }

    /// Response head for a call that is rejected; none for one that is accepted.
    pub fn reject_call(&self) -> Option<ResponseHead> {
        self.0.lock().expect("not poisoned").behavior.reject_call()
    }

    /// Response head with the current announcements of the back end.
    pub fn head(&self, status: u16, content_type: &'static str) -> ResponseHead {
        let head = ResponseHead::new(status, content_type);
        self.0
            .lock()
            .expect("not poisoned")
            .behavior
            .with_announcements(head)
    }

    /// Factor by which service times are multiplied.
    pub fn slowdown(&self) -> f64 {
        self.0.lock().expect("not poisoned").slowdown
    }

    /// Sets the factor by which service times are multiplied.
    pub fn set_slowdown(&self, factor: f64) {
        self.0.lock().expect("not poisoned").slowdown = factor;
    }
}
