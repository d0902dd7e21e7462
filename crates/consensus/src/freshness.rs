//! How current a replica's committed state is known to be.

use crate::Millis;

/// A lower bound on when this replica's state was the group's newest, on the
/// local clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Freshness {
    /// The state includes all that was committed before this time. None until
    /// a quorum confirmed it for the first time.
    pub as_of: Option<Millis>,
}

impl Freshness {
    /// Moves the bound forward; an older bound changes nothing.
    pub fn advance(&mut self, as_of: Millis) {
        self.as_of = Some(self.as_of.map_or(as_of, |known| known.max(as_of)));
    }

    /// How old the state may be at `now`, in milliseconds.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.as_of.map(|as_of| now.saturating_sub(as_of))
    }
}
