//! Faults of an emulated back end, changed while it runs.

use super::behavior::{BackendBehavior, BehaviorConfig};
use silversail_http::ResponseHead;
use std::sync::Mutex;

/// How calls are answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FaultMode {
    /// As they should be.
    #[default]
    None,
    /// With an error, without running.
    Reject,
    /// With status 500, after running.
    Error,
    /// With something that is no JSON, after running.
    MalformedBody,
    /// With another attempt's identifier, after running.
    WrongAttempt,
    /// Never, after running.
    Hang,
    /// The connection is cut, after running (services) or once in the middle
    /// of each stream (engines).
    CloseConnection,
}

#[derive(Debug)]
struct State {
    mode: FaultMode,
    slowdown: f64,
    behavior: BackendBehavior,
}

/// Faults of one back end.
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
    /// How calls are answered now.
    pub fn mode(&self) -> FaultMode {
        self.0.lock().expect("not poisoned").mode
    }

    /// Changes how calls are answered.
    pub fn set_mode(&self, mode: FaultMode) {
        self.0.lock().expect("not poisoned").mode = mode;
    }

    /// Changes what it says of itself, from now on.
    pub fn set_behavior(&self, behavior: BehaviorConfig) {
        self.0.lock().expect("not poisoned").behavior = BackendBehavior::start(behavior);
    }

    /// The answer to a call that is turned away; none where it is taken.
    pub fn reject_call(&self) -> Option<ResponseHead> {
        self.0.lock().expect("not poisoned").behavior.reject_call()
    }

    /// The head of an answer, with what is said in all of them.
    pub fn head(&self, status: u16, content_type: &'static str) -> ResponseHead {
        let head = ResponseHead::new(status, content_type);
        self.0.lock().expect("not poisoned").behavior.marked(head)
    }

    /// Factor on service times.
    pub fn slowdown(&self) -> f64 {
        self.0.lock().expect("not poisoned").slowdown
    }

    /// Changes the factor on service times.
    pub fn set_slowdown(&self, factor: f64) {
        self.0.lock().expect("not poisoned").slowdown = factor;
    }
}
