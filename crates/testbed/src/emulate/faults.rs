//! Faults of an emulated back end, changed while it runs.

use std::sync::Mutex;

/// How calls are answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FaultMode {
    /// As they should be.
    #[default]
    None,
    /// With an error, without running.
    Refuse,
    /// With status 500, after running.
    Error,
    /// With something that is no JSON, after running.
    Garbage,
    /// With another attempt's identifier, after running.
    WrongAttempt,
    /// Never, after running.
    Hang,
    /// The connection is cut, after running (services) or once in the middle
    /// of each stream (engines).
    Cut,
}

#[derive(Debug)]
struct State {
    mode: FaultMode,
    slowdown: f64,
}

/// Faults of one back end.
#[derive(Debug)]
pub struct Faults(Mutex<State>);

impl Default for Faults {
    fn default() -> Self {
        Self(Mutex::new(State {
            mode: FaultMode::None,
            slowdown: 1.0,
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

    /// Factor on service times.
    pub fn slowdown(&self) -> f64 {
        self.0.lock().expect("not poisoned").slowdown
    }

    /// Changes the factor on service times.
    pub fn set_slowdown(&self, factor: f64) {
        self.0.lock().expect("not poisoned").slowdown = factor;
    }
}
