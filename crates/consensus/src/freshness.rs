//! Lower bound on how current a replica's committed state is.

use crate::Millis;

/// The latest time, on the local clock, at which the replica's state is known to have included
/// all commits of the group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Freshness {
    /// The state includes everything committed before this time. `None` until a quorum has
    /// acknowledged the leader for the first time.
    pub as_of: Option<Millis>,
}

impl Freshness {
    /// Raises the bound to `as_of`; an older time has no effect.
    pub fn advance(&mut self, as_of: Millis) {
        self.as_of = Some(self.as_of.map_or(as_of, |current| current.max(as_of)));
    }

    /// Maximum age of the state at `now`, in milliseconds.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.as_of.map(|as_of| now.saturating_sub(as_of))
    }
}
