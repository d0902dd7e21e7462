//! Interface of the state machine that a group replicates.

use crate::log::Index;

/// A deterministic state machine: the same commands in the same order lead to the same state and
/// replies on every replica.
pub trait StateMachine {
    /// Applies the command committed at `index` and returns the reply for its proposer. A command
    /// that cannot be decoded must have no effect.
    fn apply(&mut self, index: Index, command: &[u8]) -> Vec<u8>;

    /// Encodes the complete state.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the state with a snapshot; returns false if it cannot be decoded.
    fn restore(&mut self, snapshot: &[u8]) -> bool;
}
