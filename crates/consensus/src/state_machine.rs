//! What a group replicates.

use crate::log::Index;

/// A deterministic state machine. The same commands in the same order give the
/// same states and replies on every replica.
pub trait StateMachine {
    /// Applies the command committed at `index`; the reply goes to whoever
    /// proposed it. A command that can't be decoded changes nothing.
    fn apply(&mut self, index: Index, command: &[u8]) -> Vec<u8>;

    /// The whole state, encoded.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the state by a snapshot; false when it can't be decoded.
    fn restore(&mut self, snapshot: &[u8]) -> bool;
}
